"""Client side of HTTP/1.1 connections: one request at a time."""

from asyncio import Event, Future, Protocol, Transport, get_running_loop
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpResponseParser,
)

from bergamotshunt.http.bodies import Body
from bergamotshunt.http.heads import (
    BODYLESS_STATUSES,
    LAST_CHUNK,
    HeaderCollector,
    ResponseHead,
    encode_chunk,
)
from bergamotshunt.http.send_queue import count_undelivered_bytes
from bergamotshunt.http.sockets import (
    UNACKNOWLEDGED_TIMEOUT_MS,
    has_socket_error,
    reset_on_close,
    set_socket_options,
    set_unacknowledged_timeout,
)
from bergamotshunt.http.statuses import check_status

# Servers may close an idle connection earlier than their Keep-Alive header
# states, so only this share of the stated time is used.
IDLE_LIMIT_FACTOR: Final = 0.5
# Applies while the server has sent no Keep-Alive header.
DEFAULT_IDLE_LIMIT_S: Final = 4.0
# Limit on bytes without one of a body between them: a head, trailers or the
# framing of a chunk. The parser keeps a header line in memory until its end.
MAX_FRAMING_BYTES: Final = 65_536
# Limit on bytes before the head of the response, with late responses to
# earlier requests, which are dropped.
MAX_SKIPPED_BYTES: Final = 1_048_576
SWITCHING_PROTOCOLS: Final = 101
FIRST_FINAL_STATUS: Final = 200


class NotSentError(ConnectionError):
    """No byte of the request reached the server."""


class ResponseLostError(ConnectionError):
    """The connection failed before the head of the response arrived."""


ResponseMatcher = Callable[[ResponseHead], bool]


class Response(NamedTuple):
    """Head of a response, and its body, which may still be arriving.

    Attributes:
        head: Head of the response.
        body: Body of the response.
        in_sync: Whether the connection had no bytes before it that belong
            to no request.
    """

    head: ResponseHead
    body: Body
    in_sync: bool


class ClientConnection(Protocol):
    """A connection to a server, for one request at a time.

    Attributes:
        idle_since_s: Loop time at which it was returned to its pool.
        idle_limit_s: How long it may be kept without a request, in seconds.
        skipped_responses: Number of responses that belonged to no request.
    """

    def __init__(self) -> None:
        """Create a protocol that is not connected yet."""
        self.idle_since_s: float = 0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.skipped_responses = 0
        self._transport: Transport | None = None
        # None after the end of the connection: it refers back to this object.
        self._parser: Any = HttpResponseParser(self)
        self._can_write = Event()
        self._can_write.set()
        self._is_expected: ResponseMatcher | None = None
        self._response_waiter: Future[Response] | None = None
        self._body: Body | None = None
        self._headers = HeaderCollector()
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._in_head = False
        self._skipping_response = False
        self._until_close = False
        self._is_head_request = False
        self._request_complete = True
        self._has_short_timeout = True
        self._out_of_sync = False
        self._keep_alive = True

    # Transport callbacks

    def connection_made(self, transport: Any) -> None:
        """Set the socket options."""
        self._transport = transport
        set_socket_options(transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes without a request end the connection."""
        if self._response_waiter is None and self._body is None:
            self._fail_out_of_sync(
                f'the server sent {len(data)} bytes without a request'
            )
            return
        if self._until_close and self._body is not None:
            self._body.feed(data)
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self._fail_out_of_sync(
                'the server sent a malformed HTTP response: '
                f'{error.__context__ or error}'
            )
        self._check_limits(len(data))

    def eof_received(self) -> bool:
        """Complete a response whose end is the end of the connection."""
        if self._until_close and self._body is not None:
            if self._transport is not None and has_socket_error(
                self._transport
            ):
                self._fail_out_of_sync('the server reset the connection')
                return False
            self._body.finish()
            self._body = None
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self._transport = None
        self._parser = None
        self._can_write.set()
        self._fail_pending(
            f'the connection to the server ended: {exc or "closed"}'
        )

    def pause_writing(self) -> None:
        """Stop writing the request body: the server does not read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Resume writing the request body."""
        self._can_write.set()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start to collect the head of a response."""
        if self._response_waiter is None:
            self._out_of_sync = True
            return
        self._headers = HeaderCollector()
        self._in_head = True

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._in_head:
            self._headers.add(name, content, MAX_FRAMING_BYTES)

    def on_headers_complete(self) -> None:
        """Pass the head to the pending request.

        Raises:
            InvalidStatusError: The status is none; the parser fails then.
        """
        self._in_head = False
        if self._response_waiter is None:
            return
        status = check_status(self._parser.get_status_code())
        if status < FIRST_FINAL_STATUS:
            self._skipping_response = True
            self._out_of_sync = (
                self._out_of_sync or status == SWITCHING_PROTOCOLS
            )
            return
        head = self._create_head(status)
        if self._is_expected is not None and not self._is_expected(head):
            # Late response to an earlier request; the next response may be
            # the expected one.
            self._skipping_response = True
            self._out_of_sync = True
            self.skipped_responses += 1
            return
        self._skipping_response = False
        # The parser expects a body also after the head for a HEAD request.
        self._keep_alive = (
            self._parser.should_keep_alive() and not self._is_head_request
        )
        self._update_idle_limit(head)
        body = Body(self._set_reading)
        self._body = body
        self._until_close = head.length is None and not self._is_chunked(head)
        waiter = self._response_waiter
        self._response_waiter = None
        if not waiter.done():
            waiter.set_result(Response(head, body, not self._out_of_sync))
        if self._is_bodyless(status):
            body.finish()
            self._body = None
            self._until_close = False

    def on_body(self, body: bytes) -> None:
        """Add received bytes to the body."""
        self._framing_bytes = 0
        if not self._skipping_response and self._body is not None:
            self._body.feed(body)

    def on_message_complete(self) -> None:
        """Complete the body."""
        if self._skipping_response:
            self._skipping_response = False
            return
        if self._body is not None:
            self._body.finish()
            self._body = None

    # Interface for the pool and its users

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        ended = self._response_waiter is None and self._body is None
        clean = self._request_complete and not self._out_of_sync
        return self.connected and self._keep_alive and ended and clean

    def send_request(
        self,
        head: bytes,
        is_expected: ResponseMatcher | None = None,
        *,
        whole: bool,
        bodyless: bool = False,
    ) -> 'Future[Response]':
        """Write a request.

        Args:
            head: Head of the request, followed by the body if ``whole``.
            is_expected: Distinguishes the response to this request from a
                late response to an earlier one.
            whole: Whether ``head`` is the complete request.
            bodyless: Whether the response has no body, as for HEAD.

        Returns:
            A future of the response, which completes when its head has
            arrived, or fails with ``ResponseLostError``.

        Raises:
            NotSentError: The connection is closed already.
        """
        if self._transport is None or self._transport.is_closing():
            raise NotSentError(
                'the connection was closed before the request was sent'
            )
        self._set_short_timeout(self._transport, short=whole)
        self._is_expected = is_expected
        self._request_complete = whole
        self._is_head_request = bodyless
        self._until_close = False
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._response_waiter = get_running_loop().create_future()
        self._transport.write(head)
        return self._response_waiter

    async def write(self, chunk: bytes, *, chunked: bool) -> None:
        """Write bytes of the request body; empty bytes complete it."""
        await self._can_write.wait()
        if self._transport is None:
            return
        if not chunk:
            self._request_complete = True
            if chunked:
                self._transport.write(LAST_CHUNK)
            return
        self._transport.write(encode_chunk(chunk) if chunked else chunk)

    def close(self) -> None:
        """Close the connection; a pending request fails.

        A server that does not read would get an orderly close only after
        the bytes before it, so the connection is reset if it has not got
        them all.
        """
        if self._transport is not None:
            if count_undelivered_bytes(self._transport):
                reset_on_close(self._transport)
            self._transport.abort()

    # Internals

    def _set_short_timeout(self, transport: Transport, *, short: bool) -> None:
        """Set whether a peer that acknowledges no bytes ends the connection.

        The kernel counts bytes for a full receive buffer as unacknowledged.
        A long request body may wait for its reader, up to the deadline of
        the request.
        """
        if short != self._has_short_timeout:
            self._has_short_timeout = short
            set_unacknowledged_timeout(
                transport, UNACKNOWLEDGED_TIMEOUT_MS if short else 0
            )

    def _check_limits(self, received_bytes: int) -> None:
        """Fail a response that has too many bytes besides its body."""
        if self._response_waiter is not None:
            self._skipped_bytes += received_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail_out_of_sync(
                f'the server sent over {MAX_FRAMING_BYTES} bytes of framing'
            )
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail_out_of_sync(
                f'the server sent over {MAX_SKIPPED_BYTES} bytes before the '
                'response'
            )

    def _create_head(self, status: int) -> ResponseHead:
        headers = tuple(self._headers.headers)
        by_name = {name.lower(): content for name, content in headers}
        length: int | None = None
        if self._is_bodyless(status):
            length = 0
        elif b'content-length' in by_name:
            length = int(by_name[b'content-length'])
        return ResponseHead(status, headers, by_name, length)

    def _is_chunked(self, head: ResponseHead) -> bool:
        coding = head.by_name.get(b'transfer-encoding', b'')
        return coding.lower().endswith(b'chunked')

    def _is_bodyless(self, status: int) -> bool:
        return self._is_head_request or status in BODYLESS_STATUSES

    def _update_idle_limit(self, head: ResponseHead) -> None:
        stated = head.by_name.get(b'keep-alive', b'')
        _, separator, seconds = stated.partition(b'timeout=')
        digits = seconds.split(b',')[0].strip()
        if separator and digits.isdigit():
            self.idle_limit_s = int(digits) * IDLE_LIMIT_FACTOR

    def _set_reading(self, reading: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _fail_out_of_sync(self, reason: str) -> None:
        self._out_of_sync = True
        self._headers = HeaderCollector()
        self._fail_pending(reason)
        self.close()

    def _fail_pending(self, reason: str) -> None:
        waiter = self._response_waiter
        self._response_waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ResponseLostError(reason))
        body = self._body
        self._body = None
        if body is not None:
            body.mark_incomplete(reason)
