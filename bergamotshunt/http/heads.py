"""Heads of HTTP/1.1 requests and responses, and their encoding."""

from http import HTTPStatus
from typing import Final, NamedTuple

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]

# Headers that apply to a single connection and are never forwarded.
CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
REASON_PHRASES: Final = {status.value: status.phrase for status in HTTPStatus}
BODYLESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
LAST_CHUNK: Final = b'0\r\n\r\n'
# Each header takes far more memory than a short one has bytes.
MAX_HEADERS: Final = 1000
# Bytes of a header line besides its name and value.
HEADER_LINE_BYTES: Final = 4


class HeadTooLargeError(Exception):
    """A head has too many headers or bytes."""


class HeaderCollector:
    """Headers of one head, which the parser delivers one by one.

    The limits hold within one read of the event loop, which may bring far
    more bytes than a head may have.

    Attributes:
        headers: The headers so far.
    """

    def __init__(self) -> None:
        """Create a collector without headers."""
        self.headers: list[Header] = []
        self._size = 0

    def add(self, name: bytes, content: bytes, max_bytes: int) -> None:
        """Add a header.

        Raises:
            HeadTooLargeError: There are more than ``MAX_HEADERS``, or more
                bytes than ``max_bytes``.
        """
        self._size += len(name) + len(content) + HEADER_LINE_BYTES
        if len(self.headers) >= MAX_HEADERS or self._size > max_bytes:
            raise HeadTooLargeError(
                f'over {MAX_HEADERS} headers, or {max_bytes} bytes of them'
            )
        self.headers.append((name, content))


class RequestHead(NamedTuple):
    """Head of a request.

    Attributes:
        method: Method in upper case.
        target: Path and query as received.
        headers: Names as received, with their values.
        by_name: Values by lower-case name; the last value of a name.
        length: Length of the body in bytes; None when it is chunked.
    """

    method: bytes
    target: bytes
    headers: Headers
    by_name: dict[bytes, bytes]
    length: int | None = 0


class ResponseHead(NamedTuple):
    """Head of a response.

    Attributes:
        status: HTTP status.
        headers: Names as received, with their values.
        by_name: Values by lower-case name; the last value of a name.
        length: Length of the body in bytes; None when it is not stated.
    """

    status: int
    headers: Headers
    by_name: dict[bytes, bytes]
    length: int | None = 0


def end_to_end_headers(head: RequestHead | ResponseHead) -> list[Header]:
    """Return the end-to-end headers, which may be forwarded."""
    dropped = CONNECTION_HEADERS
    named = head.by_name.get(b'connection')
    if named and named.lower() not in {b'close', b'keep-alive'}:
        dropped = dropped | {name.strip().lower() for name in named.split(b',')}
    return [
        header for header in head.headers if header[0].lower() not in dropped
    ]


def encode_request_head(
    method: bytes,
    target: bytes,
    headers: list[Header],
    length: int | None,
) -> bytes:
    """Encode the head of a request; without a length it is chunked."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines += [b'%b: %b' % header for header in headers]
    if length is None:
        lines.append(b'Transfer-Encoding: chunked')
    elif length or method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'Content-Length: %d' % length)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def encode_framing_head(head: RequestHead) -> bytes:
    """Encode a head that only states how the body of a request is framed."""
    lines = [b'POST / HTTP/1.1']
    lines += [
        b'%b: %b' % (name, head.by_name[name])
        for name in (b'content-length', b'transfer-encoding')
        if name in head.by_name
    ]
    return b'\r\n'.join([*lines, b'', b''])


def encode_response_head(
    status: int,
    headers: list[Header],
    length: int | None,
    *,
    closing: bool,
) -> bytes:
    """Encode the head of a response; without a length it is chunked."""
    phrase = REASON_PHRASES.get(status, 'Unknown')
    lines = [b'HTTP/1.1 %d %b' % (status, phrase.encode())]
    lines += [b'%b: %b' % header for header in headers]
    if length is None:
        lines.append(b'Transfer-Encoding: chunked')
    elif status not in BODYLESS_STATUSES:
        lines.append(b'Content-Length: %d' % length)
    if closing:
        lines.append(b'Connection: close')
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def encode_chunk(chunk: bytes) -> bytes:
    """Encode one chunk of a body with chunked transfer encoding."""
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)
