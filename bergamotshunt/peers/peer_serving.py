"""Serves the endpoints of the peers port."""

from http import HTTPStatus
from typing import Any

from bergamotshunt.http.web import (
    BodyTooLargeError,
    read_request_body,
    send_failure,
    send_whole,
)
from bergamotshunt.kernel import MessageBus
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS
from bergamotshunt.verdicts import create_refusal


async def serve_endpoint(
    bus: MessageBus,
    path: str,
    receive: Any,
    send: Any,
    max_body_bytes: int,
) -> None:
    """Pass a request of a peer to its endpoint and send the response.

    Raises:
        CallerDisconnectedError: The sender closed its connection.
    """
    if path not in PEER_ENDPOINTS.by_name:
        refusal = create_refusal(
            'unknown-endpoint',
            f'no endpoint is registered for the path {path!r}',
            HTTPStatus.NOT_FOUND,
        )
        await send_failure(send, refusal, '')
        return
    try:
        body = await read_request_body(receive, max_body_bytes)
        response = await PEER_ENDPOINTS.get(path)(bus, body)
    except BodyTooLargeError as too_large:
        refusal = create_refusal(
            'body-too-large',
            str(too_large),
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )
        await send_failure(send, refusal, '')
        return
    except ValueError as error:
        refusal = create_refusal(
            'malformed',
            str(error),
            HTTPStatus.BAD_REQUEST,
        )
        await send_failure(send, refusal, '')
        return
    headers = [('content-type', 'application/json')]
    await send_whole(send, int(HTTPStatus.OK), headers, response)
