"""Keeper: the operators' targets in force at this daemon."""

from asyncio import Event, sleep
from typing import Any, Final

from returns.result import Success

from bergamotshunt.decisions.confirmation import (
    ConfirmationRules,
    confirmation_age_ms,
    decide_confirmation,
    needs_platform,
    serve_until_ms,
)
from bergamotshunt.decisions.keeping import (
    KeeperState,
    create_pull_response,
    note_contact,
    take_change,
    take_fetched,
    take_head,
    take_learned,
    take_revision,
)
from bergamotshunt.decisions.readers import (
    count_others,
    list_present,
)
from bergamotshunt.decisions.revisions import changes_since
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.log import log_event

# A task names every message that it handles or publishes.
from bergamotshunt.messages import (  # noqa: WPS235
    ChangeHeard,
    ConfirmationChanged,
    DescribeTask,
    MembersChanged,
    PeerReached,
    RevisionHeard,
    RevisionInForce,
    ServeUntil,
    TargetsChanged,
)
from bergamotshunt.metrics import (
    CHANGES_APPLIED,
    MEMBERS_BEHIND,
    set_target_gauges,
)
from bergamotshunt.operators.targets_messages import (
    BehindNoticed,
    PulledTargets,
    PullTargets,
    PushChange,
    ReaderElected,
    TargetsFetched,
    TargetsLearned,
)
from bergamotshunt.peers.members import Member
from bergamotshunt.store.platform_targets import fetch_head

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
MAX_TICK_S: Final = 0.5
# A daemon that caught up on many changes pushes only the newest.
MAX_PUSHED: Final = 4
# Within the confirmation time, each kind of contact is tried several times.
TICKS_PER_CONFIRMATION: Final = 6
# Bounds the share of a core that scans of the members take.
MEMBERS_PER_S: Final = 4000
COUNT_PERIOD_S: Final = 5
STARTING: Final = ConfirmationChanged(
    confirmed=False,
    detail='no targets learned yet from the platform or a peer',
)


class KeeperTask(Task):
    """Owns the targets in force."""

    name = 'keeper'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without targets."""
        super().__init__(context)
        targets = context.settings.targets
        self.own_id = context.settings.daemon.id
        self.rules = ConfirmationRules(
            within_ms=targets.confirm_within_s * MS_PER_S,
            refuse_unconfirmed=targets.refuse_unconfirmed,
            spread_ms=context.settings.membership.probe_interval_ms,
        )
        self.state = KeeperState()
        self.confirmation = STARTING
        self.members_by_id: dict[str, Member] = {}
        self.members_changed = Event()
        self.present: tuple[Member, ...] = ()
        self.is_reader = False
        self.is_reading = False

    async def start(self) -> None:
        """Refuse work until the targets are learned, then keep them."""
        self.post.publish(STARTING)
        self.spawn(self.tick_on())
        self.spawn(self.follow_members())
        self.spawn(self.count_on())

    def replace_state(self, state: KeeperState, source: str) -> None:
        """Take over a state; tell the others what came into force."""
        before = self.state.log.revision
        self.state = state
        if state.is_behind:
            self.post.publish(BehindNoticed(*state.wanted))
        if state.log.revision == before:
            return
        applied = changes_since(state.log, before) or ()
        CHANGES_APPLIED.labels(source).inc(len(applied) or 1)
        self.post.publish(TargetsChanged(state.log.target_set))
        self.announce()
        if source in {'push', 'watch', 'submission'}:
            for change in applied[-MAX_PUSHED:]:
                self.post.publish(PushChange(change))

    async def read_platform(self) -> None:
        """Read the head, to confirm the targets in force."""
        asked_ms = self.now_ms()
        self.is_reading = True
        try:
            outcome = await fetch_head(self.post)
        finally:
            self.is_reading = False
        match outcome:
            case Success(head):
                state = take_head(self.state, head.change, asked_ms)
                self.replace_state(state, 'watch')

    async def follow_members(self) -> None:
        """Keep the list of members to talk to."""
        while True:
            await self.members_changed.wait()
            self.members_changed.clear()
            members = self.members_by_id.values()
            self.present = list_present(members, self.own_id)
            contacts = self.state.contacts._replace(
                others=count_others(members, self.own_id),
            )
            self.state = self.state._replace(contacts=contacts)
            await sleep(len(members) / MEMBERS_PER_S)

    async def tick_on(self) -> None:
        """Decide on the confirmation again and again."""
        within_s = self.settings.targets.confirm_within_s
        tick_s = min(MAX_TICK_S, within_s / TICKS_PER_CONFIRMATION)
        while True:
            self.tick()
            await sleep(tick_s)

    async def count_on(self) -> None:
        """Count the members that are behind, seldom because it is long."""
        while True:
            MEMBERS_BEHIND.set(self.count_behind())
            await sleep(COUNT_PERIOD_S)

    def tick(self) -> None:
        """Read the platform if it is time, decide, tell the revision."""
        contacts = self.state.contacts
        if not contacts.loaded:
            return
        is_due = needs_platform(
            contacts, self.rules, self.is_reader, self.now_ms()
        )
        if is_due and not self.is_reading:
            self.spawn(self.read_platform())
        self.decide()
        self.announce()

    def decide(self) -> None:
        """Publish the confirmation when it changes."""
        decided = decide_confirmation(
            self.state.contacts, self.rules, self.now_ms()
        )
        until_ms = serve_until_ms(self.state.contacts, self.rules)
        self.post.publish(ServeUntil(until_ms))
        changed = decided.confirmed != self.confirmation.confirmed
        self.confirmation = decided
        if changed:
            self.post.publish(decided)
            log_event('targets:confirmation', **decided._asdict())

    def announce(self) -> None:
        """Tell the revision in force to gossip and to the metrics."""
        if not self.state.contacts.loaded:
            return
        age_ms = confirmation_age_ms(self.state.contacts, self.now_ms())
        revision = self.state.log.revision
        self.post.publish(RevisionInForce(revision, int(age_ms)))
        set_target_gauges(
            revision, age_ms / MS_PER_S, self.confirmation.confirmed
        )

    def count_behind(self) -> int:
        """Count the members last heard with an older revision."""
        ids = frozenset(member.daemon_id for member in self.present)
        return self.state.count_behind(ids)


@HANDLERS.on(TargetsLearned)
def take(task: KeeperTask, message: TargetsLearned) -> None:
    """Put the first targets in force."""
    task.replace_state(take_learned(task.state, message), 'start')
    if not task.state.log.revision:
        # Other tasks wait for the first targets, even if there are none.
        task.post.publish(TargetsChanged(task.state.log.target_set))
    task.tick()


@HANDLERS.on(TargetsFetched)
def take_missing(task: KeeperTask, message: TargetsFetched) -> int:
    """Put in force what was missing."""
    task.replace_state(take_fetched(task.state, message), 'pull')
    return task.state.log.revision


@HANDLERS.on(MembersChanged)
def note_members(task: KeeperTask, message: MembersChanged) -> None:
    """Take over the members."""
    task.members_by_id = message.members_by_id
    task.members_changed.set()


@HANDLERS.on(ReaderElected)
def note_reader(task: KeeperTask, message: ReaderElected) -> None:
    """Confirm by the platform while this daemon is a reader."""
    task.is_reader = message.is_reader


@HANDLERS.on(PeerReached)
def note_reached(task: KeeperTask, _message: PeerReached) -> None:
    """Note a contact with a peer."""
    task.state = note_contact(task.state, task.now_ms())


@HANDLERS.on(ChangeHeard)
def hear(task: KeeperTask, message: ChangeHeard) -> None:
    """Take a change from the platform, a peer or a submission here."""
    sender = message.daemon_id
    source = 'push' if sender else 'watch'
    if sender == task.own_id:
        source = 'submission'
        sender = ''
    state = take_change(task.state, message.change, sender, task.now_ms())
    task.replace_state(state, source)


@HANDLERS.on(RevisionHeard)
def hear_revision(task: KeeperTask, message: RevisionHeard) -> None:
    """Take the revision of a peer."""
    state = take_revision(task.state, message, task.now_ms())
    task.replace_state(state, 'pull')


@HANDLERS.on(PullTargets)
def serve_pull(task: KeeperTask, message: PullTargets) -> PulledTargets:
    """Answer a peer that is behind."""
    return create_pull_response(
        task.state, message.after_revision, task.now_ms()
    )


@HANDLERS.on(DescribeTask)
def describe(task: KeeperTask, _message: DescribeTask) -> dict[str, Any]:
    """Describe the targets in force for the daemon's status."""
    contacts = task.state.contacts
    target_set = task.state.log.target_set
    return {
        'targets': {
            'revision': target_set.revision,
            'services': sorted(target_set.by_service),
            'confirmed': task.confirmation.confirmed,
            'detail': task.confirmation.detail,
            'confirmation_age_ms': int(
                confirmation_age_ms(contacts, task.now_ms()),
            ),
            'members_known': contacts.others + 1,
            'members_behind': task.count_behind(),
        },
    }


@PLUGINS.register('keeper')
def create_keeper(context: Context) -> KeeperTask:
    """Create the keeper task."""
    return KeeperTask(context)
