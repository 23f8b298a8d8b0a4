"""The budget of extra attempts that all daemons share, without a network."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from bergamotshunt.choice.route_stats import ResponseSample, RouteStats
from bergamotshunt.decisions.extra_attempts import (
    ExtraAttemptBound,
    ExtraAttemptBudget,
)

BOUND = ExtraAttemptBound(ratio=0.2, slack=56, window_s=10)
DAEMONS = 10


class SharedBudget(RuleBasedStateMachine):
    """Daemons of one fleet that spend, restart and serve unequal loads.

    Guards against more extra attempts in any window than the bound allows
    for the requests of that window, or of one that starts half a window or
    one window earlier.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.budgets = [ExtraAttemptBudget(BOUND, 0) for _ in range(DAEMONS)]
        self.requests: list[float] = []
        self.extra: list[float] = []

    @rule(daemon=st.integers(0, DAEMONS - 1), count=st.integers(1, 40))
    def arrive(self, daemon: int, count: int) -> None:
        for _ in range(count):
            self.requests.append(self.now_s)
            self.budgets[daemon].record_request(self.now_s)

    @rule(daemon=st.integers(0, DAEMONS - 1))
    def spend_all(self, daemon: int) -> None:
        while self.budgets[daemon].allows(self.now_s, DAEMONS):
            self.budgets[daemon].record_extra(self.now_s)
            self.extra.append(self.now_s)

    @rule()
    def spend_everywhere(self) -> None:
        for daemon in range(DAEMONS):
            self.spend_all(daemon)

    @rule(tenths=st.integers(1, 60))
    def wait(self, tenths: int) -> None:
        self.now_s += tenths / 10

    @precondition(lambda self: self.now_s > 130)
    @rule(daemon=st.integers(0, DAEMONS - 1))
    def restart(self, daemon: int) -> None:
        self.budgets[daemon] = ExtraAttemptBudget(BOUND, self.now_s)

    @invariant()
    def stays_within_the_bound(self) -> None:
        for start_s in {at_s - 1e-6 for at_s in self.extra[-300:]}:
            spent_count = self.count(self.extra, start_s)
            earlier = max(
                self.count(self.requests, start_s - back_s)
                for back_s in (0, BOUND.window_s / 2, BOUND.window_s)
            )
            assert spent_count <= BOUND.ratio * earlier + BOUND.slack

    def count(self, times_s: list[float], start_s: float) -> int:
        end_s = start_s + BOUND.window_s
        return sum(start_s <= at_s < end_s for at_s in times_s)


SharedBudget.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=60,
)
TestSharedBudget = SharedBudget.TestCase


def test_budget_is_not_empty() -> None:
    """Guards against a budget that never permits an extra attempt."""
    budget = ExtraAttemptBudget(BOUND, 0)
    for _ in range(100):
        budget.record_request(1)
    assert budget.allows(1, DAEMONS)
    assert spend(budget, 1) >= 8


def test_slack_is_available_after_idle_time() -> None:
    """Guards against refusing a few retries after a time without requests."""
    budget = ExtraAttemptBudget(BOUND, 0)
    assert not budget.allows(0.1, DAEMONS)
    assert 2 <= spend(budget, 30) <= BOUND.slack / DAEMONS


def test_unused_budget_is_returned() -> None:
    """Guards against spending the budget on attempts that daemons refuse."""
    budget = ExtraAttemptBudget(BOUND, 0)
    assert spend(budget, 30)
    assert not budget.allows(30, DAEMONS)
    budget.record_extra(30, -1)
    assert budget.allows(30, DAEMONS)


def test_slack_counts_the_largest_fleet() -> None:
    """Guards against spending the whole bound when few daemons are seen."""
    budget = ExtraAttemptBudget(BOUND, 0)
    budget.allows(1, DAEMONS)
    assert spend(budget, 30, daemons=1) <= BOUND.slack / DAEMONS


def test_calls_of_a_run_are_recorded() -> None:
    """Guards against hedged runs whose calls exceed another service's budget."""
    rng = Random(1)
    stats = RouteStats()
    for _ in range(300):
        calls = (('callee', 2),) if rng.random() < 0.7 else ()
        stats.record_response('r', ResponseSample(100, 1, calls))
    assert 1.1 < stats.mean_calls_by_service('r')['callee'] < 1.7
    assert not stats.mean_calls_by_service('other')


def spend(
    budget: ExtraAttemptBudget, now_s: float, daemons: int = DAEMONS
) -> int:
    spent = 0
    while budget.allows(now_s, daemons):
        budget.record_extra(now_s)
        spent += 1
    return spent


def test_restart_of_all_daemons_stays_within_the_bound() -> None:
    """Guards against spending the slack twice when all daemons restart."""
    spent_count = 0
    for _ in range(DAEMONS):
        spent_count += spend(ExtraAttemptBudget(BOUND, 0), 100)
        spent_count += spend(ExtraAttemptBudget(BOUND, 101), 104)
    assert BOUND.slack / 4 < spent_count <= BOUND.slack
