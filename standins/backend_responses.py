"""Responses of a backend stand-in: their bodies and how they are sent."""

from asyncio import sleep
from base64 import b64encode
from collections.abc import Awaitable, Callable
from hashlib import sha256
from time import monotonic
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs

from bergamotshunt.http.web import encode_headers
from bergamotshunt.peers.headers import CONTENT_DIGEST, DEADLINE_MS, REQUEST_ID

CHUNK_BYTES: Final = 32_768
# Header of the server's own that no balancer rewrites, for the judge of
# ownership.
OWN_REQUEST_ID: Final = 'x-request-id'
# Longest time that a request without a deadline may be held, in seconds.
MAX_HOLD_S: Final = 60
MS_PER_S: Final = 1000


class BackendRequest(NamedTuple):
    """One request that is being served."""

    method: str
    path: str
    query: dict[str, list[str]]
    headers: dict[str, str]
    body_bytes: int
    expires_at: float


def parse_request(
    scope: Any, headers: dict[str, str], body: bytes
) -> BackendRequest:
    """Read what a request asks for from its ASGI scope."""
    remaining_ms = float(headers.get(DEADLINE_MS, MAX_HOLD_S * MS_PER_S))
    return BackendRequest(
        scope['method'],
        scope['path'],
        parse_qs(scope['query_string'].decode()),
        headers,
        len(body),
        monotonic() + remaining_ms / MS_PER_S,
    )


def create_body(name: str, request: BackendRequest, size: int) -> bytes:
    """Write a body that differs between requests."""
    start = (
        f'{name} {request.method} {request.path} {request.body_bytes}'.encode()
    )
    if size <= len(start):
        return start
    request_id = request.headers.get(REQUEST_ID, '')
    pattern = f' {request_id}'.encode()
    repeats = -(-(size - len(start)) // len(pattern))
    return (start + pattern * repeats)[:size]


async def send_response(
    send: Any,
    request_id: str,
    body: bytes,
    cut_short: bool,
    pause: Callable[[], Awaitable[None]],
) -> None:
    """Send a response in pieces, with its length and digest.

    Args:
        send: ASGI callable.
        request_id: Told in the headers.
        body: The whole body.
        cut: Whether the connection ends after half of the body.
        pause: Awaited after half of the body.

    Raises:
        ConnectionAbortedError: The response was cut short.
    """
    digest = b64encode(sha256(body).digest()).decode()
    items = [
        ('content-type', 'text/plain'),
        ('content-length', str(len(body))),
        (CONTENT_DIGEST, f'sha-256=:{digest}:'),
        (REQUEST_ID, request_id),
        (OWN_REQUEST_ID, request_id),
    ]
    start = {'type': 'http.response.start', 'status': 200}
    await send({**start, 'headers': encode_headers(items)})
    middle = len(body) // 2
    await send_pieces(send, body[:middle])
    await pause()
    if cut_short:
        raise ConnectionAbortedError('injected fault: answer cut short')
    await send_pieces(send, body[middle:])
    await send({'type': 'http.response.body', 'body': b''})


async def send_pieces(send: Any, body: bytes) -> None:
    """Send a part of a body with a bound on the size of a piece."""
    for start in range(0, len(body), CHUNK_BYTES):
        end = start + CHUNK_BYTES
        piece = body[start:end]
        await send(
            {'type': 'http.response.body', 'body': piece, 'more_body': True}
        )
        # A loop turn lets a reset by the peer be noticed between pieces.
        await sleep(0)
