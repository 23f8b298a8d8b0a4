"""Whether a request is hedged because its server has become slow."""

from typing import Final, NamedTuple

from bergamotshunt.decisions.pace_forecasts import advance, expected_run_ms
from bergamotshunt.decisions.server_choice import (
    Estimate,
    ServerView,
)
from bergamotshunt.decisions.slot_waits import TimeLeft
from bergamotshunt.decisions.work_meter import ASSUMED_WORK_MS, effective_pace

# Requests differ: at least this share of the typical work is expected to be
# left. An overdue request is expected to be overdue by as much again.
MIN_REMAINING_SHARE: Final = 0.25
# Least time by which a hedged attempt has to be faster.
MIN_GAIN_MS: Final = 10.0
# Time of the first check, as a factor of the expected response time, and
# interval of later checks, as a factor of the previous interval. Neither is
# shorter than MIN_CHECK_INTERVAL_MS.
FIRST_CHECK_FACTOR: Final = 1.6
RECHECK_FACTOR: Final = 0.5
MIN_CHECK_INTERVAL_MS: Final = 15.0


class RunningAttempt(NamedTuple):
    """A request in flight at a server, as its sender sees it.

    Attributes:
        view: The server.
        work_ms: Typical work of such a request; 0 when unknown.
        done_work_ms: Work that can have been done for it so far.
    """

    view: ServerView
    work_ms: float
    done_work_ms: float


def remaining_ms(attempt: RunningAttempt) -> float:
    """Return the expected time until a running attempt ends, in ms."""
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
    """Return whether the request should be sent to another server as well.

    Args:
        attempt: The running attempt.
        alternative: Estimate for the other server.
        left: Time left for the request.
    """
    current_left_ms = remaining_ms(attempt)
    if current_left_ms - alternative.total_ms < MIN_GAIN_MS:
        return False
    if alternative.total_ms <= left.objective_ms:
        return current_left_ms > left.objective_ms
    return alternative.total_ms <= left.deadline_ms < current_left_ms
