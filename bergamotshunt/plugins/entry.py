"""Entry: the callers port; chooses a backend server for each call."""

from asyncio import CancelledError, Event
from http import HTTPStatus
from math import inf
from typing import Any, Final

from returns.result import Failure

from bergamotshunt.choice.caller import Caller, CallerEnvironment
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.decisions.confirmation import STALE_TARGETS_DETAIL
from bergamotshunt.ingress.booking_calls import create_missing_key_refusal
from bergamotshunt.ingress.call_bodies import (
    DisconnectWatch,
    read_call_body,
)
from bergamotshunt.ingress.call_metrics import CallMetrics
from bergamotshunt.ingress.call_heads import (
    measure_head,
    read_head,
    read_headers,
    read_request_id,
)
from bergamotshunt.ingress.call_responses import send_response
from bergamotshunt.ingress.ticket_issuer import TICKETS_PREFIX, serve_ticket
from bergamotshunt.http.transport import HttpClient
from bergamotshunt.http.web import (
    CallerDisconnectedError,
    HttpServer,
    send_failure,
)
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
    CutShortError,
    Verdict,
    create_refusal,
)

HANDLERS: Final = HandlerTable()
CALLER_GONE: Final = (Verdict.MAY_HAVE_RUN.value, 'caller-gone')


class EntryTask(Task):
    """Routes callers' requests to backend servers of their service."""

    name = 'entry'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        self.target_set = TargetSet(0, {})
        self.serve_until_ms = inf
        # Reasons to refuse all new calls, by cause.
        self.refusals: dict[str, str] = {
            'no-targets': 'this daemon has not learned the targets yet'
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
        self.sender = HttpClient(self.settings.calls.max_in_flight)
        self.caller = Caller(
            CallerEnvironment(
                self.settings.calls,
                self.settings.daemon.availability_zone,
                self.context.rng,
                self.now_ms,
            ),
            self.sender,
            ClaimsOwnerResolver(self.post),
        )
        await self.http.open()
        self.post.publish(PortBound('callers', self.http.port))

    async def drain(self) -> None:
        """Refuse new calls and wait for those in flight."""
        self.refusals['draining'] = 'this daemon is leaving'
        while self.in_flight:
            self.idle.clear()
            await self.idle.wait()

    async def close(self) -> None:
        """Close the port and the connections to peers."""
        await self.http.close()
        await self.sender.close()
        await super().close()

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request of a caller (ASGI)."""
        request_id = ''
        headers = read_headers(scope)
        if isinstance(headers, Failure):
            await send_failure(send, headers.failure(), request_id)
            return
        given = read_request_id(headers.unwrap().read, self.context.rng)
        refusal = self.find_refusal(scope)
        if refusal is None and isinstance(given, Failure):
            refusal = given.failure()
        request_id = given.value_or('')
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
            await self.carry(
                head.unwrap(),
                headers.unwrap().read.get(CONTENT_LENGTH.encode()),
                receive,
                send,
            )
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()

    def find_refusal(self, scope: Any) -> CallFailure | None:
        """Refuse a call before anything is known of it."""
        if self.refusals:
            reason, detail = next(iter(self.refusals.items()))
            return create_refusal(reason, detail)
        if self.now_ms() > self.serve_until_ms:
            return create_refusal('unconfirmed', STALE_TARGETS_DETAIL)
        calls = self.settings.calls
        if self.in_flight >= calls.max_in_flight:
            return create_refusal(
                'entry-busy',
                f'this daemon carries {calls.max_in_flight} calls already',
            )
        if measure_head(scope) > calls.max_head_bytes:
            return create_refusal(
                'head-too-large',
                f'the head is larger than {calls.max_head_bytes} bytes',
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        return None

    async def carry(
        self,
        head: CallHead,
        stated_length: bytes | None,
        receive: Any,
        send: Any,
    ) -> None:
        """Carry one call; a caller that leaves ends the work for it."""
        begun_ms = self.now_ms()
        watch = DisconnectWatch(receive)
        ending = (Verdict.MAY_HAVE_RUN.value, 'internal-error')
        try:
            ending = await self.call(head, stated_length, watch, send)
        except CallerDisconnectedError:
            ending = CALLER_GONE
        except CancelledError:
            ending = CALLER_GONE
            if not watch.absorb_cancellation():
                raise
        except CutShortError:
            ending = (Verdict.RAN.value, 'cut-short')
            raise
        finally:
            watch.stop()
            self.call_metrics.record(head, *ending, self.now_ms() - begun_ms)

    async def call(
        self,
        head: CallHead,
        stated_length: bytes | None,
        watch: DisconnectWatch,
        send: Any,
    ) -> tuple[str, str]:
        """Read the body, make the call and answer it.

        Returns:
            Verdict and outcome for the counts.
        """
        if not head.target.idempotent and not head.booking_key:
            return await refuse(send, create_missing_key_refusal(head), head)
        received = await read_call_body(
            watch.receive, stated_length, self.settings.calls, watch
        )
        if isinstance(received, Failure):
            return await refuse(send, received.failure(), head)
        body, streamed = received.unwrap()
        if streamed is not None and stated_length is not None:
            length = (CONTENT_LENGTH, stated_length.decode())
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
    """Tell a caller that the call failed; see ``EntryTask.call``."""
    await send_failure(send, failure, head.request_id)
    return failure.verdict.value, failure.reason


def replace_refusal(task: EntryTask, reason: str, detail: str) -> None:
    """Begin to refuse all new calls for a reason, or end it."""
    task.refusals.pop(reason, None)
    if detail:
        task.refusals[reason] = detail


@HANDLERS.on(MembersChanged)
def update_members(task: EntryTask, message: MembersChanged) -> None:
    """Take over the known members."""
    task.caller.update_members(message.members_by_id, message.changed_ids)


@HANDLERS.on(TargetsChanged)
def update_targets(task: EntryTask, message: TargetsChanged) -> None:
    """Take over newer targets."""
    task.target_set = message.target_set
    task.caller.update_targets(message.target_set)
    replace_refusal(task, 'no-targets', '')


@HANDLERS.on(ConfirmationChanged)
def update_confirmation(task: EntryTask, message: ConfirmationChanged) -> None:
    """Refuse new calls while the targets are not confirmed."""
    detail = message.detail or 'the targets are not confirmed'
    replace_refusal(task, 'unconfirmed', '' if message.confirmed else detail)


@HANDLERS.on(ServeUntil)
def update_limit(task: EntryTask, message: ServeUntil) -> None:
    """Take over until when the targets may be used."""
    task.serve_until_ms = message.until_ms


@HANDLERS.on(DaemonReplaced)
def update_replaced(task: EntryTask, message: DaemonReplaced) -> None:
    """Refuse new calls while another process holds this daemon's id."""
    detail = message.detail or 'another process holds the id of this daemon'
    replace_refusal(task, 'replaced', detail if message.replaced else '')


@HANDLERS.on(DescribeTask)
def describe(task: EntryTask, _message: DescribeTask) -> dict[str, Any]:
    """Describe the entry for the daemon's status."""
    return {
        'entry': {
            'refuses': dict(task.refusals),
            'in_flight': task.in_flight,
            'services': task.caller.describe(),
        },
    }


@PLUGINS.register('entry')
def create_entry(context: Context) -> EntryTask:
    """Create the entry task."""
    return EntryTask(context)
