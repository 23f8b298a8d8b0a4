"""Whether a request should wait for a slot of a backend server."""

from typing import Final, NamedTuple

# Kept for the way back to the client.
RETURN_MS: Final = 5.0
# Requests differ, and their server may turn slow: a wait that leaves just
# the usual time of a run ends late for half of them.
LONG_RUN_FACTOR: Final = 1.2


class TimeLeft(NamedTuple):
    """Time that a request has.

    Attributes:
        goal_ms: Until a response is worth less.
        final_ms: Until a response is worth nothing.
    """

    objective_ms: float
    deadline_ms: float


def is_wait_worthwhile(wait_ms: float, run_ms: float, left: TimeLeft) -> bool:
    """Return whether a request should wait for a slot.

    Under overload a slot goes to a request that is answered within its
    goal: one that would miss it by waiting is refused at once, while its
    sender can still go elsewhere. One that misses its goal anyway may
    wait, behind the others, as long as it can be answered at all.

    Args:
        wait_ms: Expected time until it gets a slot.
        run_ms: Expected time on the server.
        left: Time that it has.
    """
    if not wait_ms:
        return True
    needed_ms = wait_ms + run_ms * LONG_RUN_FACTOR + RETURN_MS
    if is_objective_missed(run_ms, left):
        return needed_ms <= left.deadline_ms
    return needed_ms <= left.objective_ms


def is_objective_missed(run_ms: float, left: TimeLeft) -> bool:
    """Return whether a request misses its goal even without waiting."""
    return run_ms + RETURN_MS > left.objective_ms
