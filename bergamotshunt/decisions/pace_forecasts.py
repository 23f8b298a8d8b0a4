"""How the pace of a backend server may go on, and what work takes then."""

from typing import Final, NamedTuple

MAX_PHASES_AHEAD: Final = 3


class PaceForecast(NamedTuple):
    """How the pace of a server may go on.

    Attributes:
        hold_ms: How long the pace stays as it is; 0 when unknown.
        turn_ms: Length of a turn; 0 when unknown.
        slow_share: Share of the turns that are slow.
        low: Pace of a usual turn.
        high: Pace of a slow turn.
    """

    phase_left_ms: float = 0
    phase_ms: float = 0
    slow_share: float = 0
    normal_pace: float = 1
    slow_pace: float = 1


def expected_run_ms(
    work_ms: float, pace: float, forecast: PaceForecast
) -> float:
    """Return the expected time of work that begins now.

    Args:
        work_ms: Time that it takes at the usual pace.
        pace: Pace now.
        outlook: How the pace may go on.
    """
    if not forecast.phase_ms:
        return work_ms * pace
    work_in_phase_ms = forecast.phase_left_ms / pace
    if work_ms <= work_in_phase_ms:
        return work_ms * pace
    rest_ms = _later_run_ms(
        work_ms - work_in_phase_ms, forecast, MAX_PHASES_AHEAD
    )
    return forecast.phase_left_ms + rest_ms


def advance(forecast: PaceForecast, elapsed_ms: float) -> PaceForecast:
    """Return an outlook after some time; its turn may have ended."""
    if not forecast.phase_ms:
        return forecast
    return forecast._replace(
        phase_left_ms=max(forecast.phase_left_ms - elapsed_ms, 0)
    )


def _later_run_ms(
    work_ms: float, forecast: PaceForecast, phases_left: int
) -> float:
    total_ms: float = 0
    for share, pace in (
        (1 - forecast.slow_share, forecast.normal_pace),
        (forecast.slow_share, forecast.slow_pace),
    ):
        run_ms = work_ms * pace
        if run_ms > forecast.phase_ms and phases_left:
            rest_ms = work_ms - forecast.phase_ms / pace
            later_ms = _later_run_ms(rest_ms, forecast, phases_left - 1)
            run_ms = forecast.phase_ms + later_ms
        total_ms += share * run_ms
    return total_ms
