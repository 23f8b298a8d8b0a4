"""Choice of the backend server with the shortest expected response time."""

from collections.abc import Sequence
from math import inf
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.backend.loads import Load
from bergamotshunt.decisions.pace_forecasts import advance, expected_run_ms
from bergamotshunt.decisions.work_meter import ASSUMED_WORK_MS, effective_pace

# Work slows down on a server whose slots are nearly all in use: by
# SATURATION_SLOWDOWN times the occupancy above MIN_SLOWDOWN_OCCUPANCY.
MIN_SLOWDOWN_OCCUPANCY: Final = 0.8
SATURATION_SLOWDOWN: Final = 1.0
# A round trip to another availability zone, and the cost of traffic between
# zones, expressed as time.
CROSS_ZONE_MS: Final = 4.0
CROSS_ZONE_MS_PER_KIB: Final = 1.0
# Servers within this margin of the best one are tied with it. This spreads
# the requests of daemons that act on the same load reports.
TIE_SHARE: Final = 0.12
TIE_MS: Final = 2.0
# A load report older than STALE_REPORT_MS is unreliable, as the server may be
# gone. For each STALE_REPORT_MS of age, STALE_REPORT_COST_MS is added to the
# expected time.
STALE_REPORT_MS: Final = 400.0
STALE_REPORT_COST_MS: Final = 400.0
# Requests differ: a server has to stay fast for one with more work as well.
LONG_WORK_FACTOR: Final = 1.2
# The start of a phase is observed with this delay.
PHASE_DETECTION_MS: Final = 8.0
# Only servers up to this occupancy are worth waiting for.
MAX_FREE_OCCUPANCY: Final = 0.5
# Least time by which a delay has to bring the response forward.
MIN_DELAY_GAIN_MS: Final = 20.0
MS_PER_S: Final = 1000


class ServerView(NamedTuple):
    """A backend server as one sender, a daemon that forwards requests, sees it.

    Attributes:
        instance: Instance id of the server.
        near: Whether it is in the sender's availability zone.
        load: Last load report.
        age_ms: Age of that report.
        unseen: Own requests sent too late to be counted in the report.
        fault_share: Smoothed share of failed requests.
    """

    instance: str
    near: bool
    load: Load
    age_ms: float
    unseen: int = 0
    fault_share: float = 0


class TypicalWork(NamedTuple):
    """Typical work and sizes of the requests of a route.

    Attributes:
        work_ms: Run time on a server at the baseline pace, 1; 0 when unknown.
        response_kib: Size of a response in KiB.
        responses: Number of responses that these means cover.
        request_kib: Size of a request's body in KiB.
    """

    work_ms: float = 0
    response_kib: float = 0
    responses: int = 0
    request_kib: float = 0

    @property
    def transfer_kib(self) -> float:
        """Size of what crosses the links, in KiB."""
        return self.request_kib + self.response_kib


class Estimate(NamedTuple):
    """Expected response time of one more request.

    Attributes:
        total_ms: Waiting and running, for a request with
            ``LONG_WORK_FACTOR`` times the typical work.
        wait_ms: Time in the queue behind all waiting requests.
        next_slot_ms: Time in the queue if it goes before them.
    """

    total_ms: float
    wait_ms: float
    next_slot_ms: float = 0

    @property
    def run_ms(self) -> float:
        """Time on the server of a request with typical work."""
        return (self.total_ms - self.wait_ms) / LONG_WORK_FACTOR


def estimate(view: ServerView, typical: TypicalWork) -> Estimate:
    """Estimate the response time of one more request.

    Args:
        view: The server.
        typical: Typical work of such requests.
    """
    load = view.load
    work_ms = typical.work_ms or ASSUMED_WORK_MS
    limit = max(load.limit, 1)
    running = load.running + view.unseen
    pace = effective_pace(load.pace, load.cold_ms)
    ahead = load.waiting + max(running + 1 - limit, 0)
    # Assuming the current pace for the whole wait errs on the long side,
    # which keeps queues short.
    slot_interval_ms = (load.work_ms or work_ms) * pace / limit
    wait_ms = max(ahead * slot_interval_ms, start_wait_ms(view))
    saturation = max(min(running / limit, 1) - MIN_SLOWDOWN_OCCUPANCY, 0)
    total_ms = wait_ms + expected_run_ms(
        work_ms * LONG_WORK_FACTOR * (1 + SATURATION_SLOWDOWN * saturation),
        pace,
        advance(load.outlook, view.age_ms + wait_ms),
    )
    if not view.near:
        total_ms += CROSS_ZONE_MS + typical.transfer_kib * CROSS_ZONE_MS_PER_KIB
    if view.age_ms > STALE_REPORT_MS:
        total_ms += STALE_REPORT_COST_MS * view.age_ms / STALE_REPORT_MS
    if view.fault_share:
        # A failed request costs another run on another server. The bound
        # avoids a division by zero.
        total_ms /= max(1 - view.fault_share, 0.05)
    return Estimate(total_ms, wait_ms, min(wait_ms, slot_interval_ms))


def start_wait_ms(view: ServerView) -> float:
    """Return the time until a server's daemon may start one more request.

    It starts requests at a limited rate while the server is cold. Each own
    request that is not counted in the report takes its share of that rate.
    """
    load = view.load
    wait_ms = load.start_delay_ms
    if load.start_rate:
        ahead = load.waiting + view.unseen
        wait_ms += ahead * MS_PER_S / load.start_rate
    return max(wait_ms - view.age_ms, 0)


class Choice(NamedTuple):
    """The chosen server and its expected response time."""

    instance: str
    estimate: Estimate


def choose_server(
    views: Sequence[ServerView],
    typical: TypicalWork,
    rng: Random,
) -> Choice | None:
    """Choose at random among the servers with the shortest expected time.

    Returns:
        The choice, or None when no server accepts requests.
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
    """Return for how long a request should wait for the next phase.

    A run that extends past the end of a phase may become slow. Where the
    next phase of a server with free slots starts soon, the whole run may
    fit into that phase.

    Args:
        views: The servers.
        typical: Typical work of such requests.
        best_now_ms: Expected response time of the best choice without delay.
        objective_left_ms: Time until the latency objective is missed; a
            delay that would miss it is never returned.

    Returns:
        The delay in ms; 0 when sending now is as good.
    """
    delays = [
        _server_delay_ms(view, typical, best_now_ms, objective_left_ms)
        for view in views
        if view.load.serving
        and view.load.outlook.phase_ms
        and not view.load.start_rate
    ]
    return min(filter(None, delays), default=0)


def _server_delay_ms(
    view: ServerView,
    typical: TypicalWork,
    best_now_ms: float,
    objective_left_ms: float,
) -> float:
    load = view.load
    forecast = load.outlook
    delay_ms = forecast.phase_left_ms - view.age_ms + PHASE_DETECTION_MS
    run_ms = typical.work_ms * LONG_WORK_FACTOR * forecast.normal_pace
    is_free = load.running + view.unseen <= load.limit * MAX_FREE_OCCUPANCY
    if not is_free or delay_ms <= 0 or run_ms > forecast.phase_ms:
        return 0
    run_after_delay_ms = (1 - forecast.slow_share) * run_ms
    run_after_delay_ms += forecast.slow_share * best_now_ms
    if delay_ms + run_after_delay_ms + MIN_DELAY_GAIN_MS > best_now_ms:
        return 0
    if delay_ms + run_ms > objective_left_ms:
        return 0
    return delay_ms
