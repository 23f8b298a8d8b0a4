"""Messages between the tasks that replicate the targets."""

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
        kind: Why; with ``UNKNOWN`` the change may have been accepted.
        detail: One sentence for the operator.
        current: Current targets of the service, or None.
        conflicting_change: On a conflict, the change that was accepted first,
            if its record is still stored.
    """

    kind: SubmitFailureKind
    detail: str
    current: ServiceTargets | None = None
    conflicting_change: Change | None = None


class ListChanges(NamedTuple):
    """Request for the changes after a revision, oldest first.

    The reply is a ``ChangeList``.

    Attributes:
        after_revision: Revision before the first change; negative for the
            newest changes.
        limit: Maximum number of changes.
    """

    after_revision: int
    limit: int = 100


class ChangeList(NamedTuple):
    """Page of changes from the audit trail.

    Attributes:
        changes: Oldest first.
        revision: Newest revision that this daemon knows.
        complete: False when the platform is unreachable and the list holds
            only the changes that this daemon has in memory.
    """

    changes: tuple[Change, ...]
    revision: int
    complete: bool


class PullTargets(NamedTuple):
    """Request for what a peer is missing; the reply is ``PulledTargets``.

    Attributes:
        after_revision: Revision of the peer; -1 requests all targets.
    """

    after_revision: int


class PulledTargets(NamedTuple):
    """Changes or a snapshot that bring a peer to the sender's revision.

    Attributes:
        loaded: Whether the sender has loaded the targets.
        revision: Revision in force at the sender.
        age_ms: Time since that revision was confirmed as the newest.
        changes: Missing changes in order, when ``snapshot`` is None.
        snapshot: All targets, when the sender no longer has the changes.
    """

    loaded: bool
    revision: int
    age_ms: int
    changes: tuple[Change, ...] = ()
    snapshot: tuple[ServiceTargets, ...] | None = None


class ReaderElected(NamedTuple):
    """Result of the election of this daemon as a reader.

    Attributes:
        is_reader: Whether this daemon reads the targets from the platform.
    """

    is_reader: bool


class InitialTargetsFetched(NamedTuple):
    """The targets that a daemon fetched after its start.

    Attributes:
        target_set: Targets of all services.
        requested_ms: When the requests were sent, monotonic.
        confirmed_ms: When the targets were last confirmed as the newest,
            monotonic.
        reached_platform: Whether the platform reported this revision as its
            newest.
        reached_peer: Whether any peer had the targets.
    """

    target_set: TargetSet
    requested_ms: float
    confirmed_ms: float
    reached_platform: bool
    reached_peer: bool


class PushChange(NamedTuple):
    """Request to the targets sync task: push a change to random peers."""

    change: Change


class MissingChangesDetected(NamedTuple):
    """Request to the targets sync task: fetch missing changes.

    Attributes:
        revision: Newest revision that is known to exist.
        daemon_id: Member that has it; empty for the platform.
    """

    revision: int
    daemon_id: str


class TargetsFetched(NamedTuple):
    """Request to apply fetched changes or a fetched snapshot.

    The reply is the revision in force afterwards.

    Attributes:
        pulled: Changes or a snapshot.
        daemon_id: Member that sent them; empty for the platform.
        requested_ms: When the request was sent, monotonic.
    """

    pulled: PulledTargets
    daemon_id: str
    requested_ms: float
