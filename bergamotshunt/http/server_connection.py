"""Server side of HTTP/1.1 connections, with pipelined requests."""

from asyncio import Event, TimerHandle, Transport, get_running_loop
from asyncio import Protocol as AsyncioProtocol
from http import HTTPStatus
from math import inf
from typing import Any, Final

from bergamotshunt.decisions.connection_closing import stall_deadline_s
from bergamotshunt.http.connection_ends import (
    CloseReason,
    EndRecorder,
    OpenConnections,
)
from bergamotshunt.http.connection_owner import ConnectionOwner
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import RequestHead
from bergamotshunt.http.lingering_close import (
    CHECK_INTERVAL_S,
    LingeringClose,
)
from bergamotshunt.http.request_parser import RequestParser
from bergamotshunt.http.response_queue import ResponseQueue
from bergamotshunt.http.sockets import format_address, set_socket_options
from bergamotshunt.http.stall_check import StallCheck

MS_PER_S: Final = 1000
# Reading pauses while a connection has more unfinished requests than this.
MAX_PIPELINED_REQUESTS: Final = 64
# A request may cross the close of a connection for one of these reasons.
IDLE_REASONS: Final = frozenset((CloseReason.IDLE, CloseReason.SHUTDOWN))
CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerConnection(AsyncioProtocol):
    """A client's connection; the handler of each request runs in a task."""

    def __init__(self, listener: ConnectionOwner) -> None:
        """Create a protocol that is not connected yet."""
        self._listener = listener
        self._transport: Transport | None = None
        self._parser = RequestParser(self)
        self._exchanges = ResponseQueue()
        self._arriving: Exchange | None = None
        self._head_start_s: float = 0
        self._idle_since_s: float = 0
        self._timer: TimerHandle | None = None
        self._can_write = Event()
        self._can_write.set()
        self._pause_count: int = 0
        self._is_pipeline_full = False
        self._rejecting = False
        self._lingering_close: LingeringClose | None = None
        self._end_recorder = EndRecorder()
        self._last_response_s = -inf
        self._last_deadline_s = -inf
        self._stall_check = StallCheck()

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
        self._parser.feed(data)

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
        self._parser.close()
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

    # Interface for the parser

    @property
    def max_head_bytes(self) -> int:
        """Limit on the size of a request head."""
        return self._listener.limits.head_bytes

    @property
    def is_full(self) -> bool:
        """Whether no further request may start now."""
        return self._is_pipeline_full

    @property
    def drops_input(self) -> bool:
        """Whether no request is served any more."""
        return self._rejecting or self._ignores_requests()

    def begin_request(self) -> bool:
        """Begin a request unless the last response is announced."""
        self._head_start_s = self._listener.now_s()
        if self._ignores_requests():
            return False
        self._arriving = Exchange(self)
        return True

    def receive_head(self, head: RequestHead, *, is_last: bool) -> None:
        """Start the handler of a request, or reject a too long body."""
        exchange = self._arriving
        if exchange is None:
            return
        exchange.head = head
        exchange.arrived_s = self._listener.now_s()
        if is_last:
            exchange.closing = True
        self._exchanges.append(exchange)
        if head.by_name.get(b'expect', b'').lower() == b'100-continue':
            if self._exchanges.is_first(exchange):
                self._transmit(CONTINUE)
        self._limit_pipelining()
        length = head.length
        if length is not None and length > self._listener.limits.body_bytes:
            self._reject_exchange(exchange, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        exchange.task = self._listener.start_handler(exchange)

    def receive_body(self, chunk: bytes) -> None:
        """Add received bytes to the body; reject a too long one."""
        exchange = self._arriving
        if exchange is None:
            return
        self._stall_check.received_body_bytes += len(chunk)
        exchange.body.feed(chunk)
        if exchange.body.received_bytes > self._listener.limits.body_bytes:
            self._reject_exchange(exchange, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def end_request(self) -> None:
        """Complete the request."""
        exchange = self._arriving
        self._arriving = None
        if exchange is not None:
            exchange.body.finish()
        self._limit_pipelining()
        self.flush()

    def end_requests(self) -> None:
        """Serve the last request, then close: no request follows it."""
        if self._exchanges:
            self._exchanges.last.closing = True

    def reject(self, status: HTTPStatus) -> None:
        """Reject the request that arrives, and all that follows."""
        if self._rejecting or self._lingering_close is not None:
            return
        exchange = self._arriving or Exchange(self)
        if exchange not in self._exchanges:
            self._exchanges.append(exchange)
        self._reject_exchange(exchange, status)

    # Interface for the listener

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
        if self._stall_check.is_client_stalled(
            self._transport,
            self._listener.now_s(),
            self._stall_deadline_s,
            is_awaited=self._is_client_awaited(),
            draining=self._listener.closing,
        ):
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
            self._stall_check.written_bytes += len(chunk)
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
            if self._parser.has_unparsed and not is_full:
                get_running_loop().call_soon(self._parser.resume)

    def _is_full(self) -> bool:
        """Return whether no further request may start.

        A client that reads no responses gets no further ones either: whole
        responses wait in memory. A body is received all the same, since the
        client may send it before it reads.
        """
        if len(self._exchanges) > MAX_PIPELINED_REQUESTS:
            return True
        return not self._can_write.is_set() and not self._parser.is_in_body

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

    def _is_client_awaited(self) -> bool:
        """Whether unsent bytes, or a body that nobody reads, hold it open."""
        if self._count_unsent_bytes():
            return True
        return bool(self._exchanges) and self._exchanges.first.finished

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
                self.reject(HTTPStatus.REQUEST_TIMEOUT)
                return wait_s
        elif self._exchanges or self._arriving is not None:
            return wait_s
        else:
            due_s = self._idle_since_s + limits.idle_timeout_ms / MS_PER_S
            if now_s >= due_s:
                self._close(CloseReason.IDLE)
                return wait_s
        return min(due_s - now_s, wait_s)
