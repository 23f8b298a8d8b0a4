"""Measured deployments: services, servers, zones and targets."""

from typing import Final, NamedTuple

from bergamotshunt.operators.targets import ServiceTargets, Target
from standins.call_kinds import CALL_KINDS, CallKind


class Shape(NamedTuple):
    """Size and load of a deployment.

    Attributes:
        name: Name of the deployment.
        servers_by_service: Number of backend servers of each service.
        zones: Availability zones, between which servers alternate.
        main_service: Service whose servers the scenarios disturb.
        surge_kind: Kind of call whose demand surges.
        calls_per_s: Calls per second without a surge.
    """

    name: str
    servers_by_service: dict[str, int]
    zones: tuple[str, ...]
    main_service: str
    surge_kind: str
    calls_per_s: float

    def kinds(self) -> tuple[CallKind, ...]:
        """Return the kinds of call of this deployment."""
        return tuple(
            kind
            for kind in CALL_KINDS
            if kind.service in self.servers_by_service
        )

    def targets(self) -> tuple[ServiceTargets, ...]:
        """Return the operators' targets for all services."""
        return tuple(
            ServiceTargets(
                service,
                tuple(
                    create_target(kind)
                    for kind in self.kinds()
                    if kind.service == service
                ),
            )
            for service in self.servers_by_service
        )


def create_target(kind: CallKind) -> Target:
    """Create the target that covers a kind of call."""
    return Target(
        kind.name,
        (kind.method,),
        kind.path_prefix,
        idempotent=kind.method == 'GET',
        answered_within_ms=kind.answered_within_ms,
        weight=kind.weight,
        internal=kind.internal,
    )


TINAJAS: Final = Shape(
    'tinajas',
    {'jar-ledger': 6, 'catalog': 3},
    ('lima-a', 'lima-b', 'lima-c'),
    'jar-ledger',
    'pack',
    300,
)
ASSINIBOINE: Final = Shape(
    'assiniboine',
    {'returns-desk': 7, 'assay-vault': 3},
    ('annex-a', 'annex-b', 'annex-c'),
    'returns-desk',
    'certificate',
    300,
)
# Small deployment for tests; a call can still go to another server.
SMALL: Final = Shape(
    'small',
    {'jar-ledger': 3},
    ('lima-a', 'lima-b', 'lima-c'),
    'jar-ledger',
    'balance',
    100,
)
SHAPES_BY_NAME: Final = {
    shape.name: shape for shape in (TINAJAS, ASSINIBOINE, SMALL)
}
