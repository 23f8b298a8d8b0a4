"""The prober, run with a guard and a backend server over loopback."""

import asyncio

import pytest

from bergamotshunt.messages import HealthObserved, ServerStateChanged
from bergamotshunt.peers.members import ServerState
from bergamotshunt.plugins.prober import PROBES_PER_LOAD_PROBE, ProberTask
from bergamotshunt.tests.guard_harness import GuardHarness, with_guard

PLUGINS = ('guard', 'prober')


def prober_of(harness: GuardHarness) -> ProberTask:
    task = harness.kernel.tasks_by_name['prober']
    assert isinstance(task, ProberTask)
    return task


async def respond_to_probe(
    harness: GuardHarness, body: bytes, status: str
) -> None:
    """Respond to one probe; the clock advances to refill the budget."""
    harness.clock.ahead_s += 1
    exchange = await harness.backend.next()
    assert exchange.head.startswith(('GET /health', 'GET /load'))
    await exchange.send(body, status)


def test_state_of_the_server_follows_its_probes() -> None:
    """Guards against requests to a server that is not ready or is down.

    The state must follow the probes: unhealthy while it starts, healthy,
    then failing.
    """

    async def scenario(harness: GuardHarness) -> None:
        states = harness.subscribe(ServerStateChanged)
        health = harness.subscribe(HealthObserved)
        assert harness.guard.gate.server_state is ServerState.STARTING
        await respond_to_probe(harness, b'{"healthy": false}', '200 OK')
        assert not (await health.get()).message.healthy
        await respond_to_probe(harness, b'', '200 OK')
        state = (await states.get()).message.server_state
        assert state is ServerState.SERVING
        while states.empty():
            failed = '503 Service Unavailable'
            await respond_to_probe(harness, b'{"running": 3}', failed)
        state = (await states.get()).message.server_state
        assert state is ServerState.DOWN
        budget = prober_of(harness).budget
        assert budget.spent_slot_ms <= budget.allowed_slot_ms

    with_guard(scenario, PLUGINS)


async def wait_for_budget_checks(prober: ProberTask, checks: int) -> None:
    """Wait until the prober has checked its budget ``checks`` times."""
    for _ in range(checks):
        before = prober.budget.refilled_ms
        while prober.budget.refilled_ms == before:
            await asyncio.sleep(0.001)


def test_no_probe_is_sent_while_the_server_is_busy() -> None:
    """Guards against probes that take slots from requests under load.

    Three of four slots are taken, so a probe would use the last free one.
    """

    async def scenario(harness: GuardHarness) -> None:
        await respond_to_probe(harness, b'', '200 OK')
        requests = [asyncio.create_task(harness.request()) for _ in range(3)]
        pending = [await harness.backend.next() for _ in requests]
        harness.clock.ahead_s += 100
        await wait_for_budget_checks(prober_of(harness), 6)
        assert harness.backend.arrived.empty()
        assert prober_of(harness).probes == 1
        for exchange in pending:
            await exchange.send(b'')
        await asyncio.gather(*requests)
        await respond_to_probe(harness, b'', '200 OK')

    with_guard(scenario, PLUGINS, slots=4)


@pytest.mark.parametrize(
    'odd',
    [
        b'[' * 60_000,
        b'{"running": 1' + b'0' * 310 + b'}',
        b'\xff',
    ],
    ids=['nested', 'huge', 'no JSON'],
)
def test_probes_go_on_after_an_odd_response(odd: bytes) -> None:
    """Guards against a prober that ends, so that no failure is ever seen.

    Enough responses are odd that a probe of the load is among them.
    """

    async def scenario(harness: GuardHarness) -> None:
        async with asyncio.timeout(20):
            for _ in range(2 * PROBES_PER_LOAD_PROBE):
                await respond_to_probe(harness, odd, '200 OK')
        assert prober_of(harness).probes >= 2 * PROBES_PER_LOAD_PROBE

    with_guard(scenario, PLUGINS)
