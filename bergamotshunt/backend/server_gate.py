"""Gate of the guard: whether new work is accepted, and why not."""

from collections.abc import Callable
from http import HTTPStatus
from math import inf
from typing import Final

from bergamotshunt.decisions.confirmation import STALE_TARGETS_DETAIL
from bergamotshunt.decisions.server_health import (
    Evidence,
    HealthState,
    apply_evidence,
)
from bergamotshunt.peers.members import ServerState
from bergamotshunt.verdicts import CallFailure, create_refusal

RETRY_AFTER_MS: Final = 1000
# A timeout says something about the server only when the server had time.
MIN_TIMEOUT_MS: Final = 500.0
EVIDENCE_BY_REASON: Final = {
    'unreachable': Evidence.CONNECTION_REFUSED,
    'connection-lost': Evidence.CONNECTION_LOST,
    'timeout': Evidence.TIMED_OUT,
    'server-refused': Evidence.REFUSED,
}


class ServerGate:
    """State of the backend server and of this daemon.

    Part of the guard task; not shared with other tasks.

    Args:
        publish_state: Called with each new state of the server.
    """

    def __init__(self, publish_state: Callable[[ServerState], None]) -> None:
        """Create the gate of a server that has not shown itself yet."""
        self.publish_state = publish_state
        self.health = HealthState()
        self.draining = False
        self.has_targets = False
        self.unconfirmed = ''
        self.serve_until_ms = inf

    @property
    def server_state(self) -> ServerState:
        """Return the state that other daemons are told."""
        if self.draining:
            return ServerState.DRAINING
        return self.health.server_state

    def refusal(self, now_ms: float) -> CallFailure | None:
        """Tell why new work is refused; None when it is accepted."""
        if self.draining:
            return refuse('draining', 'the server is leaving')
        if not self.has_targets:
            return refuse('no-targets', 'no targets of this service are known')
        stale = STALE_TARGETS_DETAIL if now_ms > self.serve_until_ms else ''
        if self.unconfirmed or stale:
            return refuse('unconfirmed', self.unconfirmed or stale)
        if self.health.server_state is ServerState.DOWN:
            return refuse('server-down', 'the backend server is down')
        return None

    def drain(self) -> None:
        """Refuse new work from now on."""
        self.draining = True
        self.publish_state(self.server_state)

    def note(self, evidence: Evidence, now_ms: float) -> None:
        """Take evidence into account and publish a changed state."""
        before = self.server_state
        self.health = apply_evidence(self.health, evidence, now_ms)
        if self.server_state is not before:
            self.publish_state(self.server_state)

    def note_failure(
        self,
        failure: CallFailure,
        spent_ms: float,
        now_ms: float,
    ) -> None:
        """Take a failed request into account."""
        evidence = EVIDENCE_BY_REASON.get(failure.reason)
        is_short = spent_ms < MIN_TIMEOUT_MS
        if evidence is None or (evidence is Evidence.TIMED_OUT and is_short):
            return
        self.note(evidence, now_ms)


def refuse(reason: str, detail: str) -> CallFailure:
    """Build a refusal after which the sender should go elsewhere."""
    return create_refusal(
        reason,
        detail,
        HTTPStatus.SERVICE_UNAVAILABLE,
        RETRY_AFTER_MS,
    )
