"""Gates that delay the start of requests that hold or wait for a slot."""

from collections.abc import Callable
from typing import NamedTuple


class StartGate(NamedTuple):
    """Functions that a slot queue asks before it starts a request.

    Attributes:
        wait_ms: Returns the expected time until a request may start, given
            the number of requests that start first; 0 for at once.
        record_start: Called when a request starts.
    """

    wait_ms: Callable[[int], float]
    record_start: Callable[[], None]


def create_open_gate() -> StartGate:
    """Create a gate that delays nothing."""
    return StartGate(lambda _ahead: 0, lambda: None)
