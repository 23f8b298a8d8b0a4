"""Choice of a backend server by the expected time to its response."""

from collections.abc import Sequence
from math import inf
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.backend.loads import Load
from bergamotshunt.decisions.pace_forecasts import expected_run_ms, advance
from bergamotshunt.decisions.work_meter import ASSUMED_WORK_MS, effective_pace

# Work slows down on a server whose slots are nearly all taken.
SATURATED_SHARE: Final = 0.8
SATURATION_SLOWDOWN: Final = 1.0
# A round trip to another zone, and what the bytes between zones are worth.
CROSS_ZONE_MS: Final = 4.0
CROSS_ZONE_MS_PER_KIB: Final = 1.0
# Servers within this margin of the best are as good as the best, which
# spreads the requests of daemons that read the same reports.
TIE_SHARE: Final = 0.12
TIE_MS: Final = 2.0
# A report this old says little; the server may be gone.
STALE_REPORT_MS: Final = 400.0
STALE_REPORT_COST_MS: Final = 400.0
# Requests differ; a server has to stay fast for a longer one, too.
LONG_WORK_FACTOR: Final = 1.2


# A turn is observed this long after it began.
PHASE_DETECTION_MS: Final = 8.0
MAX_FREE_OCCUPANCY: Final = 0.5
MIN_DELAY_GAIN_MS: Final = 20.0


class ServerView(NamedTuple):
    """A backend server as one chooser sees it.

    Attributes:
        instance: Lifetime of the server.
        near: Whether it is in the chooser's availability zone.
        load: Last load report.
        age_ms: Age of that report.
        unseen: Own requests that the report cannot contain.
        fault_share: Smoothed share of failed requests.
    """

    instance: str
    near: bool
    load: Load
    age_ms: float
    unseen: int = 0
    fault_share: float = 0


class TypicalWork(NamedTuple):
    """What is usual of the requests of a route.

    Attributes:
        work_ms: Time on a server at the usual pace; 0 when unknown.
        response_kib: Size of a response.
        responses: How many responses this was learned from.
    """

    work_ms: float = 0
    response_kib: float = 0
    responses: int = 0


class Estimate(NamedTuple):
    """Expected time to the response of one more request.

    Attributes:
        total_ms: All of it, for a request that is longer than usual.
        wait_ms: Time in the queue.
    """

    total_ms: float
    wait_ms: float

    @property
    def run_ms(self) -> float:
        """Time on the server of a usual request."""
        return (self.total_ms - self.wait_ms) / LONG_WORK_FACTOR


def estimate(view: ServerView, typical: TypicalWork) -> Estimate:
    """Estimate the time to the response of one more request.

    Args:
        view: The server.
        usual: What is usual of such requests.
    """
    load = view.load
    work_ms = typical.work_ms or ASSUMED_WORK_MS
    limit = max(load.limit, 1)
    running = load.running + view.unseen
    pace = effective_pace(load.pace, load.cold_ms)
    ahead = load.waiting + max(running + 1 - limit, 0)
    # The pace of now errs towards a long wait, which keeps queues short.
    wait_ms = ahead * (load.work_ms or work_ms) * pace / limit
    saturation = max(min(running / limit, 1) - SATURATED_SHARE, 0)
    total_ms = wait_ms + expected_run_ms(
        work_ms * LONG_WORK_FACTOR * (1 + SATURATION_SLOWDOWN * saturation),
        pace,
        advance(load.outlook, view.age_ms + wait_ms),
    )
    if not view.near:
        total_ms += CROSS_ZONE_MS + typical.response_kib * CROSS_ZONE_MS_PER_KIB
    if view.age_ms > STALE_REPORT_MS:
        total_ms += STALE_REPORT_COST_MS * view.age_ms / STALE_REPORT_MS
    if view.fault_share:
        # A failed request costs another run elsewhere.
        total_ms /= max(1 - view.fault_share, 0.05)
    return Estimate(total_ms, wait_ms)


class Choice(NamedTuple):
    """The chosen server and what is expected of it."""

    instance: str
    estimate: Estimate


def choose_server(
    views: Sequence[ServerView],
    typical: TypicalWork,
    rng: Random,
) -> Choice | None:
    """Choose among the servers that are expected to answer first.

    Returns:
        The choice, or None when no server takes requests.
    """
    serving = [view for view in views if view.load.serving]
    if not serving:
        return None
    choices = [
        Choice(view.instance, estimate(view, typical)) for view in serving
    ]
    best_ms = min(choice.estimate.total_ms for choice in choices)
    bound_ms = best_ms * (1 + TIE_SHARE) + TIE_MS
    return rng.choice(
        [choice for choice in choices if choice.estimate.total_ms <= bound_ms],
    )


def phase_start_delay_ms(
    views: Sequence[ServerView],
    typical: TypicalWork,
    best_now_ms: float,
    objective_left_ms: float = inf,
) -> float:
    """Return for how long a request should wait for a fresh turn.

    A run that spans the end of a turn may end on a slow server. Where the
    next turn of a server with free slots begins soon, the run may fit into
    it as a whole.

    Args:
        views: The servers.
        usual: What is usual of such requests.
        now_best_ms: Expected time of the best choice of now.
        goal_left_ms: Until a response is worth less; no wait lasts so long
            that this is missed.

    Returns:
        The delay; 0 when the best choice of now is as good.
    """
    delays = [
        _server_delay_ms(view, typical, best_now_ms, objective_left_ms)
        for view in views
        if view.load.serving and view.load.outlook.phase_ms
    ]
    return min(filter(None, delays), default=0)


def _server_delay_ms(
    view: ServerView,
    typical: TypicalWork,
    best_now_ms: float,
    objective_left_ms: float,
) -> float:
    load = view.load
    outlook = load.outlook
    delay_ms = outlook.phase_left_ms - view.age_ms + PHASE_DETECTION_MS
    run_ms = typical.work_ms * LONG_WORK_FACTOR * outlook.normal_pace
    is_free = load.running + view.unseen <= load.limit * MAX_FREE_OCCUPANCY
    if not is_free or delay_ms <= 0 or run_ms > outlook.phase_ms:
        return 0
    run_after_delay_ms = (1 - outlook.slow_share) * run_ms
    run_after_delay_ms += outlook.slow_share * best_now_ms
    if delay_ms + run_after_delay_ms + MIN_DELAY_GAIN_MS > best_now_ms:
        return 0
    if delay_ms + run_ms > objective_left_ms:
        return 0
    return delay_ms
