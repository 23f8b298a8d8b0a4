"""Budgets of one service for retries and hedged requests."""

from collections import deque
from typing import Final

from bergamotshunt.decisions.hedging import hedge_delay_ms
from bergamotshunt.decisions.token_buckets import (
    TokenBucket,
    TokenBucketRule,
    has_token,
    refill,
    spend,
)

# Number of recent latencies that are kept for each target.
MAX_LATENCIES: Final = 512
# The hedge delay is computed once per this many latencies: sorting takes
# about 30 us, and the quantile changes slowly.
LATENCIES_PER_SORT: Final = 64
INITIAL_TOKENS: Final = 2
# Tokens for hedged requests that a service with few calls gets per second.
HEDGE_FLOOR_PER_S: Final = 0.02


class LatencyWindow:
    """Recent latencies of one target, and the hedge delay from them."""

    def __init__(self) -> None:
        """Create an empty window."""
        self.latencies_ms: deque[float] = deque(maxlen=MAX_LATENCIES)
        self.unsorted_count = 0
        self.hedge_delay_ms: float | None = None

    def record(self, latency_ms: float) -> None:
        """Add a latency."""
        self.latencies_ms.append(latency_ms)
        self.unsorted_count += 1
        if self.unsorted_count >= LATENCIES_PER_SORT:
            self.unsorted_count = 0
            self.hedge_delay_ms = hedge_delay_ms(self.latencies_ms)


class RetryBudgets:
    """Token buckets of one service.

    Retries and hedged requests take tokens from one bucket; hedged requests
    also take one from a smaller bucket of their own.

    Args:
        retry_share: Retries and hedged requests per first attempt.
        hedge_share: Hedged requests per first attempt.
        now_ms: Monotonic time of creation in milliseconds.
    """

    def __init__(
        self, retry_share: float, hedge_share: float, now_ms: float
    ) -> None:
        """Create buckets with the initial tokens."""
        self.retry_rule = TokenBucketRule(retry_share)
        self.hedge_rule = TokenBucketRule(hedge_share, HEDGE_FLOOR_PER_S)
        self.retry_budget = TokenBucket(INITIAL_TOKENS, now_ms)
        self.hedge_budget = TokenBucket(INITIAL_TOKENS, now_ms)
        self.window_by_target: dict[str, LatencyWindow] = {}

    def record_call(self, now_ms: float) -> None:
        """Refill the buckets for one call."""
        self.retry_budget = refill(self.retry_budget, self.retry_rule, now_ms)
        self.hedge_budget = refill(self.hedge_budget, self.hedge_rule, now_ms)

    def record_latency(self, target: str, latency_ms: float) -> None:
        """Record the latency of a response of a target."""
        window = self.window_by_target.get(target)
        if window is None:
            window = LatencyWindow()
            self.window_by_target[target] = window
        window.record(latency_ms)

    def hedge_delay_ms(self, target: str) -> float | None:
        """Return the delay after which to hedge a call, in ms.

        None when a budget is exhausted or too few latencies are known.
        """
        window = self.window_by_target.get(target)
        if window is None or not self._can_hedge():
            return None
        return window.hedge_delay_ms

    def take_retry_token(self) -> bool:
        """Take the token of one retry; return False if none is left."""
        if not has_token(self.retry_budget):
            return False
        self.retry_budget = spend(self.retry_budget)
        return True

    def take_hedge_tokens(self) -> bool:
        """Take both tokens of a hedged request.

        Returns:
            False if either bucket has no token; then none is taken.
        """
        if not self._can_hedge():
            return False
        self.retry_budget = spend(self.retry_budget)
        self.hedge_budget = spend(self.hedge_budget)
        return True

    def keep_targets(self, targets: frozenset[str]) -> None:
        """Drop the latencies of targets that no longer exist."""
        for target in tuple(self.window_by_target):
            if target not in targets:
                self.window_by_target.pop(target)

    def _can_hedge(self) -> bool:
        return has_token(self.retry_budget) and has_token(self.hedge_budget)
