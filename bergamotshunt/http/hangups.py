"""Detection of peers that hang up while their connection is not read."""

from asyncio import BaseTransport, get_running_loop
from collections.abc import Callable
from contextlib import suppress
from select import EPOLLERR, EPOLLHUP, EPOLLONESHOT, EPOLLRDHUP, epoll
from typing import Final

from bergamotshunt.log import log_event

# Level-triggered, so that an earlier hang-up is reported, too; errors and
# resets are reported in any case. One event ends a watch.
HANGUP_EVENTS: Final = EPOLLRDHUP | EPOLLHUP | EPOLLERR | EPOLLONESHOT


class HangupWatcher:
    """Reports when peers close or reset connections that nobody reads.

    An event loop reports the end of a connection to its reader only, and
    behind all bytes before it. The system knows earlier, also while received
    bytes wait to be read.

    Without the system's support, it reports nothing and says so once.
    """

    def __init__(self) -> None:
        """Create a watcher without connections."""
        self._epoll: epoll | None = None
        self._has_failed = False
        self._descriptors_by_transport: dict[BaseTransport, int] = {}
        self._handlers_by_descriptor: dict[int, Callable[[], None]] = {}

    def watch(
        self, transport: BaseTransport, on_hangup: Callable[[], None]
    ) -> None:
        """Watch a connection until its peer hangs up or ``unwatch`` is called.

        Args:
            transport: Transport of an open connection.
            on_hangup: Called once when the peer closes its side or resets
                the connection.
        """
        tcp = transport.get_extra_info('socket')
        if transport in self._descriptors_by_transport or tcp is None:
            return
        descriptor = tcp.fileno()
        try:
            self._open().register(descriptor, HANGUP_EVENTS)
        except (OSError, ValueError) as error:
            self._report_failure(error)
            return
        self._descriptors_by_transport[transport] = descriptor
        self._handlers_by_descriptor[descriptor] = on_hangup

    def unwatch(self, transport: BaseTransport) -> None:
        """Stop watching a connection, if it is watched.

        Its socket has to be open still: the system gives a free descriptor
        to the next connection.
        """
        descriptor = self._descriptors_by_transport.pop(transport, None)
        if descriptor is None:
            return
        self._handlers_by_descriptor.pop(descriptor, None)
        if self._epoll is not None:
            with suppress(OSError):
                self._epoll.unregister(descriptor)

    def close(self) -> None:
        """Stop watching all connections."""
        self._descriptors_by_transport.clear()
        self._handlers_by_descriptor.clear()
        if self._epoll is not None:
            get_running_loop().remove_reader(self._epoll.fileno())
            self._epoll.close()
            self._epoll = None

    def _report_failure(self, error: Exception) -> None:
        if not self._has_failed:
            self._has_failed = True
            log_event('connection:not-watched', detail=repr(error))

    def _open(self) -> epoll:
        if self._epoll is None:
            self._epoll = epoll()
            get_running_loop().add_reader(
                self._epoll.fileno(), self._report_hangups
            )
        return self._epoll

    def _report_hangups(self) -> None:
        if self._epoll is None:
            return
        for descriptor, _ in self._epoll.poll(0):
            handler = self._handlers_by_descriptor.get(descriptor)
            if handler is not None:
                handler()
