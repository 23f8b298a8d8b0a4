"""Dissemination: queues of updates that are sent a bounded number of times."""

from collections.abc import Callable
from heapq import nsmallest
from math import ceil, log
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

# No more updates than this fit into one datagram.
MAX_UPDATES_PER_DATAGRAM: Final = 48
# In a small fleet the logarithm alone gives too few transmissions to make up
# for lost datagrams, and repetition is cheap there.
MIN_TRANSMISSIONS: Final = 6


class HasDaemonId(Protocol):
    """An update about one daemon."""

    @property
    def daemon_id(self) -> str:
        """Id of the daemon that the update is about."""


Update = TypeVar('Update', bound=HasDaemonId)


class QueuedUpdate(NamedTuple, Generic[Update]):
    """An update in the queue.

    Attributes:
        update: The update.
        size_bytes: Encoded size.
        transmissions: How often it was sent.
    """

    update: Update
    size_bytes: int
    transmissions: int


class UpdateQueue(Generic[Update]):
    """Updates to gossip; a daemon's new update replaces its queued one.

    Args:
        encoded_size: Returns the encoded size of an update in bytes.
        extra_transmissions: Transmissions beyond the logarithm of the
            fleet's size. If each member sends an update ``ln(n) + m`` times
            to random members, about ``exp(-m)`` members of the fleet miss
            it.
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
        """Queue an update with no transmissions yet."""
        self.by_id[update.daemon_id] = QueuedUpdate(
            update, self.encoded_size(update), 0
        )

    def discard(self, daemon_id: str) -> None:
        """Remove a daemon's update from the queue, if there is one."""
        self.by_id.pop(daemon_id, None)

    def max_transmissions(self, live_count: int) -> int:
        """Return how often each update is sent."""
        scaled = ceil(log(live_count + 1)) + self.extra_transmissions
        return max(MIN_TRANSMISSIONS, scaled)

    def take(
        self,
        max_bytes: int,
        live_count: int,
    ) -> tuple[tuple[Update, ...], int]:
        """Take the updates that fit, those with fewest transmissions first.

        Args:
            max_bytes: Encoded size that is available.
            live_count: Live members of the fleet.

        Returns:
            The updates, and their encoded size in bytes.
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
    """Token bucket for datagrams that only carry updates.

    Attributes:
        bytes_per_s: Rate of the refill.
        burst_bytes: Capacity of the bucket.
        tokens: Bytes that may be sent now; negative after a datagram that
            exceeded them.
        refilled_ms: Monotonic time of the last refill.
    """

    bytes_per_s: float
    burst_bytes: float
    tokens: float
    refilled_ms: float


def refill_send_budget(budget: SendBudget, now_ms: float) -> SendBudget:
    """Return the budget with the tokens added since the last refill."""
    earned = (now_ms - budget.refilled_ms) * budget.bytes_per_s / 1000
    tokens = min(budget.burst_bytes, budget.tokens + earned)
    return budget._replace(tokens=tokens, refilled_ms=now_ms)


def _transmissions(queued: QueuedUpdate[Update]) -> int:
    return queued.transmissions
