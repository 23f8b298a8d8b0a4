"""Kinds of call of the two measured deployments, with service times."""

from collections.abc import Callable
from math import exp, log, sqrt
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.registries import Registry


class CallKind(NamedTuple):
    """One kind of call.

    Attributes:
        service: Service that executes it.
        name: Name of the target that it belongs to.
        method: HTTP method.
        path_prefix: Prefix of its path below the service.
        distribution: Distribution of service times; a name in
            ``DISTRIBUTIONS``.
        mean_ms: Mean service time in milliseconds.
        answer_bytes: Size of the response body.
        share: Share of the calls of its deployment outside peak hours.
        weight: Weight in the count of responses within their objective.
        answered_within_ms: Latency objective up to the whole response.
        internal: Whether only other services call it.
    """

    service: str
    name: str
    method: str
    path_prefix: str
    distribution: str
    mean_ms: float
    answer_bytes: int
    share: float
    weight: float
    answered_within_ms: int
    internal: bool = False


Distribution = Callable[[Random, float], float]
DISTRIBUTIONS: Final[Registry[Distribution]] = Registry('distribution')
LOGNORMAL_SIGMA: Final = 0.5


@DISTRIBUTIONS.register('fixed')
def draw_fixed(_rng: Random, mean_ms: float) -> float:
    """Return the mean as a constant service time."""
    return mean_ms


@DISTRIBUTIONS.register('exponential')
def draw_exponential(rng: Random, mean_ms: float) -> float:
    """Draw from an exponential distribution."""
    return rng.expovariate(1 / mean_ms)


@DISTRIBUTIONS.register('lognormal')
def draw_lognormal(rng: Random, mean_ms: float) -> float:
    """Draw from a lognormal distribution with a moderate tail."""
    location = log(mean_ms) - LOGNORMAL_SIGMA**2 / 2
    return exp(rng.gauss(location, LOGNORMAL_SIGMA))


@DISTRIBUTIONS.register('two-modes')
def draw_two_modes(rng: Random, mean_ms: float) -> float:
    """Draw a long time with probability 0.05, else a short one."""
    short_ms = mean_ms / sqrt(2)
    # Solves 0.95 * short_ms + 0.05 * long_ms = mean_ms.
    long_ms = 20 * (mean_ms - 0.95 * short_ms)
    return long_ms if rng.random() < 0.05 else short_ms


CALL_KINDS: Final = (
    CallKind(
        'jar-ledger',
        'balance',
        'GET',
        '/balances',
        'lognormal',
        20,
        400,
        0.7,
        1,
        200,
    ),
    CallKind(
        'jar-ledger',
        'refund',
        'POST',
        '/refunds',
        'lognormal',
        40,
        300,
        0.15,
        3,
        1000,
    ),
    CallKind(
        'catalog',
        'pack',
        'GET',
        '/packs',
        'two-modes',
        60,
        400_000,
        0.03,
        1,
        2000,
    ),
    CallKind(
        'catalog',
        'jar-spec',
        'GET',
        '/specs',
        'lognormal',
        10,
        800,
        0.12,
        0,
        100,
        internal=True,
    ),
    CallKind(
        'returns-desk',
        'schedule',
        'GET',
        '/schedules',
        'lognormal',
        15,
        1500,
        0.45,
        1,
        200,
    ),
    CallKind(
        'returns-desk',
        'drum-credit',
        'GET',
        '/drum-credits',
        'lognormal',
        20,
        300,
        0.25,
        1,
        200,
    ),
    CallKind(
        'returns-desk',
        'pickup',
        'POST',
        '/pickups',
        'lognormal',
        50,
        300,
        0.1,
        4,
        1000,
    ),
    CallKind(
        'assay-vault',
        'silver-credit',
        'POST',
        '/silver-credits',
        'lognormal',
        40,
        300,
        0.1,
        5,
        1000,
    ),
    CallKind(
        'assay-vault',
        'certificate',
        'GET',
        '/certificates',
        'two-modes',
        40,
        120_000,
        0.06,
        2,
        1500,
    ),
    CallKind(
        'assay-vault',
        'assay-check',
        'GET',
        '/checks',
        'fixed',
        5,
        200,
        0.04,
        0,
        100,
        internal=True,
    ),
)


def find_call_kind(method: str, path: str) -> CallKind | None:
    """Return the kind of call by method and path prefix, or None."""
    for kind in CALL_KINDS:
        if method == kind.method and path.startswith(kind.path_prefix):
            return kind
    return None


def draw_service_ms(kind: CallKind, rng: Random) -> float:
    """Draw a service time in milliseconds."""
    return DISTRIBUTIONS.get(kind.distribution)(rng, kind.mean_ms)
