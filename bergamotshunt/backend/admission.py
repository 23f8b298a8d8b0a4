"""Admission to the backend server: limit, queue and exact count."""

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
    ServerThroughput,
    SlotRequestQueue,
    SlotRequest,
    expected_wait_ms,
    latest_slot_ms,
)
from bergamotshunt.settings import Settings
from bergamotshunt.verdicts import CallFailure, create_refusal

MS_PER_S = 1000
US_PER_MS = 1000
# A refused sender should not be back before a few requests have ended.
MIN_RETRY_AFTER_MS = 100


class Slot:
    """Permission for one request to run on the backend server.

    Attributes:
        started_ms: Monotonic time at which it was given.
        in_flight: Requests in flight then, this one included.
    """

    def __init__(self, started_ms: float, in_flight: int) -> None:
        """Create a slot that is in use."""
        self.started_ms = started_ms
        self.in_flight = in_flight


class Admission:
    """Gives slots of the backend server to requests.

    Part of the guard task; not shared with other tasks.

    Args:
        settings: Settings of the daemon.
        now_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        now_ms: Callable[[], float],
    ) -> None:
        """Create an idle admission with the limit of the settings."""
        server = settings.backend_server
        self.now_ms = now_ms
        self.learn = LIMITERS.get(settings.calls.limiter)
        self.limit_state = LimitState(server.slots, server.connections)
        self.in_flight = 0
        # Half of the open requests may wait, so that there is room for one
        # that goes first and displaces another.
        self.queue = SlotRequestQueue(max(1, settings.calls.max_in_flight // 2))
        self._given_by_id: dict[int, Future[bool]] = {}
        self._ids = count()

    def pace(self) -> ServerThroughput:
        """Return how fast the backend server works now."""
        return ServerThroughput(
            self.in_flight,
            int(self.limit_state.limit),
            self.limit_state.latency_ms,
        )

    def load_report(self) -> LoadReport:
        """Return the load as of now."""
        return LoadReport(
            self.in_flight,
            int(self.limit_state.limit),
            len(self.queue),
            int(self.limit_state.latency_ms * US_PER_MS),
        )

    async def acquire(self, work: SlotRequest) -> Result[Slot, CallFailure]:
        """Wait for a slot, as long as the deadline leaves time for it."""
        numbered = work._replace(arrival_number=next(self._ids))
        now_ms = self.now_ms()
        pace = self.pace()
        reason = self.queue.refusal_reason(numbered, now_ms, pace)
        if reason:
            return Failure(self._shed(reason))
        if self.in_flight < pace.limit and not len(self.queue):
            return Success(self._give())
        return await self._wait(numbered, now_ms)

    def release(self, slot: Slot) -> None:
        """Give a slot back without learning from it."""
        self.in_flight -= 1
        self._fill_slots()

    def finish(self, slot: Slot, work_class: str, *, overloaded: bool) -> None:
        """Give a slot back and learn from the time that it was used."""
        now_ms = self.now_ms()
        sample = Sample(
            now_ms,
            now_ms - slot.started_ms,
            slot.in_flight,
            work_class,
            overloaded,
        )
        self.limit_state = self.learn(self.limit_state, sample)
        self.release(slot)

    async def _wait(
        self,
        work: SlotRequest,
        now_ms: float,
    ) -> Result[Slot, CallFailure]:
        given: Future[bool] = get_running_loop().create_future()
        self._given_by_id[work.arrival_number] = given
        leaving = self.queue.add(work)
        if leaving is not None:
            self._settle(leaving, is_given=False)
        leave_ms = latest_slot_ms(work, now_ms, self.limit_state.latency_ms)
        try:
            async with timeout((leave_ms - now_ms) / MS_PER_S):
                is_given = await given
        except TimeoutError:
            self._abandon(work, given)
            return Failure(self._shed('wait-too-long'))
        except CancelledError:
            self._abandon(work, given)
            raise
        finally:
            self._given_by_id.pop(work.arrival_number)
        if not is_given:
            return Failure(self._shed('displaced'))
        return self._start(work)

    def _start(self, work: SlotRequest) -> Result[Slot, CallFailure]:
        # Time may have passed since the slot was given, for example when
        # the process was stopped; expired work is never started.
        slot = Slot(self.now_ms(), self.in_flight)
        if slot.started_ms < work.deadline_ms:
            return Success(slot)
        self.release(slot)
        return Failure(self._shed('expired'))

    def _abandon(self, work: SlotRequest, given: Future[bool]) -> None:
        """Leave the queue, or give back a slot that came too late."""
        if self.queue.remove(work):
            return
        if given.done() and not given.cancelled() and given.result():
            self.release(Slot(0, 0))

    def _give(self) -> Slot:
        self.in_flight += 1
        return Slot(self.now_ms(), self.in_flight)

    def _fill_slots(self) -> None:
        while self.in_flight < int(self.limit_state.limit):
            work = self.queue.pop()
            if work is None:
                break
            if self._settle(work, is_given=True):
                self.in_flight += 1

    def _settle(self, work: SlotRequest, *, is_given: bool) -> bool:
        """Tell a waiter its outcome; False when it was just cancelled."""
        given = self._given_by_id[work.arrival_number]
        if given.done():
            return False
        given.set_result(is_given)
        return True

    def _shed(self, reason: str) -> CallFailure:
        wait_ms = expected_wait_ms(len(self.queue), self.pace())
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if reason == 'expired':
            status = HTTPStatus.GATEWAY_TIMEOUT
        return create_refusal(
            reason,
            SHED_DETAILS[reason],
            status,
            retry_after_ms=max(MIN_RETRY_AFTER_MS, int(wait_ms)),
        )


SHED_DETAILS = {
    'queue-full': 'the queue of this server is full',
    'wait-too-long': 'the wait for this server would exceed the deadline',
    'displaced': 'requests that go first have filled the queue',
    'expired': 'the deadline was over before the request could start',
}
