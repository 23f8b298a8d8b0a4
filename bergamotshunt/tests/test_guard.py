"""Tests the guard over sockets: verdicts, responses, admission, drain."""

import asyncio
from math import inf

import pytest
from returns.pipeline import is_successful

from bergamotshunt.backend.guard_replies import format_content_digest
from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.http.transport import HttpRequest
from bergamotshunt.messages import (
    ConfirmationChanged,
    DescribeLoad,
    DrainRequested,
    ServerStateChanged,
    ServeUntil,
)
from bergamotshunt.peers.headers import (
    CONTENT_DIGEST,
    DEADLINE_MS,
    DEPTH,
    LOAD,
    REQUEST_ID,
    RETRY_AFTER,
    VERDICT,
    parse_load,
)
from bergamotshunt.peers.members import ServerState
from bergamotshunt.tests.guard_harness import (
    BUFFER_BYTES,
    Exchange,
    GuardHarness,
    with_guard,
)

LARGE_BODY = bytes(range(256)) * 1024


def test_response_has_verdict_load_and_digest_headers() -> None:
    """Guards against responses without verdict, digest or load report.

    The choosers of other daemons depend on the load report.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = asyncio.create_task(harness.request('/balances/7?since=3'))
        exchange = await harness.backend.next()
        assert exchange.head.startswith('GET /balances/7?since=3 ')
        assert await harness.bus.ask(DescribeLoad()) == LoadReport(1, 10, 0, 0)
        await exchange.send(b'42', headers='set-cookie: a\r\nset-cookie: b\r\n')
        response = await pending
        assert (response.status, response.body) == (200, b'42')
        assert response.headers[VERDICT] == 'ran'
        assert response.headers[REQUEST_ID] == 'r1'
        assert response.headers[CONTENT_DIGEST] == format_content_digest(b'42')
        load = parse_load(response.headers[LOAD])
        assert load is not None
        assert load[:3] == (0, 10, 0)
        assert load.latency_us > 0

    with_guard(scenario)


async def send_truncated(exchange: Exchange) -> None:
    await exchange.send(b'half', length=8)
    exchange.reset_connection()


async def send_foreign_id(exchange: Exchange) -> None:
    await exchange.send(b'', headers='x-request-id: r999\r\n')


async def send_without_length(exchange: Exchange) -> None:
    exchange.writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
    exchange.writer.close()


async def close_without_response(exchange: Exchange) -> None:
    exchange.reset_connection()


async def send_refusal(exchange: Exchange) -> None:
    refusal = '503 Service Unavailable'
    await exchange.send(b'', refusal, f'{VERDICT}: not-run\r\n')


async def send_unavailable(exchange: Exchange) -> None:
    await exchange.send(b'busy', '503 Service Unavailable')


@pytest.mark.parametrize(
    ('respond', 'status', 'verdict'),
    [
        (send_truncated, 502, 'may-have-run'),
        (send_foreign_id, 502, 'may-have-run'),
        (send_without_length, 502, 'may-have-run'),
        (close_without_response, 502, 'may-have-run'),
        (send_refusal, 503, 'not-run'),
        (send_unavailable, 503, 'ran'),
    ],
)
def test_faulty_responses_get_the_right_verdict(
    respond: object, status: int, verdict: str
) -> None:
    """Guards against wrong verdicts and forwarding of faulty responses.

    The server truncates a response, responds to another request, sends no
    length, closes the connection, or refuses.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = asyncio.create_task(harness.request())
        await respond(await harness.backend.next())  # type: ignore[operator]
        response = await pending
        assert (response.status, response.headers[VERDICT]) == (status, verdict)
        assert response.headers[REQUEST_ID] == 'r1'
        assert parse_load(response.headers[LOAD]) is not None

    with_guard(scenario)


def test_refused_connections_mark_the_server_as_down() -> None:
    """Guards against a server that is down and still gets requests.

    Refused connections have to change the published state of the server.
    """

    async def scenario(harness: GuardHarness) -> None:
        states = harness.subscribe(ServerStateChanged)
        harness.guard.gate.health = harness.guard.gate.health._replace(
            server_state=ServerState.SERVING
        )
        await harness.backend.close()
        for _ in range(3):
            refused = await harness.request()
            assert refused.headers[VERDICT] == 'not-run'
        state = (await states.get()).message.server_state
        assert state is ServerState.DOWN
        assert b'server-down' in (await harness.request()).body

    with_guard(scenario)


def test_large_response_is_forwarded_completely() -> None:
    """Guards against streamed responses that lose or add bytes.

    The response exceeds the buffer, so its rest is sent in chunks.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = asyncio.create_task(harness.request())
        await (await harness.backend.next()).send(LARGE_BODY)
        response = await pending
        assert response.body == LARGE_BODY
        assert response.headers['content-length'] == str(len(LARGE_BODY))
        assert harness.guard.guarded_server.load_report().in_flight == 0

    with_guard(scenario)


@pytest.mark.parametrize('chunked', [False, True])
def test_truncated_large_response_is_not_complete(
    chunked: bool,
) -> None:
    """Guards against a truncated response that looks complete.

    The server closes the connection while the guard streams its response.
    """

    async def scenario(harness: GuardHarness) -> None:
        request = HttpRequest(
            'GET',
            f'http://127.0.0.1:{harness.port}/balances/7',
            {REQUEST_ID: 'r1'},
            b'',
            20_000,
        )
        pending = asyncio.create_task(harness.http_client.send(request))
        exchange = await harness.backend.next()
        if chunked:
            head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            exchange.writer.write(head + b'40000\r\n' + LARGE_BODY)
        else:
            await exchange.send(LARGE_BODY, length=2 * len(LARGE_BODY))
        await exchange.writer.drain()
        exchange.writer.close()
        outcome = await pending
        assert not is_successful(outcome)
        assert harness.guard.guarded_server.load_report().in_flight == 0

    with_guard(scenario)


def test_large_request_is_streamed_to_the_server() -> None:
    """Guards against request bodies that are truncated at the buffer size.

    A body above that size is streamed to the server.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = asyncio.create_task(harness.request(body=LARGE_BODY))
        exchange = await harness.backend.next()
        assert exchange.body == LARGE_BODY
        await exchange.send(b'ok')
        assert (await pending).status == 200

    with_guard(scenario)


def test_connection_with_a_foreign_response_is_closed() -> None:
    """Guards against reuse of a connection that is one response behind.

    A response with the id of another request shows that it is.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = asyncio.create_task(harness.request())
        exchange = await harness.backend.next()
        await send_foreign_id(exchange)
        failed = await pending
        assert failed.status == 502
        # The id of another request stays hidden from the sender of this one.
        assert b'r1' in failed.body and b'r999' not in failed.body
        await exchange.closed.wait()
        pending = asyncio.create_task(harness.request())
        await (await harness.backend.next()).send(b'')
        assert (await pending).status == 200
        assert harness.backend.connections == 2

    with_guard(scenario)


def test_data_on_an_idle_connection_is_discarded() -> None:
    """Guards against assigning a stray second response to the next request.

    The server sends it while the connection is idle in the pool.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = asyncio.create_task(harness.request())
        exchange = await harness.backend.next()
        await exchange.send(b'first')
        assert (await pending).body == b'first'
        await exchange.send(b'late answer')
        connector = harness.guard.guarded_server.calls.server._http_client._session.connector
        while not any(
            protocol.should_close
            for protocols in connector._conns.values()  # type: ignore[union-attr]
            for protocol, _ in protocols
        ):
            await asyncio.sleep(0)
        pending = asyncio.create_task(harness.request())
        await (await harness.backend.next()).send(b'second')
        assert (await pending).body == b'second'
        assert harness.backend.connections == 2

    with_guard(scenario)


def test_disconnect_of_the_sender_cancels_its_request() -> None:
    """Guards against a server that works on requests without a receiver.

    The sender disconnects while its request is running.
    """

    async def scenario(harness: GuardHarness) -> None:
        long_deadline = {DEADLINE_MS: '600000'}
        pending = asyncio.create_task(harness.request(headers=long_deadline))
        exchange = await harness.backend.next()
        pending.cancel()
        await exchange.closed.wait()
        assert harness.guard.guarded_server.load_report().in_flight == 0
        repeat = asyncio.create_task(harness.request())
        await (await harness.backend.next()).send(b'ok')
        assert (await repeat).status == 200

    with_guard(scenario)


def test_deadline_ends_the_wait_for_the_server() -> None:
    """Guards against senders that wait forever for a frozen server.

    The server accepts the request and never responds.
    """

    async def scenario(harness: GuardHarness) -> None:
        response = await harness.request(headers={DEADLINE_MS: '80'})
        assert (response.status, response.headers[VERDICT]) == (
            504,
            'may-have-run',
        )
        exchange = await harness.backend.next()
        assert int(exchange.header(DEADLINE_MS)) <= 80
        await exchange.closed.wait()

    with_guard(scenario)


@pytest.mark.parametrize(
    'headers',
    [{DEADLINE_MS: text} for text in ('soon', '-1', 'nan', '1e3', '')]
    + [{DEPTH: 'deep'}],
)
def test_malformed_headers_are_refused(headers: dict[str, str]) -> None:
    """Guards against running a request with a malformed deadline or depth."""

    async def scenario(harness: GuardHarness) -> None:
        response = await harness.request(headers=headers)
        assert (response.status, response.headers[VERDICT]) == (400, 'not-run')
        assert harness.backend.connections == 0

    with_guard(scenario)


def test_requests_without_target_or_confirmation_are_refused() -> None:
    """Guards against running requests by targets that may be out of date.

    No target matches, no peer confirms the targets, or the confirmation has
    expired.
    """

    async def scenario(harness: GuardHarness) -> None:
        response = await harness.request('/elsewhere')
        assert (response.status, response.headers[VERDICT]) == (503, 'not-run')
        harness.bus.publish(ConfirmationChanged(False, 'no peer answers'))
        await asyncio.sleep(0)
        response = await harness.request()
        assert b'no peer answers' in response.body
        assert response.headers[VERDICT] == 'not-run'
        harness.bus.publish(ConfirmationChanged(True, ''))
        harness.bus.publish(ServeUntil(harness.guard.now_ms() - 1))
        await asyncio.sleep(0)
        response = await harness.request()
        assert (response.status, response.headers[VERDICT]) == (503, 'not-run')
        harness.bus.publish(ServeUntil(inf))
        await asyncio.sleep(0)
        pending = asyncio.create_task(harness.request())
        await (await harness.backend.next()).send(b'')
        assert (await pending).status == 200

    with_guard(scenario)


async def wait_for_queue(harness: GuardHarness, length: int) -> None:
    while harness.guard.guarded_server.load_report().queued != length:
        await asyncio.sleep(0)


def test_queue_refuses_a_request_it_cannot_start_in_time() -> None:
    """Guards against a queued request that has no time left for a retry.

    The only slot is in use for longer than the deadline allows.
    """

    async def scenario(harness: GuardHarness) -> None:
        running = asyncio.create_task(harness.request())
        exchange = await harness.backend.next()
        shed = await harness.request(headers={DEADLINE_MS: '200'})
        assert shed.headers[VERDICT] == 'not-run'
        assert shed.headers[RETRY_AFTER] == '1'
        assert b'wait-too-long' in shed.body
        await exchange.send(b'')
        assert (await running).status == 200
        assert harness.backend.arrived.empty()

    with_guard(scenario, slots=1)


def test_open_requests_are_bounded() -> None:
    """Guards against unbounded memory for bodies of waiting requests.

    The guard already has as many open requests as it may have.
    """

    async def scenario(harness: GuardHarness) -> None:
        harness.guard.guarded_server.open_requests = 256
        refused = await harness.request()
        assert (refused.status, refused.headers[VERDICT]) == (503, 'not-run')
        booking = await harness.request_booking('k')
        assert booking.headers[VERDICT] == 'may-have-run'
        harness.guard.guarded_server.open_requests = 0

    with_guard(scenario)


def test_calls_of_running_requests_go_first() -> None:
    """Guards against refusing calls of requests that already run.

    The work that the requests above them have done would be wasted.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = [asyncio.create_task(harness.request('/balances/0'))]
        exchange = await harness.backend.next()
        for number, depth in enumerate((0, 2, 1), start=1):
            path = f'/balances/{depth}'
            pending.append(
                asyncio.create_task(
                    harness.request(path, headers={DEPTH: str(depth)})
                )
            )
            await wait_for_queue(harness, number)
        order = []
        for _ in pending[1:]:
            await exchange.send(b'')
            exchange = await harness.backend.next()
            order.append(exchange.head.split()[1])
        await exchange.send(b'')
        assert order == ['/balances/2', '/balances/1', '/balances/0']
        assert {(await task).status for task in pending} == {200}

    with_guard(scenario, slots=1)


def test_expired_request_is_not_started_after_a_suspend() -> None:
    """Guards against expired requests that run after a process resumes.

    The clock advances past the deadline while the request is queued.
    """

    async def scenario(harness: GuardHarness) -> None:
        running = asyncio.create_task(harness.request())
        exchange = await harness.backend.next()
        queued = asyncio.create_task(
            harness.request(headers={DEADLINE_MS: '15000'})
        )
        await wait_for_queue(harness, 1)
        harness.clock.ahead_s = 20
        await exchange.send(b'')
        await running
        expired = await queued
        assert expired.headers[VERDICT] == 'not-run'
        assert b'expired' in expired.body
        assert harness.backend.arrived.empty()
        assert harness.guard.guarded_server.load_report()[:3] == (0, 1, 0)

    with_guard(scenario, slots=1)


@pytest.mark.parametrize('by_message', [False, True])
def test_drain_finishes_accepted_requests_and_refuses_new_ones(
    by_message: bool,
) -> None:
    """Guards against requests that are interrupted by a shutdown.

    One request is running and one is queued when the drain starts.
    """

    async def scenario(harness: GuardHarness) -> None:
        states = harness.subscribe(ServerStateChanged)
        running = asyncio.create_task(harness.request())
        exchange = await harness.backend.next()
        queued = asyncio.create_task(harness.request())
        await wait_for_queue(harness, 1)
        if by_message:
            draining = asyncio.create_task(harness.bus.ask(DrainRequested()))
        else:
            draining = asyncio.create_task(harness.guard.drain())
        state = (await states.get()).message.server_state
        assert state is ServerState.DRAINING
        refused = await harness.request()
        assert b'draining' in refused.body
        assert refused.headers[VERDICT] == 'not-run'
        await exchange.send(b'first')
        assert (await running).body == b'first'
        exchange = await harness.backend.next()
        assert not draining.done()
        await exchange.send(b'second')
        assert (await queued).body == b'second'
        drain_call = await harness.backend.next()
        assert drain_call.head.startswith('POST /leave ')
        assert not draining.done()
        await drain_call.send(b'')
        await draining

    with_guard(scenario, slots=1, drain_path='/leave')


def test_buffer_is_smaller_than_the_large_body() -> None:
    """Guards against streaming tests whose body fits the buffer."""
    assert len(LARGE_BODY) > 10 * BUFFER_BYTES
