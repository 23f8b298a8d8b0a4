"""Faults and rate limits of the platform stand-in."""

from collections.abc import Callable
from typing import NamedTuple


class Faults(NamedTuple):
    """Faults in force.

    Attributes:
        down: ``closed`` (each connection is closed without a response),
            ``refused`` (the port is closed; needs a ``PlatformServer``),
            or empty.
        delay_ms: Time before each call is handled.
        lose_answers: Number of next writes that take effect and whose
            response is lost.
        down_after_loss: Value of ``down`` from the moment when a response is
            lost.
        stale: Reads answer from the data as of when this was set.
    """

    down: str = ''
    delay_ms: float = 0
    lose_answers: int = 0
    down_after_loss: str = ''
    stale: bool = False


class Limits(NamedTuple):
    """Calls in a second that the service accepts."""

    writes_per_s: int = 400
    reads_per_s: int = 2000


class RateWindow:
    """Counts calls in windows of one second."""

    def __init__(self, calls_per_s: int, clock: Callable[[], float]) -> None:
        """Create an empty window."""
        self.calls_per_s = calls_per_s
        self.clock = clock
        self.second = 0
        self.used = 0

    def admit(self) -> bool:
        """Count a call; tell whether it is within the limit."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.used = 0
        self.used += 1
        return self.used <= self.calls_per_s
