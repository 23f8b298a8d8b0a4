"""Which waiting requests get a slot of a backend server, and in which order.

All times are in milliseconds from now.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from itertools import groupby
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.server_slots import SlotTimes
from bergamotshunt.decisions.slot_candidates import Candidate

# Deeper calls are ordered as if they had this depth.
MAX_SORT_DEPTH: Final = 7


class PlannedStart(NamedTuple):
    """When a waiting request is expected to get a slot."""

    candidate: Candidate
    start_ms: float


class SlotPlan(NamedTuple):
    """The requests that are to run, and those that can't run in time.

    Attributes:
        starts: Requests that are to run, the next one first.
        hopeless: Requests that can no longer meet their deadline.
        backlog_ms: When a slot is free behind all planned requests.
    """

    starts: list[PlannedStart]
    hopeless: list[Candidate]
    backlog_ms: float

    def start_ms(self, number: int) -> float:
        """Return the expected start of a request; infinite if it has none."""
        for planned in self.starts:
            if planned.candidate.request.number == number:
                return planned.start_ms
        return inf


LatestStart = Callable[[Candidate], float]
UsageByAccount = Callable[[str], float]


def plan_slots(
    candidates: Sequence[Candidate],
    times: SlotTimes,
    boosted: Sequence[Candidate],
    used_work_ms: UsageByAccount,
) -> SlotPlan:
    """Plan which requests run, and in which order.

    While each request can meet its objective in the order of depth,
    priority and deadline, this order stays. Otherwise nested calls go
    first, then one request of each kind that is owed service, then the
    requests that can meet their objective by priority, and last the others.

    Args:
        candidates: All waiting requests.
        times: When the next requests can start.
        boosted: New requests of kinds that have been served too rarely.
        used_work_ms: Returns the work recently done for an account.
    """
    ordered = sorted(candidates, key=_usual_order)
    planner = _Planner(times.copy(), used_work_ms)
    if planner.place_all(ordered):
        return planner.plan([])
    planner = _Planner(times.copy(), used_work_ms)
    boosted_numbers = {candidate.request.number for candidate in boosted}
    ordered.sort(key=_fair_order)
    nested = [candidate for candidate in ordered if candidate.request.depth]
    others = [
        candidate
        for candidate in ordered
        if not candidate.request.depth
        and candidate.request.number not in boosted_numbers
    ]
    hopeless = planner.place_tier(nested)
    hopeless += planner.place_by_deadline(boosted)
    hopeless += planner.place_tier(others)
    return planner.plan(hopeless)


class _Planner:
    """Places requests on the slots, one after the other."""

    def __init__(self, times: SlotTimes, used_work_ms: UsageByAccount) -> None:
        self._times = times
        self._used_work_ms = used_work_ms
        self._starts: list[PlannedStart] = []

    def plan(self, hopeless: list[Candidate]) -> SlotPlan:
        return SlotPlan(self._starts, hopeless, self._times.next_ms)

    def place_all(self, candidates: Iterable[Candidate]) -> bool:
        """Place requests in this order; return False if one would be late."""
        for candidate in candidates:
            if self._times.next_ms > candidate.must_start_ms:
                return False
            self._place(candidate)
        return True

    def place_tier(self, candidates: Iterable[Candidate]) -> list[Candidate]:
        """Place those that can be on time, then those that are late.

        Returns:
            The requests that can't meet their deadline.
        """
        late: list[Candidate] = []
        for _, group in groupby(candidates, key=_group_of):
            in_order = sorted(group, key=_by_objective)
            late.extend(self._place_group(in_order, _on_time_start_ms))
        return self.place_by_deadline(sorted(late, key=_fair_order))

    def place_by_deadline(
        self, candidates: Iterable[Candidate]
    ) -> list[Candidate]:
        """Place requests that may be late.

        Returns:
            The requests that can't meet their deadline.
        """
        hopeless: list[Candidate] = []
        for _, group in groupby(candidates, key=_group_of):
            in_order = sorted(group, key=_by_deadline)
            hopeless.extend(self._place_group(in_order, _last_start_ms))
        return hopeless

    def _place_group(
        self, group: Iterable[Candidate], latest_ms: LatestStart
    ) -> list[Candidate]:
        """Place as many requests of one class as can start in time.

        As in Moore-Hodgson: requests are added in the order in which they
        are due. When one would start too late, the request with the most
        work is dropped, of the account that has used most.

        Returns:
            The dropped requests.
        """
        selection = _Selection(self._times, self._used_work_ms)
        for candidate in group:
            selection.add(candidate, latest_ms(candidate))
        for candidate in selection.kept:
            self._place(candidate)
        return selection.dropped

    def _place(self, candidate: Candidate) -> None:
        start_ms = self._times.place(candidate.run_ms)
        self._starts.append(PlannedStart(candidate, start_ms))


class _Selection:
    """The requests of one class that can start in time.

    Attributes:
        kept: Requests that can, in the order in which they are due.
        dropped: Requests that can't.
    """

    def __init__(self, times: SlotTimes, used_work_ms: UsageByAccount) -> None:
        self.kept: list[Candidate] = []
        self.dropped: list[Candidate] = []
        self._initial_times = times
        self._times = times.copy()
        self._used_work_ms = used_work_ms
        self._kept_ms_by_account: defaultdict[str, float] = defaultdict(float)

    def add(self, candidate: Candidate, latest_ms: float) -> None:
        """Add a request that is due after the kept ones, and drop others."""
        if self._initial_times.next_ms > latest_ms:
            self.dropped.append(candidate)
            return
        self.kept.append(candidate)
        self._count(candidate, 1)
        while self._times.next_ms > latest_ms:
            dropped = max(self.kept, key=self._drop_rank)
            self.kept.remove(dropped)
            self.dropped.append(dropped)
            self._count(dropped, -1)
            if dropped is candidate:
                return
            self._times = self._initial_times.copy()
            for kept in self.kept[:-1]:
                self._times.place(kept.run_ms)
        self._times.place(candidate.run_ms)

    def _count(self, candidate: Candidate, sign: int) -> None:
        account = candidate.request.account
        self._kept_ms_by_account[account] += candidate.run_ms * sign

    def _drop_rank(
        self, candidate: Candidate
    ) -> tuple[bool, float, float, int]:
        """Return the rank of a request; the largest is dropped first."""
        account = candidate.request.account
        used_ms = self._used_work_ms(account)
        return (
            not candidate.is_protected,
            used_ms + self._kept_ms_by_account[account],
            candidate.run_ms,
            candidate.request.number,
        )


def _class_of(candidate: Candidate) -> tuple[int, int]:
    request = candidate.request
    return -min(request.depth, MAX_SORT_DEPTH), request.priority


def _group_of(candidate: Candidate) -> tuple[int, int, bool]:
    return *_class_of(candidate), candidate.is_heavy


def _usual_order(candidate: Candidate) -> tuple[int, int, bool, float, int]:
    request = candidate.request
    return (
        *_class_of(candidate),
        not candidate.can_be_on_time,
        request.deadline_ms,
        request.number,
    )


def _fair_order(
    candidate: Candidate,
) -> tuple[int, int, bool, float, int]:
    request = candidate.request
    return (*_group_of(candidate), request.deadline_ms, request.number)


def _by_objective(candidate: Candidate) -> tuple[float, int]:
    return candidate.request.objective_ms, candidate.request.number


def _by_deadline(candidate: Candidate) -> tuple[float, int]:
    return candidate.request.deadline_ms, candidate.request.number


def _on_time_start_ms(candidate: Candidate) -> float:
    return min(candidate.on_time_start_ms, candidate.last_start_ms)


def _last_start_ms(candidate: Candidate) -> float:
    return candidate.last_start_ms
