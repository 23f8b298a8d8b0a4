"""Reads targets from the platform's store, through the store task."""

from typing import NamedTuple

from returns.result import Result, Success

from bergamotshunt.kernel import MessageBus
from bergamotshunt.messages import StoreEntry, StoreFailure, StoreGet
from bergamotshunt.operators.targets import Change, ServiceTargets, TargetSet
from bergamotshunt.operators.targets_codec import (
    CHANGES_PREFIX,
    HEAD_KEY,
    SERVICES_PREFIX,
    TARGETS_PREFIX,
    change_key,
    decode_change,
    decode_service,
)

EntriesResult = Result[tuple[StoreEntry, ...], StoreFailure]


class Head(NamedTuple):
    """The newest change of the targets.

    Attributes:
        change: The change, or None when no target was ever set.
        mod_revision: Store revision of its last write; 0 for none.
    """

    change: Change | None
    mod_revision: int

    @property
    def revision(self) -> int:
        """Return the newest revision of the targets."""
        return 0 if self.change is None else self.change.revision


def decode_head(entries: tuple[StoreEntry, ...]) -> Head:
    """Decode the head from the entries of its key."""
    for entry in entries:
        if entry.key == HEAD_KEY:
            return Head(decode_change(entry.content), entry.mod_revision)
    return Head(None, 0)


async def fetch_head(bus: MessageBus) -> Result[Head, StoreFailure]:
    """Fetch the newest change."""
    outcome: EntriesResult = await bus.ask(StoreGet(HEAD_KEY))
    return outcome.map(decode_head)


async def fetch_snapshot(bus: MessageBus) -> Result[TargetSet, StoreFailure]:
    """Fetch a consistent snapshot of all targets."""
    outcome: EntriesResult = await bus.ask(
        StoreGet(TARGETS_PREFIX, prefix=True)
    )
    return outcome.map(read_snapshot)


def read_snapshot(entries: tuple[StoreEntry, ...]) -> TargetSet:
    """Decode all targets from the entries below their prefix."""
    services = [
        decode_service(entry.content)
        for entry in entries
        if entry.key.startswith(SERVICES_PREFIX)
    ]
    return TargetSet(
        decode_head(entries).revision,
        {service.service: service for service in services},
    )


async def fetch_changes(
    bus: MessageBus,
    after_revision: int,
    limit: int,
) -> Result[tuple[Change, ...], StoreFailure]:
    """Fetch changes after a revision, oldest first."""
    after = change_key(after_revision) if after_revision > 0 else ''
    outcome: EntriesResult = await bus.ask(
        StoreGet(CHANGES_PREFIX, prefix=True, after=after, limit=limit),
    )
    return outcome.map(read_changes)


def read_changes(entries: tuple[StoreEntry, ...]) -> tuple[Change, ...]:
    """Decode changes from their entries."""
    return tuple(decode_change(entry.content) for entry in entries)


async def fetch_service(
    bus: MessageBus,
    key: str,
) -> Result[tuple[ServiceTargets | None, int], StoreFailure]:
    """Fetch one service's targets and their mod_revision."""
    outcome: EntriesResult = await bus.ask(StoreGet(key))
    return outcome.map(read_stored_service)


def read_stored_service(
    entries: tuple[StoreEntry, ...],
) -> tuple[ServiceTargets | None, int]:
    """Decode one service from the entries of its key."""
    if not entries:
        return None, 0
    entry = entries[0]
    return decode_service(entry.content), entry.mod_revision


def first_failure(
    *outcomes: Result[object, StoreFailure],
) -> StoreFailure | None:
    """Return the first failure among results of the store."""
    failures = [
        outcome.failure()
        for outcome in outcomes
        if not isinstance(outcome, Success)
    ]
    return failures[0] if failures else None
