"""Admission control: concurrency limit, wait queue, requests in flight."""

from asyncio import CancelledError, Future, get_running_loop, timeout
from collections.abc import Callable
from http import HTTPStatus
from itertools import count

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.decisions.concurrency_limits import (
    LIMITERS,
    LimitState,
    Sample,
)
from bergamotshunt.decisions.queueing import (
    SlotRequest,
    SlotRequestQueue,
    SlotUsage,
    expected_wait_ms,
    latest_slot_ms,
)
from bergamotshunt.settings import Settings
from bergamotshunt.verdicts import CallFailure, create_refusal

MS_PER_S = 1000
US_PER_MS = 1000
# Gives a few requests time to end before a refused sender retries.
MIN_RETRY_AFTER_MS = 100


class Slot:
    """Permission for one request to run on the backend server.

    Attributes:
        started_ms: Monotonic time at which the slot was granted, in
            milliseconds.
        in_flight: Requests in flight at that time, including this one.
    """

    def __init__(self, started_ms: float, in_flight: int) -> None:
        """Create a slot in use."""
        self.started_ms = started_ms
        self.in_flight = in_flight


class Admission:
    """Grants slots of the backend server to requests.

    Owned by the guard task; not shared with other tasks.

    Args:
        settings: Settings of the daemon.
        now_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        now_ms: Callable[[], float],
    ) -> None:
        """Create an idle admission with the configured limit."""
        server = settings.backend_server
        self.now_ms = now_ms
        self.update_limit = LIMITERS.get(settings.calls.limiter)
        self.limit_state = LimitState(server.slots, server.connections)
        self.in_flight = 0
        # At most half of the open requests may wait. The other half leaves
        # room for a request of higher priority to arrive and displace one.
        self.queue = SlotRequestQueue(max(1, settings.calls.max_in_flight // 2))
        self._grants_by_arrival_number: dict[int, Future[bool]] = {}
        self._arrival_numbers = count()

    def slot_usage(self) -> SlotUsage:
        """Return requests in flight, current limit and typical latency."""
        return SlotUsage(
            self.in_flight,
            int(self.limit_state.limit),
            self.limit_state.latency_ms,
        )

    def load_report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            self.in_flight,
            int(self.limit_state.limit),
            len(self.queue),
            int(self.limit_state.latency_ms * US_PER_MS),
        )

    async def acquire(self, request: SlotRequest) -> Result[Slot, CallFailure]:
        """Wait for a slot while the deadline can still be met.

        Returns:
            The slot, or the refusal of a request that is shed.
        """
        numbered_request = request._replace(
            arrival_number=next(self._arrival_numbers)
        )
        now_ms = self.now_ms()
        slot_usage = self.slot_usage()
        reason = self.queue.refusal_reason(numbered_request, now_ms, slot_usage)
        if reason:
            return Failure(self._create_shed_failure(reason))
        if self.in_flight < slot_usage.limit and not len(self.queue):
            return Success(self._grant_slot())
        return await self._wait(numbered_request, now_ms)

    def release(self, slot: Slot) -> None:
        """Return a slot without updating the limit."""
        self.in_flight -= 1
        self._grant_free_slots()

    def finish(self, slot: Slot, target_name: str, *, overloaded: bool) -> None:
        """Return a slot and update the limit with the latency of the request.

        Args:
            slot: The slot.
            target_name: Name of the target of the request.
            overloaded: Whether the request failed because of overload.
        """
        now_ms = self.now_ms()
        sample = Sample(
            now_ms,
            now_ms - slot.started_ms,
            slot.in_flight,
            target_name,
            overloaded,
        )
        self.limit_state = self.update_limit(self.limit_state, sample)
        self.release(slot)

    async def _wait(
        self,
        request: SlotRequest,
        now_ms: float,
    ) -> Result[Slot, CallFailure]:
        grant: Future[bool] = get_running_loop().create_future()
        self._grants_by_arrival_number[request.arrival_number] = grant
        displaced = self.queue.add(request)
        if displaced is not None:
            self._resolve_grant(displaced, is_granted=False)
        latest_ms = latest_slot_ms(request, now_ms, self.limit_state.latency_ms)
        try:
            async with timeout((latest_ms - now_ms) / MS_PER_S):
                is_granted = await grant
        except TimeoutError:
            self._cancel_wait(request, grant)
            return Failure(self._create_shed_failure('wait-too-long'))
        except CancelledError:
            self._cancel_wait(request, grant)
            raise
        finally:
            self._grants_by_arrival_number.pop(request.arrival_number)
        if not is_granted:
            return Failure(self._create_shed_failure('displaced'))
        return self._start_unless_expired(request)

    def _start_unless_expired(
        self, request: SlotRequest
    ) -> Result[Slot, CallFailure]:
        # Time may have passed since the slot was granted, for example while
        # the process was suspended. Expired work is never started.
        slot = Slot(self.now_ms(), self.in_flight)
        if slot.started_ms < request.deadline_ms:
            return Success(slot)
        self.release(slot)
        return Failure(self._create_shed_failure('expired'))

    def _cancel_wait(self, request: SlotRequest, grant: Future[bool]) -> None:
        """Leave the queue, or return a slot granted at the same moment."""
        if self.queue.remove(request):
            return
        if grant.done() and not grant.cancelled() and grant.result():
            self.release(Slot(0, 0))

    def _grant_slot(self) -> Slot:
        self.in_flight += 1
        return Slot(self.now_ms(), self.in_flight)

    def _grant_free_slots(self) -> None:
        while self.in_flight < int(self.limit_state.limit):
            request = self.queue.pop()
            if request is None:
                break
            if self._resolve_grant(request, is_granted=True):
                self.in_flight += 1

    def _resolve_grant(self, request: SlotRequest, *, is_granted: bool) -> bool:
        """Resolve the wait; return False if the waiter was just cancelled."""
        grant = self._grants_by_arrival_number[request.arrival_number]
        if grant.done():
            return False
        grant.set_result(is_granted)
        return True

    def _create_shed_failure(self, reason: str) -> CallFailure:
        wait_ms = expected_wait_ms(len(self.queue), self.slot_usage())
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if reason == 'expired':
            status = HTTPStatus.GATEWAY_TIMEOUT
        return create_refusal(
            reason,
            f'{SHED_DETAIL_BY_REASON[reason]}; {self.in_flight} of '
            f'{int(self.limit_state.limit)} slots are in use and '
            f'{len(self.queue)} requests wait',
            status,
            retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)),
        )


SHED_DETAIL_BY_REASON = {
    'queue-full': 'the wait queue of this server is full',
    'wait-too-long': 'the wait for a slot would exceed the deadline',
    'displaced': 'requests of higher priority have filled the wait queue',
    'expired': 'the deadline passed before the request could start',
}
