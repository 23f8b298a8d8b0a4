"""Forecast of the pace of a backend server and of run times under it.

The pace is the factor by which work on a server is slowed down: 1 is the
baseline, at 2 the same work takes twice as long.
"""

from typing import Final, NamedTuple

# Each further phase that is looked ahead doubles the cases to compute.
MAX_PHASES_AHEAD: Final = 3


class PaceForecast(NamedTuple):
    """Forecast of the pace of a server.

    Other processes on the host change the pace in phases of equal length.

    Attributes:
        phase_left_ms: Time until the current phase ends; 0 when unknown.
        phase_ms: Length of a phase; 0 when unknown.
        slow_share: Share of the phases that are slow.
        normal_pace: Pace in a normal phase.
        slow_pace: Pace in a slow phase.
    """

    phase_left_ms: float = 0
    phase_ms: float = 0
    slow_share: float = 0
    normal_pace: float = 1
    slow_pace: float = 1


def expected_run_ms(
    work_ms: float, pace: float, forecast: PaceForecast
) -> float:
    """Return the expected run time of work that starts now, in ms.

    Args:
        work_ms: Run time at pace 1.
        pace: Current pace.
        forecast: Forecast of the pace.
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
    """Return a forecast as of ``elapsed_ms`` later; its phase may be over."""
    if not forecast.phase_ms:
        return forecast
    return forecast._replace(
        phase_left_ms=max(forecast.phase_left_ms - elapsed_ms, 0)
    )


def _later_run_ms(
    work_ms: float, forecast: PaceForecast, phases_left: int
) -> float:
    """Return the expected run time of work that starts with a new phase."""
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
