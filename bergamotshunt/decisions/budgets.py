"""Token budget that bounds the extra load of retries and hedged requests."""

from typing import NamedTuple

MS_PER_S = 1000


class BudgetRule(NamedTuple):
    """How a budget fills.

    Attributes:
        share: Tokens that each first attempt adds.
        floor_per_s: Tokens that each second adds, so that a service with
            few requests can still retry.
        capacity: Most tokens held, which bounds a burst of retries.
    """

    share: float
    floor_per_s: float = 0.1
    capacity: float = 10


class Budget(NamedTuple):
    """Tokens at a time; one token pays for one extra attempt."""

    tokens: float
    at_ms: float


def earn(budget: Budget, rule: BudgetRule, now_ms: float) -> Budget:
    """Add what the elapsed time and one first attempt are worth."""
    elapsed_s = max(now_ms - budget.at_ms, 0) / MS_PER_S
    tokens = budget.tokens + rule.share + elapsed_s * rule.floor_per_s
    return Budget(min(tokens, rule.capacity), now_ms)


def can_spend(budget: Budget) -> bool:
    """Return whether one extra attempt is paid for."""
    return budget.tokens >= 1


def spend(budget: Budget) -> Budget:
    """Pay for one extra attempt.

    Raises:
        ValueError: There is no token left.
    """
    if not can_spend(budget):
        raise ValueError('the budget is exhausted')
    return budget._replace(tokens=budget.tokens - 1)
