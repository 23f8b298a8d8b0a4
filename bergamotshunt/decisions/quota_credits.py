"""The asking side of quotas: tokens that a daemon holds for an account."""

from collections import deque
from collections.abc import Iterable
from math import exp, floor
from typing import Final, NamedTuple

from bergamotshunt.decisions.quota_buckets import (
    RESERVE_OVERAGE_SHARE,
    RESERVE_SLACK_SHARE,
    credit_lifetime_s,
    window_limit,
)
from bergamotshunt.decisions.quota_grants import Credit
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ClientAccount

# Time over which the demand of an account is averaged.
DEMAND_TIME_S: Final = 1.0
# Part of the expected requests for which tokens are fetched ahead; more would
# expire unused.
PREFETCHED_SHARE: Final = 0.5
MAX_COUNT: Final = 10_000


class Demand(NamedTuple):
    """Estimate of the requests of an account at one daemon.

    Attributes:
        rate_per_s: Requests per second.
        updated_s: Boot time of the last request.
    """

    rate_per_s: float = 0
    updated_s: float = 0

    def record(self, now_s: float) -> 'Demand':
        """Return the estimate after one more request."""
        return Demand(self._decay(now_s) + 1 / DEMAND_TIME_S, now_s)

    def expected(self, now_s: float, horizon_s: float) -> float:
        """Return the number of requests expected within a time."""
        return self._decay(now_s) * horizon_s

    def _decay(self, now_s: float) -> float:
        elapsed_s = max(now_s - self.updated_s, 0)
        return self.rate_per_s * exp(-elapsed_s / DEMAND_TIME_S)


class LocalCredits:
    """Tokens that a daemon holds for one account."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._credits: list[Credit] = []

    def __len__(self) -> int:
        """Return the number of tokens, expired ones included."""
        return len(self._credits)

    def add(self, credits_to_add: Iterable[Credit]) -> None:
        """Add tokens; those that expire first are spent first."""
        self._credits.extend(credits_to_add)
        self._credits.sort(key=_expiry, reverse=True)

    def drop_expired(self, now_s: float) -> None:
        """Drop the tokens that can no longer be spent."""
        self._credits = [
            credit for credit in self._credits if now_s < credit.expiry_s
        ]

    def take(self, now_s: float) -> Credit | None:
        """Spend a token; return None if there is none."""
        while self._credits:
            credit = self._credits.pop()
            if now_s < credit.expiry_s:
                return credit
        return None


class Reserve:
    """Requests that a daemon may admit when no owner answers it.

    All daemons together admit a fixed number in a window. It is divided by
    rank, as most daemons would admit none if all had the same share.

    Args:
        bounds: Window and permitted excess of quotas.
        started_s: Boot time of the start of this process; an earlier process
            of this daemon may have used the reserve until then.
    """

    def __init__(self, bounds: Bounds, started_s: float) -> None:
        """Create an unused reserve."""
        self._bounds = bounds
        # A token may be spent some time after it was taken.
        self._window_s = bounds.quota_window_s + credit_lifetime_s(bounds)
        self._usable_s = started_s + self._window_s
        self._taken_s_by_account: dict[str, deque[float]] = {}

    def take(
        self, account: ClientAccount, rank: int, daemons: int, now_s: float
    ) -> bool:
        """Take a token for a request of an account.

        Args:
            account: The account.
            rank: Rank of this daemon for the account.
            daemons: Number of daemons that share the reserve; 0 if unknown.
            now_s: Boot time.
        """
        share = self._share(account, rank, daemons)
        if not share or now_s < self._usable_s:
            return False
        self._drop_old(now_s)
        taken = self._taken_s_by_account.setdefault(account.name, deque())
        if len(taken) >= share:
            return False
        taken.append(now_s)
        return True

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        for name, taken in tuple(self._taken_s_by_account.items()):
            while taken and taken[0] <= oldest_s:
                taken.popleft()
            if not taken:
                self._taken_s_by_account.pop(name)

    def _share(self, account: ClientAccount, rank: int, daemons: int) -> int:
        if not daemons:
            return 0
        overage = RESERVE_OVERAGE_SHARE * self._bounds.quota_overage
        slack = RESERVE_SLACK_SHARE * self._bounds.quota_slack
        total = floor(overage * window_limit(account, self._bounds) + slack)
        share, rest = divmod(total, daemons)
        return share + (rank < rest)


def count_to_ask(
    waiting: int, demand: Demand, now_s: float, bounds: Bounds
) -> int:
    """Return how many tokens to ask for.

    Args:
        waiting: Requests that wait for a token.
        demand: Estimate of the requests of the account.
        now_s: Boot time.
        bounds: Window and permitted excess of quotas.
    """
    expected = demand.expected(now_s, credit_lifetime_s(bounds))
    return min(waiting + floor(expected * PREFETCHED_SHARE), MAX_COUNT)


def _expiry(credit: Credit) -> float:
    return credit.expiry_s
