"""The guard with real sockets: verdicts, whole responses, admission, drain."""

import asyncio
from math import inf

import pytest
from returns.pipeline import is_successful

from bergamotshunt.backend.guard_replies import digest_of
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
from bergamotshunt.tests.guard_bench import (
    BUFFER_BYTES,
    Exchange,
    GuardBench,
    with_guard,
)

LARGE = bytes(range(256)) * 1024


def test_response_carries_verdict_load_and_digest() -> None:
    """Guards against choosers without a load report."""

    async def work(bench: GuardBench) -> None:
        asking = asyncio.create_task(bench.ask('/balances/7?since=3'))
        exchange = await bench.backend.next()
        assert exchange.head.startswith('GET /balances/7?since=3 ')
        assert await bench.bus.ask(DescribeLoad()) == LoadReport(1, 10, 0, 0)
        await exchange.send(b'42', headers='set-cookie: a\r\nset-cookie: b\r\n')
        response = await asking
        assert (response.status, response.body) == (200, b'42')
        assert response.headers[VERDICT] == 'ran'
        assert response.headers[REQUEST_ID] == 'r1'
        assert response.headers[CONTENT_DIGEST] == digest_of(b'42')
        load = parse_load(response.headers[LOAD])
        assert load is not None
        assert load[:3] == (0, 10, 0)
        assert load.latency_us > 0

    with_guard(work)


async def respond_cut(exchange: Exchange) -> None:
    await exchange.send(b'half', length=8)
    exchange.kill()


async def respond_foreign(exchange: Exchange) -> None:
    await exchange.send(b'', headers='x-request-id: other\r\n')


async def respond_open_ended(exchange: Exchange) -> None:
    exchange.writer.write(b'HTTP/1.1 200 OK\r\n\r\npart')
    exchange.writer.close()


async def respond_never(exchange: Exchange) -> None:
    exchange.kill()


async def respond_refused(exchange: Exchange) -> None:
    refusal = '503 Service Unavailable'
    await exchange.send(b'', refusal, f'{VERDICT}: not-run\r\n')


async def respond_unavailable(exchange: Exchange) -> None:
    await exchange.send(b'busy', '503 Service Unavailable')


@pytest.mark.parametrize(
    ('behave', 'status', 'verdict'),
    [
        (respond_cut, 502, 'may-have-run'),
        (respond_foreign, 502, 'may-have-run'),
        (respond_open_ended, 502, 'may-have-run'),
        (respond_never, 502, 'may-have-run'),
        (respond_refused, 503, 'not-run'),
        (respond_unavailable, 503, 'ran'),
    ],
)
def test_faults_of_the_server_get_their_verdict(
    behave: object, status: int, verdict: str
) -> None:
    """Guards against fragments, foreign responses and false verdicts."""

    async def work(bench: GuardBench) -> None:
        asking = asyncio.create_task(bench.ask())
        await behave(await bench.backend.next())  # type: ignore[operator]
        response = await asking
        assert (response.status, response.headers[VERDICT]) == (status, verdict)
        assert response.headers[REQUEST_ID] == 'r1'
        assert parse_load(response.headers[LOAD]) is not None

    with_guard(work)


def test_refused_connections_are_not_run_and_take_the_server_down() -> None:
    """Guards against a dead server that stays in the fleet."""

    async def work(bench: GuardBench) -> None:
        states = bench.listen(ServerStateChanged)
        bench.guard.gate.health = bench.guard.gate.health._replace(
            server_state=ServerState.SERVING
        )
        await bench.backend.close()
        for _ in range(3):
            refused = await bench.ask()
            assert refused.headers[VERDICT] == 'not-run'
        state = (await states.get()).message.server_state
        assert state is ServerState.DOWN
        assert b'server-down' in (await bench.ask()).body

    with_guard(work)


def test_large_response_is_passed_on_whole() -> None:
    """Guards against streams that lose or add bytes."""

    async def work(bench: GuardBench) -> None:
        asking = asyncio.create_task(bench.ask())
        await (await bench.backend.next()).send(LARGE)
        response = await asking
        assert response.body == LARGE
        assert response.headers['content-length'] == str(len(LARGE))
        assert bench.guard.guarded.load_report().in_flight == 0

    with_guard(work)


@pytest.mark.parametrize('chunked', [False, True])
def test_large_response_that_is_cut_short_is_not_complete(
    chunked: bool,
) -> None:
    """Guards against a fragment that a caller takes for a whole response."""

    async def work(bench: GuardBench) -> None:
        request = HttpRequest(
            'GET',
            f'http://127.0.0.1:{bench.port}/balances/7',
            {REQUEST_ID: 'r1'},
            b'',
            20_000,
        )
        asking = asyncio.create_task(bench.sender.send(request))
        exchange = await bench.backend.next()
        if chunked:
            head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            exchange.writer.write(head + b'40000\r\n' + LARGE)
        else:
            await exchange.send(LARGE, length=2 * len(LARGE))
        await exchange.writer.drain()
        exchange.writer.close()
        outcome = await asking
        assert not is_successful(outcome)
        assert bench.guard.guarded.load_report().in_flight == 0

    with_guard(work)


def test_large_request_is_streamed_to_the_server() -> None:
    """Guards against request bodies that are cut at the buffer."""

    async def work(bench: GuardBench) -> None:
        asking = asyncio.create_task(bench.ask(body=LARGE))
        exchange = await bench.backend.next()
        assert exchange.body == LARGE
        await exchange.send(b'ok')
        assert (await asking).status == 200

    with_guard(work)


def test_connection_of_a_foreign_response_is_closed() -> None:
    """Guards against a connection whose responses are one request behind."""

    async def work(bench: GuardBench) -> None:
        asking = asyncio.create_task(bench.ask())
        exchange = await bench.backend.next()
        await respond_foreign(exchange)
        assert (await asking).status == 502
        await exchange.closed.wait()
        asking = asyncio.create_task(bench.ask())
        await (await bench.backend.next()).send(b'')
        assert (await asking).status == 200
        assert bench.backend.connections == 2

    with_guard(work)


def test_data_on_an_idle_connection_is_no_response() -> None:
    """Guards against a late second response given to the next request."""

    async def work(bench: GuardBench) -> None:
        asking = asyncio.create_task(bench.ask())
        exchange = await bench.backend.next()
        await exchange.send(b'first')
        assert (await asking).body == b'first'
        await exchange.send(b'late answer')
        idle = bench.guard.guarded.calls.server._sender._session.connector
        while not any(
            protocol.should_close
            for protocols in idle._conns.values()  # type: ignore[union-attr]
            for protocol, _ in protocols
        ):
            await asyncio.sleep(0)
        asking = asyncio.create_task(bench.ask())
        await (await bench.backend.next()).send(b'second')
        assert (await asking).body == b'second'
        assert bench.backend.connections == 2

    with_guard(work)


def test_sender_that_leaves_cancels_its_request() -> None:
    """Guards against a server that works for nobody."""

    async def work(bench: GuardBench) -> None:
        patient = {DEADLINE_MS: '600000'}
        asking = asyncio.create_task(bench.ask(headers=patient))
        exchange = await bench.backend.next()
        asking.cancel()
        await exchange.closed.wait()
        assert bench.guard.guarded.load_report().in_flight == 0
        again = asyncio.create_task(bench.ask())
        await (await bench.backend.next()).send(b'ok')
        assert (await again).status == 200

    with_guard(work)


def test_deadline_ends_the_wait_for_the_server() -> None:
    """Guards against a frozen server that holds its senders."""

    async def work(bench: GuardBench) -> None:
        response = await bench.ask(headers={DEADLINE_MS: '80'})
        assert (response.status, response.headers[VERDICT]) == (
            504,
            'may-have-run',
        )
        exchange = await bench.backend.next()
        assert int(exchange.header(DEADLINE_MS)) <= 80
        await exchange.closed.wait()

    with_guard(work)


@pytest.mark.parametrize(
    'headers',
    [{DEADLINE_MS: text} for text in ('soon', '-1', 'nan', '1e3', '')]
    + [{DEPTH: 'deep'}],
)
def test_malformed_headers_are_refused(headers: dict[str, str]) -> None:
    """Guards against a request without a known deadline."""

    async def work(bench: GuardBench) -> None:
        response = await bench.ask(headers=headers)
        assert (response.status, response.headers[VERDICT]) == (400, 'not-run')
        assert bench.backend.connections == 0

    with_guard(work)


def test_requests_without_target_or_confirmation_are_refused() -> None:
    """Guards against work under targets that are not in force."""

    async def work(bench: GuardBench) -> None:
        response = await bench.ask('/elsewhere')
        assert (response.status, response.headers[VERDICT]) == (503, 'not-run')
        bench.bus.publish(ConfirmationChanged(False, 'no peer answers'))
        await asyncio.sleep(0)
        response = await bench.ask()
        assert b'no peer answers' in response.body
        assert response.headers[VERDICT] == 'not-run'
        bench.bus.publish(ConfirmationChanged(True, ''))
        bench.bus.publish(ServeUntil(bench.guard.now_ms() - 1))
        await asyncio.sleep(0)
        response = await bench.ask()
        assert (response.status, response.headers[VERDICT]) == (503, 'not-run')
        bench.bus.publish(ServeUntil(inf))
        await asyncio.sleep(0)
        asking = asyncio.create_task(bench.ask())
        await (await bench.backend.next()).send(b'')
        assert (await asking).status == 200

    with_guard(work)


async def wait_for_queue(bench: GuardBench, length: int) -> None:
    while bench.guard.guarded.load_report().queued != length:
        await asyncio.sleep(0)


def test_queue_gives_up_in_time_to_go_elsewhere() -> None:
    """Guards against a request that waits until its deadline is over."""

    async def work(bench: GuardBench) -> None:
        first = asyncio.create_task(bench.ask())
        exchange = await bench.backend.next()
        shed = await bench.ask(headers={DEADLINE_MS: '200'})
        assert shed.headers[VERDICT] == 'not-run'
        assert shed.headers[RETRY_AFTER] == '1'
        assert b'wait-too-long' in shed.body
        await exchange.send(b'')
        assert (await first).status == 200
        assert bench.backend.arrived.empty()

    with_guard(work, slots=1)


def test_open_requests_are_bounded() -> None:
    """Guards against bodies that fill the memory while they wait."""

    async def work(bench: GuardBench) -> None:
        bench.guard.guarded.open_requests = 256
        refused = await bench.ask()
        assert (refused.status, refused.headers[VERDICT]) == (503, 'not-run')
        booking = await bench.book('k')
        assert booking.headers[VERDICT] == 'may-have-run'
        bench.guard.guarded.open_requests = 0

    with_guard(work)


def test_deep_calls_go_before_new_trees() -> None:
    """Guards against half-done call trees that are wasted."""

    async def work(bench: GuardBench) -> None:
        asking = [asyncio.create_task(bench.ask('/balances/0'))]
        exchange = await bench.backend.next()
        for number, depth in enumerate((0, 2, 1), start=1):
            path = f'/balances/{depth}'
            asking.append(
                asyncio.create_task(
                    bench.ask(path, headers={DEPTH: str(depth)})
                )
            )
            await wait_for_queue(bench, number)
        order = []
        for _ in asking[1:]:
            await exchange.send(b'')
            exchange = await bench.backend.next()
            order.append(exchange.head.split()[1])
        await exchange.send(b'')
        assert order == ['/balances/2', '/balances/1', '/balances/0']
        assert {(await one).status for one in asking} == {200}

    with_guard(work, slots=1)


def test_expired_work_is_not_started_after_a_freeze() -> None:
    """Guards against old work that runs when a stopped process wakes."""

    async def work(bench: GuardBench) -> None:
        first = asyncio.create_task(bench.ask())
        exchange = await bench.backend.next()
        second = asyncio.create_task(bench.ask(headers={DEADLINE_MS: '15000'}))
        await wait_for_queue(bench, 1)
        bench.clock.ahead_s = 20
        await exchange.send(b'')
        await first
        expired = await second
        assert expired.headers[VERDICT] == 'not-run'
        assert b'expired' in expired.body
        assert bench.backend.arrived.empty()
        assert bench.guard.guarded.load_report()[:3] == (0, 1, 0)

    with_guard(work, slots=1)


@pytest.mark.parametrize('by_message', [False, True])
def test_drain_finishes_work_and_refuses_new(by_message: bool) -> None:
    """Guards against requests that a shutdown interrupts."""

    async def work(bench: GuardBench) -> None:
        states = bench.listen(ServerStateChanged)
        running = asyncio.create_task(bench.ask())
        exchange = await bench.backend.next()
        queued = asyncio.create_task(bench.ask())
        await wait_for_queue(bench, 1)
        if by_message:
            draining = asyncio.create_task(bench.bus.ask(DrainRequested()))
        else:
            draining = asyncio.create_task(bench.guard.drain())
        state = (await states.get()).message.server_state
        assert state is ServerState.DRAINING
        refused = await bench.ask()
        assert b'draining' in refused.body
        assert refused.headers[VERDICT] == 'not-run'
        await exchange.send(b'first')
        assert (await running).body == b'first'
        exchange = await bench.backend.next()
        assert not draining.done()
        await exchange.send(b'second')
        assert (await queued).body == b'second'
        leaving = await bench.backend.next()
        assert leaving.head.startswith('POST /leave ')
        assert not draining.done()
        await leaving.send(b'')
        await draining

    with_guard(work, slots=1, drain_path='/leave')


def test_buffer_of_the_bench_is_smaller_than_its_large_body() -> None:
    """Guards against stream tests that never stream."""
    assert len(LARGE) > 10 * BUFFER_BYTES
