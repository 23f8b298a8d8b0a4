"""Tests a mesh of daemons with odd entries and odd heartbeats."""

from asyncio import sleep
from base64 import b64encode
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import pytest
from msgspec import json

from bergamotshunt.choice.server_records import ServerRecords
from bergamotshunt.platform.announcements import (
    ENTRY_KEY_PREFIX,
    encode_entry,
    entry_key,
)
from bergamotshunt.tests.mesh import Mesh, outbound_of, send_request
from bergamotshunt.tests.odd_input import (
    HUGE,
    NESTED,
    ODD_FIELDS,
    ODD_IP,
    OTHER_IP,
    encode_any,
    run_in_mesh,
    server_entry,
)


def odd_entries() -> list[tuple[str, str]]:
    """Return keys and values, as base64 text unless they are not base64."""
    contents = [
        NESTED,
        b'[' * 900 + b']' * 900,
        b'"\xff"',
        b'{}',
        b'null',
        b'',
        json.encode('x' * 900_000),
        json.encode([NESTED.decode()] * 9),
        encode_entry(server_entry(OTHER_IP)),
        *(encode_any(server_entry(ODD_IP, **odd)) for odd in ODD_FIELDS),
    ]
    pairs = [
        (entry_key(ODD_IP), b64encode(content).decode()) for content in contents
    ]
    odd_ip = b64encode(json.encode(server_entry('x y'))).decode()
    pairs.append((entry_key('x y'), odd_ip))
    return [*pairs, (entry_key(ODD_IP), '%%% not base64 é')]


def knows(mesh: Mesh, ip: str) -> Callable[[], bool]:
    records = outbound_of(mesh.hosts[0])._records
    return lambda: f'i-{ip}' in records.by_instance


@pytest.mark.parametrize('compacted', [False, True])
def test_odd_entries_do_not_hide_later_ones(compacted: bool) -> None:
    """Guards against a daemon that stops following the list of servers.

    Another writer leaves an entry that cannot be used; both ways of reading
    the list meet it.
    """

    async def scenario(mesh: Mesh) -> None:
        # The daemon subscribes to the servers of a service in use.
        assert (await mesh.fetch(0, '/read/1', 'r-1')).status == HTTPStatus.OK
        for key, content in odd_entries():
            await mesh.store.put(key, content)
        if compacted:
            mesh.store.compacted_revision = mesh.store._revision + 2
        good = b64encode(encode_entry(server_entry(OTHER_IP))).decode()
        await mesh.store.put(entry_key(OTHER_IP), good)
        mesh.store.compacted_revision = 0
        await mesh.wait_until(knows(mesh, OTHER_IP))
        known = outbound_of(mesh.hosts[0])._records.by_instance
        assert known.keys() == {'i-0', f'i-{OTHER_IP}'}

    run_in_mesh(scenario)


def test_odd_own_entry_does_not_stop_the_daemon() -> None:
    """Guards against a restart that takes over an unusable entry.

    Its slot share would make each later announcement fail.
    """

    async def scenario(mesh: Mesh) -> None:
        ip = mesh.hosts[0].settings.ip
        odd = server_entry(ip, slot_share=1e308, slots=2**40)
        await mesh.hosts[0].kernel.stop()
        await mesh.store.put(
            entry_key(ip), b64encode(json.encode(odd)).decode()
        )
        await mesh.restart(0)
        await mesh.wait_until(lambda: mesh.version(0) == 1)
        assert await mesh.announce(0, seq=2) == HTTPStatus.OK
        assert 1 <= mesh._inbound(0)._server.load().limit <= 10

    run_in_mesh(scenario)


def odd_announcements(body: dict[str, Any]) -> list[bytes]:
    changes: tuple[dict[str, Any], ...] = (
        {'born': HUGE},
        {'born': -1},
        {'seq': HUGE},
        {'slots': HUGE},
        {'slots': -3},
        {'slots': 0},
        {'cold_left_ms': 'nan'},
        {'cold_left_ms': 1e300},
        {'cold_left_ms': []},
        {'service': 'a\r\nb'},
        {'service': 'x' * 2000},
        {'state': ['ready']},
    )
    return [
        b'[' * 3000,
        b'{"seq":' + b'[' * 3000,
        b'\xff\xfe',
        b'[]',
        *(encode_any(body | change) for change in changes),
    ]


def test_odd_heartbeat_is_rejected_and_the_next_one_accepted() -> None:
    """Guards against a heartbeat that is taken over although it is odd.

    Deep nesting was answered with status 502 in place of 400.
    """

    async def scenario(mesh: Mesh) -> None:
        host = mesh.hosts[0]
        path = f'/-/instances/{host.server.instance}'
        body = json.decode(host.server.announcement('shop', 'zone-1'))
        for odd in odd_announcements(body | {'seq': 50}):
            response = await send_request(
                host.settings.control, b'PUT', path, odd
            )
            assert response.status == HTTPStatus.BAD_REQUEST, odd[:200]
        assert await mesh.announce(0, seq=60, slots=3) == HTTPStatus.OK
        await mesh.wait_until(lambda: stored_slots(mesh) == 3)

    run_in_mesh(scenario)


def test_heartbeat_with_too_large_a_number_does_not_stop_later_ones() -> None:
    """Guards against a server whose load is not reported any more.

    A number of more than 64 bits cannot be encoded for a datagram, which
    ended the loop of the reports.
    """

    async def scenario(mesh: Mesh) -> None:
        host = mesh.hosts[0]
        path = f'/-/instances/{host.server.instance}'
        body = json.decode(host.server.announcement('shop', 'zone-1'))
        odd = encode_any(body | {'slots': HUGE, 'seq': 50})
        await send_request(host.settings.control, b'PUT', path, odd)
        await sleep(1)
        assert await mesh.announce(0, seq=60, slots=3) == HTTPStatus.OK
        await mesh.wait_until(lambda: stored_slots(mesh) == 3)

    run_in_mesh(scenario)


def test_corrected_port_of_a_server_is_used() -> None:
    """Guards against requests that are sent to the port of an odd entry.

    The entry is valid but wrong, and a later one of the same server is right.
    """
    records = ServerRecords('10.0.0.1', 'zone-1')
    odd = server_entry(OTHER_IP, inbound_port=8001)
    for entry in (odd, server_entry(OTHER_IP, sequence=2)):
        records.replace({entry.instance: entry})
    assert records.by_instance[odd.instance].pool.port == 8000


def stored_slots(mesh: Mesh) -> int:
    contents = mesh.store.read_values(
        ENTRY_KEY_PREFIX + mesh.hosts[0].settings.ip
    )
    return sum(json.decode(content)[7] for content in contents.values())
