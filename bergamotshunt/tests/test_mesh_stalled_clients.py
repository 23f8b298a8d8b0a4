"""Tests of clients that neither take responses nor end their requests."""

import asyncio
import socket
from collections.abc import Callable

import pytest

from bergamotshunt.daemon import create_runner
from bergamotshunt.decisions.connection_closing import DRAIN_STALL_TIMEOUT_S
from bergamotshunt.http.connection_ends import ConnectionEnd
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.routing import ClientLimits
from bergamotshunt.tests.slow_client import (
    LARGE_CONTENT,
    SlowClient,
    shrink_send_buffers,
)

RUNNERS = (asyncio.Runner, create_runner)
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
ENDLESS_REQUEST = (
    b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nabc'
)
LIMITS = ClientLimits(head_timeout_ms=200, idle_timeout_ms=300)
LONG_LIMITS = ClientLimits(idle_timeout_ms=60_000)
END_TIMEOUT_S = 4.0
PIECE = bytes(65_536)
PIECES = 20
# Reading a response takes longer than the idle timeout of LIMITS.
READ_INTERVAL_S = 0.02
# A client that takes nothing for longer than a drain waits for a silent one.
CLIENT_PAUSE_S = DRAIN_STALL_TIMEOUT_S + 0.7
CLIENT_TIME_S = CLIENT_PAUSE_S + 5


class Responder:
    """Listener whose handlers respond in the way a scenario needs.

    Attributes:
        ends: Ends of the listener's connections.
        request_time_s: How long the client of a request waits, in seconds.
        pieces: Number of pieces of a response that is written in pieces.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.ends: list[ConnectionEnd] = []
        self.request_time_s: float = 0
        self.pieces = PIECES
        self.listener = Listener(
            self.serve, limits, on_connection_end=self.ends.append
        )

    async def serve(self, exchange: Exchange) -> None:
        self.prepare(exchange)
        exchange.respond(200, [], LARGE_CONTENT)

    def prepare(self, exchange: Exchange) -> None:
        shrink_send_buffers(self.listener)
        exchange.deadline_s = exchange.arrived_s + self.request_time_s

    async def wait_for_end(self) -> bool:
        """Return whether a connection ends in time."""
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                while not self.ends:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            return False
        finally:
            await self.listener.close()
        return True


class StreamingResponder(Responder):
    """Writes a response in pieces as the client takes them."""

    async def serve(self, exchange: Exchange) -> None:
        self.prepare(exchange)
        exchange.start(200, [], self.pieces * len(PIECE))
        for _ in range(self.pieces):
            exchange.write(PIECE)
            await exchange.drain()
        exchange.finish()


class EarlyResponder(Responder):
    """Responds before the body of the request has ended."""

    async def serve(self, exchange: Exchange) -> None:
        exchange.respond(503, [])


@pytest.mark.parametrize('runner_factory', RUNNERS)
@pytest.mark.parametrize('draining', [False, True])
@pytest.mark.parametrize(
    ('responder_type', 'request_bytes', 'half_close'),
    [
        (StreamingResponder, REQUEST, False),
        (Responder, REQUEST, True),
        (EarlyResponder, ENDLESS_REQUEST, False),
    ],
)
def test_stalled_client_is_closed(
    responder_type: type[Responder],
    request_bytes: bytes,
    half_close: bool,
    draining: bool,
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against connections that a silent client keeps for good."""

    async def run_scenario() -> bool:
        responder = responder_type(LONG_LIMITS if draining else LIMITS)
        port = await responder.listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(request_bytes)
            await asyncio.sleep(0.2)
            if half_close:
                client._socket.shutdown(socket.SHUT_WR)
            if draining:
                responder.listener.close_after_responses()
            return await responder.wait_for_end()

    with runner_factory() as runner:
        assert runner.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
@pytest.mark.parametrize('responder_type', [Responder, StreamingResponder])
def test_drain_waits_for_a_client_that_still_has_time(
    responder_type: type[Responder],
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a stop that cuts the response to a busy client.

    The client takes no bytes for a while and reads on before the time is over
    that its request states.
    """

    async def run_scenario() -> int:
        responder = responder_type(LONG_LIMITS)
        responder.request_time_s = CLIENT_TIME_S
        responder.pieces = 2
        port = await responder.listener.open('127.0.0.1', 0)
        received = 0
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await asyncio.sleep(0.2)
            responder.listener.close_after_responses()
            await asyncio.sleep(CLIENT_PAUSE_S)
            # The connection stays open for the next request.
            while received <= len(LARGE_CONTENT):
                chunk = await client.read()
                if not chunk:
                    break
                received += len(chunk)
        await responder.listener.close()
        return received

    with runner_factory() as runner:
        assert runner.run(run_scenario()) > len(LARGE_CONTENT)


@pytest.mark.parametrize('runner_factory', RUNNERS)
@pytest.mark.parametrize('responder_type', [Responder, StreamingResponder])
def test_client_with_progress_is_not_closed(
    responder_type: type[Responder],
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a time limit that cuts slow clients."""

    async def run_scenario() -> int:
        responder = responder_type(LIMITS)
        port = await responder.listener.open('127.0.0.1', 0)
        received = 0
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            while chunk := await client.read():
                received += len(chunk)
                await asyncio.sleep(READ_INTERVAL_S)
        await responder.listener.close()
        return received

    with runner_factory() as runner:
        assert runner.run(run_scenario()) > len(LARGE_CONTENT)


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_client_of_a_slow_backend_server_is_not_closed(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a time limit for clients that counts a handler's wait."""

    async def run_scenario() -> bytes:
        async def serve(exchange: Exchange) -> None:
            await asyncio.sleep(1)
            exchange.start(200, [], 2)
            exchange.write(b'o')
            await asyncio.sleep(1)
            exchange.write(b'k')
            exchange.finish()

        listener = Listener(serve, LIMITS)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            response = await client.read_until_closed()
        await listener.close()
        return response

    with runner_factory() as runner:
        assert runner.run(run_scenario()).endswith(b'ok')
