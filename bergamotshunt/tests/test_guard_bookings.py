"""Bookings at the guard with real sockets: each runs at most once."""

import asyncio
from collections.abc import Mapping

import pytest

from bergamotshunt.peers.headers import (
    BOOKING_KEY,
    DEADLINE_MS,
    HANDOVER,
    REPLAYED,
    SUCCESSOR,
    TARGET,
    TICKET,
    VERDICT,
)
from bergamotshunt.tests.guard_bench import (
    BUFFER_BYTES,
    PROCESS_ID,
    GuardBench,
    ticket_for,
    with_guard,
)


def spawn_booking(
    bench: GuardBench, key: str
) -> asyncio.Task[tuple[int, Mapping[str, str], bytes]]:
    async def work() -> tuple[int, Mapping[str, str], bytes]:
        patient = {DEADLINE_MS: '600000'}
        response = await bench.book(key, headers=patient)
        return response.status, response.headers, response.body

    return asyncio.create_task(work())


def is_joined(bench: GuardBench, key: str, waiters: int) -> bool:
    run = bench.guard.guarded.runs.by_key.get(key)
    return run is not None and run.waiters == waiters


async def wait_for_waiters(bench: GuardBench, key: str, waiters: int) -> None:
    while not is_joined(bench, key, waiters):
        await asyncio.sleep(0)


def test_repeats_join_and_are_replayed() -> None:
    """Guards against a refund that is paid twice."""

    async def work(bench: GuardBench) -> None:
        asking = [spawn_booking(bench, 'k') for _ in range(3)]
        exchange = await bench.backend.next()
        await wait_for_waiters(bench, 'k', 3)
        await exchange.send(b'paid', '201 Created', 'x-receipt: 7\r\n')
        for status, headers, body in [await one for one in asking]:
            assert (status, body, headers['x-receipt']) == (201, b'paid', '7')
            assert REPLAYED not in headers
        repeat = await bench.book('k')
        assert (repeat.status, repeat.body) == (201, b'paid')
        assert repeat.headers[REPLAYED] == 'true'
        assert repeat.headers[VERDICT] == 'ran'
        assert bench.backend.arrived.empty()

    with_guard(work)


def test_running_booking_outlives_its_sender() -> None:
    """Guards against an unknown outcome because a sender left."""

    async def work(bench: GuardBench) -> None:
        asking = spawn_booking(bench, 'k')
        exchange = await bench.backend.next()
        asking.cancel()
        await wait_for_waiters(bench, 'k', 0)
        late = await bench.book('k', headers={DEADLINE_MS: '9'})
        assert (late.status, late.headers[VERDICT]) == (504, 'may-have-run')
        await exchange.send(b'paid')
        while bench.guard.guarded.runs.by_key:
            await asyncio.sleep(0)
        repeat = await bench.book('k')
        assert (repeat.body, repeat.headers[REPLAYED]) == (b'paid', 'true')
        assert bench.backend.arrived.empty()

    with_guard(work)


def test_queued_booking_leaves_with_its_sender() -> None:
    """Guards against a booking that runs after its sender gave up."""

    async def work(bench: GuardBench) -> None:
        patient = {DEADLINE_MS: '600000'}
        first = asyncio.create_task(bench.ask(headers=patient))
        exchange = await bench.backend.next()
        asking = spawn_booking(bench, 'k')
        await wait_for_waiters(bench, 'k', 1)
        asking.cancel()
        while bench.guard.guarded.runs.by_key:
            await asyncio.sleep(0)
        await exchange.send(b'')
        await first
        assert bench.backend.arrived.empty()
        assert not bench.guard.guarded.runs.table.by_key

    with_guard(work, slots=1)


def test_lost_response_stays_unknown() -> None:
    """Guards against a second run after the server was killed."""

    async def work(bench: GuardBench) -> None:
        asking = spawn_booking(bench, 'k')
        (await bench.backend.next()).kill()
        status, headers, _ = await asking
        assert (status, headers[VERDICT]) == (502, 'may-have-run')
        repeat = await bench.book('k')
        assert (repeat.status, repeat.headers[VERDICT]) == (409, 'may-have-run')
        assert bench.backend.arrived.empty()

    with_guard(work)


def test_long_response_is_passed_on_but_not_kept() -> None:
    """Guards against unbounded memory for responses of bookings."""

    async def work(bench: GuardBench) -> None:
        long_body = b'x' * (BUFFER_BYTES * 500)
        asking = [spawn_booking(bench, 'k') for _ in range(2)]
        exchange = await bench.backend.next()
        await wait_for_waiters(bench, 'k', 2)
        await exchange.send(long_body)
        outcomes = [await one for one in asking]
        assert sorted(status for status, _, _ in outcomes) == [200, 409]
        assert long_body in [body for _, _, body in outcomes]
        repeat = await bench.book('k')
        assert (repeat.status, repeat.headers[VERDICT]) == (409, 'ran')
        assert b'answer not kept' in repeat.body
        assert bench.guard.guarded.load_report().in_flight == 0

    with_guard(work)


def test_drain_hands_new_bookings_over() -> None:
    """Guards against a booking that runs here after a handover."""

    async def work(bench: GuardBench) -> None:
        await bench.know_members('d2')
        bench.guard.gate.drain()
        refused = await bench.book('k')
        assert refused.headers[VERDICT] == 'not-run'
        assert refused.headers[SUCCESSOR] == f'd2.{PROCESS_ID + 1}'
        bench.guard.gate.draining = False
        repeat = await bench.book('k')
        assert repeat.headers[VERDICT] == 'may-have-run'
        assert repeat.headers[SUCCESSOR] == f'd2.{PROCESS_ID + 1}'
        assert bench.backend.connections == 0

    with_guard(work)


def test_refusal_without_successor_leaves_no_record() -> None:
    """Guards against a key that can never run after one refusal."""

    async def work(bench: GuardBench) -> None:
        await bench.know_members()
        bench.guard.gate.drain()
        refused = await bench.book('k')
        assert refused.headers[VERDICT] == 'not-run'
        assert SUCCESSOR not in refused.headers
        bench.guard.gate.draining = False
        asking = spawn_booking(bench, 'k')
        await (await bench.backend.next()).send(b'paid')
        assert (await asking)[0] == 200

    with_guard(work)


def test_handover_runs_here_and_goes_on_to_others_only() -> None:
    """Guards against chains that turn back."""

    async def work(bench: GuardBench) -> None:
        await bench.know_members('d2', 'd3')
        ticket = ticket_for('k', 'd2')
        chain = f'd2.{PROCESS_ID},d1.{PROCESS_ID}'
        named = {TICKET: ticket, HANDOVER: chain}
        asking = asyncio.create_task(bench.book('k', headers=named))
        await (await bench.backend.next()).send(b'paid')
        assert (await asking).status == 200
        bench.guard.gate.drain()
        named[TICKET] = ticket_for('other', 'd2')
        refused = await bench.book('other', headers=named)
        assert refused.headers[SUCCESSOR] == f'd3.{PROCESS_ID + 2}'

    with_guard(work)


@pytest.mark.parametrize(
    ('headers', 'status', 'verdict'),
    [
        ({TICKET: ''}, 400, 'not-run'),
        ({BOOKING_KEY: ''}, 400, 'not-run'),
        ({BOOKING_KEY: ticket_for('x')}, 400, 'not-run'),
        ({HANDOVER: 'd2'}, 400, 'not-run'),
        ({TICKET: ticket_for('k', 'd2')}, 409, 'may-have-run'),
        ({HANDOVER: f'd1.{PROCESS_ID},d1.9'}, 409, 'may-have-run'),
    ],
)
def test_booking_needs_a_ticket_of_this_process(
    headers: dict[str, str], status: int, verdict: str
) -> None:
    """Guards against a booking that another process may run, too."""

    async def work(bench: GuardBench) -> None:
        response = await bench.book('k', headers=headers)
        assert (response.status, response.headers[VERDICT]) == (status, verdict)
        assert bench.backend.connections == 0

    with_guard(work)


def test_guard_decides_what_is_a_booking() -> None:
    """Guards against a sender with older targets that repeats a refund."""

    async def work(bench: GuardBench) -> None:
        response = await bench.ask(
            '/refunds', 'POST', b'{}', headers={TARGET: 'balance'}
        )
        assert (response.status, response.headers[VERDICT]) == (400, 'not-run')
        named_refund = {TARGET: 'refund'}
        response = await bench.ask('/balances/7', headers=named_refund)
        assert (response.status, response.headers[VERDICT]) == (400, 'not-run')

    with_guard(work)


def test_key_of_an_old_era_is_refused() -> None:
    """Guards against a forgotten key that runs a second time."""

    async def work(bench: GuardBench) -> None:
        asking = spawn_booking(bench, 'k')
        await (await bench.backend.next()).send(b'paid')
        await asking
        bench.clock.ahead_s = 7 * 600
        repeat = await bench.book('k')
        assert (repeat.status, repeat.headers[VERDICT]) == (409, 'may-have-run')
        assert not bench.guard.guarded.runs.table.by_key
        assert bench.backend.arrived.empty()

    with_guard(work)
