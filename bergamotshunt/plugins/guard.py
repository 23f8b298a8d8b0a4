"""Guard: the peers port; the only way to the local backend server."""

from http import HTTPStatus
from typing import Any, Final

from returns.result import Failure, Result, Success

from bergamotshunt.calls import LoadReport
from bergamotshunt.headers import (
    DEADLINE_MS,
    INCARNATION,
    LOAD,
    REQUEST_ID,
    SERVER,
    VERDICT,
    format_load,
)
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.members import ServerState
from bergamotshunt.messages import DescribeTask, PortBound, ServerStateChanged
from bergamotshunt.peer_api import PEER_ENDPOINTS, PREFIX
from bergamotshunt.transport import HttpAnswer, HttpRequest, Sender, end_to_end
from bergamotshunt.verdicts import CallFailure, Verdict, create_refusal
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


class GuardTask(Task):
    """Admits requests to the backend server beside this daemon."""

    name = 'guard'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        self.server_settings = context.settings.backend_server
        self.draining = False
        self.in_flight = 0
        self.http = HttpServer(
            self.serve,
            context.settings.daemon.ip,
            context.settings.daemon.peers_port,
        )

    async def open(self) -> None:
        """Listen on the peers port."""
        self.sender = Sender(self.server_settings.connections)
        await self.http.open()
        self.post.publish(PortBound('peers', self.http.port))
        if self.server_settings.service:
            self.post.publish(ServerStateChanged(ServerState.SERVING))

    async def drain(self) -> None:
        """Refuse new requests from now on."""
        self.draining = True
        self.post.publish(ServerStateChanged(ServerState.DRAINING))

    async def close(self) -> None:
        """Close the port and the connections to the backend server."""
        await self.http.close()
        await self.sender.close()
        await super().close()

    def load_report(self) -> LoadReport:
        """Return the load as of now."""
        return LoadReport(self.in_flight, self.server_settings.slots, 0, 0)

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request of a peer (ASGI)."""
        headers = decode_headers(scope)
        request_id = headers.get(REQUEST_ID, '')
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
        if scope['path'].startswith(PREFIX):
            await self.serve_peer_api(scope['path'], body, send)
            return
        match await self.run_on_server(scope, headers, body):
            case Success(answer):
                await send_whole(
                    send,
                    answer.status,
                    (
                        *end_to_end(answer.headers),
                        (REQUEST_ID, request_id),
                        (VERDICT, Verdict.RAN.value),
                        (SERVER, self.settings.daemon.id),
                        (LOAD, format_load(self.load_report())),
                    ),
                    answer.body,
                )
            case Failure(failure):
                await send_failure(send, failure, request_id)

    async def serve_peer_api(self, path: str, body: bytes, send: Any) -> None:
        """Hand a request between daemons to its endpoint."""
        if path not in PEER_ENDPOINTS.by_name:
            refusal = create_refusal(
                'unknown-endpoint',
                f'no endpoint {path}',
                HTTPStatus.NOT_FOUND,
            )
            await send_failure(send, refusal, '')
            return
        try:
            answer = await PEER_ENDPOINTS.get(path)(self.post, body)
        except ValueError as error:
            refusal = create_refusal(
                'malformed',
                str(error),
                HTTPStatus.BAD_REQUEST,
            )
            await send_failure(send, refusal, '')
            return
        json_type = [('content-type', 'application/json')]
        await send_whole(send, int(HTTPStatus.OK), json_type, answer)

    async def run_on_server(
        self,
        scope: Any,
        headers: dict[str, str],
        body: bytes,
    ) -> Result[HttpAnswer, CallFailure]:
        """Admit a request and run it on the backend server."""
        if self.draining:
            return Failure(create_refusal('draining', 'the server is leaving'))
        if headers.get(INCARNATION, '') not in {
            '',
            str(self.context.process_id),
        }:
            return Failure(
                create_refusal(
                    'other-incarnation', 'this daemon was restarted'
                ),
            )
        request = HttpRequest(
            scope['method'],
            self.server_settings.url + scope['raw_path'].decode('latin-1'),
            dict(end_to_end(headers)),
            body,
            float(
                headers.get(
                    DEADLINE_MS, self.settings.calls.default_deadline_ms
                )
            ),
        )
        self.in_flight += 1
        try:
            return await self.sender.send(request)
        finally:
            self.in_flight -= 1


@HANDLERS.on(DescribeTask)
def describe(task: GuardTask, _message: DescribeTask) -> dict[str, Any]:
    """Describe the guard for the daemon's status."""
    return {
        'guard': {
            'draining': task.draining,
            'load': task.load_report()._asdict(),
        },
    }


@PLUGINS.register('guard')
def create_guard(context: Context) -> GuardTask:
    """Create the guard task."""
    return GuardTask(context)
