"""Options and errors of TCP sockets."""

from asyncio import BaseTransport
from contextlib import suppress
from socket import (
    IPPROTO_TCP,
    SO_ERROR,
    SO_KEEPALIVE,
    SO_LINGER,
    SOL_SOCKET,
)
from socket import (
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_NODELAY,
    TCP_USER_TIMEOUT,
)
from struct import Struct
from typing import Final

# Two integers of SO_LINGER: whether it is on, and the time in seconds.
LINGER: Final = Struct('ii')
# Keep-alive probes detect a peer that vanished without closing the
# connection.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# The connection fails when written bytes are unacknowledged for this time.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500


def set_socket_options(
    transport: BaseTransport, unacknowledged_ms: int = 0
) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers.

    Args:
        transport: Transport of a TCP connection.
        unacknowledged_ms: The connection fails when written bytes are
            unacknowledged for this time; 0 keeps the system's default.
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


def format_address(transport: BaseTransport) -> str:
    """Return the peer's address as ``ip:port``, or empty when unknown."""
    address = transport.get_extra_info('peername')
    return f'{address[0]}:{address[1]}' if address else ''


def has_socket_error(transport: BaseTransport) -> bool:
    """Return whether the socket of a connection has a pending error.

    libuv reports a reset that directly follows received bytes in the same
    way as an orderly end of the connection.
    """
    tcp = transport.get_extra_info('socket')
    return tcp is not None and bool(tcp.getsockopt(SOL_SOCKET, SO_ERROR))


def set_unacknowledged_timeout(
    transport: BaseTransport, unacknowledged_ms: int
) -> None:
    """Change how long written bytes may be unacknowledged.

    Args:
        transport: Transport of a TCP connection.
        unacknowledged_ms: Time in milliseconds; 0 restores the system's
            default.
    """
    tcp = transport.get_extra_info('socket')
    if tcp is not None:
        tcp.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms)


def reset_on_close(transport: BaseTransport) -> None:
    """Let the close of a connection reset it and drop what is unsent."""
    tcp = transport.get_extra_info('socket')
    if tcp is not None and tcp.fileno() >= 0:
        with suppress(OSError):
            # The connection may have failed already.
            tcp.setsockopt(SOL_SOCKET, SO_LINGER, LINGER.pack(1, 0))
