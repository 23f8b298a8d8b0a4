"""Estimates how many slots of a backend server to use.

Some services have a higher throughput with a part of their slots in use than
with all. The daemon beside a server compares the work of runs in both states
and uses the limit with the higher throughput.
"""

from math import sqrt
from typing import Final, NamedTuple

from bergamotshunt.decisions.running_means import RunningMean

# Share of the slots that is used where the last ones slow the work down;
# runs at up to this occupancy count as below saturation.
UNSATURATED_SHARE: Final = 0.8
# Runs from this occupancy on count as saturated.
SATURATED_SHARE: Final = 0.9
# The last fifth of the slots raises the throughput by a quarter, unless the
# work slows down by about as much.
MAX_SLOWDOWN: Final = 1.15
# Relative standard deviation of the work of runs: they differ by a third.
RUN_DEVIATION: Final = 0.35
# Margin of error of a comparison of means, in standard errors.
CONFIDENCE_STANDARD_ERRORS: Final = 2.5
MIN_SATURATED_RUNS: Final = 8
# Number of runs after which older ones lose weight in a mean.
MAX_RUNS: Final = 50
# The typical work of a route stems from runs below saturation, so their mean
# starts at 1 as if this many runs had been observed.
PRIOR_UNSATURATED_RUNS: Final = 10
# All slots are used once this many runs below saturation are known, of which
# PRIOR_UNSATURATED_RUNS count as known from the start.
MIN_UNSATURATED_RUNS: Final = 16
# This many saturated runs without a slowdown are enough to use all slots.
MIN_CONCLUSIVE_RUNS: Final = 20
# Avoids a division by zero.
MIN_RELATIVE_WORK: Final = 0.01
# After this time without a saturated run, all slots are tried again.
SHARE_LIFETIME_MS: Final = 60_000.0


class RunSample(NamedTuple):
    """A run undistorted by nested calls, a slow phase or a cold start.

    Attributes:
        occupancy: Share of the slots that were in use during the run.
        relative_work: Its work, relative to the typical work of its route.
    """

    occupancy: float
    relative_work: float


class SlotLimitEstimator:
    """Estimates the fraction of a server's slots to use.

    It starts with a part of the slots, until the work of enough runs below
    saturation is known.

    Attributes:
        share: Fraction of the slots to use, 0 to 1; 0 when unknown.
    """

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self.share: float = 0
        self._unsaturated = RunningMean(1, PRIOR_UNSATURATED_RUNS)
        self._saturated = RunningMean()
        self._updated_ms: float = 0

    def record(self, run: RunSample, now_ms: float) -> None:
        """Record the work of a run.

        Args:
            run: The run.
            now_ms: Monotonic time.
        """
        if run.occupancy <= UNSATURATED_SHARE:
            self._unsaturated = self._unsaturated.with_sample(
                run.relative_work, MAX_RUNS
            )
        elif run.occupancy >= SATURATED_SHARE:
            self._saturated = self._saturated.with_sample(
                run.relative_work, MAX_RUNS
            )
            self._updated_ms = now_ms
            self._update_share()

    def restore_share(self, share: float, now_ms: float) -> None:
        """Restore the share that an earlier process of the daemon estimated."""
        if not self.share:
            self.share = share
            self._updated_ms = now_ms

    def limit(self, slots: int, now_ms: float) -> int:
        """Return how many requests the server should run concurrently.

        Args:
            slots: Slots of the server.
            now_ms: Monotonic time.
        """
        if self.share < 1 and now_ms - self._updated_ms > SHARE_LIFETIME_MS:
            self.share = 0
            self._saturated = RunningMean()
        share = self.share
        if not share:
            share = (
                UNSATURATED_SHARE
                if self._unsaturated.samples < MIN_UNSATURATED_RUNS
                else 1
            )
        return max(int(slots * share), 1)

    def _update_share(self) -> None:
        saturated_runs = min(self._saturated.samples, MAX_RUNS)
        unsaturated_runs = min(self._unsaturated.samples, MAX_RUNS)
        if (
            saturated_runs < MIN_SATURATED_RUNS
            or unsaturated_runs < MIN_UNSATURATED_RUNS
        ):
            return
        slowdown = self._saturated.mean / max(
            self._unsaturated.mean, MIN_RELATIVE_WORK
        )
        margin_of_error = (
            CONFIDENCE_STANDARD_ERRORS
            * RUN_DEVIATION
            * sqrt(1 / saturated_runs + 1 / unsaturated_runs)
        )
        if slowdown > MAX_SLOWDOWN + margin_of_error:
            self.share = UNSATURATED_SHARE
        elif saturated_runs >= MIN_CONCLUSIVE_RUNS and slowdown < MAX_SLOWDOWN:
            self.share = 1
