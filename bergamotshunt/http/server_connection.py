"""Server side of HTTP/1.1 connections, with pipelined requests."""

from asyncio import Event, TimerHandle, Transport, get_running_loop
from asyncio import Protocol as AsyncioProtocol
from asyncio import Task as AsyncioTask
from collections.abc import Callable
from http import HTTPStatus
from math import inf
from typing import Any, Final, Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from bergamotshunt.decisions.connection_closing import (
    ClientProgress,
    is_stalled,
    stall_deadline_s,
    update_progress,
)
from bergamotshunt.http.connection_ends import (
    CloseReason,
    ConnectionEnd,
    EndRecorder,
    OpenConnections,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.hangups import HangupWatcher
from bergamotshunt.http.heads import (
    HeadTooLargeError,
    HeaderCollector,
    RequestHead,
    encode_framing_head,
)
from bergamotshunt.http.lingering_close import (
    CHECK_INTERVAL_S,
    LingeringClose,
)
from bergamotshunt.http.response_queue import ResponseQueue
from bergamotshunt.http.send_queue import count_undelivered_bytes
from bergamotshunt.http.sockets import format_address, set_socket_options
from bergamotshunt.routing import ClientLimits

MS_PER_S: Final = 1000
# Reading pauses while a connection has more unfinished requests than this.
MAX_PIPELINED_REQUESTS: Final = 64
# Longest pieces that are parsed at a time: while a head is due, and while a
# body is, behind which requests may follow, too.
HEAD_PIECE_BYTES: Final = 2048
BODY_PIECE_BYTES: Final = 16_384
# A request may cross the close of a connection for one of these reasons.
IDLE_REASONS: Final = frozenset((CloseReason.IDLE, CloseReason.SHUTDOWN))
CONNECT: Final = b'CONNECT'
CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class ConnectionOwner(Protocol):
    """Interface of the listener that accepted a connection.

    Attributes:
        limits: Limits for clients.
        connections: All open connections.
        hangup_watcher: Watches connections that are not read.
        closing: Whether connections close after their next response.
        closing_idle: Whether idle connections close at once.
        on_connection_end: Called with the end of each connection.
        create_close_notice: Returns what an idle connection sends before it
            closes.
    """

    limits: ClientLimits
    connections: 'set[ServerConnection]'
    hangup_watcher: HangupWatcher
    closing: bool
    closing_idle: bool
    on_connection_end: 'Callable[[ConnectionEnd], None]'
    create_close_notice: 'Callable[[], bytes]'

    def now_s(self) -> float:
        """Return the loop time in seconds."""

    def start_handler(self, exchange: Exchange) -> 'AsyncioTask[None]':
        """Start the handler of a request in a task."""

    def report_progress(self) -> None:
        """Report that a connection may have become idle."""

    def limit_unread(self) -> None:
        """Close connections if their clients leave too much output unread."""


class ServerConnection(AsyncioProtocol):
    """A client's connection; the handler of each request runs in a task."""

    def __init__(self, listener: ConnectionOwner) -> None:
        """Create a protocol that is not connected yet."""
        self._listener = listener
        self._transport: Transport | None = None
        # None after the end of the connection: it refers back to this object.
        self._parser: Any = HttpRequestParser(self)
        # Received bytes that wait until fewer requests are unfinished.
        self._unparsed = b''
        self._exchanges = ResponseQueue()
        self._arriving: Exchange | None = None
        self._headers = HeaderCollector()
        self._target = b''
        self._head_bytes = 0
        self._head_start_s: float = 0
        self._idle_since_s: float = 0
        self._timer: TimerHandle | None = None
        self._can_write = Event()
        self._can_write.set()
        self._pause_count: int = 0
        self._is_pipeline_full = False
        self._rejecting = False
        # The request whose head is complete offers another protocol.
        self._offers_upgrade = False
        # The parser gets a head that was parsed before, for its body only.
        self._repeats_head = False
        self._lingering_close: LingeringClose | None = None
        self._end_recorder = EndRecorder()
        self._last_response_s = -inf
        self._last_deadline_s = -inf
        self._written_bytes = 0
        self._received_body_bytes = 0
        self._progress = ClientProgress(
            is_awaited=False, moved_bytes=0, draining=False, since_s=0
        )

    # Transport callbacks

    def connection_made(self, transport: Any) -> None:
        """Set the socket options and start the timeout checks."""
        self._transport = transport
        self._end_recorder = EndRecorder(format_address(transport))
        set_socket_options(transport)
        self._idle_since_s = self._listener.now_s()
        self._listener.connections.add(self)
        self.check_timeouts()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reject malformed and too large heads."""
        self._parse(self._unparsed + data if self._unparsed else data)

    def eof_received(self) -> bool:
        """Close the connection: the client has closed its side."""
        self._end_recorder.record_close(
            CloseReason.CLIENT_CLOSED, self._count_unsent_bytes()
        )
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handlers of all requests on this connection."""
        self._listener.connections.discard(self)
        self._stop_checks()
        self._can_write.set()
        self._exchanges.wake_waiting()
        self._report_end(exc)
        self._cancel_exchanges('the client closed its connection')
        self._transport = None
        self._parser = None
        self._unparsed = b''
        self._listener.report_progress()

    def pause_writing(self) -> None:
        """Stop writing responses: the client does not read."""
        self._can_write.clear()
        self._limit_pipelining()
        self._end_recorder.record_unsent(self._count_unsent_bytes())

    def resume_writing(self) -> None:
        """Resume writing responses."""
        self._can_write.set()
        self._limit_pipelining()
        self._end_recorder.record_unsent(self._count_unsent_bytes())
        self._listener.report_progress()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Start to collect the head of a request."""
        if self._repeats_head:
            return
        self._headers = HeaderCollector()
        self._target = b''
        self._head_start_s = self._listener.now_s()
        if not self._ignores_requests():
            self._arriving = Exchange(self)

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._arriving is not None and not self._arriving.head.method:
            self._headers.add(name, content, self._listener.limits.head_bytes)

    def on_headers_complete(self) -> None:
        """Start the handler of a request, or reject a too long body."""
        exchange = self._arriving
        if exchange is None or self._repeats_head:
            self._repeats_head = False
            return
        self._head_bytes = 0
        exchange.head = self._create_head()
        self._offers_upgrade = self._parser.should_upgrade()
        exchange.arrived_s = self._listener.now_s()
        if not self._parser.should_keep_alive():
            exchange.closing = True
        self._exchanges.append(exchange)
        if exchange.head.by_name.get(b'expect', b'').lower() == b'100-continue':
            if self._exchanges.is_first(exchange):
                self._transmit(CONTINUE)
        self._limit_pipelining()
        length = exchange.head.length
        if length is not None and length > self._listener.limits.body_bytes:
            self._reject_exchange(exchange, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        exchange.task = self._listener.start_handler(exchange)

    def on_body(self, body: bytes) -> None:
        """Add received bytes to the body; reject a too long one."""
        exchange = self._arriving
        if exchange is None:
            return
        self._received_body_bytes += len(body)
        exchange.body.feed(body)
        if exchange.body.received_bytes > self._listener.limits.body_bytes:
            self._reject_exchange(exchange, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Complete the request."""
        if self._offers_upgrade:
            # The parser takes what follows for the other protocol.
            return
        exchange = self._arriving
        self._arriving = None
        self._head_bytes = 0
        if exchange is not None:
            exchange.body.finish()
        self._limit_pipelining()
        self.flush()

    @property
    def state(self) -> OpenConnections:
        """The responses that this connection has not sent yet."""
        return OpenConnections(
            1, len(self._exchanges), self._count_unsent_bytes()
        )

    @property
    def unread_bytes(self) -> int:
        """Output in memory that the system has not accepted yet."""
        pending_bytes = sum(
            exchange.pending_bytes for exchange in self._exchanges
        )
        return pending_bytes + self._count_unsent_bytes()

    @property
    def busy(self) -> bool:
        """Whether a response is due, unsent, or maybe not received yet."""
        if self._lingering_close is not None:
            return self._lingering_close.holds_drain
        return bool(self._exchanges) or self._count_unsent_bytes() > 0

    def watch_flush(self) -> None:
        """Report progress once all written bytes are sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits(0)

    # Interface for exchanges

    def is_only(self, exchange: Exchange) -> bool:
        """Return whether no other response is due."""
        return len(self._exchanges) == 1 and self._exchanges.is_first(exchange)

    def is_closing_after(self, exchange: Exchange) -> bool:
        """Return whether the connection closes after this response."""
        is_closing = self._rejecting or self._listener.closing
        return is_closing and self._exchanges.is_last(exchange)

    def send_pending(self, exchange: Exchange) -> None:
        """Send pending output of a response if it may be sent now."""
        if self._exchanges.may_send(exchange):
            for chunk in exchange.take_pending_output():
                self._transmit(chunk)
        else:
            self._listener.limit_unread()

    def flush(self) -> None:
        """Complete finished responses and write output of the next one."""
        while self._exchanges:
            if not self._flush_response(self._exchanges.first):
                return
        self._idle_since_s = self._listener.now_s()
        self._listener.report_progress()
        if self._listener.closing and self._listener.closing_idle:
            self._close(CloseReason.SHUTDOWN)

    async def drain(self, exchange: Exchange) -> None:
        """Wait until the exchange may write more."""
        while self._transport and not self._exchanges.is_first(exchange):
            await self._exchanges.wait_for_change()
        await self._can_write.wait()

    async def wait_for_earlier(self, exchange: Exchange) -> None:
        """Wait until no response before this one may close the connection."""
        await self._exchanges.wait_for_earlier(exchange)

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading; pauses are counted.

        Reading resumes when every pause was undone.
        """
        self._pause_count += -1 if reading else 1
        if self._transport is None or self._transport.is_closing():
            return
        if self._lingering_close is not None:
            return
        if self._pause_count > 0:
            self._transport.pause_reading()
            # Only a reader would notice the client's close otherwise.
            self._listener.hangup_watcher.watch(
                self._transport, self._handle_hangup
            )
        else:
            self._listener.hangup_watcher.unwatch(self._transport)
            self._transport.resume_reading()

    def break_off(self, exchange: Exchange, reason: CloseReason) -> None:
        """Send what was written of a response, and close the connection."""
        for other in self._exchanges.behind(exchange):
            other.cancel('an earlier response broke off')
        self._last_response_s = self._listener.now_s()
        self._close(reason)

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and drop what is unsent."""
        if self._transport is not None:
            self._end_recorder.record_abort(reason, self._count_unsent_bytes())
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a response is due."""
        if self._exchanges:
            self.flush()
        elif self._arriving is None:
            self._close(CloseReason.SHUTDOWN)

    def check_timeouts(self) -> None:
        """Enforce the time limits now and at regular intervals."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is None or self._lingering_close:
            return
        if self._is_client_stalled():
            self.abort(CloseReason.STALLED)
            return
        wait_s = self._check_request_timeouts()
        if not self._lingering_close:
            self._timer = get_running_loop().call_later(
                wait_s, self.check_timeouts
            )

    # Internals

    def _transmit(self, chunk: bytes) -> None:
        if self._transport is not None and self._lingering_close is None:
            self._transport.write(chunk)
            self._written_bytes += len(chunk)
            if not self._can_write.is_set():
                self._listener.limit_unread()

    def _stop_checks(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._lingering_close is not None:
            self._lingering_close.cancel()
        if self._transport is not None:
            self._listener.hangup_watcher.unwatch(self._transport)

    def _handle_hangup(self) -> None:
        """Close the connection, as at the end of what a client sends."""
        if self._transport is not None and self._lingering_close is None:
            self.eof_received()
            self._transport.close()

    def _parse(self, received: bytes) -> None:
        """Parse received bytes until too many requests are unfinished.

        One read may bring thousands of short requests, so it is parsed in
        short pieces.
        """
        unparsed = memoryview(received)
        while unparsed and not self._is_pipeline_full:
            if self._rejecting or self._ignores_requests():
                unparsed = unparsed[:0]
                break
            size = BODY_PIECE_BYTES if self._is_in_body() else HEAD_PIECE_BYTES
            self._parse_piece(unparsed[:size])
            unparsed = unparsed[size:]
        self._unparsed = bytes(unparsed)

    def _resume_parsing(self) -> None:
        self._parse(self._unparsed)

    def _parse_piece(self, piece: memoryview) -> None:
        if not self._is_in_body():
            self._head_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except HttpParserUpgrade as upgrade:
            head_end = upgrade.args[0]
            self._ignore_upgrade(piece[head_end:])
        except HttpParserError as error:
            is_large = isinstance(error.__context__, HeadTooLargeError)
            self._reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                if is_large
                else HTTPStatus.BAD_REQUEST
            )
        if self._head_bytes > self._listener.limits.head_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _is_in_body(self) -> bool:
        """Whether the next bytes belong to the body of a request."""
        return self._arriving is not None and bool(self._arriving.head.method)

    def _flush_response(self, exchange: Exchange) -> bool:
        """Write output of the next response; remove it when complete.

        Returns:
            Whether the response after it may be written now.
        """
        self.send_pending(exchange)
        if not exchange.finished:
            return False
        # Nobody reads the rest of the body: it must not keep reading paused.
        exchange.body.discard()
        if not exchange.body.complete:
            # The client is still sending it.
            if not (exchange.closing or self._listener.closing_idle):
                return False
            exchange.closing = True
        self._exchanges.remove_first()
        self._end_recorder.request_id = exchange.request_id
        self._last_response_s = self._listener.now_s()
        self._last_deadline_s = exchange.deadline_s
        if exchange.closing:
            self._close(CloseReason.LAST_RESPONSE)
            return False
        self._limit_pipelining()
        return True

    def _limit_pipelining(self) -> None:
        """Pause reading while no further request may start."""
        is_full = self._is_full()
        if is_full is not self._is_pipeline_full:
            self._is_pipeline_full = is_full
            self.set_reading(not is_full)
            if self._unparsed and not is_full:
                get_running_loop().call_soon(self._resume_parsing)

    def _is_full(self) -> bool:
        """Return whether no further request may start.

        A client that reads no responses gets no further ones either: whole
        responses wait in memory. A body is received all the same, since the
        client may send it before it reads.
        """
        if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
            return True
        return not self._can_write.is_set() and not self._is_in_body()

    def _ignore_upgrade(self, unparsed: memoryview) -> None:
        """Parse on as if the client had not offered another protocol.

        The parser skips the body of such a request and all that follows, so
        another one continues behind its head.

        Args:
            unparsed: Received bytes behind the head.
        """
        exchange = self._arriving
        self._offers_upgrade = False
        if exchange is None or exchange.head.method == CONNECT:
            self._end_requests()
            return
        self._parser = HttpRequestParser(self)
        self._repeats_head = True
        self._parser.feed_data(encode_framing_head(exchange.head))
        if unparsed:
            self._parse_piece(unparsed)

    def _end_requests(self) -> None:
        """Serve the last request, then close: no request follows it."""
        if self._arriving is not None:
            self.on_message_complete()
        if self._exchanges:
            self._exchanges.last.closing = True

    def _create_head(self) -> RequestHead:
        headers = tuple(self._headers.headers)
        by_name = {name.lower(): content for name, content in headers}
        length: int | None = 0
        if b'transfer-encoding' in by_name:
            length = None
        elif b'content-length' in by_name:
            length = int(by_name[b'content-length'])
        return RequestHead(
            method=self._parser.get_method(),
            target=self._target,
            headers=headers,
            by_name=by_name,
            length=length,
        )

    def _reject(self, status: HTTPStatus) -> None:
        if self._rejecting or self._lingering_close is not None:
            return
        exchange = self._arriving or Exchange(self)
        if exchange not in self._exchanges:
            self._exchanges.append(exchange)
        self._reject_exchange(exchange, status)

    def _reject_exchange(self, exchange: Exchange, status: HTTPStatus) -> None:
        self._rejecting = True
        exchange.closing = True
        exchange.cancel(f'the request was rejected with status {status.value}')
        if exchange.finished:
            self.flush()
        else:
            exchange.break_off(CloseReason.REJECTED, status)

    def _close(self, reason: CloseReason) -> None:
        """Send what is buffered and close once the client has it."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._lingering_close is not None:
            return
        if reason in IDLE_REASONS:
            self._send_close_notice()
        self._end_recorder.record_close(reason, self._count_unsent_bytes())
        self._stop_checks()
        self._lingering_close = LingeringClose(
            self._transport,
            self._last_response_s,
            self._stall_deadline_s,
            lambda: self.abort(CloseReason.STALLED),
            self._listener.report_progress,
        )

    def _send_close_notice(self) -> None:
        notice = self._listener.create_close_notice()
        if notice:
            self._transmit(notice)
            self._last_response_s = self._listener.now_s()

    def _stall_deadline_s(self, progress_s: float) -> float:
        listener = self._listener
        request_deadline_s = self._last_deadline_s
        if self._exchanges:
            request_deadline_s = self._exchanges.first.deadline_s
        return stall_deadline_s(
            progress_s,
            listener.limits.idle_timeout_ms / MS_PER_S,
            request_deadline_s,
            draining=listener.closing,
        )

    def _ignores_requests(self) -> bool:
        """Whether the last response of the connection is announced."""
        if self._lingering_close is not None:
            return True
        if not self._exchanges:
            return False
        last = self._exchanges.last
        return last.closing and last.body.complete

    def _cancel_exchanges(self, reason: str) -> None:
        for exchange in self._exchanges:
            exchange.cancel(reason)
        self._exchanges.clear()

    def _count_unsent_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def _report_end(self, error: Exception | None) -> None:
        due_request_ids = [exchange.request_id for exchange in self._exchanges]
        self._listener.on_connection_end(
            self._end_recorder.end(error, due_request_ids)
        )

    def _is_client_stalled(self) -> bool:
        """Update the progress of the client; return whether it has none."""
        now_s = self._listener.now_s()
        current = ClientProgress(
            is_awaited=self._is_client_awaited(),
            moved_bytes=self._count_moved_bytes(),
            draining=self._listener.closing,
            since_s=now_s,
        )
        self._progress = update_progress(self._progress, current)
        stall_end_s = self._stall_deadline_s(self._progress.since_s)
        return is_stalled(self._progress, now_s, stall_end_s)

    def _is_client_awaited(self) -> bool:
        """Whether unsent bytes, or a body that nobody reads, hold it open."""
        if self._count_unsent_bytes():
            return True
        return bool(self._exchanges) and self._exchanges.first.finished

    def _count_moved_bytes(self) -> int:
        if self._transport is None:
            return 0
        undelivered_bytes = count_undelivered_bytes(self._transport)
        taken_bytes = self._written_bytes - undelivered_bytes
        # A client may send its whole body before it reads the response.
        return taken_bytes + self._received_body_bytes

    def _check_request_timeouts(self) -> float:
        """Reject a late head; close an idle connection.

        Returns:
            Time until the next check in seconds.
        """
        limits = self._listener.limits
        now_s = self._listener.now_s()
        wait_s = limits.head_timeout_ms / MS_PER_S
        if self._listener.closing:
            wait_s = min(wait_s, CHECK_INTERVAL_S)
        if self._arriving is not None and not self._arriving.head.method:
            due_s = self._head_start_s + limits.head_timeout_ms / MS_PER_S
            if now_s >= due_s:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
                return wait_s
        elif self._exchanges or self._arriving is not None:
            return wait_s
        else:
            due_s = self._idle_since_s + limits.idle_timeout_ms / MS_PER_S
            if now_s >= due_s:
                self._close(CloseReason.IDLE)
                return wait_s
        return min(due_s - now_s, wait_s)
