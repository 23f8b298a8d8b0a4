"""Tests of connections that close while their peer still uses them."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from bergamotshunt.daemon import create_runner
from bergamotshunt.http.client_connection import ClientConnection, Response
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.peers.peer_calls import CALL_HEADER
from bergamotshunt.plugins.mesh import outbound
from bergamotshunt.tests.mesh import Mesh
from bergamotshunt.tests.slow_client import SlowClient
from standins.mesh_server import MeshServer

RUNNERS = (asyncio.Runner, create_runner)
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
CONTENT = bytes(range(256)) * 1600
BYTES_BEFORE_LATE_REQUEST = len(CONTENT) // 2


async def respond_at_once(server: MeshServer, exchange: Exchange) -> None:
    exchange.respond(200, server.headers(exchange), b'done')


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_late_bytes_of_a_slow_client_do_not_cut_its_response(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a reset that destroys a response on its way.

    The system has accepted all bytes of the response, which the client still
    reads when it sends its next request. Closing before that resets the
    connection.
    """
    responded = asyncio.Event()

    async def respond(exchange: Exchange) -> None:
        exchange.respond(200, [], CONTENT)
        responded.set()

    async def run_scenario() -> bytes:
        listener = Listener(respond)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await responded.wait()
            listener.close_idle()
            content = b''
            while len(content) < BYTES_BEFORE_LATE_REQUEST:
                content += await client.read()
                await asyncio.sleep(0.02)
            await client.send(REQUEST)
            content += await client.read_until_closed()
        await listener.close()
        return content

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert response.partition(b'\r\n\r\n')[2] == CONTENT


def test_unsafe_request_that_crosses_a_close_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost request that no server has run.

    A daemon closes an idle connection of a peer at the moment at which the
    peer sends an unsafe request on it.
    """
    closing: list[Callable[[], None]] = []
    send_request = ClientConnection.send_request

    def close_and_send(
        connection: ClientConnection, head: bytes, *rest: Any, **options: Any
    ) -> 'asyncio.Future[Response]':
        # The client of this test uses the same class.
        while CALL_HEADER in head and closing:
            closing.pop()()
        return send_request(connection, head, *rest, **options)

    async def run_scenario() -> None:
        async with Mesh([respond_at_once, respond_at_once]) as mesh:
            for number in range(8):
                await mesh.fetch(0, '/read/1', f'r{number}')
            closing.extend(
                connection.close_if_idle
                for host in range(2)
                for connection in mesh.inbound_connections(host)
            )
            response = await mesh.fetch(0, '/book/1', 'booking', b'x')
            assert not closing
            assert (response.status, response.content) == (200, b'done')
            assert mesh.runs().count(b'booking') == 1

    monkeypatch.setattr(ClientConnection, 'send_request', close_and_send)
    asyncio.run(run_scenario())


@pytest.mark.parametrize('path', ['/read/1', '/book/1'])
def test_request_that_outlasts_the_drain_gets_a_response(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that are taken and cut at the end of the grace.

    The server does not respond in time. A request that comes later than new
    ones are accepted is refused and does not run.
    """
    monkeypatch.setattr(outbound, 'ACCEPT_AFTER_STOP_S', 0.05)

    async def never(_server: MeshServer, _exchange: Exchange) -> None:
        await asyncio.Event().wait()

    async def run_scenario() -> None:
        async with Mesh([never]) as mesh:
            kernel = mesh.hosts[0].kernel
            taken = asyncio.create_task(mesh.fetch(0, path, 'taken', b'x'))
            await mesh.wait_until(lambda: mesh.runs() == [b'taken'])
            draining = asyncio.create_task(kernel.drain(1.0))
            await asyncio.sleep(0.1)
            late = await mesh.fetch(0, path, 'late', b'x')
            assert late.status == 503
            assert not await draining
            await kernel.stop()
            assert (await taken).status == 504
            assert mesh.runs() == [b'taken']

    asyncio.run(run_scenario())


def test_refusal_of_a_stopping_daemon_states_when_to_return() -> None:
    """Guards against clients that return at once to a daemon that stops."""

    async def run_scenario() -> None:
        async with Mesh([respond_at_once]) as mesh:
            mesh.refuse_clients(0)
            response = await mesh.fetch(0, '/read/1', 'r1')
            assert response.status == 503
            assert float(response.by_name[b'retry-after']) > 0

    asyncio.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_bytes_that_the_system_sends_do_not_hold_a_drain(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a stop that lasts as long as its slowest client reads.

    The system has accepted the response, and the client goes on to read it.
    """
    responded = asyncio.Event()

    async def respond(exchange: Exchange) -> None:
        exchange.respond(200, [], CONTENT)
        responded.set()

    async def run_scenario() -> bool:
        listener = Listener(respond)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await responded.wait()
            reading = asyncio.create_task(read_for_long(client))
            listener.close_idle()
            async with asyncio.timeout(20):
                await listener.wait_until_idle()
            is_read = reading.done()
            reading.cancel()
        await listener.close()
        return is_read

    async def read_for_long(client: SlowClient) -> None:
        while await client.read():
            await asyncio.sleep(0.05)

    with runner_factory() as runner:
        assert not runner.run(run_scenario())
