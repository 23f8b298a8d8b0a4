"""Bookings of this process: each key runs once, repeats join as waiters."""

from asyncio import CancelledError, Future, get_running_loop, shield, timeout
from asyncio import Task as AsyncioTask
from collections.abc import Awaitable, Callable, Coroutine
from http import HTTPStatus
from typing import Any, Final

from returns.result import Failure, Success

from bergamotshunt.backend.guard_metrics import BOOKING_ACTIONS
from bergamotshunt.backend.guard_requests import BookingHeaders
from bergamotshunt.backend.local_server import ServerResponse
from bergamotshunt.choice.calls import CompleteResponse
from bergamotshunt.decisions.bookings import BookingAction, BookingTable
from bergamotshunt.decisions.tickets import ProcessName, format_process
from bergamotshunt.ingress.booking_responses import (
    BOOKING_RESPONDERS,
    GuardOutcome,
    create_response_not_kept,
)
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
# After these, no process needs to run the booking: its deadline has passed or
# its sender has disconnected.
REASONS_WITHOUT_HANDOVER: Final = frozenset(('expired', 'cancelled'))
StartRun = Callable[['BookingRun'], Coroutine[Any, Any, GuardOutcome]]
Spawn = Callable[[Coroutine[Any, Any, None]], AsyncioTask[None]]
ChooseSuccessor = Callable[[BookingHeaders], ProcessName | None]


class BookingRun:
    """A booking that is queued or runs on the backend server.

    Attributes:
        waiters: Number of senders that wait for the outcome.
        is_queued: Whether nothing was sent to the server yet.
        outcome: Set once, for all waiters.
        task: Task that runs the booking; None before it is spawned.
    """

    def __init__(self) -> None:
        """Create a queued run."""
        self.waiters = 0
        self.is_queued = True
        self.outcome: Future[GuardOutcome] = get_running_loop().create_future()
        self.task: AsyncioTask[None] | None = None
        self._is_stream_claimed = False

    def mark_started(self) -> None:
        """Record that the request is about to be sent to the server."""
        self.is_queued = False

    def claim_outcome(self, outcome: GuardOutcome) -> GuardOutcome:
        """Return the outcome; a streamed response only to the first caller."""
        match outcome:
            case Success(ServerResponse() as response) if (
                not response.is_complete
            ):
                if self._is_stream_claimed:
                    return Failure(create_response_not_kept())
                self._is_stream_claimed = True
        return outcome

    def remove_waiter(self) -> None:
        """Remove a waiter that stopped waiting.

        A queued run without waiters is cancelled. A started one continues,
        so that a repeat gets its outcome.
        """
        self.waiters -= 1
        if self.waiters:
            return
        if self.is_queued and self.task is not None:
            self.task.cancel()
        if self.outcome.done() and not self._is_stream_claimed:
            close_stream(self.outcome.result())


class BookingRuns:
    """Booking table and running bookings of one process.

    Owned by the guard task; not shared with other tasks.

    Args:
        table: Booking keys that this process owns.
        spawn: Starts a task that is independent of the sender.
        choose_successor: Returns the process to hand a booking over to;
            None if there is none.
    """

    def __init__(
        self,
        table: BookingTable,
        spawn: Spawn,
        choose_successor: ChooseSuccessor,
    ) -> None:
        """Create the state without running bookings."""
        self.table = table
        self.spawn = spawn
        self.choose_successor = choose_successor
        self.by_key: dict[str, BookingRun] = {}

    async def serve(
        self,
        booking: BookingHeaders,
        left_ms: float,
        start: StartRun,
    ) -> GuardOutcome:
        """Run, join or replay a booking.

        Args:
            booking: Key, ticket and handover chain.
            left_ms: Time until the deadline of the sender, in
                milliseconds.
            start: Runs the booking; calls ``mark_started`` of its run
                before anything is sent to the backend server.
        """
        action = self.table.look_up(booking.key, booking.ticket, booking.chain)
        BOOKING_ACTIONS.labels(action.value).inc()
        if action is BookingAction.RUN:
            self._start(booking, start)
        if action in {BookingAction.RUN, BookingAction.JOIN}:
            run = self.by_key[booking.key]
            return await wait_for_outcome(run, left_ms)
        return BOOKING_RESPONDERS.get(action.value)(self.table, booking)

    def _start(self, booking: BookingHeaders, start: StartRun) -> None:
        run = BookingRun()
        self.table.start(booking.key, booking.ticket)
        self.by_key[booking.key] = run
        run.task = self.spawn(self._run(booking, run, start(run)))

    async def _run(
        self,
        booking: BookingHeaders,
        run: BookingRun,
        run_coroutine: Awaitable[GuardOutcome],
    ) -> None:
        try:
            outcome = await run_coroutine
        except CancelledError:
            outcome = Failure(create_interruption_failure(run))
        except Exception:
            self._finish_run(
                booking, run, Failure(create_interruption_failure(run))
            )
            raise
        self._finish_run(booking, run, outcome)

    def _finish_run(
        self,
        booking: BookingHeaders,
        run: BookingRun,
        outcome: GuardOutcome,
    ) -> None:
        """Record the outcome, then wake up the waiters."""
        self.by_key.pop(booking.key)
        match outcome:
            case Success(response):
                self.table.finish(booking.key, replayable_response(response))
            case Failure(failure) if failure.verdict is Verdict.NOT_RUN:
                outcome = Failure(self._hand_over_or_withdraw(booking, failure))
            case Failure(_):
                self.table.mark_unknown(booking.key)
        run.outcome.set_result(outcome)
        if not run.waiters:
            close_stream(outcome)

    def _hand_over_or_withdraw(
        self,
        booking: BookingHeaders,
        failure: CallFailure,
    ) -> CallFailure:
        """Hand over a booking that did not run, or remove its record."""
        successor = None
        if failure.reason not in REASONS_WITHOUT_HANDOVER:
            successor = self.choose_successor(booking)
        if successor is None:
            self.table.cancel(booking.key)
            return failure
        self.table.hand_over(booking.key, successor)
        return failure._replace(successor=format_process(successor))


async def wait_for_outcome(run: BookingRun, left_ms: float) -> GuardOutcome:
    """Wait for the outcome of a run until the deadline of the sender.

    Args:
        run: The run.
        left_ms: Time until that deadline, in milliseconds.
    """
    run.waiters += 1
    try:
        async with timeout(left_ms / MS_PER_S):
            return run.claim_outcome(await shield(run.outcome))
    except TimeoutError:
        return Failure(
            create_unknown_outcome(
                'timeout',
                'the booking did not end before the deadline; repeat the '
                'request with the same key to get its outcome',
                HTTPStatus.GATEWAY_TIMEOUT,
            ),
        )
    finally:
        run.remove_waiter()


def create_interruption_failure(run: BookingRun) -> CallFailure:
    """Create the failure of a run that was cancelled or raised."""
    if run.is_queued:
        return create_refusal(
            'cancelled',
            'the booking was cancelled or failed while it was queued',
        )
    return create_unknown_outcome(
        'interrupted', 'the booking was interrupted while it ran'
    )


def replayable_response(
    response: ServerResponse | CompleteResponse,
) -> CompleteResponse | None:
    """Return the response to replay to repeats; None if streamed."""
    if isinstance(response, CompleteResponse):
        return response
    if not response.is_complete:
        return None
    return CompleteResponse(response.status, response.headers, response.body)


def close_stream(outcome: GuardOutcome) -> None:
    """Close a streamed response that has no receiver."""
    match outcome:
        case Success(ServerResponse() as response):
            response.close()
