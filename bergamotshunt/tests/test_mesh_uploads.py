"""Tests of responses that arrive before the body of their request."""

import asyncio

from bergamotshunt.http.client_connection import ClientConnection, Response
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.platform.names import REQUEST_ID
from bergamotshunt.plugins.mesh.inbound import InboundTask
from bergamotshunt.tests.mesh import HOST, Mesh
from standins.mesh_server import MeshServer, respond_with_echo

UPLOAD_BYTES = 200_000
FIRST_BYTES = 1000
# Well below the timeout of the route, 3 s.
EARLY_S = 1.0
CHUNK_BYTES = 65_536
LONG_BYTES = 256 * CHUNK_BYTES
LONG_TIMEOUT_S = 5.0


class Upload:
    """A client's request with a body that is sent in parts."""

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection

    def start(self, request_id: str, size: int | None) -> None:
        """Send the head; without a size, the body is chunked."""
        head = encode_request_head(
            b'POST',
            b'/book/1',
            [(b'Host', HOST), (REQUEST_ID, request_id.encode())],
            size,
        )
        self.pending = self.connection.send_request(head, whole=False)

    async def respond(self) -> Response:
        """Return the response; it has to arrive before the deadline."""
        async with asyncio.timeout(EARLY_S):
            return await self.pending


async def open_upload(mesh: Mesh) -> Upload:
    address = mesh.hosts[0].settings.outbound
    _, connection = await asyncio.get_running_loop().create_connection(
        ClientConnection, address.ip, address.port
    )
    return Upload(connection)


async def respond_early(server: MeshServer, exchange: Exchange) -> None:
    """Respond without reading the body."""
    exchange.respond(200, server.headers(exchange), b'done')


def test_early_response_reaches_a_client_that_pauses_its_upload() -> None:
    """Guards against a response that waits for the client's next bytes.

    The client pauses, gets the response, sends the rest and a second request
    on the same connection. No server may take the rest for a request.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_early]) as mesh:
            upload = await open_upload(mesh)
            for request_id, size in (('r1', UPLOAD_BYTES), ('r2', None)):
                chunked = size is None
                upload.start(request_id, size)
                await upload.connection.write(
                    bytes(FIRST_BYTES), chunked=chunked
                )
                response = await upload.respond()
                assert response.head.status == 200
                assert await response.body.read_up_to(10) == b'done'
                await upload.connection.write(
                    bytes(UPLOAD_BYTES - FIRST_BYTES), chunked=chunked
                )
                await upload.connection.write(b'', chunked=chunked)
                assert upload.connection.reusable
            upload.connection.close()
            assert mesh.runs() == [b'r1', b'r2']

    asyncio.run(run_scenario())


def test_refusal_reaches_a_client_that_pauses_its_upload() -> None:
    """Guards against a timeout in place of the promise that nothing ran.

    The daemon beside the server stops, and refuses before it reads the body.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_early]) as mesh:
            inbound = mesh.hosts[0].kernel.tasks_by_name['inbound']
            assert isinstance(inbound, InboundTask)
            inbound._refusing = True
            upload = await open_upload(mesh)
            upload.start('r1', UPLOAD_BYTES)
            await upload.connection.write(bytes(FIRST_BYTES), chunked=False)
            response = await upload.respond()
            upload.connection.close()
            assert response.head.status == 503
            assert float(response.head.by_name[b'retry-after']) > 0
            assert mesh.runs() == []

    asyncio.run(run_scenario())


def test_disconnected_upload_cancels_its_request() -> None:
    """Guards against a server that works on for a client that left."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            upload = await open_upload(mesh)
            upload.start('r1', UPLOAD_BYTES)
            await upload.connection.write(bytes(FIRST_BYTES), chunked=False)
            await mesh.wait_until(lambda: bool(server.runs))
            upload.connection.close()
            async with asyncio.timeout(EARLY_S):
                await mesh.wait_until(lambda: server.cancelled == 1)

    asyncio.run(run_scenario())


def test_long_early_response_reaches_a_client_that_uploads_first() -> None:
    """Guards against a client and a daemon that wait for each other to read.

    The client reads nothing before its whole body is sent; the response is
    longer than all buffers on the way.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_early_and_long]) as mesh:
            address = mesh.hosts[0].settings.outbound
            head = encode_request_head(
                b'POST',
                b'/book/1',
                [(b'Host', HOST), (REQUEST_ID, b'r1')],
                LONG_BYTES,
            )
            reader, writer = await asyncio.open_connection(
                address.ip, address.port, limit=1024
            )
            writer.write(head + bytes(LONG_BYTES))
            async with asyncio.timeout(LONG_TIMEOUT_S):
                await writer.drain()
                head = await reader.readuntil(b'\r\n\r\n')
                content = await reader.readexactly(LONG_BYTES)
            writer.close()
            assert head.startswith(b'HTTP/1.1 200 ')
            assert content == bytes(LONG_BYTES)

    asyncio.run(run_scenario())


async def respond_early_and_long(
    server: MeshServer, exchange: Exchange
) -> None:
    """Respond with a long body without reading the request's."""
    exchange.start(200, server.headers(exchange), LONG_BYTES)
    for _ in range(LONG_BYTES // CHUNK_BYTES):
        exchange.write(bytes(CHUNK_BYTES))
        await exchange.drain()
    exchange.finish()
