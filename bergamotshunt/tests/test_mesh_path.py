"""Tests of a request's path through two daemons, with faults on the way."""

import asyncio

import pytest
from msgspec.json import decode

from bergamotshunt.platform.names import CALLER_SERVICE, TIMEOUT_MS
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    configuration,
    outbound_of,
    send_request,
)
from standins.mesh_server import (
    Behaviour,
    abort_mid_response,
    drop_response,
    refuse_unexecuted,
    respond_error,
    respond_with_echo,
)


def test_response_is_whole_and_headers_are_set() -> None:
    """Guards against lost bodies, spoofed callers and increased timeouts.

    The daemons have to forward the whole body, state the calling service and
    the remaining time themselves, and remove the headers between daemons.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            response = await mesh.fetch(0, '/book/1', 'r1', b'x' * 200_000, 900)
            assert (response.status, len(response.content)) == (200, 200_004)
            head = mesh.hosts[0].server.request_heads[0]
            assert head[CALLER_SERVICE.lower()] == b'shop'
            assert 0 < int(head[TIMEOUT_MS.lower()]) <= 900
            assert b'bergamotshunt-call' not in head
            assert b'bergamotshunt-result' not in response.by_name

    asyncio.run(run_scenario())


def test_unknown_route_and_missing_id_are_refused() -> None:
    """Guards against running requests without a route or a request id."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            assert (await mesh.fetch(0, '/nowhere/1', 'r1')).status == 404
            address = mesh.hosts[0].settings.outbound
            assert (
                await send_request(address, b'GET', '/read/1')
            ).status == 400
            assert mesh.runs() == []

    asyncio.run(run_scenario())


def test_unsafe_request_never_runs_twice() -> None:
    """Guards against retrying a booking whose response was lost.

    Each server runs the request and closes the connection before or within
    its response.
    """

    async def run_scenario() -> None:
        async with Mesh(
            [drop_response, drop_response, abort_mid_response]
        ) as mesh:
            for number in range(12):
                response = await mesh.fetch(0, '/book/1', f'r{number}', b'pay')
                assert response.status == 502
            assert sorted(mesh.runs()) == sorted(
                b'r%d' % number for number in range(12)
            )

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    'faulty', [respond_error, abort_mid_response, drop_response]
)
def test_safe_request_is_retried_on_another_server(faulty: Behaviour) -> None:
    """Guards against failing a request that another server can serve.

    One of the two servers responds with an error or closes the connection.
    """

    async def run_scenario() -> None:
        async with Mesh([faulty, respond_with_echo]) as mesh:
            # The budget of extra attempts is empty at its first use.
            await mesh.fetch(0, '/book/1', 'first', b'x')
            await asyncio.sleep(0.5)
            for number in range(10):
                response = await mesh.fetch(0, '/read/1', f'r{number}')
                assert (response.status, response.content) == (200, b'i-1:')

    asyncio.run(run_scenario())


def test_refused_request_did_not_run_and_has_retry_time() -> None:
    """Guards against status 503 for a request that ran, or without Retry-After.

    Both servers report that they did not run the request, so that the client
    may repeat it after that time.
    """

    async def run_scenario() -> None:
        async with Mesh([refuse_unexecuted, refuse_unexecuted]) as mesh:
            response = await mesh.fetch(0, '/book/1', 'r1', b'pay')
            assert response.status == 503
            assert float(response.by_name[b'retry-after']) > 0
            assert mesh.runs() == []

    asyncio.run(run_scenario())


def test_failure_after_a_run_is_no_refusal() -> None:
    """Guards against status 503 for a request that may have run.

    This happens when the first attempt ran and later ones were refused.
    """

    async def run_scenario() -> None:
        async with Mesh([drop_response, refuse_unexecuted]) as mesh:
            for number in range(8):
                response = await mesh.fetch(0, '/read/1', f'r{number}')
                ran = b'r%d' % number in mesh.runs()
                assert response.status == (502 if ran else 503)

    asyncio.run(run_scenario())


def test_leaving_server_gets_no_request() -> None:
    """Guards against new requests for a server that was allowed to leave.

    A late announcement with a lower sequence number must not make it ready.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            assert await mesh.announce(1, state='draining', seq=2) == 200
            mesh.hosts[1].server.runs.clear()
            for number in range(10):
                response = await mesh.fetch(0, '/read/1', f'r{number}')
                assert response.content == b'i-0:'
            assert await mesh.announce(1, state='ready', seq=1) == 200
            assert (await mesh.fetch(0, '/read/1', 'late')).content == b'i-0:'
            assert mesh.hosts[1].server.runs == []

    asyncio.run(run_scenario())


def test_disconnected_client_cancels_its_request() -> None:
    """Guards against servers that keep working for a disconnected client.

    The client disconnects while the server works on its request.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            server.may_respond.clear()
            fetching = asyncio.create_task(mesh.fetch(0, '/read/1', 'r1'))
            await mesh.wait_until(lambda: bool(server.runs))
            fetching.cancel()
            await mesh.wait_until(lambda: server.cancelled == 1)

    asyncio.run(run_scenario())


def test_route_timeout_forces_a_response() -> None:
    """Guards against a request without a response past the route's timeout.

    The server holds its response for longer than the timeout of the route.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            routes = (READ_ROUTE | {'timeout_ms': 300}, BOOKING_ROUTE)
            await mesh.store.put('op/config', configuration(2, *routes))
            await mesh.wait_until(lambda: mesh.version(0) == 2)
            mesh.hosts[0].server.may_respond.clear()
            response = await mesh.fetch(0, '/read/1', 'r1')
            assert response.status == 504

    asyncio.run(run_scenario())


def test_older_configuration_is_never_put_in_force() -> None:
    """Guards against falling back to an older or no configuration.

    The store may offer an older version, compact its history or become
    unreachable; the newest known version has to stay in force.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await mesh.store.put('op/config', configuration(7, READ_ROUTE))
            await mesh.wait_until(lambda: mesh.version(0) == 7)
            await mesh.store.put(
                'op/config', configuration(3, READ_ROUTE, BOOKING_ROUTE)
            )
            mesh.store.compacted_revision = 10_000
            await mesh.store.put('op/config', configuration(8, READ_ROUTE))
            await mesh.wait_until(lambda: mesh.version(0) == 8)
            mesh.store.unavailable = True
            assert (await mesh.fetch(0, '/read/1', 'r1')).status == 200
            assert (await mesh.fetch(0, '/book/1', 'r2', b'x')).status == 404

    asyncio.run(run_scenario())


def test_expired_entries_are_restored() -> None:
    """Guards against a live server that stays missing in the store.

    Its entry is lost when its lease expires while the store loses responses.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await mesh.wait_until(
                lambda: len(mesh.store.read_values('bergam')) == 2
            )
            mesh.store.responses_to_drop = 1
            await mesh.store.expire_leases()
            await mesh.wait_until(
                lambda: len(mesh.store.read_values('bergam')) == 2
            )
            assert (await mesh.fetch(0, '/read/1', 'r1')).status == 200

    asyncio.run(run_scenario())


def test_restarted_daemon_serves_its_running_server_at_once() -> None:
    """Guards against a running server that gets no requests after a restart.

    Without adoption, it would wait for its next announcement.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            await mesh.wait_until(
                lambda: len(mesh.store.read_values('bergam')) == 1
            )
            await mesh.restart(0)
            await mesh.wait_until(lambda: mesh.version(0) == 1)
            await mesh.wait_until(lambda: mesh.is_serving(0))
            assert (await mesh.fetch(0, '/read/1', 'r1')).status == 200

    asyncio.run(run_scenario())


def test_restarted_daemon_does_not_adopt_a_leaving_server() -> None:
    """Guards against the adoption of an unhealthy server after a restart.

    A server that fails its health checks may be about to leave.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            await mesh.wait_until(
                lambda: len(mesh.store.read_values('bergam')) == 1
            )
            mesh.hosts[0].server.healthy = False
            await mesh.restart(0)
            await mesh.wait_until(lambda: mesh.version(0) == 1)
            probes = mesh.hosts[0].server.probes
            await mesh.wait_until(
                lambda: mesh.hosts[0].server.probes > probes + 3
            )
            assert not mesh.is_serving(0)
            assert (await mesh.fetch(0, '/read/1', 'r1')).status == 503
            assert mesh.runs() == []

    asyncio.run(run_scenario())


def test_call_of_a_running_request_goes_first() -> None:
    """Guards against queueing the call of a running request behind others.

    In an overload such a call would be refused, and the work of its parent
    lost.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            assert await mesh.announce(0, slots=2, seq=2) == 200
            server.may_respond.clear()
            parent = asyncio.create_task(mesh.fetch(0, '/read/1', 'parent'))
            await mesh.wait_until(lambda: len(server.runs) == 1)
            queued = asyncio.create_task(mesh.fetch(0, '/read/1', 'other'))
            await mesh.wait_until(lambda: mesh.waiting(0) == 1)
            child = asyncio.create_task(mesh.fetch(0, '/read/1', 'parent.1'))
            await mesh.wait_until(lambda: mesh.waiting(0) == 2)
            server.may_respond.set()
            responses = await asyncio.gather(parent, queued, child)
            assert [response.status for response in responses] == [
                200,
                200,
                200,
            ]
            assert server.runs == [b'parent', b'parent.1', b'other']

    asyncio.run(run_scenario())


def test_running_request_makes_calls_while_its_daemon_stops() -> None:
    """Guards against refusing calls of running requests in a shutdown.

    The work of the running requests would be lost.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            server.may_respond.clear()
            mesh.hosts[1].server.may_respond.clear()
            assert await mesh.announce(1, state='draining', seq=2) == 200
            parent = asyncio.create_task(mesh.fetch(0, '/read/1', 'parent'))
            await mesh.wait_until(lambda: len(server.runs) == 1)
            outbound_of(mesh.hosts[0])._refusing = True
            refused = await mesh.fetch(0, '/read/1', 'other')
            assert refused.status == 503
            child = asyncio.create_task(mesh.fetch(0, '/read/1', 'parent.1'))
            await mesh.wait_until(lambda: len(server.runs) == 2)
            server.may_respond.set()
            responses = await asyncio.gather(parent, child)
            assert [response.status for response in responses] == [200, 200]

    asyncio.run(run_scenario())


def test_slot_share_survives_a_restart() -> None:
    """Guards against losing the estimated slot share in a restart.

    When all daemons restart under load, requests fail while they estimate it
    again.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            mesh.set_slot_share(0, 0.8)
            await mesh.wait_until(lambda: mesh.stored_slot_share(0) == 0.8)
            await mesh.restart(0)
            await mesh.wait_until(lambda: mesh.slot_share(0) == 0.8)

    asyncio.run(run_scenario())


def test_metrics_and_status_show_the_state() -> None:
    """Guards against metrics or a status that lack the state of a task.

    Both are merged from the replies of all tasks.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_error]) as mesh:
            await mesh.fetch(0, '/read/1', 'r1')
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

    asyncio.run(run_scenario())
