"""Order in which a daemon asks the owners of an account's shards for tokens."""

from collections.abc import Mapping
from itertools import islice
from typing import Any, Final, NamedTuple

from xxhash import xxh64_intdigest

from bergamotshunt.decisions.quota_buckets import (
    credit_lifetime_s,
    shared_slack,
)
from bergamotshunt.decisions.quota_credits import MAX_COUNT, Reserve
from bergamotshunt.decisions.quota_grants import (
    CONCLUSIVE_OUTCOMES,
    Credit,
    Grant,
    GrantOutcome,
    ShardKey,
    ShardRequest,
)
from bergamotshunt.decisions.quota_ownership import Ownership
from bergamotshunt.decisions.quota_shards import (
    list_shards,
    max_shards,
    order_shards,
)
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ClientAccount

MS_PER_S: Final = 1000
# A daemon sends fewer requests than this per second.
SEQUENCES_PER_S: Final = 1_000_000
# Owners and held shards that are kept; bounds the memory.
MAX_CACHED: Final = 10_000
MAX_DESCRIBED: Final = 100
# Time within which an owner has to answer before the next one is asked.
ANSWER_TIMEOUT_S: Final = 0.02
# An owner that did not answer is not asked for this time.
SILENT_HOLD_S: Final = 0.5
# Longest time for which a shard without tokens is not asked again.
MAX_EMPTY_HOLD_S: Final = 0.05
# Time after which a request may be sent again when no owner answers.
UNANSWERED_RETRY_MS: Final = 500.0


class AskResult(NamedTuple):
    """Tokens that were granted, or that there are none.

    Attributes:
        account: Name of the account.
        granted: The tokens.
        retry_after_ms: Time until a shard expects to have a token.
        is_final: Whether no more tokens follow for the requests that waited.
        is_answered: Whether an owner told how many tokens its shard has.
    """

    account: str
    granted: tuple[Credit, ...] = ()
    retry_after_ms: float = 0
    is_final: bool = True
    is_answered: bool = True


class AskSteps(NamedTuple):
    """What to do next: send a request, pass on a result, or both."""

    request: ShardRequest | None = None
    reply: AskResult | None = None


class Ask(NamedTuple):
    """The requests for tokens of one account that follow each other.

    Attributes:
        account: Name of the account.
        needed: Requests that still wait for a token.
        wanted: Tokens to ask for.
        asked_s: Boot time of the first request.
        remaining: Indexes of the shards that were not asked yet.
        retry_after_ms: Shortest time that a shard told; None if none did.
        granted: Tokens granted so far.
    """

    account: str
    needed: int
    wanted: int
    asked_s: float
    remaining: tuple[int, ...]
    retry_after_ms: float | None = None
    granted: int = 0


class PendingRequest(NamedTuple):
    """A request to an owner whose answer is due.

    Attributes:
        request: The request.
        ask: The requests to which it belongs.
        sent_s: Boot time at which it was sent.
        is_late: Whether another owner was asked since.
    """

    request: ShardRequest
    ask: Ask
    sent_s: float
    is_late: bool = False


class QuotaAsker:
    """Asks owners for tokens, one after the other; time is boot time.

    Args:
        own_ip: Address of the daemon.
        own_zone: Its availability zone.
        zones: All availability zones of the deployment.
        bounds: Window and permitted excess of quotas.
        ownership: Members of the fleet as this daemon knows them.
        started_s: Boot time of the start of this process.
    """

    def __init__(
        self,
        own_ip: str,
        own_zone: str,
        zones: tuple[str, ...],
        bounds: Bounds,
        ownership: Ownership,
        started_s: float,
    ) -> None:
        """Create an asker that knows no account."""
        self._own_ip = own_ip
        self._own_zone = own_zone
        self._zones = zones
        self._ownership = ownership
        self._max_shards = max_shards(shared_slack(bounds))
        self._lifetime_s = credit_lifetime_s(bounds)
        self._reserve = Reserve(bounds, started_s)
        self._accounts: Mapping[str, ClientAccount] = {}
        # Continues after the numbers of the previous process on this host.
        self._sequence = int(started_s * SEQUENCES_PER_S)
        self._max_daemons = 0
        self._pending_by_sequence: dict[int, PendingRequest] = {}
        self._silent_until_s_by_ip: dict[str, float] = {}
        self._empty_until_s_by_key: dict[ShardKey, float] = {}
        # Addresses of the owners of an account's shards, by index.
        self._owners_by_account: dict[str, tuple[str, ...]] = {}
        self._rank_by_account: dict[str, int] = {}

    def update_accounts(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Apply the accounts of a newer configuration."""
        self._accounts = accounts
        self._empty_until_s_by_key.clear()

    def handle_members_changed(self) -> None:
        """Drop what was derived from the members before."""
        self._owners_by_account.clear()
        self._rank_by_account.clear()
        count = sum(map(len, self._ownership.ips_by_zone.values()))
        # A daemon that sees few others for a while must not take their share.
        self._max_daemons = max(self._max_daemons, count)

    def start(
        self, account: str, needed: int, wanted: int, now_s: float
    ) -> AskSteps:
        """Start to ask for tokens of an account.

        Args:
            account: Name of the account.
            needed: Requests that wait for a token.
            wanted: Tokens to ask for, at least ``needed``.
            now_s: Boot time.
        """
        self._drop_expired(now_s)
        owners = self.owners(account)
        shards = list_shards(account, self._zones, self._max_shards)
        order = order_shards(account, shards, self._own_ip, self._own_zone)
        known = tuple(index for index in order if owners[index])
        audible = tuple(
            index
            for index in known
            if self._silent_until_s_by_ip.get(owners[index], 0) <= now_s
        )
        ask = Ask(account, needed, wanted, now_s, audible or known[:1])
        return self._ask_next(ask, now_s)

    def handle_grant(
        self, sequence: int, sender: str, grant: Grant, now_s: float
    ) -> AskSteps:
        """Handle the answer of an owner, which may be late or repeated."""
        pending = self._pending_by_sequence.get(sequence)
        if pending is None or pending.request.owner != sender:
            return AskSteps()
        self._pending_by_sequence.pop(sequence)
        self._silent_until_s_by_ip.pop(sender, None)
        request, ask = pending.request, pending.ask
        expiry_s = pending.sent_s + self._lifetime_s
        granted: tuple[Credit, ...] = ()
        if now_s < expiry_s:
            granted = _create_credits(request, grant.tokens, expiry_s)
        if grant.outcome is GrantOutcome.EMPTY:
            self._hold_empty(request.key, grant.retry_after_ms, now_s)
        if pending.is_late:
            return _late_steps(ask, granted)
        ask = _record(ask, grant, len(granted))
        if granted and ask.granted >= ask.needed:
            return AskSteps(reply=AskResult(ask.account, granted))
        steps = self._ask_next(ask, now_s)
        if not granted:
            return steps
        reply = steps.reply or AskResult(ask.account, is_final=False)
        return steps._replace(reply=reply._replace(granted=granted))

    def handle_timeout(self, sequence: int, now_s: float) -> AskSteps:
        """Ask the next owner if the last one has not answered."""
        pending = self._pending_by_sequence.get(sequence)
        if pending is None or pending.is_late:
            return AskSteps()
        self._pending_by_sequence[sequence] = pending._replace(is_late=True)
        self._silent_until_s_by_ip = {
            ip: until_s
            for ip, until_s in self._silent_until_s_by_ip.items()
            if until_s > now_s
        }
        self._silent_until_s_by_ip[pending.request.owner] = (
            now_s + SILENT_HOLD_S
        )
        return self._ask_next(pending.ask, now_s)

    def owners(self, account: str) -> tuple[str, ...]:
        """Return the owners of an account's shards; empty texts for none."""
        owners = self._owners_by_account.get(account)
        if owners is None:
            shards = list_shards(account, self._zones, self._max_shards)
            owners = tuple(
                self._ownership.owner(account, shard) for shard in shards
            )
            if len(self._owners_by_account) >= MAX_CACHED:
                self._owners_by_account.clear()
            self._owners_by_account[account] = owners
        return owners

    def describe(self, now_s: float) -> dict[str, Any]:
        """Return the owners that were asked, and those that do not answer."""
        return {
            'owners': {
                account: self._describe_owners(account)
                for account in islice(self._owners_by_account, MAX_DESCRIBED)
            },
            'silent_owners': sorted(
                ip
                for ip, until_s in self._silent_until_s_by_ip.items()
                if until_s > now_s
            ),
        }

    def _describe_owners(self, account: str) -> dict[str, str]:
        shards = list_shards(account, self._zones, self._max_shards)
        return {
            f'{shard.zone}/{shard.number}': owner
            for shard, owner in zip(
                shards, self._owners_by_account[account], strict=True
            )
        }

    def _ask_next(self, ask: Ask, now_s: float) -> AskSteps:
        owners = self.owners(ask.account)
        for position, index in enumerate(ask.remaining):
            key = ShardKey(ask.account, index)
            empty_until_s = self._empty_until_s_by_key.get(key, 0)
            # The shards may have changed since the ask started.
            if index >= len(owners) or not owners[index]:
                continue
            if empty_until_s > now_s:
                held_ms = (empty_until_s - now_s) * MS_PER_S
                ask = _record(ask, Grant(GrantOutcome.EMPTY, 0, held_ms), 0)
                continue
            after = position + 1
            rest = ask._replace(remaining=ask.remaining[after:])
            return AskSteps(request=self._send(rest, key, owners[index], now_s))
        return AskSteps(reply=self._finish(ask, now_s))

    def _send(
        self, ask: Ask, key: ShardKey, owner: str, now_s: float
    ) -> ShardRequest:
        self._sequence += 1
        # Only the first owner is asked for more than is needed at once.
        count = min(ask.needed - ask.granted, MAX_COUNT)
        if ask.retry_after_ms is None and not ask.granted:
            count = ask.wanted
        request = ShardRequest(self._sequence, key, count, owner)
        pending = PendingRequest(request, ask, now_s)
        self._pending_by_sequence[self._sequence] = pending
        return request

    def _finish(self, ask: Ask, now_s: float) -> AskResult:
        if ask.retry_after_ms is not None or ask.granted:
            retry_after_ms = ask.retry_after_ms
            if retry_after_ms is None:
                retry_after_ms = UNANSWERED_RETRY_MS
            return AskResult(ask.account, retry_after_ms=retry_after_ms)
        return AskResult(
            ask.account,
            self._take_reserve(ask, now_s),
            UNANSWERED_RETRY_MS,
            is_answered=False,
        )

    def _take_reserve(self, ask: Ask, now_s: float) -> tuple[Credit, ...]:
        account = self._accounts.get(ask.account)
        if account is None:
            return ()
        rank = self._rank(ask.account)
        credit = Credit(ask.account, now_s + self._lifetime_s, None)
        taken: list[Credit] = []
        while len(taken) < ask.needed and self._reserve.take(
            account, rank, self._max_daemons, now_s
        ):
            taken.append(credit)
        return tuple(taken)

    def _rank(self, account: str) -> int:
        """Return the rank of this daemon for an account's reserve."""
        rank = self._rank_by_account.get(account)
        if rank is None:
            own = _reserve_rank(account, self._own_ip)
            rank = sum(
                _reserve_rank(account, ip) < own
                for ips in self._ownership.ips_by_zone.values()
                for ip in ips
            )
            self._rank_by_account[account] = rank
        return rank

    def _hold_empty(
        self, key: ShardKey, retry_after_ms: float, now_s: float
    ) -> None:
        if len(self._empty_until_s_by_key) >= MAX_CACHED:
            self._empty_until_s_by_key.clear()
        hold_s = min(retry_after_ms / MS_PER_S, MAX_EMPTY_HOLD_S)
        self._empty_until_s_by_key[key] = now_s + hold_s

    def _drop_expired(self, now_s: float) -> None:
        for sequence, pending in tuple(self._pending_by_sequence.items()):
            if pending.sent_s + self._lifetime_s > now_s:
                break
            self._pending_by_sequence.pop(sequence)


def _record(ask: Ask, grant: Grant, granted: int) -> Ask:
    """Return the ask after the answer of an owner."""
    if grant.outcome not in CONCLUSIVE_OUTCOMES:
        return ask
    known_ms = ask.retry_after_ms
    if grant.outcome is GrantOutcome.EMPTY:
        retry_after_ms = grant.retry_after_ms
        if known_ms is not None:
            retry_after_ms = min(retry_after_ms, known_ms)
        ask = ask._replace(retry_after_ms=retry_after_ms)
    return ask._replace(granted=ask.granted + granted)


def _create_credits(
    request: ShardRequest, count: int, expiry_s: float
) -> tuple[Credit, ...]:
    """Return the granted tokens, at most as many as were asked for."""
    return tuple(
        Credit(request.key.account, expiry_s, request, number)
        for number in range(min(count, request.tokens))
    )


def _late_steps(ask: Ask, granted: tuple[Credit, ...]) -> AskSteps:
    """Pass on tokens that arrive after another owner was asked."""
    if not granted:
        return AskSteps()
    return AskSteps(reply=AskResult(ask.account, granted, is_final=False))


def _reserve_rank(account: str, ip: str) -> tuple[int, str]:
    return xxh64_intdigest(f'reserve {account} {ip}'.encode()), ip
