"""Requests that wait for a slot, with the bounds on their start."""

from collections.abc import Iterable
from math import frexp, inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.served_shares import Kind, ServedShares
from bergamotshunt.decisions.server_slots import ServerState
from bergamotshunt.decisions.slot_waits import (
    LONG_RUN_FACTOR,
    RETURN_MS,
    TimeLeft,
    is_objective_missed,
)

# A run may take half of the expected time. With less time left, a request
# can't meet its deadline.
SHORT_RUN_FACTOR: Final = 0.5
# A refusal has to reach its sender before that gives up, so that the client
# learns that its request did not run.
REFUSAL_NOTICE_MS: Final = 50.0


class WaitingRequest(NamedTuple):
    """A request that waits for a slot; times on the monotonic clock in ms.

    Attributes:
        number: Unique in the queue; increases with arrival.
        priority: 0 is the highest.
        objective_ms: When its latency objective is missed.
        deadline_ms: When its sender gives up.
        depth: Number of calls above it in its call tree.
        account: Name of the client account; empty for none.
        work_ms: Expected run time at the baseline pace; 0 when unknown.
        permit_ms: When its admission expires; it must not start later.
    """

    number: int
    priority: int
    objective_ms: float
    deadline_ms: float
    depth: int = 0
    account: str = ''
    work_ms: float = 0
    permit_ms: float = inf


class Candidate(NamedTuple):
    """A waiting request with the bounds that follow from the server's pace.

    Attributes:
        request: The request.
        run_ms: Expected time on the server.
        on_time_start_ms: Latest start at which it meets its objective.
        last_start_ms: Latest start at which it may meet its deadline.
        can_be_on_time: Whether it meets its objective if it runs next.
        is_protected: Whether its kind has been served too rarely.
        is_heavy: Whether its account has used more than its share.
    """

    request: WaitingRequest
    run_ms: float
    on_time_start_ms: float
    last_start_ms: float
    can_be_on_time: bool
    is_protected: bool
    is_heavy: bool

    @property
    def must_start_ms(self) -> float:
        """Latest start that does not make things worse for the request."""
        if not self.can_be_on_time:
            return self.last_start_ms
        return min(self.on_time_start_ms, self.last_start_ms)


def create_candidate(
    request: WaitingRequest,
    state: ServerState,
    earliest_ms: float,
    shares: ServedShares,
) -> Candidate:
    """Return a request with the bounds on its start.

    Args:
        request: The request.
        state: State of the server.
        earliest_ms: When the first slot is free, in ms from now.
        shares: How often each kind of request was served.
    """
    run_ms = state.run_ms(request.work_ms)
    left = time_left(request, state.now_ms)
    on_time_start_ms = left.objective_ms - run_ms * LONG_RUN_FACTOR
    on_time_start_ms -= RETURN_MS
    if not earliest_ms and not is_objective_missed(run_ms, left):
        # A request that gets a slot at once needs no reserve.
        on_time_start_ms = max(on_time_start_ms, 0)
    is_protected = any(map(shares.is_owed, kinds_of(request)))
    return Candidate(
        request,
        run_ms,
        on_time_start_ms,
        latest_start_ms(request, run_ms) - state.now_ms,
        can_be_on_time=on_time_start_ms >= earliest_ms,
        is_protected=is_protected,
        is_heavy=not is_protected and shares.is_heavy(request.account),
    )


def find_boosted(
    candidates: Iterable[Candidate], shares: ServedShares
) -> list[Candidate]:
    """Return the cheapest request of each kind that is owed one.

    Nested calls go first anyway.
    """
    best_by_kind: dict[Kind, Candidate] = {}
    for candidate in sorted(candidates, key=_boost_rank):
        if candidate.is_protected and not candidate.request.depth:
            for kind in filter(shares.is_owed, kinds_of(candidate.request)):
                best_by_kind.setdefault(kind, candidate)
    return list(dict.fromkeys(best_by_kind.values()))


def kinds_of(request: WaitingRequest) -> tuple[Kind, ...]:
    """Return the kinds of a request that must not starve.

    Nested calls go first, so that their priority is not counted.
    """
    kinds = [Kind('work', frexp(request.work_ms)[1])]
    if not request.depth:
        kinds.append(Kind('priority', request.priority))
    if request.account:
        kinds.append(Kind('account', request.account))
    return tuple(kinds)


def time_left(request: WaitingRequest, now_ms: float) -> TimeLeft:
    """Return the time until the objective and the deadline."""
    return TimeLeft(request.objective_ms - now_ms, request.deadline_ms - now_ms)


def latest_start_ms(request: WaitingRequest, run_ms: float) -> float:
    """Return the monotonic time after which a start is in vain."""
    needed_ms = max(run_ms * SHORT_RUN_FACTOR, REFUSAL_NOTICE_MS)
    return min(request.deadline_ms - needed_ms, request.permit_ms)


def _boost_rank(candidate: Candidate) -> tuple[bool, float, int]:
    return (
        not candidate.can_be_on_time,
        candidate.run_ms,
        candidate.request.number,
    )
