"""Limits the requests that are sent to a backend server while it is cold.

A server that has started a moment ago bears only a few requests a second. It
may become cold again at any time, and its daemon hears of that later, so the
requests that were sent before it heard count as well.
"""

from collections import deque
from math import ceil, inf
from typing import Final, NamedTuple

WINDOW_MS: Final = 1000.0
MS_PER_S: Final = 1000
# Starts are spread over the window: each part of it gets its share of them.
WINDOW_PARTS: Final = 4
# After the cold time, the limit rises to infinity over this time.
RISE_MS: Final = 1000.0
# Requests wait at most this long for the first health check of a server, and
# for the first configuration of a daemon that has just started.
MAX_HOLD_MS: Final = 150.0
# Bounds the rate near the end of the rise.
MAX_RATE: Final = 1e6
MIN_RISE_LEFT_MS: Final = 1.0


class ColdStartLimit(NamedTuple):
    """Limit of a service's requests to one of its servers while it is cold.

    Attributes:
        rate: Requests per second that a cold server bears; 0 for no limit.
        overage: Factor by which the requests of any second may exceed it.
        slack: Requests by which they may exceed it besides.
    """

    rate: float = 0
    overage: float = 1.5
    slack: float = 8

    @property
    def window_ms(self) -> float:
        """Length of the window; longer for less than a request a second."""
        return max(WINDOW_MS, MS_PER_S / self.rate)

    @property
    def bound(self) -> int:
        """Requests of a window that a cold server must never exceed."""
        return int(self.rate * self.overage + self.slack)

    @property
    def cold(self) -> int:
        """Starts per window while the server is known to be cold."""
        return max(int(min(self.rate, self.bound)), 1)

    @property
    def unconfirmed(self) -> int:
        """Starts per window since the server was last known to be warm."""
        return max(self.cold, self.bound - self.cold)

    @property
    def after_restart(self) -> int:
        """Starts in the first window of this process while it is cold.

        The previous process may have made ``unconfirmed`` starts just before.
        """
        return max(min(self.cold, self.bound - self.unconfirmed), 1)


class ColdStartLimiter:
    """Decides when the next request may be sent to a server.

    All times are monotonic, in milliseconds.

    Args:
        now_ms: Time of the start of this process.

    Attributes:
        limit: Limit of the service; None while no configuration is known.
        cold_until_ms: Time until which the server is cold, as far as known.
        is_known: Whether the server has stated if it is cold.
    """

    def __init__(self, now_ms: float) -> None:
        """Create a limiter for a server whose state is not known."""
        self.limit: ColdStartLimit | None = None
        self.cold_until_ms = -inf
        self.is_known = False
        self._created_ms = now_ms
        self._unknown_since_ms = now_ms
        self._cold_seen_ms = -inf
        self._warm_seen_ms = -inf
        self._starts_ms: deque[float] = deque()

    def reset(self, now_ms: float) -> None:
        """Forget the server: another instance has taken its place."""
        self.cold_until_ms = -inf
        self.is_known = False
        self._unknown_since_ms = now_ms
        self._cold_seen_ms = -inf
        self._warm_seen_ms = -inf
        self._starts_ms.clear()

    def record_cold(self, cold_ms: float, now_ms: float) -> None:
        """Record that the server stated how long it is still cold.

        An announcement may be late, so it never shortens the cold time.
        """
        self.is_known = True
        self._cold_seen_ms = now_ms
        self.cold_until_ms = max(self.cold_until_ms, now_ms + cold_ms)

    def record_check(
        self, cold_ms: float | None, sent_ms: float, now_ms: float
    ) -> None:
        """Record the response to a health check.

        Args:
            cold_ms: Time that the server is still cold; None if not stated.
            sent_ms: Time at which the check was sent.
            now_ms: Time of the response.
        """
        if sent_ms < self._unknown_since_ms:
            # The response is of the instance before this one.
            return
        self.is_known = True
        if cold_ms:
            self._cold_seen_ms = now_ms
            self.cold_until_ms = now_ms + cold_ms
            return
        if sent_ms < self._cold_seen_ms:
            # The server may have become cold after this response.
            return
        if cold_ms is not None:
            self.cold_until_ms = min(self.cold_until_ms, now_ms)
        if not self.is_cold(now_ms):
            self._warm_seen_ms = sent_ms

    def record_start(self, now_ms: float) -> None:
        """Record that a request is sent to the server."""
        self._starts_ms.append(now_ms)
        limit = self.limit
        window_ms = limit.window_ms if limit and limit.rate else WINDOW_MS
        while self._starts_ms[0] <= now_ms - window_ms:
            self._starts_ms.popleft()

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the server is cold, as far as known."""
        return now_ms < self.cold_until_ms

    def rate(self, now_ms: float) -> float:
        """Return the starts per second that are allowed; 0 for no limit."""
        if self.limit is None or not self.limit.rate:
            return 0
        starts = self._cold_starts(self.limit, now_ms)
        return min(starts * MS_PER_S / self.limit.window_ms, MAX_RATE)

    def delay_ms(self, now_ms: float) -> float:
        """Return the time until the next request may be sent."""
        if self.limit is None:
            return max(self._created_ms + MAX_HOLD_MS - now_ms, 0)
        if not self.limit.rate:
            return 0
        if not self.is_known and now_ms < self._unknown_since_ms + MAX_HOLD_MS:
            return self._unknown_since_ms + MAX_HOLD_MS - now_ms
        next_ms = max(
            self._next_cold_start_ms(self.limit, now_ms),
            self._next_unconfirmed_start_ms(self.limit),
        )
        return max(next_ms - now_ms, 0)

    def wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return the expected time until a request may be sent.

        Args:
            ahead: Number of requests that are sent first.
            now_ms: Current time.
        """
        rate = self.rate(now_ms)
        interval_ms = MS_PER_S / rate if rate else 0
        return self.delay_ms(now_ms) + ahead * interval_ms

    def unconfirmed_starts(self, now_ms: float) -> int:
        """Return the starts since the server was last known to be warm."""
        since_ms = max(self._warm_seen_ms, now_ms - WINDOW_MS)
        return sum(start_ms > since_ms for start_ms in self._starts_ms)

    def needs_check(self, now_ms: float) -> bool:
        """Return whether a health check is needed to send further requests."""
        limit = self.limit
        if limit is None or not limit.rate or self.is_cold(now_ms):
            return False
        starts = self.unconfirmed_starts(now_ms)
        return not self.is_known or starts * 2 >= limit.unconfirmed

    def warm_age_ms(self, now_ms: float) -> float:
        """Return the time since the server was last known to be warm."""
        return now_ms - self._warm_seen_ms

    def _cold_starts(self, limit: ColdStartLimit, now_ms: float) -> int:
        """Return the starts that a window may have; 0 for no limit."""
        if self.is_cold(now_ms) or not self.is_known:
            is_restarted = now_ms < self._created_ms + limit.window_ms
            return limit.after_restart if is_restarted else limit.cold
        left_ms = self.cold_until_ms + RISE_MS - now_ms
        if left_ms < MIN_RISE_LEFT_MS:
            return 0
        return int(limit.cold * RISE_MS / left_ms)

    def _next_cold_start_ms(
        self, limit: ColdStartLimit, now_ms: float
    ) -> float:
        starts = self._cold_starts(limit, now_ms)
        if not starts:
            return now_ms
        part = ceil(starts / WINDOW_PARTS)
        return max(
            self._start_ms(starts) + limit.window_ms,
            self._start_ms(part) + limit.window_ms / WINDOW_PARTS,
        )

    def _next_unconfirmed_start_ms(self, limit: ColdStartLimit) -> float:
        start_ms = self._start_ms(limit.unconfirmed)
        if start_ms <= self._warm_seen_ms:
            return -inf
        return start_ms + WINDOW_MS

    def _start_ms(self, number: int) -> float:
        """Return the time of a start, counted from the last one, 1."""
        if number > len(self._starts_ms):
            return -inf
        return self._starts_ms[-number]
