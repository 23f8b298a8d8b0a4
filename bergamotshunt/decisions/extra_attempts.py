"""Budget of extra attempts: retries and hedges of requests to a service.

One bound on the extra attempts in any time window applies to all daemons
together. Each spends only its own part, so that they need no coordination.
"""

from collections import deque
from typing import Final, NamedTuple

# Share of the bound that all daemons together may spend. The rest is a margin:
# daemons see the size of the fleet and its requests at different times.
SPENDABLE_SHARE: Final = 0.5
# Number of windows over which the slack grows after the start of a daemon,
# because the process before a restart may have spent it.
SLACK_RAMP_WINDOWS: Final = 2
SLICES_PER_WINDOW: Final = 20


class ExtraAttemptBound(NamedTuple):
    """Bound for the whole fleet.

    Attributes:
        ratio: Extra attempts per request.
        slack: Extra attempts per window in addition to the ratio.
        window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


class SlidingSum:
    """Sum of amounts over the last time slices.

    Args:
        slice_s: Length of a slice.
    """

    def __init__(self, slice_s: float) -> None:
        """Create an empty sum."""
        self._slice_s = slice_s
        self._amounts: deque[tuple[int, float]] = deque()

    def add(self, now_s: float, amount: float) -> None:
        """Add an amount to the current slice; it may be negative."""
        slice_number = int(now_s / self._slice_s)
        if self._amounts and self._amounts[-1][0] == slice_number:
            amount += self._amounts.pop()[1]
        self._amounts.append((slice_number, amount))

    def total(self, now_s: float, slices: int) -> float:
        """Return the sum of the last slices, including the current one."""
        oldest = int(now_s / self._slice_s) - slices
        while self._amounts and self._amounts[0][0] <= oldest:
            self._amounts.popleft()
        return sum(amount for _, amount in self._amounts)


class ExtraAttemptBudget:
    """One daemon's part of the extra attempts at one service.

    Args:
        bound: Bound for the whole fleet.
        now_s: Monotonic time.
    """

    def __init__(self, bound: ExtraAttemptBound, now_s: float) -> None:
        """Create a budget whose slack is still zero, as after a restart."""
        self._bound = bound
        self._started_s = now_s
        self._max_daemons = 1
        slice_s = bound.window_s / SLICES_PER_WINDOW
        self._requests = SlidingSum(slice_s)
        self._extra = SlidingSum(slice_s)

    def record_request(self, now_s: float) -> None:
        """Record the first attempt of a request."""
        self._requests.add(now_s, 1)

    def allows(self, now_s: float, daemons: int, cost: float = 1) -> bool:
        """Return whether extra attempts are within the budget.

        Args:
            now_s: Monotonic time.
            daemons: Number of daemons that share the bound.
            cost: Number of extra attempts.
        """
        # The slack is divided by the largest fleet seen, so that a daemon that
        # sees few others for a while does not spend their parts.
        self._max_daemons = max(self._max_daemons, daemons)
        bound = self._bound
        ramp = (now_s - self._started_s) / (bound.window_s * SLACK_RAMP_WINDOWS)
        slack = bound.slack / self._max_daemons * min(ramp, 1)
        # Slices do not start with the window. To stay on the safe side, extra
        # attempts are counted over one slice more than the window, and
        # requests over at most the window.
        requests = self._requests.total(now_s, SLICES_PER_WINDOW)
        spent = self._extra.total(now_s, SLICES_PER_WINDOW + 1)
        return spent + cost <= SPENDABLE_SHARE * (
            bound.ratio * requests + slack
        )

    def record_extra(self, now_s: float, cost: float = 1) -> None:
        """Record extra attempts; a negative cost returns unused ones."""
        self._extra.add(now_s, cost)
