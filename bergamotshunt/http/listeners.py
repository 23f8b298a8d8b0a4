"""Listeners that accept connections and run a handler for each request."""

from asyncio import CancelledError, Event, Server, get_running_loop
from asyncio import Task as AsyncioTask
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from math import inf
from typing import Any, Final

from bergamotshunt.decisions.connection_closing import choose_largest
from bergamotshunt.http.connection_ends import (
    CloseReason,
    ConnectionEnd,
    OpenConnections,
    total_of,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.hangups import HangupWatcher
from bergamotshunt.http.server_connection import ServerConnection
from bergamotshunt.log import log_error
from bergamotshunt.routing import ClientLimits

BACKLOG: Final = 1024
# Limit on the output of all connections that waits in memory for clients to
# read. A streamed response stops at 64 KiB, and 64 whole ones of that size may
# wait on a connection: eight such connections, or 512 that have one each.
MAX_UNREAD_BYTES: Final = 33_554_432
# Interval at which the limit is checked while output waits.
UNREAD_CHECK_INTERVAL_S: Final = 0.05
DEFAULT_LIMITS: Final = ClientLimits()

Handler = Callable[[Exchange], Coroutine[Any, Any, None]]
EndObserver = Callable[[ConnectionEnd], None]
CloseNoticeFactory = Callable[[], bytes]


def ignore_end(_end: ConnectionEnd) -> None:
    """Ignore the end of a connection."""


def create_no_notice() -> bytes:
    """Return nothing: idle connections close without a notice."""
    return b''


class Listener:
    """Accepts connections and runs a handler for each request.

    Args:
        handler: Handles one exchange.
        limits: Limits for clients; may be replaced at any time.
        on_connection_end: Called with the end of each connection.
        create_close_notice: Returns a response that idle connections send
            before they close. A request that crosses the close takes it as
            its own response; it must state that the request did not run.

    Attributes:
        connections: All open connections.
        hangup_watcher: Watches connections that are not read.
        closing: Whether connections close after their next response.
        closing_idle: Whether idle connections close at once.
        running: Number of running handlers.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ClientLimits = DEFAULT_LIMITS,
        on_connection_end: EndObserver = ignore_end,
        create_close_notice: CloseNoticeFactory = create_no_notice,
    ) -> None:
        """Create a listener without a socket."""
        self.limits = limits
        self.on_connection_end = on_connection_end
        self.create_close_notice = create_close_notice
        self.connections: set[ServerConnection] = set()
        self.hangup_watcher = HangupWatcher()
        self.closing = False
        self.closing_idle = False
        self.running = 0
        self._unread_checked_s = -inf
        self._handler = handler
        self._server: Server | None = None
        self._progress = Event()

    async def open(self, ip: str, port: int) -> int:
        """Start to listen.

        Returns:
            The port number, which the system chooses when ``port`` is 0.
        """
        self._server = await get_running_loop().create_server(
            lambda: ServerConnection(self),
            ip,
            port,
            backlog=BACKLOG,
        )
        return int(self._server.sockets[0].getsockname()[1])

    def now_s(self) -> float:
        """Return the loop time in seconds."""
        return get_running_loop().time()

    def start_handler(self, exchange: Exchange) -> AsyncioTask[None]:
        """Start the handler of a request in a task."""
        return get_running_loop().create_task(self._run(exchange))

    def describe_connections(self) -> OpenConnections:
        """Return the state of all open connections."""
        return total_of([connection.state for connection in self.connections])

    def close_after_responses(self) -> None:
        """Close each connection after its next response from now on."""
        self.closing = True
        for connection in tuple(self.connections):
            connection.check_timeouts()

    def close_idle(self) -> None:
        """Close idle connections now, and others once they are idle."""
        self.close_after_responses()
        self.closing_idle = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def report_progress(self) -> None:
        """Report that a connection may have become idle."""
        self._progress.set()

    def limit_unread(self) -> None:
        """Close connections if their clients leave too much output unread.

        Those that hold most of it go first.
        """
        now_s = self.now_s()
        if now_s - self._unread_checked_s < UNREAD_CHECK_INTERVAL_S:
            return
        self._unread_checked_s = now_s
        sizes = {
            connection: connection.unread_bytes
            for connection in self.connections
        }
        for connection in choose_largest(sizes, MAX_UNREAD_BYTES):
            connection.abort(CloseReason.STALLED)

    async def wait_until_idle(self) -> None:
        """Wait until the connections that are busy now have been idle.

        A connection is idle when no response is due and all are sent. Later
        requests do not prolong the wait.
        """
        busy = self._busy_connections()
        for connection in busy:
            connection.watch_flush()
        while busy:
            self._progress.clear()
            await self._progress.wait()
            busy &= self._busy_connections()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort(CloseReason.SHUTDOWN)
        self.hangup_watcher.close()

    def _busy_connections(self) -> set[ServerConnection]:
        return {
            connection for connection in self.connections if connection.busy
        }

    async def _run(self, exchange: Exchange) -> None:
        self.running += 1
        try:
            await self._handler(exchange)
        except CancelledError:
            raise
        except Exception as error:
            log_error('listener:handler-failed', error)
            exchange.fail(HTTPStatus.BAD_GATEWAY, [])
        else:
            exchange.end_unanswered()
        finally:
            self.running -= 1
