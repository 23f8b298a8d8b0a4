"""Tests of the memory that bytes of other programs take in the parsers."""

import asyncio
from collections.abc import Awaitable, Callable
from tracemalloc import get_traced_memory, start, stop

import pytest

from bergamotshunt.http.client_connection import (
    ClientConnection,
    ResponseLostError,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.http.request_parser import BODY_PIECE_BYTES
from bergamotshunt.http.server_connection import MAX_PIPELINED_REQUESTS

IP = '127.0.0.1'
KIB = 1024
CONNECTIONS = 64
# What a connection may hold of a response that has failed.
MAX_CONNECTION_BYTES = 64 * KIB
# As much as one read of the event loop takes.
READ_BYTES = 256 * KIB
HEADER_LINES = b'a:\r\n' * (READ_BYTES // 4)
TINY_REQUEST = b'GET / HTTP/1.1\r\n\r\n'
BODY = b'x' * 3000
# The limit of unfinished requests holds between the pieces that are parsed.
MAX_STARTED = MAX_PIPELINED_REQUESTS + BODY_PIECE_BYTES // len(TINY_REQUEST)


def measure(scenario: Callable[[], Awaitable[None]]) -> int:
    """Return the peak of the traced memory of a scenario, in bytes."""
    start()
    try:
        asyncio.run(scenario())  # type: ignore[arg-type]
        return get_traced_memory()[1]
    finally:
        stop()


@pytest.mark.parametrize(
    'response',
    [
        b'HTTP/1.1 200 OK\r\n' + HEADER_LINES,
        b'HTTP/1.1 200 OK\r\nName: ' + b'x' * READ_BYTES,
    ],
    ids=['header lines', 'header line'],
)
def test_failed_responses_take_little_memory(response: bytes) -> None:
    """Guards against headers that stay with connections after they failed.

    A faulty server sends header lines without end on many connections. Each
    held 1.5 MB until the connection object was collected as garbage.
    """

    async def run_scenario() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, IP, 0)
        port = server.sockets[0].getsockname()[1]
        connections = []
        loop = asyncio.get_running_loop()
        for _ in range(CONNECTIONS):
            _, connection = await loop.create_connection(
                ClientConnection, IP, port
            )
            connections.append(connection)
            with pytest.raises(ResponseLostError):
                await connection.send_request(TINY_REQUEST, whole=True)
        held, _ = get_traced_memory()
        assert held < CONNECTIONS * MAX_CONNECTION_BYTES
        server.close()

    measure(run_scenario)


class FloodedListener:
    """A listener whose handlers wait, and one client that floods it."""

    def __init__(self) -> None:
        self.started = 0
        self.may_respond = asyncio.Event()
        self.listener = Listener(self._serve)

    async def send(self, request: bytes) -> asyncio.StreamReader:
        port = await self.listener.open(IP, 0)
        reader, self.writer = await asyncio.open_connection(IP, port)
        self.writer.write(request)
        return reader

    async def close(self) -> None:
        self.writer.transport.abort()
        await self.listener.close()

    async def _serve(self, exchange: Exchange) -> None:
        self.started += 1
        await self.may_respond.wait()
        exchange.respond(200, [])


def test_request_with_many_header_lines_takes_little_memory() -> None:
    """Guards against heads that take far more memory than they have bytes."""

    async def run_scenario() -> None:
        flooded = FloodedListener()
        reader = await flooded.send(b'GET / HTTP/1.1\r\n' + HEADER_LINES)
        assert (await reader.readline()).split()[1] == b'431'
        await flooded.close()

    assert measure(run_scenario) < 2 * READ_BYTES + KIB * KIB


@pytest.mark.parametrize(
    'first_request',
    [TINY_REQUEST, b'POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n' + BODY],
    ids=['heads', 'behind a body'],
)
def test_pipelined_requests_start_a_few_at_a_time(
    first_request: bytes,
) -> None:
    """Guards against a handler for each of many requests of one read.

    The limit of unfinished requests was applied between reads only. All of
    them are answered in the end.
    """
    count = READ_BYTES // len(TINY_REQUEST)

    async def run_scenario() -> None:
        flooded = FloodedListener()
        reader = await flooded.send(first_request + TINY_REQUEST * count)
        while flooded.started < MAX_PIPELINED_REQUESTS:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        assert flooded.started <= MAX_STARTED
        flooded.may_respond.set()
        for _ in range(count + 1):
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
        await flooded.close()

    assert measure(run_scenario) < 8 * KIB * KIB
