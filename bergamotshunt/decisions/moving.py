"""When a second server is asked because the first one has turned slow."""

from typing import Final, NamedTuple

from bergamotshunt.decisions.outlooks import expected_run_ms, later
from bergamotshunt.decisions.placement import (
    Estimate,
    ServerView,
)
from bergamotshunt.decisions.waiting import TimeLeft
from bergamotshunt.decisions.work_clock import ASSUMED_WORK_MS, effective_pace

# Requests differ: this share of the usual work may always be left. One that
# is overdue is expected to take the time that it is late once more.
MIN_REST_SHARE: Final = 0.25
# A second run has to bring the response forward by this much.
MIN_GAIN_MS: Final = 10.0
# The first look after the expected time, and how far apart later ones are.
FIRST_LOOK_FACTOR: Final = 1.6
LOOK_FACTOR: Final = 0.5
MIN_LOOK_MS: Final = 15.0


class RunningAttempt(NamedTuple):
    """A request at a server, as its sender sees it.

    Attributes:
        view: The server.
        work_ms: Usual work of such a request.
        worked_ms: Work that it can have had done so far.
    """

    view: ServerView
    work_ms: float
    worked_ms: float


def remaining_ms(attempt: RunningAttempt) -> float:
    """Return the expected time until the response of a running attempt."""
    work_ms = attempt.work_ms or ASSUMED_WORK_MS
    overdue_ms = attempt.worked_ms - work_ms
    rest_ms = max(-overdue_ms, work_ms * MIN_REST_SHARE, overdue_ms)
    view = attempt.view
    return expected_run_ms(
        rest_ms,
        effective_pace(view.load.pace, view.load.cold_ms),
        later(view.load.outlook, view.age_ms),
    )


def is_move_worth(
    attempt: RunningAttempt,
    other: Estimate,
    left: TimeLeft,
) -> bool:
    """Return whether another server should be asked as well.

    Args:
        attempt: The attempt that is under way.
        other: What is expected of the other server.
        left: Time that the request has.
    """
    stay_ms = remaining_ms(attempt)
    if stay_ms - other.total_ms < MIN_GAIN_MS:
        return False
    if other.total_ms <= left.goal_ms:
        return stay_ms > left.goal_ms
    return other.total_ms <= left.final_ms < stay_ms
