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
# Response header that the balancer does not rewrite. A test compares it with
# the request to detect that a client got the response of another request.
OWN_REQUEST_ID: Final = 'x-request-id'
# Longest wait at a hold point, and the timeout of requests without a deadline.
MAX_HOLD_S: Final = 60
MS_PER_S: Final = 1000


class BackendRequest(NamedTuple):
    """One request that is being served.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Values by query parameter.
        headers: Values by lower-case name.
        body_bytes: Size of the request body.
        expires_at: Deadline on the monotonic clock, in seconds.
    """

    method: str
    path: str
    query: dict[str, list[str]]
    headers: dict[str, str]
    body_bytes: int
    expires_at: float


def parse_request(
    scope: Any, headers: dict[str, str], body: bytes
) -> BackendRequest:
    """Return the request that an ASGI scope describes."""
    remaining_ms = float(headers.get(DEADLINE_MS, MAX_HOLD_S * MS_PER_S))
    return BackendRequest(
        scope['method'],
        scope['path'],
        parse_qs(scope['query_string'].decode()),
        headers,
        len(body),
        monotonic() + remaining_ms / MS_PER_S,
    )


def create_body(name: str, request: BackendRequest, size_bytes: int) -> bytes:
    """Return a body of a given size that differs between requests.

    It starts with server, method, path and request size, and repeats the
    request id. A size too small for the start is exceeded.
    """
    start = (
        f'{name} {request.method} {request.path} {request.body_bytes}'.encode()
    )
    if size_bytes <= len(start):
        return start
    request_id = request.headers.get(REQUEST_ID, '')
    pattern = f' {request_id}'.encode()
    repeats = -(-(size_bytes - len(start)) // len(pattern))
    return (start + pattern * repeats)[:size_bytes]


async def send_response(
    send: Any,
    request_id: str,
    body: bytes,
    cut_short: bool,
    pause: Callable[[], Awaitable[None]],
) -> None:
    """Send a response in chunks, with its length and digest.

    Args:
        send: ASGI callable.
        request_id: Request id for the response headers.
        body: The whole body.
        cut_short: Whether the connection closes after half of the body.
        pause: Awaited after half of the body.

    Raises:
        ConnectionAbortedError: The response was cut short.
    """
    digest = b64encode(sha256(body).digest()).decode()
    header_items = [
        ('content-type', 'text/plain'),
        ('content-length', str(len(body))),
        (CONTENT_DIGEST, f'sha-256=:{digest}:'),
        (REQUEST_ID, request_id),
        (OWN_REQUEST_ID, request_id),
    ]
    start = {'type': 'http.response.start', 'status': 200}
    await send({**start, 'headers': encode_headers(header_items)})
    middle = len(body) // 2
    await send_chunks(send, body[:middle])
    await pause()
    if cut_short:
        raise ConnectionAbortedError(
            f'injected fault: sent {middle} of {len(body)} body bytes'
        )
    await send_chunks(send, body[middle:])
    await send({'type': 'http.response.body', 'body': b''})


async def send_chunks(send: Any, body: bytes) -> None:
    """Send a part of a body in chunks of at most ``CHUNK_BYTES``."""
    for start in range(0, len(body), CHUNK_BYTES):
        end = start + CHUNK_BYTES
        chunk = body[start:end]
        await send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True}
        )
        # Yields to the event loop, so that a reset by the peer is noticed
        # between chunks.
        await sleep(0)
