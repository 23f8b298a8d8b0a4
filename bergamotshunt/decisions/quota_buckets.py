"""Token buckets of the shards of quotas.

In any window, a bucket gives out at most its capacity and what flows in. The
permitted excess of a quota is divided between larger buckets, tokens that were
granted before the window and are spent in it, and a reserve for daemons that
reach no owner.
"""

from typing import Final, NamedTuple

from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ClientAccount

# Parts of the permitted excess; they add up to 1, as do those of the slack.
BUCKET_OVERAGE_SHARE: Final = 0.5
CREDIT_OVERAGE_SHARE: Final = 0.4
RESERVE_OVERAGE_SHARE: Final = 0.1
BUCKET_SLACK_SHARE: Final = 0.5
RESERVE_SLACK_SHARE: Final = 0.5


class BucketRule(NamedTuple):
    """How the token bucket of a shard is refilled.

    Attributes:
        rate_per_s: Tokens added per second.
        capacity: Largest number of tokens.
    """

    rate_per_s: float
    capacity: float


class Bucket(NamedTuple):
    """State of a token bucket; one token pays for one request.

    Attributes:
        rule: How it was refilled last.
        tokens: Tokens left.
        refilled_s: Boot time of the last refill.
    """

    rule: BucketRule
    tokens: float
    refilled_s: float


def window_limit(account: ClientAccount, bounds: Bounds) -> float:
    """Return the requests that a quota allows in a window."""
    return account.rate_per_s * bounds.quota_window_s + account.burst


def credit_lifetime_s(bounds: Bounds) -> float:
    """Return the time after which unused tokens expire at a daemon.

    What flows into the buckets in this time is spent in a window in addition
    to what is granted in it.
    """
    return CREDIT_OVERAGE_SHARE * bounds.quota_overage * bounds.quota_window_s


def shared_slack(bounds: Bounds) -> float:
    """Return the part of the capacity that does not depend on a limit."""
    return BUCKET_SLACK_SHARE * bounds.quota_slack


def create_rule(
    account: ClientAccount, bounds: Bounds, shards: int
) -> BucketRule:
    """Return the rule of each of an account's shards."""
    limit = window_limit(account, bounds)
    overage = BUCKET_OVERAGE_SHARE * bounds.quota_overage * limit
    capacity = account.burst + overage + shared_slack(bounds)
    return BucketRule(account.rate_per_s / shards, capacity / shards)


def refill(bucket: Bucket, now_s: float) -> Bucket:
    """Add the tokens for the elapsed time."""
    rule = bucket.rule
    elapsed_s = max(now_s - bucket.refilled_s, 0)
    tokens = bucket.tokens + elapsed_s * rule.rate_per_s
    refilled_s = max(now_s, bucket.refilled_s)
    return Bucket(rule, min(tokens, rule.capacity), refilled_s)


def change_rule(bucket: Bucket, rule: BucketRule, changed_s: float) -> Bucket:
    """Apply another rule from some time on.

    Tokens above a smaller capacity are lost; a larger one adds none.
    """
    refilled = refill(bucket, changed_s)
    return refilled._replace(
        rule=rule, tokens=min(refilled.tokens, rule.capacity)
    )


def wait_for_token_s(bucket: Bucket) -> float:
    """Return the time until the bucket has a whole token."""
    if bucket.tokens >= 1:
        return 0
    return (1 - bucket.tokens) / bucket.rule.rate_per_s
