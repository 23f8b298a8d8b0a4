"""Shards of the quotas of client accounts, and their owners.

The quota of an account is divided into equal shards, which belong to
availability zones, so that the loss of a zone costs only its part. Each shard
has one owner among the daemons of its zone.
"""

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from itertools import chain
from math import floor
from typing import Final, NamedTuple

from xxhash import xxh64_intdigest

from bergamotshunt.mesh_messages import Member

# With few zones, several shards per zone keep the loss of one owner small.
MIN_SHARDS: Final = 3
# The bucket of each shard has to hold some whole tokens, also of an account
# with a small limit.
MAX_SHARDS: Final = 5
MIN_SHARD_TOKENS: Final = 2.0
# Accounts whose shards are kept: each request for tokens needs them.
MAX_CACHED_ACCOUNTS: Final = 4096


class Shard(NamedTuple):
    """A part of the quotas of accounts.

    Attributes:
        zone: Availability zone of its owner.
        number: Distinguishes the shards of a zone.
    """

    zone: str
    number: int


def max_shards(shared_tokens: float) -> int:
    """Return the largest number of shards of an account.

    Args:
        shared_tokens: Capacity that the buckets of an account have together,
            whatever its limit.
    """
    return min(MAX_SHARDS, max(1, floor(shared_tokens / MIN_SHARD_TOKENS)))


@lru_cache(MAX_CACHED_ACCOUNTS)
def list_shards(
    account: str, zones: tuple[str, ...], limit: int = MAX_SHARDS
) -> tuple[Shard, ...]:
    """List the shards of an account, the same at all daemons.

    The number does not depend on the limit of the account: daemons with
    different versions of the configuration have to agree on it.

    Args:
        account: Name of the account.
        zones: All availability zones of the deployment.
        limit: Largest number of shards.
    """
    if not zones:
        return ()
    chosen = sorted(zones)
    if len(chosen) > limit:
        chosen = sorted(chosen, key=lambda zone: _rank(account, zone))[:limit]
    per_zone = -(-MIN_SHARDS // len(chosen))
    shards = [
        Shard(zone, number) for number in range(per_zone) for zone in chosen
    ]
    return tuple(shards[:limit])


@lru_cache(MAX_CACHED_ACCOUNTS)
def order_shards(
    account: str, shards: tuple[Shard, ...], own_ip: str, own_zone: str
) -> tuple[int, ...]:
    """Return the indexes of shards in the order in which a daemon asks them.

    Those of its zone come first; the rest are spread over the daemons.

    Args:
        account: Name of the account.
        shards: Its shards.
        own_ip: Address of the daemon.
        own_zone: Availability zone of the daemon.
    """
    ranked = sorted(
        (shard.zone != own_zone, _rank(f'{account} {own_ip}', index), index)
        for index, shard in enumerate(shards)
    )
    return tuple(index for _, _, index in ranked)


def group_by_zone(members: Iterable[Member]) -> dict[str, tuple[str, ...]]:
    """Return the sorted addresses of the members of each zone."""
    ips_by_zone: dict[str, list[str]] = {}
    for member in members:
        ips_by_zone.setdefault(member.zone, []).append(member.ip)
    return {zone: tuple(sorted(ips)) for zone, ips in ips_by_zone.items()}


def choose_owner(
    account: str, shard: Shard, ips_by_zone: Mapping[str, Sequence[str]]
) -> str:
    """Choose the owner of a shard by rendezvous hashing.

    Args:
        account: Name of the account.
        shard: The shard.
        ips_by_zone: Addresses of the members of each zone.

    Returns:
        Its address; empty if there is no member.
    """
    subject = f'{account} {shard.zone} {shard.number}'
    ips = list_candidates(shard, ips_by_zone)
    return min(ips, key=lambda ip: _rank(subject, ip), default='')


def list_candidates(
    shard: Shard, ips_by_zone: Mapping[str, Sequence[str]]
) -> Sequence[str]:
    """Return the members that may own a shard.

    They are those of its zone; of all zones if it has none, so that the loss
    of a zone does not reduce the limit for long.
    """
    ips = ips_by_zone.get(shard.zone, ())
    return ips or tuple(chain.from_iterable(ips_by_zone.values()))


def _rank(subject: str, choice: object) -> int:
    return xxh64_intdigest(f'{subject} {choice}'.encode())
