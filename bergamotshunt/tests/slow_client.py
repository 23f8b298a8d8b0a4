"""A client with small socket buffers that reads slowly."""

import asyncio
import socket
from types import TracebackType

from bergamotshunt.http.listeners import Listener

SMALL_BUFFER_BYTES = 4096
READ_BYTES = 4096
READ_INTERVAL_S = 0.01
LARGE_CONTENT = bytes(range(256)) * 400


class SlowClient:
    """A connection that reads a few KB at a time once it is told to.

    Args:
        ip: Address of the listener.
        port: Its port.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._address = (ip, port)
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )

    async def __aenter__(self) -> 'SlowClient':
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, self._address)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._socket.close()

    async def send(self, content: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, content)

    async def read_until_closed(self) -> bytes:
        """Read to the end or to a reset; close this side afterwards."""
        content = b''
        while chunk := await self.read():
            content += chunk
            await asyncio.sleep(READ_INTERVAL_S)
        self._socket.close()
        return content

    async def read(self) -> bytes:
        """Return the next bytes; none after the end or a reset."""
        loop = asyncio.get_running_loop()
        try:
            return await loop.sock_recv(self._socket, READ_BYTES)
        except ConnectionError:
            return b''


def shrink_send_buffers(listener: Listener) -> None:
    """Let the system buffer only a few KB of each connection's responses."""
    for connection in listener.connections:
        transport = connection._transport
        assert transport is not None
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
