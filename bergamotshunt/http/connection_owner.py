"""Interface of a listener to its connections."""

from asyncio import Task as AsyncioTask
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from bergamotshunt.http.connection_ends import ConnectionEnd
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.hangups import HangupWatcher
from bergamotshunt.routing import ClientLimits

if TYPE_CHECKING:
    from bergamotshunt.http.server_connection import ServerConnection


class ConnectionOwner(Protocol):
    """Interface of the listener that accepted a connection.

    Attributes:
        limits: Limits for clients.
        connections: All open connections.
        hangup_watcher: Watches connections that are not read.
        closing: Whether connections close after their next response.
        closing_idle: Whether idle connections close at once.
        on_connection_end: Called with the end of each connection.
        create_close_notice: Returns what an idle connection sends before it
            closes.
    """

    limits: ClientLimits
    connections: 'set[ServerConnection]'
    hangup_watcher: HangupWatcher
    closing: bool
    closing_idle: bool
    on_connection_end: 'Callable[[ConnectionEnd], None]'
    create_close_notice: 'Callable[[], bytes]'

    def now_s(self) -> float:
        """Return the loop time in seconds."""

    def start_handler(self, exchange: Exchange) -> 'AsyncioTask[None]':
        """Start the handler of a request in a task."""

    def report_progress(self) -> None:
        """Report that a connection may have become idle."""

    def limit_unread(self) -> None:
        """Close connections if their clients leave too much output unread."""
