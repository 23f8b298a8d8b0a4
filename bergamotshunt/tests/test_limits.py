"""Adaptive concurrency limits, with a model of a server with slots."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.concurrency_limits import (
    LIMITERS,
    MIN_LIMIT,
    LimitState,
    Sample,
)

MAX_LIMIT = 200.0


def saturate(name: str, slots: int, samples: int, seed: int) -> LimitState:
    """Keep a server with ``slots`` slots busy up to the limit."""
    rng = Random(seed)
    state = LimitState(10, MAX_LIMIT)
    now_ms = 0.0
    for _ in range(samples):
        in_flight = int(state.limit)
        latency_ms = 10 * max(1, in_flight / slots) * rng.uniform(0.7, 1.3)
        now_ms += latency_ms / in_flight
        state = LIMITERS.get(name)(state, Sample(now_ms, latency_ms, in_flight))
    return state


@pytest.mark.parametrize('slots', [3, 10, 40])
def test_gradient_finds_the_slots_of_a_saturated_server(slots: int) -> None:
    """Guards against a limit that stays at its initial value."""
    state = saturate('gradient', slots, 400 * slots * 20, seed=1)
    assert 0.4 * slots <= state.limit <= 2 * slots + 2


def test_fixed_keeps_the_limit() -> None:
    """Guards against a fixed limiter that changes its limit."""
    assert saturate('fixed', 3, 500, seed=1).limit == 10


@given(
    name=st.sampled_from(LIMITERS.names()),
    samples=st.lists(
        st.builds(
            Sample,
            now_ms=st.floats(0, 1e6),
            latency_ms=st.floats(0, 1e5),
            in_flight=st.integers(1, 300),
            work_class=st.sampled_from(['a', 'b']),
            overloaded=st.booleans(),
        ),
        max_size=60,
    ),
)
@settings(derandomize=True, deadline=None)
def test_limit_stays_in_bounds(name: str, samples: list[Sample]) -> None:
    """Guards against a limit of 0, from which it could never grow again."""
    state = LimitState(10, MAX_LIMIT)
    for sample in samples:
        state = LIMITERS.get(name)(state, sample)
        assert MIN_LIMIT <= state.limit <= MAX_LIMIT


@pytest.mark.parametrize('name', ['aimd', 'gradient'])
def test_overload_shrinks_the_limit_once_for_a_burst(name: str) -> None:
    """Guards against a single stall that reduces the limit to its minimum."""
    state = LimitState(10, MAX_LIMIT)
    for number in range(10):
        sample = Sample(1000 + number, 50, 10, overloaded=True)
        state = LIMITERS.get(name)(state, sample)
    assert 8.9 <= state.limit < 10
