"""Probe budget and health of the backend server."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.decisions.probe_budget import (
    ProbeBudget,
    is_busy,
    time_to_next_probe_ms,
    try_spend,
    with_rate,
)
from bergamotshunt.decisions.server_health import (
    Evidence,
    HealthState,
    apply_evidence,
)
from bergamotshunt.peers.members import ServerState

IDLE = LoadReport(0, 10, 0, 0)
COST_MS = 5.0
PROBE_REQUEST = st.tuples(
    st.floats(0, 400),
    st.integers(1, 20),
    st.builds(
        LoadReport,
        st.integers(0, 20),
        st.integers(1, 20),
        st.integers(0, 1),
        st.just(0),
    ),
)


@given(
    requests=st.lists(PROBE_REQUEST, max_size=60),
    slots=st.floats(1, 30),
    share=st.floats(0, 0.2),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_no_window_exceeds_the_budget(
    requests: list[tuple[float, int, LoadReport]], slots: float, share: float
) -> None:
    """Guards against probes beyond the budget in any time window."""
    budget = ProbeBudget(COST_MS, 0, slots, share)
    now_ms = 0.0
    probe_times_ms: list[float] = []
    for pause_ms, attempts, load in requests:
        now_ms += pause_ms
        for _ in range(attempts):
            budget, is_allowed = try_spend(budget, now_ms, load)
            assert not (is_allowed and is_busy(load))
            if is_allowed:
                probe_times_ms.append(now_ms)
    assert budget.spent_slot_ms == len(probe_times_ms) * COST_MS
    assert budget.spent_slot_ms <= budget.allowed_slot_ms * (1 + 1e-9) + 1e-9
    for first, start_ms in enumerate(probe_times_ms):
        for last in range(first, len(probe_times_ms)):
            # The tokens for a probe come from the time before it.
            probes = last - first
            allowed = (probe_times_ms[last] - start_ms) * slots * share
            assert probes * COST_MS <= allowed * (1 + 1e-9) + 1e-6


def test_no_probe_is_sent_under_load() -> None:
    """Guards against probes that compete with requests for slots."""
    budget = ProbeBudget(COST_MS, 0, 10, 0.005)
    for load in (LoadReport(6, 10, 0, 0), LoadReport(1, 10, 1, 0)):
        budget, is_allowed = try_spend(budget, 1e6, load)
        assert not is_allowed
    budget, is_allowed = try_spend(budget, 1e6, LoadReport(5, 10, 0, 0))
    assert is_allowed
    assert not try_spend(budget, 1e6, IDLE)[1]


def test_a_larger_share_does_not_count_for_the_past() -> None:
    """Guards against a burst of probes after the share was raised."""
    budget = ProbeBudget(COST_MS, 0, 10, 0)
    budget = with_rate(budget, 1e6, 10, 0.005)
    assert not try_spend(budget, 1e6, IDLE)[1]
    assert time_to_next_probe_ms(budget) == 100
    assert try_spend(budget, 1e6 + 101, IDLE)[1]


def apply_all(health: HealthState, *evidence: Evidence) -> HealthState:
    for outcome in evidence:
        health = apply_evidence(health, outcome, 0)
    return health


SERVING = HealthState(ServerState.SERVING)


def test_state_does_not_follow_single_probes() -> None:
    """Guards against a state that changes with each single probe."""
    failed, healthy = Evidence.PROBE_FAILED, Evidence.PROBE_HEALTHY
    assert (
        apply_all(SERVING, failed, failed).server_state is ServerState.SERVING
    )
    down = apply_all(SERVING, failed, failed, failed)
    assert down.server_state is ServerState.DOWN
    recovered = apply_evidence(
        apply_evidence(down, healthy, 9000), healthy, 9000
    )
    assert apply_evidence(down, healthy, 9000).server_state is ServerState.DOWN
    assert recovered.server_state is ServerState.SERVING


def test_observed_requests_outweigh_probes() -> None:
    """Guards against a health endpoint that contradicts the requests.

    Requests succeed while probes fail, or fail while probes succeed.
    """
    failed, answered = Evidence.PROBE_FAILED, Evidence.ANSWERED
    with_failed_probes = apply_all(SERVING, *(failed, failed, answered) * 5)
    assert with_failed_probes.server_state is ServerState.SERVING
    lost, healthy = Evidence.CONNECTION_LOST, Evidence.PROBE_HEALTHY
    with_failed_requests = apply_all(SERVING, *(lost, healthy) * 6)
    assert with_failed_requests.server_state is ServerState.DOWN
    assert (
        apply_all(with_failed_requests, healthy, healthy).server_state
        is ServerState.DOWN
    )


def test_down_time_grows_for_a_server_that_keeps_failing() -> None:
    """Guards against a failing server that gets new work every second."""
    refused = Evidence.CONNECTION_REFUSED
    health, now_ms = SERVING, 0.0
    down_times_ms = []
    for _ in range(8):
        while health.server_state is ServerState.SERVING:
            health = apply_evidence(health, refused, now_ms)
        down_times_ms.append(health.down_ms)
        now_ms = health.down_until_ms
        health = apply_evidence(health, Evidence.PROBE_HEALTHY, now_ms)
        health = apply_evidence(health, Evidence.PROBE_HEALTHY, now_ms)
    assert down_times_ms[:3] == [1000, 2000, 4000]
    assert max(down_times_ms) == 30_000


def test_server_that_drains_itself_is_down_within_one_probe() -> None:
    """Guards against refusals that hide that the server drains.

    A server that only sheds load, or is too busy for a probe, stays up.
    """
    health = HealthState(server_state=ServerState.SERVING)
    for step in range(3):
        health = apply_evidence(health, Evidence.REFUSED, step)
    assert health.server_state is ServerState.SERVING
    drained = apply_evidence(health, Evidence.PROBE_UNHEALTHY, 10)
    assert drained.server_state is ServerState.DOWN
    answering = apply_evidence(health, Evidence.ANSWERED, 10)
    shedding = apply_evidence(answering, Evidence.PROBE_UNHEALTHY, 11)
    assert shedding.server_state is ServerState.SERVING
    busy = apply_evidence(health, Evidence.PROBE_FAILED, 10)
    assert busy.server_state is ServerState.SERVING
