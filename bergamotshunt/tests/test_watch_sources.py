"""Choice of the peer that a daemon follows, without a network."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.watch_sources import (
    DAEMONS_PER_READER,
    READER_DEPTH,
    ROOT_DEPTH,
    FeedPeer,
    Source,
    choose_source,
    list_sources,
)


def create_fleet(hosts: int, zones: int) -> list[FeedPeer]:
    return [
        FeedPeer(
            f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
            1,
            f'zone-{number % zones}',
        )
        for number in range(hosts)
    ]


def source_of(
    fleet: list[FeedPeer],
    own: FeedPeer,
    held: dict[str, float],
    now_s: float = 0,
) -> Source | None:
    return choose_source(list_sources(fleet, own), own.ip, held, now_s)


def sources_of(
    fleet: list[FeedPeer], held: dict[str, float]
) -> dict[str, Source | None]:
    return {peer.ip: source_of(fleet, peer, held) for peer in fleet}


@pytest.mark.parametrize(
    ('hosts', 'zones'), [(1, 1), (9, 3), (23, 5), (70, 3), (600, 3)]
)
def test_one_daemon_reads_and_few_are_followed(hosts: int, zones: int) -> None:
    """Guards against calls to the store that grow with the fleet.

    Each zone has a reader for at most ``DAEMONS_PER_READER`` daemons; the
    other daemons follow a reader of their own zone.
    """
    fleet = create_fleet(hosts, zones)
    sources = sources_of(fleet, {})
    assert list(sources.values()).count(None) == 1
    followed = Counter(source.peer.ip for source in sources.values() if source)
    per_zone = -(-(hosts // zones) // DAEMONS_PER_READER)
    assert len(followed) <= zones * per_zone + 1
    assert max(followed.values(), default=0) < 2 * DAEMONS_PER_READER
    zone_by_ip = {peer.ip: peer.zone for peer in fleet}
    for ip, source in sources.items():
        if source and source.max_depth == READER_DEPTH:
            assert source.peer.zone == zone_by_ip[ip]


@given(
    st.sets(st.integers(0, 22)), st.integers(0, 22), st.sets(st.integers(0, 22))
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_followed_daemons_form_no_cycle(
    held_numbers: set[int], number: int, unknown: set[int]
) -> None:
    """Guards against daemons that follow each other and miss all changes.

    Each daemon may have another view of the fleet. A daemon answers one that
    asks for ``max_depth`` only if its own source is nearer to the store.
    """
    fleet = create_fleet(23, 5)
    held = {fleet[index].ip: 1.0 for index in held_numbers}
    view = [peer for index, peer in enumerate(fleet) if index not in unknown]
    source = source_of(view, fleet[number], held)
    if source is None:
        return
    assert source.peer.ip not in held
    assert source.peer != fleet[number]
    its_source = source_of(fleet, source.peer, {})
    if its_source is not None and its_source.max_depth >= source.max_depth:
        # It stands too far from the store, so it refuses.
        return
    assert its_source is None or its_source.max_depth == ROOT_DEPTH


def test_another_daemon_takes_the_place_of_a_lost_reader() -> None:
    """Guards against a zone whose daemons all turn to the store at once."""
    fleet = create_fleet(60, 3)
    own_zone = [peer for peer in fleet if peer.zone == 'zone-0']
    follower = own_zone[-1]
    reader, successor, root = list_sources(fleet, follower)[:3]
    held = {reader.peer.ip: 1.0}
    sources = {
        peer: source_of(fleet, peer, held)
        for peer in own_zone
        if peer != reader.peer
    }
    assert None not in sources.values() or root.peer == reader.peer
    assert sources.pop(successor.peer) != successor
    assert set(sources.values()) == {successor}


def test_successor_reads_in_place_of_a_lost_root() -> None:
    """Guards against readers that all turn to the store at once."""
    fleet = create_fleet(60, 3)
    root, successor = (
        source.peer
        for source in list_sources(fleet, fleet[0])
        if source.max_depth == ROOT_DEPTH
    )
    assert source_of(fleet, root, {}) is None
    held = {root.ip: 1.0}
    assert source_of(fleet, successor, held) is None
    rest = [peer for peer in fleet if peer not in (root, successor)]
    assert all(source_of(fleet, peer, held) for peer in rest)


def test_root_that_the_store_does_not_answer_follows_a_peer() -> None:
    """Guards against a root that is cut off and stays behind the fleet."""
    fleet = create_fleet(60, 3)
    (root,) = [peer for peer in fleet if source_of(fleet, peer, {}) is None]
    assert source_of(fleet, root, {root.ip: 1.0}) is not None
    assert source_of(fleet, root, {root.ip: 1.0}, 2) is None


def test_daemon_that_is_lost_moves_only_its_followers() -> None:
    """Guards against a change of all sources when one daemon leaves."""
    fleet = create_fleet(1200, 2)
    before = sources_of(fleet, {})
    followed = {source.peer for source in before.values() if source}
    leaver = next(peer for peer in fleet if peer not in followed)
    rest = [peer for peer in fleet if peer != leaver]
    after = sources_of(rest, {})
    assert all(after[peer.ip] == before[peer.ip] for peer in rest)
