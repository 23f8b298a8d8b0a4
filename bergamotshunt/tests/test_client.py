"""Tests the client library against a real guard, directory and ingress."""

import asyncio
from collections.abc import Coroutine
from random import Random

from returns.result import Failure, Success
from uuid6 import uuid7

from bergamotshunt.client import Client, ClientCall, read_body
from bergamotshunt.http.web import HttpServer
from bergamotshunt.kernel import Context, Kernel, MessageBus
from bergamotshunt.messages import (
    ConfirmationChanged,
    HealthObserved,
    MembersChanged,
    TargetsChanged,
)
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.settings import (
    BackendServerSettings,
    DaemonSettings,
    Settings,
)
from bergamotshunt.tests.peers import SERVICE, TARGETS, Peer, reply
from bergamotshunt.verdicts import Verdict
from standins.backend import BackendStandIn

PLUGINS = ('guard', 'directory', 'entry')
BALANCE = ClientCall('GET', SERVICE, '/balances/7')
REFUND = ClientCall('POST', SERVICE, '/refunds', body=b'{"jars": 2}')


def run(scenario: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 30))


class DaemonHarness:
    """A daemon without gossip and platform, and its backend server."""

    async def __aenter__(self) -> 'DaemonHarness':
        self.stand_in = BackendStandIn('s1')
        self.backend = HttpServer(self.stand_in, '127.0.0.1', 0)
        await self.backend.open()
        settings = Settings(
            daemon=DaemonSettings(id='d1'),
            backend_server=BackendServerSettings(
                SERVICE, f'http://127.0.0.1:{self.backend.port}'
            ),
        )
        self.kernel = Kernel(
            Context(settings, MessageBus(), Random(1), 5), PLUGINS
        )
        await self.kernel.start()
        self.publish = self.kernel.context.bus.publish
        self.peers_port = self.kernel.ports_by_kind['peers']
        self.callers = f'127.0.0.1:{self.kernel.ports_by_kind["callers"]}'
        self.publish(TargetsChanged(TARGETS))
        self.publish(HealthObserved(True))
        self.member = Member(
            'd1',
            1,
            '127.0.0.1',
            self.peers_port,
            1,
            'r',
            'z',
            SERVICE,
            ServerState.SERVING,
            process_id=5,
        )
        self.publish(MembersChanged({'d1': self.member}))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.kernel.stop()
        await self.backend.close()

    def client(self, **options: object) -> Client:
        peers = ('127.0.0.1:1', f'127.0.0.1:{self.peers_port}')
        return Client(peers, seed=1, **options)  # type: ignore[arg-type]


def test_direct_calls_run_a_booking_once() -> None:
    """Guards against direct calls that fail or run a repeated booking twice.

    The repeat carries the booking key of the first call, so the guard has to
    replay the stored response instead of calling the backend server again.
    """

    async def scenario() -> None:
        async with DaemonHarness() as harness, harness.client() as client:
            response = (await client.call(BALANCE)).unwrap()
            assert response.status == 200
            assert b'/balances/7' in await read_body(response)
            booked = (await client.call(REFUND)).unwrap()
            assert booked.status < 300
            (key,) = harness.stand_in.executions_by_key
            repeated = await client.call(REFUND._replace(booking_key=key))
            assert (b'bergamotshunt-replayed', b'true') in (
                repeated.unwrap().headers
            )
            assert repeated.unwrap().body == booked.body
            assert harness.stand_in.executions_by_key[key] == 1

    run(scenario())


def test_client_applies_changes_of_servers_and_targets() -> None:
    """Guards against a client that keeps its first copy of the directory.

    It would go on to call a server that is down, and a service whose targets
    were removed.
    """

    async def scenario() -> None:
        second_server = await Peer('d2', reply(b'from d2')).open()
        async with DaemonHarness() as harness, harness.client() as client:
            assert isinstance(await client.call(BALANCE), Success)
            down = harness.member._replace(server_state=ServerState.DOWN)
            harness.publish(
                MembersChanged({'d1': down, 'd2': second_server.member()})
            )
            body = b''
            while body != b'from d2':
                body = (await client.call(BALANCE)).unwrap().body
            harness.publish(TargetsChanged(TargetSet(2, {})))
            outcome = await client.call(BALANCE)
            while isinstance(outcome, Success):
                outcome = await client.call(BALANCE)
            assert outcome.failure().reason == 'unknown-service'
        await second_server.close()

    run(scenario())


def test_client_falls_back_to_a_callers_port() -> None:
    """Guards against calls that fail although a callers port is reachable.

    The client cannot call directly when no peers port responds, or when the
    booking key is not a ticket.
    """

    async def scenario() -> None:
        async with DaemonHarness() as harness:
            client_without_peers = Client(
                ('127.0.0.1:1',), (harness.callers,), seed=1
            )
            async with client_without_peers as client:
                call = BALANCE._replace(deadline_ms=1000)
                assert isinstance(await client.call(call), Success)
            # Only a daemon can claim a key that is not a ticket. This daemon
            # runs no claims task and refuses the call, which shows that the
            # call went to its callers port.
            async with harness.client(callers=(harness.callers,)) as client:
                assert isinstance(await client.call(BALANCE), Success)
                claimed_call = REFUND._replace(booking_key=str(uuid7()))
                outcome = await client.call(claimed_call)
                assert isinstance(outcome, Failure)
                assert outcome.failure().reason == 'bookings-unavailable'
                assert outcome.failure().verdict is Verdict.NOT_RUN

    run(scenario())


def test_client_does_not_call_by_unconfirmed_targets() -> None:
    """Guards against direct calls with targets that are not confirmed.

    The client learns only from the directory that the daemon must not serve;
    without a callers port, its call then has to fail.
    """

    async def scenario() -> None:
        async with DaemonHarness() as harness, harness.client() as client:
            assert isinstance(await client.call(BALANCE), Success)
            harness.publish(ConfirmationChanged(False, 'cut off'))
            outcome = await client.call(BALANCE)
            while outcome.failure().reason != 'no-callers-port':
                outcome = await client.call(BALANCE)
                assert isinstance(outcome, Failure)
            assert 'cut off' in outcome.failure().detail

    run(scenario())


def test_client_creates_a_new_ticket_when_the_owner_is_unreachable() -> None:
    """Guards against a booking that fails because one server is down.

    A ticket binds the booking to one server. Its daemon accepts no connection,
    so nothing ran and another server can get the booking with a new ticket.
    """

    async def scenario() -> None:
        stopped_owner = await Peer('d0').open()
        await stopped_owner.close()
        async with DaemonHarness() as harness, harness.client() as client:
            members = {'d0': stopped_owner.member(), 'd1': harness.member}
            harness.publish(MembersChanged(members))
            for _ in range(6):
                outcome = await client.call(REFUND)
                assert isinstance(outcome, Success), outcome
            assert set(harness.stand_in.executions_by_key.values()) == {1}

    run(scenario())


def test_client_follows_the_directory_past_an_odd_reply() -> None:
    """Guards against a client that never learns of changes again.

    The first reply is nested too deeply to be decoded.
    """

    async def scenario() -> None:
        odd = b'{"x": ' + b'[' * 100_000
        odd_daemon = await Peer('d0', reply(odd)).open()
        async with DaemonHarness() as harness:
            peers = (
                f'127.0.0.1:{odd_daemon.port}',
                f'127.0.0.1:{harness.peers_port}',
            )
            async with Client(peers, seed=1) as client:
                watcher = client.directory_watcher
                await watcher.get(SERVICE, 20_000)
                await odd_daemon.got_request.wait()
                outcome = await client.call(BALANCE)
                while not isinstance(outcome, Success):
                    outcome = await client.call(BALANCE)
                assert not any(poll.done() for poll in watcher._polls)
        await odd_daemon.close()

    run(scenario())
