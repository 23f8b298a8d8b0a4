"""Subsets of the servers that daemons use, without a network."""

from collections import Counter

import pytest

from bergamotshunt.decisions.server_subsets import (
    MAX_NEAR_SERVERS,
    MIN_FAR_SERVERS,
    MIN_SERVERS,
    choose_subset,
)
from bergamotshunt.routing import AnnouncedState, ServerEntry


def create_servers(count: int, zones: int) -> list[ServerEntry]:
    return [
        ServerEntry(
            instance=f'i-{number}',
            born_ms=1,
            sequence=1,
            service='shop',
            zone=f'zone-{number % zones}',
            ip=f'10.0.{number >> 8}.{number & 255}',
            inbound_port=1,
            slots=4,
            state=AnnouncedState.READY,
        )
        for number in range(count)
    ]


@pytest.mark.parametrize(('count', 'zones'), [(3, 3), (6, 3), (8, 3)])
def test_small_service_is_used_whole(count: int, zones: int) -> None:
    """Guards against free servers of a small service that get no work."""
    servers = create_servers(count, zones)
    assert set(choose_subset(servers, '10.1.0.1', 'zone-0')) == set(servers)


@pytest.mark.parametrize(
    ('count', 'zones'), [(57, 3), (158, 5), (37, 5), (500, 14)]
)
def test_subsets_are_bounded_and_spread_evenly(count: int, zones: int) -> None:
    """Guards against servers that many daemons use while others idle."""
    servers = create_servers(count, zones)
    senders = count * 2
    used: Counter[str] = Counter()
    for number in range(senders):
        zone = f'zone-{number % zones}'
        subset = choose_subset(
            servers, f'10.2.{number >> 8}.{number & 255}', zone
        )
        near = sum(server.zone == zone for server in subset)
        assert near <= MAX_NEAR_SERVERS
        assert len(subset) - near >= MIN_FAR_SERVERS
        assert len(subset) >= MIN_SERVERS
        used.update(server.ip for server in subset)
    mean = used.total() / count
    assert len(used) == count
    assert max(used.values()) < 2.5 * mean
    assert min(used.values()) > mean / 3


def test_server_that_leaves_is_replaced_by_one_other() -> None:
    """Guards against daemons that change all servers when one leaves."""
    servers = create_servers(60, 3)
    before = choose_subset(servers, '10.2.0.1', 'zone-0')
    for leaver in before:
        rest = [server for server in servers if server != leaver]
        after = choose_subset(rest, '10.2.0.1', 'zone-0')
        assert set(before) - set(after) == {leaver}
        assert len(set(after) - set(before)) == 1


def test_far_servers_replace_a_lost_zone() -> None:
    """Guards against a daemon without servers when its zone is lost.

    The daemons of the zone together reach all servers that are left.
    """
    servers = create_servers(60, 3)
    rest = [server for server in servers if server.zone != 'zone-0']
    reached: set[ServerEntry] = set()
    for number in range(20):
        subset = choose_subset(rest, f'10.2.0.{number}', 'zone-0')
        assert len(subset) == MIN_SERVERS
        reached.update(subset)
    assert reached == set(rest)


def test_leaving_server_is_not_used() -> None:
    """Guards against a place in the subset that is taken by a leaving one."""
    servers = create_servers(9, 3)
    leaving = servers[0]._replace(state=AnnouncedState.LEAVING)
    subset = choose_subset([leaving, *servers[1:]], '10.1.0.1', 'zone-0')
    assert leaving not in subset
    assert len(subset) == 8
