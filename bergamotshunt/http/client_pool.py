"""Pools of kept-alive connections to servers."""

from asyncio import get_running_loop, timeout
from typing import Final, NamedTuple

from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import (
    ClientConnection,
    NotSentError,
    ResponseMatcher,
)
from bergamotshunt.http.heads import ResponseHead

DEFAULT_CONNECT_TIMEOUT_S: Final = 0.5


class WholeResponse(NamedTuple):
    """Head of a response and its body."""

    head: ResponseHead
    content: bytes


class ClientPool:
    """Pool of kept-alive connections to one server.

    Args:
        ip: IP address of the server.
        port: Port of the server.
        connect_timeout_s: Time limit for making a connection, in seconds.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
    ) -> None:
        """Create a pool without connections."""
        self.ip = ip
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self._idle: list[ClientConnection] = []

    async def acquire(self) -> ClientConnection:
        """Return an idle connection, or make a new one.

        Raises:
            NotSentError: The server could not be connected to in time.
        """
        while self._idle:
            connection = self._idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return await self._connect()

    async def fetch(self, request: bytes, max_bytes: int) -> WholeResponse:
        """Send a whole request and read the response.

        Args:
            request: Head and body.
            max_bytes: Limit on the size of the response body.

        Raises:
            NotSentError: The server could not be connected to in time.
            ConnectionError: The response did not arrive completely, or
                exceeds the limit.
        """
        return await self.fetch_on(await self.acquire(), request, max_bytes)

    async def fetch_on(
        self,
        connection: ClientConnection,
        request: bytes,
        max_bytes: int,
        is_expected: ResponseMatcher | None = None,
    ) -> WholeResponse:
        """Do the same as ``fetch`` on a given connection of the pool.

        Responses that are not expected are skipped.
        """
        try:
            response = await connection.send_request(
                request, is_expected, whole=True
            )
            content = await response.body.read_up_to(max_bytes)
            if len(content) > max_bytes:
                raise IncompleteBodyError(
                    f'the response has over {max_bytes} bytes'
                )
        except BaseException:
            connection.close()
            raise
        self.release(connection)
        return WholeResponse(response.head, content)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = get_running_loop().time()
        self._idle.append(connection)
        while self._idle and not self._is_usable(self._idle[0]):
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _is_usable(self, connection: ClientConnection) -> bool:
        now_s = get_running_loop().time()
        age_s = now_s - connection.idle_since_s
        return connection.reusable and age_s < connection.idle_limit_s

    async def _connect(self) -> ClientConnection:
        try:
            async with timeout(self.connect_timeout_s):
                _, connection = await get_running_loop().create_connection(
                    ClientConnection,
                    self.ip,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(
                f'cannot connect to {self.ip}:{self.port} '
                f'within {self.connect_timeout_s} s: {error!r}'
            ) from error
        return connection
