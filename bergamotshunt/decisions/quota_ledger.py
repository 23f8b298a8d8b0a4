"""The owner's side of quotas: token buckets of the shards that it owns."""

from collections.abc import Mapping
from math import inf
from typing import Any, Final, NamedTuple

from bergamotshunt.decisions.quota_buckets import (
    Bucket,
    BucketRule,
    change_rule,
    create_rule,
    refill,
    shared_slack,
    wait_for_token_s,
)
from bergamotshunt.decisions.quota_grants import (
    Grant,
    GrantOutcome,
    ShardKey,
    ShardRequest,
)
from bergamotshunt.decisions.quota_ownership import CONTACT_LIMIT_S, Ownership
from bergamotshunt.decisions.quota_returns import (
    GrantId,
    GrantRecords,
    LevelHistory,
)
from bergamotshunt.decisions.quota_shards import (
    Shard,
    list_shards,
    max_shards,
)
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ClientAccount

MS_PER_S: Final = 1000
# Accounts whose buckets are described, those with the least tokens first.
MAX_DESCRIBED: Final = 100


class OwnedBucket(NamedTuple):
    """The bucket of a shard that this daemon owns.

    Attributes:
        bucket: Its tokens.
        checked_revision: Revision of the ownership at its last check.
        history: Its last levels.
        promised_until_s: Boot time until which all tokens that flow in are
            promised to refused requests.
    """

    bucket: Bucket
    checked_revision: int
    history: LevelHistory
    promised_until_s: float = -inf


class QuotaLedger:
    """Buckets of the shards that one daemon owns; time is boot time.

    Args:
        ownership: Shards that the daemon owns.
        zones: All availability zones of the deployment.
        bounds: Window and permitted excess of quotas.
    """

    def __init__(
        self, ownership: Ownership, zones: tuple[str, ...], bounds: Bounds
    ) -> None:
        """Create a ledger without accounts."""
        self._ownership = ownership
        self._zones = zones
        self._bounds = bounds
        self._max_shards = max_shards(shared_slack(bounds))
        self._accounts: Mapping[str, ClientAccount] = {}
        self._accounts_since_s: float = inf
        # Only of accounts whose limits changed after the first version.
        self._changed_s_by_account: dict[str, float] = {}
        self._confirmed_s: float = -inf
        self._buckets_by_key: dict[ShardKey, OwnedBucket] = {}
        self._grants = GrantRecords()

    def update_accounts(
        self, accounts: Mapping[str, ClientAccount], now_s: float
    ) -> None:
        """Apply the accounts of a newer configuration."""
        if self._accounts_since_s == inf:
            self._accounts_since_s = now_s
        else:
            self._record_changes(accounts, now_s)
        self._accounts = accounts
        self._buckets_by_key = {
            key: owned
            for key, owned in self._buckets_by_key.items()
            if key.account in accounts
        }

    def confirm(self, confirmed_s: float) -> None:
        """Record when this daemon was surely in contact."""
        self._confirmed_s = max(self._confirmed_s, confirmed_s)

    def confirmation_age_s(self, now_s: float) -> float:
        """Return the time since this daemon was surely in contact."""
        return now_s - self._confirmed_s

    def shards(self, account: str) -> tuple[Shard, ...]:
        """Return the shards of an account."""
        return list_shards(account, self._zones, self._max_shards)

    def grant(self, request: ShardRequest, holder: str, now_s: float) -> Grant:
        """Grant tokens of a shard, at most as many as requested.

        Args:
            request: The request; a repeated one gets the same tokens again.
            holder: Address of the daemon that sent it.
            now_s: Boot time.
        """
        key, count = request.key, request.tokens
        grant_id = GrantId(holder, request.sequence, key)
        earlier = self._grants.get(grant_id)
        if earlier is not None:
            return Grant(GrantOutcome.GRANTED, earlier.tokens)
        owned = self._find_bucket(key, now_s)
        if isinstance(owned, GrantOutcome):
            return Grant(owned)
        granted = min(count, int(owned.bucket.tokens))
        if not granted:
            return self._refuse(key, owned, count, now_s)
        self._grants.add(grant_id, granted, now_s)
        owned.history.record(owned.bucket.tokens, now_s)
        self._add_tokens(key, owned, -granted)
        return Grant(GrantOutcome.GRANTED, granted)

    def take_back(
        self, request: ShardRequest, holder: str, number: int, now_s: float
    ) -> bool:
        """Add a token whose request did not run, if the bound permits it.

        Args:
            request: The request that got it.
            holder: Address of the daemon that sent the request.
            number: Number of the token among those of the grant.
            now_s: Boot time.
        """
        key = request.key
        owned = self._find_bucket(key, now_s)
        if isinstance(owned, GrantOutcome):
            return False
        grant_id = GrantId(holder, request.sequence, key)
        grant = self._grants.take_back(grant_id, number)
        if grant is None:
            return False
        bucket = owned.bucket
        owned.history.record(bucket.tokens, now_s)
        has_room = owned.history.add_returned(
            grant.granted_s, bucket.rule.capacity, now_s
        )
        if has_room:
            self._add_tokens(key, owned, 1)
        return has_room

    def tokens(self, key: ShardKey) -> float:
        """Return the tokens of a shard after the last request for it."""
        owned = self._buckets_by_key.get(key)
        return owned.bucket.tokens if owned else 0

    def describe(self, now_s: float) -> dict[str, dict[str, Any]]:
        """Return the owned shards by account, the emptiest first."""
        buckets = {
            key: refill(owned.bucket, now_s)
            for key, owned in self._buckets_by_key.items()
        }
        by_account: dict[str, dict[str, Any]] = {}
        ranked = sorted(
            buckets.items(),
            key=lambda pair: pair[1].tokens / max(pair[1].rule.capacity, 1),
        )
        for key, bucket in ranked[:MAX_DESCRIBED]:
            zone, number = self.shards(key.account)[key.shard]
            by_account.setdefault(key.account, {})[f'{zone}/{number}'] = {
                'tokens': round(bucket.tokens, 1),
                'capacity': round(bucket.rule.capacity, 1),
                'rate_per_s': round(bucket.rule.rate_per_s, 2),
            }
        return by_account

    def _record_changes(
        self, accounts: Mapping[str, ClientAccount], now_s: float
    ) -> None:
        changed_s_by_account = {}
        for name, account in accounts.items():
            if _has_same_limit(account, self._accounts.get(name)):
                changed_s = self._changed_s_by_account.get(name)
            else:
                changed_s = now_s
            if changed_s is not None:
                changed_s_by_account[name] = changed_s
        self._changed_s_by_account = changed_s_by_account

    def _find_bucket(
        self, key: ShardKey, now_s: float
    ) -> OwnedBucket | GrantOutcome:
        """Return the refilled bucket, or why this daemon may not grant."""
        account = self._accounts.get(key.account)
        if account is None or account.rate_per_s <= 0:
            return GrantOutcome.UNKNOWN_ACCOUNT
        shards = self.shards(key.account)
        from_s = None
        if key.shard < len(shards):
            from_s = self._check_ownership(key, shards[key.shard])
        if from_s is None:
            return GrantOutcome.NO_OWNER
        outcome = self._check_time(from_s, now_s)
        if outcome is not None:
            return outcome
        rule = create_rule(account, self._bounds, len(shards))
        return self._refill(key, rule, from_s, now_s)

    def _check_time(self, from_s: float, now_s: float) -> GrantOutcome | None:
        """Return why this daemon may not grant now, if so."""
        if now_s < from_s:
            return GrantOutcome.STARTING
        if self.confirmation_age_s(now_s) >= CONTACT_LIMIT_S:
            return GrantOutcome.UNCONFIRMED
        return None

    def _check_ownership(self, key: ShardKey, shard: Shard) -> float | None:
        """Return the time from which this daemon may grant tokens."""
        owned = self._buckets_by_key.get(key)
        revision = self._ownership.revision
        if owned is not None and owned.checked_revision == revision:
            return -inf
        from_s = self._ownership.grants_from_s(key.account, shard)
        if owned is None:
            return from_s
        is_kept = from_s is not None and from_s <= owned.bucket.refilled_s
        if is_kept:
            self._buckets_by_key[key] = owned._replace(
                checked_revision=revision
            )
        else:
            # Another daemon owned the shard in the meantime.
            self._buckets_by_key.pop(key)
        return from_s

    def _refill(
        self, key: ShardKey, rule: BucketRule, from_s: float, now_s: float
    ) -> OwnedBucket:
        owned = self._buckets_by_key.get(key)
        changed_s = self._changed_s_by_account.get(
            key.account, self._accounts_since_s
        )
        if owned is None:
            # Nobody has taken tokens since this daemon may grant them.
            start_s = max(from_s, changed_s)
            owned = OwnedBucket(
                Bucket(rule, 0, start_s),
                self._ownership.revision,
                LevelHistory(start_s),
            )
        bucket = owned.bucket
        if bucket.rule != rule:
            bucket = change_rule(bucket, rule, changed_s)
            owned = owned._replace(history=LevelHistory(now_s))
        owned = owned._replace(bucket=refill(bucket, now_s))
        self._buckets_by_key[key] = owned
        return owned

    def _add_tokens(
        self, key: ShardKey, owned: OwnedBucket, count: int
    ) -> None:
        bucket = owned.bucket
        bucket = bucket._replace(tokens=bucket.tokens + count)
        self._buckets_by_key[key] = owned._replace(bucket=bucket)

    def _refuse(
        self, key: ShardKey, owned: OwnedBucket, count: int, now_s: float
    ) -> Grant:
        """Promise the tokens that flow in next to the refused requests."""
        rule = owned.bucket.rule
        token_s = now_s + wait_for_token_s(owned.bucket)
        free_s = max(owned.promised_until_s, token_s)
        free_s = min(free_s, now_s + self._bounds.quota_window_s)
        # The daemon asks the other shards as well, and each promises a part.
        share_s = count / rule.rate_per_s / len(self.shards(key.account))
        self._buckets_by_key[key] = owned._replace(
            promised_until_s=free_s + share_s
        )
        return Grant(GrantOutcome.EMPTY, 0, (free_s - now_s) * MS_PER_S)


def _has_same_limit(
    account: ClientAccount, known: ClientAccount | None
) -> bool:
    if known is None:
        return False
    same_rate = account.rate_per_s == known.rate_per_s
    return same_rate and account.burst == known.burst
