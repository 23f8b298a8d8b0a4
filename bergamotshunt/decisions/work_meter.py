"""Measures the work that a backend server can do under a changing pace.

Work is given in ms of run time at the baseline pace, 1.
"""

from typing import Final

# Work of a request while nothing is known about its route.
ASSUMED_WORK_MS: Final = 60.0
MIN_PACE: Final = 0.2
# A server that has just started needs about twice as long for its work. The
# factor decreases to 1 over the last part of this warm-up.
COLD_FACTOR: Final = 2.0
COLD_FADE_MS: Final = 1500.0


def effective_pace(pace: float, cold_ms: float) -> float:
    """Return the pace including the slowdown while a server warms up.

    A server that tells its pace includes the slowdown in it. It is only added
    to a pace that is not known yet, or not told.

    Args:
        pace: Pace that the server reports, 1 if it has reported none; at 2,
            work takes twice as long as at the baseline pace, 1.
        cold_ms: Time until the server has warmed up after its start.
    """
    if not cold_ms:
        return max(pace, MIN_PACE)
    cold_share = min(cold_ms / COLD_FADE_MS, 1)
    return max(pace, MIN_PACE, 1 + (COLD_FACTOR - 1) * cold_share)


class WorkMeter:
    """Integrates the work that a server can do for one request over time.

    It advances slower than time while the server is slow.
    """

    def __init__(self) -> None:
        """Create a meter at zero."""
        self._pace: float = 1
        self._done_work_ms: float = 0
        self._updated_ms: float = 0

    def change_pace(self, pace: float, now_ms: float) -> None:
        """Continue at another pace from ``now_ms`` on."""
        self.read(now_ms)
        self._pace = max(pace, MIN_PACE)

    def read(self, now_ms: float) -> float:
        """Return the work up to ``now_ms``, in ms at pace 1."""
        self._done_work_ms += max(now_ms - self._updated_ms, 0) / self._pace
        self._updated_ms = now_ms
        return self._done_work_ms
