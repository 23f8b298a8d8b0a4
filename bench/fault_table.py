"""Faults of the matrix, which are injected into a running fleet.

A fault has no counterpart that ends it: ``FaultFleet.restore`` ends all.
"""

from asyncio import gather, sleep
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple

from bench.fault_fleet import FaultFleet
from bench.hosts import Host
from bench.operators import submit_concurrently
from bergamotshunt.registries import Registry

SUSPEND_S: Final = 0.8
LINK_DELAY_MS: Final = 150
# Factor on the service time of a straggling server.
STRAGGLE_FACTOR: Final = 20


class FaultContext(NamedTuple):
    """Fleet and hosts that a fault applies to.

    Attributes:
        fleet: The fleet.
        entry: Host whose daemon the caller or operator connects to.
        faulty_host: Host at which the fault is injected.
    """

    fleet: FaultFleet
    entry: Host
    faulty_host: Host


InjectFault = Callable[[FaultContext], Coroutine[Any, Any, None]]


class Fault(NamedTuple):
    """A fault of the matrix.

    Attributes:
        inject: Injects the fault.
        component: Component that fails: ``server``, ``daemon``, ``link``,
            ``platform`` or ``operators``.
        drains: Whether it is a graceful stop, in which running requests
            have to be answered.
    """

    inject: InjectFault
    component: str
    drains: bool = False


FAULTS: Final[Registry[Fault]] = Registry('fault')


def fault(
    name: str, component: str, *, drains: bool = False
) -> Callable[[InjectFault], InjectFault]:
    """Return a decorator that registers a fault."""

    def decorator(inject: InjectFault) -> InjectFault:
        FAULTS.register(name)(Fault(inject, component, drains))
        return inject

    return decorator


def register_server_fault(name: str, **changes: Any) -> None:
    """Register a fault that the backend server stand-in simulates."""

    @fault(name, 'server')
    async def inject(context: FaultContext) -> None:
        await context.fleet.post_control(
            context.faulty_host, '/faults', changes
        )


register_server_fault('server straggles', straggle=STRAGGLE_FACTOR)
register_server_fault('server fails fast', fail_fast=1)
register_server_fault('server sheds', shed=1)
register_server_fault('server answers late', late_ms=600)
register_server_fault('server cuts answers short', cut_short=1)
register_server_fault("server gives another's answer", foreign=1)
register_server_fault('server refuses connections', refuse=True)


@fault('server freezes', 'server')
async def freeze_server(context: FaultContext) -> None:
    """Suspend the process of the server until the fleet is restored."""
    context.faulty_host.server.suspend()


@fault('server is killed', 'server')
async def kill_server(context: FaultContext) -> None:
    """Kill the process of the server."""
    await context.faulty_host.server.kill()


@fault('server drains', 'server', drains=True)
async def drain_server(context: FaultContext) -> None:
    """Make the server refuse new requests and finish running ones."""
    await context.fleet.post_control(
        context.faulty_host, '/drain', {'draining': True}
    )


@fault('server starts cold', 'server')
async def start_server_cold(context: FaultContext) -> None:
    """Make the server slow at first, as after a restart."""
    await context.fleet.post_control(
        context.faulty_host, '/cold', {'cold_s': 5, 'factor': 20}
    )


@fault('daemon is killed', 'daemon')
async def kill_daemon(context: FaultContext) -> None:
    """Kill the daemon beside the server."""
    await context.faulty_host.daemon.kill()


@fault('entry daemon is killed', 'daemon')
async def kill_entry(context: FaultContext) -> None:
    """Kill the daemon that the caller is connected to."""
    await context.entry.daemon.kill()


@fault('daemon is frozen and woken', 'daemon')
async def freeze_daemon(context: FaultContext) -> None:
    """Suspend the daemon beside the server for ``SUSPEND_S``."""
    context.faulty_host.daemon.suspend()
    await sleep(SUSPEND_S)
    context.faulty_host.daemon.resume()


@fault('daemon is restarted', 'daemon', drains=True)
async def restart_daemon(context: FaultContext) -> None:
    """Terminate the daemon without waiting for its exit.

    ``FaultFleet.restore`` starts it again once it has exited.
    """
    context.faulty_host.daemon.terminate()


def register_link_fault(name: str, kind: str, **changes: Any) -> None:
    """Register a fault of a link of the faulty host.

    Args:
        name: Name of the fault.
        kind: Kind of link; a key of ``LINK_NAMES_BY_KIND``.
        changes: Fields of ``LinkFaults``.
    """

    @fault(name, 'link')
    async def inject(context: FaultContext) -> None:
        links = getattr(context.fleet, f'{kind}_links')
        links[context.faulty_host.name].change_faults(**changes)


LINK_NAMES_BY_KIND: Final = {
    'peer': 'link between daemons',
    'server': 'link to the server',
    'platform': 'link to the platform',
}
for _kind, _name in LINK_NAMES_BY_KIND.items():
    register_link_fault(f'{_name} cut towards', _kind, cut_to=True)
    register_link_fault(f'{_name} cut back', _kind, cut_from=True)
    register_link_fault(f'{_name} delayed', _kind, delay_ms=LINK_DELAY_MS)
    register_link_fault(f'{_name} duplicates', _kind, duplicate=True)


@fault('answers out of order', 'link')
async def reorder(context: FaultContext) -> None:
    """Delay the responses of the server past those of later requests."""
    links = context.fleet.server_links
    links[context.faulty_host.name].change_faults(delay_ms=LINK_DELAY_MS)
    await context.fleet.post_control(
        context.faulty_host, '/faults', {'late_ms': 200}
    )


def register_platform_fault(name: str, **changes: Any) -> None:
    """Register a fault that the platform stand-in simulates."""

    @fault(name, 'platform')
    async def inject(context: FaultContext) -> None:
        await context.fleet.post_platform_control(changes)


register_platform_fault('platform down', down='refused')
register_platform_fault('platform slow', delay_ms=800)
register_platform_fault('platform loses an answer', lose_answers=1)
register_platform_fault('platform stale', stale=True)


@fault('lease lapses in a pause', 'platform')
async def expire_leases(context: FaultContext) -> None:
    """Expire all leases while the daemon is suspended."""
    context.faulty_host.daemon.suspend()
    await context.fleet.post_platform_control({'expire_leases': True})
    await sleep(SUSPEND_S / 2)
    context.faulty_host.daemon.resume()


@fault('two operators race', 'operators')
async def race_operators(context: FaultContext) -> None:
    """Submit two changes of the same revision at two daemons."""
    healthy_hosts = [
        host for host in context.fleet.hosts if host is not context.faulty_host
    ]
    await submit_concurrently(context.fleet, healthy_hosts[0], healthy_hosts[1])


async def inject_all(names: tuple[str, ...], context: FaultContext) -> None:
    """Inject several faults concurrently."""
    await gather(*(FAULTS.get(name).inject(context) for name in names))
