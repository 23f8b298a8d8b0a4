"""Operators' targets and the log of their changes."""

from typing import NamedTuple, TypedDict


class Target(NamedTuple):
    """What operators want for one class of work.

    Attributes:
        name: Name within its service.
        methods: HTTP methods of the class.
        path_prefix: Prefix of the path below the service.
        idempotent: Whether a call may run more than once.
        answered_within_ms: Wanted time to the whole response.
        share: Wanted share of calls answered in that time, 0 to 1.
        weight: Weight in the count of responses in time.
        internal: Whether the class is internal and not counted.
    """

    name: str
    methods: tuple[str, ...] = ('GET',)
    path_prefix: str = '/'
    idempotent: bool = False
    answered_within_ms: int = 1000
    share: float = 0.99
    weight: float = 1.0
    internal: bool = False


class ServiceTargets(NamedTuple):
    """All targets of one service.

    Attributes:
        service: Name of the service.
        targets: Its classes of work.
        measuring_share: Share of capacity that measuring may cost.
        revision: Revision of the change that set them last.
    """

    service: str
    targets: tuple[Target, ...] = ()
    measuring_share: float = 0.005
    revision: int = 0


class TargetSet(NamedTuple):
    """Targets of all services at one revision; revision 0 is empty."""

    revision: int
    by_service: dict[str, ServiceTargets]


class Change(NamedTuple):
    """One accepted change; also the record of the audit trail.

    Attributes:
        revision: Its place in the log, from 1.
        service: Service whose targets changed.
        before: Targets before, or None for a new service.
        after: Targets after, or None when they were removed.
        operator: Name of the operator.
        reason: Why, in the operator's words.
        submission_id: Identity of the submission, for repeats.
        accepted_at: Wall clock, seconds since the epoch.
    """

    revision: int
    service: str
    before: ServiceTargets | None
    after: ServiceTargets | None
    operator: str
    reason: str
    submission_id: str
    accepted_at: float


class TargetDocument(TypedDict, total=False):
    """A target as JSON: administration API, platform, peers."""

    name: str
    methods: list[str]
    path_prefix: str
    idempotent: bool
    answered_within_ms: int
    share: float
    weight: float
    internal: bool


class ServiceDocument(TypedDict, total=False):
    """Targets of a service as JSON: administration API, platform, peers."""

    service: str
    measuring_share: float
    targets: list[TargetDocument]
    revision: int


class ChangeDocument(TypedDict):
    """An accepted change as JSON: audit record, platform, peers."""

    revision: int
    service: str
    before: ServiceDocument | None
    after: ServiceDocument | None
    operator: str
    reason: str
    submission_id: str
    accepted_at: float
