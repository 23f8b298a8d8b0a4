"""Choice of the process that a booking is handed over to."""

from random import Random

from bergamotshunt.decisions.tickets import ProcessName
from bergamotshunt.peers.members import Member, is_routable


def choose_successor(
    members_by_id: dict[str, Member],
    own_id: str,
    chain: tuple[ProcessName, ...],
    rng: Random,
) -> ProcessName | None:
    """Choose a random routable server of the same service.

    Servers in the same availability zone are preferred. Daemons that the
    booking came through are excluded, whichever process runs there now, so
    that the chain has no loop.

    Args:
        members_by_id: Known members.
        own_id: This daemon.
        chain: Processes that handed the booking over so far.
        rng: Random source.

    Returns:
        The process, or None if there is no candidate.
    """
    own = members_by_id.get(own_id)
    if own is None:
        return None
    excluded_ids = {own_id, *(process.daemon_id for process in chain)}
    candidates = [
        member
        for member in members_by_id.values()
        if member.service == own.service
        and member.daemon_id not in excluded_ids
        and is_routable(member)
    ]
    in_same_zone = [
        member
        for member in candidates
        if member.availability_zone == own.availability_zone
    ]
    if not candidates:
        return None
    chosen = rng.choice(in_same_zone or candidates)
    return ProcessName(chosen.daemon_id, chosen.process_id)
