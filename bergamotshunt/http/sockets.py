"""Options of TCP sockets."""

from asyncio import BaseTransport
from socket import IPPROTO_TCP, SO_ERROR, SO_KEEPALIVE, SOL_SOCKET
from socket import (
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from typing import Final

# A connection that went silent without a reset is noticed by probes.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# Written bytes that nobody acknowledges for this time end the connection.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500


def set_socket_options(
    transport: BaseTransport, unacknowledged_ms: int = 0
) -> None:
    """Send small writes at once and notice silent peers.

    Args:
        transport: Transport of a TCP connection.
        unacknowledged_ms: End the connection when written bytes are not
            acknowledged for this time; 0 for the system's own time.
    """
    tcp = transport.get_extra_info('socket')
    if tcp is None:
        return
    tcp.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    tcp.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    tcp.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    tcp.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    tcp.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES)
    if unacknowledged_ms:
        tcp.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms)


def has_socket_error(transport: BaseTransport) -> bool:
    """Return whether the system knows an error of a connection.

    libuv tells the end of a connection that was reset right behind some
    bytes in the same way as an orderly end.
    """
    tcp = transport.get_extra_info('socket')
    return tcp is not None and bool(tcp.getsockopt(SOL_SOCKET, SO_ERROR))
