"""Actions of a soak: planned work and faults, injected from outside."""

from asyncio import sleep
from collections.abc import Callable, Coroutine
from time import monotonic
from typing import Any, Final, NamedTuple

from bench.mesh_fleet import SoakFleet
from bench.mesh_host import MeshHost
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


class ActionContext(NamedTuple):
    """The fleet, the host that an action concerns, and the event."""

    fleet: SoakFleet
    host: MeshHost
    event: SoakEvent


RunAction = Callable[[ActionContext], Coroutine[Any, Any, None]]


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
    await action.run(ActionContext(fleet, host, event))
    if action.excuses:
        period = Fault(event.action, host.name, start_s, monotonic())
        fleet.history.faults.append(period)


# Processes


@planned('stop')
async def stop_daemon(context: ActionContext) -> None:
    """Send SIGTERM; the supervisor starts the next process."""
    lifetime = context.host.lifetime
    context.host.daemon.terminate()
    await sleep(GRACE_S + KILL_MARGIN_S)
    context.host.daemon.kill_late(lifetime)


@planned('stop-all')
async def stop_all_daemons(context: ActionContext) -> None:
    """Send SIGTERM to all daemons while clients go on, and end the soak."""
    await context.fleet.finish()


@planned('reload')
async def reload_daemon(context: ActionContext) -> None:
    """Send SIGHUP; before its handler is installed it ends the process."""
    context.host.daemon.reload()


@planned('configure')
async def change_configuration(context: ActionContext) -> None:
    """Write the next version of the configuration."""
    await context.fleet.configure()


@fault('kill')
async def kill_daemon(context: ActionContext) -> None:
    """Send SIGKILL."""
    context.host.daemon.kill_now(context.host.lifetime)


@fault('stop-and-kill')
async def stop_and_kill(context: ActionContext) -> None:
    """Send SIGTERM, and SIGKILL within the grace period."""
    lifetime = context.host.lifetime
    context.host.daemon.terminate()
    await sleep(context.event.duration_s)
    context.host.daemon.kill_now(lifetime)


@fault('freeze')
async def freeze_daemon(context: ActionContext) -> None:
    """Suspend the process for the duration."""
    await context.host.daemon.freeze(context.event.duration_s)


# Links between daemons


@fault('cut-link')
async def cut_link(context: ActionContext) -> None:
    """Cut the link towards a daemon in one direction or both."""
    link = context.host.peer_link
    both = context.event.detail == 'both'
    link.change(
        cut_to=both or context.event.detail == 'to',
        cut_from=both or context.event.detail == 'from',
    )
    await sleep(context.event.duration_s)
    link.change(cut_to=False, cut_from=False)


@fault('delay-link')
async def delay_link(context: ActionContext) -> None:
    """Delay all bytes to and from a daemon."""
    context.host.peer_link.change(delay_ms=LINK_DELAY_MS)
    await sleep(context.event.duration_s)
    context.host.peer_link.change(delay_ms=0)


@fault('narrow-link')
async def narrow_link(context: ActionContext) -> None:
    """Limit the rate of each connection to a daemon."""
    context.host.peer_link.change(bytes_per_s=NARROW_BYTES_PER_S)
    await sleep(context.event.duration_s)
    context.host.peer_link.change(bytes_per_s=0)


@fault('reset-link')
async def reset_link(context: ActionContext) -> None:
    """Reset the connections of other daemons to this one."""
    context.host.peer_link.reset()


@fault('silence-link')
async def silence_link(context: ActionContext) -> None:
    """Silence the open connections of other daemons to this one."""
    context.host.peer_link.silence()


# The store


@planned('refuse-store')
async def refuse_store_calls(context: ActionContext) -> None:
    """Refuse all calls to the store."""
    context.fleet.store.unavailable = True
    await sleep(context.event.duration_s)
    context.fleet.store.unavailable = False


@planned('cut-store')
async def cut_store(context: ActionContext) -> None:
    """Cut the link between a daemon and the store."""
    context.host.store_link.change(cut_to=True, cut_from=True)
    await sleep(context.event.duration_s)
    context.host.store_link.change(cut_to=False, cut_from=False)


@planned('silence-store')
async def silence_store(context: ActionContext) -> None:
    """Silence the open connections between a daemon and the store."""
    context.host.store_link.silence()


@planned('expire-leases')
async def expire_leases(context: ActionContext) -> None:
    """Expire the leases of all daemons."""
    await context.fleet.store.expire_leases()


@planned('forget-history')
async def forget_history(context: ActionContext) -> None:
    """Drop the history of the store, so that watches get status 410."""
    context.fleet.store.compacted_revision = await context.fleet.store.put(
        'soak/marker', ''
    )


# Backend servers


async def _impair_responses(context: ActionContext, name: str) -> None:
    context.host.backend.fault = ResponseFault(name, FAULT_SHARE)
    await sleep(context.event.duration_s)
    context.host.backend.fault = None


@fault('drop-responses')
async def drop_responses(context: ActionContext) -> None:
    """Close connections after the run, without a response."""
    await _impair_responses(context, 'drop')


@fault('truncate-responses')
async def truncate_responses(context: ActionContext) -> None:
    """Close connections in the middle of a response."""
    await _impair_responses(context, 'truncate')


@fault('refuse-requests')
async def refuse_requests(context: ActionContext) -> None:
    """Refuse requests as not run."""
    await _impair_responses(context, 'refuse')


@fault('crash-server')
async def crash_server(context: ActionContext) -> None:
    """End the server without notice; another one starts later."""
    async with context.host.server_lock:
        await context.host.backend.stop()
        await sleep(context.event.duration_s)
        await context.host.start_server(same_id=context.event.detail == 'both')


@planned('replace-server')
async def replace_server(context: ActionContext) -> None:
    """Let the server leave, and start another one on the same context.host."""
    async with context.host.server_lock:
        if context.event.detail == 'deregistered':
            context.host.announcing = False
            await _deregister(context.host)
        else:
            context.host.backend.leaving = True
            await _announce_leaving(context.host)
        await sleep(DRAIN_MS / MS_PER_S + SERVE_LONGER_S)
        context.host.announcing = False
        await context.host.deregister()
        await context.host.backend.stop()
        await sleep(RETRY_S)
        await context.host.start_server(
            same_id=context.event.detail == 'same-id'
        )


async def _announce_leaving(host: MeshHost) -> None:
    give_up_s = monotonic() + LEAVE_TIMEOUT_S
    while not await host.announce() and monotonic() < give_up_s:
        await sleep(RETRY_S)


async def _deregister(host: MeshHost) -> None:
    for _ in range(DELETE_ATTEMPTS):
        if await host.deregister():
            return
        await sleep(RETRY_S)
