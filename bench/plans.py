"""Plan the calls of a load: seeded Poisson arrivals of several kinds."""

from random import Random
from typing import Final, NamedTuple

from bench.shapes import Shape
from standins.call_kinds import CallKind

REPEAT_SHARE: Final = 0.03
MAX_REPEAT_DELAY_S: Final = 0.3
MAX_ENTITY_ID: Final = 5000


class Call(NamedTuple):
    """One planned call.

    Attributes:
        at_s: Time of arrival in seconds after the start.
        kind: Kind of call.
        path: Path below the path of the service.
        request_id: Unique request id.
        booking: Id of its booking, empty for other calls; a repeat has the
            id of the first call.
        entry: Random number that selects the daemon that it is sent to.
    """

    at_s: float
    kind: CallKind
    path: str
    request_id: str
    booking: str
    entry: int


def plan_calls(
    shape: Shape,
    seconds: float,
    seed: int,
    rate_factor_by_kind: dict[str, float] | None = None,
    repeat_share: float = REPEAT_SHARE,
) -> list[Call]:
    """Plan the calls of an open-loop load.

    Args:
        shape: The deployment.
        seconds: Duration of the load in seconds.
        seed: Seed of arrivals, kinds and repeats.
        rate_factor_by_kind: Factor on the rate, by name of the kind; 1 by
            default.
        repeat_share: Share of bookings that are sent twice.

    Returns:
        The calls in the order of their arrivals.
    """
    calls: list[Call] = []
    for kind in shape.kinds():
        factor = (rate_factor_by_kind or {}).get(kind.name, 1)
        calls_per_s = shape.calls_per_s * kind.share * factor
        calls.extend(plan_kind(kind, calls_per_s, seconds, seed, repeat_share))
    return sorted(calls, key=lambda call: call.at_s)


def plan_kind(
    kind: CallKind,
    calls_per_s: float,
    seconds: float,
    seed: int,
    repeat_share: float,
) -> list[Call]:
    """Plan the calls of one kind, with repeats of some bookings.

    Args:
        kind: Kind of call.
        calls_per_s: Mean rate of arrivals, in calls per second.
        seconds: Duration of the load in seconds.
        seed: Seed of arrivals and repeats.
        repeat_share: Share of bookings that are sent twice.
    """
    rng = Random(f'{seed} {kind.name}')
    calls: list[Call] = []
    at_s = rng.expovariate(calls_per_s)
    while at_s < seconds:
        number = rng.randrange(MAX_ENTITY_ID)
        name = f'{kind.name}-{seed}-{len(calls)}'
        booking = f'booking-{name}' if kind.method == 'POST' else ''
        path = f'{kind.path_prefix}/{number}'
        call = Call(at_s, kind, path, name, booking, rng.randrange(1 << 20))
        calls.append(call)
        if booking and rng.random() < repeat_share:
            calls.append(repeat_call(call, rng))
        at_s += rng.expovariate(calls_per_s)
    return calls


def repeat_call(call: Call, rng: Random) -> Call:
    """Plan a repeat of a booking shortly after it, at a random daemon."""
    return call._replace(
        at_s=call.at_s + rng.random() * MAX_REPEAT_DELAY_S,
        request_id=f'{call.request_id}-again',
        entry=rng.randrange(1 << 20),
    )
