"""Token budget that bounds the extra load of retries and hedged requests."""

from typing import NamedTuple

MS_PER_S = 1000


class TokenBucketRule(NamedTuple):
    """How a budget fills.

    Attributes:
        share: Tokens that each first attempt adds.
        floor_per_s: Tokens that each second adds, so that a service with
            few requests can still retry.
        capacity: Most tokens held, which bounds a burst of retries.
    """

    share: float
    floor_per_s: float = 0.1
    capacity: float = 10


class TokenBucket(NamedTuple):
    """Tokens at a time; one token pays for one extra attempt."""

    tokens: float
    at_ms: float


def refill(
    bucket: TokenBucket, rule: TokenBucketRule, now_ms: float
) -> TokenBucket:
    """Add what the elapsed time and one first attempt are worth."""
    elapsed_s = max(now_ms - bucket.at_ms, 0) / MS_PER_S
    tokens = bucket.tokens + rule.share + elapsed_s * rule.floor_per_s
    return TokenBucket(min(tokens, rule.capacity), now_ms)


def has_token(bucket: TokenBucket) -> bool:
    """Return whether one extra attempt is paid for."""
    return bucket.tokens >= 1


def spend(bucket: TokenBucket) -> TokenBucket:
    """Pay for one extra attempt.

    Raises:
        ValueError: There is no token left.
    """
    if not has_token(bucket):
        raise ValueError('the budget is exhausted')
    return bucket._replace(tokens=bucket.tokens - 1)
