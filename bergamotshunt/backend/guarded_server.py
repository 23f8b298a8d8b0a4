"""Request handling of the guard, in front of the backend server."""

from asyncio import Event
from asyncio import Task as AsyncioTask
from collections.abc import Coroutine
from functools import partial
from http import HTTPStatus
from typing import Any, Final

from returns.result import Failure, Success

from bergamotshunt.backend.admitted_calls import AdmittedCalls
from bergamotshunt.backend.booking_runs import BookingRun, BookingRuns
from bergamotshunt.backend.guard_metrics import REQUESTS
from bergamotshunt.backend.guard_replies import (
    ReplyContext,
    send_refusal,
    send_server_response,
)
from bergamotshunt.backend.guard_requests import (
    BookingHeaders,
    GuardRequest,
    read_request,
)
from bergamotshunt.backend.local_server import ServerResponse
from bergamotshunt.backend.server_gate import ServerGate
from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.decisions.bookings import BookingLimits, BookingTable
from bergamotshunt.decisions.successors import choose_successor
from bergamotshunt.decisions.tickets import ProcessName, era_at
from bergamotshunt.http.web import BodyTooLargeError, decode_headers
from bergamotshunt.ingress.booking_responses import GuardOutcome
from bergamotshunt.ingress.request_bodies import (
    RequestBody,
    read_body_start,
    serve_until_disconnect,
)
from bergamotshunt.kernel import Task
from bergamotshunt.log import log_event
from bergamotshunt.operators.targets import ServiceTargets
from bergamotshunt.peers.headers import PROCESS_ID, REQUEST_ID, TICKET
from bergamotshunt.peers.members import Member
from bergamotshunt.settings import BookingsSettings
from bergamotshunt.verdicts import (
    CallFailure,
    create_refusal,
    create_unknown_outcome,
)

# More than the 144,000 keys of an hour at 40 bookings per second; takes about
# 100 MB at 511 bytes per key. A full table closes its oldest eras early.
MAX_BOOKING_KEYS: Final = 200_000
RETRY_AFTER_MS: Final = 1000


class GuardedServer:
    """The local backend server behind the guard; state of the guard task.

    Args:
        task: Task that owns this state.
        gate: Decides whether new work is accepted.
    """

    def __init__(self, task: Task, gate: ServerGate) -> None:
        """Create the state without connections; see ``open``."""
        context = task.context
        self.task = task
        self.settings = context.settings
        self.gate = gate
        self.own_process = ProcessName(
            context.settings.daemon.id, context.process_id
        )
        self.started_ms = task.now_ms()
        self.service = ServiceTargets(context.settings.backend_server.service)
        self.members_by_id: dict[str, Member] = {}
        self.open_requests = 0
        self.request_ended = Event()
        self.runs = BookingRuns(
            BookingTable(
                self.own_process, booking_limits(self.settings.bookings)
            ),
            self.spawn_run,
            self.choose_successor,
        )

    def open(self) -> None:
        """Create the client of the server; requires a running event loop."""
        self.calls = AdmittedCalls(self.settings, self.gate, self.task.now_ms)

    async def close(self) -> None:
        """Close the connections."""
        await self.calls.close()

    async def finish_and_drain(self) -> None:
        """Wait until accepted work has ended, then call the drain path."""
        while self.open_requests or self.runs.by_key:
            self.request_ended.clear()
            await self.request_ended.wait()
        log_event('guard:idle', daemon=self.own_process.daemon_id)
        await self.calls.call_drain_path()

    def advance_era(self) -> int:
        """Advance to the current booking era and return it."""
        era = era_at(
            self.task.now_ms(),
            self.started_ms,
            self.settings.bookings.era_s,
        )
        self.runs.table.advance(era)
        return era

    def spawn_run(
        self, run_coroutine: Coroutine[Any, Any, None]
    ) -> AsyncioTask[None]:
        """Run a booking in a task that is independent of its senders."""
        child = self.task.spawn(run_coroutine)
        child.add_done_callback(self.on_request_end)
        return child

    def on_request_end(self, _child: AsyncioTask[Any] | None = None) -> None:
        """Wake up a drain that waits for work to end."""
        self.request_ended.set()

    def choose_successor(self, booking: BookingHeaders) -> ProcessName | None:
        """Choose the process to hand a booking over to."""
        return choose_successor(
            self.members_by_id,
            self.own_process.daemon_id,
            booking.chain,
            self.task.context.rng,
        )

    def load_report(self) -> LoadReport:
        """Return the current load."""
        return self.calls.admission.load_report()

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request for the backend server (ASGI)."""
        headers = decode_headers(scope)
        limits = self.settings.calls
        if self.open_requests >= limits.max_in_flight:
            failure = refuse_excess_request(headers, limits.max_in_flight)
            await self.refuse(send, headers, failure)
            return
        self.open_requests += 1
        try:
            body = await read_body_start(
                receive,
                limits.body_buffer_bytes,
                limits.max_body_bytes,
            )
            await serve_until_disconnect(
                body,
                self.respond(scope, headers, body, send),
            )
        except BodyTooLargeError as error:
            await self.refuse(send, headers, refuse_large_body(str(error)))
        finally:
            self.open_requests -= 1
            self.on_request_end()

    async def respond(
        self,
        scope: Any,
        headers: dict[str, str],
        body: RequestBody,
        send: Any,
    ) -> None:
        """Run a request and send its response or failure."""
        read = read_request(
            scope,
            headers,
            self.service,
            self.task.now_ms(),
            self.settings.calls.default_deadline_ms,
        )
        match read:
            case Failure(failure):
                await self.refuse(send, headers, failure)
                return
        request = read.unwrap()
        match await self.execute(request, headers, body):
            case Success(response):
                REQUESTS.labels(request.target.name, 'answered').inc()
                try:
                    await send_server_response(
                        send, response, self.create_reply_context(headers)
                    )
                finally:
                    close_response(response)
            case Failure(failure):
                await self.refuse(send, headers, failure, request.target.name)

    async def execute(
        self,
        request: GuardRequest,
        headers: dict[str, str],
        body: RequestBody,
    ) -> GuardOutcome:
        """Run a request on the backend server; a booking at most once."""
        if request.booking is None:
            requested_process = headers.get(PROCESS_ID, '')
            if requested_process not in {'', str(self.own_process.process_id)}:
                return Failure(
                    refuse_other_process(
                        requested_process, self.own_process.process_id
                    )
                )
            return await self.calls.run(request, body)
        if not body.is_complete:
            return Failure(
                refuse_large_body(
                    'the body of a booking exceeds '
                    f'{self.settings.calls.body_buffer_bytes} bytes, the '
                    'limit of calls.body_buffer_bytes',
                )
            )
        self.advance_era()
        return await self.runs.serve(
            request.booking,
            request.slot_request.deadline_ms - self.task.now_ms(),
            partial(self.create_run, request, body),
        )

    def create_run(
        self,
        request: GuardRequest,
        body: RequestBody,
        run: BookingRun,
    ) -> Coroutine[Any, Any, GuardOutcome]:
        """Create the coroutine that runs a booking."""
        return self.calls.run(request, body, run.mark_started)

    async def refuse(
        self,
        send: Any,
        headers: dict[str, str],
        failure: CallFailure,
        target: str = '',
    ) -> None:
        """Send a failure and count it."""
        REQUESTS.labels(target, failure.reason).inc()
        await send_refusal(send, failure, self.create_reply_context(headers))

    def create_reply_context(self, headers: dict[str, str]) -> ReplyContext:
        """Return the data for the headers of the response."""
        return ReplyContext(
            headers.get(REQUEST_ID, ''),
            self.own_process.daemon_id,
            self.load_report(),
        )


def booking_limits(bookings: BookingsSettings) -> BookingLimits:
    """Return the limits of the booking table."""
    return BookingLimits(
        bookings.eras_kept,
        bookings.answer_bytes,
        bookings.answers_bytes,
        MAX_BOOKING_KEYS,
    )


def refuse_large_body(detail: str) -> CallFailure:
    """Refuse a body that is too large."""
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return create_refusal('body-too-large', detail, status)


def refuse_excess_request(
    headers: dict[str, str], max_in_flight: int
) -> CallFailure:
    """Refuse a request above the limit, before its body takes up memory."""
    detail = (
        f'this server has {max_in_flight} open requests, the limit of '
        'calls.max_in_flight'
    )
    if TICKET in headers:
        # Its key was not looked up; an earlier attempt may have run it.
        return create_unknown_outcome(
            'too-many-open',
            detail,
            HTTPStatus.SERVICE_UNAVAILABLE,
        )
    return create_refusal(
        'too-many-open', detail, retry_after_ms=RETRY_AFTER_MS
    )


def refuse_other_process(
    requested_process: str, process_id: int
) -> CallFailure:
    """Refuse a request addressed to an earlier process of this daemon.

    Args:
        requested_process: Process id in the request.
        process_id: Id of this process.
    """
    return create_refusal(
        'other-incarnation',
        f'the request is for process {requested_process!r} of this daemon, '
        f'which was restarted; the running process is {process_id}',
    )


def close_response(response: Any) -> None:
    """Close a response of the backend server; a stored one needs none."""
    if isinstance(response, ServerResponse):
        response.close()
