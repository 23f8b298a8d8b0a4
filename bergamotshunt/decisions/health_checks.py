"""Decides when the health of the backend server is checked next.

A check costs the server some of its time. It is worth that while requests
may be sent to the server: senders choose it by its pace, which they cannot
see otherwise. Responses show the pace as well as a check does.
"""

from typing import Final, NamedTuple

# A server counts as in use for this time after the last sign of it.
USE_LIFETIME_MS: Final = 5000.0
# The interval of a server without use, as a share of the time without use.
IDLE_SHARE: Final = 0.5
MAX_IDLE_INTERVAL_MS: Final = 1000.0
# Least time between two checks, also when requests wait for the next one.
MIN_INTERVAL_MS: Final = 20.0
DOWN_INTERVAL_MS: Final = 100.0


class CheckedServer(NamedTuple):
    """The state of a server that decides whether to check it.

    Attributes:
        in_flight: Requests on the server.
        slots: Maximum number of requests that it runs; 0 when unknown.
        down: Whether it accepts no connections.
        pace_age_ms: Time since a response or a check last showed its pace.
        checked_age_ms: Time since the last check was sent.
        needed: Whether requests wait for a check.
        answers_when_full: Whether the server answers a check while all its
            slots are taken.
    """

    in_flight: int
    slots: int
    down: bool
    pace_age_ms: float
    checked_age_ms: float
    needed: bool = False
    answers_when_full: bool = True

    @property
    def has_no_place(self) -> bool:
        """Whether the server has no place for a check."""
        is_full = 0 < self.slots <= self.in_flight
        return is_full and not self.answers_when_full


def is_idle(unused_ms: float) -> bool:
    """Return whether a server counts as not in use.

    Args:
        unused_ms: Time since anybody used the server or its service.
    """
    return unused_ms > USE_LIFETIME_MS


def check_interval_ms(phase_interval_ms: float, unused_ms: float) -> float:
    """Return the time until the next check.

    Args:
        phase_interval_ms: Interval that the phases of the pace need.
        unused_ms: Time since anybody used the server or its service.
    """
    idle_ms = max(unused_ms - USE_LIFETIME_MS, 0)
    idle_interval_ms = min(idle_ms * IDLE_SHARE, MAX_IDLE_INTERVAL_MS)
    return max(phase_interval_ms, idle_interval_ms)


def is_check_due(server: CheckedServer, interval_ms: float) -> bool:
    """Return whether to check a server now.

    Args:
        server: The server.
        interval_ms: Age at which its pace has to be observed again.
    """
    if server.down:
        return True
    if server.has_no_place:
        # The response that ends a request shows the pace instead.
        return False
    if server.needed and server.checked_age_ms >= MIN_INTERVAL_MS:
        return True
    return server.pace_age_ms >= interval_ms
