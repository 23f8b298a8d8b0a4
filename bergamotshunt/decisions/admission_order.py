"""Decides which requests run on a backend server, wait or are refused.

The queue is bounded, so that each decision may look at all of it. Nothing is
decided while slots are free and no request waits.
"""

from collections.abc import Iterable
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.served_shares import ServedShares
from bergamotshunt.decisions.server_slots import (
    RunningRequest,
    ServerState,
    SlotTimes,
    free_times_ms,
)
from bergamotshunt.decisions.slot_candidates import (
    Candidate,
    WaitingRequest,
    create_candidate,
    find_boosted,
    kinds_of,
    latest_start_ms,
    time_left,
)
from bergamotshunt.decisions.slot_plans import SlotPlan, plan_slots
from bergamotshunt.decisions.slot_refusals import (
    EXPIRED_PERMIT_REASON,
    RefusalHistory,
    RefusedRequest,
)
from bergamotshunt.decisions.slot_waits import is_wait_worthwhile

MAX_WAITING_REQUESTS: Final = 64
# Reason of a refusal in favour of requests that have not arrived yet.
LOWER_PRIORITY: Final = 'lower-priority'


class Turn(NamedTuple):
    """Result of a free slot.

    Attributes:
        request: The request that gets it; None when none waits.
        refused: Requests that can no longer be served.
    """

    request: WaitingRequest | None
    refused: list[RefusedRequest]


class AdmissionOrder:
    """Waiting and running requests of one server, and who runs next.

    Attributes:
        running: Requests that hold a slot.
    """

    def __init__(self) -> None:
        """Create an order without requests."""
        self.running: list[RunningRequest] = []
        self._waiting_by_number: dict[int, WaitingRequest] = {}
        self._shares = ServedShares()
        self._refusals = RefusalHistory()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting_by_number)

    def is_contended(self, now_ms: float) -> bool:
        """Return whether a request was recently refused for lack of room."""
        return self._refusals.is_recent(now_ms)

    def end(self, request_id: str) -> None:
        """Remove a running request, or the oldest if the id is unknown."""
        for position, run in enumerate(self.running):
            if run.request_id == request_id:
                self.running.pop(position)
                return
        self.running.pop(0)

    def add(
        self, request: WaitingRequest, state: ServerState
    ) -> list[RefusedRequest]:
        """Let a request wait.

        Returns:
            The requests that are refused because of it, or itself.
        """
        self._shares.record_demand(kinds_of(request))
        self._waiting_by_number[request.number] = request
        plan = self._plan(state)
        refused = self._check_arrival(request, plan, state)
        if refused is not None:
            return [refused]
        displaced = list(plan.hopeless)
        if len(self) - len(displaced) > MAX_WAITING_REQUESTS:
            displaced.append(plan.starts[-1].candidate)
        return self._refuse_each(displaced, 'displaced', plan, state)

    def take(self, state: ServerState) -> Turn:
        """Remove the request that gets a free slot."""
        if not self:
            return Turn(None, [])
        plan = self._plan(state)
        refused = self._refuse_each(plan.hopeless, 'wait-too-long', plan, state)
        if not plan.starts:
            return Turn(None, refused)
        request = plan.starts[0].candidate.request
        self.remove(request.number)
        work_ms = request.work_ms or state.typical_work_ms
        self._shares.record_served(kinds_of(request), request.account, work_ms)
        return Turn(request, refused)

    def refuse_late(self, state: ServerState) -> list[RefusedRequest]:
        """Remove the requests that can no longer meet their deadline."""
        if not self:
            return []
        plan = self._plan(state)
        return self._refuse_each(plan.hopeless, 'wait-too-long', plan, state)

    def refuse_all(self, reason: str) -> list[RefusedRequest]:
        """Remove all waiting requests."""
        requests = list(self._waiting_by_number.values())
        self._waiting_by_number.clear()
        return [RefusedRequest(request, reason) for request in requests]

    def remove(self, number: int) -> bool:
        """Remove a waiting request; return False when it does not wait."""
        return self._waiting_by_number.pop(number, None) is not None

    def next_check_ms(self, state: ServerState) -> float:
        """Return when the first request can no longer be served.

        Returns:
            Monotonic time in milliseconds; infinite when none waits.
        """
        return min(
            (
                latest_start_ms(request, state.run_ms(request.work_ms))
                for request in self._waiting_by_number.values()
            ),
            default=inf,
        )

    def _check_arrival(
        self,
        request: WaitingRequest,
        plan: SlotPlan,
        state: ServerState,
    ) -> RefusedRequest | None:
        """Refuse a request at once if its wait does not pay off."""
        wait_ms = plan.start_ms(request.number)
        run_ms = state.run_ms(request.work_ms)
        left = time_left(request, state.now_ms)
        if not is_wait_worthwhile(wait_ms, run_ms, left):
            return self._refuse(request, 'wait-too-long', plan, state)
        if self._is_crowding(request, run_ms, state):
            return self._refuse(request, LOWER_PRIORITY, plan, state)
        last = plan.starts[-1].candidate.request
        if len(plan.starts) > MAX_WAITING_REQUESTS and last == request:
            return self._refuse(request, 'queue-full', plan, state)
        return None

    def _is_crowding(
        self, request: WaitingRequest, run_ms: float, state: ServerState
    ) -> bool:
        """Return whether a request would take a slot from higher priorities.

        If one of them was refused within the time that this request would
        hold the last free slot, the same is likely to happen while it runs.
        """
        if len(self.running) + len(self) < state.limit:
            return False
        if request.depth or any(map(self._shares.is_owed, kinds_of(request))):
            return False
        return self._refusals.has_refused_higher(
            request.priority, state.now_ms - run_ms
        )

    def _plan(self, state: ServerState) -> SlotPlan:
        free_ms = free_times_ms(self.running, state)
        candidates = [
            create_candidate(request, state, free_ms[0], self._shares)
            for request in self._waiting_by_number.values()
        ]
        return plan_slots(
            candidates,
            SlotTimes(free_ms, state.start_wait_ms),
            find_boosted(candidates, self._shares),
            self._shares.recent_work_ms,
        )

    def _refuse_each(
        self,
        candidates: Iterable[Candidate],
        reason: str,
        plan: SlotPlan,
        state: ServerState,
    ) -> list[RefusedRequest]:
        return [
            self._refuse(
                candidate.request,
                _refusal_reason(candidate, reason, state.now_ms),
                plan,
                state,
            )
            for candidate in candidates
        ]

    def _refuse(
        self,
        request: WaitingRequest,
        reason: str,
        plan: SlotPlan,
        state: ServerState,
    ) -> RefusedRequest:
        self.remove(request.number)
        wait_ms = plan.start_ms(request.number)
        retry_wait_ms = min(wait_ms, plan.backlog_ms)
        run_ms = state.run_ms(request.work_ms)
        if reason == LOWER_PRIORITY:
            retry_wait_ms = max(retry_wait_ms, run_ms)
        elif latest_start_ms(request, run_ms) > state.now_ms:
            # Without time for a run, it was not refused for lack of room.
            self._refusals.record(request, state.now_ms)
        retry_after_ms = self._refusals.reserve_retry_ms(retry_wait_ms, state)
        return RefusedRequest(request, reason, wait_ms, retry_after_ms)


def _refusal_reason(
    candidate: Candidate, usual_reason: str, now_ms: float
) -> str:
    if candidate.request.permit_ms <= now_ms:
        return EXPIRED_PERMIT_REASON
    return 'expired' if candidate.last_start_ms <= 0 else usual_reason
