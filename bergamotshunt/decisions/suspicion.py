"""Suspicion: how long a suspected member has to refute it."""

from math import log, log10
from typing import Final, NamedTuple

# Longest timeout (one reporter) as a multiple of the shortest. With three, a
# host failure that a single daemon reports is detected within a minute at
# 7,200 members.
MAX_TIMEOUT_FACTOR: Final = 3
# Further reporters that reduce the timeout to the shortest one.
MAX_CONFIRMATIONS: Final = 3


class SuspicionRules(NamedTuple):
    """Inputs of the suspicion timeout.

    Attributes:
        factor: Setting ``membership.suspicion_factor``.
        interval_ms: Setting ``membership.probe_interval_ms``.
        live_count: Live members, this one included.
    """

    factor: int
    interval_ms: float
    live_count: int


class Suspicion(NamedTuple):
    """Suspicion of one member; times are monotonic.

    Attributes:
        incarnation: Incarnation that is suspected.
        started_ms: When the suspicion started.
        deadline_ms: When the member is marked dead without a refutation.
        reporters: Daemons whose probes of the member failed.
    """

    incarnation: int
    started_ms: float
    deadline_ms: float
    reporters: frozenset[str]


def required_confirmations(live_count: int) -> int:
    """Return how many further reporters reduce the timeout to the shortest.

    The suspected member and the first reporter cannot confirm, so a fleet
    of two needs no confirmation.
    """
    return max(0, min(MAX_CONFIRMATIONS, live_count - 2))


def suspicion_timeout_ms(rules: SuspicionRules, reporter_count: int) -> float:
    """Return the timeout in ms of a suspicion.

    It grows with the logarithm of the fleet's size, as an update needs that
    many rounds to reach the suspected member and its refutation to return.
    It shrinks with each independent reporter.
    """
    scale = log10(max(10, rules.live_count))
    min_timeout_ms = rules.factor * rules.interval_ms * scale
    required = required_confirmations(rules.live_count)
    if not required:
        return min_timeout_ms
    confirmations = min(max(reporter_count - 1, 0), required)
    progress = log(confirmations + 1) / log(required + 1)
    return min_timeout_ms * (
        MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1) * progress
    )


def start_suspicion(
    rules: SuspicionRules,
    incarnation: int,
    reporter: str,
    now_ms: float,
) -> Suspicion:
    """Return the suspicion after its first report."""
    return Suspicion(
        incarnation,
        now_ms,
        now_ms + suspicion_timeout_ms(rules, 1),
        frozenset((reporter,)),
    )


def confirm_suspicion(
    rules: SuspicionRules,
    suspicion: Suspicion,
    reporter: str,
) -> Suspicion:
    """Return the suspicion after one more report."""
    reporters = suspicion.reporters | {reporter}
    deadline_ms = suspicion.started_ms + suspicion_timeout_ms(
        rules, len(reporters)
    )
    return suspicion._replace(reporters=reporters, deadline_ms=deadline_ms)


def postpone_deadline(suspicion: Suspicion, delay_ms: float) -> Suspicion:
    """Return the suspicion after a pause of this process.

    A refutation that arrived during the pause was not read, so the pause
    does not count towards the timeout.
    """
    return suspicion._replace(
        started_ms=suspicion.started_ms + delay_ms,
        deadline_ms=suspicion.deadline_ms + delay_ms,
    )
