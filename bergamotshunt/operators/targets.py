"""Service targets that operators set, and records of their changes."""

from typing import NamedTuple, TypedDict


class Target(NamedTuple):
    """Service level objective for one class of requests of a service.

    Attributes:
        name: Name, unique within its service.
        methods: HTTP methods of the class.
        path_prefix: Path prefix of the class, relative to the service.
        idempotent: Whether a request may be executed more than once.
        answered_within_ms: Latency objective: time until the response has
            arrived whole.
        share: Share of requests that should meet the latency objective,
            0 to 1.
        weight: Weight of the class in the count of timely responses.
        internal: Whether the class is internal, and therefore not counted.
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
        targets: One target for each class of requests.
        measuring_share: Share of capacity that measurements may use, 0 to 1.
        revision: Revision of the newest change of these targets.
    """

    service: str
    targets: tuple[Target, ...] = ()
    measuring_share: float = 0.005
    revision: int = 0


class TargetSet(NamedTuple):
    """Targets of all services at one revision.

    Attributes:
        revision: Revision of the newest change; 0 before any change.
        by_service: Targets by name of the service.
    """

    revision: int
    by_service: dict[str, ServiceTargets]


class Change(NamedTuple):
    """An accepted change of a service's targets, as the audit trail holds it.

    Attributes:
        revision: Position in the log of all changes, from 1.
        service: Service whose targets changed.
        before: Targets before, or None for a new service.
        after: Targets after, or None when they were removed.
        operator: Name of the operator.
        reason: Reason that the operator gave.
        submission_id: Idempotency key, by which repeats are recognised.
        accepted_at: Time of acceptance, seconds since the epoch.
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
    """JSON form of a target: administration API, platform and peers."""

    name: str
    methods: list[str]
    path_prefix: str
    idempotent: bool
    answered_within_ms: int
    share: float
    weight: float
    internal: bool


class ServiceDocument(TypedDict, total=False):
    """JSON form of a service's targets: admin API, platform and peers."""

    service: str
    measuring_share: float
    targets: list[TargetDocument]
    revision: int


class ChangeDocument(TypedDict):
    """JSON form of an accepted change: audit trail, platform and peers."""

    revision: int
    service: str
    before: ServiceDocument | None
    after: ServiceDocument | None
    operator: str
    reason: str
    submission_id: str
    accepted_at: float
