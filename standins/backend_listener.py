"""HTTP listener of a backend stand-in that limits its connections."""

from asyncio import Server, get_running_loop
from asyncio import Task as AsyncioTask
from collections.abc import Callable
from logging import getLogger
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_LINGER,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    socket,
)
from struct import pack
from typing import Any, Final

from uvicorn import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

BACKLOG: Final = 512
ClientAddress = tuple[str, int]


class Connections:
    """Open connections and the requests that run on them.

    Attributes:
        limit: Most open connections.
        unused: Clients whose connection has not carried a request yet.
        running_by_client: Task of the running request.
        open_by_client: Protocol of the open connection.
        refused: Number of connections reset because of the limit.
        accepted: Number of connections accepted so far.
    """

    def __init__(self, limit: int) -> None:
        """Create the state without connections."""
        self.limit = limit
        self.unused: set[ClientAddress] = set()
        self.running_by_client: dict[ClientAddress, AsyncioTask[Any]] = {}
        self.open_by_client: dict[ClientAddress, HttpToolsProtocol] = {}
        self.refused = 0
        self.accepted = 0

    def close_idle(self) -> None:
        """Close the connections on which no request runs."""
        for client, protocol in tuple(self.open_by_client.items()):
            if client not in self.running_by_client:
                protocol.transport.close()

    def abort_all(self) -> None:
        """Reset all connections."""
        for protocol in tuple(self.open_by_client.values()):
            protocol.transport.abort()


class LimitedProtocol(HttpToolsProtocol):
    """Resets connections over the limit and cancels abandoned requests.

    The limit of uvicorn itself does not serve for this: above it, uvicorn
    responds with status 503, where a real server refuses the connection.
    """

    tracked_connections: Connections

    def connection_made(self, transport: Any) -> None:
        """Count the connection, or reset it when there are too many."""
        connections = self.tracked_connections
        if len(connections.open_by_client) >= connections.limit:
            connections.refused += 1
            # A linger time of 0 s makes the close send a TCP reset.
            raw_socket = transport.get_extra_info('socket')
            raw_socket.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
            super().connection_made(transport)
            transport.abort()
            return
        super().connection_made(transport)
        if self.client is not None:
            connections.accepted += 1
            connections.unused.add(self.client)
            connections.open_by_client[self.client] = self

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a client that disconnected."""
        super().connection_lost(exc)
        connections = self.tracked_connections
        if self.client is None:
            return
        connections.open_by_client.pop(self.client, None)
        connections.unused.discard(self.client)
        request_task = connections.running_by_client.pop(self.client, None)
        if request_task is not None:
            request_task.cancel()


class StandInServer:
    """HTTP server on one port that can stop and resume listening."""

    def __init__(
        self, app: Any, ip: str, port: int, connections: Connections
    ) -> None:
        """Create a server that does not listen yet."""
        getLogger('uvicorn.error').disabled = True
        self.ip = ip
        self.port = port
        self.connections = connections
        self.config = Config(
            app,
            loop='none',
            interface='asgi3',
            http='httptools',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self.config.load()
        self.state = ServerState()
        self._listener: Server | None = None

    async def open(self) -> None:
        """Start listening; port 0 is replaced by the assigned one."""
        if self._listener is not None:
            return
        # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
        # Without it, a call took 44 ms instead of 1 ms.
        bound_socket = socket(AF_INET, SOCK_STREAM, IPPROTO_TCP)
        bound_socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        bound_socket.bind((self.ip, self.port))
        self.port = bound_socket.getsockname()[1]
        self._listener = await get_running_loop().create_server(
            self._create_protocol_factory(), sock=bound_socket, backlog=BACKLOG
        )

    async def refuse(self) -> None:
        """Stop listening, so that new connections are refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def close(self) -> None:
        """Stop listening and reset the open connections."""
        await self.refuse()
        self.connections.abort_all()

    def _create_protocol_factory(self) -> Callable[[], LimitedProtocol]:
        def create() -> LimitedProtocol:
            protocol = LimitedProtocol(self.config, self.state, {})
            protocol.tracked_connections = self.connections
            return protocol

        return create
