"""Dissemination: news that waits to be passed on, a bounded number of times."""

from collections.abc import Callable
from heapq import nsmallest
from math import ceil, log
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

# More pieces than this never fit into one datagram.
MAX_UPDATES_PER_DATAGRAM: Final = 48
# In a fleet of a few members the logarithm alone leaves too little to make
# up for lost datagrams, and repetition is cheap there.
MIN_TRANSMISSIONS: Final = 6


class HasDaemonId(Protocol):
    """News about one daemon."""

    @property
    def daemon_id(self) -> str:
        """The daemon that the news is about."""


Update = TypeVar('Update', bound=HasDaemonId)


class QueuedUpdate(NamedTuple, Generic[Update]):
    """News that waits.

    Attributes:
        news: The news.
        size: Encoded size in bytes.
        sent: How often it was sent.
    """

    update: Update
    size_bytes: int
    transmissions: int


class UpdateQueue(Generic[Update]):
    """News by daemon id; newer news of a daemon takes the older's place.

    Args:
        measure: Encoded size of one piece of news in bytes.
        margin: Transmissions beyond the logarithm of the fleet's size.
            If each member sends a piece ``ln(n) + m`` times to random
            members, about ``exp(-m)`` members of the fleet miss it.
    """

    def __init__(
        self,
        encoded_size: Callable[[Update], int],
        extra_transmissions: int,
    ) -> None:
        """Create an empty queue."""
        self.encoded_size = encoded_size
        self.extra_transmissions = extra_transmissions
        self.by_id: dict[str, QueuedUpdate[Update]] = {}

    def push(self, update: Update) -> None:
        """Queue news that this daemon has not passed on yet."""
        self.by_id[update.daemon_id] = QueuedUpdate(
            update, self.encoded_size(update), 0
        )

    def discard(self, daemon_id: str) -> None:
        """Drop news that is no longer true."""
        self.by_id.pop(daemon_id, None)

    def max_transmissions(self, live_count: int) -> int:
        """Return how often each piece of news is sent."""
        scaled = ceil(log(live_count + 1)) + self.extra_transmissions
        return max(MIN_TRANSMISSIONS, scaled)

    def take(
        self,
        max_bytes: int,
        live_count: int,
    ) -> tuple[tuple[Update, ...], int]:
        """Take what fits, the least sent first.

        Returns:
            The news, and the bytes that it needs.
        """
        max_transmissions = self.max_transmissions(live_count)
        taken = []
        used_bytes = 0
        for queued in nsmallest(
            MAX_UPDATES_PER_DATAGRAM, self.by_id.values(), key=_transmissions
        ):
            if used_bytes + queued.size_bytes > max_bytes:
                continue
            used_bytes += queued.size_bytes
            taken.append(queued.update)
            self._count_transmission(queued, max_transmissions)
        return tuple(taken), used_bytes

    def _count_transmission(
        self, queued: QueuedUpdate[Update], max_transmissions: int
    ) -> None:
        daemon_id = queued.update.daemon_id
        if queued.transmissions + 1 >= max_transmissions:
            self.by_id.pop(daemon_id)
        else:
            self.by_id[daemon_id] = queued._replace(
                transmissions=queued.transmissions + 1
            )


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
    refilled_ms: float


def refill(budget: SendBudget, now_ms: float) -> SendBudget:
    """Return the budget with the tokens earned until now."""
    earned = (now_ms - budget.refilled_ms) * budget.bytes_per_s / 1000
    tokens = min(budget.burst_bytes, budget.tokens + earned)
    return budget._replace(tokens=tokens, refilled_ms=now_ms)


def _transmissions(queued: QueuedUpdate[Update]) -> int:
    return queued.transmissions
