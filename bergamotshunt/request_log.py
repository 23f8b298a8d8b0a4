"""Log lines about requests, bounded in their number."""

from collections.abc import Callable
from typing import Any, Final

from bergamotshunt.log import log_event

REFILL_LINES_PER_S: Final = 20.0
MAX_BURST_LINES: Final = 60.0
# Lines of requests that went well leave this much to those that failed.
RESERVED_LINES_FOR_FAILED: Final = 40.0


class RequestLog:
    """Writes lines within a rate; those of failed requests go first.

    Args:
        clock: Returns the monotonic time in seconds.

    Attributes:
        dropped: Lines that were not written.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a log that may write a burst."""
        self.dropped = 0
        self._clock = clock
        self._available_lines = MAX_BURST_LINES
        self._refilled_s = clock()

    def write(self, message_type: str, *, failed: bool, **fields: Any) -> None:
        """Write a line, or count that it was dropped.

        Args:
            message_type: Stable name of the event.
            failed: Whether the request failed.
            fields: Further fields.
        """
        self._refill()
        reserve = 0 if failed else RESERVED_LINES_FOR_FAILED
        if self._available_lines < reserve + 1:
            self.dropped += 1
            return
        self._available_lines -= 1
        log_event(message_type, dropped_before=self.dropped, **fields)
        self.dropped = 0

    def _refill(self) -> None:
        now_s = self._clock()
        refill_lines = (now_s - self._refilled_s) * REFILL_LINES_PER_S
        self._refilled_s = now_s
        self._available_lines = min(
            self._available_lines + refill_lines, MAX_BURST_LINES
        )
