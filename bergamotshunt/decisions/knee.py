"""Whether work slows down when nearly all slots of a server are taken.

Some services get more done with a part of their slots than with all. The
daemon beside a server compares runs at both and keeps to what is better.
"""

from math import sqrt
from typing import Final, NamedTuple

from bergamotshunt.decisions.averages import RunningMean

# Share of the slots that is kept to where the last ones slow the work.
CALM_SHARE: Final = 0.8
CROWDED_SHARE: Final = 0.9
# With the last fifth of the slots a server gets a quarter more done, unless
# its work slows down by about as much.
WORTHWHILE_SLOWDOWN: Final = 1.15
# Runs differ by a third of their work; a mean is judged with this many
# standard errors of doubt.
RUN_SPREAD: Final = 0.35
DOUBT: Final = 2.5
MIN_CROWDED_RUNS: Final = 8
# Older runs fade after this many.
RUNS: Final = 50
# Usual work comes from calm runs, which is worth this many runs here.
EARLIER_CALM_RUNS: Final = 10
# All slots are tried when the work of this many calm runs is known.
MIN_CALM_RUNS: Final = 16
# So many crowded runs that are not slower settle it.
SETTLING_RUNS: Final = 20
MIN_MEAN: Final = 0.01
# All slots are tried again after this time.
FORGET_MS: Final = 60_000.0


class Run(NamedTuple):
    """A run that neither calls nor neighbours nor a slow start changed.

    Attributes:
        slots_share: Share of the slots that were taken meanwhile.
        work_share: Its work, as a share of what is usual for its route.
    """

    slots_share: float
    work_share: float


class SlotKnee:
    """Learns how many slots of a server are worth taking.

    It begins with a part of them, until the work of calm runs is known.

    Attributes:
        share: Share of the slots that is worth taking; 0 when unknown.
    """

    def __init__(self) -> None:
        """Create a knee that is not known."""
        self.share: float = 0
        self._calm = RunningMean(1, EARLIER_CALM_RUNS)
        self._crowded = RunningMean()
        self._noted_ms: float = 0

    def note(self, run: Run, now_ms: float) -> None:
        """Note how much work a run was.

        Args:
            run: The run.
            now_ms: Monotonic time.
        """
        if run.slots_share <= CALM_SHARE:
            self._calm = self._calm.with_figure(run.work_share, RUNS)
        elif run.slots_share >= CROWDED_SHARE:
            self._crowded = self._crowded.with_figure(run.work_share, RUNS)
            self._noted_ms = now_ms
            self._judge()

    def note_known(self, share: float, now_ms: float) -> None:
        """Take over what was learned before a restart."""
        if not self.share:
            self.share = share
            self._noted_ms = now_ms

    def limit(self, slots: int, now_ms: float) -> int:
        """Return how many requests the server should run at a time."""
        if self.share < 1 and now_ms - self._noted_ms > FORGET_MS:
            self.share = 0
            self._crowded = RunningMean()
        share = self.share
        if not share:
            share = CALM_SHARE if self._calm.figures < MIN_CALM_RUNS else 1
        return max(int(slots * share), 1)

    def _judge(self) -> None:
        runs = min(self._crowded.figures, RUNS)
        calm_runs = min(self._calm.figures, RUNS)
        if runs < MIN_CROWDED_RUNS or calm_runs < MIN_CALM_RUNS:
            return
        slowdown = self._crowded.mean / max(self._calm.mean, MIN_MEAN)
        doubt = DOUBT * RUN_SPREAD * sqrt(1 / runs + 1 / calm_runs)
        if slowdown > WORTHWHILE_SLOWDOWN + doubt:
            self.share = CALM_SHARE
        elif runs >= SETTLING_RUNS and slowdown < WORTHWHILE_SLOWDOWN:
            self.share = 1
