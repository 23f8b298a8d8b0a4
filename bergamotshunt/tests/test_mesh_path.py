"""The path of a request through two daemons, and what goes wrong on it."""

import asyncio

import pytest
from msgspec.json import decode

from bergamotshunt.platform.names import CALLER_SERVICE, TIMEOUT_MS
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    send_request,
    configuration,
    outbound_of,
)
from standins.mesh_server import (
    Behaviour,
    respond_error,
    respond_whole,
    break_off,
    lose_response,
    refuse,
)


def test_response_is_whole_and_headers_are_set() -> None:
    """Guards against lost bodies, spoofed callers and grown timeouts."""

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            said = await mesh.ask(0, '/book/1', 'r1', b'x' * 200_000, 900)
            assert (said.status, len(said.content)) == (200, 200_004)
            head = mesh.hosts[0].server.heads[0]
            assert head[CALLER_SERVICE.lower()] == b'shop'
            assert 0 < int(head[TIMEOUT_MS.lower()]) <= 900
            assert b'bergamotshunt-call' not in head
            assert b'bergamotshunt-result' not in said.by_name

    asyncio.run(walk())


def test_unknown_route_and_missing_id_are_refused() -> None:
    """Guards against requests that run without a route or an id."""

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            assert (await mesh.ask(0, '/nowhere/1', 'r1')).status == 404
            address = mesh.hosts[0].settings.outbound
            assert (
                await send_request(address, b'GET', '/read/1')
            ).status == 400
            assert mesh.runs() == []

    asyncio.run(walk())


def test_unsafe_request_never_runs_twice() -> None:
    """Guards against a repeat of a request whose response was lost."""

    async def walk() -> None:
        async with Mesh([lose_response, lose_response, break_off]) as mesh:
            for number in range(12):
                said = await mesh.ask(0, '/book/1', f'r{number}', b'pay')
                assert said.status == 502
            assert sorted(mesh.runs()) == sorted(
                b'r%d' % number for number in range(12)
            )

    asyncio.run(walk())


@pytest.mark.parametrize('faulty', [respond_error, break_off, lose_response])
def test_safe_request_goes_to_another_server(faulty: Behaviour) -> None:
    """Guards against giving up where another server can answer."""

    async def walk() -> None:
        async with Mesh([faulty, respond_whole]) as mesh:
            # The budget of extra arrivals begins empty with the first use.
            await mesh.ask(0, '/book/1', 'first', b'x')
            await asyncio.sleep(0.5)
            for number in range(10):
                said = await mesh.ask(0, '/read/1', f'r{number}')
                assert (said.status, said.content) == (200, b'i-1:')

    asyncio.run(walk())


def test_refusal_is_true_and_says_when_to_return() -> None:
    """Guards against a promise of 'not run' for a request that ran."""

    async def walk() -> None:
        async with Mesh([refuse, refuse]) as mesh:
            said = await mesh.ask(0, '/book/1', 'r1', b'pay')
            assert said.status == 503
            assert float(said.by_name[b'retry-after']) > 0
            assert mesh.runs() == []

    asyncio.run(walk())


def test_failure_after_a_run_promises_nothing() -> None:
    """Guards against 503 when the first attempt ran and others refused."""

    async def walk() -> None:
        async with Mesh([lose_response, refuse]) as mesh:
            for number in range(8):
                said = await mesh.ask(0, '/read/1', f'r{number}')
                ran = b'r%d' % number in mesh.runs()
                assert said.status == (502 if ran else 503)

    asyncio.run(walk())


def test_leaving_server_gets_no_request() -> None:
    """Guards against new work for a server after its leave was acked."""

    async def walk() -> None:
        async with Mesh([respond_whole, respond_whole]) as mesh:
            assert await mesh.announce(1, state='draining', seq=2) == 200
            mesh.hosts[1].server.runs.clear()
            for number in range(10):
                said = await mesh.ask(0, '/read/1', f'r{number}')
                assert said.content == b'i-0:'
            assert await mesh.announce(1, state='ready', seq=1) == 200
            assert (await mesh.ask(0, '/read/1', 'late')).content == b'i-0:'
            assert mesh.hosts[1].server.runs == []

    asyncio.run(walk())


def test_client_that_leaves_cancels_its_work() -> None:
    """Guards against work for clients that have gone."""

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            server = mesh.hosts[0].server
            server.may_respond.clear()
            asking = asyncio.create_task(mesh.ask(0, '/read/1', 'r1'))
            await mesh.wait_until(lambda: bool(server.runs))
            asking.cancel()
            await mesh.wait_until(lambda: server.cancelled == 1)

    asyncio.run(walk())


def test_route_timeout_forces_an_response() -> None:
    """Guards against a request that is held past the route's timeout."""

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            routes = (READ_ROUTE | {'timeout_ms': 300}, BOOKING_ROUTE)
            await mesh.store.put('op/config', configuration(2, *routes))
            await mesh.wait_until(lambda: mesh.version(0) == 2)
            mesh.hosts[0].server.may_respond.clear()
            said = await mesh.ask(0, '/read/1', 'r1')
            assert said.status == 504

    asyncio.run(walk())


def test_older_configuration_is_never_put_in_force() -> None:
    """Guards against a step back, and against a store that is away."""

    async def walk() -> None:
        async with Mesh([respond_whole, respond_whole]) as mesh:
            await mesh.store.put('op/config', configuration(7, READ_ROUTE))
            await mesh.wait_until(lambda: mesh.version(0) == 7)
            await mesh.store.put(
                'op/config', configuration(3, READ_ROUTE, BOOKING_ROUTE)
            )
            mesh.store.oldest = 10_000
            await mesh.store.put('op/config', configuration(8, READ_ROUTE))
            await mesh.wait_until(lambda: mesh.version(0) == 8)
            mesh.store.away = True
            assert (await mesh.ask(0, '/read/1', 'r1')).status == 200
            assert (await mesh.ask(0, '/book/1', 'r2', b'x')).status == 404

    asyncio.run(walk())


def test_lapsed_entries_return() -> None:
    """Guards against a live server that the store has forgotten."""

    async def walk() -> None:
        async with Mesh([respond_whole, respond_whole]) as mesh:
            await mesh.wait_until(
                lambda: len(mesh.store.contents('bergam')) == 2
            )
            mesh.store.lost_responses = 1
            await mesh.store.end_leases()
            await mesh.wait_until(
                lambda: len(mesh.store.contents('bergam')) == 2
            )
            assert (await mesh.ask(0, '/read/1', 'r1')).status == 200

    asyncio.run(walk())


def test_restarted_daemon_serves_its_running_server_at_once() -> None:
    """Guards against an idle server until its next announcement."""

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            await mesh.wait_until(
                lambda: len(mesh.store.contents('bergam')) == 1
            )
            await mesh.restart(0)
            await mesh.wait_until(lambda: mesh.version(0) == 1)
            await mesh.wait_until(lambda: mesh.is_serving(0))
            assert (await mesh.ask(0, '/read/1', 'r1')).status == 200

    asyncio.run(walk())


def test_restarted_daemon_keeps_out_of_a_leaving_server() -> None:
    """Guards against adoption of a server that is about to leave."""

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            await mesh.wait_until(
                lambda: len(mesh.store.contents('bergam')) == 1
            )
            mesh.hosts[0].server.healthy = False
            await mesh.restart(0)
            await mesh.wait_until(lambda: mesh.version(0) == 1)
            probes = mesh.hosts[0].server.probes
            await mesh.wait_until(
                lambda: mesh.hosts[0].server.probes > probes + 3
            )
            assert not mesh.is_serving(0)
            assert (await mesh.ask(0, '/read/1', 'r1')).status == 503
            assert mesh.runs() == []

    asyncio.run(walk())


def test_call_of_a_running_request_goes_first() -> None:
    """Pattern: overload at a service that running requests wait for.

    Guards against refusal of a call whose parent's work would be lost.
    """

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            server = mesh.hosts[0].server
            assert await mesh.announce(0, slots=2, seq=2) == 200
            server.may_respond.clear()
            parent = asyncio.create_task(mesh.ask(0, '/read/1', 'parent'))
            await mesh.wait_until(lambda: len(server.runs) == 1)
            first = asyncio.create_task(mesh.ask(0, '/read/1', 'other'))
            await mesh.wait_until(lambda: mesh.waiting(0) == 1)
            call_ = asyncio.create_task(mesh.ask(0, '/read/1', 'parent.1'))
            await mesh.wait_until(lambda: mesh.waiting(0) == 2)
            server.may_respond.set()
            said = await asyncio.gather(parent, first, call_)
            assert [one.status for one in said] == [200, 200, 200]
            assert server.runs == [b'parent', b'parent.1', b'other']

    asyncio.run(walk())


def test_running_request_makes_calls_while_its_daemon_stops() -> None:
    """Guards against work that is lost because its calls are refused."""

    async def walk() -> None:
        async with Mesh([respond_whole, respond_whole]) as mesh:
            server = mesh.hosts[0].server
            server.may_respond.clear()
            mesh.hosts[1].server.may_respond.clear()
            assert await mesh.announce(1, state='draining', seq=2) == 200
            parent = asyncio.create_task(mesh.ask(0, '/read/1', 'parent'))
            await mesh.wait_until(lambda: len(server.runs) == 1)
            outbound_of(mesh.hosts[0])._refusing = True
            other = await mesh.ask(0, '/read/1', 'other')
            assert other.status == 503
            call_ = asyncio.create_task(mesh.ask(0, '/read/1', 'parent.1'))
            await mesh.wait_until(lambda: len(server.runs) == 2)
            server.may_respond.set()
            said = await asyncio.gather(parent, call_)
            assert [one.status for one in said] == [200, 200]

    asyncio.run(walk())


def test_learned_slots_outlive_the_process() -> None:
    """Pattern: all daemons restart under load.

    Guards against daemons that learn again at the cost of clients.
    """

    async def walk() -> None:
        async with Mesh([respond_whole]) as mesh:
            mesh.learn_slot_share(0, 0.8)
            await mesh.wait_until(lambda: mesh.stored_slot_share(0) == 0.8)
            await mesh.restart(0)
            await mesh.wait_until(lambda: mesh.slot_share(0) == 0.8)

    asyncio.run(walk())


def test_metrics_and_beliefs_are_shown() -> None:
    """Guards against a daemon whose state cannot be seen."""

    async def walk() -> None:
        async with Mesh([respond_whole, respond_error]) as mesh:
            await mesh.ask(0, '/read/1', 'r1')
            address = mesh.hosts[0].settings.metrics
            text = (
                await send_request(address, b'GET', '/metrics')
            ).content.decode()
            assert 'bergamotshunt_attempts_total' in text
            assert 'bergamotshunt_request_seconds_bucket' in text
            assert 'bergamotshunt_configuration_version 1.0' in text
            status = decode(
                (await send_request(address, b'GET', '/status')).content
            )
            assert status['configuration']['version'] == 1
            assert len(status['servers']) == 2
            assert status['own_server']['instance'] == 'i-0'

    asyncio.run(walk())
