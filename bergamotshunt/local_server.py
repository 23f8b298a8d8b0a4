"""Connections to the backend server beside this daemon."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
)
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection, TCPConnector
from returns.result import Failure, Result, Success
from yarl import URL

from bergamotshunt.calls import HeaderItems
from bergamotshunt.headers import (
    CONTENT_DIGEST,
    CONTENT_LENGTH,
    HOP_BY_HOP,
    VERDICT,
)
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
KEEP_ALIVE_S: Final = 60
# aiohttp pauses the connection at twice this size: 64 KiB per request.
READ_BUFFER_BYTES: Final = 32_768
# Header by which a backend server names the request that it answers.
ANSWERED_ID: Final = 'x-request-id'
OWN_PREFIX: Final = 'bergamotshunt-'
BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ServerRequest(NamedTuple):
    """One request to the backend server.

    Attributes:
        method: HTTP method.
        url: Whole URL, already encoded.
        headers: Headers to send.
        body: The whole body, or an iterator over its pieces.
        request_id: Identity that the answer must not contradict.
        timeout_ms: Time until the whole answer has to be there.
    """

    method: str
    url: str
    headers: HeaderItems
    body: bytes | AsyncIterator[bytes]
    request_id: str
    timeout_ms: float


class ServerAnswer:
    """Answer of the backend server, whole or with a part still to come.

    Args:
        response: Response whose headers were read.
        body: The whole body, or its first part.
        is_whole: Whether ``body`` is the whole body.

    Attributes:
        on_end: Called once when the answer is closed.
    """

    def __init__(
        self,
        response: ClientResponse,
        body: bytes,
        *,
        is_whole: bool,
    ) -> None:
        """Create an answer; one that is not whole has to be closed."""
        self.status = response.status
        self.headers = keep_end_to_end(response)
        self.length = response.content_length
        self.body = body
        self.is_whole = is_whole
        self.on_end: Callable[[], None] | None = None
        self._is_read = is_whole
        self._response = response

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece.

        Raises:
            aiohttp.ClientError: The answer was cut short.
            TimeoutError: It took longer than allowed.
        """
        yield self.body
        while not self._is_read:
            piece = await self._response.content.readany()
            self._is_read = not piece
            if piece:
                yield piece

    def close(self) -> None:
        """End the answer; a connection with unread data is closed."""
        if not self._is_read:
            self._response.close()
        if self.on_end is not None:
            self.on_end()
            self.on_end = None


class _CleanConnector(TCPConnector):
    """Connector that does not reuse a connection with unread data.

    aiohttp takes data that arrives on an idle connection for the answer
    to the next request on it.
    """

    async def _get(self, key: ConnectionKey, traces: Any) -> Connection | None:
        connection = await super()._get(key, traces)
        while connection is not None and is_unclean(connection):
            connection.close()
            connection = await super()._get(key, traces)
        return connection


class LocalServer:
    """Client of one backend server.

    Connections whose request was cancelled, timed out or cut short are
    closed and never used again.

    Args:
        connections: Most connections at a time.
        buffer_bytes: Answers up to this size are read whole.
    """

    def __init__(self, connections: int, buffer_bytes: int) -> None:
        """Create the session; a running event loop is needed."""
        self.buffer_bytes = buffer_bytes
        self._session = ClientSession(
            connector=_CleanConnector(
                limit=0,
                limit_per_host=connections,
                keepalive_timeout=KEEP_ALIVE_S,
                use_dns_cache=False,
            ),
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
            raise_for_status=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=('User-Agent', 'Content-Type', 'Accept'),
        )
        # aiohttp resends PUT and DELETE on a kept connection that the
        # server closed, which can run a booking twice.
        self._session._retry_connection = False

    async def open(
        self,
        request: ServerRequest,
    ) -> Result[ServerAnswer, CallFailure]:
        """Send a request and read its answer, or the start of a long one.

        Returns:
            The answer, or a failure whose verdict tells whether the
            server may have run the request.
        """
        try:
            return await self._exchange(request)
        except (ClientError, OSError, ValueError) as error:
            return Failure(describe_error(error, request.timeout_ms))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(
        self,
        request: ServerRequest,
    ) -> Result[ServerAnswer, CallFailure]:
        response = await self._session.request(
            request.method,
            URL(request.url, encoded=True),
            headers=request.headers,
            data=request.body,
            allow_redirects=False,
            timeout=ClientTimeout(total=request.timeout_ms / MS_PER_S),
        )
        failure = find_fault(response, request)
        if failure is not None:
            response.close()
            return Failure(failure)
        try:
            return Success(await self._read(response))
        except BaseException:
            response.close()
            raise

    async def _read(self, response: ClientResponse) -> ServerAnswer:
        length = response.content_length
        if length is not None and length <= self.buffer_bytes:
            body = await response.read()
            return ServerAnswer(response, body, is_whole=True)
        pieces: list[bytes] = []
        size = 0
        while size <= self.buffer_bytes:
            piece = await response.content.readany()
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
        body = b''.join(pieces)
        return ServerAnswer(response, body, is_whole=response.content.at_eof())


def describe_error(error: Exception, timeout_ms: float) -> CallFailure:
    """Tell what an error of the connection says about the request."""
    if isinstance(error, ClientConnectorError | ConnectionTimeoutError):
        return create_refusal('unreachable', str(error))
    if isinstance(error, TimeoutError):
        return create_unknown_outcome(
            'timeout',
            f'no whole answer within {timeout_ms:.0f} ms',
            HTTPStatus.GATEWAY_TIMEOUT,
        )
    if isinstance(error, ClientPayloadError):
        return create_unknown_outcome('cut-short', str(error))
    detail = f'{type(error).__name__}: {error}'
    return create_unknown_outcome('connection-lost', detail)


def is_unclean(connection: Connection) -> bool:
    """Tell whether data arrived on an idle connection."""
    protocol = connection.protocol
    return protocol is not None and protocol.should_close


def find_fault(
    response: ClientResponse,
    request: ServerRequest,
) -> CallFailure | None:
    """Check the head of an answer; None when it may be passed on."""
    named_id = response.headers.get(ANSWERED_ID, request.request_id)
    if named_id != request.request_id:
        return create_unknown_outcome(
            'foreign-answer',
            'the server answered with the id of another request',
        )
    if is_open_ended(response, request.method):
        return create_unknown_outcome(
            'open-ended-answer',
            'the server sent an answer without length or chunks, so that a '
            'missing part would not be noticed',
        )
    is_refusal = response.status == HTTPStatus.SERVICE_UNAVAILABLE
    if is_refusal and response.headers.get(VERDICT) == Verdict.NOT_RUN:
        return create_refusal('server-refused', 'the server shed the request')
    return None


def is_open_ended(response: ClientResponse, method: str) -> bool:
    """Tell whether only the end of the connection ends the answer."""
    if method == 'HEAD' or response.status in BODILESS:
        return False
    encoding = response.headers.get('transfer-encoding', '')
    return response.content_length is None and 'chunked' not in encoding


def keep_end_to_end(response: ClientResponse) -> HeaderItems:
    """Return the headers of the server that are passed on."""
    dropped = HOP_BY_HOP | {CONTENT_LENGTH, CONTENT_DIGEST}
    items = ((name.lower(), text) for name, text in response.headers.items())
    return tuple(
        (name, text)
        for name, text in items
        if name not in dropped and not name.startswith(OWN_PREFIX)
    )
