"""Bytes that the system has accepted and a peer has not acknowledged."""

import struct
from asyncio import BaseTransport
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Final

INT: Final = struct.Struct('i')


def count_unacknowledged_bytes(transport: BaseTransport) -> int:
    """Return the size of the system's send queue; 0 when it is unknown."""
    tcp = transport.get_extra_info('socket')
    if tcp is None or tcp.fileno() < 0:
        return 0
    try:
        queue = ioctl(tcp.fileno(), TIOCOUTQ, bytes(INT.size))
    except OSError:
        return 0
    return int(INT.unpack(queue)[0])
