"""Order and bounds of the queue before a backend server."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.queueing import (
    ServerThroughput,
    SlotRequestQueue,
    SlotRequest,
    expected_wait_ms,
    latest_slot_ms,
    sort_key,
)

WORKS = st.lists(
    st.builds(
        SlotRequest,
        arrival_number=st.integers(0, 10_000),
        deadline_ms=st.floats(0, 10_000),
        weight=st.sampled_from([0.5, 1.0, 5.0]),
        internal=st.booleans(),
        depth=st.integers(0, 9),
    ),
    max_size=30,
    unique_by=lambda work: work.arrival_number,
)
BUSY = ServerThroughput(in_flight=10, limit=10, latency_ms=20)


@given(WORKS, st.integers(1, 8))
@settings(derandomize=True, deadline=None)
def test_queue_is_ordered_and_bounded(
    works: list[SlotRequest], max_length: int
) -> None:
    """Guards against lost, repeated or wrongly ordered requests."""
    queue = SlotRequestQueue(max_length)
    displaced = []
    for work in works:
        leaving = queue.add(work)
        assert len(queue) <= max_length
        if leaving is not None:
            displaced.append(leaving)
    popped: list[SlotRequest] = []
    while (taken := queue.pop()) is not None:
        popped.append(taken)
    assert popped == sorted(popped, key=sort_key)
    assert sorted(popped + displaced) == sorted(works)
    assert all(
        sort_key(kept) < sort_key(gone) for kept in popped for gone in displaced
    )


def test_deeper_calls_go_first_and_internal_checks_last() -> None:
    """Guards against half-done call trees that are refused for new ones."""
    queue = SlotRequestQueue(9)
    new_tree = SlotRequest(1, 100, weight=5)
    deep = SlotRequest(2, 900, depth=3)
    check = SlotRequest(3, 50, internal=True, depth=6)
    light = SlotRequest(4, 60, weight=0.5)
    for work in (check, light, new_tree, deep):
        queue.add(work)
    assert [queue.pop() for _ in range(4)] == [deep, new_tree, light, check]


@given(WORKS, st.floats(0, 10_000), st.floats(0, 500))
@settings(derandomize=True, deadline=None)
def test_admitted_wait_leaves_time_to_go_elsewhere(
    works: list[SlotRequest], now_ms: float, latency_ms: float
) -> None:
    """Guards against a request that waits until it is too late."""
    queue = SlotRequestQueue(8)
    throughput = ServerThroughput(10, 10, latency_ms)
    for work in works:
        if queue.refusal_reason(work, now_ms, throughput):
            continue
        ahead = len([key for key in queue._sort_keys if key < sort_key(work)])
        queue.add(work)
        assert now_ms < work.deadline_ms
        wait_ms = expected_wait_ms(ahead, throughput)
        if wait_ms:
            leave_ms = latest_slot_ms(work, now_ms, latency_ms)
            assert now_ms + wait_ms <= leave_ms < work.deadline_ms


def test_refusal_names_its_reason() -> None:
    """Guards against a request that waits in vain."""
    queue = SlotRequestQueue(1)
    assert queue.refusal_reason(SlotRequest(1, 10), 10, BUSY) == 'expired'
    assert queue.refusal_reason(SlotRequest(1, 41), 0, BUSY) == 'wait-too-long'
    assert not queue.refusal_reason(SlotRequest(1, 60), 0, BUSY)
    queue.add(SlotRequest(1, 60))
    assert queue.refusal_reason(SlotRequest(2, 6000), 0, BUSY) == 'queue-full'
    assert not queue.refusal_reason(SlotRequest(2, 6000, depth=1), 0, BUSY)
