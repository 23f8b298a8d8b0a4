"""Tests of responses whose status is no HTTP status.

A server in trouble sends such a response, with its usual headers and body.
"""

import asyncio

import pytest

from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.tests.faulty_server import (
    ID_LINE,
    FaultyServer,
    Outcome,
    answer,
    respond,
)
from bergamotshunt.tests.guard_harness import GuardHarness, with_guard
from bergamotshunt.verdicts import Verdict

INVALID_STATUSES = ('000', '001', '099', '600', '999')
LOST = Outcome(Verdict.MAY_HAVE_RUN, 502, b'')
RAN = Outcome(Verdict.RAN, 200, b'ok')
# Longer than the test may take: the response has to be rejected at once.
LEFT_MS = 60_000
for_each_status = pytest.mark.parametrize('status', INVALID_STATUSES)


def response_with(status: str, request_id: bytes) -> bytes:
    whole = answer(request_id)
    return whole.replace(b'200 OK', status.encode() + b' Trouble', 1)


@for_each_status
@pytest.mark.parametrize('reused', [False, True], ids=['fresh', 'reused'])
def test_relay_rejects_an_invalid_status_at_once(
    status: str, reused: bool
) -> None:
    """Guards against a response that is passed on, or waited behind.

    The connection is not used again: bytes of that response may follow.
    """

    async def run_scenario() -> None:
        faulty = respond(response_with(status, b'r2'))
        first = [respond(answer(b'r1'))] if reused else []
        async with FaultyServer(
            *first, faulty, respond(answer(b'r3'))
        ) as server:
            if reused:
                assert await server.send('r1') == RAN
            assert await server.send('r2', left_ms=LEFT_MS) == LOST
            assert await server.send('r3') == RAN
            assert server.connections == 2

    asyncio.run(run_scenario())


@for_each_status
def test_relay_rejects_an_invalid_status_before_the_response(
    status: str,
) -> None:
    """Guards against an invalid response that is taken for an interim one."""

    async def run_scenario() -> None:
        contents = response_with(status, b'r1') + answer(b'r1')
        async with FaultyServer(respond(contents)) as server:
            assert await server.send('r1', left_ms=LEFT_MS) == LOST

    asyncio.run(run_scenario())


def test_relay_skips_interim_responses() -> None:
    """Guards against a check that rejects what precedes a response."""

    async def run_scenario() -> None:
        interim = b'HTTP/1.1 103 Early Hints\r\n%b\r\n' % (ID_LINE % b'r1')
        async with FaultyServer(respond(interim + answer(b'r1'))) as server:
            assert await server.send('r1') == RAN

    asyncio.run(run_scenario())


@for_each_status
@pytest.mark.parametrize('path', ['/balances/7', '/refunds'])
def test_guard_rejects_an_invalid_status(status: str, path: str) -> None:
    """Guards against a response that the caller gets with such a status."""

    async def scenario(harness: GuardHarness) -> None:
        if path == '/refunds':
            pending = asyncio.create_task(harness.request_booking('k1'))
        else:
            pending = asyncio.create_task(harness.request(path))
        exchange = await harness.backend.next()
        await exchange.send(b'42', f'{status} Trouble')
        response = await pending
        assert response.status == 502
        assert response.body != b'42'
        assert response.headers['bergamotshunt-verdict'] == 'may-have-run'

    with_guard(scenario)


@for_each_status
def test_client_of_daemons_rejects_an_invalid_status(status: str) -> None:
    """Guards against a caller's daemon that passes such a response on."""

    async def run_scenario() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(
                f'HTTP/1.1 {status} Trouble\r\ncontent-length: 2\r\n\r\n42'.encode()
            )
            await writer.drain()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(1)
        outcome = await client.send(
            HttpRequest('GET', f'http://127.0.0.1:{port}/', {}, b'', LEFT_MS)
        )
        await client.close()
        server.close()
        failure = outcome.failure()
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert failure.status == 502

    asyncio.run(run_scenario())
