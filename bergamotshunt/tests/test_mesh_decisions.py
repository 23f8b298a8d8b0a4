"""Choice, waiting, moving and budgets of the mesh, without a network."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.backend.loads import Load
from bergamotshunt.decisions.forecast_hedging import (
    RunningAttempt,
    is_hedge_worthwhile,
)
from bergamotshunt.decisions.pace_forecasts import PaceForecast, expected_run_ms
from bergamotshunt.decisions.server_choice import (
    Estimate,
    ServerView,
    TypicalWork,
    choose_server,
    estimate,
    phase_start_delay_ms,
)
from bergamotshunt.decisions.pace_phases import PacePhaseEstimator
from bergamotshunt.decisions.route_matching import WeightedSplitter, match_route
from bergamotshunt.decisions.slot_waits import TimeLeft, is_wait_worthwhile
from bergamotshunt.routing import (
    ClientLimits,
    WeightedService,
    RequestKind,
    Route,
    Routing,
)

USUAL = TypicalWork(60)
NEIGHBOURS = PaceForecast(
    phase_left_ms=300, phase_ms=500, slow_share=0.35, normal_pace=1, slow_pace=7
)


def view(instance: str, **changes: object) -> ServerView:
    load = Load(limit=10, work_ms=60)
    return ServerView(instance, True, load._replace(**changes), 0)  # type: ignore[arg-type]


def observe_neighbours(
    estimator: PacePhaseEstimator, seed: int, phase_ms: float
) -> float:
    """Observe a server whose neighbours change at each turn."""
    rng = Random(seed)
    start_ms = rng.uniform(0, phase_ms)
    now_ms, phase, pace = 1000.0, -1, 1.0
    while now_ms < 30_000:
        if (now_ms - start_ms) // phase_ms != phase:
            phase = int((now_ms - start_ms) // phase_ms)
            pace = 7.0 if rng.random() < 0.35 else 1.0
        estimator.record(pace, now_ms)
        now_ms += estimator.probe_delay_ms(now_ms) + rng.uniform(0, 4)
    return start_ms


@given(st.integers(0, 10_000), st.sampled_from([300.0, 500.0, 800.0]))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_turns_of_neighbours_are_learned(seed: int, phase_ms: float) -> None:
    """Pattern: neighbours slow a third of the servers, in equal turns.

    Guards against work that begins right before its server turns slow.
    """
    estimator = PacePhaseEstimator()
    start_ms = observe_neighbours(estimator, seed, phase_ms)
    if not estimator.phases.length_ms:
        return
    assert abs(estimator.phases.length_ms - phase_ms) < 10
    left_ms = phase_ms - (30_100 - start_ms) % phase_ms
    deviation_ms = (estimator.phases.left_ms(30_100) - left_ms) % phase_ms
    assert min(deviation_ms, phase_ms - deviation_ms) < phase_ms * 0.1


def test_turns_are_learned_in_most_cases() -> None:
    """Guards against a rhythm that is never found."""
    found = 0
    for seed in range(40):
        estimator = PacePhaseEstimator()
        observe_neighbours(estimator, seed, 500)
        found += estimator.phases.length_ms > 0
    assert found >= 36


@given(st.integers(0, 10_000))
@settings(derandomize=True, deadline=None, max_examples=40)
def test_irregular_changes_have_no_turns_for_long(seed: int) -> None:
    """Guards against turns that are read into changes at random times."""
    rng = Random(seed)
    estimator = PacePhaseEstimator()
    now_ms, pace, known = 1000.0, 1.0, 0
    for _ in range(1500):
        if rng.random() < 0.03:
            pace = 8 - pace
        estimator.record(pace, now_ms)
        known += estimator.phases.length_ms > 0
        now_ms += rng.uniform(30, 42)
    assert known < 600


def test_expected_time_follows_the_turns() -> None:
    """Guards against a calm server that turns slow under the work."""
    inside = expected_run_ms(200, 1, NEIGHBOURS)
    beyond = expected_run_ms(400, 1, NEIGHBOURS)
    assert inside == 200
    assert beyond > 400
    assert expected_run_ms(400, 7, NEIGHBOURS) < 7 * 400
    assert expected_run_ms(400, 7, PaceForecast()) == 7 * 400


def test_work_goes_where_the_pace_holds() -> None:
    """Pattern: a server that is calm now, for less time than work takes."""
    short = view('short', outlook=NEIGHBOURS._replace(phase_left_ms=40))
    long = view('long', outlook=NEIGHBOURS._replace(phase_left_ms=400))
    for seed in range(20):
        choice = choose_server([short, long], TypicalWork(100), Random(seed))
        assert choice and choice.instance == 'long'


def test_equal_servers_share_the_work() -> None:
    """Pattern: all daemons read the same reports; no herd may form."""
    views = [view(f'i-{place}', running=place % 2) for place in range(6)]
    rng = Random(1)
    chosen = [choose_server(views, USUAL, rng) for _ in range(600)]
    counts = {
        one.instance: sum(
            choice is not None and choice.instance == one.instance
            for choice in chosen
        )
        for one in views
    }
    assert min(counts.values()) > 60


def test_slow_full_stale_and_failing_servers_are_left() -> None:
    """Guards against work for servers that cannot answer soon."""
    good = view('good', running=5)
    bad = [
        view('slow', pace=7),
        view('full', running=10, waiting=8),
        view('gone')._replace(age_ms=1500),
        view('failing')._replace(fault_share=0.6),
        view('stopping', serving=False),
        view('cold', cold_ms=3000),
    ]
    for seed in range(20):
        choice = choose_server([good, *bad], USUAL, Random(seed))
        assert choice and choice.instance == 'good'
    assert choose_server([bad[4]], USUAL, Random(1)) is None


def test_large_responses_stay_in_the_zone() -> None:
    """Pattern: downloads, whose bytes between zones cost the operator."""
    near, far = view('near', running=2), view('far')._replace(near=False)
    busy = view('near', running=10, waiting=9)
    large = TypicalWork(60, 90)
    for seed in range(20):
        choice = choose_server([near, far], large, Random(seed))
        assert choice and choice.instance == 'near'
        choice = choose_server([busy, far], TypicalWork(60, 5), Random(seed))
        assert choice and choice.instance == 'far'


def test_own_unseen_requests_count() -> None:
    """Guards against a burst of one sender to one free server."""
    seen = estimate(view('a', running=9), USUAL)
    unseen = estimate(view('a', running=9)._replace(unseen=6), USUAL)
    assert not seen.wait_ms
    assert unseen.wait_ms > 0


def test_waiting_is_for_requests_that_meet_their_goal() -> None:
    """Pattern: overload, where long queues make every response late."""
    left = TimeLeft(objective_ms=200, deadline_ms=500)
    assert is_wait_worthwhile(0, 400, left)
    assert is_wait_worthwhile(90, 80, left)
    assert not is_wait_worthwhile(150, 80, left)
    assert is_wait_worthwhile(100, 250, left)
    assert not is_wait_worthwhile(300, 250, left)


def test_request_moves_when_its_server_turns_slow() -> None:
    """Pattern: neighbours arrive while a request runs."""
    left = TimeLeft(objective_ms=150, deadline_ms=450)
    other = Estimate(total_ms=75, wait_ms=0)
    slow = RunningAttempt(view('slow', pace=7), work_ms=60, done_work_ms=20)
    calm = RunningAttempt(view('calm'), work_ms=60, done_work_ms=20)
    nearly = RunningAttempt(view('slow', pace=7), work_ms=60, done_work_ms=52)
    assert is_hedge_worthwhile(slow, other, left)
    assert not is_hedge_worthwhile(calm, other, left)
    assert not is_hedge_worthwhile(nearly, other, left)
    assert not is_hedge_worthwhile(slow, Estimate(500, 440), left)


def route(prefix: str, *parts: WeightedService) -> Route:
    return Route(prefix, 'h', prefix, RequestKind.SAFE, 1000, 500, 1, 2, parts)


def test_longest_prefix_wins() -> None:
    """Guards against a request on the route of a shorter prefix."""
    routing = Routing(
        1,
        {
            'h': (
                route('/a/b/', WeightedService('x')),
                route('/a/', WeightedService('y')),
            )
        },
        {},
        ClientLimits(),
    )
    found = match_route(routing, 'H', '/a/b/c')
    assert found and found.prefix == '/a/b/'
    assert match_route(routing, 'h', '/a') is None
    assert match_route(routing, 'other', '/a/b/c') is None


@given(st.lists(st.integers(1, 99), min_size=2, max_size=4))
@settings(derandomize=True, deadline=None)
def test_split_keeps_its_weights(weights: list[int]) -> None:
    """Guards against parts of a split that get another share."""
    parts = tuple(
        WeightedService(f's{place}', weight)
        for place, weight in enumerate(weights)
    )
    chooser = WeightedSplitter(Random(1))
    chosen = [chooser.choose(parts) for _ in range(400)]
    for part in parts:
        share = chosen.count(part.service) / len(chosen)
        assert abs(share - part.weight / sum(weights)) < 0.02


def test_run_waits_for_a_fresh_turn() -> None:
    """Pattern: work that is long against the turns of neighbours.

    Guards against runs that begin calm and end on a slow server.
    """
    ending = view('ending', outlook=NEIGHBOURS._replace(phase_left_ms=60))
    work = TypicalWork(290)
    best_ms = estimate(ending, work).total_ms
    delay_ms = phase_start_delay_ms([ending], work, best_ms)
    assert 60 < delay_ms < 80
    fresh = view('fresh', outlook=NEIGHBOURS._replace(phase_left_ms=450))
    fresh_ms = estimate(fresh, work).total_ms
    assert not phase_start_delay_ms([ending, fresh], work, fresh_ms)
    full = ending._replace(load=ending.load._replace(running=9))
    assert not phase_start_delay_ms([full], work, best_ms)
    assert not phase_start_delay_ms([view('unknown')], work, best_ms)
    far_off = view('far', outlook=NEIGHBOURS._replace(phase_left_ms=490))
    assert not phase_start_delay_ms([far_off], TypicalWork(50), 60)


def test_wait_for_a_turn_ends_before_the_goal() -> None:
    """Pattern: pipelined requests behind one that waits for a turn.

    Guards against a wait that alone takes the time of the goal, which the
    requests behind it on the connection lose as well.
    """
    ending = view('ending', outlook=NEIGHBOURS._replace(phase_left_ms=60))
    work = TypicalWork(290)
    best_ms = estimate(ending, work).total_ms
    assert phase_start_delay_ms([ending], work, best_ms, 600)
    assert not phase_start_delay_ms([ending], work, best_ms, 350)
