"""Adaptive concurrency limits of a backend server."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bergamotshunt.registries import Registry

MIN_LIMIT: Final = 1.0
MS_PER_S: Final = 1000
# Weights of a new sample in the exponential moving averages.
RATIO_SMOOTHING: Final = 0.1
BASELINE_SMOOTHING: Final = 0.1
# The limit shrinks only when latency exceeds the latency at light load by
# this factor; smaller differences are noise of the service time.
LATENCY_TOLERANCE: Final = 1.3
# Requests above the computed limit that probe for more capacity.
PROBE_HEADROOM: Final = 1.0
# Bounds how far a high latency reduces the limit.
MIN_GRADIENT: Final = 0.5
# If a smaller share of the limit is in use, a sample does not show whether
# the server has capacity for a higher limit.
MIN_USED_SHARE: Final = 0.8
# With at most this share of the limit in flight, latency counts as baseline.
LIGHT_LOAD_SHARE: Final = 0.5
BACKOFF_FACTOR: Final = 0.9
# One overload often affects many responses at once; it reduces the limit
# only once within this time.
BACKOFF_PAUSE_MS: Final = 100.0
MAX_CLASSES: Final = 64
# Under constant load no sample shows the latency at light load. After this
# time without one, the limit is halved to measure it: for two samples per
# request of the limit, and at least ten.
BASELINE_INTERVAL_MS: Final = 10_000.0
MIN_BASELINE_SAMPLES: Final = 10
BASELINE_SAMPLES_PER_LIMIT: Final = 2


class Sample(NamedTuple):
    """One finished request at the backend server.

    Attributes:
        now_ms: Monotonic time of its end.
        latency_ms: Time from its start to its end.
        in_flight: Requests in flight at its start, including this one.
        work_class: Target of the request; targets differ in latency.
        overloaded: Whether it timed out or was refused by the server.
    """

    now_ms: float
    latency_ms: float
    in_flight: int
    work_class: str = ''
    overloaded: bool = False


class LimitState(NamedTuple):
    """State of a limiter.

    Attributes:
        limit: Concurrency limit; at least 1.
        max_limit: Upper bound of the limit.
        ratio: Smoothed ratio of latency to the baseline of its class.
        latency_ms: Smoothed latency over all classes.
        backoff_at_ms: Time of the last reduction after an overload.
        light_load_at_ms: Time of the last sample at light load, or of the
            last halving of the limit.
        baseline_samples_left: Samples until the limit may grow again after
            it was halved to measure the baseline.
        baseline_ms_by_class: Smoothed latency at light load, by work class.
    """

    limit: float
    max_limit: float
    ratio: float = 1.0
    latency_ms: float = 0
    backoff_at_ms: float = float('-inf')
    light_load_at_ms: float = float('-inf')
    baseline_samples_left: int = 0
    baseline_ms_by_class: dict[str, float] = {}


Limiter = Callable[[LimitState, Sample], LimitState]
LIMITERS: Final[Registry[Limiter]] = Registry('limiter')


@LIMITERS.register('fixed')
def apply_fixed(state: LimitState, sample: Sample) -> LimitState:
    """Keep the limit and update only the latency."""
    return learn_latency(state, sample)


@LIMITERS.register('aimd')
def apply_aimd(state: LimitState, sample: Sample) -> LimitState:
    """Grow by one per ``limit`` responses; back off when latency grows."""
    learned = learn_latency(state, sample)
    if sample.overloaded or learned.ratio > 2 * LATENCY_TOLERANCE:
        return back_off(learned, sample.now_ms)
    if sample.in_flight < learned.limit * MIN_USED_SHARE:
        return learned
    return with_limit(learned, learned.limit + 1 / learned.limit)


@LIMITERS.register('gradient')
def apply_gradient(state: LimitState, sample: Sample) -> LimitState:
    """Scale the limit by the ratio of baseline latency to latency.

    Each response makes only one ``limit``-th of the change.
    """
    learned = learn_latency(state, sample)
    if sample.overloaded:
        return back_off(learned, sample.now_ms)
    if sample.now_ms - learned.light_load_at_ms > BASELINE_INTERVAL_MS:
        return halve_for_baseline(learned, sample.now_ms)
    gradient = min(1.0, max(MIN_GRADIENT, LATENCY_TOLERANCE / learned.ratio))
    wanted = learned.limit * gradient + PROBE_HEADROOM
    is_used = sample.in_flight >= learned.limit * MIN_USED_SHARE
    may_grow = is_used and not learned.baseline_samples_left
    if wanted > learned.limit and not may_grow:
        return learned
    step = (wanted - learned.limit) / learned.limit
    return with_limit(learned, learned.limit + step)


def halve_for_baseline(state: LimitState, now_ms: float) -> LimitState:
    """Halve the limit for some samples to measure the baseline."""
    halved = with_limit(state, state.limit / 2)
    baseline_samples_left = max(
        MIN_BASELINE_SAMPLES, int(BASELINE_SAMPLES_PER_LIMIT * state.limit)
    )
    return halved._replace(
        light_load_at_ms=now_ms,
        baseline_samples_left=baseline_samples_left,
        ratio=1.0,
    )


def learn_latency(state: LimitState, sample: Sample) -> LimitState:
    """Update the latency and, at light load, the baseline of the class."""
    if sample.overloaded:
        return state
    is_light_load = sample.in_flight <= max(1, state.limit * LIGHT_LOAD_SHARE)
    by_class = state.baseline_ms_by_class
    if (
        is_light_load
        or state.baseline_samples_left
        or sample.work_class not in by_class
    ):
        by_class = learn_baseline(by_class, sample)
    baseline_ms = by_class[sample.work_class]
    ratio = sample.latency_ms / baseline_ms if baseline_ms else 1.0
    return state._replace(
        latency_ms=smooth(state.latency_ms, sample.latency_ms, RATIO_SMOOTHING),
        ratio=smooth(state.ratio, ratio, RATIO_SMOOTHING),
        light_load_at_ms=sample.now_ms
        if is_light_load
        else state.light_load_at_ms,
        baseline_samples_left=max(0, state.baseline_samples_left - 1),
        baseline_ms_by_class=by_class,
    )


def learn_baseline(
    by_class: dict[str, float],
    sample: Sample,
) -> dict[str, float]:
    """Update the baseline of a class with a sample at light load.

    Once there are ``MAX_CLASSES`` baselines, all but the updated one are
    dropped.
    """
    before_ms = by_class.get(sample.work_class, 0)
    baseline_ms = smooth(before_ms, sample.latency_ms, BASELINE_SMOOTHING)
    if len(by_class) >= MAX_CLASSES:
        return {sample.work_class: baseline_ms}
    return {**by_class, sample.work_class: baseline_ms}


def back_off(state: LimitState, now_ms: float) -> LimitState:
    """Reduce the limit after an overload, at most once per pause."""
    pause_ms = max(BACKOFF_PAUSE_MS, state.latency_ms)
    if now_ms - state.backoff_at_ms < pause_ms:
        return state
    reduced = with_limit(state, state.limit * BACKOFF_FACTOR)
    return reduced._replace(backoff_at_ms=now_ms)


def with_limit(state: LimitState, limit: float) -> LimitState:
    """Return the state with a limit that is clamped to its bounds."""
    return state._replace(limit=min(state.max_limit, max(MIN_LIMIT, limit)))


def smooth(before: float, latest: float, share: float) -> float:
    """Return an exponential moving average.

    Args:
        before: Average so far; 0 when there is none.
        latest: New sample.
        share: Weight of the new sample.
    """
    return before + (latest - before) * share if before else latest
