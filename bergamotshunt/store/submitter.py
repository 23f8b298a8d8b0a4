"""Commits each submitted change to the platform's store exactly once."""

from asyncio import gather, sleep
from random import Random
from time import time
from typing import Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.decisions.submissions import (
    Proposed,
    Repeated,
    SubmissionView,
    decide_submission,
)
from bergamotshunt.kernel import MessageBus
from bergamotshunt.messages import (
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreFailure,
    StoreGet,
    StorePut,
    SubmitChange,
)
from bergamotshunt.operators.targets import Change, ServiceTargets
from bergamotshunt.operators.targets_codec import (
    HEAD_KEY,
    change_key,
    encode_change,
    encode_service,
    service_key,
    submission_key,
)
from bergamotshunt.operators.targets_messages import (
    SubmitFailure,
    SubmitFailureKind,
)
from bergamotshunt.store.platform_targets import (
    EntriesResult,
    Head,
    create_malformed_failure,
    fetch_changes,
    fetch_head,
    fetch_service,
    first_failure,
    read_first_change,
)

# Changes of other services may advance the head between read and commit.
MAX_ATTEMPTS: Final = 8
MIN_BACKOFF_S: Final = 0.02
MAX_BACKOFF_S: Final = 0.4
MAX_REVISION_DIGITS: Final = 16
# Change records to search for the one that removed a service.
MAX_SEARCHED_CHANGES: Final = 1000

ExpectedRevisions = tuple[tuple[str, int], ...]


class DecisionInput(NamedTuple):
    """Input of the decision, with the revisions for the commit to compare."""

    view: SubmissionView
    expected: ExpectedRevisions


class AttemptResult(NamedTuple):
    """Result of one attempt to commit a change.

    Attributes:
        outcome: Final result, or None when another attempt is needed.
        failure: Failure of the store, if that was the reason.
    """

    outcome: Result[Change, SubmitFailure] | None
    failure: StoreFailure | None = None


class Submitter:
    """Commits changes with compare-and-swap.

    Args:
        bus: Message bus of the daemon.
        audit_records: Number of change records to keep.
        rng: Random source for the backoff.
    """

    def __init__(
        self, bus: MessageBus, audit_records: int, rng: Random
    ) -> None:
        """Create the submitter."""
        self._bus = bus
        self._audit_records = audit_records
        self._rng = rng

    async def submit(
        self,
        message: SubmitChange,
    ) -> Result[Change, SubmitFailure]:
        """Commit a change, or find the outcome of an earlier attempt.

        A write whose response was lost is safe to retry: the commit
        compares the head, the service and the submission, so that at most
        one attempt takes effect.
        """
        failures: list[StoreFailure] = []
        for number in range(MAX_ATTEMPTS):
            if number:
                await self._back_off(number)
            attempt = await self._attempt(message)
            if attempt.outcome is not None:
                return attempt.outcome
            if attempt.failure is not None:
                failures.append(attempt.failure)
        return Failure(describe_failures(failures))

    async def _back_off(self, number: int) -> None:
        max_s = min(MIN_BACKOFF_S * 2**number, MAX_BACKOFF_S)
        await sleep(self._rng.uniform(0, max_s))

    async def _attempt(self, message: SubmitChange) -> AttemptResult:
        read = await self._read(message)
        if not isinstance(read, Success):
            return AttemptResult(None, read.failure())
        view, expected = read.unwrap()
        decision = decide_submission(message, view, time())
        if isinstance(decision, SubmitFailure):
            return AttemptResult(Failure(decision))
        if isinstance(decision, Repeated):
            return AttemptResult(Success(decision.change))
        return await self._commit(decision, expected)

    async def _commit(
        self, proposed: Proposed, expected: ExpectedRevisions
    ) -> AttemptResult:
        change = proposed.change
        found: Result[tuple[str, ...], StoreFailure]
        found = await self._find_surplus(change.revision)
        if not isinstance(found, Success):
            return AttemptResult(None, found.failure())
        commit = build_commit(change, expected, found.unwrap())
        outcome: Result[StoreCommitted, StoreFailure]
        outcome = await self._bus.ask(commit)
        match outcome:
            case Success(committed) if committed.succeeded:
                return AttemptResult(Success(change))
            case Failure(failure):
                return AttemptResult(None, failure)
        return AttemptResult(None)

    async def _read(
        self,
        message: SubmitChange,
    ) -> Result[DecisionInput, StoreFailure]:
        key = submission_key(message.operator, message.submission_id)
        stored_key = service_key(message.service)
        head: Result[Head, StoreFailure]
        stored: Result[tuple[ServiceTargets | None, int], StoreFailure]
        submission: EntriesResult
        head, stored, submission = await gather(
            fetch_head(self._bus),
            fetch_service(self._bus, stored_key),
            self._bus.ask(StoreGet(key)),
        )
        failure = first_failure(head, stored, submission)
        if failure is not None:
            return Failure(failure)
        service, mod_revision = stored.unwrap()
        view = SubmissionView(head.unwrap().revision, service)
        expected = (
            (HEAD_KEY, head.unwrap().mod_revision),
            (stored_key, mod_revision),
            (key, 0),
        )
        completed = await self._add_relevant_change(
            message, view, submission.unwrap()
        )
        return completed.map(
            lambda completed_view: DecisionInput(completed_view, expected)
        )

    async def _add_relevant_change(
        self,
        message: SubmitChange,
        view: SubmissionView,
        submission: tuple[StoreEntry, ...],
    ) -> Result[SubmissionView, StoreFailure]:
        if submission:
            revision = parse_revision(submission[0].content)
            if revision is None:
                return Failure(create_malformed_failure(submission[0].key))
            earlier_change = await self._fetch_change(revision)
            return earlier_change.map(
                lambda change: view._replace(earlier_change=change)
            )
        if revision_of(view.service) == message.expected_revision:
            return Success(view)
        last_change = await self._fetch_last_change(message, view)
        return last_change.map(lambda change: view._replace(last_change=change))

    async def _fetch_change(
        self,
        revision: int,
    ) -> Result[Change | None, StoreFailure]:
        outcome: EntriesResult = await self._bus.ask(
            StoreGet(change_key(revision))
        )
        return outcome.bind(read_first_change)

    async def _fetch_last_change(
        self,
        message: SubmitChange,
        view: SubmissionView,
    ) -> Result[Change | None, StoreFailure]:
        if view.service is not None:
            return await self._fetch_change(view.service.revision)
        outcome = await fetch_changes(
            self._bus, message.expected_revision, MAX_SEARCHED_CHANGES
        )
        return outcome.map(
            lambda changes: find_last(changes, message.service),
        )

    async def _find_surplus(
        self,
        next_revision: int,
    ) -> Result[tuple[str, ...], StoreFailure]:
        newest_surplus = next_revision - self._audit_records
        if newest_surplus <= 0:
            return Success(())
        # Two per commit, so that the number of records shrinks to a limit
        # that was lowered.
        outcome = await fetch_changes(self._bus, 0, 2)
        return outcome.map(
            lambda changes: list_surplus_keys(changes, newest_surplus),
        )


def revision_of(service: ServiceTargets | None) -> int:
    """Return the revision of a service's targets; 0 for none."""
    return 0 if service is None else service.revision


def parse_revision(content: bytes) -> int | None:
    """Parse the revision that a submission created; None if malformed."""
    is_valid = content.isdigit() and len(content) <= MAX_REVISION_DIGITS
    return int(content) if is_valid else None


def find_last(changes: tuple[Change, ...], service: str) -> Change | None:
    """Return the newest change of a service."""
    matching = [change for change in changes if change.service == service]
    return matching[-1] if matching else None


def list_surplus_keys(
    changes: tuple[Change, ...],
    newest_surplus: int,
) -> tuple[str, ...]:
    """List the keys of change records above the number to keep."""
    keys: list[str] = []
    for change in changes:
        if change.revision <= newest_surplus:
            keys.append(change_key(change.revision))
            keys.append(submission_key(change.operator, change.submission_id))
    return tuple(keys)


def build_commit(
    change: Change,
    expected: ExpectedRevisions,
    surplus_keys: tuple[str, ...],
) -> StoreCommit:
    """Build the transaction that writes a change and its audit record."""
    content = encode_change(change)
    puts = [
        StorePut(HEAD_KEY, content),
        StorePut(change_key(change.revision), content),
        StorePut(
            submission_key(change.operator, change.submission_id),
            str(change.revision).encode(),
        ),
    ]
    deletes = surplus_keys
    if change.after is None:
        deletes = (*deletes, service_key(change.service))
    else:
        stored = encode_service(change.after)
        puts.append(StorePut(service_key(change.service), stored))
    return StoreCommit(expected, tuple(puts), deletes)


def describe_failures(failures: list[StoreFailure]) -> SubmitFailure:
    """Create a failure; state whether the change may have been accepted."""
    if any(failure.may_have_run for failure in failures):
        return SubmitFailure(
            SubmitFailureKind.UNKNOWN,
            'the change may or may not have been accepted; submit it again '
            f'with the same id to find out ({failures[-1].detail})',
        )
    reason = (
        failures[-1].detail
        if failures
        else f'other changes were committed first in {MAX_ATTEMPTS} attempts'
    )
    return SubmitFailure(
        SubmitFailureKind.UNAVAILABLE,
        f'the change was not accepted: {reason}',
    )
