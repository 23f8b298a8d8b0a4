"""Bodies, responses and attempts of a call."""

from collections.abc import AsyncIterable, Callable
from typing import NamedTuple, Self

from bergamotshunt.choice.calls import CallHead, HeaderItems
from bergamotshunt.http.transport import (
    TRANSPORT_ERRORS,
    OpenResponse,
    classify_error,
)
from bergamotshunt.peers.members import Member
from bergamotshunt.verdicts import IncompleteResponseError


class CallBody(NamedTuple):
    """Body of a request.

    Attributes:
        buffered: The whole body; empty when it is streamed.
        stream: Chunks of a body that is too large to buffer; they can be
            sent only once.
    """

    buffered: bytes = b''
    stream: AsyncIterable[bytes] | None = None


class ResponseStream:
    """Rest of a response body that is still arriving; it has to be closed.

    Args:
        response: Response that the chunks are read from.
        on_end: Called once: with True at the end of the body, False when
            it was cut short, None when it was abandoned.
    """

    def __init__(
        self, response: OpenResponse, on_end: Callable[[bool | None], None]
    ) -> None:
        """Take ownership of the response."""
        self._response = response
        self._on_end = on_end
        self._is_open = True

    def __aiter__(self) -> Self:
        """Iterate over the chunks."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises:
            IncompleteResponseError: The response ended before it was complete.
            StopAsyncIteration: The response is complete.
        """
        try:
            chunk = await self._response.read_chunk()
        except TRANSPORT_ERRORS as error:
            self._end(False)
            detail = classify_error(error, 0).detail
            raise IncompleteResponseError(detail) from error
        if not chunk:
            self._end(True)
            raise StopAsyncIteration
        return chunk

    def close(self) -> None:
        """Abandon the rest of the body and close the connection."""
        self._end(None)

    def _end(self, is_complete: bool | None) -> None:
        if self._is_open:
            self._is_open = False
            self._response.abort()
            self._on_end(is_complete)


class CallResponse(NamedTuple):
    """Response of a backend server to a call.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The whole body, or its start when ``rest`` is set.
        rest: Further chunks; it raises an error when the response is cut
            short, and has to be closed.
        length: Stated length of the whole body in bytes, or None.
        daemon_id: Daemon beside the server that responded.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    rest: ResponseStream | None = None
    length: int | None = None
    daemon_id: str = ''


class Attempt(NamedTuple):
    """One attempt of a call: what is sent to which daemon.

    Attributes:
        head: The call.
        body: Its body.
        member: Daemon that receives the request.
        number: 1 for the first attempt of the call.
        booking_headers: Headers that state the owner of the booking key.
        is_trial: Whether it is the trial request of an ejected server.
    """

    head: CallHead
    body: CallBody
    member: Member
    number: int = 1
    booking_headers: HeaderItems = ()
    is_trial: bool = False
