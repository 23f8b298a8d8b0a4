"""How the pace of a backend server may go on, and what work takes then."""

from typing import Final, NamedTuple

MAX_TURNS_AHEAD: Final = 3


class Outlook(NamedTuple):
    """How the pace of a server may go on.

    Attributes:
        hold_ms: How long the pace stays as it is; 0 when unknown.
        turn_ms: Length of a turn; 0 when unknown.
        slow_share: Share of the turns that are slow.
        low: Pace of a usual turn.
        high: Pace of a slow turn.
    """

    hold_ms: float = 0
    turn_ms: float = 0
    slow_share: float = 0
    low: float = 1
    high: float = 1


def expected_run_ms(work_ms: float, pace: float, outlook: Outlook) -> float:
    """Return the expected time of work that begins now.

    Args:
        work_ms: Time that it takes at the usual pace.
        pace: Pace now.
        outlook: How the pace may go on.
    """
    if not outlook.turn_ms:
        return work_ms * pace
    done_ms = outlook.hold_ms / pace
    if work_ms <= done_ms:
        return work_ms * pace
    rest_ms = _later_run_ms(work_ms - done_ms, outlook, MAX_TURNS_AHEAD)
    return outlook.hold_ms + rest_ms


def later(outlook: Outlook, passed_ms: float) -> Outlook:
    """Return an outlook after some time; its turn may have ended."""
    if not outlook.turn_ms:
        return outlook
    return outlook._replace(hold_ms=max(outlook.hold_ms - passed_ms, 0))


def _later_run_ms(work_ms: float, outlook: Outlook, turns: int) -> float:
    total_ms: float = 0
    for share, pace in (
        (1 - outlook.slow_share, outlook.low),
        (outlook.slow_share, outlook.high),
    ):
        run_ms = work_ms * pace
        if run_ms > outlook.turn_ms and turns:
            rest_ms = work_ms - outlook.turn_ms / pace
            later_ms = _later_run_ms(rest_ms, outlook, turns - 1)
            run_ms = outlook.turn_ms + later_ms
        total_ms += share * run_ms
    return total_ms
