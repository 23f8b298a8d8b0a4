"""Attempts of one request: dispatch, hedging, retries and their limits."""

from asyncio import FIRST_COMPLETED, Future, get_running_loop, sleep, wait
from asyncio import Task as AsyncioTask
from typing import Any, Final, NamedTuple

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.peer_attempts import (
    MAX_BUFFERED_BYTES,
    AttemptOutcome,
)
from bergamotshunt.choice.server_records import ServerRecord
from bergamotshunt.decisions.authentication import CONFIRMATION_RETRY_MS
from bergamotshunt.decisions.forecast_hedging import (
    FIRST_CHECK_FACTOR,
    MIN_CHECK_INTERVAL_MS,
    RECHECK_FACTOR,
    RunningAttempt,
    is_hedge_worthwhile,
)
from bergamotshunt.decisions.server_choice import Choice
from bergamotshunt.decisions.slot_refusals import EXPIRED_PERMIT_REASON
from bergamotshunt.decisions.slot_waits import is_wait_worthwhile
from bergamotshunt.ingress.forwarded_requests import MS_PER_S, ForwardedRequest
from bergamotshunt.ingress.forwarding_log import ForwardingLog
from bergamotshunt.verdicts import Verdict

# Limit for all attempts of a request. The route's limit counts only those that
# may have run: attempts that other daemons refuse cost their servers nothing.
MAX_DISPATCHES: Final = 4
MIN_TIME_LEFT_MS: Final = 5.0
# Discounts the estimated wait when deciding whether it pays off: the daemon
# beside the server knows the wait better than its last load report.
WAIT_ESTIMATE_FACTOR: Final = 0.7
MAX_PHASE_WAITS: Final = 2

PERMIT_EXPIRED: Final = AttemptOutcome(
    Verdict.NOT_RUN,
    EXPIRED_PERMIT_REASON,
    retry_after_ms=CONFIRMATION_RETRY_MS,
)


class PendingAttempt(NamedTuple):
    """An attempt in flight.

    Attributes:
        instance: Instance id of the server that it was sent to.
        record: State of that server, as this daemon knows it.
        start_work_ms: Reading of the server's work meter when the request
            was sent, in milliseconds at the baseline pace.
        wait_ms: Expected time in its queue in milliseconds.
        is_extra: Whether it used the budget of extra attempts.
    """

    instance: str
    record: ServerRecord
    start_work_ms: float
    wait_ms: float
    is_extra: bool


class RequestForwarder:
    """Makes the attempts of one request.

    Args:
        dispatcher: Chooses servers and sends requests to them.
        request: The client's request.

    Attributes:
        may_have_run: Whether a server may have run the request.
        log: Logs its attempts and its outcome.
    """

    def __init__(
        self, dispatcher: Dispatcher, request: ForwardedRequest
    ) -> None:
        """Create a forwarder without attempts."""
        self.may_have_run = False
        self._dispatcher = dispatcher
        self._request = request
        self._tried_instances: set[str] = set()
        self._failure = AttemptOutcome(Verdict.NOT_RUN, 'no-server')
        self._possible_runs = 0
        self._dispatch_count = 0
        # Whether budget is reserved for the next extra attempt.
        self._has_extra_reserved = False
        self._attempts_by_task: dict[
            AsyncioTask[AttemptOutcome], PendingAttempt
        ] = {}
        self._recheck_ms: float = 0
        self.log = ForwardingLog(dispatcher, request)
        self._wake_up_signal: Future[None] | None = None

    async def run(self) -> AttemptOutcome:
        """Make attempts until one succeeds or no further one is allowed.

        Returns:
            The response of a server, or the failure to report.

        Raises:
            IncompleteBodyError: The client's request ended while its body was
                buffered.
        """
        body = await self._buffer_body()
        self._dispatcher.record_request(self._request)
        choice = await self._wait_for_phase()
        try:
            return await self._run_attempts(body, choice)
        except BaseException:
            _close_unread(self._failure)
            raise
        finally:
            self._cancel_attempts()
            if self._has_extra_reserved:
                self._dispatcher.release_extra_attempt(self._request)

    def _cancel_attempts(self) -> None:
        for task, attempt in self._attempts_by_task.items():
            attempt.record.watchers.discard(self._wake_up)
            if not task.cancel():
                _close_unread(task.result())

    async def _run_attempts(
        self,
        body: bytes | None,
        choice: Choice | None,
    ) -> AttemptOutcome:
        while self._attempts_by_task or self._start_attempt(body, choice):
            choice = None
            outcome = await self._wait_for_outcome(body)
            if not outcome.failed:
                _close_unread(self._failure)
                return outcome
            self._keep_failure(outcome)
            if not self._may_continue(outcome, body):
                break
        return self._failure

    async def _buffer_body(self) -> bytes | None:
        exchange = self._request.exchange
        length = exchange.head.length
        if length is None or length > MAX_BUFFERED_BYTES:
            return None
        return await exchange.body.read_up_to(MAX_BUFFERED_BYTES)

    async def _wait_for_phase(self) -> Choice | None:
        """Wait for the next phase of a server if the run fits into that one.

        A phase is a period in which the pace of a server stays the same.

        Returns:
            The choice to use at once; None when no server can be chosen,
            or when a new choice has to be made after the last wait.
        """
        first_reports_wait_s = self._dispatcher.first_reports_wait_s(
            self._request.service
        )
        if first_reports_wait_s:
            await sleep(first_reports_wait_s)
        for _ in range(MAX_PHASE_WAITS):
            plan = self._dispatcher.plan(self._request, self._tried_instances)
            if plan is None:
                return None
            if not plan.delay_ms:
                return plan.choice
            self._dispatcher.metrics.increment('delays_for_turn')
            await sleep(plan.delay_ms / MS_PER_S)
        return None

    def _start_attempt(self, body: bytes | None, choice: Choice | None) -> bool:
        request = self._request
        if (
            self._dispatch_count >= MAX_DISPATCHES
            or request.left_ms() < MIN_TIME_LEFT_MS
        ):
            return False
        if not request.is_permitted():
            self._keep_failure(PERMIT_EXPIRED)
            return False
        choice = choice or self._dispatcher.choose(
            request, self._tried_instances
        )
        if choice is None:
            return False
        if not self._is_wait_worthwhile(choice):
            self._keep_failure(
                AttemptOutcome(
                    Verdict.NOT_RUN,
                    f'no-slot-in-time: {self.log.describe(choice)}',
                    retry_after_ms=choice.estimate.wait_ms,
                ),
            )
            return False
        self._dispatch(choice, body)
        return True

    def _is_wait_worthwhile(self, choice: Choice) -> bool:
        """Return whether the server may have a slot in time.

        Its load report does not tell which of the waiting requests go first.
        So one attempt is made unless even the next free slot is too late.
        """
        estimate = choice.estimate
        wait_ms = estimate.wait_ms
        if not self._dispatch_count:
            wait_ms = estimate.next_slot_ms
        return is_wait_worthwhile(
            wait_ms * WAIT_ESTIMATE_FACTOR,
            estimate.run_ms,
            self._request.time_left(),
        )

    def _dispatch(self, choice: Choice, body: bytes | None) -> None:
        request = self._request
        self._dispatch_count += 1
        self.log.record_attempt(choice)
        self._tried_instances.add(choice.instance)
        task = self._dispatcher.start(request, choice.instance, body)
        self.may_have_run = True
        record = self._dispatcher.server_record(choice.instance)
        record.watchers.add(self._wake_up)
        self._attempts_by_task[task] = PendingAttempt(
            instance=choice.instance,
            record=record,
            start_work_ms=record.work_meter_ms(get_running_loop().time()),
            wait_ms=choice.estimate.wait_ms,
            is_extra=self._has_extra_reserved,
        )
        self._has_extra_reserved = False
        self._recheck_ms = max(
            choice.estimate.total_ms * FIRST_CHECK_FACTOR,
            MIN_CHECK_INTERVAL_MS,
        )

    def _wake_up(self) -> None:
        """Re-evaluate at once whether to make a hedged attempt."""
        if self._wake_up_signal is not None and not self._wake_up_signal.done():
            self._wake_up_signal.set_result(None)

    async def _wait_for_outcome(self, body: bytes | None) -> AttemptOutcome:
        while True:
            self._wake_up_signal = get_running_loop().create_future()
            pending: list[Future[Any]] = [
                *self._attempts_by_task,
                self._wake_up_signal,
            ]
            done, _ = await wait(
                pending,
                return_when=FIRST_COMPLETED,
                timeout=self._recheck_ms / MS_PER_S,
            )
            for task in self._attempts_by_task:
                if task in done:
                    return self._end_attempt(task)
            self._hedge_if_worthwhile(body)

    def _end_attempt(
        self, task: 'AsyncioTask[AttemptOutcome]'
    ) -> AttemptOutcome:
        attempt = self._attempts_by_task.pop(task)
        attempt.record.watchers.discard(self._wake_up)
        outcome = task.result()
        if attempt.is_extra and not outcome.may_have_arrived:
            self._has_extra_reserved = True
        self._dispatcher.record_outcome(
            self._request, attempt.instance, outcome
        )
        return outcome

    def _hedge_if_worthwhile(self, body: bytes | None) -> None:
        request = self._request
        self._recheck_ms = max(
            self._recheck_ms * RECHECK_FACTOR, MIN_CHECK_INTERVAL_MS
        )
        possible_runs = self._possible_runs + len(self._attempts_by_task)
        retryable = request.route.idempotent and body is not None
        may_send = retryable and request.is_permitted()
        if not may_send or possible_runs >= request.route.attempts:
            return
        choice = self._dispatcher.choose(request, self._tried_instances)
        if choice is None or not self._is_hedge_worthwhile(choice):
            return
        if self._reserve_extra_attempt():
            self.log.log_hedge(choice)
            self._dispatch(choice, body)

    def _is_hedge_worthwhile(self, choice: Choice) -> bool:
        request = self._request
        now_s = get_running_loop().time()
        time_left = request.time_left()
        work_ms = self._dispatcher.typical_work(request.route.name).work_ms
        return all(
            is_hedge_worthwhile(
                RunningAttempt(
                    view=attempt.record.view(now_s),
                    work_ms=work_ms,
                    done_work_ms=max(
                        attempt.record.work_meter_ms(now_s)
                        - attempt.start_work_ms
                        - attempt.wait_ms,
                        0,
                    ),
                ),
                choice.estimate,
                time_left,
            )
            for attempt in self._attempts_by_task.values()
        )

    def _keep_failure(self, outcome: AttemptOutcome) -> None:
        """Keep the failure that is reported to the client.

        An attempt that may have run takes precedence over those that did
        not, and a response of a server over a missing one. Of refusals, the
        shortest time until a retry is kept.
        """
        if outcome.verdict is not Verdict.NOT_RUN:
            self._possible_runs += 1
        kept = self._failure
        outcome = _with_shorter_retry(outcome, kept)
        if outcome.response is not None or (
            kept.response is None and kept.verdict is Verdict.NOT_RUN
        ):
            _close_unread(kept)
            self._failure = outcome

    def _may_continue(
        self, outcome: AttemptOutcome, body: bytes | None
    ) -> bool:
        request = self._request
        if self._attempts_by_task:
            # Another attempt is still in flight and decides the outcome.
            return True
        self.may_have_run = self._possible_runs > 0
        if body is None:
            return False
        if not outcome.may_have_arrived:
            return True
        retryable = (
            outcome.verdict is Verdict.NOT_RUN or request.route.idempotent
        )
        if not retryable or self._possible_runs >= request.route.attempts:
            return False
        return self._reserve_extra_attempt()

    def _reserve_extra_attempt(self) -> bool:
        """Reserve budget for an extra attempt unless some is reserved."""
        if not self._has_extra_reserved:
            request = self._request
            self._has_extra_reserved = self._dispatcher.reserve_extra_attempt(
                request
            )
        return self._has_extra_reserved


def _with_shorter_retry(
    outcome: AttemptOutcome, earlier: AttemptOutcome
) -> AttemptOutcome:
    """Return an outcome with the shorter retry time of two refusals."""
    known_ms = [
        refusal.retry_after_ms
        for refusal in (outcome, earlier)
        if refusal.verdict is Verdict.NOT_RUN and refusal.retry_after_ms
    ]
    if outcome.verdict is not Verdict.NOT_RUN or not known_ms:
        return outcome
    return outcome._replace(retry_after_ms=min(known_ms))


def _close_unread(outcome: AttemptOutcome) -> None:
    """Close the connection of a response that nobody reads."""
    if outcome.connection is not None:
        outcome.connection.close()
