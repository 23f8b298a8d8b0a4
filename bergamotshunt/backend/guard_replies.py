"""Responses of the guard: from the backend server, replayed, or refusals."""

from base64 import b64encode
from hashlib import sha256
from typing import Any, Final, NamedTuple

from aiohttp import ClientError

from bergamotshunt.backend.local_server import ServerResponse
from bergamotshunt.choice.calls import CompleteResponse, HeaderItems, LoadReport
from bergamotshunt.http.web import encode_headers, send_failure, send_whole
from bergamotshunt.log import log_event
from bergamotshunt.peers.headers import (
    CONTENT_DIGEST,
    LOAD,
    REPLAYED,
    REQUEST_ID,
    SERVER,
    VERDICT,
    format_load,
)
from bergamotshunt.verdicts import CallFailure, Verdict

# The guard sets these itself and drops those of the backend server.
OWN_HEADERS: Final = frozenset(
    (REQUEST_ID, VERDICT, SERVER, LOAD, CONTENT_DIGEST, REPLAYED),
)


class ReplyContext(NamedTuple):
    """Data for the headers of every response of the guard.

    Attributes:
        request_id: Id of the request.
        daemon_id: Id of this daemon.
        load: Load at the time of the response.
    """

    request_id: str
    daemon_id: str
    load: LoadReport


def common_headers(context: ReplyContext) -> HeaderItems:
    """Return the headers that responses and refusals share."""
    return ((SERVER, context.daemon_id), (LOAD, format_load(context.load)))


def response_headers(
    context: ReplyContext, response: ServerResponse | CompleteResponse
) -> HeaderItems:
    """Return the headers of a response, without length and digest."""
    forwarded = tuple(
        item for item in response.headers if item[0] not in OWN_HEADERS
    )
    return (
        *forwarded,
        (REQUEST_ID, context.request_id),
        (VERDICT, Verdict.RAN.value),
        *common_headers(context),
    )


def format_content_digest(body: bytes) -> str:
    """Return the value of the ``Content-Digest`` header (RFC 9530)."""
    digest = b64encode(sha256(body).digest()).decode()
    return f'sha-256=:{digest}:'


async def send_refusal(
    send: Any,
    failure: CallFailure,
    context: ReplyContext,
) -> None:
    """Send a failure, with the load in its headers."""
    await send_failure(
        send, failure, context.request_id, common_headers(context)
    )


async def send_server_response(
    send: Any,
    response: ServerResponse | CompleteResponse,
    context: ReplyContext,
) -> None:
    """Send a response of the backend server, or a stored one."""
    if isinstance(response, ServerResponse) and not response.is_complete:
        await send_stream(send, response, context)
        return
    headers = [
        *response_headers(context, response),
        (CONTENT_DIGEST, format_content_digest(response.body)),
    ]
    if isinstance(response, CompleteResponse):
        headers.append((REPLAYED, 'true'))
    await send_whole(send, response.status, headers, response.body)


async def send_stream(
    send: Any,
    response: ServerResponse,
    context: ReplyContext,
) -> None:
    """Stream a response.

    If the backend server cuts it short, the response is left incomplete and
    the web server closes the connection. The receiver detects this by the
    mismatch with ``Content-Length`` or the missing last chunk.
    """
    headers = encode_headers(response_headers(context, response))
    if response.length is not None:
        headers.append((b'content-length', b'%d' % response.length))
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        }
    )
    try:
        async for chunk in response.chunks():
            await send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
    except (ClientError, OSError) as error:
        log_event('guard:answer-cut-short', detail=repr(error))
        return
    await send({'type': 'http.response.body', 'body': b''})
