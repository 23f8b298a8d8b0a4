"""Estimates the typical work of a backend server's requests and its pace."""

from bergamotshunt.decisions.pace_forecasts import expected_run_ms
from bergamotshunt.decisions.pace_phases import PacePhaseEstimator
from bergamotshunt.decisions.running_means import RunningMean, with_work_sample
from bergamotshunt.decisions.work_meter import (
    ASSUMED_WORK_MS,
    WorkMeter,
    effective_pace,
)


class ServerWorkEstimator:
    """Typical work of the requests of one server, and its current pace.

    Attributes:
        pace: Factor by which work is slowed down; 1 is the baseline.
        reported_ms: Monotonic time of the last report of the pace.
        phase_estimator: Estimates when the pace changes next.
        cold_until_ms: Monotonic time until which the server is slow after
            its start.
    """

    def __init__(self) -> None:
        """Create an estimator that assumes the baseline pace."""
        self.pace = 1.0
        self.reported_ms: float = 0
        self.phase_estimator = PacePhaseEstimator()
        self.cold_until_ms: float = 0
        self._typical_work = RunningMean(ASSUMED_WORK_MS)
        self._meter = WorkMeter()

    @property
    def typical_work_ms(self) -> float:
        """Typical run time of a request at the baseline pace, 1."""
        return self._typical_work.mean

    def cold_ms(self, now_ms: float) -> float:
        """Return for how much longer the server is slow after its start."""
        return max(self.cold_until_ms - now_ms, 0)

    def expected_run_ms(self, now_ms: float) -> float:
        """Return the expected run time of a request that starts now."""
        return expected_run_ms(
            self.typical_work_ms,
            effective_pace(self.pace, self.cold_ms(now_ms)),
            self.phase_estimator.forecast(now_ms),
        )

    def record_pace(self, pace: float | None, now_ms: float) -> None:
        """Record a pace that the server reported; None when it did not."""
        if pace is not None:
            self.pace = pace
            cold_ms = self.cold_ms(now_ms)
            self._meter.change_pace(effective_pace(pace, cold_ms), now_ms)
            self.reported_ms = now_ms
            self.phase_estimator.record(pace, now_ms)

    def work_meter_ms(self, now_ms: float) -> float:
        """Return the reading of the work meter, in ms at pace 1.

        The difference of two readings is the work that a request can have
        done in between.
        """
        return self._meter.read(now_ms)

    def record_response(
        self,
        work_ms: float,
        pace: float | None,
        now_ms: float,
    ) -> None:
        """Record the work of a finished request.

        Args:
            work_ms: Its run time at pace 1.
            pace: Pace reported in the response; None when there was none.
            now_ms: Monotonic time.
        """
        self._typical_work = with_work_sample(self._typical_work, work_ms)
        self.record_pace(pace, now_ms)
