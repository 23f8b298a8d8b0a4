"""Encoding of gossip datagrams as MessagePack."""

from typing import Any, Final

from msgspec.msgpack import Encoder

from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_msgpack,
)
from bergamotshunt.peers.datagrams import MAX_DATAGRAM_BYTES, Datagram
from bergamotshunt.peers.member_checks import (
    MAX_NUMBER,
    is_usable_era,
    is_usable_event,
)
from bergamotshunt.value_checks import check_integer

ENCODER: Final = Encoder()


class OversizeError(ValueError):
    """An encoded datagram is larger than ``MAX_DATAGRAM_BYTES``."""


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram.

    Raises:
        OversizeError: The datagram is too large to be sent.
    """
    content = ENCODER.encode(datagram)
    if len(content) > MAX_DATAGRAM_BYTES:
        raise OversizeError(
            f'the datagram has {len(content)} bytes; '
            f'the limit is {MAX_DATAGRAM_BYTES}'
        )
    return content


def decode_datagram(content: bytes) -> Datagram | None:
    """Decode a datagram; return None when it is malformed.

    Updates with values that cannot be used are left out.
    """
    if len(content) > MAX_DATAGRAM_BYTES:
        return None
    try:
        datagram = parse_datagram(content)
    except MalformedInputError:
        return None
    return datagram._replace(
        events=tuple(filter(is_usable_event, datagram.events)),
        eras=tuple(filter(is_usable_era, datagram.eras)),
    )


def parse_datagram(content: bytes) -> Datagram:
    """Decode a datagram and check its numbers, but not its updates.

    Raises:
        MalformedInputError: The content is no datagram.
    """
    datagram = decode_msgpack(content, 'datagram', Datagram)
    with convert_malformed('datagram'):
        numbers = (
            datagram.process_id,
            datagram.sequence,
            datagram.revision,
            datagram.age_ms,
            *(datagram.load or ()),
        )
        for number in numbers:
            check_integer('number', number, 0, MAX_NUMBER)
    return datagram


def encoded_size(update: Any) -> int:
    """Return the encoded size of one update in bytes."""
    return len(ENCODER.encode(update))
