"""When a second server is asked because the first one has turned slow."""

from typing import Final, NamedTuple

from bergamotshunt.decisions.pace_forecasts import expected_run_ms, advance
from bergamotshunt.decisions.server_choice import (
    Estimate,
    ServerView,
)
from bergamotshunt.decisions.slot_waits import TimeLeft
from bergamotshunt.decisions.work_meter import ASSUMED_WORK_MS, effective_pace

# Requests differ: this share of the usual work may always be left. One that
# is overdue is expected to take the time that it is late once more.
MIN_REMAINING_SHARE: Final = 0.25
# A second run has to bring the response forward by this much.
MIN_GAIN_MS: Final = 10.0
# The first look after the expected time, and how far apart later ones are.
FIRST_CHECK_FACTOR: Final = 1.6
CHECK_FACTOR: Final = 0.5
MIN_CHECK_MS: Final = 15.0


class RunningAttempt(NamedTuple):
    """A request at a server, as its sender sees it.

    Attributes:
        view: The server.
        work_ms: Usual work of such a request.
        worked_ms: Work that it can have had done so far.
    """

    view: ServerView
    work_ms: float
    done_work_ms: float


def remaining_ms(attempt: RunningAttempt) -> float:
    """Return the expected time until the response of a running attempt."""
    work_ms = attempt.work_ms or ASSUMED_WORK_MS
    overdue_ms = attempt.done_work_ms - work_ms
    work_left_ms = max(-overdue_ms, work_ms * MIN_REMAINING_SHARE, overdue_ms)
    view = attempt.view
    return expected_run_ms(
        work_left_ms,
        effective_pace(view.load.pace, view.load.cold_ms),
        advance(view.load.outlook, view.age_ms),
    )


def is_hedge_worthwhile(
    attempt: RunningAttempt,
    alternative: Estimate,
    left: TimeLeft,
) -> bool:
    """Return whether another server should be asked as well.

    Args:
        attempt: The attempt that is under way.
        other: What is expected of the other server.
        left: Time that the request has.
    """
    current_left_ms = remaining_ms(attempt)
    if current_left_ms - alternative.total_ms < MIN_GAIN_MS:
        return False
    if alternative.total_ms <= left.objective_ms:
        return current_left_ms > left.objective_ms
    return alternative.total_ms <= left.deadline_ms < current_left_ms
