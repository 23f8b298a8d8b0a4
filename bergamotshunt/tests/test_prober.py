"""The prober with a guard and a real server."""

import asyncio

from bergamotshunt.messages import HealthObserved, ServerStateChanged
from bergamotshunt.peers.members import ServerState
from bergamotshunt.plugins.prober import ProberTask
from bergamotshunt.tests.guard_harness import GuardHarness, with_guard

PLUGINS = ('guard', 'prober')


def prober_of(bench: GuardHarness) -> ProberTask:
    task = bench.kernel.tasks_by_name['prober']
    assert isinstance(task, ProberTask)
    return task


async def respond_to_probe(
    bench: GuardHarness, body: bytes, status: str
) -> None:
    """Answer one health probe; the clock pays for it."""
    bench.clock.ahead_s += 1
    exchange = await bench.backend.next()
    assert exchange.head.startswith(('GET /health', 'GET /load'))
    await exchange.send(body, status)


def test_state_of_the_server_follows_its_probes() -> None:
    """Guards against a server that gets work before it is ready."""

    async def work(bench: GuardHarness) -> None:
        states = bench.subscribe(ServerStateChanged)
        health = bench.subscribe(HealthObserved)
        assert bench.guard.gate.server_state is ServerState.STARTING
        await respond_to_probe(bench, b'{"healthy": false}', '200 OK')
        assert not (await health.get()).message.healthy
        await respond_to_probe(bench, b'', '200 OK')
        state = (await states.get()).message.server_state
        assert state is ServerState.SERVING
        while states.empty():
            failed = '503 Service Unavailable'
            await respond_to_probe(bench, b'{"running": 3}', failed)
        state = (await states.get()).message.server_state
        assert state is ServerState.DOWN
        spent = prober_of(bench).budget
        assert spent.spent_slot_ms <= spent.allowed_slot_ms

    with_guard(work, PLUGINS)


async def wait_for_looks(prober: ProberTask, looks: int) -> None:
    """Wait until the prober has looked at its budget a few times."""
    for _ in range(looks):
        before = prober.budget.refilled_ms
        while prober.budget.refilled_ms == before:
            await asyncio.sleep(0.001)


def test_nothing_is_measured_while_the_server_is_busy() -> None:
    """Guards against probes that take slots from requests in a surge."""

    async def work(bench: GuardHarness) -> None:
        await respond_to_probe(bench, b'', '200 OK')
        asking = [asyncio.create_task(bench.request()) for _ in range(3)]
        exchanges = [await bench.backend.next() for _ in asking]
        bench.clock.ahead_s += 100
        await wait_for_looks(prober_of(bench), 6)
        assert bench.backend.arrived.empty()
        assert prober_of(bench).probes == 1
        for exchange in exchanges:
            await exchange.send(b'')
        await asyncio.gather(*asking)
        await respond_to_probe(bench, b'', '200 OK')

    with_guard(work, PLUGINS, slots=4)
