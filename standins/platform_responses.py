"""Responses of the platform stand-in in the form of the protocol."""

from typing import Any

from msgspec.json import encode
from starlette.responses import Response

from standins.platform_data import RejectedCallError


async def abort_connection(transport: Any, receive: Any) -> None:
    """Close a connection without a response."""
    transport.abort()
    while (await receive())['type'] != 'http.disconnect':
        pass


def create_json_response(document: Any) -> Response:
    """Answer with a JSON document."""
    return Response(encode(document), media_type='application/json')


def encode_line(document: Any) -> bytes:
    """Encode one message of a stream."""
    return encode({'result': document}) + b'\n'


def create_error_response(error: RejectedCallError) -> Response:
    """Answer with an error of the protocol."""
    document = {'error': str(error), 'code': error.code, 'message': str(error)}
    return Response(
        encode(document), error.status, media_type='application/json'
    )
