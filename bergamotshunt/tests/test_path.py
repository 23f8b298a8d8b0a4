"""Test of the whole path from a caller to a backend server and back."""

import asyncio

from returns.result import Success

from bergamotshunt.daemon import create_kernel
from bergamotshunt.http.transport import HttpClient, HttpRequest, HttpResponse
from bergamotshunt.http.web import HttpServer
from bergamotshunt.kernel import Mailbox
from bergamotshunt.messages import MembersChanged, TargetsChanged
from bergamotshunt.operators.targets import Change, ServiceTargets, Target
from bergamotshunt.operators.targets_codec import (
    HEAD_KEY,
    encode_change,
    encode_service,
    service_key,
)
from bergamotshunt.peers.headers import REQUEST_ID, VERDICT
from bergamotshunt.peers.members import Member, is_routable
from bergamotshunt.settings import (
    BackendServerSettings,
    DaemonSettings,
    PlatformSettings,
    Settings,
)
from standins.backend import BackendStandIn
from standins.platform import PlatformStandIn, Stored

TARGETS = ServiceTargets(
    'jar-ledger',
    (
        Target('balance', ('GET',), '/balances', idempotent=True),
        Target('refund', ('POST',), '/refunds'),
    ),
    revision=1,
)


def settings_of(
    name: str, platform: int, backend: int, peers: tuple[str, ...] = ()
) -> Settings:
    return Settings(
        daemon=DaemonSettings(id=name, known_peers=peers),
        backend_server=BackendServerSettings(
            'jar-ledger', f'http://127.0.0.1:{backend}'
        ),
        platform=PlatformSettings((f'http://127.0.0.1:{platform}',)),
    )


async def fetch(http_client: HttpClient, port: int, path: str) -> HttpResponse:
    outcome = await http_client.send(
        HttpRequest(
            'GET',
            f'http://127.0.0.1:{port}{path}',
            {REQUEST_ID: 'r1'},
            b'',
            5000,
        ),
    )
    assert isinstance(outcome, Success), outcome
    return outcome.unwrap()


async def run_scenario() -> None:
    platform_stand_in = PlatformStandIn()
    change = Change(1, 'jar-ledger', None, TARGETS, 'ana', 'first', 's1', 0)
    for key, content in (
        (HEAD_KEY, encode_change(change)),
        (service_key('jar-ledger'), encode_service(TARGETS)),
    ):
        platform_stand_in.by_key[f'bergamotshunt/{key}'] = Stored(content, 1, 1)
    platform = HttpServer(platform_stand_in.app, '127.0.0.1', 0)
    await platform.open()
    servers = [
        HttpServer(BackendStandIn(f's{number}'), '127.0.0.1', 0)
        for number in (1, 2)
    ]
    for server in servers:
        await server.open()
    first_daemon = create_kernel(
        settings_of('d1', platform.port, servers[0].port), 1
    )
    await first_daemon.start()
    peer = f'127.0.0.1:{first_daemon.ports_by_kind["peers"]}'
    members: Mailbox = asyncio.Queue()
    first_daemon.context.bus.subscribe(MembersChanged, members)
    targets: Mailbox = asyncio.Queue()
    first_daemon.context.bus.subscribe(TargetsChanged, targets)
    second_daemon = create_kernel(
        settings_of('d2', platform.port, servers[1].port, (peer,)), 2
    )
    await second_daemon.start()
    http_client = HttpClient(10)
    async with asyncio.timeout(20):
        await targets.get()
        members_by_id: dict[str, Member] = {}
        while 'd2' not in members_by_id or not any(
            map(is_routable, members_by_id.values())
        ):
            members_by_id = (await members.get()).message.members_by_id
    port = first_daemon.ports_by_kind['callers']
    response = await fetch(http_client, port, '/jar-ledger/balances/7?x=1')
    assert response.status == 200
    assert response.headers[VERDICT] == 'ran'
    assert response.headers[REQUEST_ID] == 'r1'
    assert response.body.endswith(b'GET /balances/7 0')
    refused = await fetch(http_client, port, '/catalog/packs')
    assert refused.status == 404
    assert refused.headers[VERDICT] == 'not-run'
    await http_client.close()
    for kernel in (second_daemon, first_daemon):
        assert await kernel.drain(5)
        await kernel.stop()
    for server in (*servers, platform):
        await server.close()


def test_call_passes_through_two_daemons() -> None:
    """Guards against parts that pass their own tests but do not work together.

    A call goes from the callers port of a daemon to a backend server beside
    one of two daemons and back, with targets from the platform.
    """
    asyncio.run(run_scenario())
