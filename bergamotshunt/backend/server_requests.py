"""Requests to the backend server on this host."""

from asyncio import Task as AsyncioTask
from asyncio import create_task
from collections.abc import Callable
from functools import partial
from typing import Final

from bergamotshunt.backend.slot_turns import Refusal, RefusedError
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import (
    Response,
    ClientConnection,
    NotSentError,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import ResponseHead, encode_request_head
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.mesh_settings import Address
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.platform.requests import (
    ServerSaid,
    read_server_response,
    server_headers,
)

SMALL_BODY_BYTES: Final = 65_536


class ServerRequests:
    """Sends requests to the server on kept connections.

    Args:
        address: Address of the server.
        note_down: Called with the reason when it accepts no connection.
    """

    def __init__(
        self,
        address: Address,
        note_down: Callable[[str], None],
    ) -> None:
        """Create it without connections."""
        self._host = str(address).encode()
        self._pool = ClientPool(address.ip, address.port)
        self._note_down = note_down

    async def connect(self) -> ClientConnection:
        """Return a connection.

        Raises:
            RefusedError: The server accepts none.
        """
        try:
            return await self._pool.acquire()
        except NotSentError as error:
            self._note_down(str(error))
            raise RefusedError(Refusal('server-down')) from error

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request, or close it."""
        self._pool.release(connection)

    def close(self) -> None:
        """Close all kept connections."""
        self._pool.close()

    async def probe(self, path: str) -> ServerSaid:
        """Ask for the load of the server.

        Raises:
            RefusedError: The server accepts no connection.
            ConnectionError: It gave no response.
        """
        request = encode_request_head(
            b'GET',
            path.encode(),
            [(b'Host', self._host)],
            0,
        )
        connection = await self.connect()
        response = await self._pool.fetch_on(
            connection, request, SMALL_BODY_BYTES
        )
        return read_server_response(response.head)

    async def send(
        self,
        connection: ClientConnection,
        exchange: Exchange,
        call: PeerCall,
        left_ms: float,
    ) -> Response:
        """Send a request and wait for the head of its response.

        Args:
            connection: Connection to the server.
            exchange: The request, as the other daemon sent it.
            call: What that daemon says of it.
            left_ms: Time until the final response is due.

        Raises:
            RefusedError: Nothing was sent.
            ConnectionError: There is no response.
        """
        head = exchange.head
        body = await _gather_small(exchange)
        content = encode_request_head(
            head.method,
            head.target,
            server_headers(head, call, left_ms),
            head.length if body is None else len(body),
        )
        try:
            waiting = connection.send_request(
                content + (body or b''),
                partial(_is_response_of, call.request_id),
                whole=body is not None,
                bodyless=head.method == b'HEAD',
            )
        except NotSentError as error:
            raise RefusedError(Refusal('server-down')) from error
        if body is not None:
            return await waiting
        sending = create_task(_send_body(connection, exchange))
        try:
            return await waiting
        finally:
            _stop_sending(sending)


def _stop_sending(sending: 'AsyncioTask[None]') -> None:
    """End a transfer whose request was answered before it was whole."""
    if not sending.done():
        sending.cancel()


async def _gather_small(exchange: Exchange) -> bytes | None:
    length = exchange.head.length
    if length is None or length > SMALL_BODY_BYTES:
        return None
    return await exchange.body.read_up_to(SMALL_BODY_BYTES)


async def _send_body(
    connection: ClientConnection,
    exchange: Exchange,
) -> None:
    chunked = exchange.head.length is None
    try:
        while piece := await exchange.body.read():
            await connection.write(piece, chunked=chunked)
    except IncompleteBodyError:
        connection.close()
        return
    await connection.write(b'', chunked=chunked)


def _is_response_of(request_id: str, head: ResponseHead) -> bool:
    """Tell the response of a request from a late one of an earlier request."""
    answered_id = read_server_response(head).request_id
    return not answered_id or answered_id == request_id
