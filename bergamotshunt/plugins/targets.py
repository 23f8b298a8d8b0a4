"""Holds the operators' targets that are in force at this daemon."""

from asyncio import Event, sleep
from typing import Any, Final

from returns.result import Success

from bergamotshunt.decisions.confirmation import (
    NOT_LOADED_DETAIL,
    ConfirmationRules,
    confirmation_age_ms,
    decide_confirmation,
    needs_platform_read,
    serve_until_ms,
)
from bergamotshunt.decisions.reader_election import (
    count_other_members,
    list_reachable,
)
from bergamotshunt.decisions.target_log import changes_since
from bergamotshunt.decisions.targets_state import (
    TargetsState,
    create_pull_response,
    record_peer_contact,
    update_from_change,
    update_from_fetched,
    update_from_head,
    update_from_initial_fetch,
    update_from_revision,
)
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.log import log_event

# Every message that the task handles or publishes.
from bergamotshunt.messages import (  # noqa: WPS235
    ChangeReceived,
    ConfirmationChanged,
    DescribeTask,
    MembersChanged,
    PeerReached,
    PeerRevisionReceived,
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
    InitialTargetsFetched,
    MissingChangesDetected,
    PulledTargets,
    PullTargets,
    PushChange,
    ReaderElected,
    TargetsFetched,
)
from bergamotshunt.peers.members import Member
from bergamotshunt.store.platform_targets import fetch_head

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
MAX_TICK_INTERVAL_S: Final = 0.5
# A daemon that caught up on many changes at once pushes only the newest.
MAX_PUSHED_CHANGES: Final = 4
# Allows several attempts of each kind of contact, the platform and peers,
# within the confirmation time.
TICKS_PER_CONFIRMATION: Final = 6
# Bounds the CPU share of the scans of all members.
MAX_SCANNED_MEMBERS_PER_S: Final = 4000
COUNT_INTERVAL_S: Final = 5
NOT_LOADED_YET: Final = ConfirmationChanged(
    confirmed=False,
    detail=NOT_LOADED_DETAIL,
)


class TargetsTask(Task):
    """Owns the targets in force."""

    name = 'keeper'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without targets."""
        super().__init__(context)
        targets = context.settings.targets
        self.own_id = context.settings.daemon.id
        self.rules = ConfirmationRules(
            confirm_within_ms=targets.confirm_within_s * MS_PER_S,
            refuse_unconfirmed=targets.refuse_unconfirmed,
            probe_interval_ms=context.settings.membership.probe_interval_ms,
        )
        self.state = TargetsState()
        self.confirmation = NOT_LOADED_YET
        self.members_by_id: dict[str, Member] = {}
        self.members_changed = Event()
        self.reachable_members: tuple[Member, ...] = ()
        self.is_reader = False
        self.is_reading = False

    async def start(self) -> None:
        """Publish that no targets are confirmed yet, and start the timers."""
        self.bus.publish(NOT_LOADED_YET)
        self.spawn(self.run_ticks())
        self.spawn(self.update_reachable_members())
        self.spawn(self.run_counts())

    def replace_state(self, state: TargetsState, source: str) -> None:
        """Set the state; publish the targets that came into force.

        Args:
            state: New state.
            source: Source of the change, a label of the metrics.
        """
        before = self.state.log.revision
        self.state = state
        if state.is_behind:
            self.bus.publish(MissingChangesDetected(*state.newest))
        if state.log.revision == before:
            return
        applied = changes_since(state.log, before) or ()
        # A snapshot, which does not list its changes, counts as one.
        CHANGES_APPLIED.labels(source).inc(len(applied) or 1)
        self.bus.publish(TargetsChanged(state.log.target_set))
        self.publish_revision()
        if source in {'push', 'watch', 'submission'}:
            for change in applied[-MAX_PUSHED_CHANGES:]:
                self.bus.publish(PushChange(change))

    async def read_platform(self) -> None:
        """Read the newest change in the platform to confirm the targets."""
        requested_ms = self.now_ms()
        self.is_reading = True
        try:
            outcome = await fetch_head(self.bus)
        finally:
            self.is_reading = False
        match outcome:
            case Success(head):
                state = update_from_head(self.state, head.change, requested_ms)
                self.replace_state(state, 'watch')

    async def update_reachable_members(self) -> None:
        """Update the reachable members whenever the members change."""
        while True:
            await self.members_changed.wait()
            self.members_changed.clear()
            members = self.members_by_id.values()
            self.reachable_members = list_reachable(members, self.own_id)
            contacts = self.state.contacts._replace(
                other_member_count=count_other_members(members, self.own_id),
            )
            self.state = self.state._replace(contacts=contacts)
            await sleep(len(members) / MAX_SCANNED_MEMBERS_PER_S)

    async def run_ticks(self) -> None:
        """Update the confirmation periodically."""
        within_s = self.settings.targets.confirm_within_s
        tick_s = min(MAX_TICK_INTERVAL_S, within_s / TICKS_PER_CONFIRMATION)
        while True:
            self.tick()
            await sleep(tick_s)

    async def run_counts(self) -> None:
        """Count the members that are behind; rarely, as it scans them all."""
        while True:
            MEMBERS_BEHIND.set(self.count_behind())
            await sleep(COUNT_INTERVAL_S)

    def tick(self) -> None:
        """Read the platform if due, then publish confirmation and revision."""
        contacts = self.state.contacts
        if not contacts.loaded:
            return
        is_due = needs_platform_read(
            contacts, self.rules, self.is_reader, self.now_ms()
        )
        if is_due and not self.is_reading:
            self.spawn(self.read_platform())
        self.publish_confirmation()
        self.publish_revision()

    def publish_confirmation(self) -> None:
        """Publish until when to serve, and the confirmation if it changed."""
        decided = decide_confirmation(
            self.state.contacts, self.rules, self.now_ms()
        )
        until_ms = serve_until_ms(self.state.contacts, self.rules)
        self.bus.publish(ServeUntil(until_ms))
        changed = decided.confirmed != self.confirmation.confirmed
        self.confirmation = decided
        if changed:
            self.bus.publish(decided)
            log_event('targets:confirmation', **decided._asdict())

    def publish_revision(self) -> None:
        """Publish the revision in force to gossip and to the metrics."""
        if not self.state.contacts.loaded:
            return
        age_ms = confirmation_age_ms(self.state.contacts, self.now_ms())
        revision = self.state.log.revision
        self.bus.publish(RevisionInForce(revision, int(age_ms)))
        set_target_gauges(
            revision, age_ms / MS_PER_S, self.confirmation.confirmed
        )

    def count_behind(self) -> int:
        """Count the members that last reported an older revision."""
        ids = frozenset(member.daemon_id for member in self.reachable_members)
        return self.state.count_behind(ids)


@HANDLERS.on(InitialTargetsFetched)
def apply_initial_targets(
    task: TargetsTask, message: InitialTargetsFetched
) -> None:
    """Apply the first targets after the start."""
    task.replace_state(update_from_initial_fetch(task.state, message), 'start')
    if not task.state.log.revision:
        # Other tasks wait for the first targets, even if there are none.
        task.bus.publish(TargetsChanged(task.state.log.target_set))
    task.tick()


@HANDLERS.on(TargetsFetched)
def apply_fetched(task: TargetsTask, message: TargetsFetched) -> int:
    """Apply fetched changes and return the revision in force."""
    task.replace_state(update_from_fetched(task.state, message), 'pull')
    return task.state.log.revision


@HANDLERS.on(MembersChanged)
def update_members(task: TargetsTask, message: MembersChanged) -> None:
    """Store the known members."""
    task.members_by_id = message.members_by_id
    task.members_changed.set()


@HANDLERS.on(ReaderElected)
def handle_reader_elected(task: TargetsTask, message: ReaderElected) -> None:
    """Use the platform for confirmation while this daemon is a reader."""
    task.is_reader = message.is_reader


@HANDLERS.on(PeerReached)
def record_contact(task: TargetsTask, _message: PeerReached) -> None:
    """Record a contact with a peer."""
    task.state = record_peer_contact(task.state, task.now_ms())


@HANDLERS.on(ChangeReceived)
def apply_change(task: TargetsTask, message: ChangeReceived) -> None:
    """Apply a change from the platform, a peer or a local submission."""
    sender = message.daemon_id
    source = 'push' if sender else 'watch'
    if sender == task.own_id:
        source = 'submission'
        sender = ''
    state = update_from_change(
        task.state, message.change, sender, task.now_ms()
    )
    task.replace_state(state, source)


@HANDLERS.on(PeerRevisionReceived)
def apply_peer_revision(
    task: TargetsTask, message: PeerRevisionReceived
) -> None:
    """Record a peer's revision; a newer one starts a pull."""
    state = update_from_revision(task.state, message, task.now_ms())
    task.replace_state(state, 'pull')


@HANDLERS.on(PullTargets)
def serve_pull(task: TargetsTask, message: PullTargets) -> PulledTargets:
    """Return the changes that a peer is missing."""
    return create_pull_response(
        task.state, message.after_revision, task.now_ms()
    )


@HANDLERS.on(DescribeTask)
def describe(task: TargetsTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the targets in force for the daemon's status."""
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
            'members_known': contacts.other_member_count + 1,
            'members_behind': task.count_behind(),
        },
    }


@PLUGINS.register('keeper')
def create_targets(context: Context) -> TargetsTask:
    """Create the targets task."""
    return TargetsTask(context)
