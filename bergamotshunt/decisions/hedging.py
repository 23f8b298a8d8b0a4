"""When a second request is sent for a call that is slow."""

from collections.abc import Sequence
from typing import Final

from bergamotshunt.choice.calls import CallHead

# With fewer latencies, the quantile would be one of the largest ones.
MIN_LATENCIES: Final = 32
# One call in 20 is slower, of which the budget allows the hedge_share. A
# higher quantile would adapt to a slow server that gets 5% of the calls.
HEDGE_QUANTILE: Final = 0.95
# With a shorter delay, the timer and the second request cost more than they
# save.
MIN_DELAY_MS: Final = 2.0


def is_hedging_permitted(head: CallHead) -> bool:
    """Return whether a call may be run by two servers at once."""
    return head.target.idempotent and head.depth == 0


def hedge_delay_ms(latencies_ms: Sequence[float]) -> float | None:
    """Return the time after which a call is hedged.

    Args:
        latencies_ms: Recent latencies of the target, in any order.

    Returns:
        The delay in ms, or None with fewer than ``MIN_LATENCIES``.
    """
    count = len(latencies_ms)
    if count < MIN_LATENCIES:
        return None
    position = min(int(count * HEDGE_QUANTILE), count - 1)
    return max(sorted(latencies_ms)[position], MIN_DELAY_MS)
