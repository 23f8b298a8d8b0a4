"""State machine over booking tables and claims: keys run at most once.

Guards against a booking that runs twice, and against the verdict not-run
for one that ran. The coroutines of ``BookingClaims`` are advanced without
an event loop, so that each response of the store can be lost, delayed or
reordered.
"""

from collections import Counter
from random import Random
from typing import Any, NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.pipeline import is_successful
from returns.result import Failure, Success

from bergamotshunt.choice.calls import CompleteResponse
from bergamotshunt.decisions.bookings import (
    BookingAction,
    BookingLimits,
    BookingTable,
)
from bergamotshunt.decisions.tickets import (
    ProcessName,
    owner_of,
)
from bergamotshunt.messages import (
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreFailure,
    StoreGet,
    Ticket,
)
from bergamotshunt.store.booking_claims import BookingClaims
from bergamotshunt.tests.tickets import create_ticket

DAEMONS = ('d1', 'd2', 'd3')
MAX_KEYS = 3
RESPONSE = CompleteResponse(200, (), b'receipt')
LIMITS = BookingLimits(
    eras_kept=2,
    max_response_bytes=64,
    max_total_response_bytes=1200,
    max_keys=6,
)
RESPONSE_LOST = Failure(StoreFailure(may_have_run=True, detail='lost'))
STORE_DOWN = Failure(StoreFailure(may_have_run=False, detail='down'))


class StoreRequest:
    """Awaitable that yields a coroutine's store request to the machine."""

    def __init__(self, request: Any) -> None:
        self.request = request

    def __await__(self) -> Any:
        return (yield self.request)


class Store:
    """Key-value store with compare-and-swap."""

    def __init__(self) -> None:
        self.revision = 0
        self.by_key: dict[str, StoreEntry] = {}

    def respond(self, request: Any) -> Any:
        if isinstance(request, StoreGet):
            entry = self.by_key.get(request.key)
            return Success((entry,) if entry else ())
        for key, expected in request.expected:
            entry = self.by_key.get(key)
            if (entry.mod_revision if entry else 0) != expected:
                return Success(
                    StoreCommitted(succeeded=False, revision=self.revision)
                )
        self.revision += 1
        for put in request.puts:
            self.by_key[put.key] = StoreEntry(
                put.key, put.content, self.revision
            )
        return Success(StoreCommitted(succeeded=True, revision=self.revision))


class Daemon:
    """One process: its booking table, its claims and its view of others."""

    def __init__(self, daemon_id: str, process_id: int, rng: Random) -> None:
        self.name = ProcessName(daemon_id, process_id)
        self.table = BookingTable(self.name, LIMITS)
        self.claims = BookingClaims(
            StoreRequest, lambda: f'{rng.getrandbits(64):x}', max_cached=3
        )
        self.view: dict[str, ProcessName] = {}
        self.eras: dict[str, int] = {}


class Attempt:
    """One request of a caller at an ingress daemon."""

    def __init__(self, number: int, key: str, ingress: Daemon) -> None:
        self.number = number
        self.key = key
        self.ingress = ingress
        self.was_delivered = False
        # A duplicate on the network; no sender waits for its response.
        self.is_copy = False
        self.verdict = ''


class SentRequest(NamedTuple):
    """A request in transit to the guard of a process."""

    attempt: Attempt
    ticket: Ticket
    chain: tuple[ProcessName, ...]
    to: ProcessName


class Run:
    """An admitted booking, queued or running on the backend server."""

    def __init__(self, daemon: Daemon, sent: SentRequest) -> None:
        self.daemon = daemon
        self.key = sent.attempt.key
        self.waiting = [sent]
        self.has_started = False


class PendingStoreRequest(NamedTuple):
    """A coroutine of ``BookingClaims`` that waits for the store's response."""

    attempt: Attempt
    coroutine: Any
    request: Any


class BookingMachine(RuleBasedStateMachine):
    """Concurrent callers, retries, load shedding, crashes, late messages."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = Random(7)
        self.store = Store()
        self.era = 0
        self.last_process_id = 1000
        self.daemons = {
            name: Daemon(name, self.create_process_id(), self.rng)
            for name in DAEMONS
        }
        for daemon in self.daemons.values():
            daemon.view = {
                name: other.name for name, other in self.daemons.items()
            }
            daemon.eras = dict.fromkeys(DAEMONS, 0)
        self.keys: list[str] = []
        self.attempts: list[Attempt] = []
        self.network: list[SentRequest] = []
        self.runs: list[Run] = []
        self.pending: list[PendingStoreRequest] = []
        self.late_writes: list[StoreCommit] = []
        self.executions = Counter[str]()
        self.ran_attempts: set[int] = set()
        self.tickets: dict[str, Ticket] = {}

    def create_process_id(self) -> int:
        self.last_process_id += 1
        return self.last_process_id

    def is_busy(self, daemon: Daemon, key: str) -> bool:
        return any(
            pending.attempt.ingress is daemon and pending.attempt.key == key
            for pending in self.pending
        )

    def record_verdict(self, attempt: Attempt, verdict: str) -> None:
        attempt.verdict = verdict

    def propose_ticket(self, ingress: Daemon, choice: int) -> Ticket:
        owner = list(ingress.view.values())[choice % len(ingress.view)]
        return create_ticket(owner, ingress.eras[owner.daemon_id], self.rng)

    @rule(ingress=st.sampled_from(DAEMONS), choice=st.integers(0, 9))
    def book_with_ticket(self, ingress: str, choice: int) -> None:
        if len(self.keys) >= MAX_KEYS:
            return
        daemon = self.daemons[ingress]
        key = f'ticket-{len(self.keys)}'
        self.tickets[key] = self.propose_ticket(daemon, choice)
        self.keys.append(key)
        self.repeat(ingress, len(self.keys) - 1, choice)

    @rule(ingress=st.sampled_from(DAEMONS), choice=st.integers(0, 9))
    def book_with_uuid(self, ingress: str, choice: int) -> None:
        if len(self.keys) >= MAX_KEYS:
            return
        self.keys.append(f'uuid-{len(self.keys)}')
        self.repeat(ingress, len(self.keys) - 1, choice)

    @rule(
        ingress=st.sampled_from(DAEMONS),
        index=st.integers(0, 99),
        choice=st.integers(0, 9),
    )
    def repeat(self, ingress: str, index: int, choice: int) -> None:
        if not self.keys:
            return
        daemon = self.daemons[ingress]
        key = self.keys[index % len(self.keys)]
        if self.is_busy(daemon, key):
            return
        attempt = self.open_attempt(key, daemon)
        if key in self.tickets:
            self.send(attempt, self.tickets[key])
            return
        proposed = self.propose_ticket(daemon, choice)
        self.advance_coroutine(
            attempt, daemon.claims.resolve(key, proposed), None
        )

    def open_attempt(self, key: str, ingress: Daemon) -> Attempt:
        attempt = Attempt(len(self.attempts), key, ingress)
        self.attempts.append(attempt)
        return attempt

    def advance_coroutine(
        self, attempt: Attempt, coroutine: Any, reply: Any
    ) -> None:
        try:
            request = coroutine.send(reply)
        except StopIteration as ended:
            outcome = ended.value
        else:
            self.pending.append(
                PendingStoreRequest(attempt, coroutine, request)
            )
            return
        if is_successful(outcome):
            self.send(attempt, outcome.unwrap())
        else:
            verdict = outcome.failure().verdict.value
            self.record_verdict(attempt, verdict)

    @rule(
        index=st.integers(0, 99),
        fault=st.sampled_from(
            ['', '', '', 'lost', 'late', 'never', 'down'],
        ),
    )
    def respond_as_store(self, index: int, fault: str) -> None:
        """Respond to a pending store request, or let it fail.

        The store applies it and the response is lost (``lost``), applies it
        after the response was given up (``late``), never receives it
        (``never``), or is down, so that it certainly did not run (``down``).
        """
        if not self.pending:
            return
        pending = self.pending.pop(index % len(self.pending))
        if self.daemons[pending.attempt.ingress.name.daemon_id] is not (
            pending.attempt.ingress
        ):
            pending.coroutine.close()
            return
        reply = RESPONSE_LOST
        if fault == 'down':
            reply = STORE_DOWN
        elif fault in {'', 'lost'}:
            response = self.store.respond(pending.request)
            reply = RESPONSE_LOST if fault else response
        elif fault == 'late' and isinstance(pending.request, StoreCommit):
            self.late_writes.append(pending.request)
        self.advance_coroutine(pending.attempt, pending.coroutine, reply)

    @rule(index=st.integers(0, 99))
    def late_write_arrives(self, index: int) -> None:
        if self.late_writes:
            late = self.late_writes.pop(index % len(self.late_writes))
            self.store.respond(late)

    def send(self, attempt: Attempt, ticket: Ticket) -> None:
        owner = owner_of(ticket)
        self.network.append(SentRequest(attempt, ticket, (), owner))

    @rule(
        index=st.integers(0, 99),
        is_shed=st.booleans(),
        copied=st.booleans(),
        is_cut=st.booleans(),
        choice=st.integers(0, 9),
    )
    def deliver(
        self,
        index: int,
        is_shed: bool,
        copied: bool,
        is_cut: bool,
        choice: int,
    ) -> None:
        if not self.network:
            return
        sent = self.network.pop(index % len(self.network))
        daemon = self.daemons[sent.to.daemon_id]
        if is_cut or (daemon.name != sent.to and choice % 2):
            self.fail_to_connect(sent, choice)
            return
        sent.attempt.was_delivered = True
        if copied:
            copy = self.open_attempt(sent.attempt.key, sent.attempt.ingress)
            copy.is_copy = True
            self.network.append(sent._replace(attempt=copy))
        self.serve(daemon, sent, is_shed, choice)

    def fail_to_connect(self, sent: SentRequest, choice: int) -> None:
        attempt = sent.attempt
        daemon = attempt.ingress
        is_gone = self.daemons[daemon.name.daemon_id] is not daemon
        if is_gone or attempt.is_copy:
            return
        is_first = not attempt.was_delivered and attempt.key not in self.tickets
        if not is_first or self.is_busy(daemon, attempt.key):
            self.record_verdict(attempt, 'may-have-run')
            return
        proposed = self.propose_ticket(daemon, choice)
        self.advance_coroutine(
            attempt,
            daemon.claims.rebind(attempt.key, sent.ticket, proposed),
            None,
        )

    def serve(
        self, daemon: Daemon, sent: SentRequest, is_shed: bool, choice: int
    ) -> None:
        key = sent.attempt.key
        action = daemon.table.look_up(key, sent.ticket, sent.chain)
        if action is BookingAction.RUN:
            daemon.table.start(key, sent.ticket)
            run = Run(daemon, sent)
            self.runs.append(run)
            if is_shed:
                self.shed(run, choice)
        elif action is BookingAction.JOIN:
            for run in self.runs:
                if run.daemon is daemon and run.key == key:
                    run.waiting.append(sent)
                    break
            else:
                raise AssertionError(f'key {key!r} is running without a run')
        elif action is BookingAction.FOLLOW:
            booking = daemon.table.by_key[key]
            assert booking.successor
            self.follow(sent, booking.successor, daemon)
        elif action in {BookingAction.REPLAY, BookingAction.RESPONSE_GONE}:
            assert self.executions[key] == 1
            self.record_verdict(sent.attempt, 'ran')
        elif action is BookingAction.TABLE_FULL:
            self.record_verdict(sent.attempt, 'not-run')
        else:
            self.record_verdict(sent.attempt, 'may-have-run')

    def follow(
        self, sent: SentRequest, successor: ProcessName, daemon: Daemon
    ) -> None:
        chain = (*(sent.chain or (daemon.name,)), successor)
        self.network.append(
            SentRequest(sent.attempt, sent.ticket, chain, successor),
        )

    def shed(self, run: Run, choice: int) -> None:
        self.runs.remove(run)
        excluded_ids = {name.daemon_id for name in run.waiting[0].chain}
        successors = [
            name
            for daemon_id, name in run.daemon.view.items()
            if daemon_id not in excluded_ids | {run.daemon.name.daemon_id}
        ]
        if not successors or not choice:
            run.daemon.table.cancel(run.key)
            for sent in run.waiting:
                self.record_verdict(sent.attempt, 'not-run')
            return
        successor = successors[choice % len(successors)]
        run.daemon.table.hand_over(run.key, successor)
        for sent in run.waiting:
            self.follow(sent, successor, run.daemon)

    @rule(
        index=st.integers(0, 99),
        choice=st.integers(0, 9),
        event=st.sampled_from(['begin', 'begin', 'end', 'lose', 'shed']),
    )
    def advance_run(self, index: int, choice: int, event: str) -> None:
        if not self.runs:
            return
        run = self.runs[index % len(self.runs)]
        if event == 'shed' and not run.has_started:
            self.shed(run, choice)
        elif event == 'begin' and not run.has_started:
            run.has_started = True
            self.executions[run.key] += 1
        elif run.has_started and event in {'end', 'lose'}:
            self.runs.remove(run)
            self.end_run(run, is_known=event == 'end')

    def end_run(self, run: Run, is_known: bool) -> None:
        if is_known:
            run.daemon.table.finish(run.key, RESPONSE)
        else:
            run.daemon.table.mark_unknown(run.key)
        for sent in run.waiting:
            self.ran_attempts.add(sent.attempt.number)
            self.record_verdict(
                sent.attempt, 'ran' if is_known else 'may-have-run'
            )

    @rule(name=st.sampled_from(DAEMONS))
    def replace_process(self, name: str) -> None:
        old = self.daemons[name]
        for run in [run for run in self.runs if run.daemon is old]:
            self.runs.remove(run)
            for sent in run.waiting:
                if run.has_started:
                    self.ran_attempts.add(sent.attempt.number)
                self.record_verdict(sent.attempt, 'may-have-run')
        restarted = Daemon(name, self.create_process_id(), self.rng)
        restarted.view = {**old.view, name: restarted.name}
        restarted.eras = {**old.eras, name: 0}
        self.daemons[name] = restarted

    @rule(name=st.sampled_from(DAEMONS), other=st.sampled_from(DAEMONS))
    def gossip_arrives(self, name: str, other: str) -> None:
        daemon, peer = self.daemons[name], self.daemons[other]
        daemon.view[other] = peer.name
        daemon.eras[other] = peer.table.era

    @rule(
        names=st.sets(st.sampled_from(DAEMONS), min_size=1),
        eras=st.integers(1, 2),
    )
    def era_begins(self, names: set[str], eras: int) -> None:
        """Advance the era of some daemons only, as if others were frozen."""
        for name in names:
            table = self.daemons[name].table
            table.advance(table.era + eras)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.executions.values())

    @invariant()
    def not_run_is_true(self) -> None:
        for attempt in self.attempts:
            if attempt.verdict == 'not-run':
                assert attempt.number not in self.ran_attempts

    @invariant()
    def memory_is_bounded(self) -> None:
        for daemon in self.daemons.values():
            table = daemon.table
            assert len(table.by_key) <= LIMITS.max_keys
            assert table.total_response_bytes <= LIMITS.max_total_response_bytes
            key_count = sum(len(keys) for keys in table._keys_by_era.values())
            assert key_count == len(table.by_key)


BookingMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)
TestBookings = BookingMachine.TestCase


def take_random_step(machine: BookingMachine, rng: Random) -> None:
    """Take one random step; progress is more likely than a fault."""
    name, other = rng.choice(DAEMONS), rng.choice(DAEMONS)
    index, choice = rng.randrange(100), rng.randrange(10)
    kind = rng.choices(
        ('book', 'repeat', 'store', 'late', 'deliver', 'run', 'crash')
        + ('gossip', 'era'),
        (2, 4, 8, 1, 8, 6, 0.5, 1, 0.7),
    )[0]
    if kind == 'book' and choice % 2:
        machine.book_with_ticket(ingress=name, choice=index)
    elif kind == 'book':
        machine.book_with_uuid(ingress=name, choice=index)
    elif kind == 'repeat':
        machine.repeat(ingress=name, index=index, choice=choice)
    elif kind == 'store':
        fault = rng.choice(('', '', '', '', 'lost', 'late', 'never', 'down'))
        machine.respond_as_store(index=index, fault=fault)
    elif kind == 'late':
        machine.late_write_arrives(index=index)
    elif kind == 'deliver':
        machine.deliver(
            index=index,
            is_shed=rng.random() < 0.3,
            copied=rng.random() < 0.15,
            is_cut=rng.random() < 0.2,
            choice=choice,
        )
    elif kind == 'run':
        event = rng.choice(('begin', 'begin', 'end', 'lose', 'shed'))
        machine.advance_run(index=index, choice=choice, event=event)
    elif kind == 'crash':
        machine.replace_process(name=name)
    elif kind == 'gossip':
        machine.gossip_arrives(name=name, other=other)
    else:
        machine.era_begins(names={name, other}, eras=1)


def test_long_random_runs_execute_each_key_at_most_once() -> None:
    """Guards against double runs in rare orders of events.

    Few of the examples that Hypothesis generates reach them.
    """
    for seed in range(2500):
        machine = BookingMachine()
        rng = Random(seed)
        for _ in range(120):
            take_random_step(machine, rng)
            machine.runs_at_most_once()
            machine.not_run_is_true()
        machine.memory_is_bounded()
        assert all(count <= 1 for count in machine.executions.values()), seed
