"""Budget of the health and load probes of a backend server."""

from typing import Final, NamedTuple

from bergamotshunt.choice.calls import LoadReport

DEFAULT_PROBE_SHARE: Final = 0.005
# With a larger share of the concurrency limit in flight, the server's slots
# are reserved for requests.
BUSY_SHARE: Final = 0.5


class ProbeBudget(NamedTuple):
    """Token bucket in slot-milliseconds.

    The bucket holds at most the cost of one probe, so an idle time does
    not allow a burst of probes later.

    Attributes:
        probe_cost_ms: Slot-milliseconds that one probe costs.
        refilled_ms: Monotonic time up to which tokens were added.
        slots: Slots of the server since then.
        share: Share of the slots that may be spent since then.
        tokens: Slot-milliseconds that may be spent now.
        allowed_slot_ms: Total added since the start, for the metrics.
        spent_slot_ms: Total spent since the start, for the metrics.
    """

    probe_cost_ms: float
    refilled_ms: float
    slots: float
    share: float = DEFAULT_PROBE_SHARE
    tokens: float = 0
    allowed_slot_ms: float = 0
    spent_slot_ms: float = 0


def refill_probe_budget(budget: ProbeBudget, now_ms: float) -> ProbeBudget:
    """Add the tokens of the time since the last refill."""
    elapsed_ms = max(0, now_ms - budget.refilled_ms)
    earned = elapsed_ms * budget.slots * budget.share
    return budget._replace(
        refilled_ms=max(now_ms, budget.refilled_ms),
        tokens=min(budget.probe_cost_ms, budget.tokens + earned),
        allowed_slot_ms=budget.allowed_slot_ms + earned,
    )


def with_rate(
    budget: ProbeBudget,
    now_ms: float,
    slots: float,
    share: float,
) -> ProbeBudget:
    """Change the rate from now on; past time counts at the old rate."""
    return refill_probe_budget(budget, now_ms)._replace(
        slots=slots, share=share
    )


def is_busy(load: LoadReport) -> bool:
    """Return whether the server is too busy to be probed."""
    return load.queued > 0 or load.in_flight > load.limit * BUSY_SHARE


def try_spend(
    budget: ProbeBudget,
    now_ms: float,
    load: LoadReport,
) -> tuple[ProbeBudget, bool]:
    """Spend the cost of one probe, if the budget and the load allow it.

    Returns:
        The budget afterwards and whether the probe may be sent.
    """
    refilled = refill_probe_budget(budget, now_ms)
    cost_ms = refilled.probe_cost_ms
    if is_busy(load) or refilled.tokens < cost_ms:
        return refilled, False
    charged = refilled._replace(
        tokens=0, spent_slot_ms=refilled.spent_slot_ms + cost_ms
    )
    return charged, True


def time_to_next_probe_ms(budget: ProbeBudget) -> float:
    """Return the time in ms until the tokens cover the cost of one probe.

    It is infinite without slots or share.
    """
    rate = budget.slots * budget.share
    missing = budget.probe_cost_ms - budget.tokens
    return missing / rate if rate else float('inf')
