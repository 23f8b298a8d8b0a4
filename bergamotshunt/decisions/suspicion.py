"""Suspicion: how long a silent member has to refute an accusation."""

from math import log, log10
from typing import Final, NamedTuple

# The longest wait (one accuser) as a multiple of the shortest. Three keeps
# the death of a host that a single daemon noticed under a minute at 7,200.
MAX_FACTOR: Final = 3
# Accusers beyond the first that bring the wait down to the shortest.
CONFIRMATIONS: Final = 3


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
    accusers: frozenset[str]


def needed_confirmations(live_count: int) -> int:
    """Return how many further accusers shorten the wait to the shortest.

    The suspect and the first accuser cannot confirm, so a fleet of two
    expects nobody else.
    """
    return max(0, min(CONFIRMATIONS, live_count - 2))


def wait_ms(rules: SuspicionRules, accuser_count: int) -> float:
    """Return the wait for a refutation.

    It grows with the logarithm of the fleet, as news needs that many
    rounds to reach the suspect and return, and it shrinks with each
    independent accuser.
    """
    scale = log10(max(10, rules.live_count))
    shortest = rules.factor * rules.interval_ms * scale
    needed = needed_confirmations(rules.live_count)
    if not needed:
        return shortest
    confirmations = min(max(accuser_count - 1, 0), needed)
    progress = log(confirmations + 1) / log(needed + 1)
    return shortest * (MAX_FACTOR - (MAX_FACTOR - 1) * progress)


def start_suspicion(
    rules: SuspicionRules,
    incarnation: int,
    accuser: str,
    now_ms: float,
) -> Suspicion:
    """Return the suspicion after the first accusation."""
    return Suspicion(
        incarnation,
        now_ms,
        now_ms + wait_ms(rules, 1),
        frozenset((accuser,)),
    )


def confirm(
    rules: SuspicionRules,
    suspicion: Suspicion,
    accuser: str,
) -> Suspicion:
    """Return the suspicion after one more accusation."""
    accusers = suspicion.accusers | {accuser}
    deadline_ms = suspicion.started_ms + wait_ms(rules, len(accusers))
    return suspicion._replace(accusers=accusers, deadline_ms=deadline_ms)


def postpone(suspicion: Suspicion, delay_ms: float) -> Suspicion:
    """Return the suspicion after a pause of this daemon.

    A refutation that arrived during the pause was not read, so the pause
    does not count as waiting.
    """
    return suspicion._replace(
        started_ms=suspicion.started_ms + delay_ms,
        deadline_ms=suspicion.deadline_ms + delay_ms,
    )
