"""Tests what callers receive while a daemon process stops."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from socket import AF_INET, SO_RCVBUF, SOCK_STREAM, SOL_SOCKET, socket
from typing import Any

import pytest
from msgspec.json import encode

from bench.fleet import TOKENS_BY_OPERATOR, Fleet
from bench.hosts import Host
from bench.processes import IP
from bench.shapes import Shape

SHAPE = Shape('one', {'catalog': 1}, ('lima-a',), 'catalog', 'pack', 1)
READ_BYTES = 4096
# Longer than any time limit of the daemon's HTTP servers for their close.
READ_TIME_S = 8
EXIT_TIMEOUT_S = 60
BUFFERED_BYTES = 250_000
STREAMED_BYTES = 400_000
HELD_PATHS_BY_PORT = {'callers': '/catalog/packs/1', 'peers': '/packs/2'}
TOKEN = TOKENS_BY_OPERATOR['ana']
HEADERS = {
    'host': IP,
    'authorization': f'Bearer {TOKEN}',
    'bergamotshunt-request-id': 'r1',
    'bergamotshunt-deadline-ms': '60000',
}
# Number of changes whose documents together exceed ``STREAMED_BYTES``.
WIDE_CHANGES = 10


class SmallBufferFleet(Fleet):
    """Fleet whose daemons have small send buffers in the kernel."""

    def daemon_arguments(self, _host: Host, settings: Path) -> list[str]:
        return ['-m', 'bergamotshunt.tests.small_buffer_daemon', str(settings)]


class SlowResponse:
    """A response that is read a few bytes at a time.

    Attributes:
        head: Status line and headers, once they were received.
        body: The body as far as it was received.
    """

    def __init__(self) -> None:
        self.head = b''
        self.body = b''
        self._socket = socket(AF_INET, SOCK_STREAM)
        self._socket.setsockopt(SOL_SOCKET, SO_RCVBUF, READ_BYTES)
        self._socket.setblocking(False)

    async def request(self, port: int, path: str) -> None:
        """Send a request on a new connection."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (IP, port))
        lines = [f'GET {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in HEADERS.items()]
        message = '\r\n'.join((*lines, '', '')).encode()
        await loop.sock_sendall(self._socket, message)

    async def read_head(self) -> None:
        """Read the head and what arrives with it."""
        loop = asyncio.get_running_loop()
        received = b''
        while b'\r\n\r\n' not in received:
            piece = await loop.sock_recv(self._socket, READ_BYTES)
            assert piece, received
            received += piece
        self.head, _, self.body = received.partition(b'\r\n\r\n')

    async def read_rest(self) -> None:
        """Read slowly until the body is complete or the connection ends."""
        loop = asyncio.get_running_loop()
        pause_s = READ_TIME_S * READ_BYTES / self.length
        with self._socket:
            while len(self.body) < self.length:
                piece = await loop.sock_recv(self._socket, READ_BYTES)
                if not piece:
                    return
                self.body += piece
                await asyncio.sleep(pause_s)

    @property
    def length(self) -> int:
        """Return the stated length of the body in bytes."""
        for line in self.head.lower().split(b'\r\n'):
            name, _, text = line.partition(b':')
            if name == b'content-length':
                return int(text)
        raise AssertionError(self.head)


@asynccontextmanager
async def run_daemon_with_history(
    **daemon: Any,
) -> AsyncIterator[Host]:
    """Run a daemon whose list of changes is long."""
    async with SmallBufferFleet(SHAPE, 1, {'daemon': daemon}) as fleet:
        for number in range(WIDE_CHANGES):
            await put_wide_service(fleet, number)
        yield fleet.hosts[0]


async def put_wide_service(fleet: Fleet, number: int) -> None:
    """Submit a service with as many and as long targets as allowed."""
    targets = [
        {
            'name': f'wide-{index}',
            'methods': ['GET'],
            'path_prefix': f'/{index}/{"x" * 240}',
            'idempotent': True,
            'answered_within_ms': 100 + number,
        }
        for index in range(64)
    ]
    async with fleet.session.put(
        f'{fleet.hosts[0].url("admin")}/v1/targets/wide',
        data=encode({'service': 'wide', 'targets': targets}),
        headers={
            'authorization': f'Bearer {TOKEN}',
            **({'if-match': str_etag(number)} if number else {}),
        },
    ) as response:
        assert response.status in {200, 201}, await response.text()


def str_etag(number: int) -> str:
    """Return the tag of the change before this one."""
    return f'"{number + 1}"'


async def open_response(host: Host, port: str, path: str) -> SlowResponse:
    """Request a long response at a port and read its head."""
    response = SlowResponse()
    await response.request(host.ports_by_kind[port], path)
    await response.read_head()
    assert response.head.startswith(b'HTTP/1.1 200'), response.head
    return response


async def open_held(fleet: Fleet, port: str, path: str) -> SlowResponse:
    """Send a request that the backend server holds until it is released."""
    host = fleet.hosts[0]
    response = SlowResponse()
    await response.request(host.ports_by_kind[port], f'{path}?hold={port}')
    reached = f'{host.url("control")}/reached?name={port}'
    async with fleet.session.get(reached) as reply:
        assert reply.status == 200
    return response


async def wait_for_exit(host: Host) -> int:
    """Wait until the daemon has ended; return its exit code."""
    process = host.daemon.process
    assert process is not None
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        return await process.wait()


async def stop_and_read(host: Host, response: SlowResponse) -> int:
    """Stop a daemon while a response is read; return its exit code."""
    host.daemon.terminate()
    async with asyncio.timeout(EXIT_TIMEOUT_S):
        await response.read_rest()
    return await wait_for_exit(host)


@pytest.mark.parametrize(
    ('port', 'path'),
    [
        ('callers', f'/catalog/packs/1?answer_bytes={BUFFERED_BYTES}'),
        ('callers', f'/catalog/packs/2?answer_bytes={STREAMED_BYTES}'),
        ('peers', f'/packs/3?answer_bytes={BUFFERED_BYTES}'),
        ('peers', f'/packs/4?answer_bytes={STREAMED_BYTES}'),
        ('admin', '/v1/changes?limit=1000'),
    ],
)
def test_slow_reader_gets_whole_response_while_the_daemon_stops(
    port: str, path: str
) -> None:
    """Guards against responses that are cut when the process ends.

    The handler of a buffered response has ended long before a slow reader
    has received all of it. Only the drain timeout limits the reader's time.
    """

    async def scenario() -> None:
        async with run_daemon_with_history() as host:
            response = await open_response(host, port, path)
            exit_code = await stop_and_read(host, response)
            assert len(response.body) == response.length
            assert exit_code == 0, host.daemon.log_tail()

    asyncio.run(scenario())


def test_daemon_ends_soon_after_the_drain_timeout() -> None:
    """Guards against a daemon that a receiver keeps from ending.

    The receiver reads nothing until the daemon has ended. It then gets no
    more than a part of the stated length.
    """

    async def scenario() -> None:
        async with run_daemon_with_history(drain_timeout_s=1) as host:
            path = f'/catalog/packs/1?answer_bytes={BUFFERED_BYTES}'
            response = await open_response(host, 'callers', path)
            host.daemon.terminate()
            assert await wait_for_exit(host) == 1
            await response.read_rest()
            assert len(response.body) < response.length

    asyncio.run(scenario())


def test_requests_that_outlast_the_drain_get_a_verdict() -> None:
    """Guards against a caller that is not told what became of its request.

    The backend server holds the requests for longer than the drain timeout.
    """

    async def scenario() -> None:
        settings = {'daemon': {'drain_timeout_s': 1}}
        async with SmallBufferFleet(SHAPE, 1, settings) as fleet:
            host = fleet.hosts[0]
            responses = [
                await open_held(fleet, port, path)
                for port, path in HELD_PATHS_BY_PORT.items()
            ]
            host.daemon.terminate()
            exit_code = await wait_for_exit(host)
            for response in responses:
                await response.read_head()
                await response.read_rest()
                assert b'bergamotshunt-verdict: may-have-run' in response.head
                assert len(response.body) == response.length
            assert exit_code == 1

    asyncio.run(scenario())
