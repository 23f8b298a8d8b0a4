"""Fetches the changes that a daemon is missing from the platform."""

from typing import Final

from returns.result import Success

from bergamotshunt.kernel import MessageBus
from bergamotshunt.operators.targets import Change
from bergamotshunt.operators.targets_messages import PulledTargets
from bergamotshunt.store.platform_targets import fetch_changes, fetch_snapshot

# For more changes than this, a snapshot is cheaper to fetch.
MAX_FETCHED_CHANGES: Final = 200


async def fetch_from_platform(
    bus: MessageBus,
    after_revision: int,
) -> PulledTargets | None:
    """Fetch the changes after a revision.

    Fetches a snapshot instead when records of changes are gone or when
    there are more than ``MAX_FETCHED_CHANGES``.

    Returns:
        The changes or a snapshot, or None when the platform did not
        respond.
    """
    match await fetch_changes(bus, after_revision, MAX_FETCHED_CHANGES + 1):
        case Success(changes) if closes_gap(changes, after_revision):
            newest_revision = changes[-1].revision
            return PulledTargets(
                loaded=True, revision=newest_revision, age_ms=0, changes=changes
            )
        case Success(_):
            return await fetch_full_snapshot(bus)
    return None


async def fetch_full_snapshot(bus: MessageBus) -> PulledTargets | None:
    """Fetch all targets; None when the platform did not respond."""
    match await fetch_snapshot(bus):
        case Success(target_set):
            return PulledTargets(
                loaded=True,
                revision=target_set.revision,
                age_ms=0,
                snapshot=tuple(target_set.by_service.values()),
            )
    return None


def closes_gap(changes: tuple[Change, ...], after_revision: int) -> bool:
    """Return whether the changes follow a revision without a gap.

    False also when there are none or too many of them.
    """
    if not 0 < len(changes) <= MAX_FETCHED_CHANGES:
        return False
    expected = range(after_revision + 1, after_revision + 1 + len(changes))
    return [change.revision for change in changes] == list(expected)
