"""Parts of a call as its attempts send and receive them."""

from collections.abc import AsyncGenerator, AsyncIterable
from typing import NamedTuple

from bergamotshunt.calls import CallHead, HeaderItems
from bergamotshunt.members import Member


class CallBody(NamedTuple):
    """Body of a request.

    Attributes:
        whole: The whole body, when it is buffered.
        stream: Its chunks, when it is too large; it is sent only once.
    """

    whole: bytes = b''
    stream: AsyncIterable[bytes] | None = None


class CallAnswer(NamedTuple):
    """Answer of a backend server to a call.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The whole body, or its start when ``rest`` is set.
        rest: Further chunks; it raises an error when the answer is cut
            short, and has to be closed.
        length: Stated length of the whole body, or None.
        daemon_id: Daemon of the server that answered.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    rest: AsyncGenerator[bytes, None] | None = None
    length: int | None = None
    daemon_id: str = ''


class Attempt(NamedTuple):
    """What one attempt sends, and where.

    Attributes:
        head: The call.
        body: Its body.
        member: Daemon that it is sent to.
        number: 1 for the first attempt of the call.
        booking_headers: Headers that name the owner of the booking key.
        is_trial: Whether it tries an ejected server.
    """

    head: CallHead
    body: CallBody
    member: Member
    number: int = 1
    booking_headers: HeaderItems = ()
    is_trial: bool = False
