"""HTTP client of the local backend server."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import HeaderItems
from bergamotshunt.http.transport import (
    HttpClient,
    HttpRequest,
    OpenResponse,
    drop_hop_by_hop_raw,
)
from bergamotshunt.peers.headers import CONTENT_DIGEST, VERDICT
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

# Header in which a backend server returns the id of the request.
SERVER_REQUEST_ID: Final = 'x-request-id'
# The daemon sets headers with this prefix itself and drops those of the
# backend server.
INTERNAL_HEADER_PREFIX: Final = 'bergamotshunt-'


class ServerRequest(NamedTuple):
    """A request to the backend server.

    Attributes:
        method: HTTP method.
        url: Percent-encoded URL.
        headers: Headers to send.
        body: The whole body, or an iterator over its chunks.
        request_id: Id that the response must have, if it states one.
        timeout_ms: Time limit for the complete response, in milliseconds.
    """

    method: str
    url: str
    headers: HeaderItems
    body: bytes | AsyncIterator[bytes]
    request_id: str
    timeout_ms: float


class ServerResponse:
    """Response of the backend server, complete or still being received.

    Args:
        exchange: Exchange whose response head was validated.
        body: The whole body, or its first part.

    Attributes:
        length: Stated length of the body in bytes; None when not stated.
        is_complete: Whether ``body`` is the whole body.
        on_end: Called once, when the response is closed.
    """

    def __init__(self, exchange: OpenResponse, body: bytes) -> None:
        """Create a response, which has to be closed."""
        self.status = exchange.status
        self.headers = decode_end_to_end(exchange)
        self.length = exchange.length()
        self.body = body
        self.is_complete = exchange.is_complete()
        self.on_end: Callable[[], None] | None = None
        self._exchange = exchange

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks.

        Raises:
            OSError, ClientError, TimeoutError: The body was cut short.
        """
        yield self.body
        chunk = b'' if self.is_complete else await self._exchange.read_chunk()
        while chunk:
            yield chunk
            chunk = await self._exchange.read_chunk()

    def close(self) -> None:
        """Close the response, and its connection if data is unread."""
        self._exchange.abort()
        if self.on_end is not None:
            self.on_end()
            self.on_end = None


class LocalServerClient:
    """Client of one backend server.

    Args:
        connections: Maximum number of connections.
        buffer_bytes: Responses up to this size are read completely.
    """

    def __init__(self, connections: int, buffer_bytes: int) -> None:
        """Create the client; requires a running event loop."""
        self.buffer_bytes = buffer_bytes
        self._http_client = HttpClient(connections)

    async def open(
        self,
        request: ServerRequest,
    ) -> Result[ServerResponse, CallFailure]:
        """Send a request and read its response, or the start of a long one.

        Returns:
            The response, or a failure whose verdict states whether the
            server may have run the request.
        """
        opened = await self._http_client.open(
            HttpRequest(
                request.method,
                request.url,
                request.headers,
                request.body,
                request.timeout_ms,
            ),
        )
        if not is_successful(opened):
            return Failure(opened.failure())
        exchange = opened.unwrap()
        fault = find_head_fault(exchange, request)
        if fault is not None:
            discard_faulty(exchange, fault)
            return Failure(fault)
        return await self._read_start(exchange)

    async def close(self) -> None:
        """Close all connections."""
        await self._http_client.close()

    async def _read_start(
        self,
        exchange: OpenResponse,
    ) -> Result[ServerResponse, CallFailure]:
        try:
            body = await exchange.read(self.buffer_bytes)
        except BaseException:
            exchange.abort()
            raise
        if not is_successful(body):
            exchange.abort()
            return Failure(body.failure())
        return Success(ServerResponse(exchange, body.unwrap()))


def find_head_fault(
    exchange: OpenResponse,
    request: ServerRequest,
) -> CallFailure | None:
    """Validate the head of a response; None if it may be forwarded."""
    if exchange.header(SERVER_REQUEST_ID) not in {None, request.request_id}:
        return create_unknown_outcome(
            'foreign-answer',
            'the response of the backend server carries the id of another '
            f'request than the expected {request.request_id!r}',
        )
    if not exchange.has_detectable_end:
        return create_unknown_outcome(
            'open-ended-answer',
            'the response has neither Content-Length nor chunked encoding, '
            'so a truncated body would go unnoticed',
        )
    is_refusal = exchange.status == HTTPStatus.SERVICE_UNAVAILABLE
    if is_refusal and exchange.header(VERDICT) == Verdict.NOT_RUN:
        return create_refusal(
            'server-refused', 'the backend server refused the request'
        )
    return None


def discard_faulty(exchange: OpenResponse, fault: CallFailure) -> None:
    """Discard a response.

    Its connection is reused only after a refusal that was read to its end.
    After any other fault, it may carry bytes of another response.
    """
    if fault.verdict is Verdict.NOT_RUN:
        exchange.abort()
    else:
        exchange.discard()


def decode_end_to_end(exchange: OpenResponse) -> HeaderItems:
    """Return the headers of the server to forward."""
    decoded = (
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in drop_hop_by_hop_raw(exchange.raw_headers)
    )
    return tuple(
        (name, text)
        for name, text in decoded
        if name != CONTENT_DIGEST
        and not name.startswith(INTERNAL_HEADER_PREFIX)
    )
