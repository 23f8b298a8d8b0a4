"""Chooses servers for requests, starts attempts and records their outcome."""

from asyncio import Task as AsyncioTask
from asyncio import create_task, get_running_loop
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from bergamotshunt.choice.peer_attempts import AttemptOutcome, send_attempt
from bergamotshunt.choice.route_stats import ResponseSample, RouteStats
from bergamotshunt.choice.server_records import ServerRecord, ServerRecords
from bergamotshunt.decisions.extra_attempts import (
    ExtraAttemptBound,
    ExtraAttemptBudget,
)
from bergamotshunt.decisions.server_choice import (
    Choice,
    TypicalWork,
    choose_server,
    phase_start_delay_ms,
)
from bergamotshunt.ingress.forwarded_requests import ForwardedRequest
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.request_log import RequestLog
from bergamotshunt.task_metrics import TaskMetrics

# A round trip to the farthest availability zone, and some processing time.
FIRST_REPORTS_WAIT_S: Final = 0.006


class DispatchPlan(NamedTuple):
    """Best server for a request, and how long to wait for a better one.

    Attributes:
        choice: The best server at present.
        delay_ms: Time to wait before choosing again; 0 to send now.
    """

    choice: Choice
    delay_ms: float


class Dispatcher:
    """Sends requests to servers within the budget of extra attempts.

    Args:
        records: Backend servers.
        bound: Bound on extra attempts of the whole fleet.
        rng: Random source.
        count_daemons: Returns how many daemons share the bound.
        metrics: Metrics of the task that sends the requests.

    Attributes:
        log: Rate-limited log of requests.
        rng: Random source.
        metrics: Metrics of the task that sends the requests.
        stopping: Whether no further attempt is made, as it could not end
            before the daemon does.
    """

    def __init__(
        self,
        records: ServerRecords,
        bound: ExtraAttemptBound,
        rng: Random,
        count_daemons: Callable[[], int],
        metrics: TaskMetrics,
    ) -> None:
        """Create a dispatcher."""
        self.log = RequestLog(monotonic)
        self.rng = rng
        self.metrics = metrics
        self.stopping = False
        self._records = records
        self._route_stats = RouteStats()
        self._bound = bound
        self._count_daemons = count_daemons
        self._budgets_by_service: dict[str, ExtraAttemptBudget] = {}
        self._first_used_s_by_service: dict[str, float] = {}

    def first_reports_wait_s(self, service: str) -> float:
        """Return how long to wait for the first load reports of a service.

        A daemon receives load reports only of services that it uses. The
        first requests to a service wait for them, so that they don't go to a
        slow or full server.
        """
        now_s = get_running_loop().time()
        first_used_s = self._first_used_s_by_service.setdefault(service, now_s)
        return max(first_used_s + FIRST_REPORTS_WAIT_S - now_s, 0)

    def choose(
        self,
        request: ForwardedRequest,
        tried: set[str],
    ) -> Choice | None:
        """Choose a server that the request has not tried.

        Returns:
            The choice, or None when no server accepts requests.
        """
        if self.stopping:
            return None
        now_s = get_running_loop().time()
        return choose_server(
            self._records.views(request.service, tried, now_s),
            self._typical_request(request),
            self.rng,
        )

    def plan(
        self, request: ForwardedRequest, tried: set[str]
    ) -> DispatchPlan | None:
        """Choose a server, and whether to wait for the next phase of one.

        Returns:
            The plan, or None when no server accepts requests.
        """
        now_s = get_running_loop().time()
        views = self._records.views(request.service, tried, now_s)
        typical_work = self._typical_request(request)
        choice = choose_server(views, typical_work, self.rng)
        if choice is None:
            return None
        delay_ms = phase_start_delay_ms(
            views,
            typical_work,
            choice.estimate.total_ms,
            request.objective_left_ms(),
        )
        return DispatchPlan(choice, delay_ms)

    def start(
        self,
        request: ForwardedRequest,
        instance: str,
        body: bytes | None,
    ) -> 'AsyncioTask[AttemptOutcome]':
        """Start an attempt at a server.

        Args:
            request: The client's request.
            instance: Instance id of the server.
            body: Body of the request; None when it is still arriving.
        """
        call = PeerCall(
            request_id=request.info.request_id,
            instance=instance,
            caller=request.caller,
            left_ms=round(request.left_ms(), 1),
            objective_left_ms=round(request.objective_left_ms(), 1),
            priority=request.priority,
            depth=request.depth,
            work_ms=round(
                self._route_stats.typical_work(request.route.name).work_ms, 1
            ),
            account=request.account.name if request.account else '',
            permit_left_ms=request.permit_left_ms(),
        )
        record = self._records.by_instance[instance]
        return create_task(send_attempt(record, request.exchange, call, body))

    def server_record(self, instance: str) -> ServerRecord:
        """Return the record of a chosen server."""
        return self._records.by_instance[instance]

    def typical_work(self, route: str) -> TypicalWork:
        """Return the typical work of a route's requests."""
        return self._route_stats.typical_work(route)

    def record_request(self, request: ForwardedRequest) -> None:
        """Record the first attempt of a request, which raises the budget."""
        now_s = get_running_loop().time()
        self._budget(request.service).record_request(now_s)
        size_kib = request.body_kib
        if size_kib is not None:
            self._route_stats.record_request(request.route.name, size_kib)

    def reserve_extra_attempt(self, request: ForwardedRequest) -> bool:
        """Reserve the budget of an extra attempt; return False if exhausted.

        A request that runs again also makes its calls again, which count as
        extra attempts at the called services.
        """
        now_s = get_running_loop().time()
        daemons = self._count_daemons()
        costs = self._extra_costs(request)
        permitted = all(
            self._budget(service).allows(now_s, daemons, cost)
            for service, cost in costs.items()
        )
        if permitted:
            self._record_extra(costs, 1)
        self.metrics.increment(
            'extra_arrivals', permitted=str(permitted).lower()
        )
        return permitted

    def release_extra_attempt(self, request: ForwardedRequest) -> None:
        """Return the budget of an extra attempt that was not made."""
        self._record_extra(self._extra_costs(request), -1)

    def record_outcome(
        self,
        request: ForwardedRequest,
        instance: str,
        outcome: AttemptOutcome,
    ) -> None:
        """Record the outcome of an attempt."""
        record = self._records.by_instance.get(instance)
        if record is None or outcome.response is None:
            return
        now_s = get_running_loop().time()
        record.record_result(now_s, failed=outcome.failed)
        if outcome.result is not None and not outcome.failed:
            sample = ResponseSample(
                outcome.result.work_ms,
                outcome.size_kib,
                outcome.result.calls,
                outcome.result.saturated,
            )
            self._route_stats.record_response(request.route.name, sample)

    def _typical_request(self, request: ForwardedRequest) -> TypicalWork:
        return self._route_stats.typical_request(
            request.route, request.body_kib
        )

    def _extra_costs(self, request: ForwardedRequest) -> dict[str, float]:
        costs = dict(
            self._route_stats.mean_calls_by_service(request.route.name)
        )
        costs[request.service] = costs.get(request.service, 0) + 1
        return costs

    def _record_extra(self, costs: dict[str, float], sign: int) -> None:
        now_s = get_running_loop().time()
        for service, cost in costs.items():
            self._budget(service).record_extra(now_s, cost * sign)

    def _budget(self, service: str) -> ExtraAttemptBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = ExtraAttemptBudget(self._bound, get_running_loop().time())
            self._budgets_by_service[service] = budget
        return budget
