"""Election of the members that read the targets from the platform."""

from collections.abc import Iterable
from random import Random
from typing import Final

from xxhash import xxh64_intdigest

from bergamotshunt.peers.members import Member, MemberStatus

REACHABLE_STATUSES: Final = frozenset(
    (MemberStatus.ALIVE, MemberStatus.SUSPECT)
)


def choose_readers(
    members: Iterable[Member],
    region: str,
    availability_zone: str,
    reader_count: int,
) -> tuple[str, ...]:
    """Choose the readers of one availability zone by rendezvous hashing.

    All daemons with the same member table choose the same readers.

    Returns:
        Daemon ids of the members with the highest hashes.
    """
    candidates = [
        member.daemon_id
        for member in members
        if member.status in REACHABLE_STATUSES
        and member.region == region
        and member.availability_zone == availability_zone
    ]
    sorted_ids = sorted(candidates, key=reader_sort_key, reverse=True)
    return tuple(sorted_ids[:reader_count])


def reader_sort_key(daemon_id: str) -> tuple[int, str]:
    """Return the sort key of a member: its hash, then its id."""
    return xxh64_intdigest(daemon_id.encode()), daemon_id


def list_reachable(
    members: Iterable[Member],
    own_id: str,
) -> tuple[Member, ...]:
    """List the other members that are alive or suspected."""
    return tuple(
        member
        for member in members
        if member.daemon_id != own_id and member.status in REACHABLE_STATUSES
    )


def count_other_members(members: Iterable[Member], own_id: str) -> int:
    """Count the other members that have not left.

    Dead members count: to a daemon that is cut off from the network, all
    others look dead.
    """
    return sum(
        member.daemon_id != own_id and member.status is not MemberStatus.LEFT
        for member in members
    )


def choose_random_peers(
    reachable: tuple[Member, ...],
    count: int,
    rng: Random,
) -> list[Member]:
    """Choose up to ``count`` random members."""
    return rng.sample(reachable, min(count, len(reachable)))
