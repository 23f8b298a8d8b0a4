"""Estimates when the pace of a backend server changes next.

Other processes on the host load it in phases of about equal length. The
phase length is fitted to the observed changes of the pace: each change lies
between two observations, and any two changes lie a whole number of phases
apart.
"""

from collections import deque
from collections.abc import Collection, Sequence
from itertools import pairwise
from operator import mul
from typing import Final, NamedTuple

from bergamotshunt.decisions.pace_forecasts import PaceForecast

# A relative change of the pace that counts as the start of a new phase.
MIN_CHANGE_SHARE: Final = 0.2
MIN_CHANGES: Final = 5
# The fit is discarded after this many consecutive changes that contradict it.
MAX_UNFITTING_CHANGES: Final = 2
MAX_CHANGES: Final = 12
MIN_PHASE_MS: Final = 150.0
MAX_PHASE_MS: Final = 5000.0
FIT_TOLERANCE_MS: Final = 25.0
# Not all changes have to fit: a single one may have another cause.
MIN_FITTING_SHARE: Final = 0.75
MIN_EXACT_SHARE: Final = 0.5
# Changes between observations that lie far apart are left out of the fit.
MAX_UNCERTAINTY_MS: Final = 65.0
# Added to the uncertainty of each change, so that its weight is finite.
MIN_UNCERTAINTY_MS: Final = 5.0
# Short phases fit imprecise changes by chance, so the accepted uncertainty
# is this share of the phase length.
MAX_UNCERTAINTY_SHARE: Final = 0.1
MAX_PHASE_PACES: Final = 24
# The share of slow phases starts as if this many had been observed.
PRIOR_PHASES: Final = 6
PRIOR_SLOW_SHARE: Final = 0.35
# A phase is slow from this factor of the lowest pace on.
SLOW_FACTOR: Final = 1.5
# Delays until the next observation of the pace.
UNKNOWN_PHASE_PROBE_MS: Final = 40.0
MID_PHASE_PROBE_MS: Final = 120.0
PHASE_START_PROBE_MS: Final = 20.0
# Length of the start and the end of a phase. At its end, the next observation
# waits until shortly after the start of the next phase.
PHASE_START_MS: Final = 45.0
PHASE_END_MS: Final = 20.0
PHASE_START_DELAY_MS: Final = 3.0


class PaceChange(NamedTuple):
    """A change of the pace between two observations.

    Attributes:
        after_ms: Monotonic time of the last observation before the change.
        seen_ms: Monotonic time of the first observation after the change.
    """

    after_ms: float
    seen_ms: float

    @property
    def middle_ms(self) -> float:
        """Estimated time of the change."""
        return (self.after_ms + self.seen_ms) / 2


class PhaseTiming(NamedTuple):
    """Length and position of phases of equal length.

    Attributes:
        length_ms: Length of a phase; 0 while unknown.
        start_ms: Monotonic time at which any one of the phases started.
    """

    length_ms: float = 0
    start_ms: float = 0

    def left_ms(self, now_ms: float) -> float:
        """Return the time until the current phase ends; 0 when unknown."""
        if not self.length_ms:
            return 0
        return self.length_ms - (now_ms - self.start_ms) % self.length_ms


def fit_phases(changes: Sequence[PaceChange]) -> PhaseTiming:
    """Find the longest phases that fit the changes.

    Returns:
        The timing of the phases; of length 0 when none fits.
    """
    if len(changes) < MIN_CHANGES:
        return PhaseTiming()
    # Two changes are at least one phase apart. The smallest gap may span more
    # than one, when neighbouring phases had the same pace.
    gap_ms = min(
        following.middle_ms - change.middle_ms
        for change, following in pairwise(changes)
    )
    for parts in (1, 2, 3):
        phases = _fit(changes, gap_ms / parts)
        if phases.length_ms:
            return phases
    return PhaseTiming()


def _fit(changes: Sequence[PaceChange], length_ms: float) -> PhaseTiming:
    if not MIN_PHASE_MS <= length_ms <= MAX_PHASE_MS:
        return PhaseTiming()
    phases = _refine(changes, length_ms)
    fitting = sum(_is_fitting(change, phases) for change in changes)
    exact = sum(_is_exact(change, phases) for change in changes)
    if fitting < MIN_FITTING_SHARE * len(changes):
        return PhaseTiming()
    return phases if exact >= MIN_EXACT_SHARE * len(changes) else PhaseTiming()


def _refine(changes: Sequence[PaceChange], length_ms: float) -> PhaseTiming:
    """Fit length and start by least squares, from a rough length.

    The rough length is refined gap by gap first: the more phases a gap
    spans, the less the uncertainty of a change affects the length.
    """
    count = 0
    counts = [0]
    for change, following in pairwise(changes):
        gap_ms = following.middle_ms - change.middle_ms
        count += max(round(gap_ms / length_ms), 1)
        counts.append(count)
        length_ms = (following.middle_ms - changes[0].middle_ms) / count
    return _fit_line(changes, counts)


def _fit_line(
    changes: Sequence[PaceChange], counts: Sequence[int]
) -> PhaseTiming:
    """Fit the phases by least squares, weighted by the certainty of changes.

    Args:
        changes: Observed changes.
        counts: Number of phases from the first change to each change.
    """
    weights = [
        (_uncertainty_ms(change) + MIN_UNCERTAINTY_MS) ** -2
        for change in changes
    ]
    total = sum(weights)
    mean_count = sum(map(mul, weights, counts)) / total
    times_ms = [change.middle_ms for change in changes]
    mean_ms = sum(map(mul, weights, times_ms)) / total
    steps = [count - mean_count for count in counts]
    weighted_steps = list(map(mul, weights, steps))
    time_steps_ms = [time_ms - mean_ms for time_ms in times_ms]
    spread = sum(map(mul, weighted_steps, steps))
    length_ms = sum(map(mul, weighted_steps, time_steps_ms)) / spread
    return PhaseTiming(length_ms, mean_ms + length_ms * steps[-1])


def _is_fitting(change: PaceChange, phases: PhaseTiming) -> bool:
    elapsed_ms = (change.middle_ms - phases.start_ms) % phases.length_ms
    deviation_ms = min(elapsed_ms, phases.length_ms - elapsed_ms)
    return deviation_ms <= FIT_TOLERANCE_MS + _uncertainty_ms(change)


def _is_exact(change: PaceChange, phases: PhaseTiming) -> bool:
    return _uncertainty_ms(change) <= phases.length_ms * MAX_UNCERTAINTY_SHARE


def _uncertainty_ms(change: PaceChange) -> float:
    return (change.seen_ms - change.after_ms) / 2


def _forecast_without_times(paces: Collection[float]) -> PaceForecast:
    normal_pace = min(paces)
    slow = [pace for pace in paces if pace > normal_pace * SLOW_FACTOR]
    prior = PRIOR_PHASES * PRIOR_SLOW_SHARE
    share = (len(slow) + prior) / (len(paces) + PRIOR_PHASES)
    return PaceForecast(
        slow_share=round(share, 2),
        normal_pace=normal_pace,
        slow_pace=max(slow, default=normal_pace),
    )


def _fits_phase_start(phases: PhaseTiming, change: PaceChange) -> bool:
    """Return whether a change may coincide with the start of a phase."""
    if not phases.length_ms:
        return True
    since_ms = change.after_ms - FIT_TOLERANCE_MS
    span_ms = change.seen_ms + FIT_TOLERANCE_MS - since_ms
    return phases.left_ms(since_ms) <= span_ms


class PacePhaseEstimator:
    """Estimates the phases of a server from observations of its pace.

    Attributes:
        phases: Fitted timing; of length 0 while unknown.
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self.phases = PhaseTiming()
        self._changes: deque[PaceChange] = deque(maxlen=MAX_CHANGES)
        self._phase_paces: deque[float] = deque(maxlen=MAX_PHASE_PACES)
        # The forecast without its times. It is read far more often than a
        # phase ends, so it is computed once per phase.
        self._forecast_base = PaceForecast()
        self._unfitting_changes = 0
        self._pace: float = 1
        self._seen_ms: float = 0
        self._phase_end_ms: float = 0

    def record(self, pace: float, now_ms: float) -> None:
        """Record an observed pace."""
        if abs(pace - self._pace) > MIN_CHANGE_SHARE * self._pace:
            self._record_change(PaceChange(self._seen_ms, now_ms))
        self._pace = pace
        self._seen_ms = now_ms
        if self.phases.length_ms and now_ms >= self._phase_end_ms:
            self._phase_paces.append(pace)
            self._forecast_base = _forecast_without_times(self._phase_paces)
            self._phase_end_ms = now_ms + self.phases.left_ms(now_ms)

    def forecast(self, now_ms: float) -> PaceForecast:
        """Return a forecast of the pace; an empty one while unknown."""
        phases = self.phases
        if not phases.length_ms or not self._phase_paces:
            return PaceForecast()
        return self._forecast_base._replace(
            phase_left_ms=round(phases.left_ms(now_ms), 1),
            phase_ms=round(phases.length_ms, 1),
        )

    def probe_delay_ms(self, now_ms: float) -> float:
        """Return the time until the pace should be observed again.

        Around the start of a phase the pace is observed more often, which
        shows a change early and gives its time precisely.
        """
        phases = self.phases
        if not phases.length_ms:
            return UNKNOWN_PHASE_PROBE_MS
        left_ms = phases.left_ms(now_ms)
        if phases.length_ms - left_ms < PHASE_START_MS:
            return PHASE_START_PROBE_MS
        if left_ms <= PHASE_END_MS:
            return left_ms + PHASE_START_DELAY_MS
        return min(left_ms - PHASE_END_MS / 2, MID_PHASE_PROBE_MS)

    def _record_change(self, change: PaceChange) -> None:
        self._unfitting_changes = (
            0
            if _fits_phase_start(self.phases, change)
            else self._unfitting_changes + 1
        )
        if self._unfitting_changes >= MAX_UNFITTING_CHANGES:
            self._changes.clear()
            self._unfitting_changes = 0
            self.phases = PhaseTiming()
        if _uncertainty_ms(change) <= MAX_UNCERTAINTY_MS:
            self._changes.append(change)
            self.phases = fit_phases(tuple(self._changes))
