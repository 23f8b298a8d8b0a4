"""The attempts of one request, until one has a response."""

from asyncio import FIRST_COMPLETED, Future, get_running_loop, sleep, wait
from asyncio import Task as AsyncioTask
from typing import Any, Final, NamedTuple

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.peer_attempts import BUFFER_BYTES, Outcome
from bergamotshunt.choice.server_records import ServerRecord
from bergamotshunt.decisions.forecast_hedging import (
    FIRST_CHECK_FACTOR,
    CHECK_FACTOR,
    MIN_CHECK_MS,
    RunningAttempt,
    is_hedge_worthwhile,
)
from bergamotshunt.decisions.server_choice import Choice
from bergamotshunt.decisions.slot_waits import is_wait_worthwhile
from bergamotshunt.entry.carried_requests import MS_PER_S, CarriedRequest
from bergamotshunt.entry.journey_log import JourneyLog
from bergamotshunt.verdicts import Verdict

# Offers that other daemons refuse cost their backend servers nothing.
MAX_OFFERS: Final = 4
MIN_LEFT_MS: Final = 5.0
# The daemon beside the server knows the wait better than its last report.
WAIT_DOUBT: Final = 0.7
MAX_DELAYS: Final = 2


class RunningTry(NamedTuple):
    """An attempt that is under way.

    Attributes:
        instance: The server.
        record: What is known of it.
        began_ms: Reading of its work clock when the request was sent.
        wait_ms: Expected time in its queue.
        is_extra: Whether it took the budget of an extra arrival.
    """

    instance: str
    record: ServerRecord
    began_ms: float
    wait_ms: float
    is_extra: bool


class Journey:
    """The attempts of one request.

    Attributes:
        may_have_run: Whether a server may have run the request.
        log: Tells what became of it.
    """

    def __init__(self, dispatcher: Dispatcher, request: CarriedRequest) -> None:
        """Create a journey without attempts."""
        self.may_have_run = False
        self._dispatcher = dispatcher
        self._request = request
        self._tried: set[str] = set()
        self._failure = Outcome(Verdict.NOT_RUN, 'no-server')
        self._runs = 0
        self._offers = 0
        # Budget that is taken for the next attempt.
        self._has_extra = False
        self._tries_by_task: dict[AsyncioTask[Outcome], RunningTry] = {}
        self._look_ms: float = 0
        self.log = JourneyLog(dispatcher, request)
        self._nudged: Future[None] | None = None

    async def run(self) -> Outcome:
        """Make attempts until one has a response, or no more may be made."""
        body = await self._gather_body()
        self._dispatcher.record_request(self._request.service)
        choice = await self._await_turn()
        try:
            return await self._attempt(body, choice)
        finally:
            self._cancel_tries()
            if self._has_extra:
                self._dispatcher.release_extra_attempt(self._request)

    def _cancel_tries(self) -> None:
        for task, running in self._tries_by_task.items():
            running.record.watchers.discard(self._nudge)
            if not task.cancel():
                _drop(task.result())

    async def _attempt(
        self,
        body: bytes | None,
        choice: Choice | None,
    ) -> Outcome:
        while self._tries_by_task or self._start(body, choice):
            choice = None
            outcome = await self._wait(body)
            if not outcome.failed:
                return outcome
            self._note_failure(outcome)
            if not self._may_go_on(outcome, body):
                break
        return self._failure

    async def _gather_body(self) -> bytes | None:
        exchange = self._request.exchange
        length = exchange.head.length
        if length is None or length > BUFFER_BYTES:
            return None
        return await exchange.body.gather(BUFFER_BYTES)

    async def _await_turn(self) -> Choice | None:
        """Wait for a server's fresh turn where the run fits better.

        Returns:
            The choice of now; None when there is none or a new one is due.
        """
        first_reports_wait_s = self._dispatcher.first_reports_wait_s(
            self._request.service
        )
        if first_reports_wait_s:
            await sleep(first_reports_wait_s)
        for _ in range(MAX_DELAYS):
            plan = self._dispatcher.plan(self._request, self._tried)
            if plan is None:
                return None
            if not plan.delay_ms:
                return plan.choice
            self._dispatcher.counts.increment('delays_for_turn')
            await sleep(plan.delay_ms / MS_PER_S)
        return None

    def _start(self, body: bytes | None, choice: Choice | None) -> bool:
        request = self._request
        if self._offers >= MAX_OFFERS or request.left_ms() < MIN_LEFT_MS:
            return False
        choice = choice or self._dispatcher.choose(request, self._tried)
        if choice is None:
            return False
        if not self._is_wait_worth(choice):
            self._note_failure(
                Outcome(
                    Verdict.NOT_RUN,
                    f'no-slot-in-time: {self.log.describe(choice)}',
                    again_ms=choice.estimate.wait_ms,
                ),
            )
            return False
        self._launch(choice, body)
        return True

    def _is_wait_worth(self, choice: Choice) -> bool:
        request = self._request
        return is_wait_worthwhile(
            choice.estimate.wait_ms * WAIT_DOUBT,
            choice.estimate.run_ms,
            request.time_left(),
        )

    def _launch(self, choice: Choice, body: bytes | None) -> None:
        request = self._request
        self._offers += 1
        self.log.note_choice(choice)
        self._tried.add(choice.instance)
        task = self._dispatcher.start(request, choice.instance, body)
        self.may_have_run = True
        record = self._dispatcher.record(choice.instance)
        record.watchers.add(self._nudge)
        self._tries_by_task[task] = RunningTry(
            instance=choice.instance,
            record=record,
            began_ms=record.done_work_ms(get_running_loop().time()),
            wait_ms=choice.estimate.wait_ms,
            is_extra=self._has_extra,
        )
        self._has_extra = False
        self._look_ms = max(
            choice.estimate.total_ms * FIRST_CHECK_FACTOR,
            MIN_CHECK_MS,
        )

    def _nudge(self) -> None:
        """Look at once whether another server should be asked as well."""
        if self._nudged is not None and not self._nudged.done():
            self._nudged.set_result(None)

    async def _wait(self, body: bytes | None) -> Outcome:
        while True:
            self._nudged = get_running_loop().create_future()
            pending: list[Future[Any]] = [*self._tries_by_task, self._nudged]
            done, _ = await wait(
                pending,
                return_when=FIRST_COMPLETED,
                timeout=self._look_ms / MS_PER_S,
            )
            for task in self._tries_by_task:
                if task in done:
                    return self._end_try(task)
            self._move_if_worth(body)

    def _end_try(self, task: 'AsyncioTask[Outcome]') -> Outcome:
        running = self._tries_by_task.pop(task)
        running.record.watchers.discard(self._nudge)
        outcome = task.result()
        if running.is_extra and not outcome.arrived:
            self._has_extra = True
        self._dispatcher.record_outcome(
            self._request, running.instance, outcome
        )
        return outcome

    def _move_if_worth(self, body: bytes | None) -> None:
        request = self._request
        self._look_ms = max(self._look_ms * CHECK_FACTOR, MIN_CHECK_MS)
        may_run = self._runs + len(self._tries_by_task)
        repeatable = request.route.idempotent and body is not None
        if not repeatable or may_run >= request.route.attempts:
            return
        choice = self._dispatcher.choose(request, self._tried)
        if choice is None or not self._is_worth(choice):
            return
        if self._take_extra():
            self.log.moved(choice)
            self._launch(choice, body)

    def _is_worth(self, choice: Choice) -> bool:
        request = self._request
        now_s = get_running_loop().time()
        left = request.time_left()
        work_ms = self._dispatcher.typical_work(request.route.name).work_ms
        return all(
            is_hedge_worthwhile(
                RunningAttempt(
                    view=running.record.view(now_s),
                    work_ms=work_ms,
                    done_work_ms=max(
                        running.record.done_work_ms(now_s)
                        - running.began_ms
                        - running.wait_ms,
                        0,
                    ),
                ),
                choice.estimate,
                left,
            )
            for running in self._tries_by_task.values()
        )

    def _note_failure(self, outcome: Outcome) -> None:
        """Keep the failure that the client is told.

        An attempt that may have run outweighs those that did not, and a
        response of a server outweighs that there is none.
        """
        if outcome.verdict is not Verdict.NOT_RUN:
            self._runs += 1
        known = self._failure
        if outcome.response is not None or (
            known.response is None and known.verdict is Verdict.NOT_RUN
        ):
            self._failure = outcome

    def _may_go_on(self, outcome: Outcome, body: bytes | None) -> bool:
        request = self._request
        if self._tries_by_task:
            # Another attempt is under way; it decides.
            return True
        self.may_have_run = self._runs > 0
        if body is None:
            return False
        if not outcome.arrived:
            return True
        repeatable = (
            outcome.verdict is Verdict.NOT_RUN or request.route.idempotent
        )
        if not repeatable or self._runs >= request.route.attempts:
            return False
        return self._take_extra()

    def _take_extra(self) -> bool:
        """Take the budget of an extra arrival, unless there is one."""
        if not self._has_extra:
            request = self._request
            self._has_extra = self._dispatcher.reserve_extra_attempt(request)
        return self._has_extra


def _drop(outcome: Outcome) -> None:
    """Close the connection of a response that nobody reads."""
    if outcome.connection is not None:
        outcome.connection.close()
