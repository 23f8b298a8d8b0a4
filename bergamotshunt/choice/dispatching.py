"""Chooses servers for requests, starts attempts and learns from them."""

from asyncio import Task as AsyncioTask
from asyncio import create_task, get_running_loop
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from bergamotshunt.choice.peer_attempts import Outcome, attempt
from bergamotshunt.choice.route_records import ResponseFacts, RouteRecords
from bergamotshunt.choice.server_records import ServerRecord, ServerRecords
from bergamotshunt.counts import Counts
from bergamotshunt.decisions.extra_arrivals import ExtraBound, ExtraBudget
from bergamotshunt.decisions.placement import (
    Choice,
    UsualWork,
    choose_server,
    worthwhile_delay_ms,
)
from bergamotshunt.entry.carried_requests import CarriedRequest
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.request_log import RequestLog

# A round trip to the farthest availability zone, and some time to answer.
FIRST_REPORTS_S: Final = 0.006


class Plan(NamedTuple):
    """What is best for a request now.

    Attributes:
        choice: The best server of now.
        delay_ms: How long to wait for a better one; 0 to go there.
    """

    choice: Choice
    delay_ms: float


class Dispatcher:
    """Sends requests to servers within the budget of extra arrivals.

    Args:
        records: Backend servers.
        bound: Bound on extra arrivals of the whole fleet.
        rng: Random source.
        count_daemons: Tells how many daemons share the bound.
        counts: Series of the task that sends the requests.

    Attributes:
        log: Lines about requests, bounded in their number.
        rng: Random source.
        counts: Series of the task that sends the requests.
    """

    def __init__(
        self,
        records: ServerRecords,
        bound: ExtraBound,
        rng: Random,
        count_daemons: Callable[[], int],
        counts: Counts,
    ) -> None:
        """Create a dispatcher."""
        self.log = RequestLog(monotonic)
        self.rng = rng
        self.counts = counts
        self._records = records
        self._routes = RouteRecords()
        self._bound = bound
        self._count_daemons = count_daemons
        self._budgets_by_service: dict[str, ExtraBudget] = {}
        self._used_s_by_service: dict[str, float] = {}

    def reports_due_s(self, service: str) -> float:
        """Return for how long the first load reports of a service are due.

        Reports come to daemons that use a service. The first requests wait
        for them, so that they don't go to a server that is slow or full.
        """
        now_s = get_running_loop().time()
        used_s = self._used_s_by_service.setdefault(service, now_s)
        return max(used_s + FIRST_REPORTS_S - now_s, 0)

    def choose(
        self,
        request: CarriedRequest,
        tried: set[str],
    ) -> Choice | None:
        """Choose a server that the request has not tried."""
        now_s = get_running_loop().time()
        return choose_server(
            self._records.views(request.service, tried, now_s),
            self._routes.usual(request.route.name),
            self.rng,
        )

    def plan(self, request: CarriedRequest, tried: set[str]) -> Plan | None:
        """Choose a server, and tell whether to wait for a fresh turn first."""
        now_s = get_running_loop().time()
        views = self._records.views(request.service, tried, now_s)
        usual = self._routes.usual(request.route.name)
        choice = choose_server(views, usual, self.rng)
        if choice is None:
            return None
        delay_ms = worthwhile_delay_ms(
            views,
            usual,
            choice.estimate.total_ms,
            request.goal_left_ms(),
        )
        return Plan(choice, delay_ms)

    def start(
        self,
        request: CarriedRequest,
        instance: str,
        body: bytes | None,
    ) -> 'AsyncioTask[Outcome]':
        """Start an attempt at a server."""
        call = PeerCall(
            request_id=request.call.request_id,
            instance=instance,
            caller=request.caller,
            left_ms=round(request.left_ms(), 1),
            goal_ms=round(request.goal_left_ms(), 1),
            rank=request.route.priority,
            depth=request.depth,
            work_ms=round(self._routes.usual(request.route.name).work_ms, 1),
        )
        record = self._records.by_instance[instance]
        return create_task(attempt(record, request.exchange, call, body))

    def record(self, instance: str) -> ServerRecord:
        """Return what is known of a server that was chosen."""
        return self._records.by_instance[instance]

    def usual(self, route: str) -> UsualWork:
        """Return what is usual of a route's requests."""
        return self._routes.usual(route)

    def note_request(self, service: str) -> None:
        """Earn the budget of one first arrival."""
        self._budget(service).note_request(get_running_loop().time())

    def may_repeat(self, request: CarriedRequest) -> bool:
        """Take the budget of an extra arrival, if there is one.

        A repeated run repeats its calls, which count at their service.
        """
        now_s = get_running_loop().time()
        daemons = self._count_daemons()
        costs = self._extra_costs(request)
        permitted = all(
            self._budget(service).allows(now_s, daemons, cost)
            for service, cost in costs.items()
        )
        if permitted:
            self._note_extra(costs, 1)
        self.counts.add('extra_arrivals', permitted=str(permitted).lower())
        return permitted

    def give_back(self, request: CarriedRequest) -> None:
        """Give back the budget of an extra arrival that was not made."""
        self._note_extra(self._extra_costs(request), -1)

    def note_outcome(
        self,
        request: CarriedRequest,
        instance: str,
        outcome: Outcome,
    ) -> None:
        """Learn from the end of an attempt."""
        record = self._records.by_instance.get(instance)
        if record is None or outcome.response is None:
            return
        now_s = get_running_loop().time()
        record.note_result(now_s, failed=outcome.failed)
        if outcome.result is not None and not outcome.failed:
            facts = ResponseFacts(
                outcome.result.work_ms,
                outcome.size_kib,
                outcome.result.calls,
                outcome.result.crowded,
            )
            self._routes.note_response(request.route.name, facts)

    def _extra_costs(self, request: CarriedRequest) -> dict[str, float]:
        costs = dict(self._routes.calls(request.route.name))
        costs[request.service] = costs.get(request.service, 0) + 1
        return costs

    def _note_extra(self, costs: dict[str, float], sign: int) -> None:
        now_s = get_running_loop().time()
        for service, cost in costs.items():
            self._budget(service).note_extra(now_s, cost * sign)

    def _budget(self, service: str) -> ExtraBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = ExtraBudget(self._bound, get_running_loop().time())
            self._budgets_by_service[service] = budget
        return budget
