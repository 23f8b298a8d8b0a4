"""Decision on an operator's submitted change of targets."""

from typing import NamedTuple

from bergamotshunt.messages import (
    SubmitChange,
)
from bergamotshunt.operators.targets import Change, ServiceTargets
from bergamotshunt.operators.targets_messages import (
    SubmitFailure,
    SubmitFailureKind,
)


class SubmissionView(NamedTuple):
    """State of the platform that a submission is checked against.

    Attributes:
        head_revision: Newest revision; 0 for none.
        service: Targets of the service, or None.
        earlier_change: Change with the same submission id, or None.
        last_change: Newest change of the service, or None when its record
            was not found or is not needed.
    """

    head_revision: int
    service: ServiceTargets | None
    earlier_change: Change | None = None
    last_change: Change | None = None


class Repeated(NamedTuple):
    """The submission was already accepted, as this change."""

    change: Change


class Proposed(NamedTuple):
    """The submission is valid; this change has to be committed."""

    change: Change


SubmissionDecision = Proposed | Repeated | SubmitFailure


def decide_submission(
    message: SubmitChange,
    view: SubmissionView,
    accepted_at: float,
) -> SubmissionDecision:
    """Decide whether a submission is valid, a repeat or a failure.

    Args:
        message: The submission.
        view: State of the platform, all from the same moment or older than
            the head revision that the commit compares.
        accepted_at: Wall clock, seconds since the epoch.
    """
    if view.earlier_change is not None:
        return resolve_repeat(message, view.earlier_change)
    revision = 0 if view.service is None else view.service.revision
    if message.expected_revision != revision:
        return describe_conflict(message, view)
    if message.after is None and view.service is None:
        return SubmitFailure(
            SubmitFailureKind.ABSENT,
            f'{message.service} has no targets to remove',
        )
    next_revision = view.head_revision + 1
    after = message.after
    if after is not None:
        after = after._replace(revision=next_revision)
    change = Change(
        revision=next_revision,
        service=message.service,
        before=view.service,
        after=after,
        operator=message.operator,
        reason=message.reason,
        submission_id=message.submission_id,
        accepted_at=accepted_at,
    )
    return Proposed(change)


def resolve_repeat(
    message: SubmitChange, earlier_change: Change
) -> SubmissionDecision:
    """Distinguish a repeat from another change with the same submission id."""
    if earlier_change.service == message.service and (
        without_revision(earlier_change.after)
        == without_revision(message.after)
    ):
        return Repeated(earlier_change)
    return SubmitFailure(
        SubmitFailureKind.REUSED,
        f'submission id {message.submission_id!r} was used for another '
        f'change, revision {earlier_change.revision} of '
        f'{earlier_change.service}; submit this change under a new id',
    )


def without_revision(service: ServiceTargets | None) -> ServiceTargets | None:
    """Return the targets as an operator submitted them, at revision 0."""
    return None if service is None else service._replace(revision=0)


def describe_conflict(
    message: SubmitChange,
    view: SubmissionView,
) -> SubmitFailure:
    """Return a failure that names the current revision.

    It also names the operator of that revision and the reason, if the
    record of the change was found.
    """
    last_change = view.last_change
    detail = f'{message.service} is not at revision {message.expected_revision}'
    if last_change is None:
        current_revision = 0 if view.service is None else view.service.revision
        detail = f'{detail} but at {current_revision}'
    else:
        verb = 'removed' if last_change.after is None else 'changed'
        detail = (
            f'{detail}: {last_change.operator} {verb} it in revision '
            f'{last_change.revision} '
            f'({last_change.reason or "no reason given"})'
        )
    return SubmitFailure(
        SubmitFailureKind.CONFLICT, detail, view.service, last_change
    )
