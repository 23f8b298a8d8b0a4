"""Whether a request should wait for a slot of a backend server."""

from typing import Final, NamedTuple

# Reserved for the transfer of the response to the client.
RETURN_MS: Final = 5.0
# Requests differ, and the server may become slow: if a wait left only the
# typical run time, half of the responses would be late.
LONG_RUN_FACTOR: Final = 1.2


class TimeLeft(NamedTuple):
    """Time left for a request.

    Attributes:
        objective_ms: Time until its latency objective is missed.
        deadline_ms: Time until its deadline, when the client gives up.
    """

    objective_ms: float
    deadline_ms: float


def is_wait_worthwhile(wait_ms: float, run_ms: float, left: TimeLeft) -> bool:
    """Return whether a request should wait for a slot.

    Under overload, slots go to requests that meet their latency objective.
    A request that would miss it by waiting is refused at once, while its
    sender can still use another server. A request that misses its objective
    even without waiting may wait behind the others, as long as it can meet
    its deadline.

    Args:
        wait_ms: Expected time until it gets a slot.
        run_ms: Expected time on the server.
        left: Time left for the request.
    """
    if not wait_ms:
        return True
    needed_ms = wait_ms + run_ms * LONG_RUN_FACTOR + RETURN_MS
    if is_objective_missed(run_ms, left):
        return needed_ms <= left.deadline_ms
    return needed_ms <= left.objective_ms


def is_objective_missed(run_ms: float, left: TimeLeft) -> bool:
    """Return whether a request misses its objective even without waiting."""
    return run_ms + RETURN_MS > left.objective_ms
