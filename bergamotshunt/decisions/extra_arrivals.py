"""Budget of arrivals beyond the first of each request of a service.

All daemons share one bound on extra arrivals in any window. Each spends
only its own part of it, so no daemon has to ask another.
"""

from typing import Final, NamedTuple

# What the daemons spend together stays below the bound by this factor:
# daemons see the size of the fleet and its requests at different times.
SAFE_SHARE: Final = 0.5


class ExtraBound(NamedTuple):
    """Bound for the whole fleet.

    Attributes:
        ratio: Extra arrivals a request.
        slack: Extra arrivals in a window, beside the ratio.
        window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


class ExtraBudget:
    """Tokens of one daemon for one service.

    Args:
        bound: Bound for the whole fleet.
        now_s: Monotonic time.
    """

    def __init__(self, bound: ExtraBound, now_s: float) -> None:
        """Create a budget that starts empty, as after a restart."""
        self._bound = bound
        self._tokens: float = 0
        self._filled_s = now_s

    def note_request(self) -> None:
        """Earn the share of one first arrival."""
        self._tokens += self._bound.ratio * SAFE_SHARE

    def spend(self, now_s: float, daemons: int, cost: float = 1) -> bool:
        """Take the tokens for an extra arrival.

        Args:
            now_s: Monotonic time.
            daemons: Daemons that share the bound.
            cost: Arrivals that come with it.

        Returns:
            Whether the extra arrival is within the budget.
        """
        self._fill(now_s, max(daemons, 1))
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def _fill(self, now_s: float, daemons: int) -> None:
        share = self._bound.slack * SAFE_SHARE / daemons
        passed_s = max(now_s - self._filled_s, 0)
        self._filled_s = now_s
        # Half of the slack may come at once, the other half over the window.
        self._tokens += share / 2 * passed_s / self._bound.window_s
        self._tokens = min(self._tokens, max(share / 2, 1))
