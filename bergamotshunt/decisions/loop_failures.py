"""Whether a loop of a task fails again and again."""

from typing import Final, NamedTuple

# A loop that has run for this time since its last failure counts as running.
STABLE_RUN_S: Final = 10.0
# After fewer failures in a row, the next restart may well succeed.
MAX_FAILURES_IN_A_ROW: Final = 10


class FailureRow(NamedTuple):
    """Failures of one loop that followed each other.

    Attributes:
        failures: Their number.
        last_s: Monotonic time of the last one, in seconds.
    """

    failures: int
    last_s: float


class LoopFailures:
    """Failures of the loops of a daemon's tasks."""

    def __init__(self) -> None:
        """Create the state of a daemon whose loops run."""
        self._row_by_loop: dict[str, FailureRow] = {}

    def record(self, loop: str, now_s: float) -> None:
        """Record that a loop ended with an error."""
        failures = self._count(loop, now_s) + 1
        self._row_by_loop[loop] = FailureRow(failures, now_s)

    def failing_loops(self, now_s: float) -> list[str]:
        """Return the loops that do not run in spite of many restarts."""
        return [
            loop
            for loop in self._row_by_loop
            if self._count(loop, now_s) >= MAX_FAILURES_IN_A_ROW
        ]

    def _count(self, loop: str, now_s: float) -> int:
        row = self._row_by_loop.get(loop)
        if row is None or now_s - row.last_s > STABLE_RUN_S:
            return 0
        return row.failures
