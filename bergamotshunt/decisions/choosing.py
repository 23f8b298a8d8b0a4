"""Choice of a backend server among the candidates of a service."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.calls import LoadReport
from bergamotshunt.members import Member
from bergamotshunt.registries import Registry


class Candidate(NamedTuple):
    """A backend server as one chooser sees it.

    Attributes:
        member: The daemon beside it.
        own_in_flight: Requests that this chooser sent and that still run.
        report: Last load report, or None.
        reported_at_ms: Monotonic time of that report.
        latency_ms: Latency that this chooser saw, smoothed.
        near: Whether it is in the chooser's availability zone.
    """

    member: Member
    own_in_flight: int = 0
    report: LoadReport | None = None
    reported_at_ms: float = 0
    latency_ms: float = 0
    near: bool = True


class ChoiceInput(NamedTuple):
    """What a choice depends on, besides the candidates.

    Attributes:
        now_ms: Monotonic time.
        rng: Random source.
        sequence: Number of the choice, for choosers that take turns.
    """

    now_ms: float
    rng: Random
    sequence: int = 0


Chooser = Callable[[Sequence[Candidate], ChoiceInput], Candidate]
CHOOSERS: Final[Registry[Chooser]] = Registry('chooser')


@CHOOSERS.register('random')
def choose_random(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose with equal probability."""
    return choice.rng.choice(candidates)


@CHOOSERS.register('round-robin')
def choose_in_turn(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose in turn."""
    return candidates[choice.sequence % len(candidates)]


@CHOOSERS.register('least-in-flight')
def choose_least_in_flight(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the fewest own requests in flight; ties at random."""
    return min(
        candidates,
        key=lambda candidate: (candidate.own_in_flight, choice.rng.random()),
    )


@CHOOSERS.register('two-choices')
def choose_of_two(
    candidates: Sequence[Candidate],
    choice: ChoiceInput,
) -> Candidate:
    """Choose the less loaded of two random candidates."""
    if len(candidates) == 1:
        return candidates[0]
    pair = choice.rng.sample(candidates, 2)
    return choose_least_in_flight(pair, choice)
