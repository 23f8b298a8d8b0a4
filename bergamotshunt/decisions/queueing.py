"""Queue in front of a backend server: order, length bound and deadlines."""

from bisect import bisect_left, insort
from typing import Final, NamedTuple

# Deeper calls are ordered as if they had this depth.
MAX_SORT_DEPTH: Final = 7
# A refused sender needs time to use another server: the latency of a run
# there, and as much again for the transfer.
FALLBACK_FACTOR: Final = 2.0
# Least share of the remaining time that is reserved for another server.
MIN_FALLBACK_SHARE: Final = 0.1


class SlotRequest(NamedTuple):
    """A request that needs a slot of the backend server.

    Attributes:
        arrival_number: Unique in the queue; increases with arrival.
        deadline_ms: Monotonic time at which the sender gives up.
        weight: Weight of its target, or a rank by its route's priority.
        internal: Whether it is an internal check.
        depth: Number of calls above it in its call tree.
    """

    arrival_number: int
    deadline_ms: float
    weight: float = 1.0
    internal: bool = False
    depth: int = 0


class SlotUsage(NamedTuple):
    """Use of the slots of the backend server.

    Attributes:
        in_flight: Requests on the server.
        limit: Concurrency limit.
        latency_ms: Smoothed latency; 0 when unknown.
    """

    in_flight: int
    limit: int
    latency_ms: float


SortKey = tuple[bool, int, float, float, int]
SHED_REASONS: Final = ('queue-full', 'wait-too-long', 'displaced', 'expired')


def sort_key(request: SlotRequest) -> SortKey:
    """Return the sort key of a request; the smallest runs first.

    Deeper calls go first, because refusing one wastes all the work that
    its call tree has done, while refusing a new tree wastes nothing.
    """
    depth = min(request.depth, MAX_SORT_DEPTH)
    return (
        request.internal,
        -depth,
        -request.weight,
        request.deadline_ms,
        request.arrival_number,
    )


def latest_slot_ms(
    request: SlotRequest, now_ms: float, latency_ms: float
) -> float:
    """Return the time by which a slot has to be free, or waiting ends.

    Later, the sender would have no time left to use another server.
    """
    left_ms = request.deadline_ms - now_ms
    needed_ms = max(latency_ms * FALLBACK_FACTOR, left_ms * MIN_FALLBACK_SHARE)
    return request.deadline_ms - needed_ms


def expected_wait_ms(ahead: int, slot_usage: SlotUsage) -> float:
    """Return the expected time until a slot is free.

    Args:
        ahead: Number of waiting requests that run first.
        slot_usage: Use of the slots of the server.
    """
    free = slot_usage.limit - slot_usage.in_flight
    if ahead < free:
        return 0
    slots_needed = ahead + 1 - max(0, free)
    return slots_needed * slot_usage.latency_ms / max(1, slot_usage.limit)


class SlotRequestQueue:
    """Waiting requests in order of their sort key.

    Args:
        max_length: Largest number of waiting requests.
    """

    def __init__(self, max_length: int) -> None:
        """Create an empty queue."""
        self.max_length = max_length
        self._sort_keys: list[SortKey] = []
        self._by_sort_key: dict[SortKey, SlotRequest] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._sort_keys)

    def refusal_reason(
        self, request: SlotRequest, now_ms: float, slot_usage: SlotUsage
    ) -> str:
        """Return why a request may not wait.

        Returns:
            One of ``SHED_REASONS``, or an empty string when it may wait.
        """
        if now_ms >= request.deadline_ms:
            return 'expired'
        ahead = self.count_ahead(request)
        if ahead >= self.max_length:
            return 'queue-full'
        wait_ms = expected_wait_ms(ahead, slot_usage)
        latest_ms = latest_slot_ms(request, now_ms, slot_usage.latency_ms)
        if wait_ms and now_ms + wait_ms > latest_ms:
            return 'wait-too-long'
        return ''

    def count_ahead(self, request: SlotRequest) -> int:
        """Return how many waiting requests would run first."""
        return bisect_left(self._sort_keys, sort_key(request))

    def add(self, request: SlotRequest) -> SlotRequest | None:
        """Add a request.

        Returns:
            The request that is displaced because the queue is full, or None.
        """
        insort(self._sort_keys, sort_key(request))
        self._by_sort_key[sort_key(request)] = request
        if len(self._sort_keys) <= self.max_length:
            return None
        return self._by_sort_key.pop(self._sort_keys.pop())

    def remove(self, request: SlotRequest) -> bool:
        """Remove a request; return False when it is not in the queue."""
        if self._by_sort_key.pop(sort_key(request), None) is None:
            return False
        self._sort_keys.pop(bisect_left(self._sort_keys, sort_key(request)))
        return True

    def pop(self) -> SlotRequest | None:
        """Remove and return the first request; None when empty."""
        if not self._sort_keys:
            return None
        return self._by_sort_key.pop(self._sort_keys.pop(0))
