"""Decoding of input that other writers produced.

The entries of a store, the bodies, headers and datagrams of peers may hold
anything. The functions of this module turn each failure to decode them into
``MalformedInputError``, or into the error of the module that reads them.
"""

from base64 import b64decode
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final, TypeVar

from msgspec import MsgspecError
from msgspec import json as json_codec
from msgspec import msgpack as msgpack_codec

# Raised while decoding bytes or reading fields of any type. msgspec raises
# RecursionError for deeply nested documents.
DECODING_ERRORS: Final = (
    MsgspecError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# Bounds log lines: the text of an error may repeat the input.
MAX_REASON_CHARACTERS: Final = 200

Decoded = TypeVar('Decoded')


class MalformedInputError(ValueError):
    """Input cannot be decoded, or holds a value that is not allowed."""


def describe_error(error: BaseException) -> str:
    """Return the type and the shortened text of an error."""
    text = str(error)
    if len(text) > MAX_REASON_CHARACTERS:
        text = f'{text[:MAX_REASON_CHARACTERS]}...'
    return f'{type(error).__name__}: {text}'


@contextmanager
def convert_malformed(
    subject: str,
    error_type: Callable[[str], Exception] = MalformedInputError,
) -> Iterator[None]:
    """Convert errors of decoding and of reading fields.

    Args:
        subject: What is decoded, for the text of the error.
        error_type: Error to raise.

    Raises:
        Exception: ``error_type``, for any of ``DECODING_ERRORS``.
    """
    try:
        yield
    except MalformedInputError as malformed:
        raise error_type(f'{subject}: {malformed}') from malformed
    except DECODING_ERRORS as error:
        raise error_type(f'{subject}: {describe_error(error)}') from error


def decode_json(content: bytes, subject: str, document_type: Any = Any) -> Any:
    """Decode JSON into a type.

    Raises:
        MalformedInputError: The content is not JSON of this type.
    """
    try:
        return json_codec.decode(content, type=document_type)
    except DECODING_ERRORS as error:
        raise _create_error(subject, error) from error


def decode_msgpack(
    content: bytes,
    subject: str,
    document_type: type[Decoded],
) -> Decoded:
    """Decode MessagePack into a type.

    Raises:
        MalformedInputError: The content is not MessagePack of this type.
    """
    try:
        return msgpack_codec.decode(content, type=document_type)
    except DECODING_ERRORS as error:
        raise _create_error(subject, error) from error


def decode_base64(text: str, subject: str) -> bytes:
    """Decode standard base64 with padding.

    Raises:
        MalformedInputError: The text is not base64.
    """
    try:
        return b64decode(text, validate=True)
    except DECODING_ERRORS as error:
        raise _create_error(subject, error) from error


def _create_error(subject: str, error: Exception) -> MalformedInputError:
    return MalformedInputError(f'{subject}: {describe_error(error)}')
