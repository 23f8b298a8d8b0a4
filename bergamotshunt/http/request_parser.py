"""Parsing of the requests on a connection, in pieces that can be paused."""

from http import HTTPStatus
from typing import Any, Final, Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from bergamotshunt.http.heads import (
    HeadTooLargeError,
    HeaderCollector,
    RequestHead,
    encode_framing_head,
)

# Longest pieces that are parsed at a time: while a head is due, and while a
# body is, behind which requests may follow, too.
HEAD_PIECE_BYTES: Final = 2048
BODY_PIECE_BYTES: Final = 16_384
CONNECT: Final = b'CONNECT'
NO_HEAD: Final = RequestHead(b'', b'', (), {})


class RequestReceiver(Protocol):
    """Interface of the connection whose requests are parsed."""

    @property
    def max_head_bytes(self) -> int:
        """Limit on the size of a request head."""

    @property
    def is_full(self) -> bool:
        """Whether no further request may start now."""

    @property
    def drops_input(self) -> bool:
        """Whether no request is served any more."""

    def begin_request(self) -> bool:
        """Begin a request; return whether it is served."""

    def receive_head(self, head: RequestHead, *, is_last: bool) -> None:
        """Receive the head of the request that has begun.

        Args:
            head: The head.
            is_last: Whether the client sends no request behind it.
        """

    def receive_body(self, chunk: bytes) -> None:
        """Receive bytes of the body."""

    def end_request(self) -> None:
        """End the request: its body is complete."""

    def end_requests(self) -> None:
        """Close after the last request: none follows it."""

    def reject(self, status: HTTPStatus) -> None:
        """Reject the request that cannot be parsed, and all that follows."""


class RequestParser:
    """Parses received bytes and passes the requests on.

    Args:
        receiver: Takes the requests.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        """Create a parser at the start of a connection."""
        self._receiver = receiver
        # None after the end of the connection: it refers back to this object.
        self._parser: Any = HttpRequestParser(self)
        # Received bytes that wait until fewer requests are unfinished.
        self._unparsed = b''
        self._headers = HeaderCollector()
        self._target = b''
        self._head_bytes = 0
        # A request has begun that is served; its head is complete.
        self._is_arriving = False
        self._has_head = False
        self._head = NO_HEAD
        # The request whose head is complete offers another protocol.
        self._offers_upgrade = False
        # The parser gets a head that was parsed before, for its body only.
        self._repeats_head = False

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes wait."""
        return bool(self._unparsed)

    @property
    def is_in_body(self) -> bool:
        """Whether the next bytes belong to the body of a request."""
        return self._is_arriving and self._has_head

    def feed(self, received: bytes) -> None:
        """Parse received bytes until the receiver is full.

        One read may bring thousands of short requests, so it is parsed in
        short pieces.
        """
        if self._unparsed:
            received = self._unparsed + received
        unparsed = memoryview(received)
        while unparsed and not self._receiver.is_full:
            if self._receiver.drops_input:
                unparsed = unparsed[:0]
                break
            size = BODY_PIECE_BYTES if self.is_in_body else HEAD_PIECE_BYTES
            self._parse_piece(unparsed[:size])
            unparsed = unparsed[size:]
        self._unparsed = bytes(unparsed)

    def resume(self) -> None:
        """Parse the bytes that wait."""
        self.feed(b'')

    def close(self) -> None:
        """Drop all state: the connection has ended."""
        self._parser = None
        self._unparsed = b''

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start to collect the head of a request."""
        if self._repeats_head:
            return
        self._headers = HeaderCollector()
        self._target = b''
        self._has_head = False
        self._is_arriving = self._receiver.begin_request()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url

    def on_header(self, name: bytes, content: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self._is_arriving and not self._has_head:
            self._headers.add(name, content, self._receiver.max_head_bytes)

    def on_headers_complete(self) -> None:
        """Pass on the head of a request."""
        if not self._is_arriving or self._repeats_head:
            self._repeats_head = False
            return
        self._head_bytes = 0
        self._has_head = True
        self._offers_upgrade = self._parser.should_upgrade()
        self._head = self._create_head()
        self._receiver.receive_head(
            self._head, is_last=not self._parser.should_keep_alive()
        )

    def on_body(self, body: bytes) -> None:
        """Pass on received bytes of the body."""
        if self._is_arriving:
            self._receiver.receive_body(body)

    def on_message_complete(self) -> None:
        """Complete the request."""
        if self._offers_upgrade:
            # The parser takes what follows for the other protocol.
            return
        self._is_arriving = False
        self._head = NO_HEAD
        self._head_bytes = 0
        self._receiver.end_request()

    # Internals

    def _parse_piece(self, piece: memoryview) -> None:
        if not self.is_in_body:
            self._head_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except HttpParserUpgrade as upgrade:
            head_end = upgrade.args[0]
            self._ignore_upgrade(piece[head_end:])
        except HttpParserError as error:
            is_large = isinstance(error.__context__, HeadTooLargeError)
            self._receiver.reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                if is_large
                else HTTPStatus.BAD_REQUEST
            )
        if self._head_bytes > self._receiver.max_head_bytes:
            self._receiver.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _ignore_upgrade(self, unparsed: memoryview) -> None:
        """Parse on as if the client had not offered another protocol.

        The parser skips the body of such a request and all that follows, so
        another one continues behind its head.

        Args:
            unparsed: Received bytes behind the head.
        """
        self._offers_upgrade = False
        if not self._is_arriving or self._head.method == CONNECT:
            if self._is_arriving:
                self.on_message_complete()
            self._receiver.end_requests()
            return
        self._parser = HttpRequestParser(self)
        self._repeats_head = True
        self._parser.feed_data(encode_framing_head(self._head))
        if unparsed:
            self._parse_piece(unparsed)

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
