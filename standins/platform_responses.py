"""Responses of the platform stand-in, encoded as in the protocol."""

from typing import Any

from msgspec.json import encode
from starlette.responses import Response

from standins.platform_data import RejectedCallError


async def abort_connection(transport: Any, receive: Any) -> None:
    """Abort a connection without a response and wait for its end."""
    transport.abort()
    while (await receive())['type'] != 'http.disconnect':
        pass


def create_json_response(document: Any) -> Response:
    """Return a response with a JSON document."""
    return Response(encode(document), media_type='application/json')


def encode_line(document: Any) -> bytes:
    """Return one message of a watch stream as a line of JSON."""
    return encode({'result': document}) + b'\n'


def create_error_response(error: RejectedCallError) -> Response:
    """Return the error response of a rejected call."""
    document = {'error': str(error), 'code': error.code, 'message': str(error)}
    return Response(
        encode(document), error.status, media_type='application/json'
    )
