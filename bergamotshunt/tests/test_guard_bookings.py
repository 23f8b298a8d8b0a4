"""Tests bookings at the guard over sockets: each runs at most once."""

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
from bergamotshunt.tests.guard_harness import (
    BUFFER_BYTES,
    PROCESS_ID,
    GuardHarness,
    ticket_for,
    with_guard,
)


def spawn_booking(
    harness: GuardHarness, key: str
) -> asyncio.Task[tuple[int, Mapping[str, str], bytes]]:
    async def send() -> tuple[int, Mapping[str, str], bytes]:
        long_deadline = {DEADLINE_MS: '600000'}
        response = await harness.request_booking(key, headers=long_deadline)
        return response.status, response.headers, response.body

    return asyncio.create_task(send())


def has_waiters(harness: GuardHarness, key: str, waiters: int) -> bool:
    run = harness.guard.guarded_server.runs.by_key.get(key)
    return run is not None and run.waiters == waiters


async def wait_for_waiters(
    harness: GuardHarness, key: str, waiters: int
) -> None:
    while not has_waiters(harness, key, waiters):
        await asyncio.sleep(0)


def test_repeats_join_and_are_replayed() -> None:
    """Guards against a booking that runs again for a concurrent repeat.

    A client retries while its first attempt is still running, and later.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = [spawn_booking(harness, 'k') for _ in range(3)]
        exchange = await harness.backend.next()
        await wait_for_waiters(harness, 'k', 3)
        await exchange.send(b'paid', '201 Created', 'x-receipt: 7\r\n')
        for status, headers, body in [await task for task in pending]:
            assert (status, body, headers['x-receipt']) == (201, b'paid', '7')
            assert REPLAYED not in headers
        repeat = await harness.request_booking('k')
        assert (repeat.status, repeat.body) == (201, b'paid')
        assert repeat.headers[REPLAYED] == 'true'
        assert repeat.headers[VERDICT] == 'ran'
        assert harness.backend.arrived.empty()

    with_guard(scenario)


def test_running_booking_outlives_its_sender() -> None:
    """Guards against a booking that is aborted when its sender leaves.

    The outcome would be unknown to a later retry.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = spawn_booking(harness, 'k')
        exchange = await harness.backend.next()
        pending.cancel()
        await wait_for_waiters(harness, 'k', 0)
        late = await harness.request_booking('k', headers={DEADLINE_MS: '9'})
        assert (late.status, late.headers[VERDICT]) == (504, 'may-have-run')
        await exchange.send(b'paid')
        while harness.guard.guarded_server.runs.by_key:
            await asyncio.sleep(0)
        repeat = await harness.request_booking('k')
        assert (repeat.body, repeat.headers[REPLAYED]) == (b'paid', 'true')
        assert harness.backend.arrived.empty()

    with_guard(scenario)


def test_queued_booking_is_cancelled_with_its_sender() -> None:
    """Guards against a queued booking that runs after its sender left."""

    async def scenario(harness: GuardHarness) -> None:
        long_deadline = {DEADLINE_MS: '600000'}
        running = asyncio.create_task(harness.request(headers=long_deadline))
        exchange = await harness.backend.next()
        pending = spawn_booking(harness, 'k')
        await wait_for_waiters(harness, 'k', 1)
        pending.cancel()
        while harness.guard.guarded_server.runs.by_key:
            await asyncio.sleep(0)
        await exchange.send(b'')
        await running
        assert harness.backend.arrived.empty()
        assert not harness.guard.guarded_server.runs.table.by_key

    with_guard(scenario, slots=1)


def test_outcome_stays_unknown_after_a_lost_response() -> None:
    """Guards against a second run after the response was lost.

    The server got the booking and closed the connection without a response.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = spawn_booking(harness, 'k')
        (await harness.backend.next()).reset_connection()
        status, headers, _ = await pending
        assert (status, headers[VERDICT]) == (502, 'may-have-run')
        repeat = await harness.request_booking('k')
        assert (repeat.status, repeat.headers[VERDICT]) == (409, 'may-have-run')
        assert harness.backend.arrived.empty()

    with_guard(scenario)


def test_long_response_is_forwarded_but_not_stored() -> None:
    """Guards against unbounded memory for responses of bookings.

    A response above the buffer size is streamed to one waiter only.
    """

    async def scenario(harness: GuardHarness) -> None:
        long_body = b'x' * (BUFFER_BYTES * 500)
        pending = [spawn_booking(harness, 'k') for _ in range(2)]
        exchange = await harness.backend.next()
        await wait_for_waiters(harness, 'k', 2)
        await exchange.send(long_body)
        outcomes = [await task for task in pending]
        assert sorted(status for status, _, _ in outcomes) == [200, 409]
        assert long_body in [body for _, _, body in outcomes]
        repeat = await harness.request_booking('k')
        assert (repeat.status, repeat.headers[VERDICT]) == (409, 'ran')
        assert b'its response is not stored' in repeat.body
        assert harness.guard.guarded_server.load_report().in_flight == 0

    with_guard(scenario)


def test_new_bookings_are_handed_over_while_draining() -> None:
    """Guards against a booking that runs here after it was handed over.

    The sender repeats it here although its successor may have run it.
    """

    async def scenario(harness: GuardHarness) -> None:
        await harness.publish_members('d2')
        harness.guard.gate.drain()
        refused = await harness.request_booking('k')
        assert refused.headers[VERDICT] == 'not-run'
        assert refused.headers[SUCCESSOR] == f'd2.{PROCESS_ID + 1}'
        harness.guard.gate.draining = False
        repeat = await harness.request_booking('k')
        assert repeat.headers[VERDICT] == 'may-have-run'
        assert repeat.headers[SUCCESSOR] == f'd2.{PROCESS_ID + 1}'
        assert harness.backend.connections == 0

    with_guard(scenario)


def test_refusal_without_successor_leaves_no_record() -> None:
    """Guards against a key that can no longer run after one refusal.

    While draining without a successor, the table must not keep the key.
    """

    async def scenario(harness: GuardHarness) -> None:
        await harness.publish_members()
        harness.guard.gate.drain()
        refused = await harness.request_booking('k')
        assert refused.headers[VERDICT] == 'not-run'
        assert SUCCESSOR not in refused.headers
        harness.guard.gate.draining = False
        pending = spawn_booking(harness, 'k')
        await (await harness.backend.next()).send(b'paid')
        assert (await pending)[0] == 200

    with_guard(scenario)


def test_handed_over_booking_runs_or_goes_to_a_new_process() -> None:
    """Guards against a handover to a process that had the booking before.

    Each handover adds a process to the chain in the header.
    """

    async def scenario(harness: GuardHarness) -> None:
        await harness.publish_members('d2', 'd3')
        ticket = ticket_for('k', 'd2')
        chain = f'd2.{PROCESS_ID},d1.{PROCESS_ID}'
        handover_headers = {TICKET: ticket, HANDOVER: chain}
        pending = asyncio.create_task(
            harness.request_booking('k', headers=handover_headers)
        )
        await (await harness.backend.next()).send(b'paid')
        assert (await pending).status == 200
        harness.guard.gate.drain()
        handover_headers[TICKET] = ticket_for('other', 'd2')
        refused = await harness.request_booking(
            'other', headers=handover_headers
        )
        assert refused.headers[SUCCESSOR] == f'd3.{PROCESS_ID + 2}'

    with_guard(scenario)


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
    """Guards against a booking that another process may also run.

    Key, ticket or handover chain are missing or malformed, or name another
    process as the owner.
    """

    async def scenario(harness: GuardHarness) -> None:
        response = await harness.request_booking('k', headers=headers)
        assert (response.status, response.headers[VERDICT]) == (status, verdict)
        assert harness.backend.connections == 0

    with_guard(scenario)


def test_targets_of_the_guard_decide_what_is_a_booking() -> None:
    """Guards against repeats by a sender with an older revision of targets.

    It sends the booking as an idempotent request, without a ticket.
    """

    async def scenario(harness: GuardHarness) -> None:
        response = await harness.request(
            '/refunds', 'POST', b'{}', headers={TARGET: 'balance'}
        )
        assert (response.status, response.headers[VERDICT]) == (400, 'not-run')
        named_refund = {TARGET: 'refund'}
        response = await harness.request('/balances/7', headers=named_refund)
        assert (response.status, response.headers[VERDICT]) == (400, 'not-run')

    with_guard(scenario)


def test_key_of_an_old_era_is_refused() -> None:
    """Guards against a key that was removed and runs a second time.

    Keys of old eras are removed; their tickets have to be refused afterwards.
    """

    async def scenario(harness: GuardHarness) -> None:
        pending = spawn_booking(harness, 'k')
        await (await harness.backend.next()).send(b'paid')
        await pending
        harness.clock.ahead_s = 7 * 600
        repeat = await harness.request_booking('k')
        assert (repeat.status, repeat.headers[VERDICT]) == (409, 'may-have-run')
        assert not harness.guard.guarded_server.runs.table.by_key
        assert harness.backend.arrived.empty()

    with_guard(scenario)
