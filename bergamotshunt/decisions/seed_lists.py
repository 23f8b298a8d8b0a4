"""Seed lists: which daemons maintain a zone's list, and its entries.

The number of platform calls depends on the number of zones and of starting
daemons, not on the size of the fleet: of the daemons that have joined, only
the two that rendezvous hashing selects in each zone read the list again.
"""

from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Final, NamedTuple

from xxhash import xxh64_intdigest

from bergamotshunt.peers.members import Member, is_live

MAX_SEEDS: Final = 8
MAINTAINERS_PER_ZONE: Final = 2


class Seed(NamedTuple):
    """Entry of a seed list: a daemon that others join the fleet by."""

    daemon_id: str
    ip: str
    peers_port: int


class SeedIntervals(NamedTuple):
    """Intervals between reads of the seed lists from the platform.

    Attributes:
        first_read_spread_s: The first read is spread over this time: if
            all 7,200 daemons start at once, that is 1,800 reads a second.
        first_read_spread_with_peers_s: The same with known peers in the
            settings, which usually make the read unnecessary.
        retry_s: First retry delay of a daemon that knows no other one.
        max_retry_s: Its longest delay; with 7,200 daemons that start
            while the platform is down, about 320 reads a second.
        refresh_s: Time between two reads of a daemon that has joined.
    """

    first_read_spread_s: float = 4
    first_read_spread_with_peers_s: float = 20
    retry_s: float = 2
    max_retry_s: float = 30
    refresh_s: float = 300


def first_read_delay_s(
    intervals: SeedIntervals, has_peers: bool, rng: Random
) -> float:
    """Return the delay in s from the start to the first read."""
    if has_peers:
        return intervals.first_read_spread_with_peers_s * rng.uniform(0.5, 1)
    return intervals.first_read_spread_s * rng.random()


def retry_delay_s(intervals: SeedIntervals, attempt: int, rng: Random) -> float:
    """Return the retry delay in s of a daemon that knows no other one.

    Args:
        intervals: Intervals between reads.
        attempt: Number of retries before this one.
        rng: Random source.
    """
    max_delay_s = min(intervals.max_retry_s, intervals.retry_s * 2**attempt)
    return max_delay_s * rng.uniform(0.5, 1)


def refresh_delay_s(intervals: SeedIntervals, rng: Random) -> float:
    """Return the delay in s until a joined daemon reads again."""
    return intervals.refresh_s * rng.uniform(0.8, 1.2)


def rendezvous_hash(daemon_id: str, key: str) -> int:
    """Return the rendezvous hash of a daemon for a key."""
    return xxh64_intdigest(f'{key}|{daemon_id}'.encode())


def live_ids_of_zone(members: Iterable[Member], zone: str) -> list[str]:
    """Return the ids of the live daemons of a zone."""
    return [
        member.daemon_id
        for member in members
        if member.availability_zone == zone and is_live(member)
    ]


def is_maintainer(own_id: str, ids: Collection[str], zone: str) -> bool:
    """Return whether this daemon maintains the seed list of its zone.

    Args:
        own_id: This daemon.
        ids: Live daemons of the zone.
        zone: Availability zone of this daemon.
    """
    own_hash = rendezvous_hash(own_id, zone)
    higher_count = sum(
        rendezvous_hash(daemon_id, zone) > own_hash for daemon_id in ids
    )
    return higher_count < MAINTAINERS_PER_ZONE


def update_seeds(
    listed: Iterable[Seed],
    members_by_id: Mapping[str, Member],
    own: Member,
    tried: Collection[Seed],
) -> tuple[Seed, ...]:
    """Return the seed list that a zone should have.

    Seeds that are known to be gone are removed. Unknown seeds may belong to
    a part of the fleet that this daemon has not reached yet, so they stay
    until it has tried to join by them without success.

    Args:
        listed: Seeds of the current list.
        members_by_id: Known members.
        own: Record of this daemon.
        tried: Seeds that this daemon has already tried to join by; they
            are removed if they are still unknown.
    """
    zone = own.availability_zone
    seeds_by_id = {
        seed.daemon_id: seed
        for seed in listed
        if seed.daemon_id not in members_by_id and seed not in tried
    }
    live_ids = live_ids_of_zone(members_by_id.values(), zone)
    live_ids.sort(
        key=lambda daemon_id: rendezvous_hash(daemon_id, zone), reverse=True
    )
    listed_ids = {seed.daemon_id for seed in listed}
    # Live seeds stay in the list, so that it is rewritten less often.
    live_ids.sort(key=lambda daemon_id: daemon_id not in listed_ids)
    for daemon_id in live_ids:
        if len(seeds_by_id) < MAX_SEEDS:
            seeds_by_id[daemon_id] = create_seed(members_by_id[daemon_id])
    return tuple(seeds_by_id.values())


def create_seed(member: Member) -> Seed:
    """Return the seed list entry of a member."""
    return Seed(member.daemon_id, member.ip, member.peers_port)
