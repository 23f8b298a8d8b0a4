"""Messages between the tasks that keep the targets."""

from enum import StrEnum
from typing import NamedTuple

from bergamotshunt.operators.targets import Change, ServiceTargets, TargetSet


class SubmitFailureKind(StrEnum):
    """Why a change of targets was not accepted."""

    CONFLICT = 'conflict'
    ABSENT = 'unknown-service'
    REUSED = 'submission-id-reused'
    UNAVAILABLE = 'platform-unavailable'
    UNKNOWN = 'outcome-unknown'


class SubmitFailure(NamedTuple):
    """A submission that was not accepted, or whose outcome is unknown.

    Attributes:
        kind: Why; only ``UNKNOWN`` may have been accepted.
        detail: One sentence for the operator.
        current: Targets of the service now, or None.
        winner: With a conflict, the change that came first, if its
            record is still kept.
    """

    kind: SubmitFailureKind
    detail: str
    current: ServiceTargets | None = None
    winner: Change | None = None


class ListChanges(NamedTuple):
    """Question to the keeper: changes after a revision, oldest first.

    The reply is a ``ChangeList``. A negative revision asks for the
    newest changes.
    """

    after_revision: int
    limit: int = 100


class ChangeList(NamedTuple):
    """Some changes from the audit trail.

    Attributes:
        changes: Oldest first.
        revision: Newest revision known here.
        complete: False when the platform is unreachable and only the
            changes that this daemon remembers are listed.
    """

    changes: tuple[Change, ...]
    revision: int
    complete: bool


class PullTargets(NamedTuple):
    """Question to the keeper: what a peer at this revision is missing.

    The reply is a ``PulledTargets``; revision -1 asks for everything.
    """

    after_revision: int


class PulledTargets(NamedTuple):
    """What a peer needs to reach this daemon's revision.

    Attributes:
        loaded: Whether this daemon knows the targets at all.
        revision: Revision in force here.
        age_ms: Time since that revision was known to be the newest.
        changes: Missing changes in order, when ``snapshot`` is None.
        snapshot: All targets, when the changes are no longer held.
    """

    loaded: bool
    revision: int
    age_ms: int
    changes: tuple[Change, ...] = ()
    snapshot: tuple[ServiceTargets, ...] | None = None


class ReaderElected(NamedTuple):
    """Whether this daemon reads the targets from the platform."""

    is_reader: bool


class InitialTargetsFetched(NamedTuple):
    """The targets that come into force after a start.

    Attributes:
        target_set: The targets.
        asked_ms: When the sources were asked, monotonic.
        confirmed_ms: When the targets were known to be the newest.
        reached_platform: Whether the platform answered.
        reached_peer: Whether any peer answered.
    """

    target_set: TargetSet
    requested_ms: float
    confirmed_ms: float
    reached_platform: bool
    reached_peer: bool


class PushChange(NamedTuple):
    """Request to the exchange task: push a change to random peers."""

    change: Change


class MissingChangesDetected(NamedTuple):
    """Request to the exchange task: fetch what is missing here.

    Attributes:
        revision: Newest revision that was heard of.
        daemon_id: Member that has it; empty for the platform.
    """

    revision: int
    daemon_id: str


class TargetsFetched(NamedTuple):
    """Question to the keeper: take what was missing here.

    The reply is the revision that is in force then.

    Attributes:
        pulled: Changes or a snapshot.
        daemon_id: Member that answered; empty for the platform.
        asked_ms: When it was asked, monotonic.
    """

    pulled: PulledTargets
    daemon_id: str
    requested_ms: float
