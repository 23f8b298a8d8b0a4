"""When the slots of a backend server are expected to be free."""

from collections.abc import Callable, Sequence
from heapq import heapreplace
from itertools import repeat
from typing import Final, NamedTuple

# A run that has taken as long as expected is assumed to need this share of
# the expected time again.
OVERRUN_SHARE: Final = 0.25


StartWait = Callable[[int], float]


def start_at_once(_ahead: int) -> float:
    """Return the wait for a start where starts are not limited."""
    return 0


class ServerState(NamedTuple):
    """The slots of a server and its speed at one point in time.

    Attributes:
        now_ms: Monotonic time.
        limit: Requests that may run at a time.
        typical_work_ms: Run time of a typical request at the baseline pace.
        slowdown: Expected run time per ms of work.
        start_wait_ms: Returns the time until a request may start at all, given
            the number of requests that start first.
    """

    now_ms: float
    limit: int
    typical_work_ms: float
    slowdown: float
    start_wait_ms: StartWait = start_at_once

    def run_ms(self, work_ms: float) -> float:
        """Return the expected run time; work of 0 is unknown."""
        return (work_ms or self.typical_work_ms) * self.slowdown


class RunningRequest(NamedTuple):
    """A request that holds a slot.

    Attributes:
        request_id: Its id, not necessarily unique.
        work_ms: Expected run time at the baseline pace; 0 when unknown.
        started_ms: Monotonic time of its start.
    """

    request_id: str
    work_ms: float
    started_ms: float


def free_times_ms(
    running: Sequence[RunningRequest], state: ServerState
) -> list[float]:
    """Return when each slot is expected to be free, in ms from now.

    Returns:
        The times in ascending order; at least one.
    """
    limit = max(state.limit, 1)
    left_ms = sorted(_run_left_ms(run, state) for run in running)
    now_free = max(limit - len(left_ms), 0)
    return [*repeat(0, now_free), *left_ms[-limit:]]


class SlotTimes:
    """When the next requests can start, while they are placed on the slots.

    Args:
        free_ms: When each slot is expected to be free; at least one.
        start_wait_ms: Returns the time until a request may start at all,
            given the number of requests that start first.
        started: Number of requests that were placed before.
    """

    def __init__(
        self,
        free_ms: Sequence[float],
        start_wait_ms: StartWait = start_at_once,
        started: int = 0,
    ) -> None:
        """Create the times of slots on which nothing was placed."""
        self._free_ms = sorted(free_ms)
        self._start_wait_ms = start_wait_ms
        self._started = started

    @property
    def next_ms(self) -> float:
        """When the next request can start, in ms from now."""
        return max(self._free_ms[0], self._start_wait_ms(self._started))

    def place(self, run_ms: float) -> float:
        """Place a request; return when it can start, in ms from now."""
        start_ms = self.next_ms
        heapreplace(self._free_ms, start_ms + run_ms)
        self._started += 1
        return start_ms

    def copy(self) -> 'SlotTimes':
        """Return times that can be changed on their own."""
        return SlotTimes(self._free_ms, self._start_wait_ms, self._started)


def _run_left_ms(run: RunningRequest, state: ServerState) -> float:
    run_ms = state.run_ms(run.work_ms)
    left_ms = run.started_ms + run_ms - state.now_ms
    return max(left_ms, run_ms * OVERRUN_SHARE)
