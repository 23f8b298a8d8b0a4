"""Budget of arrivals beyond the first of each request of a service.

All daemons share one bound on extra arrivals in any window. Each spends
only its own part of it, so no daemon has to ask another.
"""

from collections import deque
from typing import Final, NamedTuple

# What the daemons spend together stays below the bound by this factor:
# daemons see the size of the fleet and its requests at different times.
SPENDABLE_SHARE: Final = 0.5
# The slack grows over this many windows after the start, as the process
# before a restart may have spent it.
SLACK_RAMP_WINDOWS: Final = 2
SLICES_PER_WINDOW: Final = 20


class ExtraAttemptBound(NamedTuple):
    """Bound for the whole fleet.

    Attributes:
        ratio: Extra arrivals a request.
        slack: Extra arrivals in a window, beside the ratio.
        window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


class SlidingSum:
    """Sum of what happened in the last slices of time.

    Args:
        slice_s: Length of a slice.
    """

    def __init__(self, slice_s: float) -> None:
        """Create a count of nothing."""
        self._slice_s = slice_s
        self._amounts: deque[tuple[int, float]] = deque()

    def add(self, now_s: float, amount: float) -> None:
        """Count an amount now; a negative one takes it back."""
        slice_number = int(now_s / self._slice_s)
        if self._amounts and self._amounts[-1][0] == slice_number:
            amount += self._amounts.pop()[1]
        self._amounts.append((slice_number, amount))

    def total(self, now_s: float, slices: int) -> float:
        """Return the sum of the last slices, with the one of now."""
        oldest = int(now_s / self._slice_s) - slices
        while self._amounts and self._amounts[0][0] <= oldest:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts)


class ExtraAttemptBudget:
    """Part of one daemon of the extra arrivals at one service.

    Args:
        bound: Bound for the whole fleet.
        now_s: Monotonic time.
    """

    def __init__(self, bound: ExtraAttemptBound, now_s: float) -> None:
        """Create a budget without slack, as after a restart."""
        self._bound = bound
        self._started_s = now_s
        self._max_daemons = 1
        slice_s = bound.window_s / SLICES_PER_WINDOW
        self._requests = SlidingSum(slice_s)
        self._extra = SlidingSum(slice_s)

    def record_request(self, now_s: float) -> None:
        """Note the first arrival of a request."""
        self._requests.add(now_s, 1)

    def allows(self, now_s: float, daemons: int, cost: float = 1) -> bool:
        """Return whether extra arrivals are within the budget.

        Args:
            now_s: Monotonic time.
            daemons: Daemons that share the bound.
            cost: Extra arrivals.
        """
        self._max_daemons = max(self._max_daemons, daemons)
        bound = self._bound
        ramp = (now_s - self._started_s) / (bound.window_s * SLACK_RAMP_WINDOWS)
        slack = bound.slack / self._max_daemons * min(ramp, 1)
        # A slice more than the window of extra arrivals, and less of
        # requests, as slices don't begin with the window.
        requests = self._requests.total(now_s, SLICES_PER_WINDOW)
        spent = self._extra.total(now_s, SLICES_PER_WINDOW + 1)
        return spent + cost <= SPENDABLE_SHARE * (
            bound.ratio * requests + slack
        )

    def record_extra(self, now_s: float, cost: float = 1) -> None:
        """Note extra arrivals; a negative cost is one that never arrived."""
        self._extra.add(now_s, cost)
