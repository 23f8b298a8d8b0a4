"""Kept connections to servers."""

from asyncio import get_running_loop, timeout
from typing import Final, NamedTuple

from bergamotshunt.http.calling import ClientConnection, NotSentError
from bergamotshunt.http.heads import ResponseHead

CONNECT_TIMEOUT_S: Final = 0.5


class WholeResponse(NamedTuple):
    """Head of a response and its body."""

    head: ResponseHead
    content: bytes


class ClientPool:
    """Kept connections to one server.

    Args:
        ip: Address of the server.
        port: Port of the server.
        connect_timeout_s: Longest time to connect.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        """Create a pool without connections."""
        self.ip = ip
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self._idle: list[ClientConnection] = []

    async def connect(self) -> ClientConnection:
        """Return a kept connection, or make one.

        Raises:
            NotSentError: No connection could be made in time.
        """
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return await self._make()

    async def ask(self, request: bytes, most_bytes: int) -> WholeResponse:
        """Send a whole request and gather the response.

        Args:
            request: Head and body.
            most_bytes: The body is read up to about this size.

        Raises:
            NotSentError: No connection could be made in time.
            ConnectionError: There is no whole response.
        """
        return await self.ask_on(await self.connect(), request, most_bytes)

    async def ask_on(
        self,
        connection: ClientConnection,
        request: bytes,
        most_bytes: int,
    ) -> WholeResponse:
        """Ask on a connection of the pool, as in ``ask``."""
        try:
            response = await connection.begin(request, whole=True)
            content = await response.body.gather(most_bytes)
        except BaseException:
            connection.close()
            raise
        self.put_back(connection)
        return WholeResponse(response.head, content)

    def put_back(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request, or close it."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = get_running_loop().time()
        self._idle.append(connection)
        while self._idle and not self._is_usable(self._idle[0]):
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close all kept connections."""
        while self._idle:
            self._idle.pop().close()

    def _is_usable(self, connection: ClientConnection) -> bool:
        now_s = get_running_loop().time()
        age_s = now_s - connection.idle_since_s
        return connection.reusable and age_s < connection.idle_limit_s

    async def _make(self) -> ClientConnection:
        try:
            async with timeout(self.connect_timeout_s):
                _, connection = await get_running_loop().create_connection(
                    ClientConnection,
                    self.ip,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f'no connection: {error!r}') from error
        return connection
