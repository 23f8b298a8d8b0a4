"""Rate-limited log lines about requests."""

from collections.abc import Callable
from typing import Any, Final

from bergamotshunt.log import log_event

REFILL_LINES_PER_S: Final = 20.0
MAX_BURST_LINES: Final = 60.0
# Part of the token bucket that lines of successful requests leave unused, so
# that failures are still logged under high load.
RESERVED_LINES_FOR_FAILED: Final = 40.0


class RequestLog:
    """Writes log lines within a token bucket that favours failed requests.

    Args:
        clock: Returns the monotonic time in seconds.

    Attributes:
        dropped: Lines dropped since the last line that was written.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create a log with a full token bucket."""
        self.dropped = 0
        self._clock = clock
        self._available_lines = MAX_BURST_LINES
        self._refilled_s = clock()

    def write(self, message_type: str, *, failed: bool, **fields: Any) -> None:
        """Write a line, or drop and count it when the bucket is too empty.

        The next line that is written states the count as
        ``dropped_before``.

        Args:
            message_type: Stable name of the event.
            failed: Whether the request failed.
            fields: Further fields of the line.
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
