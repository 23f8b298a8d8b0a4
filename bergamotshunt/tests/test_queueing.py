"""Order and bounds of the queue in front of a backend server."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.queueing import (
    SlotRequest,
    SlotRequestQueue,
    SlotUsage,
    expected_wait_ms,
    latest_slot_ms,
    sort_key,
)

REQUESTS = st.lists(
    st.builds(
        SlotRequest,
        arrival_number=st.integers(0, 10_000),
        deadline_ms=st.floats(0, 10_000),
        weight=st.sampled_from([0.5, 1.0, 5.0]),
        internal=st.booleans(),
        depth=st.integers(0, 9),
    ),
    max_size=30,
    unique_by=lambda request: request.arrival_number,
)
SATURATED = SlotUsage(in_flight=10, limit=10, latency_ms=20)


@given(REQUESTS, st.integers(1, 8))
@settings(derandomize=True, deadline=None)
def test_queue_is_ordered_and_bounded(
    requests: list[SlotRequest], max_length: int
) -> None:
    """Guards against lost, duplicated or wrongly ordered requests."""
    queue = SlotRequestQueue(max_length)
    displaced = []
    for request in requests:
        displaced_request = queue.add(request)
        assert len(queue) <= max_length
        if displaced_request is not None:
            displaced.append(displaced_request)
    popped: list[SlotRequest] = []
    while (popped_request := queue.pop()) is not None:
        popped.append(popped_request)
    assert popped == sorted(popped, key=sort_key)
    assert sorted(popped + displaced) == sorted(requests)
    assert all(
        sort_key(kept) < sort_key(dropped)
        for kept in popped
        for dropped in displaced
    )


def test_deeper_calls_go_first_and_internal_checks_last() -> None:
    """Guards against refusing half-finished call trees in favour of new ones."""
    queue = SlotRequestQueue(9)
    new_tree = SlotRequest(1, 100, weight=5)
    deep = SlotRequest(2, 900, depth=3)
    check = SlotRequest(3, 50, internal=True, depth=6)
    light = SlotRequest(4, 60, weight=0.5)
    for request in (check, light, new_tree, deep):
        queue.add(request)
    assert [queue.pop() for _ in range(4)] == [deep, new_tree, light, check]


@given(REQUESTS, st.floats(0, 10_000), st.floats(0, 500))
@settings(derandomize=True, deadline=None)
def test_admitted_wait_leaves_time_for_another_server(
    requests: list[SlotRequest], now_ms: float, latency_ms: float
) -> None:
    """Guards against waits that leave no time to use another server."""
    queue = SlotRequestQueue(8)
    slot_usage = SlotUsage(10, 10, latency_ms)
    for request in requests:
        if queue.refusal_reason(request, now_ms, slot_usage):
            continue
        ahead = len(
            [key for key in queue._sort_keys if key < sort_key(request)]
        )
        queue.add(request)
        assert now_ms < request.deadline_ms
        wait_ms = expected_wait_ms(ahead, slot_usage)
        if wait_ms:
            latest_ms = latest_slot_ms(request, now_ms, latency_ms)
            assert now_ms + wait_ms <= latest_ms < request.deadline_ms


def test_refusal_names_its_reason() -> None:
    """Guards against requests that wait although they cannot be served."""
    queue = SlotRequestQueue(1)
    assert queue.refusal_reason(SlotRequest(1, 10), 10, SATURATED) == 'expired'
    assert (
        queue.refusal_reason(SlotRequest(1, 41), 0, SATURATED)
        == 'wait-too-long'
    )
    assert not queue.refusal_reason(SlotRequest(1, 60), 0, SATURATED)
    queue.add(SlotRequest(1, 60))
    assert (
        queue.refusal_reason(SlotRequest(2, 6000), 0, SATURATED) == 'queue-full'
    )
    assert not queue.refusal_reason(SlotRequest(2, 6000, depth=1), 0, SATURATED)
