"""Decoding of the responses of the platform's key-value store."""

from contextlib import AbstractContextManager
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_base64,
    decode_json,
)
from bergamotshunt.http.heads import ResponseHead
from bergamotshunt.platform.names import STORE_ERA
from bergamotshunt.platform.store_errors import (
    ERRORS_BY_STATUS,
    ConflictError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
from bergamotshunt.stored_items import Item
from bergamotshunt.value_checks import check_integer, check_string

MAX_STORE_INTEGER: Final = 2**64 - 1
ERA_HEADER: Final = STORE_ERA.lower()


def read_response(call: str, status: int, content: bytes) -> Any:
    """Return the document of a response.

    Args:
        call: Method and path of the call, for errors.
        status: HTTP status.
        content: Body.

    Raises:
        StoreError: The call was not successful.
    """
    if status == HTTPStatus.OK:
        return _decode(call, content)
    if status == HTTPStatus.PRECONDITION_FAILED:
        with convert_malformed_call(call):
            entries = _decode(call, content)['items']
            items = tuple(read_item(entry) for entry in entries)
        raise ConflictError(items)
    error_type = ERRORS_BY_STATUS.get(status, StoreUnavailableError)
    error = error_type(f'the store returned status {status} to {call}')
    error.status = status
    raise error


def read_era(head: ResponseHead) -> int:
    """Return the era of the store; 0 for a store that states none.

    Raises:
        OutcomeUnknownError: The era is malformed.
    """
    with convert_malformed_call('any call'):
        return read_integer('era', head.by_name.get(ERA_HEADER, b'0'))


def convert_malformed_call(call: str) -> AbstractContextManager[None]:
    """Convert errors of a malformed response to errors of the call."""
    return convert_malformed(
        f'malformed response of the store to {call}', OutcomeUnknownError
    )


def read_integer(name: str, number: Any) -> int:
    """Return an integer of the store, which may be written as a string.

    Raises:
        ValueError: It is no integer, or out of range.
    """
    return check_integer(name, int(number), maximum=MAX_STORE_INTEGER)


def read_item(entry: dict[str, Any]) -> Item:
    """Return the item that an entry of a listing or an event describes."""
    # An event without "value" is the deletion of its key.
    stored = entry.get('value')
    is_removed = entry.get('tombstone') or not isinstance(stored, str)
    return Item(
        key=check_string('key', entry['key']),
        content=None if is_removed else _read_content(str(stored)),
        revision=read_integer('revision', entry.get('revision', 0)),
        lease=read_integer('lease', entry.get('lease') or 0),
    )


def _decode(call: str, content: bytes) -> Any:
    with convert_malformed_call(call):
        return decode_json(content, 'body') if content else {}


def _read_content(stored: str) -> bytes:
    """Decode a value; return empty bytes when it is not base64.

    Other writers may store such values.
    """
    try:
        return decode_base64(stored, 'value')
    except MalformedInputError:
        return b''
