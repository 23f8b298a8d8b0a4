"""Targets in force and their change log; revisions only increase."""

from typing import Final, NamedTuple

from bergamotshunt.operators.targets import Change, TargetSet

# A peer that is further behind gets a snapshot instead of single changes.
MAX_RECENT_CHANGES: Final = 256
# Changes that arrive before their predecessors are buffered up to this
# distance from the revision in force.
MAX_PENDING_CHANGES: Final = 64


class TargetLog(NamedTuple):
    """Targets in force with the latest changes that led to them.

    Attributes:
        target_set: Targets in force.
        recent: Newest applied changes without a gap, oldest first.
        pending_by_revision: Changes whose predecessor is missing.
    """

    target_set: TargetSet = TargetSet(0, {})
    recent: tuple[Change, ...] = ()
    pending_by_revision: dict[int, Change] = {}

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self.target_set.revision


def add_change(log: TargetLog, change: Change) -> TargetLog:
    """Add a change that may be old, the next one, or too early."""
    distance = change.revision - log.revision
    if not 0 < distance <= MAX_PENDING_CHANGES:
        return log
    pending = {**log.pending_by_revision, change.revision: change}
    return apply_pending(log._replace(pending_by_revision=pending))


def add_snapshot(log: TargetLog, target_set: TargetSet) -> TargetLog:
    """Replace the targets by a snapshot if its revision is newer."""
    if target_set.revision <= log.revision:
        return log
    return apply_pending(log._replace(target_set=target_set, recent=()))


def apply_pending(log: TargetLog) -> TargetLog:
    """Apply pending changes that directly follow the revision in force."""
    pending = {
        revision: change
        for revision, change in log.pending_by_revision.items()
        if revision > log.revision
    }
    target_set = log.target_set
    recent = log.recent
    while target_set.revision + 1 in pending:
        change = pending.pop(target_set.revision + 1)
        target_set = apply_change(target_set, change)
        recent = (*recent, change)[-MAX_RECENT_CHANGES:]
    return TargetLog(target_set, recent, pending)


def apply_change(target_set: TargetSet, change: Change) -> TargetSet:
    """Return the targets after the change of the next revision."""
    by_service = dict(target_set.by_service)
    if change.after is None:
        by_service.pop(change.service, None)
    else:
        by_service[change.service] = change.after
    return TargetSet(change.revision, by_service)


def changes_since(log: TargetLog, revision: int) -> tuple[Change, ...] | None:
    """Return the changes after a revision, or None if some are missing."""
    missing_count = log.revision - revision
    if missing_count <= 0:
        return ()
    if revision < 0 or missing_count > len(log.recent):
        return None
    return log.recent[-missing_count:]
