"""Which requests run, wait or are refused when there is too little room."""

from collections import Counter
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import seed as with_seed
from hypothesis import strategies as st
from xxhash import xxh64_intdigest

from bench.model.slot_patterns import (
    LOOKUP,
    ORDER,
    RUN_MS,
    SLOT_PATTERNS,
    UPLOAD,
    SlotPattern,
    Stream,
)
from bench.model.slot_simulation import (
    ORDERS,
    PriorityOrder,
    SlotSimulation,
    StreamTally,
)
from bergamotshunt.decisions.admission_order import (
    MAX_WAITING_REQUESTS,
    AdmissionOrder,
)
from bergamotshunt.decisions.queueing import SlotRequest, sort_key
from bergamotshunt.decisions.server_slots import RunningRequest, ServerState
from bergamotshunt.decisions.slot_candidates import WaitingRequest

SEEDS = range(3)
# The operators' bound: no kind of request is served less than a quarter as
# often as all requests.
REQUIRED_SHARE = 0.25
# Requests below their limits may be refused in 1 of 100 cases.
UNDISTURBED_SHARE = 0.99
MIN_DEMAND = 100


def simulate(
    pattern: SlotPattern, order: str = 'admission'
) -> dict[str, StreamTally]:
    """Return the outcomes by stream, summed over the seeds."""
    tallies: dict[str, StreamTally] = {}
    for seed in SEEDS:
        simulation = SlotSimulation(pattern, ORDERS.get(order), seed)
        for name, tally in simulation.run().items():
            earlier = tallies.get(name, StreamTally())
            tallies[name] = StreamTally(*map(sum, zip(earlier, tally)))
    return tallies


def met_share(*tallies: StreamTally) -> float:
    """Return the share of requests that met their objective."""
    return sum(tally.met for tally in tallies) / sum(
        tally.arrived for tally in tallies
    )


def served_share(*tallies: StreamTally) -> float:
    """Return the share of requests that got a slot."""
    return sum(tally.served for tally in tallies) / sum(
        tally.arrived for tally in tallies
    )


def state_at(now_ms: float, limit: int = 1, slowdown: float = 1) -> ServerState:
    """Return the state of a server with typical work of 100 ms."""
    return ServerState(now_ms, limit, 100, slowdown)


def busy_order(*works_ms: float) -> AdmissionOrder:
    """Return an order with a running request for each amount of work."""
    order = AdmissionOrder()
    for number, work_ms in enumerate(works_ms):
        order.running.append(RunningRequest(f'running-{number}', work_ms, 0))
    return order


def request(number: int, **changes: Any) -> WaitingRequest:
    """Return a request with 100 ms of work and much time."""
    usual = WaitingRequest(number, 1, 10_000, 20_000, work_ms=100)
    return usual._replace(**changes)


def run_all(order: AdmissionOrder) -> list[int]:
    """Run all requests one by one and return the order of their numbers."""
    numbers = []
    now_ms = sum(run.work_ms for run in order.running)
    order.running.clear()
    while (turn := order.take(state_at(now_ms))).request is not None:
        numbers.append(turn.request.number)
        now_ms += turn.request.work_ms
    return numbers


# Load patterns


def test_burst_of_uploads_leaves_lookups_undisturbed() -> None:
    """Guards against steady lookups that a burst of 2.4 times uploads delays."""
    tallies = simulate(SLOT_PATTERNS.get('upload-burst'))
    assert met_share(tallies['lookup']) >= UNDISTURBED_SHARE
    assert served_share(tallies['upload']) >= REQUIRED_SHARE


def test_burst_of_the_highest_priority_is_served_within_another_burst() -> None:
    """Guards against a queue that the outer burst has filled first."""
    tallies = simulate(SLOT_PATTERNS.get('burst-in-burst'))
    assert met_share(tallies['order']) >= UNDISTURBED_SHARE


def test_hot_account_queues_behind_its_own_requests() -> None:
    """Guards against an account at 7 times its rate that delays others."""
    tallies = simulate(SLOT_PATTERNS.get('hot-account'))
    hot = tallies.pop('account-0')
    assert met_share(*tallies.values()) >= UNDISTURBED_SHARE
    everyone = served_share(hot, *tallies.values())
    assert served_share(hot) >= REQUIRED_SHARE * everyone


def test_retries_of_impatient_clients_cost_no_objectives() -> None:
    """Guards against early retries that take the room of first attempts."""
    pattern = SLOT_PATTERNS.get('impatient-clients')
    patient = pattern._replace(
        streams=tuple(stream._replace(retries=0) for stream in pattern.streams)
    )
    disturbed, usual = simulate(pattern), simulate(patient)
    lost = met_share(*usual.values()) - met_share(*disturbed.values())
    assert lost <= 1 - UNDISTURBED_SHARE
    assert met_share(disturbed['lookup']) > met_share(disturbed['upload'])


def test_slow_server_serves_the_highest_priority_most() -> None:
    """Guards against slots of a fivefold slower server that run in vain.

    Work that the client no longer waits for takes the slots of requests
    that could be answered.
    """
    pattern = SLOT_PATTERNS.get('slow-server')
    tallies = simulate(pattern)
    shares = [
        met_share(tallies[name]) for name in ('order', 'lookup', 'upload')
    ]
    assert max(shares) == shares[0]
    arrived = sum(tally.arrived for tally in tallies.values())
    in_vain = sum(tally.timed_out for tally in tallies.values())
    assert in_vain <= arrived * (1 - UNDISTURBED_SHARE)


def test_nested_calls_are_not_refused_in_favour_of_new_requests() -> None:
    """Guards against call trees that lose the work already done for them."""
    tallies = simulate(SLOT_PATTERNS.get('nested-overload'))
    for name in ('nested-1', 'nested-2'):
        assert not tallies[name].refused
        assert not tallies[name].timed_out
    assert tallies['lookup'].refused


@pytest.mark.parametrize('name', SLOT_PATTERNS.names())
def test_more_objectives_are_met_than_by_priority_alone(name: str) -> None:
    """Guards against an order that costs callers more than the earlier one."""
    pattern = SLOT_PATTERNS.get(name)
    ours = met_share(*simulate(pattern).values())
    assert ours >= met_share(*simulate(pattern, 'priority').values())


# Invariants

STREAMS = st.builds(
    Stream,
    name=st.uuids().map(str),
    per_s=st.floats(5, 40),
    priority=st.integers(0, 3),
    work_ms=st.floats(20, 200),
    objective_ms=st.floats(500, 1700),
    timeout_ms=st.floats(1700, 2300),
    account=st.sampled_from(['', 'a', 'b', 'c']),
    depth=st.just(0),
    burst=st.sampled_from([1, 2.4, 7]),
    burst_from_ms=st.just(RUN_MS / 3),
    burst_to_ms=st.just(RUN_MS * 2 / 3),
    retries=st.integers(0, 2),
    retry_ms=st.sampled_from([20, 200]),
)
PATTERNS = st.builds(
    SlotPattern,
    streams=st.lists(STREAMS, min_size=2, max_size=4).map(tuple),
    slots=st.integers(2, 4),
    slowdown=st.sampled_from([1, 5]),
)


# All examples together take longer than the time limit of a test, so that each
# part simulates some of them. The seed is the one that they had as one test.
PARTS = 12
PARTED_EXAMPLES_SEED = int(
    '62ee016d36ce06625b4273f6993f218d2eb102dfaf7e949e'
    '00bb2cf7e3db4dcf65efb1c05265e5d74f6dd5284e47da99',
    16,
)


def part_of(pattern: SlotPattern) -> int:
    """Return the part of the test that simulates an example."""
    return xxh64_intdigest(repr(pattern).encode()) % PARTS


@pytest.mark.parametrize('part', range(PARTS))
@with_seed(PARTED_EXAMPLES_SEED)
@given(pattern=PATTERNS)
@settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    phases=(Phase.explicit, Phase.generate),
)
def test_nothing_starves_and_each_request_has_one_outcome(
    pattern: SlotPattern, part: int
) -> None:
    """Guards against starvation, shared slots and refused requests that run."""
    if part_of(pattern) != part:
        return
    simulation = SlotSimulation(pattern, AdmissionOrder, 1)
    simulation.run()
    assert simulation.max_running <= pattern.slots
    assert set(simulation.outcomes_by_attempt.values()) == {1}
    refused = {refusal.request.number for refusal in simulation.refusals}
    assert not refused & simulation.started
    demand, served = simulation.count_served()
    all_share = served['all'] / demand['all']
    for kind, count in demand.items():
        if count >= MIN_DEMAND:
            assert served[kind] / count >= REQUIRED_SHARE * all_share, kind


@given(
    st.lists(
        st.builds(
            request,
            number=st.integers(),
            priority=st.integers(0, 3),
            depth=st.integers(0, 9),
            deadline_ms=st.floats(20_000, 30_000),
            work_ms=st.floats(1, 100),
        ),
        max_size=20,
        unique_by=lambda waiting: waiting.number,
    )
)
@settings(derandomize=True, deadline=None)
def test_order_stays_while_all_objectives_can_be_met(
    requests: list[WaitingRequest],
) -> None:
    """Guards against a new order where overload forces no choice."""
    order = busy_order(100)
    for waiting in requests:
        assert not order.add(waiting, state_at(0))
    by_key = {
        sort_key(
            SlotRequest(
                waiting.number,
                waiting.deadline_ms,
                -waiting.priority,
                depth=waiting.depth,
            )
        ): waiting.number
        for waiting in requests
    }
    expected = [by_key[key] for key in sorted(by_key)]
    assert run_all(order) == expected


# Single decisions


def test_request_with_most_work_is_dropped_when_not_all_can_be_met() -> None:
    """Guards against two missed objectives where one is enough."""
    order = busy_order(10)
    order.add(request(1, work_ms=200, objective_ms=300), state_at(0))
    order.add(request(2, work_ms=50, objective_ms=310), state_at(0))
    order.add(request(3, work_ms=50, objective_ms=320), state_at(0))
    assert run_all(order) == [2, 3, 1]


def test_request_that_is_pushed_past_its_deadline_is_refused_then() -> None:
    """Guards against a refusal only when its turn would have come."""
    order = busy_order(100)
    low = request(1, priority=2, objective_ms=400, deadline_ms=400)
    assert not order.add(low, state_at(0))
    assert not order.add(request(2, objective_ms=400), state_at(0))
    refused = order.add(request(3, objective_ms=450, work_ms=160), state_at(0))
    assert [(late.request, late.reason) for late in refused] == [
        (low, 'displaced')
    ]
    # 100 ms until the first slot, and 260 ms of work of the other two.
    assert refused[0].retry_after_ms == 360


def test_request_is_refused_when_even_a_free_slot_comes_too_late() -> None:
    """Guards against requests that wait for a server that does not respond."""
    order = busy_order(100)
    order.add(request(1, objective_ms=300, deadline_ms=300), state_at(0))
    assert order.next_check_ms(state_at(0)) == 250
    assert not order.refuse_late(state_at(224))
    refused = order.refuse_late(state_at(251))
    assert [late.reason for late in refused] == ['expired']
    assert not order


def test_request_never_starts_after_its_permit() -> None:
    """Guards against requests that run after their account was withdrawn."""
    order = busy_order(100)
    order.add(request(1, permit_ms=150), state_at(0))
    turn = order.take(state_at(151))
    assert turn.request is None
    assert [late.request.number for late in turn.refused] == [1]


def test_late_request_goes_behind_one_that_can_be_on_time() -> None:
    """Guards against two late responses where one is enough."""
    order = busy_order(10)
    order.add(request(1, objective_ms=-1), state_at(0))
    order.add(request(2, priority=2, objective_ms=150), state_at(0))
    assert run_all(order) == [2, 1]


def test_retries_are_spread() -> None:
    """Guards against refused clients that all return at the same moment."""
    order = busy_order(100, 100)
    retries_ms = []
    for number in range(10):
        refused = order.add(
            request(number, objective_ms=150, deadline_ms=160),
            state_at(0, limit=2),
        )
        retries_ms.append(refused[0].retry_after_ms)
    assert retries_ms[0] == 100
    # Two slots serve a retry every 50 ms.
    assert [
        later - earlier for earlier, later in zip(retries_ms, retries_ms[1:])
    ] == [50] * 9


def test_long_request_yields_after_a_refusal_of_a_higher_priority() -> None:
    """Guards against slots that long runs of low priority take one by one."""
    order = busy_order(200)
    refused = order.add(
        request(1, priority=0, objective_ms=150, deadline_ms=160), state_at(0)
    )
    assert [late.reason for late in refused] == ['wait-too-long']
    refused = order.add(request(2, work_ms=300), state_at(100))
    assert [late.reason for late in refused] == ['lower-priority']
    assert refused[0].retry_after_ms >= 300
    assert not order.add(request(3, work_ms=50), state_at(100))
    assert not order.add(request(4, work_ms=300), state_at(301))


def test_refusal_of_a_hopeless_request_does_not_hold_slots() -> None:
    """Guards against idle slots because of a request without time to run."""
    order = busy_order(200)
    refused = order.add(
        request(1, priority=0, objective_ms=10, deadline_ms=10), state_at(0)
    )
    assert [late.reason for late in refused] == ['wait-too-long']
    assert not order.is_contended(0)
    assert not order.add(request(2, work_ms=300), state_at(100))


def test_queue_is_bounded() -> None:
    """Guards against memory and decision times that grow with overload."""
    order = busy_order(1)
    for number in range(MAX_WAITING_REQUESTS):
        assert not order.add(request(number, work_ms=1), state_at(0))
    refused = order.add(request(100, work_ms=1, priority=2), state_at(0))
    assert [late.reason for late in refused] == ['queue-full']
    refused = order.add(request(101, work_ms=1, priority=0), state_at(0))
    assert [late.reason for late in refused] == ['displaced']
    assert refused[0].retry_after_ms > 0
    assert len(order) == MAX_WAITING_REQUESTS


def test_patterns_have_their_figures() -> None:
    """Guards against patterns that no longer overload the server."""
    assert SLOT_PATTERNS.get('upload-burst').streams == (
        LOOKUP,
        UPLOAD._replace(burst=2.4),
    )
    hot = SLOT_PATTERNS.get('hot-account').streams
    assert Counter(stream.burst for stream in hot) == {7: 1, 1: 7}
    assert SLOT_PATTERNS.get('slow-server').slowdown == 5
    assert ORDER.priority < LOOKUP.priority < UPLOAD.priority
    assert isinstance(ORDERS.get('priority')(), PriorityOrder)
