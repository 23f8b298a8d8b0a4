"""Slots of a backend server, and the requests that wait for one."""

from asyncio import CancelledError, Future, get_running_loop
from collections.abc import Callable
from typing import Final, NamedTuple

from bergamotshunt.decisions.queueing import (
    ServerThroughput,
    SlotRequestQueue,
    SlotRequest,
    expected_wait_ms,
)
from bergamotshunt.decisions.slot_waits import (
    TimeLeft,
    is_objective_missed,
    is_wait_worthwhile,
)
from bergamotshunt.peers.peer_calls import PeerCall

MAX_WAITING: Final = 64
MAX_WEIGHT: Final = 100
# Behind the others of its rank, before those of the next one.
LOST_GOAL_WEIGHT: Final = 0.5


class Refusal(NamedTuple):
    """Why a request does not run here.

    Attributes:
        reason: Short stable word for logs.
        again_ms: When a slot is expected to be free; 0 when unknown.
    """

    reason: str
    again_ms: float = 0


class RefusedError(Exception):
    """A request does not run here.

    Attributes:
        refusal: Why not.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Create the error."""
        super().__init__(refusal.reason)
        self.refusal = refusal


class SlotTurns:
    """Gives slots to requests in the order of their urgency.

    Args:
        now_ms: Returns the monotonic time.
        work_ms: Returns the expected time of a request on the server.
        note_change: Called when a request starts, waits or ends.

    Attributes:
        limit: Requests that may run at a time.
        running: Requests that run.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        work_ms: Callable[[], float],
        note_change: Callable[[], None],
    ) -> None:
        """Create turns without a slot."""
        self.limit = 0
        self.running = 0
        self._now_ms = now_ms
        self._work_ms = work_ms
        self._note_change = note_change
        self._queue = SlotRequestQueue(MAX_WAITING)
        self._turns_by_id: dict[int, Future[None]] = {}
        self._next_id = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    async def take(self, call: PeerCall) -> None:
        """Wait for a slot.

        Raises:
            RefusedError: The request would wait too long, or the server
                takes no more requests.
        """
        if self.running < self.limit and not self.waiting:
            self._count(1)
            return
        work = self._create_work(call)
        run_ms = self._work_ms()
        ahead = self._queue.count_ahead(work)
        wait_ms = expected_wait_ms(
            ahead,
            ServerThroughput(self.running, self.limit, run_ms),
        )
        left = TimeLeft(call.goal_ms, call.left_ms)
        if ahead >= MAX_WAITING or not is_wait_worthwhile(
            wait_ms, run_ms, left
        ):
            raise RefusedError(Refusal('wait-too-long', wait_ms))
        await self._wait(work)

    def free(self) -> None:
        """Give back a slot."""
        self._count(-1)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Give free slots to waiting requests."""
        while self.running < self.limit:
            work = self._queue.pop()
            if work is None:
                return
            self._start(work)

    def refuse_all(self, reason: str) -> None:
        """End the wait of all requests."""
        work = self._queue.pop()
        while work is not None:
            self._end_wait(work, reason)
            work = self._queue.pop()

    def _create_work(self, call: PeerCall) -> SlotRequest:
        self._next_id += 1
        left = TimeLeft(call.goal_ms, call.left_ms)
        weight: float = MAX_WEIGHT - call.rank
        if is_objective_missed(self._work_ms(), left):
            weight -= LOST_GOAL_WEIGHT
        return SlotRequest(
            arrival_number=self._next_id,
            deadline_ms=self._now_ms() + call.left_ms,
            weight=weight,
            depth=call.depth,
        )

    async def _wait(self, work: SlotRequest) -> None:
        turn: Future[None] = get_running_loop().create_future()
        self._turns_by_id[work.arrival_number] = turn
        displaced = self._queue.add(work)
        if displaced is not None:
            self._end_wait(displaced, 'displaced')
        self._note_change()
        try:
            await turn
        except CancelledError:
            self._leave(work, turn)
            raise
        finally:
            self._turns_by_id.pop(work.arrival_number, None)

    def _leave(self, work: SlotRequest, turn: 'Future[None]') -> None:
        """Give up the wait, or the slot that was given at this moment."""
        if self._queue.remove(work) or turn.cancelled():
            return
        if turn.done() and turn.exception() is None:
            self.free()

    def _start(self, work: SlotRequest) -> None:
        if work.deadline_ms - self._now_ms() < self._work_ms() / 2:
            self._end_wait(work, 'expired')
            return
        turn = self._turns_by_id.get(work.arrival_number)
        if turn is not None and not turn.done():
            self._count(1)
            turn.set_result(None)

    def _end_wait(self, work: SlotRequest, reason: str) -> None:
        turn = self._turns_by_id.get(work.arrival_number)
        if turn is not None and not turn.done():
            turn.set_exception(RefusedError(Refusal(reason)))

    def _count(self, change: int) -> None:
        self.running += change
        self._note_change()
