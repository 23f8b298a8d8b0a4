"""Delays requests to the server on this host while it is cold."""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from bergamotshunt.decisions.cold_starts import (
    ColdStartLimit,
    ColdStartLimiter,
)
from bergamotshunt.log import log_event
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ServerEntry


class ColdState(NamedTuple):
    """What decides whether a request may be sent, for logs and status.

    Attributes:
        cold_rate: Requests per second to a cold server; 0 for no limit,
            None while no configuration is known.
        cold_ms: Time that the server is still cold, in milliseconds.
        known: Whether the server has stated if it is cold.
        warm_age_ms: Time since it was last known to be warm; None if never.
        unconfirmed_starts: Requests in the last second since then.
    """

    cold_rate: float | None
    cold_ms: int
    known: bool
    warm_age_ms: int | None
    unconfirmed_starts: int


class ColdStartGate:
    """Applies the limit of cold starts to one server.

    Args:
        now_ms: Returns the monotonic time in milliseconds.
        bounds: Limits that the platform sets for the daemon.
    """

    def __init__(self, now_ms: Callable[[], float], bounds: Bounds) -> None:
        """Create a gate for a server whose state is not known."""
        self._now_ms = now_ms
        self._bounds = bounds
        self._limiter = ColdStartLimiter(now_ms())
        self._was_cold = False

    @property
    def has_limit(self) -> bool:
        """Whether the service has a limit."""
        limit = self._limiter.limit
        return limit is not None and limit.rate > 0

    @property
    def cold_until_ms(self) -> float:
        """Monotonic time until which the server is cold."""
        return self._limiter.cold_until_ms

    @property
    def needs_check(self) -> bool:
        """Whether requests have to wait for the next health check."""
        return self._limiter.needs_check(self._now_ms())

    def rate(self) -> float:
        """Return the requests per second that may start; 0 for no limit."""
        return self._limiter.rate(self._now_ms())

    def wait_ms(self, ahead: int = 0) -> float:
        """Return the expected time until a request may start.

        Args:
            ahead: Number of requests that start first.
        """
        return self._limiter.wait_ms(ahead, self._now_ms())

    def start_delay_ms(self) -> float:
        """Return the delay of the next start that senders should know.

        There is none without a limit: daemons of earlier versions reject the
        report of one.
        """
        return self.wait_ms() if self.has_limit else 0

    def record_start(self) -> None:
        """Record that a request is sent to the server."""
        self._limiter.record_start(self._now_ms())

    def update_rate(self, rate: float) -> None:
        """Apply the cold rate of the service; 0 if the operator gives none."""
        bounds = self._bounds
        self._limiter.limit = ColdStartLimit(
            rate, bounds.cold_overage, bounds.cold_slack
        )

    def apply_announcement(self, entry: ServerEntry, *, is_new: bool) -> None:
        """Apply an announcement of the server, maybe of a new instance."""
        now_ms = self._now_ms()
        if is_new:
            self._limiter.reset(now_ms)
        if entry.cold_ms:
            self._limiter.record_cold(entry.cold_ms, now_ms)
        self._log_change('announcement')

    def record_check(self, cold_ms: float | None, sent_ms: float) -> None:
        """Record the response to a health check.

        Args:
            cold_ms: Time that the server is still cold, in milliseconds;
                None if not stated.
            sent_ms: Monotonic time at which the check was sent.
        """
        self._limiter.record_check(cold_ms, sent_ms, self._now_ms())
        self._log_change('health-check')

    def describe(self) -> ColdState:
        """Return what decides whether a request may be sent."""
        now_ms = self._now_ms()
        limiter = self._limiter
        warm_age_ms = limiter.warm_age_ms(now_ms)
        return ColdState(
            cold_rate=limiter.limit.rate if limiter.limit else None,
            cold_ms=round(max(limiter.cold_until_ms - now_ms, 0)),
            known=limiter.is_known,
            warm_age_ms=None if warm_age_ms == inf else round(warm_age_ms),
            unconfirmed_starts=limiter.unconfirmed_starts(now_ms),
        )

    def _log_change(self, source: str) -> None:
        is_cold = self._limiter.is_cold(self._now_ms())
        if is_cold == self._was_cold:
            return
        self._was_cold = is_cold
        log_event(
            'inbound:cold-changed',
            cold=is_cold,
            source=source,
            **self.describe()._asdict(),
        )
