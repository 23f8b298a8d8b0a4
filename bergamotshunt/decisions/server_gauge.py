"""How fast a backend server works."""

from bergamotshunt.decisions.averages import RunningMean, with_response
from bergamotshunt.decisions.outlooks import expected_run_ms
from bergamotshunt.decisions.rhythm import PaceRhythm
from bergamotshunt.decisions.work_clock import (
    ASSUMED_WORK_MS,
    WorkClock,
    effective_pace,
)


class ServerGauge:
    """Usual time of work on a server, and its pace now.

    Attributes:
        pace: How long work takes now; 1 is as usual.
        noted_ms: Monotonic time at which the pace was last told.
        rhythm: When the pace may change next.
        cold_until_ms: Monotonic time until which the server is slow after
            its start.
    """

    def __init__(self) -> None:
        """Create a gauge that assumes a usual server."""
        self.pace = 1.0
        self.noted_ms: float = 0
        self.rhythm = PaceRhythm()
        self.cold_until_ms: float = 0
        self._usual = RunningMean(ASSUMED_WORK_MS)
        self._clock = WorkClock()

    @property
    def usual_ms(self) -> float:
        """Usual work of a request."""
        return self._usual.mean

    def cold_ms(self, now_ms: float) -> float:
        """Return how much longer the server is slow after its start."""
        return max(self.cold_until_ms - now_ms, 0)

    def expected_ms(self, now_ms: float) -> float:
        """Return the expected time of a request that begins now."""
        return expected_run_ms(
            self.usual_ms,
            effective_pace(self.pace, self.cold_ms(now_ms)),
            self.rhythm.outlook(now_ms),
        )

    def note_pace(self, pace: float | None, now_ms: float) -> None:
        """Note the pace that the server told."""
        if pace is not None:
            self.pace = pace
            cold_ms = self.cold_ms(now_ms)
            self._clock.go_on(effective_pace(pace, cold_ms), now_ms)
            self.noted_ms = now_ms
            self.rhythm.note(pace, now_ms)

    def worked_ms(self, now_ms: float) -> float:
        """Return the work that a request could have had done so far."""
        return self._clock.read(now_ms)

    def note_response(
        self,
        work_ms: float,
        pace: float | None,
        now_ms: float,
    ) -> None:
        """Note how much work a request was.

        Args:
            work_ms: Its time on the server at the usual pace.
            pace: Pace that the response told; None when it did not.
            now_ms: Monotonic time.
        """
        self._usual = with_response(self._usual, work_ms)
        self.note_pace(pace, now_ms)
