"""HTTP client whose failures state whether the request may have run."""

from collections.abc import AsyncIterable, AsyncIterator, Iterable, Mapping
from http import HTTPStatus
from types import TracebackType
from typing import Any, Final, NamedTuple, Self, cast

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
)
from aiohttp.connector import Connection
from returns.result import Failure, Result, Success
from yarl import URL

from bergamotshunt.decisions.deadlines import connect_timeout_ms
from bergamotshunt.http.clean_connector import CleanConnector
from bergamotshunt.http.statuses import InvalidStatusError, check_status
from bergamotshunt.peers.headers import CONTENT_LENGTH, HOP_BY_HOP_HEADERS
from bergamotshunt.verdicts import (
    CallFailure,
    create_refusal,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
KEEP_ALIVE_S: Final = 60
# aiohttp stops reading from a connection at twice this size, so a streamed
# response buffers at most 64 KiB.
READ_BUFFER_BYTES: Final = 32_768
# aiohttp rounds timeouts above this threshold up to whole seconds.
NO_ROUNDING_BELOW_S: Final = 1e9
# OSError includes TimeoutError.
TRANSPORT_ERRORS: Final = (ClientError, OSError, ValueError)

Headers = Mapping[str, str] | Iterable[tuple[str, str]]
RawHeaders = tuple[tuple[bytes, bytes], ...]


class HttpRequest(NamedTuple):
    """One HTTP request to one server.

    Attributes:
        method: HTTP method.
        url: Base URL and path, already encoded.
        headers: Headers to send, as a mapping or as pairs.
        body: The whole body, or its chunks.
        timeout_ms: Time limit for the whole response, in milliseconds.
    """

    method: str
    url: str
    headers: Headers
    body: bytes | AsyncIterable[bytes]
    timeout_ms: float


class HttpResponse(NamedTuple):
    """Whole response to a request.

    Attributes:
        status: HTTP status.
        headers: Values by lower-case name; the last value of a name.
        body: The whole body.
        raw_headers: All headers as received.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    raw_headers: RawHeaders = ()


class _Response(ClientResponse):
    """aiohttp response that can close its connection after its release.

    aiohttp returns a connection to the pool as soon as the response has
    ended, which is before its headers were checked.
    """

    async def start(self, connection: Connection) -> ClientResponse:
        self.used_protocol = connection.protocol
        return await super().start(connection)

    def discard(self) -> None:
        self.close()
        if self.used_protocol is not None:
            self.used_protocol.close()


class OpenResponse:
    """Response whose head has arrived; the connection is still in use.

    Use it as an asynchronous context manager: a connection whose response
    was not read to its end is closed, not reused.
    """

    def __init__(self, response: _Response, timeout_ms: float) -> None:
        """Wrap a response of aiohttp."""
        self._response = response
        self._timeout_ms = timeout_ms
        self.status = response.status
        self.method = response.method
        self.raw_headers: RawHeaders = response.raw_headers

    async def __aenter__(self) -> Self:
        """Return the response itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connection unless the response was read to its end."""
        self.abort()

    @property
    def has_detectable_end(self) -> bool:
        """Whether a complete body can be told from a truncated one.

        Without a length or chunks, the end of the connection is the only
        sign of the end of the body.
        """
        headers = self._response.headers
        return (
            'Content-Length' in headers
            or 'Transfer-Encoding' in headers
            or self._response.method == 'HEAD'
            or self.status in {HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED}
        )

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self._response.headers.get(name)

    def length(self) -> int | None:
        """Return the stated length of the body in bytes, or None."""
        text = self._response.headers.get('Content-Length', '')
        return int(text) if text.isdecimal() else None

    async def read(self, max_bytes: int) -> Result[bytes, CallFailure]:
        """Read up to the end, or until ``max_bytes`` are exceeded.

        Afterwards ``is_complete`` states which of the two was the case.
        """
        chunks = []
        size = 0
        stream = self._response.content
        try:
            while size <= max_bytes:
                chunk = await stream.readany()
                if not chunk:
                    break
                chunks.append(chunk)
                size += len(chunk)
        except TRANSPORT_ERRORS as error:
            return Failure(classify_error(error, self._timeout_ms))
        return Success(chunks[0] if len(chunks) == 1 else b''.join(chunks))

    def is_complete(self) -> bool:
        """Return whether the whole body was received and read."""
        return self._response.content.at_eof()

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, or empty bytes at its end.

        Raises:
            OSError, ClientError, TimeoutError: The body was cut short.
        """
        return await self._response.content.readany()

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the rest of the body; raises the errors of ``read_chunk``."""
        chunk = await self.read_chunk()
        while chunk:
            yield chunk
            chunk = await self.read_chunk()

    def discard(self) -> None:
        """Close the connection, because the response is to another request.

        Call this before the next ``await``: the connection may be in the
        pool already, and another request could be sent on it.
        """
        self._response.discard()

    def abort(self) -> None:
        """Close the connection unless the response was read to its end."""
        if self._response.connection is not None:
            self._response.close()


class HttpClient:
    """HTTP client of one task, with a pool of connections to each server.

    A connection whose request was cancelled, timed out or cut short is
    closed and never reused.

    Args:
        connections_per_server: Limit for the connections to one server.
    """

    def __init__(self, connections_per_server: int) -> None:
        """Create the aiohttp session; a running event loop is needed."""
        self._session = ClientSession(
            connector=CleanConnector(
                limit=0,
                limit_per_host=connections_per_server,
                keepalive_timeout=KEEP_ALIVE_S,
                use_dns_cache=False,
            ),
            cookie_jar=DummyCookieJar(),
            response_class=_Response,
            auto_decompress=False,
            raise_for_status=False,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=('User-Agent', 'Content-Type', 'Accept'),
        )
        # aiohttp resends PUT and DELETE when the server closed a kept-alive
        # connection, which could run a booking twice.
        self._session._retry_connection = False

    async def open(
        self, request: HttpRequest
    ) -> Result[OpenResponse, CallFailure]:
        """Send a request and wait for the head of the response.

        Returns:
            The response, which has to be closed, or a failure whose
            verdict states whether the server may have run the request.
        """
        timeout_ms = request.timeout_ms
        try:
            response = await self._session.request(
                request.method,
                URL(request.url, encoded=True),
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                timeout=ClientTimeout(
                    total=timeout_ms / MS_PER_S,
                    connect=connect_timeout_ms(timeout_ms) / MS_PER_S,
                    ceil_threshold=NO_ROUNDING_BELOW_S,
                ),
            )
        except TRANSPORT_ERRORS as error:
            return Failure(classify_error(error, timeout_ms))
        opened = OpenResponse(cast(_Response, response), timeout_ms)
        try:
            check_status(opened.status)
        except InvalidStatusError as error:
            opened.discard()
            return Failure(classify_error(error, timeout_ms))
        return Success(opened)

    async def send(
        self, request: HttpRequest
    ) -> Result[HttpResponse, CallFailure]:
        """Send a request and read the whole response.

        Returns:
            The response, or a failure whose verdict states whether the
            server may have run the request.
        """
        match await self.open(request):
            case Success(opened):
                return await read_whole_response(opened, request.timeout_ms)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError('a Result must be a Success or a Failure')

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


async def read_whole_response(
    opened: OpenResponse,
    timeout_ms: float,
) -> Result[HttpResponse, CallFailure]:
    """Read a whole response of any size and release its connection."""
    response = opened._response  # noqa: SLF001, WPS437
    async with opened:
        try:
            body = await response.read()
        except TRANSPORT_ERRORS as error:
            return Failure(classify_error(error, timeout_ms))
        headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        return Success(
            HttpResponse(opened.status, headers, body, opened.raw_headers)
        )


def classify_error(error: Exception, timeout_ms: float) -> CallFailure:
    """Convert an error into a failure with a verdict.

    Only an error while connecting proves that the server did not run the
    request: bytes that were written may have been read, whatever error
    follows.
    """
    if isinstance(error, (ClientConnectorError, ConnectionTimeoutError)):
        return create_refusal('unreachable', str(error))
    if isinstance(error, TimeoutError):
        return create_unknown_outcome(
            'timeout',
            f'no complete response within {timeout_ms:.0f} ms',
            HTTPStatus.GATEWAY_TIMEOUT,
        )
    detail = f'{type(error).__name__}: {error}'
    return create_unknown_outcome('connection-lost', detail)


def drop_hop_by_hop(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers without hop-by-hop headers and the length."""
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in HOP_BY_HOP_HEADERS and name != CONTENT_LENGTH
    )


def drop_hop_by_hop_raw(raw_headers: Any) -> list[tuple[bytes, bytes]]:
    """Drop hop-by-hop headers and the length; keep repeated headers.

    Args:
        raw_headers: Pairs of name and value as received.

    Returns:
        The pairs with names in lower case, as ASGI requires.
    """
    lowered = ((name.lower(), text) for name, text in raw_headers)
    return [pair for pair in lowered if pair[0] not in DROPPED_HEADERS]


DROPPED_HEADERS: Final = frozenset(
    name.encode() for name in (*HOP_BY_HOP_HEADERS, CONTENT_LENGTH)
)
