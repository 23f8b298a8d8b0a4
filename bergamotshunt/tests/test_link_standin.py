"""Tests the TCP and UDP link stand-ins, which inject network faults."""

import asyncio
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from bergamotshunt.http.web import HttpServer
from standins.backend import BackendStandIn
from standins.link import TcpLink
from standins.udp_link import UdpLink


async def open_server_and_link(app: Any) -> tuple[HttpServer, TcpLink, str]:
    server = HttpServer(app, '127.0.0.1', 0)
    await server.open()
    link = TcpLink(server.port)
    await link.open()
    return server, link, f'http://127.0.0.1:{link.port}/balances/1'


async def fetch(
    url: str, timeout_s: float = 10, request_id: str = 'r1'
) -> bytes:
    timeout = ClientTimeout(total=timeout_s)
    headers = {'bergamotshunt-request-id': request_id}
    async with ClientSession(timeout=timeout) as session:
        async with session.get(url, headers=headers) as response:
            return await response.read()


def test_link_duplicates_whole_requests() -> None:
    """Guards against a link whose fault ``duplicate`` has no effect.

    Cells of the fault matrix would pass without the fault.
    """

    async def scenario() -> None:
        app = BackendStandIn('s1')
        server, link, url = await open_server_and_link(app)
        link.change_faults(duplicate=True)
        assert (await fetch(url)).startswith(b's1 GET')
        async with asyncio.timeout(10):
            while app.runs_by_request_id['r1'] < 2:
                await asyncio.sleep(0)
        await link.close()
        await server.close()

    asyncio.run(scenario())


def test_cut_link_passes_nothing_until_restored() -> None:
    """Guards against a cut link that passes requests or responses.

    After ``cut_from`` the server has run the request, and only its response
    is missing.
    """

    async def scenario() -> None:
        app = BackendStandIn('s1')
        server, link, url = await open_server_and_link(app)
        for direction, runs in (('cut_to', 0), ('cut_from', 1)):
            link.change_faults(**{direction: True})
            try:
                await fetch(url, 0.3, direction)
            except (TimeoutError, ClientError):
                pass
            else:
                raise AssertionError(f'a response arrived despite {direction}')
            assert app.runs_by_request_id[direction] == runs
            link.change_faults(**{direction: False})
        assert await fetch(url)
        await link.close()
        await server.close()

    asyncio.run(scenario())


def test_gate_holds_data_with_the_marker() -> None:
    """Guards against a gate that lets the fault matrix miss its step.

    The server must not run the request while the gate holds half of the
    bytes with the marker.
    """

    async def scenario() -> None:
        app = BackendStandIn('s1')
        server, link, url = await open_server_and_link(app)
        gate = link.add_gate('to', b'r1', half=True)
        response_task = asyncio.create_task(fetch(url))
        async with asyncio.timeout(10):
            await gate.held.wait()
        assert not app.runs_by_request_id
        link.open_gates()
        assert await response_task
        await link.close()
        await server.close()

    asyncio.run(scenario())


class EchoProtocol(asyncio.DatagramProtocol):
    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.transport.sendto(data, addr)


class DatagramCollector(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: asyncio.Queue[bytes] = asyncio.Queue()

    def datagram_received(self, data: bytes, _addr: Any) -> None:
        self.received.put_nowait(data)


def test_datagrams_are_duplicated_and_lost() -> None:
    """Guards against a UDP link whose faults have no effect.

    A duplicated datagram arrives four times here, as its echo is duplicated
    too.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        echo, _ = await loop.create_datagram_endpoint(
            EchoProtocol, local_addr=('127.0.0.1', 0)
        )
        link = UdpLink(echo.get_extra_info('sockname')[1])
        await link.open()
        collector = DatagramCollector()
        client, _ = await loop.create_datagram_endpoint(
            lambda: collector, remote_addr=('127.0.0.1', link.port)
        )
        link.change_faults(cut_to=True)
        client.sendto(b'lost')
        async with asyncio.timeout(10):
            while not link.dropped:
                await asyncio.sleep(0)
        link.change_faults(cut_to=False, duplicate=True)
        client.sendto(b'twice')
        async with asyncio.timeout(10):
            received = [await collector.received.get() for _ in range(4)]
        assert received == [b'twice'] * 4
        for transport in (echo, client, link):
            transport.close()

    asyncio.run(scenario())
