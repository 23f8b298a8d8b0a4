"""HTTP client of the backend server on this host, with a pool."""

from collections.abc import Callable
from functools import partial
from typing import Final

from bergamotshunt.backend.slot_queue import Refusal, RefusedError
from bergamotshunt.decisions.slot_refusals import EXPIRED_PERMIT_REASON
from bergamotshunt.http.body_sending import send_body_until_response
from bergamotshunt.http.client_connection import (
    ClientConnection,
    NotSentError,
    Response,
)
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import ResponseHead, encode_request_head
from bergamotshunt.mesh_settings import Address
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.permits import Permit
from bergamotshunt.platform.requests import (
    ServerResponseInfo,
    read_server_response_info,
    server_headers,
)

MAX_BUFFERED_BODY_BYTES: Final = 65_536


class ServerClient:
    """Sends requests to the server on pooled connections.

    Args:
        address: Address of the server.
        on_down: Called with the error when a connection is not accepted.
    """

    def __init__(
        self,
        address: Address,
        on_down: Callable[[str], None],
    ) -> None:
        """Create a client without connections."""
        self._host = str(address).encode()
        self._pool = ClientPool(address.ip, address.port)
        self._on_down = on_down

    async def connect(self) -> ClientConnection:
        """Return a pooled or new connection.

        Raises:
            RefusedError: The server accepts no connection.
        """
        try:
            return await self._pool.acquire()
        except NotSentError as error:
            self._on_down(str(error))
            raise RefusedError(Refusal('server-down')) from error

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it."""
        self._pool.release(connection)

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.close()

    async def probe(self, path: str) -> ServerResponseInfo:
        """Probe the server for its health and load.

        Args:
            path: Health path of the server.

        Raises:
            RefusedError: The server accepts no connection.
            ConnectionError: There was no response.
        """
        request = encode_request_head(
            b'GET',
            path.encode(),
            [(b'Host', self._host)],
            0,
        )
        connection = await self.connect()
        response = await self._pool.fetch_on(
            connection,
            request,
            MAX_BUFFERED_BODY_BYTES,
            partial(_belongs_to_request, ''),
        )
        return read_server_response_info(response.head)

    async def send(
        self,
        connection: ClientConnection,
        exchange: Exchange,
        call: PeerCall,
        left_ms: float,
        permit: Permit | None = None,
    ) -> Response:
        """Send a request and wait for the head of its response.

        Args:
            connection: Connection to the server.
            exchange: The request, as the peer sent it.
            call: Metadata of the request, from the peer.
            left_ms: Time until the response is due, in milliseconds.
            permit: Limits when it may be sent; None for no limit.

        Raises:
            RefusedError: Nothing was sent.
            ConnectionError: There was no response.
        """
        head = exchange.head
        body = await _read_small_body(exchange)
        if permit is not None and permit.has_ended():
            raise RefusedError(Refusal(EXPIRED_PERMIT_REASON))
        content = encode_request_head(
            head.method,
            head.target,
            server_headers(head, call, left_ms),
            head.length if body is None else len(body),
        )
        try:
            pending_response = connection.send_request(
                content + (body or b''),
                partial(_belongs_to_request, call.request_id),
                whole=body is not None,
                bodyless=head.method == b'HEAD',
            )
        except NotSentError as error:
            raise RefusedError(Refusal('server-down')) from error
        if body is not None:
            return await pending_response
        return await send_body_until_response(
            connection,
            exchange.body,
            pending_response,
            chunked=head.length is None,
        )


async def _read_small_body(exchange: Exchange) -> bytes | None:
    """Read a body that fits the buffer; None for one to be streamed."""
    length = exchange.head.length
    if length is None or length > MAX_BUFFERED_BODY_BYTES:
        return None
    return await exchange.body.read_up_to(MAX_BUFFERED_BODY_BYTES)


def _belongs_to_request(request_id: str, head: ResponseHead) -> bool:
    """Return whether a response states the id of the request.

    Servers echo it; a response without one may be to an earlier request.
    Probes have no id.
    """
    return read_server_response_info(head).request_id == request_id
