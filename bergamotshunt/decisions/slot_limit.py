"""Whether work slows down when nearly all slots of a server are taken.

Some services get more done with a part of their slots than with all. The
daemon beside a server compares runs at both and keeps to what is better.
"""

from math import sqrt
from typing import Final, NamedTuple

from bergamotshunt.decisions.running_means import RunningMean

# Share of the slots that is kept to where the last ones slow the work.
UNSATURATED_SHARE: Final = 0.8
SATURATED_SHARE: Final = 0.9
# With the last fifth of the slots a server gets a quarter more done, unless
# its work slows down by about as much.
MAX_SLOWDOWN: Final = 1.15
# Runs differ by a third of their work; a mean is judged with this many
# standard errors of doubt.
RUN_DEVIATION: Final = 0.35
CONFIDENCE_STANDARD_ERRORS: Final = 2.5
MIN_SATURATED_RUNS: Final = 8
# Older runs fade after this many.
MAX_RUNS: Final = 50
# Usual work comes from calm runs, which is worth this many runs here.
PRIOR_UNSATURATED_RUNS: Final = 10
# All slots are tried when the work of this many calm runs is known.
MIN_UNSATURATED_RUNS: Final = 16
# So many crowded runs that are not slower settle it.
MIN_CONCLUSIVE_RUNS: Final = 20
MIN_MEAN: Final = 0.01
# All slots are tried again after this time.
SHARE_LIFETIME_MS: Final = 60_000.0


class RunSample(NamedTuple):
    """A run that neither calls nor neighbours nor a slow start changed.

    Attributes:
        slots_share: Share of the slots that were taken meanwhile.
        work_share: Its work, as a share of what is usual for its route.
    """

    occupancy: float
    relative_work: float


class SlotLimitEstimator:
    """Learns how many slots of a server are worth taking.

    It begins with a part of them, until the work of calm runs is known.

    Attributes:
        share: Share of the slots that is worth taking; 0 when unknown.
    """

    def __init__(self) -> None:
        """Create a knee that is not known."""
        self.share: float = 0
        self._unsaturated = RunningMean(1, PRIOR_UNSATURATED_RUNS)
        self._saturated = RunningMean()
        self._updated_ms: float = 0

    def record(self, run: RunSample, now_ms: float) -> None:
        """Note how much work a run was.

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
        """Take over what was learned before a restart."""
        if not self.share:
            self.share = share
            self._updated_ms = now_ms

    def limit(self, slots: int, now_ms: float) -> int:
        """Return how many requests the server should run at a time."""
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
        slowdown = self._saturated.mean / max(self._unsaturated.mean, MIN_MEAN)
        margin_of_error = (
            CONFIDENCE_STANDARD_ERRORS
            * RUN_DEVIATION
            * sqrt(1 / saturated_runs + 1 / unsaturated_runs)
        )
        if slowdown > MAX_SLOWDOWN + margin_of_error:
            self.share = UNSATURATED_SHARE
        elif saturated_runs >= MIN_CONCLUSIVE_RUNS and slowdown < MAX_SLOWDOWN:
            self.share = 1
