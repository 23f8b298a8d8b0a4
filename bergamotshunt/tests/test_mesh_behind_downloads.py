"""Tests of requests that are sent behind a download on one connection."""

import asyncio

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.platform.names import REQUEST_ID, TIMEOUT_MS
from bergamotshunt.tests.mesh import HOST, READ_ROUTE, Mesh, configuration
from standins.mesh_server import MeshServer

DOWNLOAD_ROUTE = {'prefix': '/big/', 'kind': 'download', 'service': 'shop'}
# More than a daemon buffers of a response before it sends the first byte.
DOWNLOAD_BYTES = 300_000
SENT_BYTES = 200_000
WAIT_S = 10.0
LEFT_MS = 3000
SHORT_LEFT_MS = 300


class Downloads:
    """Servers that send a part of a download, and the rest when told to.

    Attributes:
        may_end: The rest follows once it is set.
        breaks_off: Whether the connection closes in place of the rest.
    """

    def __init__(self, *, breaks_off: bool) -> None:
        self.may_end = asyncio.Event()
        self.breaks_off = breaks_off

    async def respond(self, server: MeshServer, exchange: Exchange) -> None:
        if not exchange.head.target.startswith(b'/big/'):
            exchange.respond(200, server.headers(exchange), b'small')
            return
        exchange.start(200, server.headers(exchange), DOWNLOAD_BYTES)
        exchange.write(bytes(SENT_BYTES))
        await exchange.drain()
        await self.may_end.wait()
        if self.breaks_off:
            exchange.abort()
            return
        exchange.write(bytes(DOWNLOAD_BYTES - SENT_BYTES))
        exchange.finish()


def encode_request(path: bytes, request_id: bytes, left_ms: int) -> bytes:
    headers = [
        (b'Host', HOST),
        (REQUEST_ID, request_id),
        (TIMEOUT_MS, b'%d' % left_ms),
    ]
    return encode_request_head(b'GET', path, headers, 0)


class Client:
    """A client that sends requests behind a download."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, behind_left_ms: int = LEFT_MS) -> None:
        self.writer.write(
            encode_request(b'/big/1', b'd1', LEFT_MS)
            + encode_request(b'/read/1', b's1', behind_left_ms)
            + encode_request(b'/read/2', b's2', behind_left_ms)
        )

    async def read(self, heads: int) -> bytes:
        """Read until the end of the connection or a number of heads."""
        content = b''
        async with asyncio.timeout(WAIT_S):
            while content.count(b'HTTP/1.1 ') < heads:
                chunk = await self.reader.read(1 << 16)
                if not chunk:
                    break
                content += chunk
        return content


async def open_client(mesh: Mesh) -> Client:
    await mesh.store.put(
        'op/config', configuration(2, READ_ROUTE, DOWNLOAD_ROUTE)
    )
    await mesh.wait_until(lambda: mesh.version(0) == 2)
    address = mesh.hosts[0].settings.outbound
    return Client(*await asyncio.open_connection(address.ip, address.port))


def test_requests_behind_a_download_that_breaks_off_are_not_run() -> None:
    """Guards against requests that are run and end without a response.

    The connection closes with the download, as nothing else tells the client
    that it broke off. The client sends again what was not read.
    """

    async def run_scenario() -> None:
        downloads = Downloads(breaks_off=True)
        async with Mesh([downloads.respond]) as mesh:
            client = await open_client(mesh)
            client.send()
            await client.reader.readexactly(SENT_BYTES)
            downloads.may_end.set()
            await client.read(2)
            client.writer.close()
            assert mesh.runs() == [b'd1']

    asyncio.run(run_scenario())


def test_requests_behind_a_whole_download_are_run() -> None:
    """Guards against requests that wait for ever behind a download."""

    async def run_scenario() -> None:
        downloads = Downloads(breaks_off=False)
        async with Mesh([downloads.respond]) as mesh:
            client = await open_client(mesh)
            client.send()
            downloads.may_end.set()
            content = await client.read(3)
            client.writer.close()
            assert content.count(b'HTTP/1.1 200') == 3
            assert sorted(mesh.runs()) == [b'd1', b's1', b's2']

    asyncio.run(run_scenario())


def test_request_that_is_late_behind_a_download_is_refused() -> None:
    """Guards against a request that is run although its time is over.

    Its response promises that it has not run.
    """

    async def run_scenario() -> None:
        downloads = Downloads(breaks_off=False)
        async with Mesh([downloads.respond]) as mesh:
            client = await open_client(mesh)
            client.send(SHORT_LEFT_MS)
            await client.reader.readexactly(SENT_BYTES)
            await asyncio.sleep(2 * SHORT_LEFT_MS / 1000)
            downloads.may_end.set()
            content = await client.read(2)
            client.writer.close()
            assert content.count(b'HTTP/1.1 503') == 2
            assert mesh.runs() == [b'd1']

    asyncio.run(run_scenario())
