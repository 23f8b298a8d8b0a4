"""Encoding of gossip datagrams (MessagePack) and member lists (JSON)."""

from typing import Any, Final

from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder

from bergamotshunt.peers.datagrams import MAX_DATAGRAM_BYTES, Datagram

ENCODER: Final = Encoder()
DECODER: Final = Decoder(Datagram)


class OversizeError(ValueError):
    """A datagram is larger than ``MAX_DATAGRAM_BYTES``."""


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram.

    Raises:
        OversizeError: It does not fit; nothing may be sent.
    """
    content = ENCODER.encode(datagram)
    if len(content) > MAX_DATAGRAM_BYTES:
        raise OversizeError(f'datagram of {len(content)} bytes')
    return content


def decode_datagram(content: bytes) -> Datagram | None:
    """Decode a datagram; None when it is malformed."""
    if len(content) > MAX_DATAGRAM_BYTES:
        return None
    try:
        return DECODER.decode(content)
    except (DecodeError, UnicodeDecodeError):
        return None


def encoded_size(news: Any) -> int:
    """Return the encoded size of one piece of news in bytes."""
    return len(ENCODER.encode(news))
