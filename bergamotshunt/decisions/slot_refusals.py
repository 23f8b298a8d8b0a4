"""Refusals of requests for a slot: their retry times and their recency."""

from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.server_slots import ServerState
from bergamotshunt.decisions.slot_candidates import WaitingRequest

# Retries of refused requests are spread over this time behind the backlog.
# It is about the longest client timeout of the deployments.
MAX_RETRY_SPREAD_MS: Final = 2000.0
# Refusals are remembered for longer than most requests hold a slot.
REFUSAL_MEMORY_MS: Final = 3000.0
# Reason of a refusal because the admission of the API key has ended.
EXPIRED_PERMIT_REASON: Final = 'permit-expired'
SLOT_REFUSAL_REASONS: Final = frozenset(
    (
        'wait-too-long',
        'displaced',
        'queue-full',
        'expired',
        'lower-priority',
        EXPIRED_PERMIT_REASON,
    )
)
# Nested calls go before all priorities.
NESTED_PRIORITY: Final = -1


class RefusedRequest(NamedTuple):
    """A request that is refused, and when it may come back.

    Attributes:
        request: The request.
        reason: Stable reason code.
        wait_ms: Expected wait that decided; infinite when it had no place.
        retry_after_ms: Time until a retry is expected to be served.
    """

    request: WaitingRequest
    reason: str
    wait_ms: float = 0
    retry_after_ms: float = 0


class RefusalHistory:
    """Recent refusals for lack of room."""

    def __init__(self) -> None:
        """Create a history without refusals."""
        self._next_retry_ms: float = 0
        self._last_refused_ms: float = -inf
        self._refused_ms_by_priority: dict[int, float] = {}

    def record(self, request: WaitingRequest, now_ms: float) -> None:
        """Record that a request found no room."""
        priority = NESTED_PRIORITY if request.depth else request.priority
        oldest_ms = now_ms - REFUSAL_MEMORY_MS
        self._refused_ms_by_priority = {
            other: refused_ms
            for other, refused_ms in self._refused_ms_by_priority.items()
            if refused_ms > oldest_ms
        }
        self._refused_ms_by_priority[priority] = now_ms
        self._last_refused_ms = now_ms

    def is_recent(self, now_ms: float) -> bool:
        """Return whether a refusal is recent enough to matter."""
        return now_ms - self._last_refused_ms < REFUSAL_MEMORY_MS

    def has_refused_higher(self, priority: int, since_ms: float) -> bool:
        """Return whether a higher priority was refused since a time."""
        return any(
            other < priority and refused_ms > since_ms
            for other, refused_ms in self._refused_ms_by_priority.items()
        )

    def reserve_retry_ms(self, wait_ms: float, state: ServerState) -> float:
        """Return a retry time behind those of other refused requests.

        The times are as far apart as the server can serve the retries.

        Args:
            wait_ms: Time until the backlog permits a retry.
            state: State of the server.
        """
        earliest_ms = state.now_ms + wait_ms
        retry_ms = min(
            max(earliest_ms, self._next_retry_ms),
            earliest_ms + MAX_RETRY_SPREAD_MS,
        )
        interval_ms = state.run_ms(0) / max(state.limit, 1)
        self._next_retry_ms = retry_ms + interval_ms
        return retry_ms - state.now_ms
