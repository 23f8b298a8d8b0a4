"""A request on a client's connection, and its response."""

from asyncio import Task as AsyncioTask
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

    def is_next_response(self, exchange: 'Exchange') -> bool:
        """Return whether the response is the next one to send."""

    def is_closing_after(self, exchange: 'Exchange') -> bool:
        """Return whether the connection closes after this response."""

    def transmit(self, chunk: bytes) -> None:
        """Write bytes to the client."""

    def report_unread(self) -> None:
        """Report that output waits for an earlier response."""

    def flush(self) -> None:
        """Complete finished responses and write output of the next one."""

    async def drain(self, exchange: 'Exchange') -> None:
        """Wait until the exchange may write more."""

    async def wait_for_earlier(self, exchange: 'Exchange') -> None:
        """Wait until no earlier response may break off."""

    def set_reading(self, reading: bool) -> None:
        """Pause or resume reading from the client."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and drop what is unsent."""


class Exchange:
    """One request and its response on a client's connection.

    Responses of pipelined requests are sent in the order of the requests;
    output of a later one is kept until the earlier ones are complete.

    Attributes:
        head: Head of the request.
        body: Body of the request.
        arrived_s: Loop time at which the head was complete.
        deadline_s: Loop time until which the client waits for the response;
            the handler sets it.
        started: Whether the head of the response was written.
        finished: Whether the whole response was written.
        closing: Whether the connection closes after the response.
        may_break_off: Whether the response is likely to be streamed, so that
            its source may fail within it; the handler sets it.
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
        self.started = False
        self.finished = False
        self.closing = False
        self.may_break_off = False
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
        self.started = True
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
        """Send an error response, or abort a response that was started.

        A response that is finished is left as it is.
        """
        if self.finished:
            return
        if self.started:
            self.abort()
        else:
            self.respond(status, headers)

    def abort(self, reason: CloseReason = CloseReason.HANDLER_FAILED) -> None:
        """Close the connection, so that no client accepts the response."""
        self.connection.abort(reason)

    async def drain(self) -> None:
        """Wait until the client has received most of the written bytes."""
        await self.connection.drain(self)

    async def wait_for_earlier(self) -> None:
        """Wait until no earlier response on the connection may break off.

        The connection closes with a response that breaks off, and nobody
        would get the response to this request.
        """
        await self.connection.wait_for_earlier(self)

    @property
    def pending_bytes(self) -> int:
        """Size of the output that waits for earlier responses."""
        return sum(map(len, self._pending_output))

    def take_pending_output(self) -> list[bytes]:
        """Return and clear output that waited for earlier responses."""
        pending = self._pending_output
        self._pending_output = []
        return pending

    def _put(self, chunk: bytes) -> None:
        if self.connection.is_next_response(self):
            self.connection.transmit(chunk)
        else:
            self._pending_output.append(chunk)
            self.connection.report_unread()
