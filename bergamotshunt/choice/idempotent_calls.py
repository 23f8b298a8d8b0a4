"""Calls of idempotent targets: attempts, retries and hedged requests.

The ingress and the client library use this module, so it must not depend on
the server side of HTTP.
"""

from asyncio import FIRST_COMPLETED, create_task, gather, sleep, wait
from asyncio import Task as AsyncioTask
from collections.abc import Callable, Collection
from math import inf
from random import Random
from typing import Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.choice.attempts import AttemptRunner
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.choice.service_views import ChosenCandidate, ServiceView
from bergamotshunt.decisions.deadlines import attempt_timeout_ms
from bergamotshunt.decisions.hedging import is_hedging_permitted
from bergamotshunt.decisions.retries import (
    MAX_ATTEMPTS,
    backoff_ms,
    combine_failures,
    is_retry_permitted,
)
from bergamotshunt.ingress.call_types import Attempt, CallBody, CallResponse
from bergamotshunt.metrics import EXTRA_ATTEMPTS
from bergamotshunt.verdicts import CallFailure, create_refusal

MS_PER_S: Final = 1000

Outcome = Result[CallResponse, CallFailure]


class CallContext(NamedTuple):
    """Dependencies that all calls of one owner share.

    Attributes:
        runner: Runs attempts.
        rng: Random source.
        clock_ms: Monotonic time in milliseconds.
    """

    runner: AttemptRunner
    rng: Random
    clock_ms: Callable[[], float]


class IdempotentCall:
    """One call of an idempotent target.

    Args:
        context: Dependencies that all calls share.
        view: Servers of the called service.
        head: The call.
        body: Its body; a streamed one is sent only once.
    """

    def __init__(
        self,
        context: CallContext,
        view: ServiceView,
        head: CallHead,
        body: CallBody,
    ) -> None:
        """Create a call without attempts."""
        self.context = context
        self.view = view
        self.head = head
        self.body = body
        self.tried: set[str] = set()
        self.attempts = 0
        self.failures: list[CallFailure] = []
        # Monotonic time before which a server that failed gets no retry; it may
        # have stated a pause.
        self.not_before_ms_by_id: dict[str, float] = {}

    async def run(self) -> Outcome:
        """Make attempts until one succeeds or none is permitted.

        Returns:
            The response, or a failure with the verdict on all attempts.
        """
        while True:
            choice = self._choose()
            if choice is None:
                self.failures.append(
                    create_no_server_refusal(self.head.service)
                )
                return Failure(combine_failures(self.failures))
            outcome = await self._attempt(choice)
            if isinstance(outcome, Success):
                return outcome
            if not await self._prepare_retry():
                return Failure(combine_failures(self.failures))

    def _choose(self) -> ChosenCandidate | None:
        now_ms = self.context.clock_ms()
        tried: Collection[str] = self.tried
        if self.tried and not self.view.has_other_than(self.tried):
            # Every server was tried: exclude only those that asked for a
            # longer pause.
            tried = {
                daemon_id
                for daemon_id, not_before_ms in self.not_before_ms_by_id.items()
                if not_before_ms > now_ms
            }
        # A streamed body cannot be sent again, so such a call is not used as
        # the trial request of an ejected server.
        return self.view.choose(
            now_ms, tried, 0 if self.body.stream is None else inf
        )

    async def _attempt(self, choice: ChosenCandidate) -> Outcome:
        """Make an attempt; the first one is hedged when it is slow."""
        delay_ms = None
        if not self.attempts and self.body.stream is None:
            delay_ms = self._hedge_delay_ms()
        if delay_ms is None:
            return await self._send(choice)
        first_task = create_task(self._send(choice))
        tasks = [first_task]
        try:
            await wait(tasks, timeout=delay_ms / MS_PER_S)
            hedge_choice = None if first_task.done() else self._choose_hedge()
            if hedge_choice is not None:
                tasks.append(create_task(self._send(hedge_choice)))
            return await take_first_success(tasks)
        finally:
            await cancel_attempts(tasks)

    async def _send(self, choice: ChosenCandidate) -> Outcome:
        daemon_id = choice.candidate.member.daemon_id
        self.tried.add(daemon_id)
        self.attempts += 1
        outcome = await self.context.runner.run(
            self.view,
            Attempt(
                self.head,
                self.body,
                choice.candidate.member,
                self.attempts,
                is_trial=choice.is_trial,
            ),
        )
        if isinstance(outcome, Failure):
            failure = outcome.failure()
            self.failures.append(failure)
            self.not_before_ms_by_id[daemon_id] = (
                self.context.clock_ms() + failure.retry_after_ms
            )
        return outcome

    def _hedge_delay_ms(self) -> float | None:
        if not is_hedging_permitted(self.head):
            return None
        delay_ms = self.view.retry_budgets.hedge_delay_ms(self.head.target.name)
        if delay_ms is None or len(self.view.candidate_by_id) < 2:
            return None
        left_ms = self.head.deadline_ms - self.context.clock_ms()
        return delay_ms if delay_ms < left_ms else None

    def _choose_hedge(self) -> ChosenCandidate | None:
        if not self.view.has_other_than(self.tried):
            return None
        if not self.view.retry_budgets.take_hedge_tokens():
            return None
        EXTRA_ATTEMPTS.labels(self.head.service, 'hedge').inc()
        return self.view.choose(self.context.clock_ms(), self.tried)

    async def _prepare_retry(self) -> bool:
        """Wait before one more attempt; return False if none is permitted."""
        if self.body.stream is not None or self.attempts >= MAX_ATTEMPTS:
            return False
        if not all(
            is_retry_permitted(self.head, failure) for failure in self.failures
        ):
            return False
        pause_ms = self._pause_ms()
        starts_at_ms = self.context.clock_ms() + pause_ms
        if attempt_timeout_ms(self.head.deadline_ms, starts_at_ms) is None:
            return False
        if not self.view.retry_budgets.take_retry_token():
            EXTRA_ATTEMPTS.labels(self.head.service, 'over-budget').inc()
            return False
        EXTRA_ATTEMPTS.labels(self.head.service, 'retry').inc()
        if pause_ms > 0:
            await sleep(pause_ms / MS_PER_S)
        return True

    def _pause_ms(self) -> float:
        has_untried = self.view.has_other_than(self.tried)
        pause_ms = backoff_ms(len(self.failures), has_untried, self.context.rng)
        if has_untried:
            return pause_ms
        soonest_ms = min(self.not_before_ms_by_id.values())
        return max(pause_ms, soonest_ms - self.context.clock_ms())


async def take_first_success(tasks: list[AsyncioTask[Outcome]]) -> Outcome:
    """Wait until one attempt succeeds or all have failed.

    Returns:
        The first success, or the failure of the first attempt.
    """
    pending = set(tasks)
    while pending:
        _, pending = await wait(pending, return_when=FIRST_COMPLETED)
        for task in tasks:
            if task.done() and isinstance(task.result(), Success):
                return task.result()
    return tasks[0].result()


async def cancel_attempts(tasks: list[AsyncioTask[Outcome]]) -> None:
    """Cancel the attempts that still run, which closes their connections.

    When two responses arrived at the same time, the first one in the list is
    used and the other one is closed.
    """
    for task in tasks:
        task.cancel()
    outcomes = await gather(*tasks, return_exceptions=True)
    responses = [
        outcome.unwrap() for outcome in outcomes if isinstance(outcome, Success)
    ]
    for unused in responses[1:]:
        if unused.rest is not None:
            unused.rest.close()


def create_no_server_refusal(service: str) -> CallFailure:
    """Build the refusal of a call to a service without a serving server."""
    return create_refusal(
        'no-server', f'no backend server of {service} is serving'
    )
