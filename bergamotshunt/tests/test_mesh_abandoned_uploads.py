"""Tests of uploads that wait, unread, while their clients leave."""

import asyncio
from collections.abc import Callable

import pytest

from bergamotshunt.daemon import create_runner
from bergamotshunt.http.client_connection import (
    ClientConnection,
    Response,
    ResponseLostError,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.http.listeners import Listener
from bergamotshunt.platform.names import REQUEST_ID
from bergamotshunt.tests.mesh import HOST, Mesh
from standins.mesh_server import respond_with_echo

RUNNERS = (asyncio.Runner, create_runner)
# More than a daemon buffers of a body that nobody reads, and little enough
# for the buffers of the system: the end of the connection follows at once.
UPLOAD_BYTES = 150_000
# More than all buffers between two processes on one machine.
ENDLESS_BYTES = 64 << 20
# Well below the timeout of the route, 3 s.
NOTICE_S = 1.0


async def start_upload(
    ip: str, port: int, request_id: str, size: int
) -> 'tuple[ClientConnection, asyncio.Future[Response]]':
    """Send a whole upload, as far as the listener takes it."""
    _, connection = await asyncio.get_running_loop().create_connection(
        ClientConnection, ip, port
    )
    head = encode_request_head(
        b'POST',
        b'/book/1',
        [(b'Host', HOST), (REQUEST_ID, request_id.encode())],
        size,
    )
    pending = connection.send_request(head + bytes(size), whole=True)
    return connection, pending


class IdleHandler:
    """Handler that reads nothing; records its requests and their ends."""

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()

    async def serve(self, _exchange: Exchange) -> None:
        self.started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


@pytest.mark.parametrize('runner_factory', RUNNERS)
@pytest.mark.parametrize('size', [UPLOAD_BYTES, ENDLESS_BYTES])
def test_close_reaches_a_daemon_that_does_not_read(
    size: int,
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a request that goes on after its sender has left.

    The listener reads no more than it buffers. The close follows the rest of
    the body, which the sender's system either has sent or can't send.
    """

    async def run_scenario() -> None:
        handler = IdleHandler()
        listener = Listener(handler.serve)
        port = await listener.open('127.0.0.1', 0)
        connection, pending = await start_upload('127.0.0.1', port, 'r1', size)
        await handler.started.wait()
        await asyncio.sleep(0.05)
        connection.close()
        async with asyncio.timeout(NOTICE_S):
            await handler.cancelled.wait()
        await listener.close()
        with pytest.raises(ResponseLostError):
            await pending

    with runner_factory() as runner:
        runner.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_reading_goes_on_after_a_pause_that_was_watched(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a watch that ends connections whose clients stay."""

    async def run_scenario() -> int:
        may_read = asyncio.Event()

        async def serve(exchange: Exchange) -> None:
            await may_read.wait()
            content = await exchange.body.read_up_to(UPLOAD_BYTES)
            exchange.respond(200, [], b'%d' % len(content))

        listener = Listener(serve)
        port = await listener.open('127.0.0.1', 0)
        connection, pending = await start_upload(
            '127.0.0.1', port, 'r1', UPLOAD_BYTES
        )
        await asyncio.sleep(0.05)
        may_read.set()
        response = await pending
        content = await response.body.read_up_to(10)
        connection.close()
        await listener.close()
        return int(content)

    with runner_factory() as runner:
        assert runner.run(run_scenario()) == UPLOAD_BYTES


def test_upload_that_waits_for_a_slot_ends_with_its_client() -> None:
    """Guards against uploads that are run for clients that left long ago.

    The only slot is taken, so the daemon beside the server reads no more of
    the second upload than it buffers. Its client leaves; then the slot
    becomes free.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            outbound = mesh.hosts[0].settings.outbound
            server.may_respond.clear()
            await mesh.announce(0, slots=1, seq=2)
            first, answer = await start_upload(
                outbound.ip, outbound.port, 'r1', UPLOAD_BYTES
            )
            await mesh.wait_until(lambda: mesh.runs() == [b'r1'])
            second, _ = await start_upload(
                outbound.ip, outbound.port, 'r2', UPLOAD_BYTES
            )
            await mesh.wait_until(lambda: mesh.waiting(0) == 1)
            second.close()
            async with asyncio.timeout(NOTICE_S):
                await mesh.wait_until(lambda: mesh.waiting(0) == 0)
            server.may_respond.set()
            await answer
            first.close()
            assert mesh.runs() == [b'r1']

    asyncio.run(run_scenario())
