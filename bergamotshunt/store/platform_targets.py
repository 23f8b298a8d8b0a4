"""Reads targets from the platform's store, through the store task."""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

from returns.result import Failure, Result, Success

from bergamotshunt.decoding import MalformedInputError
from bergamotshunt.kernel import MessageBus
from bergamotshunt.log import log_event
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

Decoded = TypeVar('Decoded')
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


def try_decode(
    decode: Callable[[StoreEntry], Decoded], entry: StoreEntry
) -> Decoded | None:
    """Decode an entry; log it and return None when it is malformed."""
    try:
        return decode(entry)
    except MalformedInputError as error:
        log_event(
            'targets:malformed',
            level='error',
            key=entry.key,
            detail=str(error),
        )
        return None


def decode_entries(
    entries: tuple[StoreEntry, ...],
    decode: Callable[[StoreEntry], Decoded],
) -> tuple[Decoded, ...]:
    """Decode entries; those that are malformed are logged and left out."""
    decoded = (try_decode(decode, entry) for entry in entries)
    return tuple(found for found in decoded if found is not None)


def change_of_entry(entry: StoreEntry) -> Change:
    """Decode the change in an entry; raises as ``decode_change``."""
    return decode_change(entry.content)


def service_of_entry(entry: StoreEntry) -> ServiceTargets:
    """Decode the targets in an entry; raises as ``decode_service``."""
    return decode_service(entry.content)


def create_malformed_failure(key: str) -> StoreFailure:
    """Create the failure of a read whose entry is malformed."""
    return StoreFailure(
        may_have_run=False,
        detail=f'the entry {key!r} is malformed; see the log',
    )


def decode_head(
    entries: tuple[StoreEntry, ...],
) -> Result[Head, StoreFailure]:
    """Decode the head from entries; it fails when the head is malformed."""
    for entry in entries:
        if entry.key == HEAD_KEY:
            change = try_decode(change_of_entry, entry)
            if change is None:
                return Failure(create_malformed_failure(HEAD_KEY))
            return Success(Head(change, entry.mod_revision))
    return Success(Head(None, 0))


async def fetch_head(bus: MessageBus) -> Result[Head, StoreFailure]:
    """Fetch the newest change."""
    outcome: EntriesResult = await bus.ask(StoreGet(HEAD_KEY))
    return outcome.bind(decode_head)


async def fetch_snapshot(bus: MessageBus) -> Result[TargetSet, StoreFailure]:
    """Fetch a consistent snapshot of all targets."""
    outcome: EntriesResult = await bus.ask(
        StoreGet(TARGETS_PREFIX, prefix=True)
    )
    return outcome.bind(read_snapshot)


def read_snapshot(
    entries: tuple[StoreEntry, ...],
) -> Result[TargetSet, StoreFailure]:
    """Decode all targets from the entries below their prefix.

    Services whose entry is malformed are left out.
    """
    services = decode_entries(
        tuple(
            entry for entry in entries if entry.key.startswith(SERVICES_PREFIX)
        ),
        service_of_entry,
    )
    return decode_head(entries).map(
        lambda head: TargetSet(
            head.revision,
            {service.service: service for service in services},
        )
    )


async def fetch_changes(
    bus: MessageBus,
    after_revision: int,
    limit: int,
) -> Result[tuple[Change, ...], StoreFailure]:
    """Fetch changes after a revision, oldest first.

    Malformed ones are left out.
    """
    after = change_key(after_revision) if after_revision > 0 else ''
    outcome: EntriesResult = await bus.ask(
        StoreGet(CHANGES_PREFIX, prefix=True, after=after, limit=limit),
    )
    return outcome.map(read_changes)


def read_changes(entries: tuple[StoreEntry, ...]) -> tuple[Change, ...]:
    """Decode changes from their entries."""
    return decode_entries(entries, change_of_entry)


def read_first_change(
    entries: tuple[StoreEntry, ...],
) -> Result[Change | None, StoreFailure]:
    """Decode the change from the entries of its key."""
    if not entries:
        return Success(None)
    change = try_decode(change_of_entry, entries[0])
    if change is None:
        return Failure(create_malformed_failure(entries[0].key))
    return Success(change)


async def fetch_service(
    bus: MessageBus,
    key: str,
) -> Result[tuple[ServiceTargets | None, int], StoreFailure]:
    """Fetch one service's targets and their mod_revision."""
    outcome: EntriesResult = await bus.ask(StoreGet(key))
    return outcome.bind(read_stored_service)


def read_stored_service(
    entries: tuple[StoreEntry, ...],
) -> Result[tuple[ServiceTargets | None, int], StoreFailure]:
    """Decode one service from the entries of its key."""
    if not entries:
        return Success((None, 0))
    entry = entries[0]
    service = try_decode(service_of_entry, entry)
    if service is None:
        return Failure(create_malformed_failure(entry.key))
    return Success((service, entry.mod_revision))


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
