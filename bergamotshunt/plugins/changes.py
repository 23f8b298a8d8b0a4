"""Commits operators' changes of targets and lists the audit trail."""

from typing import Any, Final

from returns.result import Failure, Result, Success

from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.log import log_event
from bergamotshunt.messages import (
    ChangeReceived,
    DescribeTask,
    StoreFailure,
    SubmitChange,
)
from bergamotshunt.metrics import SUBMISSIONS
from bergamotshunt.operators.targets import Change
from bergamotshunt.operators.targets_initial_fetch import (
    PULL_NO_CHANGES_REVISION,
)
from bergamotshunt.operators.targets_messages import (
    ChangeList,
    ListChanges,
    PulledTargets,
    PullTargets,
    SubmitFailure,
)
from bergamotshunt.store.platform_targets import fetch_changes, fetch_head
from bergamotshunt.store.submitter import Submitter

HANDLERS: Final = HandlerTable()


class ChangesTask(Task):
    """Commits changes to the platform's store, which holds all state."""

    name = 'changes'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task."""
        super().__init__(context)
        audit_records = context.settings.targets.audit_records
        self.submitter = Submitter(context.bus, audit_records, context.rng)
        self.accepted = 0

    async def list_stored(
        self,
        message: ListChanges,
    ) -> Result[ChangeList, StoreFailure]:
        """List changes from the platform's store."""
        head = await fetch_head(self.bus)
        if not isinstance(head, Success):
            return Failure(head.failure())
        newest_revision = head.unwrap().revision
        after = message.after_revision
        if after < 0:
            after = max(0, newest_revision - message.limit)
        changes = await fetch_changes(self.bus, after, message.limit)
        return changes.map(
            lambda listed: ChangeList(listed, newest_revision, complete=True),
        )

    async def list_cached(self, message: ListChanges) -> ChangeList:
        """List the changes that the targets task has in memory."""
        current: PulledTargets = await self.bus.ask(
            PullTargets(PULL_NO_CHANGES_REVISION)
        )
        newest_revision = current.revision
        after = message.after_revision
        if after < 0:
            after = max(0, newest_revision - message.limit)
        pulled: PulledTargets = await self.bus.ask(PullTargets(after))
        listed = pulled.changes[: message.limit]
        return ChangeList(listed, newest_revision, complete=False)


@HANDLERS.on(SubmitChange)
async def submit(
    task: ChangesTask,
    message: SubmitChange,
) -> Result[Change, SubmitFailure]:
    """Commit a change and publish it to the targets task."""
    outcome = await task.submitter.submit(message)
    match outcome:
        case Success(change):
            task.accepted += 1
            SUBMISSIONS.labels('accepted').inc()
            task.bus.publish(ChangeReceived(change, task.settings.daemon.id))
            log_event(
                'targets:accepted',
                revision=change.revision,
                service=change.service,
                operator=change.operator,
            )
        case Failure(failure):
            SUBMISSIONS.labels(failure.kind.value).inc()
            log_event(
                'targets:not-accepted',
                reason=failure.kind.value,
                service=message.service,
                operator=message.operator,
            )
    return outcome


@HANDLERS.on(ListChanges)
async def list_changes(task: ChangesTask, message: ListChanges) -> ChangeList:
    """List changes from the platform, or from memory while it is down."""
    match await task.list_stored(message):
        case Success(listed):
            return listed
    return await task.list_cached(message)


@HANDLERS.on(DescribeTask)
def describe(task: ChangesTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the number of accepted changes for the daemon's status."""
    return {'changes_accepted_here': task.accepted}


@PLUGINS.register('changes')
def create_changes(context: Context) -> ChangesTask:
    """Create the changes task."""
    return ChangesTask(context)
