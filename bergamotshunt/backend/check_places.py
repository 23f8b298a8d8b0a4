"""Keeps a place of the server free for a health check in flight."""

from collections.abc import Callable
from typing import Final

from bergamotshunt.log import log_event

# A check without a response holds a place no longer than this.
MAX_HOLD_MS: Final = 50.0


class CheckPlace:
    """The place that a health check takes at the server.

    Some servers answer nothing beyond their slots: a check must not take the
    last place, neither before a request nor behind one.

    Args:
        now_ms: Returns the monotonic time in milliseconds.

    Attributes:
        is_strict: Whether the server may answer nothing beyond its slots.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        """Create the state of a server without a check in flight."""
        self.is_strict = False
        self._now_ms = now_ms
        self._begun_ms: float | None = None

    def begin(self) -> None:
        """Record that a check is sent."""
        self._begun_ms = self._now_ms()

    def end(self, *, is_answered: bool, is_full: bool) -> None:
        """Record the end of a check.

        A full server that does not answer is taken to have no place for it.

        Args:
            is_answered: Whether the server responded.
            is_full: Whether all slots are taken.
        """
        begun_ms = self._begun_ms
        self._begun_ms = None
        if is_answered or not is_full or self.is_strict:
            return
        self.is_strict = True
        log_event(
            'inbound:check-unanswered-when-full',
            waited_ms=round(self._now_ms() - (begun_ms or 0)),
        )

    def wait_ms(self, free_slots: int) -> float:
        """Return how long a request has to wait for the check in flight.

        Args:
            free_slots: Slots without a request.
        """
        if not self.is_strict or self._begun_ms is None or free_slots > 1:
            return 0
        return max(self._begun_ms + MAX_HOLD_MS - self._now_ms(), 0)
