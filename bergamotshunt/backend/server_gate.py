"""Decides whether the guard accepts new requests, and why not."""

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
# A timeout after less time is due to a short deadline of the sender and is
# no evidence about the server.
MIN_TIMEOUT_MS: Final = 500.0
EVIDENCE_BY_REASON: Final = {
    'unreachable': Evidence.CONNECTION_REFUSED,
    'connection-lost': Evidence.CONNECTION_LOST,
    'timeout': Evidence.TIMED_OUT,
    'server-refused': Evidence.REFUSED,
}


class ServerGate:
    """State that decides whether new requests are accepted.

    Owned by the guard task; not shared with other tasks.

    Args:
        publish_state: Called with each new state of the server.

    Attributes:
        health: Health of the server, from the evidence so far.
        draining: Whether the server is being drained.
        has_targets: Whether targets of the local service are known.
        unconfirmed_detail: Why the targets are not confirmed; empty when
            they are.
        serve_until_ms: Monotonic time at which their confirmation expires,
            in milliseconds.
    """

    def __init__(self, publish_state: Callable[[ServerState], None]) -> None:
        """Create the gate of a server whose health is not known yet."""
        self.publish_state = publish_state
        self.health = HealthState()
        self.draining = False
        self.has_targets = False
        self.unconfirmed_detail = ''
        self.serve_until_ms = inf

    @property
    def server_state(self) -> ServerState:
        """Return the state that is published to other daemons."""
        if self.draining:
            return ServerState.DRAINING
        return self.health.server_state

    def refusal(self, now_ms: float) -> CallFailure | None:
        """Return why new requests are refused; None if accepted."""
        if self.draining:
            return create_gate_refusal(
                'draining', 'the backend server is draining'
            )
        if not self.has_targets:
            return create_gate_refusal(
                'no-targets', 'no targets of the local service are known'
            )
        stale = STALE_TARGETS_DETAIL if now_ms > self.serve_until_ms else ''
        if self.unconfirmed_detail or stale:
            return create_gate_refusal(
                'unconfirmed', self.unconfirmed_detail or stale
            )
        if self.health.server_state is ServerState.DOWN:
            return create_gate_refusal(
                'server-down', 'the backend server is down'
            )
        return None

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self.draining = True
        self.publish_state(self.server_state)

    def record_evidence(self, evidence: Evidence, now_ms: float) -> None:
        """Update the health of the server and publish a changed state."""
        before = self.server_state
        self.health = apply_evidence(self.health, evidence, now_ms)
        if self.server_state is not before:
            self.publish_state(self.server_state)

    def record_failure(
        self,
        failure: CallFailure,
        spent_ms: float,
        now_ms: float,
    ) -> None:
        """Update the health of the server with a failed request.

        Args:
            failure: The failure.
            spent_ms: Time that the server had, in milliseconds.
            now_ms: Monotonic time in milliseconds.
        """
        evidence = EVIDENCE_BY_REASON.get(failure.reason)
        is_short = spent_ms < MIN_TIMEOUT_MS
        if evidence is None or (evidence is Evidence.TIMED_OUT and is_short):
            return
        self.record_evidence(evidence, now_ms)


def create_gate_refusal(reason: str, detail: str) -> CallFailure:
    """Create a refusal after which the sender tries another server."""
    return create_refusal(
        reason,
        detail,
        HTTPStatus.SERVICE_UNAVAILABLE,
        RETRY_AFTER_MS,
    )
