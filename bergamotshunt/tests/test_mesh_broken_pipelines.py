"""Tests of long responses that fail beside other requests of a connection."""

import asyncio

import pytest

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.platform.names import REQUEST_ID, TIMEOUT_MS
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    HOST,
    READ_ROUTE,
    Mesh,
    configuration,
)
from bergamotshunt.tests.test_broken_pipelines import parse_responses
from standins.mesh_server import MeshServer

DOWNLOAD_ROUTE = {'prefix': '/big/', 'kind': 'download', 'service': 'shop'}
SHORT_TIMEOUT_ROUTE = READ_ROUTE | {'prefix': '/short/', 'timeout_ms': 500}
# More than a daemon buffers of a response before it sends the first byte.
LONG_CONTENT = bytes(range(256)) * 600
SENT_BYTES = 66_000
WAIT_S = 10.0
LEFT_MS = 5000


class LongResponses:
    """Servers whose responses to ``/ID/long`` end in a chosen way.

    Attributes:
        outcome: ``whole``, ``breaks-off`` or ``silent``.
        may_begin: The long response begins once it is set.
        may_respond: The other responses follow once it is set.
        broken: Set when a long response has broken off.
    """

    def __init__(self, outcome: str) -> None:
        self.outcome = outcome
        self.may_begin = asyncio.Event()
        self.may_respond = asyncio.Event()
        self.broken = asyncio.Event()

    async def respond(self, server: MeshServer, exchange: Exchange) -> None:
        if not exchange.head.target.endswith(b'/long'):
            await self.may_respond.wait()
            exchange.respond(200, server.headers(exchange), b'short')
            return
        await self.may_begin.wait()
        exchange.start(200, server.headers(exchange), len(LONG_CONTENT))
        exchange.write(LONG_CONTENT[:SENT_BYTES])
        await exchange.drain()
        if self.outcome == 'silent':
            await asyncio.Event().wait()
        if self.outcome == 'breaks-off':
            exchange.abort()
            self.broken.set()
            return
        exchange.write(LONG_CONTENT[SENT_BYTES:])
        exchange.finish()


def encode_request(method: bytes, path: bytes) -> bytes:
    headers = [
        (b'Host', HOST),
        (REQUEST_ID, path.strip(b'/').replace(b'/', b'-')),
        (TIMEOUT_MS, b'%d' % LEFT_MS),
    ]
    return encode_request_head(method, path, headers, 0)


class Client:
    """A client with one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer

    def send(self, *paths: bytes) -> None:
        for path in paths:
            method = b'POST' if path.startswith(b'/book/') else b'GET'
            self.writer.write(encode_request(method, path))

    async def read_statuses(self, count: int) -> list[int]:
        """Read whole responses; fewer if the connection closes before."""
        content = b''
        async with asyncio.timeout(WAIT_S):
            while True:
                whole = [
                    response
                    for response in parse_responses(content)
                    if response.is_whole
                ]
                chunk = b''
                if len(whole) < count:
                    chunk = await self._reader.read(1 << 20)
                if not chunk:
                    return [response.status for response in whole]
                content += chunk


async def open_client(mesh: Mesh) -> Client:
    await mesh.store.put(
        'op/config',
        configuration(
            2, READ_ROUTE, BOOKING_ROUTE, DOWNLOAD_ROUTE, SHORT_TIMEOUT_ROUTE
        ),
    )
    await mesh.wait_until(lambda: mesh.version(0) == 2)
    address = mesh.hosts[0].settings.outbound
    return Client(*await asyncio.open_connection(address.ip, address.port))


@pytest.mark.parametrize('route', [b'/read', b'/big'])
def test_requests_before_a_response_that_breaks_off_are_answered(
    route: bytes,
) -> None:
    """Guards against a booking that runs and whose response is lost.

    The response to a later request of the connection breaks off first.
    """

    async def run_scenario() -> None:
        responses = LongResponses('breaks-off')
        responses.may_begin.set()
        async with Mesh([responses.respond]) as mesh:
            client = await open_client(mesh)
            client.send(b'/book/1', route + b'/long')
            await responses.broken.wait()
            await asyncio.sleep(0.1)
            responses.may_respond.set()
            # Nothing depends on the connection any more, so that the long one
            # may have begun before it is known to have broken off.
            assert await client.read_statuses(2) in ([200], [200, 502])
            client.writer.close()

    asyncio.run(run_scenario())


def test_requests_behind_a_long_response_that_breaks_off_are_answered() -> None:
    """Guards against requests that run behind a response of a safe route.

    That it is long and breaks off is known only when they have been passed on.
    """

    async def run_scenario() -> None:
        responses = LongResponses('breaks-off')
        responses.may_respond.set()
        async with Mesh([responses.respond]) as mesh:
            client = await open_client(mesh)
            client.send(b'/read/long', b'/read/1', b'/read/2')
            await mesh.wait_until(lambda: len(mesh.runs()) == 3)
            responses.may_begin.set()
            assert await client.read_statuses(3) == [502, 200, 200]
            # The connection is still in use.
            client.send(b'/read/3')
            assert await client.read_statuses(1) == [200]
            client.writer.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize('route', [b'/read', b'/big'])
def test_long_response_with_requests_behind_it_arrives_whole(
    route: bytes,
) -> None:
    """Guards against a response that is kept for ever."""

    async def run_scenario() -> None:
        responses = LongResponses('whole')
        responses.may_respond.set()
        async with Mesh([responses.respond]) as mesh:
            client = await open_client(mesh)
            client.send(b'/read/1', route + b'/long', b'/read/2')
            responses.may_begin.set()
            assert await client.read_statuses(3) == [200] * 3
            client.writer.close()

    asyncio.run(run_scenario())


def test_server_that_falls_silent_does_not_hold_the_requests_behind() -> None:
    """Guards against a kept response whose rest never follows.

    It ends at the time limit of its route.
    """

    async def run_scenario() -> None:
        responses = LongResponses('silent')
        responses.may_respond.set()
        async with Mesh([responses.respond]) as mesh:
            client = await open_client(mesh)
            client.send(b'/short/long', b'/read/1')
            await mesh.wait_until(lambda: len(mesh.runs()) == 2)
            responses.may_begin.set()
            assert await client.read_statuses(2) == [504, 200]
            client.writer.close()

    asyncio.run(run_scenario())
