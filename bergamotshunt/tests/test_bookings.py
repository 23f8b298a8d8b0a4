"""Single rules of the booking table, tickets, UUIDv7 keys and claims."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from returns.result import Failure, Result, Success
from uuid6 import uuid7

from bergamotshunt.choice.calls import CompleteResponse
from bergamotshunt.decisions.booking_keys import check_uuid7, parse_uuid7_ms
from bergamotshunt.decisions.bookings import (
    BookingAction,
    BookingLimits,
    BookingTable,
    estimate_size_bytes,
)
from bergamotshunt.decisions.tickets import (
    ProcessName,
    era_at,
    format_process,
    format_ticket,
    parse_chain,
    parse_ticket,
)
from bergamotshunt.kernel import Context, HandlerTable, MessageBus, Task
from bergamotshunt.messages import (
    RebindBooking,
    ResolveBooking,
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreFailure,
    StoreGet,
    Ticket,
)
from bergamotshunt.plugins.claims import ClaimsTask
from bergamotshunt.settings import Settings
from bergamotshunt.store.booking_claims import BookingClaims, Claim
from bergamotshunt.tests.tickets import create_ticket
from bergamotshunt.verdicts import Verdict

OWN_PROCESS = ProcessName('d1', 17)
OTHER_PROCESS = ProcessName('d2', 18)
LIMITS = BookingLimits(6, 100, 1000, 50)
TICKET = Ticket('d1', 17, 0, 'nonce-0001')
SERVICE = 'jar-ledger'


def response_of(size: int) -> CompleteResponse:
    return CompleteResponse(200, (), b'x' * size)


@given(
    st.from_regex(r'[A-Za-z0-9_-]{1,64}', fullmatch=True),
    st.integers(0, 10**17),
    st.integers(0, 10**6),
    st.integers(0, 99),
)
@hypothesis_settings(derandomize=True, deadline=None)
def test_ticket_survives_its_text_form(
    daemon_id: str, process_id: int, era: int, seed: int
) -> None:
    """Guards against a ticket that parses to another owner."""
    owner = ProcessName(daemon_id, process_id)
    ticket = create_ticket(owner, era, Random(seed))
    assert parse_ticket(format_ticket(ticket)) == ticket
    assert parse_chain(f'{format_process(owner)}, d9.4') == (
        owner,
        ProcessName('d9', 4),
    )


@pytest.mark.parametrize(
    'text',
    ['', 'bk1.d1.17.0', 'bk1.d1.017.0.nonce-0001', 'bk1.d1.17.-1.nonce-0001']
    + ['bk1.d.1.17.0.nonce-0001', 'bk1.d1.17.0.nonce-0001\n', 'bk2.d1.1.0.x']
    + ['bk1.d1.17.0.nonce 0001', 'bk1.d1.\u0661.0.nonce-0001'],
)
def test_malformed_tickets_are_not_parsed(text: str) -> None:
    """Guards against two texts that parse to the same ticket."""
    assert parse_ticket(text) is None


def test_era_is_counted_from_the_start_of_the_process() -> None:
    """Guards against an era that depends on the clock of the host."""
    assert [era_at(ms, 500, 2) for ms in (500, 2499, 2500, 6501)] == [
        0,
        0,
        1,
        3,
    ]


def test_kept_responses_are_bounded_and_the_oldest_is_dropped() -> None:
    """Guards against memory that grows with the stored responses."""
    table = BookingTable(OWN_PROCESS, LIMITS)
    for number in range(4):
        key = f'k{number}'
        assert table.look_up(key, TICKET) is BookingAction.RUN
        table.start(key, TICKET)
        table.finish(key, response_of(100 if number else 101))
    actions = [table.look_up(f'k{number}', TICKET) for number in range(4)]
    gone, kept = BookingAction.RESPONSE_GONE, BookingAction.REPLAY
    assert actions == [gone, gone, gone, kept]
    assert table.total_response_bytes == estimate_size_bytes(response_of(100))


def test_key_is_bound_to_its_first_ticket() -> None:
    """Guards against a key that runs once for each of two tickets."""
    table = BookingTable(OWN_PROCESS, LIMITS)
    table.start('k', TICKET)
    table.finish('k', response_of(1))
    other_ticket = TICKET._replace(nonce='nonce-0002')
    assert table.look_up('k', other_ticket) is BookingAction.OTHER_TICKET


def test_full_table_closes_old_eras_and_then_refuses() -> None:
    """Guards against unbounded memory, and double runs of removed keys."""
    table = BookingTable(OWN_PROCESS, LIMITS._replace(max_keys=2))
    table.start('old', TICKET)
    table.advance(1)
    newer = TICKET._replace(era=1)
    for key in ('a', 'b'):
        assert table.look_up(key, newer) is BookingAction.RUN
        table.start(key, newer)
    assert table.look_up('old', TICKET) is BookingAction.TOO_OLD
    assert table.look_up('c', newer) is BookingAction.TABLE_FULL
    assert set(table.by_key) == {'a', 'b'}


def test_handover_needs_the_whole_chain() -> None:
    """Guards against a handover to a process that the owner did not choose.

    Only a complete chain from the owner to this process is accepted.
    """
    table = BookingTable(OTHER_PROCESS, LIMITS)
    look_up = table.look_up
    assert look_up('k', TICKET) is BookingAction.NOT_OWNER
    assert look_up('k', TICKET, (OWN_PROCESS,)) is BookingAction.NOT_OWNER
    assert (
        look_up('k', TICKET, (OTHER_PROCESS, OWN_PROCESS))
        is BookingAction.NOT_OWNER
    )
    restarted = OTHER_PROCESS._replace(process_id=9)
    assert (
        look_up('k', TICKET, (OWN_PROCESS, restarted))
        is BookingAction.NOT_OWNER
    )
    assert (
        look_up('k', TICKET, (OWN_PROCESS, OTHER_PROCESS, OTHER_PROCESS))
        is BookingAction.NOT_OWNER
    )
    assert (
        look_up('k', TICKET, (OWN_PROCESS, OTHER_PROCESS)) is BookingAction.RUN
    )


NOW_MS = 1_700_000_000_000
DAY_MS = 24 * 3_600_000


def uuid7_at(made_at_ms: int) -> str:
    text = f'{made_at_ms:012x}7abc8def0123456789ab'
    return f'{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}'


@pytest.mark.parametrize(
    ('made_at_ms', 'is_accepted'),
    [
        (NOW_MS - DAY_MS, True),
        (NOW_MS - DAY_MS - 1, False),
        (NOW_MS + 300_000, True),
        (NOW_MS + 300_001, False),
    ],
)
def test_uuid7_has_a_window(made_at_ms: int, is_accepted: bool) -> None:
    """Guards against a key that is accepted after its claim was removed."""
    outcome = check_uuid7(uuid7_at(made_at_ms), NOW_MS)
    assert isinstance(outcome, Success) is is_accepted
    if not is_accepted:
        assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN


def test_only_the_canonical_uuid7_is_a_key() -> None:
    """Guards against a second run by another spelling of the same UUID."""
    key = str(uuid7())
    assert abs((parse_uuid7_ms(key) or 0) - time() * 1000) < 60_000
    for text in (key.upper(), key.replace('-', ''), f'{{{key}}}', 'order-7'):
        refused = check_uuid7(text, NOW_MS).failure()
        assert refused.verdict is Verdict.NOT_RUN
        assert refused.status == 400
    assert parse_uuid7_ms('2c5ea4c0-4067-41b9-a1c4-0305e82c3301') is None


StoreHandler = Callable[[Any], Awaitable[Any]]
RESPONSE_LOST = Failure(StoreFailure(may_have_run=True, detail='lost'))
STORE_DOWN = Failure(StoreFailure(may_have_run=False, detail='down'))


class MemoryStore(Task):
    """Store task in memory; each request consumes one of ``faults``.

    ``lost`` applies the request and loses the response; ``late`` keeps a
    commit for the test to apply later; ``never`` drops the request; with
    ``down`` it certainly did not run; an empty text is no fault.
    """

    name = 'store'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.by_key: dict[str, StoreEntry] = {}
        self.revision = 0
        self.faults: list[str] = []
        self.delayed_commits: list[StoreCommit] = []
        self.request_count = 0

    def respond(self, request: Any) -> Any:
        self.request_count += 1
        fault = self.faults.pop(0) if self.faults else ''
        if fault == 'down':
            return STORE_DOWN
        if fault == 'late':
            self.delayed_commits.append(request)
            return RESPONSE_LOST
        if fault == 'never':
            return RESPONSE_LOST
        reply = self.apply(request)
        return RESPONSE_LOST if fault == 'lost' else reply

    def apply(self, request: Any) -> Any:
        if isinstance(request, StoreGet):
            entry = self.by_key.get(request.key)
            return Success((entry,) if entry else ())
        (key, expected) = request.expected[0]
        entry = self.by_key.get(key)
        if (entry.mod_revision if entry else 0) != expected:
            return Success(
                StoreCommitted(succeeded=False, revision=self.revision)
            )
        self.revision += 1
        content = request.puts[0].content
        self.by_key[key] = StoreEntry(key, content, self.revision)
        return Success(StoreCommitted(succeeded=True, revision=self.revision))


@MemoryStore.handlers.on(StoreGet)
def on_get(task: MemoryStore, message: StoreGet) -> Any:
    return task.respond(message)


@MemoryStore.handlers.on(StoreCommit)
def on_commit(task: MemoryStore, message: StoreCommit) -> Any:
    return task.respond(message)


FIRST_TICKET = Ticket('d1', 17, 0, 'nonce-0001')
SECOND_TICKET = Ticket('d2', 18, 0, 'nonce-0002')
THIRD_TICKET = Ticket('d3', 19, 0, 'nonce-0003')


class Fleet:
    """Claims tasks of two daemons that share one store."""

    def __init__(self) -> None:
        contexts = [
            Context(Settings(), MessageBus(), Random(seed), seed)
            for seed in (1, 2)
        ]
        self.store = MemoryStore(contexts[0])
        for message_type in (StoreGet, StoreCommit):
            contexts[1].bus.subscribe(message_type, self.store.mailbox)
        self.claims = [ClaimsTask(context) for context in contexts]
        self.buses = [context.bus for context in contexts]
        self.key = str(uuid7())

    async def resolve(self, daemon: int, proposed: Ticket) -> Any:
        request = ResolveBooking(SERVICE, self.key, proposed)
        return await self.buses[daemon].ask(request)

    async def rebind(
        self, daemon: int, failed: Ticket, proposed: Ticket
    ) -> Any:
        request = RebindBooking(SERVICE, self.key, failed, proposed)
        return await self.buses[daemon].ask(request)


def run_with_fleet(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = Fleet()
        running_tasks = [
            asyncio.create_task(task.run())
            for task in (fleet.store, *fleet.claims)
        ]
        await scenario(fleet)
        for running_task in running_tasks:
            running_task.cancel()

    asyncio.run(main())


def verdict_of(outcome: Result[Any, Any]) -> Verdict:
    verdict: Verdict = outcome.failure().verdict
    return verdict


def test_claim_is_shared_before_another_daemon_uses_it() -> None:
    """Guards against two owners of one key.

    A claim that another daemon has read must not be rebound any more.
    """

    async def scenario(fleet: Fleet) -> None:
        assert await fleet.resolve(0, FIRST_TICKET) == Success(FIRST_TICKET)
        assert await fleet.resolve(1, SECOND_TICKET) == Success(FIRST_TICKET)
        refused = await fleet.rebind(0, FIRST_TICKET, THIRD_TICKET)
        assert verdict_of(refused) is Verdict.MAY_HAVE_RUN
        assert await fleet.resolve(0, THIRD_TICKET) == Success(FIRST_TICKET)

    run_with_fleet(scenario)


def test_a_new_claim_costs_one_write() -> None:
    """Guards against a successful write that is taken for a lost one.

    ``BookingClaims`` would then read the claim again.
    """

    async def scenario(fleet: Fleet) -> None:
        assert await fleet.resolve(0, FIRST_TICKET) == Success(FIRST_TICKET)
        assert fleet.store.request_count == 1

    run_with_fleet(scenario)


def test_unshared_claim_can_be_rebound_by_its_only_user() -> None:
    """Guards against a booking that fails because its owner has just left."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.resolve(0, FIRST_TICKET)
        assert await fleet.rebind(0, FIRST_TICKET, SECOND_TICKET) == Success(
            SECOND_TICKET
        )
        assert await fleet.rebind(0, SECOND_TICKET, THIRD_TICKET) == Success(
            THIRD_TICKET
        )
        assert await fleet.resolve(1, FIRST_TICKET) == Success(THIRD_TICKET)

    run_with_fleet(scenario)


def test_claim_with_two_users_here_is_not_rebound() -> None:
    """Guards against a rebind while another call may have sent the booking."""

    async def scenario(fleet: Fleet) -> None:
        outcomes = await asyncio.gather(
            fleet.resolve(0, FIRST_TICKET), fleet.resolve(0, SECOND_TICKET)
        )
        assert outcomes == [Success(FIRST_TICKET), Success(FIRST_TICKET)]
        refused = await fleet.rebind(0, FIRST_TICKET, THIRD_TICKET)
        assert verdict_of(refused) is Verdict.MAY_HAVE_RUN

    run_with_fleet(scenario)


def test_late_rebind_is_fenced_by_the_next_call() -> None:
    """Guards against a delayed write that applies after a timeout.

    The next call must make the old write fail before it uses the claim.
    """

    async def scenario(fleet: Fleet) -> None:
        await fleet.resolve(0, FIRST_TICKET)
        fleet.store.faults = ['', 'late', 'never']
        refused = await fleet.rebind(0, FIRST_TICKET, SECOND_TICKET)
        assert verdict_of(refused) is Verdict.MAY_HAVE_RUN
        assert await fleet.resolve(0, THIRD_TICKET) == Success(FIRST_TICKET)
        late_outcome = fleet.store.apply(fleet.store.delayed_commits[0])
        assert not late_outcome.unwrap().succeeded
        assert await fleet.resolve(1, THIRD_TICKET) == Success(FIRST_TICKET)

    run_with_fleet(scenario)


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_lost_response_is_resolved_by_reading(fault: str) -> None:
    """Guards against a claim that exists though its write seemed to fail."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.faults = [fault]
        outcome = await fleet.resolve(0, FIRST_TICKET)
        if fault == 'lost':
            assert outcome == Success(FIRST_TICKET)
            assert await fleet.rebind(
                0, FIRST_TICKET, SECOND_TICKET
            ) == Success(SECOND_TICKET)
            return
        assert verdict_of(outcome) is Verdict.NOT_RUN
        fleet.store.apply(fleet.store.delayed_commits[0])
        assert await fleet.resolve(0, SECOND_TICKET) == Success(FIRST_TICKET)
        refused = await fleet.rebind(0, FIRST_TICKET, SECOND_TICKET)
        assert verdict_of(refused) is Verdict.MAY_HAVE_RUN

    run_with_fleet(scenario)


def test_tickets_need_no_platform_and_uuids_do() -> None:
    """Guards against a platform outage that stops bookings with tickets."""

    async def scenario(fleet: Fleet) -> None:
        fleet.store.faults = ['down']
        refused = await fleet.resolve(0, FIRST_TICKET)
        assert verdict_of(refused) is Verdict.NOT_RUN
        assert refused.failure().retry_after_ms
        fleet.store.faults = ['down']
        fleet.key = format_ticket(SECOND_TICKET)
        assert await fleet.resolve(0, FIRST_TICKET) == Success(SECOND_TICKET)
        fleet.key = 'bk1.broken'
        malformed = await fleet.resolve(0, FIRST_TICKET)
        assert malformed.failure().status == 400
        assert 'UUIDv7' in malformed.failure().detail

    run_with_fleet(scenario)


def test_cache_of_claims_is_bounded() -> None:
    """Guards against memory that grows with the number of keys."""

    async def scenario(fleet: Fleet) -> None:
        claims = BookingClaims(fleet.claims[0].ask_store, lambda: 'nonce', 2)
        for number in range(5):
            await claims.resolve(f'k{number}', FIRST_TICKET)
        assert list(claims.cached_by_key) == ['k3', 'k4']
        assert claims.cached_by_key['k4'].claim == Claim(FIRST_TICKET, 'nonce')
        assert await claims.resolve('k0', SECOND_TICKET) == Success(
            FIRST_TICKET
        )
        assert claims.cached_by_key['k0'].claim.shared

    run_with_fleet(scenario)
