"""Tests of pipelined requests whose connection is about to close."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

import pytest

from bergamotshunt.daemon import create_runner
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.http.server_connection import MAX_PIPELINED_REQUESTS
from bergamotshunt.routing import ClientLimits
from bergamotshunt.tests.slow_client import SlowClient

RUNNERS = (asyncio.Runner, create_runner)
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
SECOND_REQUEST = REQUEST.replace(b'/a', b'/b')
LIMITS = ClientLimits(head_bytes=4096, body_bytes=10, head_timeout_ms=150)
REJECTED_REQUESTS = {
    b'408': b'GET /c HT',
    b'400': b'no request\r\n\r\n',
    b'431': b'GET /c HTTP/1.1\r\nLong: ' + bytes(8192).replace(b'\0', b'x'),
    b'413': b'POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n',
}


@pytest.mark.parametrize('runner_factory', RUNNERS)
@pytest.mark.parametrize('status', REJECTED_REQUESTS)
def test_requests_before_a_rejected_one_are_answered(
    status: bytes,
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a close that loses the response to a request that ran."""

    async def run_scenario() -> bytes:
        may_respond = asyncio.Event()

        async def serve(exchange: Exchange) -> None:
            await may_respond.wait()
            if exchange.head.target == b'/b':
                await asyncio.sleep(0.05)
            exchange.respond(200, [], exchange.head.target)

        listener = Listener(serve, LIMITS)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST + SECOND_REQUEST)
            await asyncio.sleep(0.05)
            await client.send(REJECTED_REQUESTS[status])
            await asyncio.sleep(0.4)
            may_respond.set()
            response = await client.read_until_closed()
        await listener.close()
        return response

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert response.count(b'HTTP/1.1 200') == 2
    assert response.count(b'HTTP/1.1 ' + status) == 1
    # Only the last response announces the close.
    assert response.lower().count(b'connection: close') == 1


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_reading_resumes_after_many_pipelined_requests(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a connection that is never read again."""
    burst = MAX_PIPELINED_REQUESTS + 16

    async def run_scenario() -> int:
        served = 0

        async def serve(exchange: Exchange) -> None:
            nonlocal served
            served += 1
            exchange.respond(200, [])

        listener = Listener(serve)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            for total in (burst, 2 * burst):
                await client.send(REQUEST * burst)
                with suppress(TimeoutError):
                    async with asyncio.timeout(1):
                        while served < total:
                            await asyncio.sleep(0.01)
        await listener.close()
        return served

    with runner_factory() as runner:
        assert runner.run(run_scenario()) == 2 * burst
