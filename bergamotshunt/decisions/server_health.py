"""Health of the backend server, from probes and from observed requests."""

from enum import StrEnum
from typing import Final, NamedTuple

from bergamotshunt.peers.members import ServerState

# Several probes are required so that one stray probe changes no state.
FAILED_PROBES_TO_DOWN: Final = 3
HEALTHY_PROBES_TO_SERVE: Final = 2
FAILURE_SCORE_TO_DOWN: Final = 12
# A draining server refuses all requests and reports that it is unhealthy;
# both together suffice to stop using it. A server that only sheds load
# reports that it is healthy and stays in use.
REFUSALS_TO_DRAIN: Final = 2
# Backoff: a server that reports to be healthy and fails again within
# STABLE_AFTER_MS stays down twice as long each time.
MIN_DOWN_MS: Final = 1000.0
MAX_DOWN_MS: Final = 30_000.0
STABLE_AFTER_MS: Final = 60_000.0


class Evidence(StrEnum):
    """Outcome of a probe or a request that affects the health."""

    PROBE_HEALTHY = 'probe-healthy'
    PROBE_UNHEALTHY = 'probe-unhealthy'
    PROBE_FAILED = 'probe-failed'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    TIMED_OUT = 'timed-out'
    CONNECTION_LOST = 'connection-lost'
    CONNECTION_REFUSED = 'connection-refused'


FAILURE_SCORES: Final = {
    Evidence.TIMED_OUT: 1,
    Evidence.CONNECTION_LOST: 2,
    Evidence.CONNECTION_REFUSED: 4,
}


class HealthState(NamedTuple):
    """Health of the backend server beside this daemon.

    Attributes:
        server_state: ``STARTING``, ``SERVING`` or ``DOWN``.
        failed_probes: Failed probes in a row.
        healthy_probes: Healthy probes in a row.
        failure_score: Sum over failed requests in a row.
        refusals: Requests in a row that the server itself refused.
        reported_unhealthy: Whether the last probe's response was unhealthy.
        down_until_ms: Monotonic time before which the server stays down.
        down_ms: Minimum length of the last time down.
    """

    server_state: ServerState = ServerState.STARTING
    failed_probes: int = 0
    healthy_probes: int = 0
    failure_score: int = 0
    refusals: int = 0
    reported_unhealthy: bool = False
    down_until_ms: float = 0
    down_ms: float = 0


def apply_evidence(
    health: HealthState,
    evidence: Evidence,
    now_ms: float,
) -> HealthState:
    """Return the health after one more outcome of a probe or a request.

    A successful request outweighs failed probes, and failed requests
    outweigh healthy probes: probes can be stale or misleading.
    """
    if evidence is Evidence.ANSWERED:
        return health._replace(
            failed_probes=0,
            failure_score=0,
            refusals=0,
            reported_unhealthy=False,
        )
    if evidence is Evidence.PROBE_HEALTHY:
        return record_healthy_probe(health, now_ms)
    if evidence is Evidence.REFUSED:
        # The server is alive, but that does not disprove failed probes.
        failing = health._replace(
            failure_score=0,
            refusals=health.refusals + 1,
        )
    elif evidence in {Evidence.PROBE_UNHEALTHY, Evidence.PROBE_FAILED}:
        # A probe without a response may just mean that the server is busy.
        failing = health._replace(
            failed_probes=health.failed_probes + 1,
            healthy_probes=0,
            reported_unhealthy=evidence is Evidence.PROBE_UNHEALTHY,
        )
    else:
        failure_score = health.failure_score + FAILURE_SCORES[evidence]
        failing = health._replace(failure_score=failure_score)
    return mark_down_if_failing(failing, now_ms)


def record_healthy_probe(health: HealthState, now_ms: float) -> HealthState:
    """Count a healthy probe; return to ``SERVING`` after enough of them."""
    healthy = health._replace(
        failed_probes=0,
        reported_unhealthy=False,
        healthy_probes=health.healthy_probes + 1,
    )
    if health.server_state is ServerState.SERVING:
        return healthy
    required_probes = HEALTHY_PROBES_TO_SERVE
    if health.server_state is ServerState.STARTING:
        required_probes = 1
    if (
        healthy.healthy_probes < required_probes
        or now_ms < health.down_until_ms
    ):
        return healthy
    return healthy._replace(
        server_state=ServerState.SERVING,
        failure_score=0,
        refusals=0,
    )


def mark_down_if_failing(health: HealthState, now_ms: float) -> HealthState:
    """Change ``SERVING`` to ``DOWN`` after enough failures."""
    is_failing = (
        health.failed_probes >= FAILED_PROBES_TO_DOWN
        or health.failure_score >= FAILURE_SCORE_TO_DOWN
        or (health.reported_unhealthy and health.refusals >= REFUSALS_TO_DRAIN)
    )
    if not is_failing or health.server_state is not ServerState.SERVING:
        return health
    down_ms = MIN_DOWN_MS
    if now_ms - health.down_until_ms < STABLE_AFTER_MS and health.down_ms:
        down_ms = min(MAX_DOWN_MS, health.down_ms * 2)
    return health._replace(
        server_state=ServerState.DOWN,
        healthy_probes=0,
        down_until_ms=now_ms + down_ms,
        down_ms=down_ms,
    )
