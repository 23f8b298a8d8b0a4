"""Suspicion: how long a silent member has to refute an accusation."""

from math import log, log10
from typing import Final, NamedTuple

# The longest wait (one accuser) as a multiple of the shortest. Three keeps
# the death of a host that a single daemon noticed under a minute at 7,200.
MAX_TIMEOUT_FACTOR: Final = 3
# Accusers beyond the first that bring the wait down to the shortest.
MAX_CONFIRMATIONS: Final = 3


class SuspicionRules(NamedTuple):
    """What the wait depends on.

    Attributes:
        factor: Setting ``membership.suspicion_factor``.
        interval_ms: Setting ``membership.probe_interval_ms``.
        live_count: Members that count as running, this one included.
    """

    factor: int
    interval_ms: float
    live_count: int


class Suspicion(NamedTuple):
    """One suspected member.

    Attributes:
        incarnation: Incarnation that is suspected.
        started_ms: Start of the wait.
        deadline_ms: The member counts as dead from then on.
        accusers: Daemons that got no answer from it.
    """

    incarnation: int
    started_ms: float
    deadline_ms: float
    reporters: frozenset[str]


def required_confirmations(live_count: int) -> int:
    """Return how many further accusers shorten the wait to the shortest.

    The suspect and the first accuser cannot confirm, so a fleet of two
    expects nobody else.
    """
    return max(0, min(MAX_CONFIRMATIONS, live_count - 2))


def suspicion_timeout_ms(rules: SuspicionRules, reporter_count: int) -> float:
    """Return the wait for a refutation.

    It grows with the logarithm of the fleet, as news needs that many
    rounds to reach the suspect and return, and it shrinks with each
    independent accuser.
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
    """Return the suspicion after the first accusation."""
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
    """Return the suspicion after one more accusation."""
    reporters = suspicion.reporters | {reporter}
    deadline_ms = suspicion.started_ms + suspicion_timeout_ms(
        rules, len(reporters)
    )
    return suspicion._replace(reporters=reporters, deadline_ms=deadline_ms)


def postpone_deadline(suspicion: Suspicion, delay_ms: float) -> Suspicion:
    """Return the suspicion after a pause of this daemon.

    A refutation that arrived during the pause was not read, so the pause
    does not count as waiting.
    """
    return suspicion._replace(
        started_ms=suspicion.started_ms + delay_ms,
        deadline_ms=suspicion.deadline_ms + delay_ms,
    )
