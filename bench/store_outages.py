"""Measure how soon a change is in force after trouble of the store.

Run it with ``python -m bench.store_outages``.

Runs daemons of the mesh with the stand-ins of store and servers in one
process. For each kind of trouble and each seed, the configuration changes
within the trouble, at its end or one second later, and all leases that lapse
are granted again. Times count from the end of the trouble or from the change,
whichever is later.
"""

from argparse import ArgumentParser
from asyncio import create_task, run, sleep, timeout
from collections.abc import Callable, Coroutine
from random import Random
from statistics import median
from time import monotonic
from typing import Any, Final, NamedTuple

from rich.console import Console
from rich.table import Table

from bergamotshunt.registries import Registry
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    configuration,
)
from standins.mesh_server import respond_with_echo
from standins.mesh_store import MeshStore

DAEMONS: Final = 4
OUTAGE_S: Final = 3.0
# Longer than a watch that nobody asks again waits for its timeout.
MAX_WAIT_S: Final = 25.0
POLL_INTERVAL_S: Final = 0.005
NEW_VERSION: Final = 2

Outage = Callable[[MeshStore], Coroutine[Any, Any, None]]
OUTAGES: Final[Registry[Outage]] = Registry('store outage')
CHANGE_OFFSETS_S: Final = {
    'inside': -OUTAGE_S / 2,
    'at the end': 0.0,
    'one second later': 1.0,
}


class Recovery(NamedTuple):
    """Times until all daemons were up to date again, in seconds.

    Attributes:
        configuration_s: Until the new version was in force everywhere.
        entries_s: Until the store had the entries of all servers and all
            daemons had read them.
    """

    configuration_s: float
    entries_s: float


@OUTAGES.register('silent')
async def be_silent(store: MeshStore) -> None:
    """Answer nothing, not even later, and keep the connections open."""
    store.fall_silent()
    await sleep(OUTAGE_S)
    store.silent = False


@OUTAGES.register('silent, leases lapse')
async def be_silent_and_lapse(store: MeshStore) -> None:
    """Answer nothing; all leases expire meanwhile."""
    store.fall_silent()
    await sleep(OUTAGE_S)
    await store.expire_leases()
    store.silent = False


@OUTAGES.register('busy')
async def be_busy(store: MeshStore) -> None:
    """Answer all calls with status 503."""
    store.unavailable = True
    await sleep(OUTAGE_S)
    store.unavailable = False


@OUTAGES.register('reset')
async def reset_connections(store: MeshStore) -> None:
    """Reset all connections, again and again."""
    end_s = monotonic() + OUTAGE_S
    while monotonic() < end_s:
        store.reset_connections()
        await sleep(POLL_INTERVAL_S)


@OUTAGES.register('history gone')
async def compact(store: MeshStore) -> None:
    """Fall silent, and forget the history meanwhile."""
    store.fall_silent()
    await sleep(OUTAGE_S)
    store.compact()
    store.silent = False


@OUTAGES.register('lost answers')
async def lose_answers(store: MeshStore) -> None:
    """Answer all calls, but at last none of the watches that are pending."""
    await sleep(OUTAGE_S)
    store.forget_pending()


async def measure(outage: Outage, offset_s: float, seed: int) -> Recovery:
    """Measure one outage."""
    rng = Random(seed)
    async with Mesh([respond_with_echo] * DAEMONS) as mesh:
        # The phase of the renewals of the leases at the begin of the outage.
        await sleep(rng.uniform(0, 2))
        change = (
            'op/config',
            configuration(NEW_VERSION, READ_ROUTE, BOOKING_ROUTE),
        )
        start_s = monotonic()
        outage_task = create_task(outage(mesh.store))
        if offset_s < 0:
            await sleep(OUTAGE_S + offset_s)
            await mesh.store.put(*change)
            await outage_task
        else:
            await outage_task
            await sleep(offset_s)
            await mesh.store.put(*change)
        due_s = start_s + OUTAGE_S + max(offset_s, 0)
        configuration_s = await _wait(
            lambda: all(
                mesh.version(host) == NEW_VERSION for host in range(DAEMONS)
            ),
            due_s,
        )
        entries_s = await _wait(lambda: _has_all_entries(mesh), due_s)
        return Recovery(configuration_s, entries_s)


def _has_all_entries(mesh: Mesh) -> bool:
    return (
        all(mesh.stored_servers(host) == DAEMONS for host in range(DAEMONS))
        and len(mesh.store.read_values('bergamotshunt/')) == DAEMONS
    )


async def _wait(condition: Callable[[], bool], due_s: float) -> float:
    """Return the time from ``due_s`` until a condition holds, in seconds."""
    async with timeout(MAX_WAIT_S):
        while not condition():
            await sleep(POLL_INTERVAL_S)
    return max(monotonic() - due_s, 0)


def main() -> None:
    """Measure all outages and print a table."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--outages', nargs='*', choices=OUTAGES.names())
    options = parser.parse_args()
    table = Table('outage', 'change', 'in force, s', 'entries back, s')
    for name in options.outages or OUTAGES.names():
        for placement, offset_s in CHANGE_OFFSETS_S.items():
            recoveries = [
                run(measure(OUTAGES.get(name), offset_s, seed))
                for seed in range(options.seeds)
            ]
            table.add_row(
                name,
                placement,
                _format([found.configuration_s for found in recoveries]),
                _format([found.entries_s for found in recoveries]),
            )
    Console(width=100).print(table)


def _format(times_s: list[float]) -> str:
    return f'{median(times_s):.2f}, worst {max(times_s):.2f}'


if __name__ == '__main__':
    main()
