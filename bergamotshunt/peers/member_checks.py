"""Checks of the records and updates that other daemons send.

An odd record is left out, so that it does not keep the others of the same
datagram or table sync from being used.
"""

from collections.abc import Iterable
from ipaddress import ip_address
from typing import Final

from bergamotshunt.peers.members import EraUpdate, Member, MemberEvent
from bergamotshunt.value_checks import MAX_PORT, check_integer, check_text

# Far below the largest integer of MessagePack, because a daemon refutes an
# update by a higher incarnation than the stated one.
MAX_NUMBER: Final = 2**62


def is_usable_record(record: Member) -> bool:
    """Return whether all fields of a record have values that can be used."""
    try:
        check_record(record)
    except ValueError:
        return False
    return True


def check_record(record: Member) -> None:
    """Check the id, the address and the numbers of a record.

    Raises:
        ValueError: A value is not allowed.
    """
    check_text('daemon_id', record.daemon_id)
    ip_address(record.ip)
    # A daemon whose port is not bound yet announces 0.
    check_integer('peers_port', record.peers_port, 0, MAX_PORT)
    check_integer('gossip_port', record.gossip_port, 0, MAX_PORT)
    check_integer('incarnation', record.incarnation, 0, MAX_NUMBER)
    check_integer('process_id', record.process_id, 0, MAX_NUMBER)
    check_integer('era', record.era, 0, MAX_NUMBER)


def is_usable_event(event: MemberEvent) -> bool:
    """Return whether an event and its record can be used."""
    if not 0 <= event.incarnation <= MAX_NUMBER:
        return False
    return event.record is None or is_usable_record(event.record)


def is_usable_era(update: EraUpdate) -> bool:
    """Return whether the numbers of an update can be used."""
    return (
        0 <= update.process_id <= MAX_NUMBER and 0 <= update.era <= MAX_NUMBER
    )


def keep_usable(records: Iterable[Member]) -> list[Member]:
    """Return the records that can be used."""
    return list(filter(is_usable_record, records))
