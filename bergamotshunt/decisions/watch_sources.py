"""Choice of the peer that a daemon follows in place of the store.

One daemon, the root, watches the store. In each availability zone a few
daemons, the readers, follow the root, and the others follow a reader of their
zone. Who reads is only an optimization: with several roots, or with none that
can be reached, each daemon still has a source.
"""

from collections.abc import Iterable, Mapping
from functools import partial
from math import ceil, inf
from typing import Final, NamedTuple

from xxhash import xxh64_intdigest

# Daemons of a zone that share one reader.
DAEMONS_PER_READER: Final = 128
# The root, and the daemon that takes its place.
ROOT_CANDIDATES: Final = 2
# A peer that failed is not asked again for this time; its entry in the store
# ends about as soon if its host is gone.
FAILURE_HOLD_S: Final = 5.0
# The same for a peer that refused, because it is neither root nor reader: the
# views of the daemons differ for a moment after each change.
REFUSAL_HOLD_S: Final = 1.0
# Number of daemons between the store and a root, a reader, and a follower.
ROOT_DEPTH: Final = 0
READER_DEPTH: Final = 1
FOLLOWER_DEPTH: Final = 2


class FeedPeer(NamedTuple):
    """A daemon that can pass on what the store tells.

    Attributes:
        ip: IP address of its host.
        port: Its port for requests of other daemons.
        zone: Availability zone of the host.
    """

    ip: str
    port: int
    zone: str


class Source(NamedTuple):
    """A peer to follow.

    Attributes:
        peer: The peer.
        max_depth: Largest depth at which it may stand. Daemons that are
            followed have to follow a root, so that none follows itself.
    """

    peer: FeedPeer
    max_depth: int


def choose_source(
    sources: Iterable[Source],
    own_ip: str,
    held_until_s_by_ip: Mapping[str, float],
    now_s: float,
) -> Source | None:
    """Choose where a daemon learns of changes.

    Args:
        sources: What ``list_sources`` returned for this daemon.
        own_ip: Address of this daemon.
        held_until_s_by_ip: Monotonic time until which a peer is not asked,
            or the store by this daemon.
        now_s: Monotonic time.

    Returns:
        The peer to follow; None to watch the store.
    """
    for source in sources:
        ip = source.peer.ip
        if held_until_s_by_ip.get(ip, -inf) <= now_s:
            return None if ip == own_ip else source
    return None


def list_sources(peers: Iterable[FeedPeer], own: FeedPeer) -> list[Source]:
    """List the peers that a daemon may follow, best first.

    The readers of its zone come first, spread over the daemons of the zone by
    rendezvous hashing, then the daemon that takes the place of a lost reader,
    then the root. A reader follows the root only.

    Args:
        peers: Daemons with an entry in the store; may include this one.
        own: This daemon.
    """
    ranked = sorted(peers, key=_rank)
    zone_members = [peer for peer in ranked if peer.zone == own.zone]
    count = ceil(len(zone_members) / DAEMONS_PER_READER)
    readers, rest = zone_members[:count], zone_members[count:]
    in_zone = [*sorted(readers, key=partial(_affinity, own.ip)), *rest[:1]]
    if own in in_zone:
        in_zone = in_zone[: in_zone.index(own)]
    roots = ranked[:ROOT_CANDIDATES]
    return [
        *(Source(reader, READER_DEPTH) for reader in in_zone),
        *(Source(root, ROOT_DEPTH) for root in roots),
    ]


def _affinity(own_ip: str, peer: FeedPeer) -> int:
    """Return the sort key of a reader for a daemon; itself comes first."""
    if peer.ip == own_ip:
        return -1
    return xxh64_intdigest(f'{own_ip} {peer.ip}'.encode())


def _rank(peer: FeedPeer) -> tuple[int, str]:
    return xxh64_intdigest(peer.ip.encode()), peer.ip


class FeedState(NamedTuple):
    """What decides whether a daemon may be followed.

    Attributes:
        reading: Whether it watches the store.
        source_depth: Number of daemons between the store and the peer that it
            follows otherwise.
        watch_failed: Whether its last watch failed.
        checks_failed: Whether the store does not answer its checks of the
            configuration, or has not answered the first one yet.
        calls_failed: Whether its other calls to the store fail.
        stopping: Whether it stops.
    """

    reading: bool = False
    source_depth: int = READER_DEPTH
    watch_failed: bool = False
    checks_failed: bool = False
    calls_failed: bool = False
    stopping: bool = False


def feed_depth(state: FeedState, *, complete: bool) -> int:
    """Return the number of daemons between the store and a daemon.

    Args:
        state: State of the daemon.
        complete: Whether it knows all that followers need.

    Returns:
        The depth; ``FOLLOWER_DEPTH`` or more if nobody may follow it.
    """
    if state.stopping or not complete:
        return FOLLOWER_DEPTH
    if not state.reading:
        return state.source_depth + 1
    failures = (state.watch_failed, state.checks_failed, state.calls_failed)
    return FOLLOWER_DEPTH if any(failures) else ROOT_DEPTH
