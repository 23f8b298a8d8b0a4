"""Log lines about requests, bounded in their number."""

from collections.abc import Callable
from typing import Any, Final

from bergamotshunt.log import log_event

LINES_PER_S: Final = 20.0
MAX_LINES: Final = 60.0
# Lines of requests that went well leave this much to those that failed.
KEPT_FOR_FAILED: Final = 40.0


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
        self._lines = MAX_LINES
        self._filled_s = clock()

    def note(self, message_type: str, *, failed: bool, **fields: Any) -> None:
        """Write a line, or count that it was dropped.

        Args:
            message_type: Stable name of the event.
            failed: Whether the request failed.
            fields: Further fields.
        """
        self._fill()
        reserve = 0 if failed else KEPT_FOR_FAILED
        if self._lines < reserve + 1:
            self.dropped += 1
            return
        self._lines -= 1
        log_event(message_type, dropped_before=self.dropped, **fields)
        self.dropped = 0

    def _fill(self) -> None:
        now_s = self._clock()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._filled_s = now_s
        self._lines = min(self._lines + gained, MAX_LINES)
