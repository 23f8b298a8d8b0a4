"""Carries a client's request to backend servers until it has an answer."""

from asyncio import FIRST_COMPLETED, create_task, get_running_loop, wait
from asyncio import Task as AsyncioTask
from asyncio import timeout_at
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.decisions.extra_arrivals import ExtraBound, ExtraBudget
from bergamotshunt.decisions.placement import Choice, choose_server
from bergamotshunt.http.bodies import BodyCutError
from bergamotshunt.http.heads import Header
from bergamotshunt.http.serving import Exchange
from bergamotshunt.log import log_event
from bergamotshunt.peer_attempts import BUFFER_BYTES, Outcome, attempt
from bergamotshunt.peer_calls import PeerCall
from bergamotshunt.platform.requests import ClientCall, client_headers
from bergamotshunt.routing import Route
from bergamotshunt.server_records import ServerRecords
from bergamotshunt.verdicts import Verdict

MS_PER_S: Final = 1000
# Offers that other daemons refuse cost their backend servers nothing.
MOST_OFFERS: Final = 4
LEAST_LEFT_MS: Final = 5.0
SHORTEST_RETRY_MS: Final = 50.0


class CarriedRequest(NamedTuple):
    """A client's request with its route.

    Attributes:
        exchange: The request, and where its answer goes.
        call: What the client says of it.
        route: Its route.
        service: The service that runs it.
        caller: Service of this host.
        deadline_s: Time of the loop at which the final answer is due.
    """

    exchange: Exchange
    call: ClientCall
    route: Route
    service: str
    caller: str
    deadline_s: float

    def left_ms(self) -> float:
        """Return the time until the final answer is due."""
        return (self.deadline_s - get_running_loop().time()) * MS_PER_S

    def goal_left_ms(self) -> float:
        """Return the time until an answer is worth less."""
        passed_s = get_running_loop().time() - self.exchange.arrived_s
        return self.route.goal_ms - passed_s * MS_PER_S


class Carrier:
    """Chooses servers, makes attempts and delivers the answer.

    Args:
        records: Backend servers.
        bound: Bound on extra arrivals of the whole fleet.
        rng: Random source.
        count_daemons: Tells how many daemons share the bound.
    """

    def __init__(
        self,
        records: ServerRecords,
        bound: ExtraBound,
        rng: Random,
        count_daemons: Callable[[], int],
    ) -> None:
        """Create a carrier."""
        self._records = records
        self._bound = bound
        self._rng = rng
        self._count_daemons = count_daemons
        self._budgets_by_service: dict[str, ExtraBudget] = {}

    async def carry(self, request: CarriedRequest) -> None:
        """Answer a client's request."""
        journey = Journey(self, request)
        try:
            async with timeout_at(request.deadline_s):
                outcome = await journey.run()
        except TimeoutError:
            journey.log('timeout')
            self._answer_timeout(request, journey)
            return
        except BodyCutError:
            return
        if outcome.answer is None:
            journey.log(outcome.reason)
            self._answer_failure(request, outcome)
        else:
            await self._deliver(request, outcome)

    def choose(
        self,
        request: CarriedRequest,
        tried: set[str],
    ) -> Choice | None:
        """Choose a server that the request has not tried."""
        now_s = get_running_loop().time()
        return choose_server(
            self._records.views(request.service, tried, now_s),
            self._records.usual_ms(request.route.name),
            self._rng,
        )

    def start(
        self,
        request: CarriedRequest,
        instance: str,
        body: bytes | None,
        *,
        repeated: bool,
    ) -> 'AsyncioTask[Outcome]':
        """Start an attempt at a server."""
        call = PeerCall(
            request_id=request.call.request_id,
            instance=instance,
            caller=request.caller,
            left_ms=round(request.left_ms(), 1),
            goal_ms=round(request.goal_left_ms(), 1),
            rank=request.route.rank,
            idempotent=request.route.idempotent,
            repeated=repeated,
        )
        record = self._records.by_instance[instance]
        return create_task(attempt(record, request.exchange, call, body))

    def note_request(self, service: str) -> None:
        """Earn the budget of one first arrival."""
        self._budget(service).note_request()

    def may_repeat(self, service: str) -> bool:
        """Take the budget of an extra arrival, if there is one."""
        now_s = get_running_loop().time()
        return self._budget(service).spend(now_s, self._count_daemons())

    def note_outcome(
        self,
        request: CarriedRequest,
        instance: str,
        outcome: Outcome,
    ) -> None:
        """Learn from the end of an attempt."""
        record = self._records.by_instance.get(instance)
        if record is None or outcome.answer is None:
            return
        now_s = get_running_loop().time()
        record.note_result(now_s, failed=outcome.failed)
        if outcome.result is not None and not outcome.failed:
            self._records.note_work(
                request.route.name,
                outcome.result.took_ms,
                outcome.result.load.pace,
            )

    def _budget(self, service: str) -> ExtraBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = ExtraBudget(self._bound, get_running_loop().time())
            self._budgets_by_service[service] = budget
        return budget

    def _answer_timeout(
        self,
        request: CarriedRequest,
        journey: 'Journey',
    ) -> None:
        if request.exchange.started:
            request.exchange.abort()
        elif journey.may_have_run:
            request.exchange.answer(HTTPStatus.GATEWAY_TIMEOUT, [])
        else:
            self._answer_refusal(request, SHORTEST_RETRY_MS)

    def _answer_failure(
        self,
        request: CarriedRequest,
        outcome: Outcome,
    ) -> None:
        if outcome.verdict is Verdict.NOT_RUN:
            again_ms = outcome.result.again_ms if outcome.result else 0
            self._answer_refusal(request, again_ms)
        else:
            request.exchange.answer(HTTPStatus.BAD_GATEWAY, [])

    def _answer_refusal(
        self,
        request: CarriedRequest,
        again_ms: float,
    ) -> None:
        # Spread over as much again, so that refused clients do not return
        # at the same moment.
        wait_ms = max(again_ms, SHORTEST_RETRY_MS) * self._rng.uniform(1, 2)
        headers: list[Header] = [
            (b'Retry-After', b'%.3f' % (wait_ms / MS_PER_S)),
        ]
        request.exchange.answer(HTTPStatus.SERVICE_UNAVAILABLE, headers)

    async def _deliver(
        self,
        request: CarriedRequest,
        outcome: Outcome,
    ) -> None:
        exchange, answer = request.exchange, outcome.answer
        if answer is None:
            return
        headers = client_headers(answer.head)
        if outcome.whole:
            exchange.answer(answer.head.status, headers, outcome.content)
            return
        try:
            exchange.start(answer.head.status, headers, answer.head.length)
            exchange.write(outcome.content)
            while piece := await answer.body.read():
                exchange.write(piece)
                await exchange.drain()
            exchange.finish()
        except BodyCutError:
            log_event(
                'carrier:answer-cut',
                request_id=request.call.request_id,
                service=request.service,
            )
            exchange.abort()
        finally:
            if outcome.connection is not None:
                outcome.connection.close()


class Journey:
    """The attempts of one request.

    Attributes:
        may_have_run: Whether a server may have run the request.
    """

    def __init__(self, carrier: Carrier, request: CarriedRequest) -> None:
        """Create a journey without attempts."""
        self.may_have_run = False
        self._carrier = carrier
        self._request = request
        self._tried: set[str] = set()
        self._runs = 0
        self._offers = 0
        self._instances_by_task: dict[AsyncioTask[Outcome], str] = {}

    async def run(self) -> Outcome:
        """Make attempts until one has an answer, or no more may be made."""
        body = await self._gather_body()
        self._carrier.note_request(self._request.service)
        last = Outcome(Verdict.NOT_RUN, 'no-server')
        try:
            while self._start(body):
                outcome = await self._wait()
                if not outcome.failed or not self._may_go_on(outcome, body):
                    return outcome
                last = outcome
            return last
        finally:
            for task in self._instances_by_task:
                task.cancel()

    def log(self, reason: str) -> None:
        """Write the line of a request without an answer of a server."""
        request = self._request
        log_event(
            'carrier:failed',
            request_id=request.call.request_id,
            service=request.service,
            route=request.route.name,
            reason=reason,
            may_have_run=self.may_have_run,
            tried=sorted(self._tried),
            left_ms=round(request.left_ms()),
        )

    async def _gather_body(self) -> bytes | None:
        exchange = self._request.exchange
        length = exchange.head.length
        if length is None or length > BUFFER_BYTES:
            return None
        return await exchange.body.gather(BUFFER_BYTES)

    def _start(self, body: bytes | None) -> bool:
        request = self._request
        if self._offers >= MOST_OFFERS or request.left_ms() < LEAST_LEFT_MS:
            return False
        choice = self._carrier.choose(request, self._tried)
        if choice is None or choice.estimate.wait_ms > request.left_ms():
            return False
        self._offers += 1
        self._tried.add(choice.instance)
        task = self._carrier.start(
            request,
            choice.instance,
            body,
            repeated=self._runs > 0,
        )
        self.may_have_run = True
        self._instances_by_task[task] = choice.instance
        return True

    async def _wait(self) -> Outcome:
        done, _ = await wait(
            self._instances_by_task,
            return_when=FIRST_COMPLETED,
        )
        task = done.pop()
        instance = self._instances_by_task.pop(task)
        outcome = task.result()
        self._carrier.note_outcome(self._request, instance, outcome)
        return outcome

    def _may_go_on(self, outcome: Outcome, body: bytes | None) -> bool:
        request = self._request
        if outcome.verdict is Verdict.NOT_RUN:
            self.may_have_run = self._runs > 0
            if outcome.reason != 'server-refused':
                return body is not None
        else:
            self._runs += 1
            if not request.route.idempotent:
                return False
            if self._runs >= request.route.attempts:
                return False
        return body is not None and self._carrier.may_repeat(request.service)
