"""A deregistered server stays out of use after a restart of its daemon."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from bergamotshunt.mesh_messages import StopRequested
from bergamotshunt.platform.announcements import decode_entry, entry_key
from bergamotshunt.routing import AnnouncedState
from bergamotshunt.tests.mesh import Host, Mesh, send_request
from standins.mesh_server import respond_with_echo

LEAVER = 0
PEER = 1
BORN_MS = 1000
DRAIN_TIMEOUT_S = 5.0


async def deregister(host: Host) -> None:
    path = f'/-/instances/{host.server.instance}'
    response = await send_request(host.settings.control, b'DELETE', path)
    assert response.status == 200


async def end_by_signal(mesh: Mesh) -> None:
    """Let the daemon of the leaving server drain as after SIGTERM."""
    kernel = mesh.hosts[LEAVER].kernel
    kernel.context.bus.publish(StopRequested())
    await kernel.drain(DRAIN_TIMEOUT_S)


async def end_at_once(_mesh: Mesh) -> None:
    """Let the daemon end without notice, right after its response."""


@pytest.mark.parametrize('end', [end_by_signal, end_at_once])
def test_late_heartbeat_after_restart_does_not_undo_deregistration(
    end: Callable[[Mesh], Coroutine[Any, Any, None]],
) -> None:
    """Guards against a deregistered server that gets requests again.

    Its daemon restarts, and a heartbeat from before the deregistration
    arrives at the new process.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await deregister(mesh.hosts[LEAVER])
            await end(mesh)
            await mesh.restart(LEAVER)
            assert await mesh.announce(LEAVER, seq=1, born=BORN_MS) == 200
            await mesh.wait_until(lambda: mesh.version(LEAVER) > 0)
            assert not mesh.is_serving(LEAVER)
            for number in range(20):
                response = await mesh.fetch(PEER, '/read/a', f'r-{number}')
                assert response.content == b'i-1:'
            # The next incarnation of the instance serves.
            assert await mesh.announce(LEAVER, seq=1, born=BORN_MS + 1) == 200
            assert mesh.is_serving(LEAVER)

    asyncio.run(run_scenario())


def test_late_heartbeat_after_restart_does_not_undo_leaving() -> None:
    """Guards against a server that leaves and gets requests again.

    Its daemon stops after the acknowledgement, and a heartbeat from before
    the announcement arrives at the new process.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await mesh.announce(LEAVER, seq=3, state='draining')
            await end_by_signal(mesh)
            await mesh.restart(LEAVER)
            assert await mesh.announce(LEAVER, seq=2) == 200
            assert not mesh.is_serving(LEAVER)

    asyncio.run(run_scenario())


def test_deregistration_is_known_after_the_store_is_back() -> None:
    """Guards against a deregistered server that a store failure revives.

    The store does not answer when the next process starts, so that process
    learns of the deregistration only after a late heartbeat.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await deregister(mesh.hosts[LEAVER])
            mesh.store.unavailable = True
            await mesh.restart(LEAVER)
            assert await mesh.announce(LEAVER, seq=1, born=BORN_MS) == 200
            mesh.store.unavailable = False
            await mesh.wait_until(lambda: mesh.stored_servers(LEAVER) > 1)
            await mesh.wait_until(lambda: not mesh.is_serving(LEAVER))
            # The entry in the store has never told anything else.
            key = entry_key(mesh.hosts[LEAVER].settings.ip)
            states = [
                decode_entry(content).state
                for content in mesh.store.read_history(key)
            ]
            first = states.index(AnnouncedState.DEREGISTERED)
            assert set(states[first:]) == {AnnouncedState.DEREGISTERED}
            await mesh.restart(LEAVER)
            assert await mesh.announce(LEAVER, seq=1, born=BORN_MS) == 200
            assert not mesh.is_serving(LEAVER)

    asyncio.run(run_scenario())
