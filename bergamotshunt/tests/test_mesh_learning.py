"""What daemons learn of work and servers, without a network."""

from asyncio import sleep
from random import Random

from bergamotshunt.backend.loads import Load
from bergamotshunt.choice.dispatching import FIRST_REPORTS_S, Dispatcher
from bergamotshunt.choice.route_records import ResponseFacts, RouteRecords
from bergamotshunt.choice.server_records import ServerRecords
from bergamotshunt.counts import Counts
from bergamotshunt.decisions.extra_arrivals import ExtraBound
from bergamotshunt.decisions.knee import Run, SlotKnee
from bergamotshunt.decisions.placement import ServerView, UsualWork, estimate
from bergamotshunt.decisions.server_gauge import ServerGauge
from bergamotshunt.decisions.work_clock import WorkClock
from bergamotshunt.tests.virtual_time import run_in_virtual_time


def test_work_clock_follows_the_pace() -> None:
    """Guards against progress that a slow server cannot have made."""
    clock = WorkClock()
    clock.go_on(1, 0)
    clock.go_on(5, 100)
    assert clock.read(200) == 120
    clock.go_on(1, 200)
    assert clock.read(210) == 130


def test_slow_turn_does_not_count_as_work() -> None:
    """Pattern: a run that spans a slow turn and ends on a calm server.

    Guards against work that looks several times as long as it is, so that
    requests are refused that could be served.
    """
    gauge = ServerGauge()
    gauge.note_pace(1, 0)
    began_ms = gauge.worked_ms(100)
    gauge.note_pace(7, 200)
    gauge.note_pace(1, 550)
    work_ms = gauge.worked_ms(650) - began_ms
    gauge.note_response(work_ms, 1, 650)
    assert gauge.usual_ms == 250


def test_slow_start_does_not_count_as_work() -> None:
    """Pattern: all servers have just started.

    Guards against the work of a cold server as the usual one, which lasts
    long after it is warm.
    """
    gauge = ServerGauge()
    gauge.cold_until_ms = 10_000
    gauge.note_pace(1, 0)
    began_ms = gauge.worked_ms(0)
    assert gauge.expected_ms(0) == 2 * gauge.usual_ms
    assert gauge.worked_ms(400) - began_ms == 200


def test_first_slow_response_is_soon_outweighed() -> None:
    """Pattern: the first request of a route is far longer than usual."""
    records = RouteRecords()
    records.note_response('r', ResponseFacts(900, 1))
    for _ in range(9):
        records.note_response('r', ResponseFacts(100, 1))
    assert records.usual('r').work_ms < 200


def test_cold_server_is_expected_to_be_slow() -> None:
    """Pattern: one server has just joined those that are warm."""
    warm = ServerView('warm', True, Load(limit=7), 0)
    cold = warm._replace(load=Load(limit=7, cold_ms=3000))
    work = UsualWork(100)
    warm_ms = estimate(warm, work).total_ms
    assert estimate(cold, work).total_ms == 2 * warm_ms


def test_first_requests_wait_for_load_reports() -> None:
    """Pattern: a daemon has just started, and servers are slow or full.

    Guards against a blind choice, and against a wait of later requests.
    """

    async def scenario() -> None:
        dispatcher = Dispatcher(
            ServerRecords('zone-1'),
            ExtraBound(0.2, 10, 10),
            Random(1),
            lambda: 1,
            Counts(),
        )
        assert dispatcher.reports_due_s('s') == FIRST_REPORTS_S
        await sleep(FIRST_REPORTS_S / 2)
        assert 0 < dispatcher.reports_due_s('s') < FIRST_REPORTS_S
        await sleep(FIRST_REPORTS_S)
        assert dispatcher.reports_due_s('s') == 0

    run_in_virtual_time(scenario())


def learned_limit(slowdown: float, rng: Random, runs: int = 400) -> int:
    """Return the limit after runs at a server with ten slots."""
    knee = SlotKnee()
    limit = 8
    for place in range(runs):
        taken = rng.randint(1, limit)
        usual = slowdown if taken > 8 else 1
        work_share = usual * rng.lognormvariate(0, 0.3)
        knee.note(Run(taken / 10, work_share), place)
        limit = knee.limit(10, place)
    return limit


def test_all_slots_are_taken_where_the_last_cost_nothing() -> None:
    """Pattern: overload of a service that runs well with all its slots.

    Guards against requests that are refused while a fifth of the slots is
    idle.
    """
    limits = [learned_limit(1, Random(seed)) for seed in range(100)]
    assert limits.count(10) >= 95


def test_last_slots_stay_free_where_they_slow_the_work() -> None:
    """Pattern: overload of a service that slows down when it is crowded."""
    limits = [learned_limit(1.5, Random(seed)) for seed in range(100)]
    assert limits.count(8) >= 95


def test_last_slots_are_tried_again() -> None:
    """Guards against a limit that outlives the reason for it."""
    knee = SlotKnee()
    for place in range(80):
        knee.note(Run(0.5, 1), place)
        knee.note(Run(1, 2), place)
    assert knee.limit(10, 50) == 8
    assert knee.limit(10, 100_000) == 10
