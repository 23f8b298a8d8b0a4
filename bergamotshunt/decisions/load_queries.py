"""Load queries by datagram: their rate limit, and matching of responses."""

from collections.abc import Iterable
from typing import Final, NamedTuple

# A later response is too old to describe the current load.
QUERY_TIMEOUT_MS: Final = 2000
MS_PER_S: Final = 1000


class PendingQuery(NamedTuple):
    """A query that waits for its response; ``sent_ms`` is monotonic time."""

    daemon_id: str
    sent_ms: float


class LoadQueries:
    """Load queries that one daemon sends.

    Args:
        queries_per_s: Most queries a second; also the largest burst.
    """

    def __init__(self, queries_per_s: float) -> None:
        """Create the state with a full token bucket."""
        self.queries_per_s = queries_per_s
        self.tokens = queries_per_s
        self.refilled_ms: float | None = None
        self.by_sequence: dict[int, PendingQuery] = {}

    def admit(
        self,
        daemon_ids: Iterable[str],
        now_ms: float,
    ) -> tuple[str, ...]:
        """Return the daemons that may be queried now, and take tokens."""
        if self.refilled_ms is not None:
            earned = (now_ms - self.refilled_ms) * self.queries_per_s / MS_PER_S
            self.tokens = min(self.queries_per_s, self.tokens + earned)
        self.refilled_ms = now_ms
        admitted = tuple(daemon_ids)[: int(self.tokens)]
        self.tokens -= len(admitted)
        return admitted

    def record_sent(self, sequence: int, daemon_id: str, now_ms: float) -> None:
        """Record a sent query and remove those that have timed out."""
        self.by_sequence = {
            number: query
            for number, query in self.by_sequence.items()
            if now_ms - query.sent_ms <= QUERY_TIMEOUT_MS
        }
        self.by_sequence[sequence] = PendingQuery(daemon_id, now_ms)

    def match_response(
        self,
        sequence: int,
        daemon_id: str,
        now_ms: float,
    ) -> float | None:
        """Match a response with its query.

        Returns:
            Time in ms since the query was sent; None if there is no such
            query or it has timed out.
        """
        query = self.by_sequence.get(sequence)
        if query is None or query.daemon_id != daemon_id:
            return None
        self.by_sequence.pop(sequence)
        age_ms = now_ms - query.sent_ms
        return age_ms if age_ms <= QUERY_TIMEOUT_MS else None
