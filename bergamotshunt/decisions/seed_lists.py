"""Seeding: who reads and writes a zone's seed list, and what is in it.

The platform's calls depend on the number of zones and of starting
daemons, not on the size of the fleet: of those that have joined, only the
two that rendezvous hashing chooses in each zone look at the list again.
"""

from collections.abc import Collection, Iterable, Mapping
from random import Random
from typing import Final, NamedTuple

from xxhash import xxh64_intdigest

from bergamotshunt.peers.members import Member, is_live

MAX_SEEDS: Final = 8
MAINTAINERS_PER_ZONE: Final = 2


class Seed(NamedTuple):
    """One daemon of a seed list."""

    daemon_id: str
    ip: str
    peers_port: int


class SeedIntervals(NamedTuple):
    """When the platform is asked.

    Attributes:
        first_read_s: The first read is spread over this time: if all
            7,200 daemons start at once, that is 1,800 reads a second.
        first_read_known_s: The same with known peers in the settings,
            which usually make the read unnecessary.
        retry_s: First pause of a daemon that knows no other one.
        longest_retry_s: Its longest pause; at 7,200 daemons that start
            while the platform is down, about 320 reads a second.
        keep_s: Pause between two looks of a daemon that has joined.
    """

    first_read_spread_s: float = 4
    first_read_spread_with_peers_s: float = 20
    retry_s: float = 2
    max_retry_s: float = 30
    refresh_s: float = 300


def first_read_delay_s(
    intervals: SeedIntervals, has_peers: bool, rng: Random
) -> float:
    """Return the time from the start to the first read."""
    if has_peers:
        return intervals.first_read_spread_with_peers_s * rng.uniform(0.5, 1)
    return intervals.first_read_spread_s * rng.random()


def retry_delay_s(intervals: SeedIntervals, attempt: int, rng: Random) -> float:
    """Return the pause of a daemon that still knows no other one."""
    max_delay_s = min(intervals.max_retry_s, intervals.retry_s * 2**attempt)
    return max_delay_s * rng.uniform(0.5, 1)


def refresh_delay_s(intervals: SeedIntervals, rng: Random) -> float:
    """Return the pause of a daemon that has joined."""
    return intervals.refresh_s * rng.uniform(0.8, 1.2)


def rendezvous_hash(daemon_id: str, key: str) -> int:
    """Return the rendezvous hash of a daemon for a key."""
    return xxh64_intdigest(f'{key}|{daemon_id}'.encode())


def live_ids_of_zone(members: Iterable[Member], zone: str) -> list[str]:
    """Return the daemons of a zone that count as running."""
    return [
        member.daemon_id
        for member in members
        if member.availability_zone == zone and is_live(member)
    ]


def is_maintainer(own_id: str, ids: Collection[str], zone: str) -> bool:
    """Return whether this daemon looks after the seed list of its zone."""
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
    """Return the list that a zone should have.

    Seeds that are known to be gone make room. Unknown seeds may belong to
    a part of the fleet that this daemon has not met, so they stay until it
    tried them in vain.
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
    # Live seeds stay: a list that changes less is written less.
    live_ids.sort(key=lambda daemon_id: daemon_id not in listed_ids)
    for daemon_id in live_ids:
        if len(seeds_by_id) < MAX_SEEDS:
            seeds_by_id[daemon_id] = create_seed(members_by_id[daemon_id])
    return tuple(seeds_by_id.values())


def create_seed(member: Member) -> Seed:
    """Return the entry of a member."""
    return Seed(member.daemon_id, member.ip, member.peers_port)
