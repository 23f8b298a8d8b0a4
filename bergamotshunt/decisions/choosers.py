"""Algorithms that choose a backend server among the candidates of a service."""

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import Final

from bergamotshunt.decisions.scoring import (
    Candidate,
    ChoiceInput,
    base_latency_ms,
    expected_response_ms,
    occupancy,
    slow_start_share,
)
from bergamotshunt.registries import Registry

Chooser = Callable[[Sequence[Candidate], ChoiceInput], Candidate]
CHOOSERS: Final[Registry[Chooser]] = Registry('chooser')

# From this occupancy on, requests may overflow to another availability zone.
# It is below 1, so that they overflow before they queue.
OVERFLOW_OCCUPANCY: Final = 0.7
BUSY_OCCUPANCY: Final = 0.8
SAMPLE_SIZE: Final = 3


@CHOOSERS.register('random')
def choose_random(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose with equal probability."""
    return choice.rng.choice(candidates)


@CHOOSERS.register('round-robin')
def choose_round_robin(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the candidates one after the other."""
    return candidates[choice.sequence % len(candidates)]


@CHOOSERS.register('least-in-flight')
def choose_least_in_flight(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the candidate with the fewest own requests in flight.

    Ties are broken at random.
    """
    return min(
        candidates,
        key=lambda candidate: (candidate.own_in_flight, choice.rng.random()),
    )


@CHOOSERS.register('two-choices')
def choose_two_choices(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the less occupied of two random candidates."""
    return min(
        draw_sample(candidates, 2, choice),
        key=lambda candidate: occupancy(candidate, choice),
    )


@CHOOSERS.register('latency-weighted')
def choose_latency_weighted(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the lower product of latency and load of two random candidates.

    The load is the number of own requests in flight, with the new one.
    """
    return min(
        draw_sample(candidates, 2, choice),
        key=lambda candidate: (
            base_latency_ms(candidate, choice) * (candidate.own_in_flight + 1)
        ),
    )


@CHOOSERS.register('hot-cold')
def choose_hot_cold(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the fastest candidate below ``BUSY_OCCUPANCY``.

    When all are busy, choose the least occupied one.
    """
    drawn = draw_sample(candidates, SAMPLE_SIZE, choice)
    not_busy = [
        candidate
        for candidate in drawn
        if occupancy(candidate, choice) < BUSY_OCCUPANCY
    ]
    if not_busy:
        return min(
            not_busy,
            key=lambda candidate: base_latency_ms(candidate, choice),
        )
    return min(drawn, key=lambda candidate: occupancy(candidate, choice))


@CHOOSERS.register('expected-wait')
def choose_expected_wait(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the shortest expected response time in a random sample."""
    return min(
        draw_sample(candidates, SAMPLE_SIZE, choice),
        key=lambda candidate: expected_response_ms(candidate, choice),
    )


def draw_sample(
    candidates: Sequence[Candidate],
    size: int,
    choice: ChoiceInput,
) -> Sequence[Candidate]:
    """Draw distinct candidates, those in slow start less often.

    Comparing a few random servers instead of all keeps independent daemons
    from sending to the same server at the same time. When slow start would
    leave out all that were drawn, all are kept.
    """
    drawn = draw_distinct(candidates, size, choice.rng)
    warm = [
        candidate
        for candidate in drawn
        if choice.rng.random() < slow_start_share(candidate, choice.now_ms)
    ]
    return warm or drawn


def draw_distinct(
    candidates: Sequence[Candidate],
    size: int,
    rng: Random,
) -> Sequence[Candidate]:
    """Draw without replacement.

    For 2 or 3 candidates this is faster than ``Random.sample``.
    """
    count = len(candidates)
    if count <= size:
        return candidates
    positions = {int(rng.random() * count) for _ in range(size)}
    while len(positions) < size:
        positions.add(int(rng.random() * count))
    return [candidates[position] for position in positions]


def choose_with_overflow(
    chooser: Chooser,
    near: Sequence[Candidate],
    far: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose in the own availability zone unless it is busy or slow.

    Args:
        chooser: Entry of ``CHOOSERS``.
        near: Candidates in the own zone.
        far: Candidates in other zones. ``near`` and ``far`` are not both
            empty.
        choice: Time and other inputs of the choice.
    """
    if not near:
        return chooser(far, choice)
    best = chooser(near, choice)
    if not far:
        return best
    if occupancy(best, choice) < OVERFLOW_OCCUPANCY and has_typical_latency(
        best, choice
    ):
        return best
    return min(
        (best, chooser(far, choice)),
        key=lambda candidate: expected_response_ms(candidate, choice),
    )


def has_typical_latency(candidate: Candidate, choice: ChoiceInput) -> bool:
    """Return whether a server is not much slower than is typical.

    Its latency may be up to twice the typical one plus 2 ms.
    """
    return (
        base_latency_ms(candidate, choice) < 2 * choice.typical.latency_ms + 2
    )


def exclude_tried(
    candidates: Iterable[Candidate], tried: Collection[str]
) -> list[Candidate]:
    """Return the candidates that the call has not tried."""
    return [
        candidate
        for candidate in candidates
        if candidate.member.daemon_id not in tried
    ]
