"""Order and bounds of the queue before a backend server."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.queueing import (
    ServerPace,
    WaitingQueue,
    Work,
    expected_wait_ms,
    leave_by_ms,
    rank,
)

WORKS = st.lists(
    st.builds(
        Work,
        work_id=st.integers(0, 10_000),
        deadline_ms=st.floats(0, 10_000),
        weight=st.sampled_from([0.5, 1.0, 5.0]),
        internal=st.booleans(),
        depth=st.integers(0, 9),
    ),
    max_size=30,
    unique_by=lambda work: work.work_id,
)
BUSY = ServerPace(in_flight=10, limit=10, latency_ms=20)


@given(WORKS, st.integers(1, 8))
@settings(derandomize=True, deadline=None)
def test_queue_is_ordered_and_bounded(works: list[Work], most: int) -> None:
    """Guards against lost, repeated or wrongly ordered requests."""
    queue = WaitingQueue(most)
    displaced = []
    for work in works:
        leaving = queue.add(work)
        assert len(queue) <= most
        if leaving is not None:
            displaced.append(leaving)
    popped: list[Work] = []
    while (taken := queue.pop()) is not None:
        popped.append(taken)
    assert popped == sorted(popped, key=rank)
    assert sorted(popped + displaced) == sorted(works)
    assert all(rank(kept) < rank(gone) for kept in popped for gone in displaced)


def test_deeper_calls_go_first_and_internal_checks_last() -> None:
    """Guards against half-done call trees that are refused for new ones."""
    queue = WaitingQueue(9)
    new_tree = Work(1, 100, weight=5)
    deep = Work(2, 900, depth=3)
    check = Work(3, 50, internal=True, depth=6)
    light = Work(4, 60, weight=0.5)
    for work in (check, light, new_tree, deep):
        queue.add(work)
    assert [queue.pop() for _ in range(4)] == [deep, new_tree, light, check]


@given(WORKS, st.floats(0, 10_000), st.floats(0, 500))
@settings(derandomize=True, deadline=None)
def test_admitted_wait_leaves_time_to_go_elsewhere(
    works: list[Work], now_ms: float, latency_ms: float
) -> None:
    """Guards against a request that waits until it is too late."""
    queue = WaitingQueue(8)
    pace = ServerPace(10, 10, latency_ms)
    for work in works:
        if queue.refusal(work, now_ms, pace):
            continue
        ahead = len([rank_ for rank_ in queue._ranks if rank_ < rank(work)])
        queue.add(work)
        assert now_ms < work.deadline_ms
        wait_ms = expected_wait_ms(ahead, pace)
        if wait_ms:
            leave_ms = leave_by_ms(work, now_ms, latency_ms)
            assert now_ms + wait_ms <= leave_ms < work.deadline_ms


def test_refusal_names_its_reason() -> None:
    """Guards against a request that waits in vain."""
    queue = WaitingQueue(1)
    assert queue.refusal(Work(1, 10), 10, BUSY) == 'expired'
    assert queue.refusal(Work(1, 41), 0, BUSY) == 'wait-too-long'
    assert not queue.refusal(Work(1, 60), 0, BUSY)
    queue.add(Work(1, 60))
    assert queue.refusal(Work(2, 6000), 0, BUSY) == 'queue-full'
    assert not queue.refusal(Work(2, 6000, depth=1), 0, BUSY)
