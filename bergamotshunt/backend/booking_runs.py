"""Runs of bookings at this process: each key once, with its waiters."""

from asyncio import CancelledError, Future, get_running_loop, shield, timeout
from asyncio import Task as AsyncioTask
from collections.abc import Awaitable, Callable, Coroutine
from http import HTTPStatus
from typing import Any, Final

from returns.result import Failure, Success

from bergamotshunt.backend.guard_metrics import BOOKINGS
from bergamotshunt.backend.guard_requests import BookingHead
from bergamotshunt.backend.local_server import ServerResponse
from bergamotshunt.choice.calls import Response
from bergamotshunt.decisions.bookings import BookingTable, Step
from bergamotshunt.decisions.tickets import ProcessName, format_process
from bergamotshunt.ingress.booking_responses import (
    STEP_RESPONDERS,
    Outcome,
    create_response_not_kept,
)
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
NO_HANDOVER: Final = frozenset(('expired', 'cancelled'))
StartRun = Callable[['BookingRun'], Coroutine[Any, Any, Outcome]]
Spawn = Callable[[Coroutine[Any, Any, None]], AsyncioTask[None]]
ChooseSuccessor = Callable[[BookingHead], ProcessName | None]


class BookingRun:
    """A booking that is queued or runs on the backend server.

    Attributes:
        waiters: Senders that wait for its outcome.
        is_queued: Whether it certainly did not start yet.
        outcome: Set once, for all waiters.
    """

    def __init__(self) -> None:
        """Create a run that is queued."""
        self.waiters = 0
        self.is_queued = True
        self.outcome: Future[Outcome] = get_running_loop().create_future()
        self.task: AsyncioTask[None] | None = None
        self._stream_is_taken = False

    def note_start(self) -> None:
        """Note that the request is about to be written to the server."""
        self.is_queued = False

    def take(self, outcome: Outcome) -> Outcome:
        """Take the outcome; a response in parts goes to one waiter."""
        match outcome:
            case Success(ServerResponse() as response) if not response.is_whole:
                if self._stream_is_taken:
                    return Failure(create_response_not_kept())
                self._stream_is_taken = True
        return outcome

    def leave(self) -> None:
        """Note that a waiter has gone.

        A queued run without waiters is cancelled; a started one goes on,
        so that its outcome is known to a repeat.
        """
        self.waiters -= 1
        if self.waiters:
            return
        if self.is_queued and self.task is not None:
            self.task.cancel()
        if self.outcome.done() and not self._stream_is_taken:
            close_stream(self.outcome.result())


class BookingRuns:
    """Bookings of one process: its table and its runs.

    Part of the guard task; not shared with other tasks.

    Args:
        table: Keys of this process.
        spawn: Runs a coroutine that outlives its sender.
        choose_successor: Returns another process for a booking.
    """

    def __init__(
        self,
        table: BookingTable,
        spawn: Spawn,
        choose_successor: ChooseSuccessor,
    ) -> None:
        """Create without runs."""
        self.table = table
        self.spawn = spawn
        self.choose_successor = choose_successor
        self.by_key: dict[str, BookingRun] = {}

    async def serve(
        self,
        booking: BookingHead,
        left_ms: float,
        start: StartRun,
    ) -> Outcome:
        """Serve one request for a booking.

        Args:
            booking: Key, ticket and chain.
            left_ms: Time until the sender gives up.
            start: Runs the booking; calls ``note_start`` of its run
                before anything is written to the backend server.
        """
        step = self.table.look_up(booking.key, booking.ticket, booking.chain)
        BOOKINGS.labels(step.value).inc()
        if step is Step.RUN:
            self._start(booking, start)
        if step in {Step.RUN, Step.JOIN}:
            run = self.by_key[booking.key]
            return await wait_for_outcome(run, left_ms)
        return STEP_RESPONDERS.get(step.value)(self.table, booking)

    def _start(self, booking: BookingHead, start: StartRun) -> None:
        run = BookingRun()
        self.table.start(booking.key, booking.ticket)
        self.by_key[booking.key] = run
        run.task = self.spawn(self._run(booking, run, start(run)))

    async def _run(
        self,
        booking: BookingHead,
        run: BookingRun,
        work: Awaitable[Outcome],
    ) -> None:
        try:
            outcome = await work
        except CancelledError:
            outcome = Failure(describe_end(run))
        except Exception:
            self._settle(booking, run, Failure(describe_end(run)))
            raise
        self._settle(booking, run, outcome)

    def _settle(
        self,
        booking: BookingHead,
        run: BookingRun,
        outcome: Outcome,
    ) -> None:
        """Record the outcome, then tell the waiters."""
        self.by_key.pop(booking.key)
        match outcome:
            case Success(response):
                self.table.finish(booking.key, keep_response(response))
            case Failure(failure) if failure.verdict is Verdict.NOT_RUN:
                outcome = Failure(self._give_away(booking, failure))
            case Failure(_):
                self.table.lose(booking.key)
        run.outcome.set_result(outcome)
        if not run.waiters:
            close_stream(outcome)

    def _give_away(
        self,
        booking: BookingHead,
        failure: CallFailure,
    ) -> CallFailure:
        """Hand a booking over that did not run; or leave no record."""
        successor = None
        if failure.reason not in NO_HANDOVER:
            successor = self.choose_successor(booking)
        if successor is None:
            self.table.withdraw(booking.key)
            return failure
        self.table.hand_over(booking.key, successor)
        return failure._replace(successor=format_process(successor))


async def wait_for_outcome(run: BookingRun, left_ms: float) -> Outcome:
    """Wait for the outcome of a run, as long as the sender does."""
    run.waiters += 1
    try:
        async with timeout(left_ms / MS_PER_S):
            return run.take(await shield(run.outcome))
    except TimeoutError:
        return Failure(
            create_unknown_outcome(
                'timeout',
                'the booking did not end before the deadline; repeat the '
                'request with the same key to learn its outcome',
                HTTPStatus.GATEWAY_TIMEOUT,
            ),
        )
    finally:
        run.leave()


def describe_end(run: BookingRun) -> CallFailure:
    """Describe a run that ended without an outcome of its own."""
    if run.is_queued:
        return create_refusal('cancelled', 'the sender left the queue')
    return create_unknown_outcome('interrupted', 'the run was interrupted')


def keep_response(response: ServerResponse | Response) -> Response | None:
    """Return what a repeat is answered; None for a response in parts."""
    if isinstance(response, Response):
        return response
    if not response.is_whole:
        return None
    return Response(response.status, response.headers, response.body)


def close_stream(outcome: Outcome) -> None:
    """Close a response in parts that nobody takes."""
    match outcome:
        case Success(ServerResponse() as response):
            response.close()
