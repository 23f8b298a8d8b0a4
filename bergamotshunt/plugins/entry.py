"""Entry: the callers port; chooses a backend server for each call."""

from collections import Counter
from http import HTTPStatus
from itertools import count
from typing import Any, Final
from uuid import uuid4

from returns.result import Failure, Result, Success

from bergamotshunt.calls import CallHead
from bergamotshunt.decisions.choosing import CHOOSERS
from bergamotshunt.decisions.scoring import Candidate, ChoiceInput
from bergamotshunt.decisions.matching import match_target
from bergamotshunt.headers import DEADLINE_MS, INCARNATION, REQUEST_ID, TARGET
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.members import Member, is_routable
from bergamotshunt.messages import (
    DescribeTask,
    MembersChanged,
    PortBound,
    TargetsChanged,
)
from bergamotshunt.targets import TargetSet
from bergamotshunt.transport import (
    HttpAnswer,
    HttpRequest,
    Sender,
    check_request_id,
    end_to_end,
)
from bergamotshunt.verdicts import CallFailure, create_refusal
from bergamotshunt.web import (
    BodyTooLargeError,
    CallerGoneError,
    HttpServer,
    decode_headers,
    read_body,
    send_failure,
    send_whole,
)

HANDLERS: Final = HandlerTable()


class EntryTask(Task):
    """Routes callers' requests to backend servers of their service."""

    name = 'entry'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        self.draining = False
        self.target_set = TargetSet(0, {})
        self.members_by_id: dict[str, Member] = {}
        self.own_in_flight_by_id = Counter[str]()
        self.choose = CHOOSERS.get(context.settings.calls.chooser)
        self.sequence = count()
        self.http = HttpServer(
            self.serve,
            context.settings.daemon.ip,
            context.settings.daemon.callers_port,
        )

    async def open(self) -> None:
        """Listen on the callers port."""
        self.sender = Sender(self.settings.calls.max_in_flight)
        await self.http.open()
        self.post.publish(PortBound('callers', self.http.port))

    async def drain(self) -> None:
        """Refuse new calls from now on."""
        self.draining = True

    async def close(self) -> None:
        """Close the port and the connections to peers."""
        await self.http.close()
        await self.sender.close()
        await super().close()

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request of a caller (ASGI)."""
        headers = decode_headers(scope)
        request_id = headers.get(REQUEST_ID) or uuid4().hex
        try:
            body = await read_body(
                receive,
                self.settings.calls.max_body_bytes,
            )
        except CallerGoneError:
            return
        except BodyTooLargeError as error:
            refusal = create_refusal(
                'body-too-large',
                str(error),
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
            await send_failure(send, refusal, request_id)
            return
        match await self.route(scope, headers, request_id, body):
            case Success(answer):
                await send_whole(
                    send,
                    answer.status,
                    end_to_end(answer.headers),
                    answer.body,
                )
            case Failure(failure):
                await send_failure(send, failure, request_id)

    async def route(
        self,
        scope: Any,
        headers: dict[str, str],
        request_id: str,
        body: bytes,
    ) -> Result[HttpAnswer, CallFailure]:
        """Class a request and send it to a chosen backend server."""
        match self.read_head(scope, headers, request_id):
            case Failure(failure):
                return Failure(failure)
            case Success(head):
                return await self.send_to_chosen(head, body)
        raise AssertionError('unreachable')

    def read_head(
        self,
        scope: Any,
        headers: dict[str, str],
        request_id: str,
    ) -> Result[CallHead, CallFailure]:
        """Class a request by the operators' targets."""
        if self.draining:
            return Failure(create_refusal('draining', 'this daemon is leaving'))
        raw_path = scope['raw_path'].decode('latin-1')
        service, _, path = raw_path.lstrip('/').partition('/')
        if service not in self.target_set.by_service:
            return Failure(
                create_refusal(
                    'unknown-service',
                    f'no targets are set for the service {service!r}',
                    HTTPStatus.NOT_FOUND,
                ),
            )
        target = match_target(
            self.target_set.by_service[service],
            scope['method'],
            f'/{path}',
        )
        if target is None:
            return Failure(
                create_refusal(
                    'no-target',
                    f'no target of {service} covers {scope["method"]} /{path}',
                    HTTPStatus.NOT_FOUND,
                ),
            )
        query = scope['query_string'].decode('latin-1')
        timeout_ms = self.settings.calls.default_deadline_ms
        return Success(
            CallHead(
                service,
                scope['method'],
                f'/{path}?{query}' if query else f'/{path}',
                end_to_end(headers),
                request_id,
                self.now_ms() + timeout_ms,
                target,
            ),
        )

    async def send_to_chosen(
        self,
        head: CallHead,
        body: bytes,
    ) -> Result[HttpAnswer, CallFailure]:
        """Choose a backend server and send the call to its daemon."""
        candidates = [
            Candidate(member, self.own_in_flight_by_id[member.daemon_id])
            for member in self.members_by_id.values()
            if member.service == head.service and is_routable(member)
        ]
        if not candidates:
            return Failure(
                create_refusal(
                    'no-server', f'no backend server of {head.service}'
                ),
            )
        now_ms = self.now_ms()
        choice = ChoiceInput(now_ms, self.context.rng, next(self.sequence))
        member = self.choose(candidates, choice).member
        request = HttpRequest(
            head.method,
            f'http://{member.ip}:{member.peers_port}{head.path}',
            {
                **dict(head.headers),
                REQUEST_ID: head.request_id,
                DEADLINE_MS: str(int(head.deadline_ms - now_ms)),
                TARGET: head.target.name,
                INCARNATION: str(member.process_id),
            },
            body,
            head.deadline_ms - now_ms,
        )
        self.own_in_flight_by_id[member.daemon_id] += 1
        try:
            outcome = await self.sender.send(request)
        finally:
            self.own_in_flight_by_id[member.daemon_id] -= 1
        return outcome.bind(
            lambda answer: check_request_id(answer, head.request_id),
        )


@HANDLERS.on(MembersChanged)
def update_members(task: EntryTask, message: MembersChanged) -> None:
    """Take over the known members."""
    task.members_by_id = message.members_by_id


@HANDLERS.on(TargetsChanged)
def update_targets(task: EntryTask, message: TargetsChanged) -> None:
    """Take over newer targets."""
    task.target_set = message.target_set


@HANDLERS.on(DescribeTask)
def describe(task: EntryTask, _message: DescribeTask) -> dict[str, Any]:
    """Describe the entry for the daemon's status."""
    return {
        'entry': {
            'draining': task.draining,
            'in_flight_by_server': dict(+task.own_in_flight_by_id),
        },
    }


@PLUGINS.register('entry')
def create_entry(context: Context) -> EntryTask:
    """Create the entry task."""
    return EntryTask(context)
