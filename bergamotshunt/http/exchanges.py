"""A request on a client's connection, and its response."""

from asyncio import Task as AsyncioTask
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Protocol

from bergamotshunt.http.bodies import Body
from bergamotshunt.http.connection_ends import CloseReason
from bergamotshunt.http.heads import (
    LAST_CHUNK,
    Header,
    RequestHead,
    encode_chunk,
    encode_response_head,
)


class Connection(Protocol):
    """Interface of the connection that an exchange uses."""

    def is_only(self, exchange: 'Exchange') -> bool:
        """Return whether no other response is due."""

    def is_closing_after(self, exchange: 'Exchange') -> bool:
        """Return whether the connection closes after this response."""

    def send_pending(self, exchange: 'Exchange') -> None:
        """Send pending output of a response if it may be sent now."""

    def flush(self) -> None:
        """Complete finished responses and write output of the next one."""

    async def drain(self, exchange: 'Exchange') -> None:
        """Wait until the exchange may write more."""

    async def wait_for_earlier(self, exchange: 'Exchange') -> None:
        """Wait until no earlier response may close the connection."""

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading from the client."""

    def break_off(self, exchange: 'Exchange', reason: CloseReason) -> None:
        """Send what was written of a response, and close the connection."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and drop what is unsent."""


class Exchange:
    """One request and its response on a client's connection.

    Responses of pipelined requests are sent in the order of the requests;
    output of a later one is kept until the earlier ones are complete. So is
    a part of a response while others depend on the connection.

    Attributes:
        head: Head of the request.
        body: Body of the request.
        arrived_s: Loop time at which the head was complete.
        deadline_s: Loop time until which the client waits for the response;
            the handler sets it.
        sending: Whether bytes of the response were sent, so that no other
            response can replace it.
        finished: Whether the whole response was written.
        closing: Whether the connection closes after the response.
        may_break_off: Whether the response is likely to be streamed, so that
            its source may fail within it; the handler sets it.
        depends_on_connection: Whether work has begun whose response is lost
            when the connection closes.
        on_sending: Called before the first byte of the response is sent.
        task: Task that runs the handler, if it was started.
        request_id: Id of the request for logs; the handler sets it.
    """

    def __init__(self, connection: Connection) -> None:
        """Create an exchange for a request that is arriving."""
        self.connection = connection
        self.head = RequestHead(b'', b'', (), {})
        self.body = Body(connection.set_reading)
        self.arrived_s: float = 0
        self.deadline_s: float = 0
        self.sending = False
        self.finished = False
        self.closing = False
        self.may_break_off = False
        self.depends_on_connection = False
        self.on_sending: Callable[[], None] | None = None
        self.task: AsyncioTask[None] | None = None
        self.request_id = ''
        self._chunked = False
        self._bodyless = False
        self._pending_output: list[bytes] = []

    def start(
        self,
        status: int,
        headers: list[Header],
        length: int | None,
    ) -> None:
        """Write the head of the response; without a length it is chunked."""
        self._chunked = length is None
        self._bodyless = self.head.method == b'HEAD'
        closing = self.closing or self.connection.is_closing_after(self)
        self.closing = closing
        self._put(
            encode_response_head(status, headers, length, closing=closing)
        )

    def write(self, chunk: bytes) -> None:
        """Write bytes of the response body."""
        if chunk and not self._bodyless:
            self._put(encode_chunk(chunk) if self._chunked else chunk)

    def finish(self) -> None:
        """Complete the response."""
        if self._chunked and not self._bodyless:
            self._put(LAST_CHUNK)
        self.finished = True
        self.connection.flush()

    def respond(
        self,
        status: int,
        headers: list[Header],
        content: bytes = b'',
    ) -> None:
        """Write a whole response."""
        self.start(status, headers, len(content))
        self.write(content)
        self.finish()

    def fail(self, status: int, headers: list[Header]) -> None:
        """Send an error response, also in place of a part that is unsent.

        A response that is finished is left as it is.
        """
        self.break_off(CloseReason.HANDLER_FAILED, status, headers)

    def break_off(
        self,
        reason: CloseReason,
        status: int = HTTPStatus.BAD_GATEWAY,
        headers: Sequence[Header] = (),
    ) -> None:
        """End a response whose rest will not follow.

        As long as no byte of it was sent, an error response replaces it, and
        the other responses on the connection are not affected. Otherwise the
        connection closes, so that no client accepts the response as whole.

        Args:
            reason: Why the connection closes.
            status: Status of the error response.
            headers: Headers of the error response.
        """
        if self.finished:
            return
        if self.sending:
            self.connection.break_off(self, reason)
            return
        self._pending_output.clear()
        self.respond(status, list(headers))

    def end_unanswered(self) -> None:
        """End a request whose handler has ended, unless it was answered.

        The connection closes, unless other responses are due on it.
        """
        if self.finished:
            return
        if self.connection.is_only(self):
            self.connection.break_off(self, CloseReason.HANDLER_FAILED)
        else:
            self.break_off(CloseReason.HANDLER_FAILED)

    def abort(self, reason: CloseReason = CloseReason.HANDLER_FAILED) -> None:
        """Close the connection at once, with all responses that are due."""
        self.connection.abort(reason)

    def cancel(self, reason: str) -> None:
        """Cancel the handler: no client waits for its response.

        Args:
            reason: Error text for a reader of the body.
        """
        self.body.mark_incomplete(reason)
        if self.task is not None:
            self.task.cancel()

    async def drain(self) -> None:
        """Wait until the client has received most of the written bytes."""
        await self.connection.drain(self)

    async def wait_for_earlier(self) -> None:
        """Wait until no earlier response may close the connection.

        The connection closes with a response that breaks off after its first
        byte, and nobody would get the response to this request. From the end
        of the wait, earlier ones begin only when they are whole.
        """
        await self.connection.wait_for_earlier(self)
        self.depends_on_connection = True

    @property
    def may_close_connection(self) -> bool:
        """Whether the connection closes if the response breaks off."""
        return not self.finished and (self.sending or self.may_break_off)

    @property
    def pending_bytes(self) -> int:
        """Size of the output that may not be sent yet."""
        return sum(map(len, self._pending_output))

    def take_pending_output(self) -> list[bytes]:
        """Return and clear the output that may be sent now."""
        if self._pending_output and not self.sending:
            self.sending = True
            if self.on_sending is not None:
                self.on_sending()
        pending = self._pending_output
        self._pending_output = []
        return pending

    def _put(self, chunk: bytes) -> None:
        self._pending_output.append(chunk)
        self.connection.send_pending(self)
