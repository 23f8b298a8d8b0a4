"""Sends responses to callers as ASGI messages."""

from collections.abc import AsyncGenerator
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.http.web import send_streamed
from bergamotshunt.ingress.call_types import CallResponse, ResponseStream

CONTENT_LENGTH: Final = b'content-length'
BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT.value, HTTPStatus.NOT_MODIFIED.value)
)


async def send_response(send: Any, response: CallResponse, method: str) -> None:
    """Send a buffered response at once, or a streamed one in chunks.

    Raises:
        IncompleteResponseError: The rest of a streamed response did not
            arrive; the response to the caller stays incomplete.
    """
    if response.rest is not None:
        await send_rest(send, response, response.rest)
        return
    headers = response.headers
    if method == 'HEAD':
        if response.length is not None:
            headers.append((CONTENT_LENGTH, b'%d' % response.length))
    elif response.status not in BODILESS_STATUSES:
        headers.append((CONTENT_LENGTH, b'%d' % len(response.body)))
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': response.body})


async def send_rest(
    send: Any, response: CallResponse, rest: ResponseStream
) -> None:
    """Send a response of which only the start is buffered."""
    headers = response.headers
    if response.length is not None:
        headers.append((CONTENT_LENGTH, b'%d' % response.length))
    try:
        await send_streamed(
            send, response.status, headers, join(response.body, rest)
        )
    finally:
        rest.close()


async def join(
    start: bytes, rest: ResponseStream
) -> AsyncGenerator[bytes, None]:
    """Yield the start of a body, then its remaining chunks."""
    yield start
    async for chunk in rest:
        yield chunk
