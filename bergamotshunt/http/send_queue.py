"""Bytes of a connection that its peer has not acknowledged."""

import struct
from asyncio import BaseTransport, WriteTransport
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Final

INT: Final = struct.Struct('i')


def count_undelivered_bytes(transport: WriteTransport) -> int:
    """Return how many written bytes the peer has not acknowledged."""
    return transport.get_write_buffer_size() + _size_send_queue(transport)


def _size_send_queue(transport: BaseTransport) -> int:
    """Return the bytes in the system's send queue; 0 when unknown."""
    tcp = transport.get_extra_info('socket')
    if tcp is None or tcp.fileno() < 0:
        return 0
    try:
        queue = ioctl(tcp.fileno(), TIOCOUTQ, bytes(INT.size))
    except OSError:
        return 0
    return int(INT.unpack(queue)[0])
