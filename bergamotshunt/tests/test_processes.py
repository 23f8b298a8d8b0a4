"""Tests daemons and servers as processes, of which a daemon is killed."""

import asyncio
from pathlib import Path
from typing import Any

from bench.checkers import find_violations
from bench.fleet import Fleet
from bench.load import LoadGenerator, ObservedOutcome
from bench.plans import Call, plan_calls
from bench.processes import Child, poll_until
from bench.shapes import SMALL

DURATION_S = 3
SEED = 11


async def load_and_kill() -> tuple[
    list[ObservedOutcome], list[dict[str, Any]], list[Call]
]:
    calls = plan_calls(SMALL, DURATION_S, SEED, {'refund': 2}, repeat_share=0.2)
    ended: list[Call] = []
    halfway = asyncio.Event()

    def record_end(call: Call) -> None:
        ended.append(call)
        if len(ended) == len(calls) // 2:
            halfway.set()

    async with Fleet(SMALL, SEED) as fleet:
        hosts = fleet.hosts

        def route(call: Call) -> str:
            host = hosts[call.entry % len(hosts)]
            return f'{host.url("callers")}/{call.kind.service}'

        load_task = asyncio.create_task(
            LoadGenerator(route, record_end).run(calls)
        )
        await halfway.wait()
        await hosts[1].daemon.kill()
        tail_length = len(calls) // 3
        late_calls = calls[-tail_length:]
        outcomes = await load_task
        server_counts = [await fleet.read_counts(host) for host in hosts]
    return outcomes, server_counts, late_calls


def test_killed_daemon_violates_no_property() -> None:
    """Guards against wrong responses and verdicts when a daemon is killed.

    Requests are in flight at that daemon when it is killed. A request may
    then go unanswered, but not run twice, receive a truncated response or
    that of another request, or be reported as not run although it ran. The
    other daemons still answer calls that arrive after the kill.
    """
    outcomes, server_counts, late_calls = asyncio.run(load_and_kill())
    assert find_violations(outcomes, server_counts) == {}
    answered = {o.call.request_id for o in outcomes if o.answered}
    assert answered & {call.request_id for call in late_calls}
    assert any(not outcome.answered for outcome in outcomes)


def test_child_ends_with_its_fleet(tmp_path: Path) -> None:
    """Guards against processes that outlive the fleet that started them.

    The child ignores SIGTERM and is suspended, so that only SIGKILL ends it.
    """

    async def scenario() -> None:
        ignore_sigterm = (
            'import signal; signal.signal(15, signal.SIG_IGN); print(1)'
        )
        child = Child(
            'stuck', ['-uc', f'{ignore_sigterm}; signal.pause()'], tmp_path
        )
        await child.start()

        async def check() -> bool:
            return child.log_path.stat().st_size > 0

        await poll_until(check, 20, 'the child wrote no output')
        child.suspend()
        await child.kill()
        assert not child.is_running

    asyncio.run(scenario())
