"""A leaving that the store has not heard of binds the next process, too."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from bergamotshunt.decisions.announcements import MAX_SILENCE_S
from bergamotshunt.decisions.leaving_records import (
    RETENTION_S,
    WITNESS_COUNT,
    LeavingRecords,
    choose_witnesses,
)
from bergamotshunt.decisions.unconfirmed_servers import (
    MIN_SPACING_S,
    UnconfirmedServer,
)
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.kernel import Envelope
from bergamotshunt.mesh_messages import StoredServerRead
from bergamotshunt.peers.leaving_records import LEAVING_PATH, WitnessError
from bergamotshunt.routing import AnnouncedState, ServerEntry
from bergamotshunt.store import leaving_witnesses
from bergamotshunt.tests.mesh import Mesh, send_request
from standins.mesh_server import respond_with_echo

LEAVER = 0
BORN_MS = 1000
HOSTS = 4
ENTRY = ServerEntry(
    instance='i-0',
    born_ms=BORN_MS,
    sequence=3,
    service='shop',
    zone='zone-1',
    ip='127.0.0.9',
    inbound_port=80,
    slots=10,
    state=AnnouncedState.READY,
)
LEAVING = ENTRY._replace(state=AnnouncedState.DEREGISTERED)


async def deregister(mesh: Mesh) -> None:
    host = mesh.hosts[LEAVER]
    path = f'/-/instances/{host.server.instance}'
    response = await send_request(host.settings.control, b'DELETE', path)
    assert response.status == 200


async def leave(mesh: Mesh) -> None:
    assert await mesh.announce(LEAVER, seq=9, state='draining') == 200


async def start_next_process(mesh: Mesh) -> 'asyncio.Queue[Envelope]':
    """End the daemon of the leaving server at once, and start it again."""
    await mesh.hosts[LEAVER].kernel.stop()
    return await mesh.start_again(LEAVER, StoredServerRead)


async def assert_unused(mesh: Mesh) -> None:
    """Check that no client's request reaches the leaving server."""
    await mesh.wait_until(lambda: mesh.version(LEAVER) > 0)
    assert not mesh.is_serving(LEAVER)
    for number in range(10):
        for host in range(len(mesh.hosts)):
            response = await mesh.fetch(host, '/read/a', f'r-{host}-{number}')
            assert response.status == 200
            assert not response.content.startswith(b'i-0:')


@pytest.mark.parametrize('end', [deregister, leave])
def test_leaving_outlasts_a_process_that_could_not_write_it(
    end: Callable[[Mesh], Coroutine[Any, Any, None]],
) -> None:
    """Guards against a server that has left and gets requests again.

    Its daemon acknowledges that it leaves while the store is down, and is
    killed. The store still has the entry from before, and a late heartbeat
    reaches the next process.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.unavailable = True
            await end(mesh)
            started = await start_next_process(mesh)
            mesh.store.unavailable = False
            read = (await started.get()).message
            assert read.entry.is_leaving
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            await assert_unused(mesh)
            # The next incarnation of the instance serves.
            assert await mesh.announce(LEAVER, seq=1, born=BORN_MS + 1) == 200
            await mesh.wait_until(lambda: mesh.is_serving(LEAVER))

    asyncio.run(run_scenario())


def test_leaving_outlasts_a_store_that_lost_it() -> None:
    """Guards against a server that a restored store brings back.

    The store has the leaving, its daemon is killed, and the store comes back
    from a copy that has the entry from before.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.era = 0
            copy = mesh.store.copy()
            await deregister(mesh)
            await mesh.hosts[LEAVER].kernel.stop()
            await mesh.store.restore(copy)
            started = await mesh.start_again(LEAVER, StoredServerRead)
            await started.get()
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            await assert_unused(mesh)

    asyncio.run(run_scenario())


def test_late_heartbeat_is_held_while_nobody_can_tell_of_the_past() -> None:
    """Guards against a server that has left and is used during an outage.

    The store is down when its daemon acknowledges that it leaves, and still
    down when a late heartbeat reaches the next process.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.unavailable = True
            await deregister(mesh)
            await mesh.restart(LEAVER)
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            assert not mesh.is_serving(LEAVER)
            mesh.store.unavailable = False
            await mesh.wait_until(lambda: mesh.stored_servers(LEAVER) > 1)
            await assert_unused(mesh)

    asyncio.run(run_scenario())


def test_late_heartbeat_is_held_while_no_witness_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against silence that is taken for the absence of a record.

    The store is back with the entry from before, but no witness answers.
    """

    async def fail(_peer: FeedPeer, _ip: str) -> None:
        raise WitnessError('no answer')

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.unavailable = True
            await deregister(mesh)
            monkeypatch.setattr(leaving_witnesses, 'fetch_record', fail)
            started = await start_next_process(mesh)
            mesh.store.unavailable = False
            read = (await started.get()).message
            assert not read.is_certain
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            await assert_unused(mesh)

    asyncio.run(run_scenario())


def test_deregistration_counts_before_the_past_is_known() -> None:
    """Guards against a deregistration that a new process forgets.

    It reaches the process before any heartbeat and before the store, which
    has the entry of a ready server. A late heartbeat follows.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.unavailable = True
            started = await start_next_process(mesh)
            await deregister(mesh)
            mesh.store.unavailable = False
            await started.get()
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            await assert_unused(mesh)

    asyncio.run(run_scenario())


def test_running_server_is_used_after_a_restart_during_an_outage() -> None:
    """Guards against a server that is held back for good.

    Nothing is known of its past; it announces itself again and again.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            mesh.store.unavailable = True
            await mesh.restart(LEAVER)
            sequence = 10
            async with asyncio.timeout(10):
                while not mesh.is_serving(LEAVER):
                    sequence += 1
                    await mesh.announce(LEAVER, seq=sequence, born=BORN_MS)
                    await asyncio.sleep(MIN_SPACING_S / 5)
            mesh.store.unavailable = False

    asyncio.run(run_scenario())


def test_held_heartbeat_is_applied_once_the_past_is_known() -> None:
    """Guards against a heartbeat that is lost while it is held."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 2) as mesh:
            mesh.store.unavailable = True
            await mesh.restart(LEAVER)
            # A new incarnation: the store can't tell of it.
            await mesh.announce(LEAVER, seq=1, born=BORN_MS + 1)
            assert not mesh.is_serving(LEAVER)
            mesh.store.unavailable = False
            await mesh.wait_until(lambda: mesh.is_serving(LEAVER))

    asyncio.run(run_scenario())


def test_malformed_requests_of_witnesses_are_rejected() -> None:
    """Guards against a record that hides a server that is ready."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            address = mesh.hosts[0].settings.inbound
            path = LEAVING_PATH.decode()
            requests = [
                (b'PUT', path, b'no entry'),
                (b'PUT', path, b'{"state":"ready"}'),
                (b'GET', path, b''),
                (b'GET', f'{path}?ip=no-address', b''),
            ]
            for method, target, body in requests:
                response = await send_request(address, method, target, body)
                assert response.status == 400
            known = await send_request(address, b'GET', f'{path}?ip={ENTRY.ip}')
            assert known.status == 204

    asyncio.run(run_scenario())


def test_records_of_leaving_servers_expire() -> None:
    """Guards against records that pile up, and against lost ones."""
    records = LeavingRecords()
    records.record(LEAVING, 0)
    records.record(LEAVING, 1)
    assert records.find(ENTRY.ip, RETENTION_S) is not None
    assert records.find('127.0.0.8', 1) is None
    assert records.find(ENTRY.ip, 1 + RETENTION_S) is None


def test_next_process_asks_the_same_witnesses() -> None:
    """Guards against two processes of a host that choose apart."""
    peers = [FeedPeer(f'127.0.1.{n}', 80, 'zone-1') for n in range(1, 40)]
    before = choose_witnesses('127.0.1.5', peers)
    after = choose_witnesses('127.0.1.5', reversed(peers[:-1]))
    assert len(before) == WITNESS_COUNT
    assert '127.0.1.5' not in {peer.ip for peer in before}
    assert len(set(before) & set(after)) >= WITNESS_COUNT - 1


def test_late_heartbeats_that_arrive_together_confirm_nothing() -> None:
    """Guards against heartbeats that were held up on their way together."""
    unconfirmed = UnconfirmedServer()
    later = ENTRY._replace(sequence=4)
    assert not unconfirmed.confirm(ENTRY, 0)
    assert not unconfirmed.confirm(later, MIN_SPACING_S / 2)
    assert not unconfirmed.confirm(ENTRY, 2 * MIN_SPACING_S)
    assert unconfirmed.confirm(later, 2 * MIN_SPACING_S)


def test_deregistered_instance_is_not_taken_from_the_hold() -> None:
    """Guards against a hold that forgets a deregistration."""
    unconfirmed = UnconfirmedServer()
    unconfirmed.confirm(ENTRY, 0)
    unconfirmed.record_deregistration(ENTRY.instance)
    unconfirmed.confirm(ENTRY, 1)
    assert unconfirmed.take_held(1) is None


def test_single_heartbeat_is_not_taken_from_the_hold_long_afterwards() -> None:
    """Guards against a late heartbeat that counts once records have expired.

    A server that runs would have announced itself again.
    """
    unconfirmed = UnconfirmedServer()
    unconfirmed.confirm(ENTRY, 0)
    assert unconfirmed.find_held(MAX_SILENCE_S) == ENTRY
    assert unconfirmed.take_held(RETENTION_S) is None
    assert unconfirmed.is_outdated(ENTRY, RETENTION_S)
