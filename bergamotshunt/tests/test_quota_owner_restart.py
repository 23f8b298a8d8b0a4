"""A daemon that is restarted right after its host has joined the fleet."""

import asyncio

from bergamotshunt.boot_clock import boot_time_s
from bergamotshunt.decisions.quota_ownership import START_DELAY_S
from bergamotshunt.plugins.mesh.quotas import QuotasTask
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    configuration,
    with_accounts,
)
from standins.mesh_server import respond_with_echo

RESTARTED = 1


def quotas_of(mesh: Mesh) -> QuotasTask:
    task = mesh.hosts[RESTARTED].kernel.tasks_by_name['quotas']
    assert isinstance(task, QuotasTask)
    return task


def test_restart_does_not_shorten_the_wait_of_a_new_owner() -> None:
    """Guards against two daemons that give out the same quota.

    No daemon of a host may grant within the start delay of its joining: an
    owner that was cut off from the store then may still do so.
    """

    async def run_scenario() -> None:
        started_s = boot_time_s()
        async with Mesh([respond_with_echo] * 2) as mesh:
            document = configuration(2, READ_ROUTE, BOOKING_ROUTE)
            await mesh.store.put(
                'op/config',
                with_accounts(document, 'key-1', rate_per_s=100, burst=0),
            )
            await mesh.wait_until(
                lambda: (
                    mesh.version(RESTARTED) == 2
                    and mesh.stored_servers(RESTARTED) == 2
                )
            )
            await mesh.restart(RESTARTED)
            await mesh.wait_until(lambda: mesh.stored_servers(RESTARTED) == 2)
            view = quotas_of(mesh)._ownership._views[0]
            assert view.since_s + view.delay_s >= started_s + START_DELAY_S

    asyncio.run(run_scenario())
