"""Ports of loopback addresses, reserved for listeners that open later."""

from contextlib import ExitStack
from errno import EADDRINUSE
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from typing import Final

MAX_ATTEMPTS: Final = 100


class Ports:
    """Reserves free TCP ports of loopback addresses.

    Each port stays bound without listening: the kernel gives its number to
    no other socket, while a listener that sets SO_REUSEADDR can take it, in
    this process or in another one.

    Args:
        ips: Addresses on each of which every port is reserved.
    """

    def __init__(self, *ips: str) -> None:
        """Create the pool without reserved ports."""
        self._ips = ips
        self._reserved = ExitStack()

    def reserve(self, count: int = 1) -> int:
        """Reserve consecutive ports and return the number of the first.

        Raises:
            OSError: No such ports were found, or no socket could be bound.
        """
        for _ in range(MAX_ATTEMPTS):
            with ExitStack() as sockets:
                try:
                    first = self._bind_all(sockets, count)
                except OSError as error:
                    if error.errno != EADDRINUSE:
                        raise
                    continue
                self._reserved.enter_context(sockets.pop_all())
                return first
        raise OSError(EADDRINUSE, f'no {count} consecutive ports are free')

    def close(self) -> None:
        """Release all reserved ports."""
        self._reserved.close()

    def _bind_all(self, sockets: ExitStack, count: int) -> int:
        first_ip, *other_ips = self._ips
        first = _bind(sockets, first_ip, 0)
        for port in range(first + 1, first + count):
            _bind(sockets, first_ip, port)
        for ip in other_ips:
            for port in range(first, first + count):
                _bind(sockets, ip, port)
        return first


def _bind(sockets: ExitStack, ip: str, port: int) -> int:
    bound = sockets.enter_context(socket(AF_INET, SOCK_STREAM))
    bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    bound.bind((ip, port))
    return int(bound.getsockname()[1])
