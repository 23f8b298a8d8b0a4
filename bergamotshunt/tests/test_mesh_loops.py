"""Tests of a daemon in which a loop of a task ends with an error."""

from http import HTTPStatus

from msgspec import json

from bergamotshunt.daemon import create_runner
from bergamotshunt.decisions.loop_failures import (
    MAX_FAILURES_IN_A_ROW,
    STABLE_RUN_S,
    LoopFailures,
)
from bergamotshunt.messages import LoopFailed
from bergamotshunt.plugins.mesh.fleet import FleetTask
from bergamotshunt.plugins.mesh.readiness import ReadinessTask
from bergamotshunt.rejected_input import MAX_SOURCES, RejectedInputLog
from bergamotshunt.task_metrics import TaskMetrics
from bergamotshunt.tests.mesh import Mesh, send_request
from bergamotshunt.tests.odd_input import counter, run_in_mesh
from standins.mesh_server import respond_with_echo


def readiness_of(mesh: Mesh) -> ReadinessTask:
    task = mesh.hosts[0].kernel.tasks_by_name['readiness']
    assert isinstance(task, ReadinessTask)
    return task


def test_loop_that_fails_is_started_again() -> None:
    """Guards against a daemon that no longer follows the list of servers.

    An unexpected error ended the loop for good, while the daemon stayed
    ready with the servers of that moment.
    """

    async def scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            fleet = mesh.hosts[0].kernel.tasks_by_name['fleet']
            assert isinstance(fleet, FleetTask)
            ask = fleet._watch._ask
            calls = 0

            async def fail_once() -> None:
                nonlocal calls
                calls += 1
                if calls == 1:
                    raise ZeroDivisionError('unexpected')
                await ask()

            fleet._watch._ask = fail_once  # type: ignore[method-assign]
            # The change ends the watch that is still waiting.
            assert await mesh.announce(0, seq=2, slots=3) == HTTPStatus.OK
            await mesh.wait_until(lambda: calls > 1)
            assert counter(mesh, 'readiness', 'loop_failures') == 1
            assert readiness_of(mesh).ready

    with create_runner() as runner:
        runner.run(scenario())


def test_daemon_with_a_failing_loop_is_not_ready() -> None:
    """Guards against a daemon that stays ready although a loop never runs."""

    async def scenario(mesh: Mesh) -> None:
        host = mesh.hosts[0]
        assert readiness_of(mesh).ready
        for _ in range(MAX_FAILURES_IN_A_ROW):
            host.kernel.context.bus.publish(LoopFailed('fleet', '_run_watch'))
        await mesh.wait_until(lambda: not readiness_of(mesh).ready)
        response = await send_request(host.settings.ready, b'GET', '/-/readyz')
        assert response.status == HTTPStatus.SERVICE_UNAVAILABLE
        status = await send_request(host.settings.metrics, b'GET', '/status')
        assert json.decode(status.content)['readiness'] == {
            'ready': False,
            'failing_loops': ['fleet._run_watch'],
        }

    run_in_mesh(scenario)


def test_loop_that_runs_again_is_not_failing() -> None:
    """Guards against a daemon that stays unready, and against flapping."""
    failures = LoopFailures()
    for second in range(MAX_FAILURES_IN_A_ROW):
        assert failures.failing_loops(second) == []
        failures.record('loop', second)
    now_s = MAX_FAILURES_IN_A_ROW - 1.0
    assert failures.failing_loops(now_s) == ['loop']
    assert failures.failing_loops(now_s + STABLE_RUN_S) == ['loop']
    assert failures.failing_loops(now_s + STABLE_RUN_S + 1) == []
    failures.record('loop', now_s + STABLE_RUN_S + 1)
    assert failures.failing_loops(now_s + STABLE_RUN_S + 1) == []


def test_rejected_input_does_not_flood_the_log() -> None:
    """Guards against a log line for each read of the same odd entry.

    All of them are counted, and the memory for sources is bounded.
    """
    metrics = TaskMetrics()
    rejected = RejectedInputLog(lambda: 0.0, metrics)
    written: list[str] = []
    rejected._log.write = (  # type: ignore[method-assign]
        lambda _type, **fields: written.append(fields['source'])
    )
    for _ in range(1000):
        rejected.write('fleet:entry-unreadable', 'a', 'port 70000')
    assert written == ['a']
    for number in range(3 * MAX_SOURCES):
        with rejected.contain('fleet:entry-unreadable', str(number)):
            raise RecursionError
    assert len(rejected._reason_by_source) <= MAX_SOURCES
    (count,) = metrics.snapshot().counters.values()
    assert count == 1000 + 3 * MAX_SOURCES
