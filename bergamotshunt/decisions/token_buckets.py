"""Token bucket that bounds the extra load of retries and hedged requests."""

from typing import NamedTuple

MS_PER_S = 1000


class TokenBucketRule(NamedTuple):
    """How a token bucket is refilled.

    Attributes:
        share: Tokens added per first attempt.
        floor_per_s: Tokens added per second, so that a service with few
            requests can still retry.
        capacity: Largest number of tokens, which bounds a burst of retries.
    """

    share: float
    floor_per_s: float = 0.1
    capacity: float = 10


class TokenBucket(NamedTuple):
    """State of a token bucket; one token pays for one extra attempt.

    Attributes:
        tokens: Tokens left.
        at_ms: Monotonic time of the last refill.
    """

    tokens: float
    at_ms: float


def refill(
    bucket: TokenBucket, rule: TokenBucketRule, now_ms: float
) -> TokenBucket:
    """Add the tokens for the elapsed time and for one first attempt."""
    elapsed_s = max(now_ms - bucket.at_ms, 0) / MS_PER_S
    tokens = bucket.tokens + rule.share + elapsed_s * rule.floor_per_s
    return TokenBucket(min(tokens, rule.capacity), now_ms)


def has_token(bucket: TokenBucket) -> bool:
    """Return whether there is a token for one extra attempt."""
    return bucket.tokens >= 1


def spend(bucket: TokenBucket) -> TokenBucket:
    """Take the token of one extra attempt.

    Raises:
        ValueError: There is less than one token.
    """
    if not has_token(bucket):
        raise ValueError(
            f'expected at least 1 token in the bucket, got {bucket.tokens:.2f}',
        )
    return bucket._replace(tokens=bucket.tokens - 1)
