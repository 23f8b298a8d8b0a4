"""Tests a mesh of daemons with odd datagrams."""

from asyncio import DatagramProtocol, get_running_loop
from http import HTTPStatus
from math import inf, nan
from typing import Any

from msgspec import msgpack

from bergamotshunt.tests.mesh import Mesh, outbound_of
from bergamotshunt.tests.odd_input import (
    HUGE,
    ODD_FIELDS,
    ODD_IP,
    OTHER_IP,
    counter,
    run_in_mesh,
    server_entry,
)


def replace_at(row: list[Any], position: int, odd: Any) -> list[Any]:
    changed = list(row)
    changed[position] = odd
    return changed


def odd_datagrams() -> list[bytes]:
    load = [0, 0, 4, 1.0, 60.0, 0.0, True, [0, 0, 0, 1, 1]]
    odd_loads = [
        replace_at(load, position, odd)
        for position in range(6)
        for odd in (-1, 2**63, 1e300, nan, inf, -inf)
        if position > 2 or isinstance(odd, int)
    ]
    odd_loads += [
        [*load[:7], [*[0] * position, odd, *[1] * (4 - position)]]
        for position in range(5)
        for odd in (nan, inf, -inf, -1.0, 1e300)
    ]
    reports: list[Any] = [['i-0', odd, 1] for odd in odd_loads]
    reports += [['i-0', load, 2**63], ['i-0', load, -1]]
    reports += [
        ['i-0', load, 1, list(server_entry(ODD_IP, **odd))]
        for odd in ODD_FIELDS
        if HUGE not in odd.values()
    ]
    subscriptions = [
        [odd_ip, 1]
        for odd_ip in (
            'x y',
            '',
            '::1',
            '300.1.1.1',
            '0.0.0.0',
            '255.255.255.255',
            'a\0b',
        )
    ]
    subscriptions += [['127.0.0.1', 2**63], ['127.0.0.1', -1]]
    return [
        b'\x91' * 1200,
        b'\x91' * 60_000,
        b'\xff',
        *(msgpack.encode([report, None]) for report in reports),
        *(msgpack.encode([None, odd]) for odd in subscriptions),
    ]


class ReportCollector(DatagramProtocol):
    """Counts received datagrams."""

    def __init__(self) -> None:
        self.count = 0

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.count += 1


def test_odd_datagrams_do_not_stop_the_reports() -> None:
    """Guards against a daemon whose load is not reported any more.

    A datagram can be sent to an IPv4 address only, and a load that is not a
    number breaks the choice of a server.
    """

    async def scenario(mesh: Mesh) -> None:
        settings = mesh.hosts[0].settings
        (
            transport,
            collector,
        ) = await get_running_loop().create_datagram_endpoint(
            ReportCollector, (OTHER_IP, settings.datagram_port)
        )
        daemon = (settings.ip, settings.datagram_port)
        for content in odd_datagrams():
            received = counter(mesh, 'loads', 'load_datagrams_received')
            transport.sendto(content, daemon)
            # One at a time, as the system drops what exceeds its buffer.
            await mesh.wait_until(
                lambda: (
                    counter(mesh, 'loads', 'load_datagrams_received') > received
                )
            )
        collector.count = 0
        transport.sendto(msgpack.encode([None, [OTHER_IP, 1]]), daemon)
        await mesh.wait_until(lambda: collector.count > 3)
        transport.close()
        assert (await mesh.fetch(0, '/read/1', 'r-1')).status == HTTPStatus.OK
        records = outbound_of(mesh.hosts[0])._records
        assert records.by_instance.keys() == {'i-0'}

    run_in_mesh(scenario)
