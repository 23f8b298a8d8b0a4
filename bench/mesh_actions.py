"""Actions of a soak: planned work and faults, injected from outside."""

from asyncio import sleep
from collections.abc import Callable, Coroutine
from time import monotonic
from typing import Any, Final, NamedTuple

from bench.mesh_fleet import MeshHost, SoakFleet
from bench.mesh_plan import SoakEvent
from bench.mesh_records import DRAIN_MS, GRACE_S, Fault
from bergamotshunt.registries import Registry
from standins.mesh_backend import ResponseFault

# A process that does not end is killed this long after the grace period.
KILL_MARGIN_S: Final = 2.0
MS_PER_S: Final = 1000
# Time for which a leaving server serves beyond drain_ms.
SERVE_LONGER_S: Final = 1.5
DELETE_ATTEMPTS: Final = 8
LEAVE_TIMEOUT_S: Final = 6.0
RETRY_S: Final = 0.2
LINK_DELAY_MS: Final = 150
NARROW_BYTES_PER_S: Final = 100_000
FAULT_SHARE: Final = 0.4

RunAction = Callable[
    [SoakFleet, MeshHost, SoakEvent], Coroutine[Any, Any, None]
]


class Action(NamedTuple):
    """An action of the plan.

    Attributes:
        run: Carries it out, with the end of its effect.
        excuses: Whether it is an unplanned fault that excuses lost requests;
            planned work and faults of the store do not.
    """

    run: RunAction
    excuses: bool


ACTIONS: Final[Registry[Action]] = Registry('action')


def planned(name: str) -> Callable[[RunAction], RunAction]:
    """Return a decorator for planned work, or a fault of the store."""
    return _register(name, excuses=False)


def fault(name: str) -> Callable[[RunAction], RunAction]:
    """Return a decorator for an unplanned fault."""
    return _register(name, excuses=True)


def _register(name: str, *, excuses: bool) -> Callable[[RunAction], RunAction]:
    def decorator(run: RunAction) -> RunAction:
        ACTIONS.register(name)(Action(run, excuses))
        return run

    return decorator


async def run_event(fleet: SoakFleet, event: SoakEvent) -> None:
    """Wait until an event is due, and carry it out."""
    await sleep(event.at_s)
    action = ACTIONS.get(event.action)
    host = fleet.hosts[event.host]
    start_s = monotonic()
    await action.run(fleet, host, event)
    if action.excuses:
        period = Fault(event.action, host.name, start_s, monotonic())
        fleet.history.faults.append(period)


# Processes


@planned('stop')
async def stop_daemon(
    _fleet: SoakFleet, host: MeshHost, _event: SoakEvent
) -> None:
    """Send SIGTERM; the supervisor starts the next process."""
    lifetime = host.lifetime
    host.daemon.terminate()
    await sleep(GRACE_S + KILL_MARGIN_S)
    host.daemon.kill_late(lifetime)


@planned('stop-all')
async def stop_all_daemons(
    fleet: SoakFleet, _host: MeshHost, _event: SoakEvent
) -> None:
    """Send SIGTERM to all daemons while clients go on, and end the soak."""
    await fleet.finish()


@planned('reload')
async def reload_daemon(
    _fleet: SoakFleet, host: MeshHost, _event: SoakEvent
) -> None:
    """Send SIGHUP; before its handler is installed it ends the process."""
    host.daemon.reload()


@planned('configure')
async def change_configuration(
    fleet: SoakFleet, _host: MeshHost, _event: SoakEvent
) -> None:
    """Write the next version of the configuration."""
    await fleet.configure()


@fault('kill')
async def kill_daemon(
    _fleet: SoakFleet, host: MeshHost, _event: SoakEvent
) -> None:
    """Send SIGKILL."""
    host.daemon.kill_now(host.lifetime)


@fault('stop-and-kill')
async def stop_and_kill(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Send SIGTERM, and SIGKILL within the grace period."""
    lifetime = host.lifetime
    host.daemon.terminate()
    await sleep(event.duration_s)
    host.daemon.kill_now(lifetime)


@fault('freeze')
async def freeze_daemon(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Suspend the process for the duration."""
    await host.daemon.freeze(event.duration_s)


# Links between daemons


@fault('cut-link')
async def cut_link(_fleet: SoakFleet, host: MeshHost, event: SoakEvent) -> None:
    """Cut the link towards a daemon in one direction or both."""
    link = host.peer_link
    both = event.detail == 'both'
    link.change(
        cut_to=both or event.detail == 'to',
        cut_from=both or event.detail == 'from',
    )
    await sleep(event.duration_s)
    link.change(cut_to=False, cut_from=False)


@fault('delay-link')
async def delay_link(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Delay all bytes to and from a daemon."""
    host.peer_link.change(delay_ms=LINK_DELAY_MS)
    await sleep(event.duration_s)
    host.peer_link.change(delay_ms=0)


@fault('narrow-link')
async def narrow_link(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Limit the rate of each connection to a daemon."""
    host.peer_link.change(bytes_per_s=NARROW_BYTES_PER_S)
    await sleep(event.duration_s)
    host.peer_link.change(bytes_per_s=0)


@fault('reset-link')
async def reset_link(
    _fleet: SoakFleet, host: MeshHost, _event: SoakEvent
) -> None:
    """Reset the connections of other daemons to this one."""
    host.peer_link.reset()


@fault('silence-link')
async def silence_link(
    _fleet: SoakFleet, host: MeshHost, _event: SoakEvent
) -> None:
    """Silence the open connections of other daemons to this one."""
    host.peer_link.silence()


# The store


@planned('refuse-store')
async def refuse_store_calls(
    fleet: SoakFleet, _host: MeshHost, event: SoakEvent
) -> None:
    """Refuse all calls to the store."""
    fleet.store.unavailable = True
    await sleep(event.duration_s)
    fleet.store.unavailable = False


@planned('cut-store')
async def cut_store(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Cut the link between a daemon and the store."""
    host.store_link.change(cut_to=True, cut_from=True)
    await sleep(event.duration_s)
    host.store_link.change(cut_to=False, cut_from=False)


@planned('silence-store')
async def silence_store(
    _fleet: SoakFleet, host: MeshHost, _event: SoakEvent
) -> None:
    """Silence the open connections between a daemon and the store."""
    host.store_link.silence()


@planned('expire-leases')
async def expire_leases(
    fleet: SoakFleet, _host: MeshHost, _event: SoakEvent
) -> None:
    """Expire the leases of all daemons."""
    await fleet.store.expire_leases()


@planned('forget-history')
async def forget_history(
    fleet: SoakFleet, _host: MeshHost, _event: SoakEvent
) -> None:
    """Drop the history of the store, so that watches get status 410."""
    fleet.store.compacted_revision = await fleet.store.put('soak/marker', '')


# Backend servers


async def _impair_responses(
    host: MeshHost, event: SoakEvent, name: str
) -> None:
    host.backend.fault = ResponseFault(name, FAULT_SHARE)
    await sleep(event.duration_s)
    host.backend.fault = None


@fault('drop-responses')
async def drop_responses(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Close connections after the run, without a response."""
    await _impair_responses(host, event, 'drop')


@fault('truncate-responses')
async def truncate_responses(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Close connections in the middle of a response."""
    await _impair_responses(host, event, 'truncate')


@fault('refuse-requests')
async def refuse_requests(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Refuse requests as not run."""
    await _impair_responses(host, event, 'refuse')


@fault('crash-server')
async def crash_server(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """End the server without notice; another one starts later."""
    async with host.server_lock:
        await host.backend.stop()
        await sleep(event.duration_s)
        await host.start_server(same_id=event.detail == 'both')


@planned('replace-server')
async def replace_server(
    _fleet: SoakFleet, host: MeshHost, event: SoakEvent
) -> None:
    """Let the server leave, and start another one on the same host."""
    async with host.server_lock:
        if event.detail == 'deregistered':
            host.announcing = False
            await _deregister(host)
        else:
            host.backend.leaving = True
            await _announce_leaving(host)
        await sleep(DRAIN_MS / MS_PER_S + SERVE_LONGER_S)
        host.announcing = False
        await host.deregister()
        await host.backend.stop()
        await sleep(RETRY_S)
        await host.start_server(same_id=event.detail == 'same-id')


async def _announce_leaving(host: MeshHost) -> None:
    give_up_s = monotonic() + LEAVE_TIMEOUT_S
    while not await host.announce() and monotonic() < give_up_s:
        await sleep(RETRY_S)


async def _deregister(host: MeshHost) -> None:
    for _ in range(DELETE_ATTEMPTS):
        if await host.deregister():
            return
        await sleep(RETRY_S)
