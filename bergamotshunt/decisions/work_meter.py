"""Work that a backend server gets done, whatever its pace."""

from typing import Final

# Work of a request of which nothing is known yet.
ASSUMED_WORK_MS: Final = 60.0
MIN_PACE: Final = 0.2
# A server that has just started needs about twice as long.
COLD_FACTOR: Final = 2.0
COLD_FADE_MS: Final = 1500.0


def effective_pace(pace: float, cold_ms: float) -> float:
    """Return how long work takes now, with the slow start of a server.

    Args:
        pace: What the server tells; 1 is as usual, 2 twice as long.
        cold_ms: How much longer the server is slow after its start.
    """
    cold_share = min(cold_ms / COLD_FADE_MS, 1)
    return max(pace, MIN_PACE) * (1 + (COLD_FACTOR - 1) * cold_share)


class WorkMeter:
    """Work that a server gets done, at the usual pace.

    It runs slower than time while the server is slow.
    """

    def __init__(self) -> None:
        """Create a clock at zero."""
        self._pace: float = 1
        self._done_work_ms: float = 0
        self._updated_ms: float = 0

    def change_pace(self, pace: float, now_ms: float) -> None:
        """Go on at another pace."""
        self.read(now_ms)
        self._pace = max(pace, MIN_PACE)

    def read(self, now_ms: float) -> float:
        """Return the work that was done up to now."""
        self._done_work_ms += max(now_ms - self._updated_ms, 0) / self._pace
        self._updated_ms = now_ms
        return self._done_work_ms
