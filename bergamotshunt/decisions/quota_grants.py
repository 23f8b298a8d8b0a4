"""Requests for tokens of a quota, and what their owners grant."""

from enum import StrEnum
from typing import Final, NamedTuple


class GrantOutcome(StrEnum):
    """Why an owner granted tokens, or none."""

    GRANTED = 'granted'
    EMPTY = 'empty'
    NO_OWNER = 'no-owner'
    STARTING = 'starting'
    UNCONFIRMED = 'unconfirmed'
    UNKNOWN_ACCOUNT = 'unknown-account'


# Outcomes that state how many tokens the shard has.
CONCLUSIVE_OUTCOMES: Final = frozenset(
    (GrantOutcome.GRANTED, GrantOutcome.EMPTY)
)


class ShardKey(NamedTuple):
    """A shard of an account, by its index among the account's shards."""

    account: str
    shard: int


class ShardRequest(NamedTuple):
    """Request for tokens of a shard.

    Attributes:
        sequence: Identifies the request among those of its sender.
        key: The shard.
        tokens: Number of tokens.
        owner: Address of its owner.
    """

    sequence: int
    key: ShardKey
    tokens: int
    owner: str


class Grant(NamedTuple):
    """Tokens that an owner granted, or the reason why it granted none.

    Attributes:
        outcome: The reason.
        tokens: Number of tokens.
        retry_after_ms: Time after which the owner expects to have a token
            that it has promised to nobody else; 0 if it cannot tell.
    """

    outcome: GrantOutcome
    tokens: int = 0
    retry_after_ms: float = 0


class Credit(NamedTuple):
    """A token that a daemon holds or has spent.

    Attributes:
        account: Name of the account.
        expiry_s: Boot time at which it expires.
        request: The request that got it; None if it is of the reserve.
        number: Its number among the tokens that the request got.
    """

    account: str
    expiry_s: float
    request: ShardRequest | None
    number: int = 0
