"""State machine: targets of three daemons and a faulty platform.

Responses are lost, late, stale or reordered; daemons restart and operators
race. Guards against lost or duplicate changes, revisions that go back, and
false confirmations. Only code without I/O runs: the decisions, the codecs
and the data of the platform stand-in.
"""

from typing import Any, NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bergamotshunt.decisions.submissions import (
    Proposed,
    Repeated,
    SubmissionView,
    decide_submission,
)
from bergamotshunt.decisions.target_log import apply_change
from bergamotshunt.decisions.target_sources import PeerRevision, plan_fetch
from bergamotshunt.decisions.targets_state import (
    TargetsState,
    create_pull_response,
    update_from_change,
    update_from_fetched,
    update_from_head,
    update_from_initial_fetch,
    update_from_revision,
)
from bergamotshunt.messages import PeerRevisionReceived, StoreGet, SubmitChange
from bergamotshunt.operators.targets import (
    Change,
    ServiceTargets,
    Target,
    TargetSet,
)
from bergamotshunt.operators.targets_codec import (
    CHANGES_PREFIX,
    HEAD_KEY,
    SERVICES_PREFIX,
    TARGETS_PREFIX,
    change_key,
    service_key,
    submission_key,
)
from bergamotshunt.operators.targets_messages import (
    InitialTargetsFetched,
    TargetsFetched,
)
from bergamotshunt.store.platform_targets import (
    decode_head,
    read_changes,
    read_first_change,
    read_snapshot,
    read_stored_service,
)
from bergamotshunt.store.store_codec import StoreCodec
from bergamotshunt.store.submitter import build_commit
from standins.platform_data import KeyValueData

DAEMONS = ('d1', 'd2', 'd3')
CODEC = StoreCodec('p/')

daemons = st.sampled_from(DAEMONS)
services = st.sampled_from(('jar-ledger', 'catalog'))
flags = st.booleans()
picks = st.integers(0, 10_000)


class PendingCommit(NamedTuple):
    """A commit on its way to the platform."""

    message: SubmitChange
    change: Change
    body: dict[str, Any]


class DelayedMessage(NamedTuple):
    """A message between daemons, delivered at a time that the test picks."""

    sender: str
    body: Any
    sent_ms: float


def read(data: KeyValueData, message: StoreGet) -> Any:
    return CODEC.decode_entries(data.read_range(CODEC.encode_get(message)))


class TargetsMachine(RuleBasedStateMachine):
    """Three daemons, two services, one platform."""

    allows_stale = True

    def __init__(self) -> None:
        super().__init__()
        self.data = KeyValueData()
        self.stale_data = self.data.copy()
        self.now_ms = 1000.0
        # Commit time in ms and revision of each change, oldest first.
        self.heads = [(0.0, 0)]
        self.targets_by_revision = [TargetSet(0, {})]
        self.states = dict.fromkeys(DAEMONS, TargetsState())
        self.last_revisions = dict.fromkeys(DAEMONS, 0)
        self.submissions: list[SubmitChange] = []
        self.commits: list[PendingCommit] = []
        self.delayed: list[DelayedMessage] = []
        self.acknowledged: list[tuple[SubmitChange, Change]] = []

    def source(self, stale: bool) -> KeyValueData:
        return self.stale_data if stale and self.allows_stale else self.data

    def replace_state(self, daemon: str, state: TargetsState) -> None:
        assert state.log.revision >= self.last_revisions[daemon], (
            'the revision went back'
        )
        self.last_revisions[daemon] = state.log.revision
        self.states[daemon] = state
        self.now_ms += 1

    def changes(self) -> tuple[Change, ...]:
        return read_changes(read(self.data, StoreGet(CHANGES_PREFIX, True)))

    @initialize(is_loaded=st.lists(flags, min_size=3, max_size=3))
    def start(self, is_loaded: list[bool]) -> None:
        """Start with one change, which some of the daemons have loaded."""
        self.accept('jar-ledger', 1, removes=False)
        for daemon, loaded in zip(DAEMONS, is_loaded, strict=True):
            if loaded:
                self.restart(
                    daemon, platform_responds=True, stale=False, peers=set()
                )

    @rule(service=services, number=st.integers(1, 9), removes=flags)
    def accept(self, service: str, number: int, removes: bool) -> None:
        """Submit and commit a change without any fault."""
        self.create_submission(service, number, removes)
        self.submit(len(self.submissions) - 1, stale=set())
        if self.commits and self.commits[-1].message == self.submissions[-1]:
            self.run_commit(len(self.commits) - 1, False, False)

    @rule(step=st.integers(1, 2000))
    def wait(self, step: int) -> None:
        self.now_ms += step

    @rule()
    def copy_stale_data(self) -> None:
        self.stale_data = self.data.copy()

    @rule(service=services, number=st.integers(1, 9), removes=flags)
    def create_submission(
        self, service: str, number: int, removes: bool
    ) -> None:
        """Create an operator's change that expects the current revision."""
        key = service_key(service)
        stored_service, _ = read_stored_service(
            read(self.data, StoreGet(key))
        ).unwrap()
        after = None
        if not removes:
            target = Target('only', weight=float(number))
            after = ServiceTargets(service, (target,))
        self.submissions.append(
            SubmitChange(
                service,
                after,
                stored_service.revision if stored_service else 0,
                'ana',
                '',
                f's{len(self.submissions)}',
            )
        )

    @precondition(lambda self: self.submissions)
    @rule(pick=picks, stale=st.sets(st.sampled_from(('head', 'id', 'targets'))))
    def submit(self, pick: int, stale: set[str]) -> None:
        """Let a daemon read its view at several moments and send a commit.

        The submission may be a repeat.
        """
        message = self.submissions[pick % len(self.submissions)]
        head = decode_head(
            read(self.source('head' in stale), StoreGet(HEAD_KEY))
        ).unwrap()
        stored_key = service_key(message.service)
        service, mod_revision = read_stored_service(
            read(self.source('targets' in stale), StoreGet(stored_key))
        ).unwrap()
        key = submission_key(message.operator, message.submission_id)
        accepted_entries = read(self.source('id' in stale), StoreGet(key))
        view = SubmissionView(head.revision, service)
        if accepted_entries:
            record = StoreGet(change_key(int(accepted_entries[0].content)))
            earlier_change = read_first_change(read(self.data, record)).unwrap()
            view = view._replace(earlier_change=earlier_change)
        decision = decide_submission(message, view, 0)
        if isinstance(decision, Repeated):
            self.acknowledged.append((message, decision.change))
        elif isinstance(decision, Proposed):
            expected = (
                (HEAD_KEY, head.mod_revision),
                (stored_key, mod_revision),
                (key, 0),
            )
            commit = build_commit(decision.change, expected, ())
            body = CODEC.encode_commit(commit)
            self.commits.append(PendingCommit(message, decision.change, body))

    @precondition(lambda self: self.commits)
    @rule(pick=picks, is_lost=flags, is_repeated=flags)
    def run_commit(self, pick: int, is_lost: bool, is_repeated: bool) -> None:
        """Deliver a commit; it may be repeated, and its response lost."""
        index = pick % len(self.commits)
        pending = self.commits[index]
        if not is_repeated:
            self.commits.pop(index)
        self.now_ms += 1
        committed = CODEC.decode_committed(
            self.data.run_transaction(pending.body)
        )
        if committed.succeeded:
            expected_revision = pending.message.expected_revision
            before = pending.change.before
            assert expected_revision == (before.revision if before else 0)
            assert before == self.targets_at(
                pending.change.revision - 1
            ).by_service.get(pending.message.service), (
                'a change that the operator had not seen was overwritten'
            )
            self.heads.append((self.now_ms, pending.change.revision))
            if not is_lost:
                self.acknowledged.append((pending.message, pending.change))

    @rule(daemon=daemons, stale=flags)
    def read_platform(self, daemon: str, stale: bool) -> None:
        state = self.states[daemon]
        head = decode_head(
            read(self.source(stale), StoreGet(HEAD_KEY))
        ).unwrap()
        if state.contacts.loaded:
            self.replace_state(
                daemon, update_from_head(state, head.change, self.now_ms)
            )

    @precondition(lambda self: len(self.heads) > 1)
    @rule(daemon=daemons, pick=picks)
    def see_watch_event(self, daemon: str, pick: int) -> None:
        """Deliver a watch event that may be old, as after a pause."""
        changes = self.changes()
        change = changes[pick % len(changes)]
        state = self.states[daemon]
        self.replace_state(
            daemon, update_from_change(state, change, '', self.now_ms)
        )

    @rule(sender=daemons, after=st.integers(-1, 9))
    def send_to_peers(self, sender: str, after: int) -> None:
        """Send a daemon's revision, newest change and response to a pull.

        They arrive late, in any order, or never.
        """
        state = self.states[sender]
        pulled = create_pull_response(state, after, self.now_ms)
        bodies: list[Any] = [pulled, *state.log.recent[-1:]]
        if state.contacts.loaded:
            bodies.append(
                PeerRevisionReceived(state.log.revision, sender, pulled.age_ms)
            )
        for body in bodies:
            self.delayed.append(DelayedMessage(sender, body, self.now_ms))

    @precondition(lambda self: self.delayed)
    @rule(receiver=daemons, pick=picks)
    def receive(self, receiver: str, pick: int) -> None:
        message = self.delayed[pick % len(self.delayed)]
        state = self.states[receiver]
        if message.sender == receiver:
            return
        if isinstance(message.body, Change):
            state = update_from_change(
                state, message.body, message.sender, self.now_ms
            )
        elif isinstance(message.body, PeerRevisionReceived):
            # The age in a datagram is as of its sending.
            delay_ms = int(self.now_ms - message.sent_ms)
            aged = message.body._replace(age_ms=message.body.age_ms + delay_ms)
            state = update_from_revision(state, aged, self.now_ms)
        elif state.contacts.loaded:
            fetched = TargetsFetched(
                message.body, message.sender, message.sent_ms
            )
            state = update_from_fetched(state, fetched)
        self.replace_state(receiver, state)

    @rule(
        daemon=daemons,
        platform_responds=flags,
        stale=flags,
        peers=st.sets(daemons),
    )
    def restart(
        self, daemon: str, platform_responds: bool, stale: bool, peers: set[str]
    ) -> None:
        """Restart a daemon; it loads targets from whoever responds."""
        self.states[daemon] = TargetsState()
        self.last_revisions[daemon] = 0
        data = self.source(stale)
        head = decode_head(read(data, StoreGet(HEAD_KEY))).unwrap()
        peer_revisions = tuple(
            PeerRevision(peer, state.log.revision, response.age_ms)
            for peer in sorted(peers)
            for state in (self.states[peer],)
            for response in (create_pull_response(state, -1, self.now_ms),)
            if response.loaded
        )
        plan = plan_fetch(
            head.revision if platform_responds else None, peer_revisions
        )
        if plan is None:
            return
        snapshot = read_snapshot(
            read(data, StoreGet(TARGETS_PREFIX, prefix=True))
        ).unwrap()
        if plan.addresses:
            peer_log = self.states[plan.addresses[0]].log
            snapshot = peer_log.target_set
        ages = [
            peer_revision.age_ms
            for peer_revision in peer_revisions
            if peer_revision.revision == plan.revision
        ]
        age_ms = 0 if plan.from_platform else min(ages)
        fetched = InitialTargetsFetched(
            snapshot,
            self.now_ms,
            self.now_ms - age_ms,
            plan.from_platform,
            bool(peer_revisions),
        )
        self.replace_state(
            daemon, update_from_initial_fetch(TargetsState(), fetched)
        )
        known_revisions = [
            peer_revision.revision for peer_revision in peer_revisions
        ]
        if platform_responds:
            known_revisions.append(head.revision)
        assert self.states[daemon].log.revision >= max(known_revisions)

    @invariant()
    def each_change_exists_once_with_its_record(self) -> None:
        changes = self.changes()
        head = decode_head(read(self.data, StoreGet(HEAD_KEY))).unwrap()
        revisions = [change.revision for change in changes]
        assert revisions == list(range(1, head.revision + 1))
        ids = [change.submission_id for change in changes]
        assert len(ids) == len(set(ids)), 'a submission was applied twice'
        for message, change in self.acknowledged:
            assert (
                change.after is None
                or change.after._replace(revision=0) == message.after
            ), 'a different change was reported as accepted'
            assert changes[change.revision - 1] == change
            assert change.submission_id == message.submission_id
        stored = read(self.data, StoreGet(SERVICES_PREFIX, prefix=True))
        by_service = self.targets_at(head.revision).by_service
        assert len(stored) == len(by_service)
        for entry in stored:
            service, _ = read_stored_service((entry,)).unwrap()
            assert service is not None
            assert by_service[service.service] == service

    @invariant()
    def targets_in_force_are_those_of_their_revision(self) -> None:
        for state in self.states.values():
            revision = state.log.revision
            assert state.log.target_set == self.targets_at(revision)
            assert state.contacts.loaded or not revision

    @invariant()
    def a_confirmed_revision_was_the_newest(self) -> None:
        if self.allows_stale:
            return
        for state in self.states.values():
            confirmed_ms = state.contacts.confirmed_ms
            if confirmed_ms is not None:
                newest = max(
                    revision
                    for committed_ms, revision in self.heads
                    if committed_ms < confirmed_ms or not revision
                )
                assert newest <= state.log.revision

    def targets_at(self, revision: int) -> TargetSet:
        while len(self.targets_by_revision) <= revision:
            change = self.changes()[len(self.targets_by_revision) - 1]
            self.targets_by_revision.append(
                apply_change(self.targets_by_revision[-1], change)
            )
        return self.targets_by_revision[revision]


class FreshReadsMachine(TargetsMachine):
    """The same without stale reads, to check the confirmation ages."""

    allows_stale = False


LIMITS = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
)
TestTargetsMachine = TargetsMachine.TestCase
TestTargetsMachine.settings = LIMITS
TestFreshReadsMachine = FreshReadsMachine.TestCase
TestFreshReadsMachine.settings = LIMITS
