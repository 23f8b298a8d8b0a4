"""Fetch of the changes that a daemon is missing, from one source."""

from typing import Final

from returns.result import Success

from bergamotshunt.kernel import MessageBus
from bergamotshunt.operators.targets import Change
from bergamotshunt.operators.targets_messages import PulledTargets
from bergamotshunt.store.platform_targets import fetch_changes, fetch_snapshot

# More missing changes than this cost more than a snapshot.
MAX_CHANGES: Final = 200


async def fetch_from_platform(
    bus: MessageBus,
    after_revision: int,
) -> PulledTargets | None:
    """Fetch changes, or everything when their records are gone.

    Returns:
        What is missing, or None without a response of the platform.
    """
    match await fetch_changes(bus, after_revision, MAX_CHANGES + 1):
        case Success(changes) if follows(changes, after_revision):
            newest = changes[-1].revision
            return PulledTargets(
                loaded=True, revision=newest, age_ms=0, changes=changes
            )
        case Success(_):
            return await fetch_everything(bus)
    return None


async def fetch_everything(bus: MessageBus) -> PulledTargets | None:
    """Fetch all targets from the platform."""
    match await fetch_snapshot(bus):
        case Success(target_set):
            return PulledTargets(
                loaded=True,
                revision=target_set.revision,
                age_ms=0,
                snapshot=tuple(target_set.by_service.values()),
            )
    return None


def follows(changes: tuple[Change, ...], after_revision: int) -> bool:
    """Return whether the changes close the gap after a revision."""
    return (
        0 < len(changes) <= MAX_CHANGES
        and changes[0].revision == after_revision + 1
    )
