"""Reading of responses from a socket, as slowly as a client wants."""

from asyncio import get_running_loop, sleep
from http import HTTPStatus
from socket import socket
from typing import Final

from bench.mesh_records import ClientRequest
from bergamotshunt.platform.names import REQUEST_ID, SIGNATURE
from standins.mesh_backend import create_body, create_signature

STEP_BYTES: Final = 4096
HEAD_END: Final = b'\r\n\r\n'
LINE_END: Final = b'\r\n'


class ResponseReader:
    """Reads the responses of one connection.

    Args:
        connection: Connected, non-blocking socket.

    Attributes:
        status: Status of the response; 0 until its head was read.
        by_name: Headers by lower-case name.
        body: Bytes of the body that were read.
        closing: Whether the response closes the connection.
    """

    def __init__(self, connection: socket) -> None:
        """Create a reader of a connection without bytes read."""
        self._connection = connection
        self._buffer = bytearray()
        self._pause_s_per_byte: float = 0
        self.reset()

    def reset(self) -> None:
        """Forget the last response."""
        self.status = 0
        self.by_name: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.closing = False

    async def read_response(self, size: int, read_s: float) -> None:
        """Read one response.

        Args:
            size: Expected size of the body.
            read_s: Time over which a body of this size is read.

        Raises:
            ConnectionError: The connection ended before the response did.
            ValueError: The bytes are no response.
        """
        self._pause_s_per_byte = 0
        await self._read_head()
        self._pause_s_per_byte = read_s / max(size, 1)
        if self.by_name.get(b'transfer-encoding') == b'chunked':
            await self._read_chunks()
        else:
            await self._read_body(int(self.by_name[b'content-length']))

    async def _read_head(self) -> None:
        lines = (await self._read_until(HEAD_END)).split(LINE_END)
        protocol, status = lines[0].split(b' ')[:2]
        if protocol != b'HTTP/1.1':
            raise ValueError(f'{lines[0]!r}: expected a status line')
        headers = [line.split(b': ', 1) for line in lines[1:]]
        self.by_name = {name.lower(): content for name, content in headers}
        self.closing = self.by_name.get(b'connection') == b'close'
        self.status = int(status)

    async def _read_chunks(self) -> None:
        while size := int(await self._read_until(LINE_END), 16):
            await self._read_body(size)
            await self._read_until(LINE_END)
        await self._read_until(LINE_END)

    async def _read_body(self, size: int) -> None:
        left = size
        while left:
            if not self._buffer:
                await self._receive()
            part = self._buffer[:left]
            del self._buffer[:left]
            self.body += part
            left -= len(part)

    async def _read_until(self, end: bytes) -> bytes:
        while end not in self._buffer:
            await self._receive()
        head, _, rest = bytes(self._buffer).partition(end)
        self._buffer = bytearray(rest)
        return head

    async def _receive(self) -> None:
        received = await get_running_loop().sock_recv(
            self._connection, STEP_BYTES
        )
        if not received:
            raise ConnectionError('the connection ended within a response')
        self._buffer += received
        if self._pause_s_per_byte:
            await sleep(len(received) * self._pause_s_per_byte)


def find_mismatch(reader: ResponseReader, request: ClientRequest) -> str:
    """Return how a response differs from the server's, or empty text."""
    if reader.status != HTTPStatus.OK:
        return ''
    request_id = request.request_id.encode()
    expected = create_body(request.request_id, request.size)
    signature = create_signature(request.request_id, expected)
    if reader.by_name.get(REQUEST_ID.lower()) != request_id:
        return f'response of {reader.by_name.get(REQUEST_ID.lower())!r}'
    if len(reader.body) != request.size:
        return f'{len(reader.body)} bytes, expected {request.size}'
    if bytes(reader.body) != expected:
        return 'other bytes than the server sent'
    if reader.by_name.get(SIGNATURE.lower()) != signature:
        return 'without the signature of the server'
    return ''
