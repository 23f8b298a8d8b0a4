"""Bounded subset of a service's servers that one daemon sends requests to.

Every load report costs a datagram, and traffic between availability zones is
the dearest. With a subset, reports grow with the number of daemons and not
with its square. Far servers take over when the near ones are full or slow;
each daemon has others, so together they reach all.
"""

from collections.abc import Iterable
from functools import partial
from typing import Final

from xxhash import xxh64_intdigest

from bergamotshunt.routing import ServerEntry

MAX_NEAR_SERVERS: Final = 12
MIN_FAR_SERVERS: Final = 2
# With few near servers, more far ones are added up to this number.
MIN_SERVERS: Final = 8


def choose_subset(
    entries: Iterable[ServerEntry], own_ip: str, own_zone: str
) -> tuple[ServerEntry, ...]:
    """Choose the servers of one service that a daemon uses.

    Rendezvous hashing spreads the daemons evenly over the servers; when one
    joins or leaves, no other choice changes but the one that it replaces.

    Args:
        entries: Servers of the service; leaving ones are not chosen.
        own_ip: Address of the daemon.
        own_zone: Availability zone of the daemon.
    """
    ranked = sorted(
        (entry for entry in entries if not entry.is_leaving),
        key=partial(_rank, own_ip),
    )
    near = [entry for entry in ranked if entry.zone == own_zone]
    far = [entry for entry in ranked if entry.zone != own_zone]
    chosen = near[:MAX_NEAR_SERVERS]
    far_count = max(MIN_FAR_SERVERS, MIN_SERVERS - len(chosen))
    return (*chosen, *far[:far_count])


def choose_subsets(
    entries: Iterable[ServerEntry], own_ip: str, own_zone: str
) -> dict[str, tuple[ServerEntry, ...]]:
    """Choose the servers of each service, by the name of the service."""
    entries_by_service: dict[str, list[ServerEntry]] = {}
    for entry in entries:
        entries_by_service.setdefault(entry.service, []).append(entry)
    return {
        service: choose_subset(servers, own_ip, own_zone)
        for service, servers in entries_by_service.items()
    }


def _rank(own_ip: str, entry: ServerEntry) -> int:
    return xxh64_intdigest(f'{own_ip} {entry.ip}'.encode())
