"""How fast a backend server works."""

from bergamotshunt.decisions.running_means import RunningMean, with_work
from bergamotshunt.decisions.pace_forecasts import expected_run_ms
from bergamotshunt.decisions.pace_phases import PacePhaseEstimator
from bergamotshunt.decisions.work_meter import (
    ASSUMED_WORK_MS,
    WorkMeter,
    effective_pace,
)


class ServerWorkEstimator:
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
        self.reported_ms: float = 0
        self.phase_estimator = PacePhaseEstimator()
        self.cold_until_ms: float = 0
        self._typical_work = RunningMean(ASSUMED_WORK_MS)
        self._meter = WorkMeter()

    @property
    def typical_ms(self) -> float:
        """Usual work of a request."""
        return self._typical_work.mean

    def cold_ms(self, now_ms: float) -> float:
        """Return how much longer the server is slow after its start."""
        return max(self.cold_until_ms - now_ms, 0)

    def expected_ms(self, now_ms: float) -> float:
        """Return the expected time of a request that begins now."""
        return expected_run_ms(
            self.typical_ms,
            effective_pace(self.pace, self.cold_ms(now_ms)),
            self.phase_estimator.forecast(now_ms),
        )

    def record_pace(self, pace: float | None, now_ms: float) -> None:
        """Note the pace that the server told."""
        if pace is not None:
            self.pace = pace
            cold_ms = self.cold_ms(now_ms)
            self._meter.change_pace(effective_pace(pace, cold_ms), now_ms)
            self.reported_ms = now_ms
            self.phase_estimator.record(pace, now_ms)

    def done_work_ms(self, now_ms: float) -> float:
        """Return the work that a request could have had done so far."""
        return self._meter.read(now_ms)

    def record_response(
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
        self._typical_work = with_work(self._typical_work, work_ms)
        self.record_pace(pace, now_ms)
