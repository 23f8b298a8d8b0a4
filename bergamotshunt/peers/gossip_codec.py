"""Encoding of gossip datagrams as MessagePack."""

from typing import Any, Final

from msgspec.msgpack import Encoder

from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_msgpack,
)
from bergamotshunt.peers.datagrams import MAX_DATAGRAM_BYTES, Datagram
from bergamotshunt.peers.members import check_member
from bergamotshunt.value_checks import MAX_INTEGER, check_integer

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
    """Decode a datagram; return None when it is malformed."""
    if len(content) > MAX_DATAGRAM_BYTES:
        return None
    try:
        with convert_malformed('malformed gossip datagram'):
            return _check_datagram(
                decode_msgpack(content, 'datagram', Datagram)
            )
    except MalformedInputError:
        return None


def _check_datagram(datagram: Datagram) -> Datagram:
    check_integer('process', datagram.process_id)
    check_integer('sequence', datagram.sequence)
    check_integer('revision', datagram.revision)
    check_integer('age', datagram.age_ms, -MAX_INTEGER)
    for field in datagram.load or ():
        check_integer('load', field)
    for event in datagram.events:
        check_integer('incarnation', event.incarnation)
        if event.record is not None:
            check_member(event.record)
    for update in datagram.eras:
        check_integer('process', update.process_id)
        check_integer('era', update.era)
    return datagram


def encoded_size(update: Any) -> int:
    """Return the encoded size of one update in bytes."""
    return len(ENCODER.encode(update))
