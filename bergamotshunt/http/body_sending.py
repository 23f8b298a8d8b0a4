"""Sending of request bodies that are still arriving."""

from asyncio import Future, create_task

from bergamotshunt.http.bodies import Body, IncompleteBodyError
from bergamotshunt.http.client_connection import ClientConnection, Response


async def send_body_until_response(
    connection: ClientConnection,
    body: Body,
    pending_response: 'Future[Response]',
    *,
    chunked: bool,
) -> Response:
    """Send a body in chunks until the head of the response arrives.

    The response may arrive before the body does: nothing more of the body is
    sent then, and the connection can't be reused. The rest of the body is
    received and dropped, since its sender may read the response only then.

    Args:
        connection: Connection on which the head of the request was sent.
        body: Body of the request, which nothing else may read.
        pending_response: The response to the request.
        chunked: Whether the body is sent without a stated length.

    Raises:
        ResponseLostError: There was no response, or the body is incomplete.
    """
    sending = create_task(_send_body(connection, body, chunked=chunked))
    try:
        return await pending_response
    finally:
        sending.cancel()
        body.discard()


async def _send_body(
    connection: ClientConnection,
    body: Body,
    *,
    chunked: bool,
) -> None:
    try:
        while chunk := await body.read():
            await connection.write(chunk, chunked=chunked)
    except IncompleteBodyError:
        connection.close()
        return
    await connection.write(b'', chunked=chunked)
