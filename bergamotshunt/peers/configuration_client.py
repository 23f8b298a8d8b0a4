"""Fetches the configuration that a peer has in force."""

from asyncio import timeout
from http import HTTPStatus
from typing import Final

from bergamotshunt.http.client_pool import ClientPool, WholeResponse
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.peers.configuration_documents import (
    ACCEPT_CODING,
    MAX_DOCUMENT_BYTES,
)
from bergamotshunt.peers.peer_calls import CONFIGURATION_PATH

PEER_TIMEOUT_S: Final = 1.0


async def fetch_configuration(ip: str, port: int) -> WholeResponse | None:
    """Fetch the encoded configuration of a peer.

    Returns:
        The response; None if the peer has no configuration.

    Raises:
        ConnectionError: The peer did not answer.
        TimeoutError: Its link is too slow for the configuration.
    """
    pool = ClientPool(ip, port)
    request = encode_request_head(
        b'GET',
        CONFIGURATION_PATH,
        [(b'Host', ip.encode()), ACCEPT_CODING],
        0,
    )
    try:
        async with timeout(PEER_TIMEOUT_S):
            response = await pool.fetch(request, MAX_DOCUMENT_BYTES)
    finally:
        pool.close()
    return response if response.head.status == HTTPStatus.OK else None
