"""When the pace of a backend server may change next.

Neighbours on a host load it in turns of about the same length. The turns
are learned from the changes that were observed: each lies between two
observations, and all of them lie a whole number of turns apart.
"""

from collections import deque
from collections.abc import Collection, Sequence
from itertools import pairwise
from operator import mul
from typing import Final, NamedTuple

from bergamotshunt.decisions.pace_forecasts import PaceForecast

# A change of the pace by this share begins a new turn.
MIN_CHANGE_SHARE: Final = 0.2
MIN_CHANGES: Final = 5
# Turns are learned anew after as many changes that do not fit.
MAX_UNFITTING_CHANGES: Final = 2
MAX_CHANGES: Final = 12
MIN_PHASE_MS: Final = 150.0
MAX_PHASE_MS: Final = 5000.0
FIT_TOLERANCE_MS: Final = 25.0
# One change that does not fit may have another reason.
MIN_FITTING_SHARE: Final = 0.75
MIN_EXACT_SHARE: Final = 0.5
# A change that was seen later than this tells little of its time.
MAX_UNCERTAINTY_MS: Final = 65.0
MIN_UNCERTAINTY_MS: Final = 5.0
# Short turns fit changes that are known less exactly by chance.
MAX_UNCERTAINTY_SHARE: Final = 0.1
MAX_PHASE_PACES: Final = 24
PRIOR_PHASES: Final = 6
PRIOR_SLOW_SHARE: Final = 0.35
SLOW_FACTOR: Final = 1.5
# Times between two observations of the pace.
UNKNOWN_PHASE_PROBE_MS: Final = 40.0
MID_PHASE_PROBE_MS: Final = 120.0
PHASE_START_PROBE_MS: Final = 20.0
PHASE_START_MS: Final = 45.0
PHASE_END_MS: Final = 20.0
PHASE_START_DELAY_MS: Final = 3.0


class PaceChange(NamedTuple):
    """A change of the pace, between two observations.

    Attributes:
        after_ms: Monotonic time of the last observation before it.
        seen_ms: Monotonic time of the first observation after it.
    """

    after_ms: float
    seen_ms: float

    @property
    def middle_ms(self) -> float:
        """Best guess of its time."""
        return (self.after_ms + self.seen_ms) / 2


class PhaseTiming(NamedTuple):
    """Turns of equal length.

    Attributes:
        length_ms: Length of a turn; 0 while unknown.
        start_ms: Monotonic time at which one of them began.
    """

    length_ms: float = 0
    start_ms: float = 0

    def left_ms(self, now_ms: float) -> float:
        """Return the time until the current turn ends."""
        if not self.length_ms:
            return 0
        return self.length_ms - (now_ms - self.start_ms) % self.length_ms


def fit_phases(changes: Sequence[PaceChange]) -> PhaseTiming:
    """Find the longest turns that fit the changes.

    Returns:
        The turns; of length 0 when none fit.
    """
    if len(changes) < MIN_CHANGES:
        return PhaseTiming()
    # Two changes are at least one turn apart.
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
    """Fit length and begin by least squares, from a rough length.

    The rough length is refined gap by gap first: over more turns, the same
    uncertainty of a change is a smaller share.
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
    """Fit the turns, with exact changes counting for more than others."""
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
    """Return whether a turn may have begun at a change."""
    if not phases.length_ms:
        return True
    since_ms = change.after_ms - FIT_TOLERANCE_MS
    span_ms = change.seen_ms + FIT_TOLERANCE_MS - since_ms
    return phases.left_ms(since_ms) <= span_ms


class PacePhaseEstimator:
    """Learns the turns of a server from what it tells of its pace.

    Attributes:
        turns: The turns that were found.
    """

    def __init__(self) -> None:
        """Create a rhythm that knows nothing."""
        self.phases = PhaseTiming()
        self._changes: deque[PaceChange] = deque(maxlen=MAX_CHANGES)
        self._phase_paces: deque[float] = deque(maxlen=MAX_PHASE_PACES)
        # The outlook but for its times, which is asked for far more often
        # than a turn ends.
        self._forecast_base = PaceForecast()
        self._unfitting_changes = 0
        self._pace: float = 1
        self._seen_ms: float = 0
        self._phase_end_ms: float = 0

    def record(self, pace: float, now_ms: float) -> None:
        """Note an observed pace."""
        if abs(pace - self._pace) > MIN_CHANGE_SHARE * self._pace:
            self._record_change(PaceChange(self._seen_ms, now_ms))
        self._pace = pace
        self._seen_ms = now_ms
        if self.phases.length_ms and now_ms >= self._phase_end_ms:
            self._phase_paces.append(pace)
            self._forecast_base = _forecast_without_times(self._phase_paces)
            self._phase_end_ms = now_ms + self.phases.left_ms(now_ms)

    def forecast(self, now_ms: float) -> PaceForecast:
        """Return how the pace may go on."""
        phases = self.phases
        if not phases.length_ms or not self._phase_paces:
            return PaceForecast()
        return self._forecast_base._replace(
            phase_left_ms=round(phases.left_ms(now_ms), 1),
            phase_ms=round(phases.length_ms, 1),
        )

    def probe_delay_ms(self, now_ms: float) -> float:
        """Return after which time the pace should be observed again.

        Around the begin of a turn the pace is observed more often, which
        tells the change early and its time exactly.
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
