"""Run cells of the fault matrix at the steps of a member's life.

Each ``reach_*`` function brings the member to its step and returns.
"""

from asyncio import create_task, sleep
from collections.abc import Callable, Coroutine
from typing import Any, Final

from bench.fault_checks import (
    check_budget,
    check_calls,
    check_targets,
    describe,
)
from bench.fault_fleet import FaultFleet
from bench.fault_table import FaultContext, inject_all
from bench.hosts import Host
from bench.load import LoadGenerator, ObservedOutcome
from bench.plans import Call, plan_calls
from bench.processes import poll_until
from bench.shapes import SMALL
from bergamotshunt.registries import Registry

LOAD_DURATION_S: Final = 1.2
BALANCE_RATE_FACTOR: Final = 0.5
# Time in which the peers have to learn that a server drains.
DRAIN_SETTLE_S: Final = 3
STEP_TIMEOUT_S: Final = 10
# Time from the injection of the faults until held bytes continue. The faults
# last longer, until the fleet is restored.
RELEASE_DELAY_S: Final = 0.2
SYNC_PATH: Final = b'/bergamotshunt/sync'
MAX_DRAIN_CALLS: Final = 12

ReachStep = Callable[[FaultFleet, Host], Coroutine[Any, Any, None]]
LIFE_STEPS: Final[Registry[ReachStep]] = Registry("step of a member's life")


@LIFE_STEPS.register('announce')
async def reach_announce(fleet: FaultFleet, host: Host) -> None:
    """Kill and restart the daemon; return before it has announced itself."""
    await host.daemon.kill()
    await host.daemon.start()


@LIFE_STEPS.register('join')
async def reach_join(fleet: FaultFleet, host: Host) -> None:
    """Kill and restart the daemon and hold its first member sync."""
    await host.daemon.kill()
    gates = [
        fleet.peer_links[peer.name].add_gate('to', SYNC_PATH)
        for peer in fleet.hosts
        if peer is not host
    ]
    await host.daemon.start()

    async def check() -> bool:
        return any(gate.held.is_set() for gate in gates)

    await poll_until(
        check, STEP_TIMEOUT_S, f'{host.name} sent no sync of the members'
    )


@LIFE_STEPS.register('serve')
async def reach_serve(fleet: FaultFleet, _host: Host) -> None:
    """Wait until all daemons are ready."""
    await fleet.wait_until_ready()


@LIFE_STEPS.register('drain')
async def reach_drain(fleet: FaultFleet, host: Host) -> None:
    """Start to drain the server and give the peers time to learn of it."""
    await fleet.post_control(host, '/drain', {'draining': True})
    await sleep(DRAIN_SETTLE_S)


@LIFE_STEPS.register('leave')
async def reach_leave(_fleet: FaultFleet, host: Host) -> None:
    """Terminate the daemon; return before it has left the fleet."""
    host.daemon.terminate()


@LIFE_STEPS.register('rejoin')
async def reach_rejoin(fleet: FaultFleet, host: Host) -> None:
    """Restart the daemon after a peer has seen that it left."""
    await host.daemon.end()
    peer = next(item for item in fleet.hosts if item is not host)

    async def check() -> bool:
        status = await fleet.read_status(peer)
        return status is not None and not is_serving(status, host.name)

    await poll_until(
        check, STEP_TIMEOUT_S, f'{host.name} was still serving at {peer.name}'
    )
    await host.daemon.start()


def is_serving(status: dict[str, Any], name: str) -> bool:
    """Return whether a status shows a member as serving.

    The member is alive or suspect (``status`` up to 1) and its server is
    serving (``server_state`` 1).
    """
    return any(
        member['daemon_id'] == name
        and member['server_state'] == 1
        and member['status'] <= 1
        for member in status['members']
    )


async def run_life_cell(
    fleet: FaultFleet, faults: tuple[str, ...], step: str, name: str
) -> dict[str, str]:
    """Inject faults at a step of a member's life, under a light load.

    Args:
        fleet: The fleet.
        faults: Names of the faults.
        step: Name of the step.
        name: Unique name of the cell, part of all request ids.

    Returns:
        The violations by property; empty text where it holds.

    Raises:
        TimeoutError: The member did not reach the step.
    """
    host = fleet.hosts[2]
    entry_hosts = fleet.hosts[:2]
    calls = [
        call._replace(request_id=f'{name}-{call.request_id}')
        for call in plan_calls(
            SMALL, LOAD_DURATION_S, 1, {'balance': BALANCE_RATE_FACTOR}
        )
    ]
    calls = [
        call._replace(booking=call.booking and f'{name}-{call.booking}')
        for call in calls
    ]

    def route(call: Call) -> str:
        entry = entry_hosts[call.entry % len(entry_hosts)]
        return f'{entry.url("callers")}/{call.kind.service}'

    load_task = create_task(LoadGenerator(route).run(calls))
    violations: dict[str, str] = {}
    try:
        await LIFE_STEPS.get(step)(fleet, host)
        if step == 'drain':
            violations['drain'] = await check_drain(fleet, host, name)
        await inject_all(faults, FaultContext(fleet, entry_hosts[0], host))
        await sleep(RELEASE_DELAY_S)
    finally:
        fleet.open_all_gates()
        outcomes: list[ObservedOutcome] = await load_task
    await fleet.restore()
    violations |= check_calls(fleet, outcomes)
    violations['measuring budget'] = await check_budget(fleet)
    violations['targets'] = await check_targets(fleet)
    return violations


async def check_drain(fleet: FaultFleet, host: Host, name: str) -> str:
    """Return whether a draining server received requests, as a text.

    The text is empty if it received none.
    """
    received_before = (await fleet.read_counts(host))['received']
    plan = plan_calls(SMALL, 1, 2)[:MAX_DRAIN_CALLS]
    calls = [
        call._replace(at_s=0, request_id=f'{name}-drain-{number}', booking='')
        for number, call in enumerate(plan)
        if call.kind.method == 'GET'
    ]
    entry = fleet.hosts[0]
    base_url = f'{entry.url("callers")}/{entry.service}'
    await LoadGenerator(lambda _call: base_url).run(calls)
    received_after = (await fleet.read_counts(host))['received']
    return describe(
        f'{received_after - received_before} requests '
        f'{DRAIN_SETTLE_S} s after the drain began'
        if received_after > received_before
        else ''
    )
