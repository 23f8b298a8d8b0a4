"""Slots of a backend server and the requests that wait for one."""

from asyncio import CancelledError, Future, TimerHandle, get_running_loop
from collections.abc import Callable, Iterable
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.backend.start_gates import StartGate, create_open_gate
from bergamotshunt.decisions.admission_order import AdmissionOrder
from bergamotshunt.decisions.server_slots import (
    RunningRequest,
    ServerState,
)
from bergamotshunt.decisions.slot_candidates import WaitingRequest
from bergamotshunt.decisions.slot_refusals import (
    EXPIRED_PERMIT_REASON,
    RefusedRequest,
)
from bergamotshunt.peers.peer_calls import PeerCall

MS_PER_S: Final = 1000
# Bounds how often the queue looks for requests that can't be served in time.
MIN_CHECK_INTERVAL_MS: Final = 1.0
# Shortest timer for the next start; a shorter one may fire too early.
MIN_START_TIMER_S: Final = 0.001


class Refusal(NamedTuple):
    """Why a request is not run on this server.

    Attributes:
        reason: Stable reason code.
        retry_after_ms: Time until a slot is expected to be free, in
            milliseconds; 0 when unknown.
        wait_ms: Expected wait that decided, in milliseconds; None when the
            wait did not decide or the request had no place in the queue.
    """

    reason: str
    retry_after_ms: float = 0
    wait_ms: float | None = None


class RefusedError(Exception):
    """A request is not run on this server.

    Attributes:
        refusal: The reason.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Create the error."""
        super().__init__(refusal.reason)
        self.refusal = refusal


class SlotQueue:
    """Grants slots to requests in the order of ``AdmissionOrder``.

    Args:
        now_ms: Returns the monotonic time in milliseconds.
        server_state: Returns the speed of the server, for a slot limit.
        on_change: Called when a request starts, waits or ends.
        gate: Delays starts beyond the wait for a slot; open by default.

    Attributes:
        limit: Requests that may be in flight at a time.
    """

    def __init__(
        self,
        now_ms: Callable[[], float],
        server_state: Callable[[int], ServerState],
        on_change: Callable[[], None],
        gate: StartGate | None = None,
    ) -> None:
        """Create a queue without slots."""
        self.limit = 0
        self._now_ms = now_ms
        self._server_state = server_state
        self._on_change = on_change
        self._order = AdmissionOrder()
        self._waiters_by_number: dict[int, Future[None]] = {}
        self._calls_by_number: dict[int, PeerCall] = {}
        self._last_number = 0
        self._check_timer: TimerHandle | None = None
        self._gate = gate or create_open_gate()
        self._start_timer: TimerHandle | None = None

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return len(self._order.running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._order)

    async def acquire(self, call: PeerCall) -> None:
        """Wait for a slot.

        Raises:
            RefusedError: The expected wait is too long, or the request
                was displaced, has expired or is no longer accepted.
        """
        if call.permit_left_ms is not None and call.permit_left_ms <= 0:
            raise RefusedError(Refusal(EXPIRED_PERMIT_REASON))
        if self._has_room():
            self._start(call)
            return
        await self._wait(call)

    def release(self, call: PeerCall | None = None) -> None:
        """Return a slot.

        Args:
            call: The request that held it; None for the oldest one.
        """
        self._order.end(call.request_id if call else '')
        self._on_change()
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant free slots to waiting requests that may start."""
        while self.running < self.limit and self.waiting:
            gate_wait_ms = self._gate.wait_ms(0)
            if gate_wait_ms:
                self._grant_later(gate_wait_ms)
                break
            turn = self._order.take(self._state())
            self._refuse(turn.refused)
            if turn.request is None:
                break
            self._grant(turn.request.number)
        self._schedule_check()

    def refuse_all(self, reason: str) -> None:
        """Refuse all waiting requests."""
        self._refuse(self._order.refuse_all(reason))
        self._schedule_check()

    def _has_room(self) -> bool:
        """Return whether a request may start without a decision."""
        if self.running >= self.limit or self.waiting or self._gate.wait_ms(0):
            return False
        return not self._order.is_contended(self._now_ms())

    def _state(self) -> ServerState:
        return self._server_state(self.limit)._replace(
            start_wait_ms=self._gate.wait_ms
        )

    def _grant_later(self, wait_ms: float) -> None:
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = get_running_loop().call_later(
            max(wait_ms / MS_PER_S, MIN_START_TIMER_S),
            self._grant_after_timer,
        )

    def _grant_after_timer(self) -> None:
        self._start_timer = None
        self.grant_free_slots()

    async def _wait(self, call: PeerCall) -> None:
        request = self._create_request(call)
        number = request.number
        waiter: Future[None] = get_running_loop().create_future()
        self._waiters_by_number[number] = waiter
        self._calls_by_number[number] = call
        try:
            self._refuse(self._order.add(request, self._state()))
            self._on_change()
            self.grant_free_slots()
            await waiter
        except CancelledError:
            self._cancel_wait(number, waiter)
            raise
        finally:
            self._waiters_by_number.pop(number)
            self._calls_by_number.pop(number)

    def _create_request(self, call: PeerCall) -> WaitingRequest:
        self._last_number += 1
        now_ms = self._now_ms()
        permit_left_ms = inf
        if call.permit_left_ms is not None:
            permit_left_ms = call.permit_left_ms
        return WaitingRequest(
            number=self._last_number,
            priority=call.priority,
            objective_ms=now_ms + call.objective_left_ms,
            deadline_ms=now_ms + call.left_ms,
            depth=call.depth,
            account=call.account,
            work_ms=call.work_ms,
            permit_ms=now_ms + permit_left_ms,
        )

    def _cancel_wait(self, number: int, waiter: 'Future[None]') -> None:
        """Leave the queue, or return a slot granted at the same moment."""
        if self._order.remove(number) or waiter.cancelled():
            return
        if waiter.done() and waiter.exception() is None:
            self.release(self._calls_by_number[number])

    def _start(self, call: PeerCall) -> None:
        self._gate.record_start()
        self._order.running.append(
            RunningRequest(call.request_id, call.work_ms, self._now_ms())
        )
        self._on_change()

    def _grant(self, number: int) -> None:
        waiter = self._waiters_by_number.get(number)
        if waiter is not None and not waiter.done():
            self._start(self._calls_by_number[number])
            waiter.set_result(None)

    def _refuse(self, refused: Iterable[RefusedRequest]) -> None:
        for request, reason, wait_ms, retry_after_ms in refused:
            waiter = self._waiters_by_number.get(request.number)
            if waiter is not None and not waiter.done():
                decisive_wait_ms = None if wait_ms == inf else wait_ms
                refusal = Refusal(reason, retry_after_ms, decisive_wait_ms)
                waiter.set_exception(RefusedError(refusal))

    # Requests that can no longer be served

    def _schedule_check(self) -> None:
        """Schedule the next look for requests that can't be served in time."""
        if self._check_timer is not None:
            self._check_timer.cancel()
            self._check_timer = None
        if self.waiting:
            next_ms = self._order.next_check_ms(self._state())
            delay_ms = max(next_ms - self._now_ms(), MIN_CHECK_INTERVAL_MS)
            self._check_timer = get_running_loop().call_later(
                delay_ms / MS_PER_S, self._refuse_late
            )

    def _refuse_late(self) -> None:
        self._check_timer = None
        self._refuse(self._order.refuse_late(self._state()))
        self._on_change()
        self.grant_free_slots()
