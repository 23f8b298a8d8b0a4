"""Tests of clients that send requests ahead and read no response.

The users' rule for such clients: no process ends, its memory stays within a
bound, and an ordinary request is answered afterwards.
"""

import asyncio
from collections.abc import Callable

import pytest

from bergamotshunt.daemon import create_runner
from bergamotshunt.decisions.connection_closing import choose_largest
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import MAX_UNREAD_BYTES, Listener
from bergamotshunt.http.server_connection import MAX_PIPELINED_REQUESTS
from bergamotshunt.tests.mesh import send_request
from bergamotshunt.tests.slow_client import SlowClient
from bergamotshunt.mesh_settings import Address

RUNNERS = (asyncio.Runner, create_runner)
IP = '127.0.0.1'
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
RESPONSE_BYTES = 65_000
# What one client sends ahead.
REQUESTS_AHEAD = 500
# The buffers of the system take some responses on each connection.
SYSTEM_RESPONSES = 100
CLIENTS = 16
SETTLE_S = 0.5


class CountingHandler:
    """Responds at once, and counts the requests."""

    def __init__(self) -> None:
        self.count = 0
        self.listener = Listener(self.serve)
        self.most_unread_bytes = 0

    async def serve(self, exchange: Exchange) -> None:
        self.count += 1
        exchange.respond(200, [], bytes(RESPONSE_BYTES))
        self.most_unread_bytes = max(
            self.most_unread_bytes,
            sum(
                connection.unread_bytes
                for connection in self.listener.connections
            ),
        )


async def wait_until_settled(handler: CountingHandler) -> None:
    """Wait until no further request is started."""
    count = -1
    while count != handler.count:
        count = handler.count
        await asyncio.sleep(SETTLE_S)


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_client_that_reads_nothing_gets_no_further_responses(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against responses that pile up for one client.

    Once it reads, it gets all of them.
    """

    async def run_scenario() -> None:
        handler = CountingHandler()
        port = await handler.listener.open(IP, 0)
        async with SlowClient(IP, port) as client:
            await client.send(REQUEST * REQUESTS_AHEAD)
            await wait_until_settled(handler)
            assert handler.count <= MAX_PIPELINED_REQUESTS + SYSTEM_RESPONSES
            received = 0
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(20):
                while received < REQUESTS_AHEAD * RESPONSE_BYTES:
                    received += len(
                        await loop.sock_recv(client._socket, 1 << 20)
                    )
        assert handler.count == REQUESTS_AHEAD
        await handler.listener.close()

    with runner_factory() as runner:
        runner.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_crowd_that_reads_nothing_stays_within_the_limit(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a process that a crowd ends by its memory.

    The first request of each client is answered last: the responses to those
    behind it wait.
    """

    async def run_scenario() -> None:
        may_respond = asyncio.Event()
        handler = CountingHandler()
        respond = handler.serve

        async def serve(exchange: Exchange) -> None:
            if exchange.head.target == b'/first':
                await may_respond.wait()
            await respond(exchange)

        listener = Listener(serve)
        handler.listener = listener
        port = await listener.open(IP, 0)
        clients = [SlowClient(IP, port) for _ in range(CLIENTS)]
        for client in clients:
            await client.__aenter__()
            ahead = REQUEST.replace(b'/a', b'/first') + REQUEST * REQUESTS_AHEAD
            await client.send(ahead)
        await wait_until_settled(handler)
        # Output of one interval between two checks comes on top.
        assert handler.most_unread_bytes <= 2 * MAX_UNREAD_BYTES
        assert 0 < len(listener.connections) < CLIENTS
        response = await send_request(Address(IP, port), b'GET', '/b')
        assert response.status == 200
        assert len(response.content) == RESPONSE_BYTES
        for client in clients:
            await client.__aexit__(None, None, None)
        await listener.close()

    with runner_factory() as runner:
        runner.run(run_scenario())


def test_largest_connections_are_closed_first() -> None:
    """Guards against clients that lose their connection to others' output."""
    sizes = {'a': 10, 'b': 50, 'c': 30}
    assert choose_largest(sizes, 90) == []
    assert choose_largest(sizes, 89) == ['b']
    assert choose_largest(sizes, 20) == ['b', 'c']
