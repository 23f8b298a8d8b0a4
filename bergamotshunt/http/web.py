"""HTTP servers of the daemon on uvicorn, and helpers for plain ASGI."""

from asyncio import CancelledError, Event, create_task, wait
from asyncio import Task as AsyncioTask
from collections.abc import AsyncIterable, Iterator, Mapping
from contextlib import contextmanager, suppress
from http import HTTPStatus
from socket import (
    AF_INET,
    AF_INET6,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from typing import Any, Final

from msgspec.json import encode
from uvicorn import Config, Server

from bergamotshunt.choice.calls import HeaderItems
from bergamotshunt.log import log_error, log_event
from bergamotshunt.peers.headers import (
    REQUEST_ID,
    RETRY_AFTER,
    SUCCESSOR,
    VERDICT,
)
from bergamotshunt.verdicts import (
    CallFailure,
    IncompleteResponseError,
    create_problem,
    create_unknown_outcome,
)

BACKLOG: Final = 2048
CLOSE_TIMEOUT_S: Final = 5
# Time for the failures of cancelled requests, which are short, to be sent.
ABORT_TIMEOUT_S: Final = 1
KEEP_ALIVE_S: Final = 75
MS_PER_S: Final = 1000


class CallerDisconnectedError(ConnectionError):
    """The sender closed its connection before its request was complete."""


class BodyTooLargeError(ValueError):
    """A request body is larger than the limit."""


INTERNAL_FAILURE: Final = create_unknown_outcome(
    'internal-error',
    'the daemon failed while serving this request; see its log',
    HTTPStatus.INTERNAL_SERVER_ERROR,
)
STOPPED_FAILURE: Final = create_unknown_outcome(
    'stopped',
    'the daemon stopped before this request ended',
    HTTPStatus.SERVICE_UNAVAILABLE,
)


class _UvicornServer(Server):
    """A uvicorn server without signal handlers, with an event on listening."""

    def __init__(self, config: Config) -> None:
        super().__init__(config)
        self.listening = Event()
        self.stopping = Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket] | None = None) -> None:
        await super().startup(sockets=sockets)
        self.listening.set()

    async def main_loop(self) -> None:
        # Overrides a loop of uvicorn that wakes ten times a second to check
        # its exit flag.
        await self.stopping.wait()

    def stop(self) -> None:
        self.should_exit = True
        self.stopping.set()

    def cancel_requests(self) -> None:
        for request in tuple(self.server_state.tasks):
            request.cancel()

    def abort_connections(self) -> None:
        for connection in tuple(self.server_state.connections):
            transport = connection.transport
            if transport is not None:
                transport.abort()


class _ErrorBoundary:
    """Ends requests whose application failed, without exposing tracebacks."""

    def __init__(self, app: Any) -> None:
        self.app = app

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        try:
            await self.app(scope, receive, send)
        except IncompleteResponseError as error:
            # The response stays incomplete, so uvicorn closes the connection
            # and no client treats the response as complete.
            log_event('http:answer-cut-short', detail=str(error))
        except CancelledError:
            await send_unless_started(send, STOPPED_FAILURE)
            raise
        except Exception as error:
            log_error('http:request-failed', error, path=scope['path'])
            await send_unless_started(send, INTERNAL_FAILURE)


class HttpServer:
    """HTTP server of a task on one port.

    Args:
        app: ASGI application; it receives no lifespan events.
        ip: IP address to bind.
        port: TCP port; with 0 the operating system chooses one.
    """

    def __init__(self, app: Any, ip: str, port: int) -> None:
        """Bind the port, so that its number is known before ``open``."""
        family = AF_INET6 if ':' in ip else AF_INET
        self._socket = socket(family, SOCK_STREAM)
        self._socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._socket.bind((ip, port))
        self.port: int = self._socket.getsockname()[1]
        config = Config(
            _ErrorBoundary(app),
            loop='none',
            interface='asgi3',
            http='httptools',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            # Errors of the application are logged by ``_ErrorBoundary``.
            log_level='critical',
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_S,
            # ``finish`` and ``close`` limit the time.
            timeout_graceful_shutdown=None,
        )
        self._server = _UvicornServer(config)
        self._serving: AsyncioTask[None] | None = None
        self._close_timeout_s = CLOSE_TIMEOUT_S

    async def open(self) -> None:
        """Start to serve and wait until the port is listening.

        Raises:
            RuntimeError: The server stopped before it was listening.
        """
        self._serving = create_task(
            self._server.serve(sockets=[self._socket]),
        )
        listening = create_task(self._server.listening.wait())
        await wait(
            (self._serving, listening),
            return_when='FIRST_COMPLETED',
        )
        if not listening.done():
            listening.cancel()
            raise RuntimeError(
                f'the HTTP server on port {self.port} stopped before it '
                'was listening'
            )

    async def finish(self) -> None:
        """Stop listening; wait until all responses are sent, without limit.

        A response is sent when the kernel has taken its last byte, which is
        later than the end of its handler if the receiver is slow.
        """
        # Responses that are still not sent when the caller gives up have had
        # their time.
        self._close_timeout_s = 0
        self._server.stop()
        if self._serving is not None:
            await wait((self._serving,))

    async def close(self) -> None:
        """Stop listening, end all requests and close all connections.

        Without an earlier ``finish``, waits up to ``CLOSE_TIMEOUT_S`` until
        the responses are sent.
        """
        self._server.stop()
        if await self._has_ended(self._close_timeout_s):
            return
        self._server.cancel_requests()
        if await self._has_ended(ABORT_TIMEOUT_S):
            return
        self._server.abort_connections()
        await self._has_ended(ABORT_TIMEOUT_S)

    async def _has_ended(self, timeout_s: float) -> bool:
        if self._serving is None:
            return True
        await wait((self._serving,), timeout=timeout_s)
        return self._serving.done()


def decode_headers(scope: Mapping[str, Any]) -> dict[str, str]:
    """Return the request headers of an ASGI scope, names in lower case."""
    return {
        name.decode('latin-1'): text.decode('latin-1')
        for name, text in scope['headers']
    }


def encode_headers(items: Any) -> list[tuple[bytes, bytes]]:
    """Encode pairs of header name and value for ASGI."""
    return [
        (name.encode('latin-1'), text.encode('latin-1')) for name, text in items
    ]


async def read_request_body(receive: Any, max_bytes: int) -> bytes:
    """Read a whole request body.

    Raises:
        BodyTooLargeError: The body is longer than ``max_bytes``.
        CallerDisconnectedError: The sender closed its connection.
    """
    message = await receive()
    if not message.get('more_body', False):
        check_body_message(message, 0, max_bytes)
        return message.get('body', b'')
    chunks = [message.get('body', b'')]
    size = len(chunks[0])
    while message.get('more_body', False):
        message = await receive()
        check_body_message(message, size, max_bytes)
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
    return b''.join(chunks)


def check_body_message(message: Any, size: int, max_bytes: int) -> None:
    """Check one ASGI message of a request body.

    Args:
        message: The message.
        size: Bytes of the body before this message.
        max_bytes: Limit for the size of the body.

    Raises:
        BodyTooLargeError: The body is longer than ``max_bytes``.
        CallerDisconnectedError: The sender closed its connection.
    """
    if message['type'] == 'http.disconnect':
        raise CallerDisconnectedError('the sender closed the connection')
    if size + len(message.get('body', b'')) > max_bytes:
        raise BodyTooLargeError(
            f'the request body is larger than {max_bytes} bytes'
        )


async def send_whole(
    send: Any,
    status: int,
    header_items: Any,
    body: bytes,
) -> None:
    """Send a whole response with its length."""
    headers = encode_headers(header_items)
    headers.append((b'content-length', b'%d' % len(body)))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_streamed(
    send: Any,
    status: int,
    headers: list[tuple[bytes, bytes]],
    chunks: AsyncIterable[bytes],
) -> None:
    """Send a response in chunks without buffering it."""
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    async for chunk in chunks:
        await send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )
    await send({'type': 'http.response.body', 'body': b''})


async def send_failure(
    send: Any,
    failure: CallFailure,
    request_id: str,
    extra_headers: HeaderItems = (),
) -> None:
    """Send a failure as a problem document with the verdict header."""
    header_items = [
        ('content-type', 'application/problem+json'),
        (VERDICT, failure.verdict.value),
        (REQUEST_ID, request_id),
        *extra_headers,
    ]
    if failure.retry_after_ms:
        retry_after_s = -(-failure.retry_after_ms // MS_PER_S)
        header_items.append((RETRY_AFTER, str(retry_after_s)))
    if failure.successor:
        header_items.append((SUCCESSOR, failure.successor))
    problem = create_problem(failure, request_id)
    await send_whole(send, int(failure.status), header_items, encode(problem))


async def send_unless_started(send: Any, failure: CallFailure) -> None:
    """Send a failure unless the response was started already."""
    # Raised when the response was started already.
    with suppress(RuntimeError):
        await send_failure(send, failure, '')


async def send_json(
    send: Any, document: Any, status: int = HTTPStatus.OK
) -> None:
    """Send a response with a JSON document."""
    await send_whole(
        send,
        int(status),
        [('content-type', 'application/json')],
        encode(document),
    )
