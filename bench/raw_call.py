"""HTTP client that sends a request in two parts."""

from asyncio import Event, open_connection, timeout
from typing import Any, Final

from httptools import HttpParserError, HttpResponseParser

from bench.load import ObservedOutcome, check_response
from bench.plans import Call
from bench.processes import IP

READ_BYTES: Final = 65_536
FIRST_PARTS: Final = ('whole', 'half head', 'half body')


class ResponseParser:
    """Parses a response; its methods are callbacks of httptools."""

    def __init__(self) -> None:
        """Create the parser without input."""
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False
        self.parser: Any = HttpResponseParser(self)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header under its lower-case name."""
        self.headers[name.decode().lower()] = text.decode()

    def on_body(self, piece: bytes) -> None:
        """Append a part of the body."""
        self.body += piece

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.complete = True


class RawCall:
    """A call over its own connection.

    Args:
        port: Port of the daemon or backend server.
        target: Path with the query string.
        call: The planned call.
        headers: Headers except host and content length.
        first_part: What is sent before ``released`` is set; one of
            ``FIRST_PARTS``.

    Attributes:
        sent: Set when the first part has been sent.
        released: Set to let the rest be sent.
    """

    def __init__(
        self,
        port: int,
        target: str,
        call: Call,
        headers: dict[str, str],
        first_part: str = 'whole',
    ) -> None:
        """Create the call without sending."""
        self.port = port
        self.call = call
        self.sent = Event()
        self.released = Event()
        # Padded to 64 bytes, so that half of the body can be sent alone.
        body = call.request_id.encode().ljust(64, b'.')
        all_headers = {**headers, 'host': IP, 'content-length': str(len(body))}
        lines = [f'{call.kind.method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in all_headers.items()]
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        message = head + body
        lengths = (len(message), len(head) // 2, len(head) + 32)
        length = lengths[FIRST_PARTS.index(first_part)]
        self.first_bytes = message[:length]
        self.remaining_bytes = message[length:]

    async def run(self, limit_s: float) -> ObservedOutcome:
        """Send the request and return the outcome of the call.

        Args:
            limit_s: Time limit in seconds.
        """
        try:
            async with timeout(limit_s):
                return await self.exchange()
        except (OSError, TimeoutError, HttpParserError) as error:
            detail = f'{type(error).__name__}: {error}'
            return ObservedOutcome(self.call, 0, 0, detail=detail)

    async def exchange(self) -> ObservedOutcome:
        """Send the request on a new connection and read the response.

        Raises:
            ConnectionError: The connection closed before the end of the
                response.
            HttpParserError: The response is not valid HTTP.
        """
        reader, writer = await open_connection(IP, self.port)
        response = ResponseParser()
        try:
            writer.write(self.first_bytes)
            await writer.drain()
            self.sent.set()
            if self.remaining_bytes:
                await self.released.wait()
                writer.write(self.remaining_bytes)
            while not response.complete:
                piece = await reader.read(READ_BYTES)
                if not piece:
                    raise ConnectionError(
                        f'port {self.port} closed the connection before the '
                        'end of the response'
                    )
                response.parser.feed_data(piece)
        finally:
            writer.close()
        status = response.parser.get_status_code()
        return check_response(
            self.call, status, response.headers, response.body
        )
