"""How often each kind of request is served while there is too little room.

Requests are counted only when they find no free slot: without contention,
every kind is served.
"""

from collections.abc import Iterable
from heapq import nlargest
from typing import Final, NamedTuple

# A kind may be served less often than all requests, but at least by this
# factor. The aim is above the requirement of 0.25, because a kind is noticed
# only after it has missed a whole request.
MIN_SERVED_SHARE: Final = 0.35
# A kind is boosted once it is owed so many requests: a few refusals in a row
# are no starvation.
OWED_REQUESTS: Final = 2.0
# Bounds on what a kind can be owed, and on how much earlier service counts
# against it, in requests.
MAX_CREDIT: Final = 4.0
MIN_CREDIT: Final = -4.0
# Number of requests over which the share of served requests is smoothed.
SMOOTHING_REQUESTS: Final = 200.0
# Served work is halved after this number of served requests.
WORK_HALVING_REQUESTS: Final = 64
# An account with more recent work than the mean of all accounts by this
# factor queues behind the others.
HEAVY_FACTOR: Final = 1.5
# Bounds the memory for accounts; kinds that are owed least are forgotten.
MAX_KINDS: Final = 1024


class Kind(NamedTuple):
    """A kind of request that must not starve.

    Attributes:
        dimension: What its requests have in common.
        member: Value of that dimension.
    """

    dimension: str
    member: int | str


class ServedShares:
    """Compares how often each kind is served with the share of all requests.

    Each request that needs a slot adds a part of a request to the credit of
    its kinds, and each one that gets a slot takes a whole one from it.
    """

    def __init__(self) -> None:
        """Create an object that has counted no request."""
        self._credit_by_kind: dict[Kind, float] = {}
        self._work_ms_by_account: dict[str, float] = {}
        self._total_work_ms: float = 0
        self._demand: float = 0
        self._served: float = 0
        self._served_since_halving = 0

    def record_demand(self, kinds: Iterable[Kind]) -> None:
        """Record a request that found no free slot."""
        keep = 1 - 1 / SMOOTHING_REQUESTS
        self._demand = self._demand * keep + 1
        self._served *= keep
        owed = MIN_SERVED_SHARE * min(self._served / self._demand, 1)
        for kind in kinds:
            credit = self._credit_by_kind.get(kind, 0) + owed
            self._credit_by_kind[kind] = min(credit, MAX_CREDIT)
        if len(self._credit_by_kind) > MAX_KINDS:
            self._forget_kinds()

    def record_served(
        self, kinds: Iterable[Kind], account: str, work_ms: float
    ) -> None:
        """Record a request that got a slot after it had found none."""
        self._served += 1
        self._record_work(account, work_ms)
        for kind in kinds:
            credit = self._credit_by_kind.get(kind, 0) - 1
            self._credit_by_kind[kind] = max(credit, MIN_CREDIT)

    def is_owed(self, kind: Kind) -> bool:
        """Return whether a kind has been served too rarely."""
        return self._credit_by_kind.get(kind, 0) >= OWED_REQUESTS

    def recent_work_ms(self, account: str) -> float:
        """Return the work that was recently done for an account."""
        return self._work_ms_by_account.get(account, 0)

    def is_heavy(self, account: str) -> bool:
        """Return whether much more work was done for it than for others.

        Requests without an account belong to many callers.
        """
        if not account:
            return False
        accounts = max(len(self._work_ms_by_account), 1)
        mean_ms = self._total_work_ms / accounts
        return self.recent_work_ms(account) > mean_ms * HEAVY_FACTOR

    def _record_work(self, account: str, work_ms: float) -> None:
        self._work_ms_by_account[account] = (
            self.recent_work_ms(account) + work_ms
        )
        self._total_work_ms += work_ms
        self._served_since_halving += 1
        if self._served_since_halving >= WORK_HALVING_REQUESTS:
            self._served_since_halving = 0
            self._work_ms_by_account = {
                name: recent_ms / 2
                for name, recent_ms in self._work_ms_by_account.items()
                if recent_ms >= 2
            }
            self._total_work_ms = sum(self._work_ms_by_account.values())

    def _forget_kinds(self) -> None:
        most_owed = nlargest(
            MAX_KINDS // 2,
            self._credit_by_kind.items(),
            key=lambda owed: owed[1],
        )
        self._credit_by_kind = dict(most_owed)
