"""Latencies of the servers of one service, relative to typical values."""

from math import inf
from typing import Final, NamedTuple

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.decisions.scoring import TypicalServer

# Weights of a new sample in the exponential moving averages.
SERVER_SMOOTHING: Final = 0.2
TYPICAL_SMOOTHING: Final = 0.05
# A failed attempt counts as this many times the typical latency, so that a
# server that fails fast does not look like the best one. The minimum applies
# where typical latencies are short.
PENALTY_FACTOR: Final = 10.0
MIN_PENALTY_MS: Final = 250.0


class AttemptEnd(NamedTuple):
    """How one attempt ended.

    Attributes:
        target: Target of the call.
        latency_ms: Time from the request to the response, in milliseconds.
        failed: Whether the server failed: no response, or status 5xx.
        refused: Whether its daemon refused; then ``failed`` is False.
        report: Load report that came with the response, or None.
    """

    target: str
    latency_ms: float
    failed: bool = False
    refused: bool = False
    report: LoadReport | None = None


class Latencies:
    """Typical latencies at one service, by target and over all servers."""

    def __init__(self) -> None:
        """Create the state without responses."""
        self.typical = TypicalServer()
        self.typical_ms_by_target: dict[str, float] = {}

    def is_slow(self, target: str, waited_ms: float) -> bool:
        """Return whether a wait exceeds the typical latency of a target."""
        return waited_ms > self.typical_ms_by_target.get(target, inf)

    def keep_targets(self, targets: frozenset[str]) -> None:
        """Drop the latencies of targets that no longer exist."""
        for target in tuple(self.typical_ms_by_target):
            if target not in targets:
                self.typical_ms_by_target.pop(target)

    def update_latency(
        self, end: AttemptEnd, before_ms: float, own_in_flight: int
    ) -> float:
        """Update the typical values with the end of an attempt.

        Args:
            end: The end of the attempt.
            before_ms: Smoothed latency of the server so far, in
                milliseconds; 0 when unknown.
            own_in_flight: Own requests still in flight at the server.

        Returns:
            The new smoothed latency of the server in milliseconds; 0 for no
            change, as after a refusal by a full server.
        """
        others = self._typical_others(end.report, own_in_flight)
        typical_ms = self.typical.latency_ms
        if end.failed or end.refused:
            self.typical = TypicalServer(typical_ms, others)
            if end.refused and is_full(end.report):
                return 0
            penalty_ms = typical_ms * PENALTY_FACTOR
            return max(before_ms, end.latency_ms, penalty_ms, MIN_PENALTY_MS)
        typical_target_ms = self.typical_ms_by_target.get(
            end.target, end.latency_ms
        )
        typical_target_ms += (
            end.latency_ms - typical_target_ms
        ) * TYPICAL_SMOOTHING
        self.typical_ms_by_target[end.target] = typical_target_ms
        typical_ms += (end.latency_ms - typical_ms) * TYPICAL_SMOOTHING
        self.typical = TypicalServer(typical_ms, others)
        # Targets differ in cost: a server must not look slow because it got
        # requests of expensive ones.
        sample_ms = end.latency_ms * typical_ms / max(typical_target_ms, 1e-3)
        if not before_ms:
            return sample_ms
        return before_ms + (sample_ms - before_ms) * SERVER_SMOOTHING

    def _typical_others(
        self, report: LoadReport | None, own_in_flight: int
    ) -> float:
        """Return the smoothed number of other senders' requests."""
        typical = self.typical.others_in_flight
        if report is None:
            return typical
        others = max(report.in_flight + report.queued - own_in_flight, 0)
        return typical + (others - typical) * TYPICAL_SMOOTHING


def is_full(report: LoadReport | None) -> bool:
    """Return whether a refusal is explained by the load alone."""
    if report is None:
        return False
    return report.in_flight + report.queued >= report.limit
