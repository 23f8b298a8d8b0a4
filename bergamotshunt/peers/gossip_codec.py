"""Encoding of gossip datagrams as MessagePack."""

from typing import Any, Final

from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder

from bergamotshunt.peers.datagrams import MAX_DATAGRAM_BYTES, Datagram

ENCODER: Final = Encoder()
DECODER: Final = Decoder(Datagram)


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
        return DECODER.decode(content)
    except (DecodeError, UnicodeDecodeError):
        return None


def encoded_size(update: Any) -> int:
    """Return the encoded size of one update in bytes."""
    return len(ENCODER.encode(update))
