"""Ingress: the callers port; chooses a backend server for each call."""

from asyncio import CancelledError, Event
from http import HTTPStatus
from math import inf
from typing import Any, Final

from returns.result import Failure

from bergamotshunt.choice.caller import Caller, CallerEnvironment
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.decisions.confirmation import STALE_TARGETS_DETAIL
from bergamotshunt.http.transport import HttpClient
from bergamotshunt.http.web import (
    CallerDisconnectedError,
    HttpServer,
    send_failure,
)
from bergamotshunt.ingress.booking_calls import create_missing_key_refusal
from bergamotshunt.ingress.call_bodies import (
    DisconnectWatch,
    read_call_body,
)
from bergamotshunt.ingress.call_heads import (
    measure_head,
    read_head,
    read_headers,
    read_request_id,
)
from bergamotshunt.ingress.call_metrics import CallMetrics
from bergamotshunt.ingress.call_responses import send_response
from bergamotshunt.ingress.ticket_issuer import TICKETS_PREFIX, serve_ticket
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import (
    ConfirmationChanged,
    DaemonReplaced,
    DescribeTask,
    MembersChanged,
    PortBound,
    ServeUntil,
    TargetsChanged,
)
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.peers.booking_owner_resolver import ClaimsOwnerResolver
from bergamotshunt.peers.headers import CONTENT_LENGTH
from bergamotshunt.verdicts import (
    CallFailure,
    IncompleteResponseError,
    Verdict,
    create_refusal,
)

HANDLERS: Final = HandlerTable()
CALLER_GONE: Final = (Verdict.MAY_HAVE_RUN.value, 'caller-gone')


class IngressTask(Task):
    """Routes callers' requests to backend servers of their service."""

    name = 'entry'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        self.target_set = TargetSet(0, {})
        self.serve_until_ms = inf
        # Details for callers, by the reason for which new calls are refused.
        self.refusals_by_reason: dict[str, str] = {
            'no-targets': 'this daemon has not loaded the targets yet'
        }
        self.in_flight = 0
        self.idle = Event()
        self.call_metrics = CallMetrics()
        self.http = HttpServer(
            self.serve,
            context.settings.daemon.ip,
            context.settings.daemon.callers_port,
        )

    async def open(self) -> None:
        """Listen on the callers port."""
        self.http_client = HttpClient(self.settings.calls.max_in_flight)
        self.caller = Caller(
            CallerEnvironment(
                self.settings.calls,
                self.settings.daemon.availability_zone,
                self.context.rng,
                self.now_ms,
            ),
            self.http_client,
            ClaimsOwnerResolver(self.bus),
        )
        await self.http.open()
        self.bus.publish(PortBound('callers', self.http.port))

    async def drain(self) -> None:
        """Refuse new calls and wait for those in flight."""
        self.refusals_by_reason['draining'] = 'this daemon is draining'
        while self.in_flight:
            self.idle.clear()
            await self.idle.wait()

    async def finish(self) -> None:
        """Stop listening and send the rest of all responses."""
        await self.http.finish()

    async def close(self) -> None:
        """Close the port and the connections to peers."""
        await self.http.close()
        await self.http_client.close()
        await super().close()

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request of a caller (ASGI)."""
        request_id = ''
        headers = read_headers(scope)
        if isinstance(headers, Failure):
            await send_failure(send, headers.failure(), request_id)
            return
        read_id = read_request_id(headers.unwrap().evaluated, self.context.rng)
        refusal = self.find_refusal(scope)
        if refusal is None and isinstance(read_id, Failure):
            refusal = read_id.failure()
        request_id = read_id.value_or('')
        if refusal is not None:
            await send_failure(send, refusal, request_id)
            return
        if scope['raw_path'].startswith(TICKETS_PREFIX):
            await serve_ticket(
                scope, send, self.caller, self.target_set, request_id
            )
            return
        head = read_head(
            scope,
            headers.unwrap(),
            request_id,
            self.target_set.by_service,
            self.settings.calls,
            self.now_ms(),
        )
        if isinstance(head, Failure):
            await send_failure(send, head.failure(), request_id)
            return
        self.in_flight += 1
        try:
            await self.forward(
                head.unwrap(),
                headers.unwrap().evaluated.get(CONTENT_LENGTH.encode()),
                receive,
                send,
            )
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    def find_refusal(self, scope: Any) -> CallFailure | None:
        """Return why a call is refused before it is read; None if not."""
        if self.refusals_by_reason:
            reason, detail = next(iter(self.refusals_by_reason.items()))
            return create_refusal(reason, detail)
        if self.now_ms() > self.serve_until_ms:
            return create_refusal('unconfirmed', STALE_TARGETS_DETAIL)
        calls = self.settings.calls
        if self.in_flight >= calls.max_in_flight:
            return create_refusal(
                'entry-busy',
                f'this daemon already has {calls.max_in_flight} calls in '
                'flight, the limit of calls.max_in_flight',
            )
        if measure_head(scope) > calls.max_head_bytes:
            return create_refusal(
                'head-too-large',
                f'the request head has {measure_head(scope)} bytes; at most '
                f'{calls.max_head_bytes} are allowed',
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        return None

    async def forward(
        self,
        head: CallHead,
        content_length: bytes | None,
        receive: Any,
        send: Any,
    ) -> None:
        """Forward one call; cancel it when the caller disconnects."""
        started_ms = self.now_ms()
        watch = DisconnectWatch(receive)
        outcome_labels = (Verdict.MAY_HAVE_RUN.value, 'internal-error')
        try:
            outcome_labels = await self.call(head, content_length, watch, send)
        except CallerDisconnectedError:
            outcome_labels = CALLER_GONE
        except CancelledError:
            outcome_labels = CALLER_GONE
            if not watch.absorb_cancellation():
                raise
        except IncompleteResponseError:
            outcome_labels = (Verdict.RAN.value, 'cut-short')
            raise
        finally:
            watch.stop()
            self.call_metrics.record(
                head, *outcome_labels, self.now_ms() - started_ms
            )

    async def call(
        self,
        head: CallHead,
        content_length: bytes | None,
        watch: DisconnectWatch,
        send: Any,
    ) -> tuple[str, str]:
        """Read the body, make the call and send the response.

        Returns:
            Verdict and outcome, the labels of the call in the metrics.
        """
        if not head.target.idempotent and not head.booking_key:
            return await refuse(send, create_missing_key_refusal(head), head)
        received = await read_call_body(
            watch.receive, content_length, self.settings.calls, watch
        )
        if isinstance(received, Failure):
            return await refuse(send, received.failure(), head)
        body, streamed = received.unwrap()
        if streamed is not None and content_length is not None:
            length = (CONTENT_LENGTH, content_length.decode())
            head = head._replace(headers=(*head.headers, length))
        outcome = await self.caller.call(head, body)
        if isinstance(outcome, Failure):
            failure = outcome.failure()
            if streamed is not None:
                failure = streamed.translate_failure(failure)
            return await refuse(send, failure, head)
        await send_response(send, outcome.unwrap(), head.method)
        return Verdict.RAN.value, 'answered'


async def refuse(
    send: Any, failure: CallFailure, head: CallHead
) -> tuple[str, str]:
    """Send a failure to the caller.

    Returns:
        Verdict and outcome, as ``IngressTask.call`` returns them.
    """
    await send_failure(send, failure, head.request_id)
    return failure.verdict.value, failure.reason


def set_refusal(task: IngressTask, reason: str, detail: str) -> None:
    """Refuse all new calls for a reason; stop if ``detail`` is empty."""
    task.refusals_by_reason.pop(reason, None)
    if detail:
        task.refusals_by_reason[reason] = detail


@HANDLERS.on(MembersChanged)
def update_members(task: IngressTask, message: MembersChanged) -> None:
    """Apply changed members to the choice of servers."""
    task.caller.update_members(message.members_by_id, message.changed_ids)


@HANDLERS.on(TargetsChanged)
def update_targets(task: IngressTask, message: TargetsChanged) -> None:
    """Apply newer targets."""
    task.target_set = message.target_set
    task.caller.update_targets(message.target_set)
    set_refusal(task, 'no-targets', '')


@HANDLERS.on(ConfirmationChanged)
def update_confirmation(
    task: IngressTask, message: ConfirmationChanged
) -> None:
    """Refuse new calls while the targets are not confirmed."""
    detail = message.detail or 'the targets are not confirmed'
    set_refusal(task, 'unconfirmed', '' if message.confirmed else detail)


@HANDLERS.on(ServeUntil)
def update_serve_deadline(task: IngressTask, message: ServeUntil) -> None:
    """Set the time until which the targets may be used."""
    task.serve_until_ms = message.until_ms


@HANDLERS.on(DaemonReplaced)
def update_replaced(task: IngressTask, message: DaemonReplaced) -> None:
    """Refuse new calls while another process has this daemon's id."""
    detail = message.detail or 'another process has the id of this daemon'
    set_refusal(task, 'replaced', detail if message.replaced else '')


@HANDLERS.on(DescribeTask)
def describe(task: IngressTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the state of the ingress for the daemon's status."""
    return {
        'entry': {
            'refuses': dict(task.refusals_by_reason),
            'in_flight': task.in_flight,
            'services': task.caller.describe(),
        },
    }


@PLUGINS.register('entry')
def create_ingress(context: Context) -> IngressTask:
    """Create the ingress task."""
    return IngressTask(context)
