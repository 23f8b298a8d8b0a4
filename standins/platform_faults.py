"""Faults and rate limits of the platform stand-in."""

from collections.abc import Callable
from typing import NamedTuple


class PlatformFaults(NamedTuple):
    """Faults that are active.

    Attributes:
        down: ``closed`` (each connection closes without a response),
            ``refused`` (the port is closed; needs a ``PlatformServer``),
            or empty.
        delay_ms: Delay before each call is handled.
        lose_answers: Number of next writes that take effect and whose
            connection closes without a response.
        down_after_loss: Value of ``down`` after such a lost response; empty
            leaves ``down`` as it is.
        stale: Whether reads and watches use a snapshot of the data, taken
            when the fault was set.
    """

    down: str = ''
    delay_ms: float = 0
    lose_answers: int = 0
    down_after_loss: str = ''
    stale: bool = False


class Limits(NamedTuple):
    """Most calls per second that the service accepts."""

    writes_per_s: int = 400
    reads_per_s: int = 2000


class RateLimiter:
    """Limits the rate of calls in fixed windows of one second."""

    def __init__(self, calls_per_s: int, clock: Callable[[], float]) -> None:
        """Create a limiter whose clock gives seconds."""
        self.calls_per_s = calls_per_s
        self.clock = clock
        self.second = 0
        self.calls_in_second = 0

    def admit(self) -> bool:
        """Count a call and return whether it is within the limit."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.calls_in_second = 0
        self.calls_in_second += 1
        return self.calls_in_second <= self.calls_per_s
