"""Tokens that come back to their bucket because their request did not run.

A returned token is added only if the bucket would have had room for it all the
time. The bucket then has the tokens that it would have had without the grant,
and its bound holds for the requests that ran.
"""

from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.quota_grants import ShardKey

# Longest time after which a token is returned; requests end sooner.
RETURN_LIFETIME_S: Final = 3.0
SLICE_S: Final = 0.05
MAX_SLICES: Final = int(RETURN_LIFETIME_S / SLICE_S) + 2


class LevelHistory:
    """Highest levels of a bucket in the last time slices.

    The level is highest just before a grant. Tokens that came back count as
    if they had never been taken.

    Args:
        start_s: Boot time from which on all levels are recorded.
    """

    def __init__(self, start_s: float = -inf) -> None:
        """Create an empty history."""
        self._start_s = start_s
        self._peak_by_slice: dict[int, float] = {}

    def record(self, tokens: float, now_s: float) -> None:
        """Record the level of the bucket before a grant."""
        number = int(now_s / SLICE_S)
        peak = max(self._peak_by_slice.get(number, 0), tokens)
        self._peak_by_slice[number] = peak
        if len(self._peak_by_slice) > MAX_SLICES:
            self._peak_by_slice.pop(next(iter(self._peak_by_slice)))

    def add_returned(
        self, granted_s: float, capacity: float, now_s: float
    ) -> bool:
        """Account for a token as if it had never been taken.

        Args:
            granted_s: Boot time at which it was granted.
            capacity: Capacity of the bucket.
            now_s: Boot time; the level has been recorded.

        Returns:
            Whether the bucket had room for it.
        """
        if granted_s < max(self._start_s, now_s - RETURN_LIFETIME_S):
            return False
        first = int(granted_s / SLICE_S)
        numbers = [number for number in self._peak_by_slice if number >= first]
        if any(
            self._peak_by_slice[number] + 1 > capacity for number in numbers
        ):
            return False
        for number in numbers:
            self._peak_by_slice[number] += 1
        return True


class GrantId(NamedTuple):
    """Identity of a grant at its owner.

    Attributes:
        holder: Address of the daemon that asked.
        sequence: Sequence number of its request.
        key: The shard.
    """

    holder: str
    sequence: int
    key: ShardKey


class GrantRecord(NamedTuple):
    """A grant that the owner remembers.

    Attributes:
        tokens: Number of tokens.
        granted_s: Boot time of the grant.
        returned: Numbers of the tokens that came back.
    """

    tokens: int
    granted_s: float
    returned: frozenset[int] = frozenset()


class GrantRecords:
    """Grants of one owner whose tokens may come back."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_id: dict[GrantId, GrantRecord] = {}

    def add(self, grant_id: GrantId, count: int, now_s: float) -> None:
        """Remember a grant."""
        self._by_id[grant_id] = GrantRecord(count, now_s)
        while self._by_id:
            oldest = next(iter(self._by_id))
            if self._by_id[oldest].granted_s >= now_s - RETURN_LIFETIME_S:
                return
            self._by_id.pop(oldest)

    def get(self, grant_id: GrantId) -> GrantRecord | None:
        """Return a grant; None if it is unknown or too old."""
        return self._by_id.get(grant_id)

    def take_back(self, grant_id: GrantId, number: int) -> GrantRecord | None:
        """Mark a token as returned.

        Returns:
            Its grant; None if it is unknown or came back before.
        """
        grant = self._by_id.get(grant_id)
        if grant is None or number >= grant.tokens or number in grant.returned:
            return None
        returned = grant.returned | {number}
        self._by_id[grant_id] = grant._replace(returned=returned)
        return grant
