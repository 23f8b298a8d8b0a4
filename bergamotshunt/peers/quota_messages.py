"""Datagrams about quotas between daemons, and their encoding."""

from typing import Final, NamedTuple

from msgspec.msgpack import encode

from bergamotshunt.decisions.quota_credits import MAX_COUNT
from bergamotshunt.decisions.quota_grants import GrantOutcome
from bergamotshunt.decisions.quota_shards import MAX_SHARDS
from bergamotshunt.decoding import convert_malformed, decode_msgpack
from bergamotshunt.value_checks import (
    check_header_text,
    check_integer,
    check_number,
)

MAX_INDEX: Final = MAX_SHARDS - 1


class QuotaDatagramError(ValueError):
    """A quota datagram is malformed."""


class QuotaRequest(NamedTuple):
    """Request for tokens of a shard.

    Attributes:
        sequence: Identifies the request among those of its sender.
        account: Name of the account.
        shard: Index of the shard among those of the account.
        tokens: Number of tokens.
        version: Version of the configuration in force at the sender.
    """

    sequence: int
    account: str
    shard: int
    tokens: int
    version: int


class QuotaGrant(NamedTuple):
    """Answer of the owner of a shard.

    Attributes:
        sequence: That of the request.
        account: Name of the account.
        shard: Index of the shard.
        tokens: Number of tokens granted.
        retry_after_ms: Time until the owner expects to have a token.
        outcome: Why it granted tokens, or none.
    """

    sequence: int
    account: str
    shard: int
    tokens: int
    retry_after_ms: float
    outcome: GrantOutcome


class QuotaReturn(NamedTuple):
    """A granted token whose request did not run.

    Attributes:
        sequence: That of the request that got the token.
        account: Name of the account.
        shard: Index of the shard.
        number: Number of the token among those granted together.
    """

    sequence: int
    account: str
    shard: int
    number: int


class QuotaDatagram(NamedTuple):
    """A message about quotas; exactly one field is set."""

    request: QuotaRequest | None = None
    grant: QuotaGrant | None = None
    returned: QuotaReturn | None = None


def encode_quota_datagram(datagram: QuotaDatagram) -> bytes:
    """Encode a quota datagram as MessagePack."""
    return encode(datagram)


def decode_quota_datagram(content: bytes) -> QuotaDatagram:
    """Decode a quota datagram.

    Raises:
        QuotaDatagramError: It is malformed.
    """
    with convert_malformed('malformed quota datagram', QuotaDatagramError):
        datagram = decode_msgpack(content, 'datagram', QuotaDatagram)
        messages = [message for message in datagram if message is not None]
        if len(messages) != 1:
            raise ValueError(f'{len(messages)} messages: expected one')
        _check_message(messages[0])
        return datagram


def _check_message(message: QuotaRequest | QuotaGrant | QuotaReturn) -> None:
    check_integer('sequence', message.sequence)
    check_header_text('account', message.account)
    check_integer('shard', message.shard, maximum=MAX_INDEX)
    match message:
        case QuotaRequest():
            check_integer('count', message.tokens, 1, MAX_COUNT)
            check_integer('version', message.version)
        case QuotaGrant():
            check_integer('count', message.tokens, maximum=MAX_COUNT)
            check_number('retry time', message.retry_after_ms)
        case QuotaReturn():
            check_integer('number', message.number, maximum=MAX_COUNT)
