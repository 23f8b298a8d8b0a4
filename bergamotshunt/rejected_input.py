"""Log of the input of other writers that a task rejects."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from bergamotshunt.decoding import describe_error
from bergamotshunt.request_log import RequestLog
from bergamotshunt.task_metrics import TaskMetrics

# Sources whose last reason is kept; bounds the memory.
MAX_SOURCES: Final = 256


class RejectedInputLog:
    """Counts rejected input and logs it within a token bucket.

    The same reason for the same source is logged once, as a task may read
    the same input again and again.

    Args:
        clock: Returns the monotonic time in seconds.
        metrics: Metrics of the task.
    """

    def __init__(
        self, clock: Callable[[], float], metrics: TaskMetrics
    ) -> None:
        """Create a log without sources."""
        self._log = RequestLog(clock)
        self._metrics = metrics
        self._reason_by_source: dict[str, str] = {}

    def write(self, message_type: str, source: str, reason: str) -> None:
        """Count an input; log it unless it repeats.

        Args:
            message_type: Stable name of the event.
            source: Where it comes from, such as a key or an address.
            reason: Why it is rejected.
        """
        self._metrics.increment('inputs_rejected', event=message_type)
        if self._reason_by_source.get(source) == reason:
            return
        if len(self._reason_by_source) >= MAX_SOURCES:
            self._reason_by_source.clear()
        self._reason_by_source[source] = reason
        self._log.write(message_type, failed=True, source=source, detail=reason)

    @contextmanager
    def contain(self, message_type: str, source: str) -> Iterator[None]:
        """Contain any error of one input, so that the next one is read.

        Args:
            message_type: Stable name of the event.
            source: Where the input comes from.
        """
        try:
            yield
        except Exception as error:
            self.write(message_type, source, describe_error(error))
