"""Connections to the backend server beside this daemon."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import HeaderItems
from bergamotshunt.http.transport import (
    OpenResponse,
    HttpRequest,
    HttpClient,
    drop_hop_by_hop_raw,
)
from bergamotshunt.peers.headers import CONTENT_DIGEST, VERDICT
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

# Header by which a backend server names the request that it answers.
ANSWERED_ID: Final = 'x-request-id'
OWN_PREFIX: Final = 'bergamotshunt-'


class ServerRequest(NamedTuple):
    """One request to the backend server.

    Attributes:
        method: HTTP method.
        url: Whole URL, already encoded.
        headers: Headers to send.
        body: The whole body, or an iterator over its pieces.
        request_id: Identity that the response must not contradict.
        timeout_ms: Time until the whole response has to be there.
    """

    method: str
    url: str
    headers: HeaderItems
    body: bytes | AsyncIterator[bytes]
    request_id: str
    timeout_ms: float


class ServerResponse:
    """Response of the backend server, whole or with a part still to come.

    Args:
        exchange: Exchange whose head was checked.
        body: The whole body, or its first part.

    Attributes:
        is_whole: Whether ``body`` is the whole body.
        on_end: Called once when the response is closed.
    """

    def __init__(self, exchange: OpenResponse, body: bytes) -> None:
        """Create a response, which has to be closed."""
        self.status = exchange.status
        self.headers = keep_end_to_end(exchange)
        self.length = exchange.length()
        self.body = body
        self.is_whole = exchange.is_complete()
        self.on_end: Callable[[], None] | None = None
        self._exchange = exchange

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece.

        Raises:
            OSError, ClientError, TimeoutError: The body was cut short.
        """
        yield self.body
        piece = b'' if self.is_whole else await self._exchange.read_chunk()
        while piece:
            yield piece
            piece = await self._exchange.read_chunk()

    def close(self) -> None:
        """End the response; a connection with unread data is closed."""
        self._exchange.abort()
        if self.on_end is not None:
            self.on_end()
            self.on_end = None


class LocalServer:
    """Client of one backend server.

    Args:
        connections: Most connections at a time.
        buffer_bytes: Responses up to this size are read whole.
    """

    def __init__(self, connections: int, buffer_bytes: int) -> None:
        """Create the connections; a running event loop is needed."""
        self.buffer_bytes = buffer_bytes
        self._sender = HttpClient(connections)

    async def open(
        self,
        request: ServerRequest,
    ) -> Result[ServerResponse, CallFailure]:
        """Send a request and read its response, or the start of a long one.

        Returns:
            The response, or a failure whose verdict tells whether the
            server may have run the request.
        """
        opened = await self._sender.open(
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
        fault = find_fault(exchange, request)
        if fault is not None:
            end_faulty(exchange, fault)
            return Failure(fault)
        return await self._read(exchange)

    async def close(self) -> None:
        """Close all connections."""
        await self._sender.close()

    async def _read(
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


def find_fault(
    exchange: OpenResponse,
    request: ServerRequest,
) -> CallFailure | None:
    """Check the head of a response; None when it may be passed on."""
    if exchange.header(ANSWERED_ID) not in {None, request.request_id}:
        return create_unknown_outcome(
            'foreign-answer',
            'the server answered with the id of another request',
        )
    if not exchange.has_detectable_end:
        return create_unknown_outcome(
            'open-ended-answer',
            'the server sent an answer without length or chunks, so that a '
            'missing part would not be noticed',
        )
    is_refusal = exchange.status == HTTPStatus.SERVICE_UNAVAILABLE
    if is_refusal and exchange.header(VERDICT) == Verdict.NOT_RUN:
        return create_refusal('server-refused', 'the server shed the request')
    return None


def end_faulty(exchange: OpenResponse, fault: CallFailure) -> None:
    """Close the connection unless the server just refused."""
    if fault.verdict is Verdict.NOT_RUN:
        exchange.abort()
    else:
        exchange.discard()


def keep_end_to_end(exchange: OpenResponse) -> HeaderItems:
    """Return the headers of the server that are passed on."""
    decoded = (
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in drop_hop_by_hop_raw(exchange.raw_headers)
    )
    return tuple(
        (name, text)
        for name, text in decoded
        if name != CONTENT_DIGEST and not name.startswith(OWN_PREFIX)
    )
