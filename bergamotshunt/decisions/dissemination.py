"""Dissemination: news that waits to be passed on, a bounded number of times."""

from collections.abc import Callable
from heapq import nsmallest
from math import ceil, log
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

# More pieces than this never fit into one datagram.
MAX_PIECES: Final = 48
# In a fleet of a few members the logarithm alone leaves too little to make
# up for lost datagrams, and repetition is cheap there.
MIN_TRANSMISSIONS: Final = 6


class Named(Protocol):
    """News about one daemon."""

    @property
    def daemon_id(self) -> str:
        """The daemon that the news is about."""


News = TypeVar('News', bound=Named)


class Queued(NamedTuple, Generic[News]):
    """News that waits.

    Attributes:
        news: The news.
        size: Encoded size in bytes.
        sent: How often it was sent.
    """

    news: News
    size: int
    sent: int


class NewsQueue(Generic[News]):
    """News by daemon id; newer news of a daemon takes the older's place.

    Args:
        measure: Encoded size of one piece of news in bytes.
        margin: Transmissions beyond the logarithm of the fleet's size.
            If each member sends a piece ``ln(n) + m`` times to random
            members, about ``exp(-m)`` members of the fleet miss it.
    """

    def __init__(
        self,
        measure: Callable[[News], int],
        margin: int,
    ) -> None:
        """Create an empty queue."""
        self.measure = measure
        self.margin = margin
        self.by_id: dict[str, Queued[News]] = {}

    def push(self, news: News) -> None:
        """Queue news that this daemon has not passed on yet."""
        self.by_id[news.daemon_id] = Queued(news, self.measure(news), 0)

    def discard(self, daemon_id: str) -> None:
        """Drop news that is no longer true."""
        self.by_id.pop(daemon_id, None)

    def limit(self, live_count: int) -> int:
        """Return how often each piece of news is sent."""
        scaled = ceil(log(live_count + 1)) + self.margin
        return max(MIN_TRANSMISSIONS, scaled)

    def take(
        self,
        room_bytes: int,
        live_count: int,
    ) -> tuple[tuple[News, ...], int]:
        """Take what fits, the least sent first.

        Returns:
            The news, and the bytes that it needs.
        """
        limit = self.limit(live_count)
        taken = []
        used = 0
        for queued in nsmallest(MAX_PIECES, self.by_id.values(), key=_sent):
            if used + queued.size > room_bytes:
                continue
            used += queued.size
            taken.append(queued.news)
            self._count_transmission(queued, limit)
        return tuple(taken), used

    def _count_transmission(self, queued: Queued[News], limit: int) -> None:
        daemon_id = queued.news.daemon_id
        if queued.sent + 1 >= limit:
            self.by_id.pop(daemon_id)
        else:
            self.by_id[daemon_id] = queued._replace(sent=queued.sent + 1)


class SendBudget(NamedTuple):
    """Token bucket for datagrams that only carry news.

    Attributes:
        bytes_per_s: Rate.
        burst_bytes: Most tokens.
        tokens: Bytes that may be sent now.
        filled_ms: Time of the last refill.
    """

    bytes_per_s: float
    burst_bytes: float
    tokens: float
    filled_ms: float


def refill(budget: SendBudget, now_ms: float) -> SendBudget:
    """Return the budget with the tokens earned until now."""
    earned = (now_ms - budget.filled_ms) * budget.bytes_per_s / 1000
    tokens = min(budget.burst_bytes, budget.tokens + earned)
    return budget._replace(tokens=tokens, filled_ms=now_ms)


def _sent(queued: Queued[News]) -> int:
    return queued.sent
