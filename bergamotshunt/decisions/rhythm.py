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

from bergamotshunt.decisions.outlooks import Outlook

# A change of the pace by this share begins a new turn.
CHANGE_SHARE: Final = 0.2
MIN_CHANGES: Final = 5
# Turns are learned anew after as many changes that do not fit.
MAX_MISSES: Final = 2
MAX_CHANGES: Final = 12
MIN_TURN_MS: Final = 150.0
MAX_TURN_MS: Final = 5000.0
TOLERANCE_MS: Final = 25.0
# One change that does not fit may have another reason.
FITTING_SHARE: Final = 0.75
EXACT_SHARE: Final = 0.5
# A change that was seen later than this tells little of its time.
MAX_DOUBT_MS: Final = 65.0
MIN_DOUBT_MS: Final = 5.0
# Short turns fit changes that are known less exactly by chance.
MAX_DOUBT_SHARE: Final = 0.1
LEVELS_MEMORY: Final = 24
PRIOR_TURNS: Final = 6
PRIOR_SLOW_SHARE: Final = 0.35
SLOW_FACTOR: Final = 1.5
# Times between two observations of the pace.
BLIND_LOOK_MS: Final = 40.0
USUAL_LOOK_MS: Final = 120.0
BEGIN_LOOK_MS: Final = 20.0
BEGIN_MS: Final = 45.0
END_MS: Final = 20.0
BEGIN_DELAY_MS: Final = 3.0


class Change(NamedTuple):
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


class Turns(NamedTuple):
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


def find_turns(changes: Sequence[Change]) -> Turns:
    """Find the longest turns that fit the changes.

    Returns:
        The turns; of length 0 when none fit.
    """
    if len(changes) < MIN_CHANGES:
        return Turns()
    # Two changes are at least one turn apart.
    gap_ms = min(
        following.middle_ms - change.middle_ms
        for change, following in pairwise(changes)
    )
    for parts in (1, 2, 3):
        turns = _fit(changes, gap_ms / parts)
        if turns.length_ms:
            return turns
    return Turns()


def _fit(changes: Sequence[Change], length_ms: float) -> Turns:
    if not MIN_TURN_MS <= length_ms <= MAX_TURN_MS:
        return Turns()
    turns = _refine(changes, length_ms)
    fitting = sum(_is_fitting(change, turns) for change in changes)
    exact = sum(_is_exact(change, turns) for change in changes)
    if fitting < FITTING_SHARE * len(changes):
        return Turns()
    return turns if exact >= EXACT_SHARE * len(changes) else Turns()


def _refine(changes: Sequence[Change], length_ms: float) -> Turns:
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


def _fit_line(changes: Sequence[Change], counts: Sequence[int]) -> Turns:
    """Fit the turns, with exact changes counting for more than others."""
    weights = [(_doubt_ms(change) + MIN_DOUBT_MS) ** -2 for change in changes]
    total = sum(weights)
    mean_count = sum(map(mul, weights, counts)) / total
    times_ms = [change.middle_ms for change in changes]
    mean_ms = sum(map(mul, weights, times_ms)) / total
    steps = [count - mean_count for count in counts]
    weighted_steps = list(map(mul, weights, steps))
    moved_ms = [time_ms - mean_ms for time_ms in times_ms]
    spread = sum(map(mul, weighted_steps, steps))
    length_ms = sum(map(mul, weighted_steps, moved_ms)) / spread
    return Turns(length_ms, mean_ms + length_ms * steps[-1])


def _is_fitting(change: Change, turns: Turns) -> bool:
    passed_ms = (change.middle_ms - turns.start_ms) % turns.length_ms
    off_ms = min(passed_ms, turns.length_ms - passed_ms)
    return off_ms <= TOLERANCE_MS + _doubt_ms(change)


def _is_exact(change: Change, turns: Turns) -> bool:
    return _doubt_ms(change) <= turns.length_ms * MAX_DOUBT_SHARE


def _doubt_ms(change: Change) -> float:
    return (change.seen_ms - change.after_ms) / 2


def _usual_outlook(levels: Collection[float]) -> Outlook:
    low = min(levels)
    slow = [level for level in levels if level > low * SLOW_FACTOR]
    prior = PRIOR_TURNS * PRIOR_SLOW_SHARE
    share = (len(slow) + prior) / (len(levels) + PRIOR_TURNS)
    return Outlook(
        slow_share=round(share, 2),
        low=low,
        high=max(slow, default=low),
    )


def _has_begin(turns: Turns, change: Change) -> bool:
    """Return whether a turn may have begun at a change."""
    if not turns.length_ms:
        return True
    since_ms = change.after_ms - TOLERANCE_MS
    span_ms = change.seen_ms + TOLERANCE_MS - since_ms
    return turns.left_ms(since_ms) <= span_ms


class PaceRhythm:
    """Learns the turns of a server from what it tells of its pace.

    Attributes:
        turns: The turns that were found.
    """

    def __init__(self) -> None:
        """Create a rhythm that knows nothing."""
        self.turns = Turns()
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._levels: deque[float] = deque(maxlen=LEVELS_MEMORY)
        # The outlook but for its times, which is asked for far more often
        # than a turn ends.
        self._usual = Outlook()
        self._misses = 0
        self._pace: float = 1
        self._seen_ms: float = 0
        self._levels_until_ms: float = 0

    def note(self, pace: float, now_ms: float) -> None:
        """Note an observed pace."""
        if abs(pace - self._pace) > CHANGE_SHARE * self._pace:
            self._note_change(Change(self._seen_ms, now_ms))
        self._pace = pace
        self._seen_ms = now_ms
        if self.turns.length_ms and now_ms >= self._levels_until_ms:
            self._levels.append(pace)
            self._usual = _usual_outlook(self._levels)
            self._levels_until_ms = now_ms + self.turns.left_ms(now_ms)

    def outlook(self, now_ms: float) -> Outlook:
        """Return how the pace may go on."""
        turns = self.turns
        if not turns.length_ms or not self._levels:
            return Outlook()
        return self._usual._replace(
            hold_ms=round(turns.left_ms(now_ms), 1),
            turn_ms=round(turns.length_ms, 1),
        )

    def look_again_ms(self, now_ms: float) -> float:
        """Return after which time the pace should be observed again.

        Around the begin of a turn the pace is observed more often, which
        tells the change early and its time exactly.
        """
        turns = self.turns
        if not turns.length_ms:
            return BLIND_LOOK_MS
        left_ms = turns.left_ms(now_ms)
        if turns.length_ms - left_ms < BEGIN_MS:
            return BEGIN_LOOK_MS
        if left_ms <= END_MS:
            return left_ms + BEGIN_DELAY_MS
        return min(left_ms - END_MS / 2, USUAL_LOOK_MS)

    def _note_change(self, change: Change) -> None:
        self._misses = 0 if _has_begin(self.turns, change) else self._misses + 1
        if self._misses >= MAX_MISSES:
            self._changes.clear()
            self._misses = 0
            self.turns = Turns()
        if _doubt_ms(change) <= MAX_DOUBT_MS:
            self._changes.append(change)
            self.turns = find_turns(tuple(self._changes))
