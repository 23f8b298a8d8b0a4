"""Tasks of quotas of two daemons, with real sockets and a clock by hand."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from random import Random

import pytest

from bergamotshunt.decisions.quota_grants import Credit
from bergamotshunt.ingress.quota_gate import (
    QuotaDecision,
    QuotaGate,
    QuotaRefusal,
)
from bergamotshunt.kernel import (
    MESH_PLUGINS,
    Context,
    HandlerTable,
    Kernel,
    MessageBus,
)
from bergamotshunt.mesh_messages import (
    ConfigurationConfirmed,
    DescribeMetrics,
    DescribeState,
    Member,
    MembersChanged,
    RoutingChanged,
)
from bergamotshunt.mesh_settings import Address, MeshSettings
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.plugins import mesh as mesh_package
from bergamotshunt.plugins.mesh import quotas as quotas_module
from bergamotshunt.plugins.mesh.quotas import QuotasTask
from bergamotshunt.quota_task_messages import QuotaGranted
from bergamotshunt.routing import ClientAccount, ClientLimits, Routing
from bergamotshunt.settings import DaemonSettings, Settings
from bergamotshunt.task_metrics import Series
from bergamotshunt.tests.mesh import LOOPBACK_PREFIX, WAIT_TIMEOUT_S
from standins.ports import Ports

ZONES = ('zone-1', 'zone-2')
# A limit of 260 in a window: four shards hold 8.25 tokens each.
ACCOUNT = ClientAccount('acme', rate_per_s=50, burst=10)
TOKENS = 4 * 8
UNLIMITED = ClientAccount('basin')


class GateTask(MeshTask):
    """The task that admits requests, reduced to its gate."""

    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        super().__init__(context)
        self.gate = QuotaGate(
            self.bus, context.boot_clock, self.mesh.bounds, self.metrics
        )

    @handlers.on(QuotaGranted)
    def handle_granted(self, message: QuotaGranted) -> None:
        self.gate.handle_granted(message)


def ip_of(number: int) -> str:
    return f'{LOOPBACK_PREFIX}.{number + 11}'


class QuotaHost:
    """The tasks of one daemon that take part in quotas."""

    def __init__(self, number: int, port: int, clock: list[float]) -> None:
        ip = ip_of(number)
        nowhere = Address(ip, 0)
        mesh = MeshSettings(
            daemon_id=f'daemon-{number}',
            ip=ip,
            zone=ZONES[number],
            service='shop',
            server=nowhere,
            outbound=nowhere,
            inbound=nowhere,
            control=nowhere,
            ready=nowhere,
            datagram_port=0,
            metrics=nowhere,
            store=nowhere,
            zones=ZONES,
            quota_port=port,
        )
        daemon = DaemonSettings(
            id=mesh.daemon_id, ip=ip, availability_zone=mesh.zone
        )
        self.member = Member(ip, mesh.zone)
        self.context = Context(
            Settings(daemon=daemon),
            MessageBus(),
            Random(number),
            process_id=1,
            mesh=mesh,
            boot_clock=lambda: clock[0],
        )
        self.kernel = Kernel(
            self.context, ('quotas',), mesh_package, MESH_PLUGINS
        )
        self.gate_task = GateTask(self.context)
        self.gate = self.gate_task.gate
        self.runner: asyncio.Task[None] | None = None

    @property
    def task(self) -> QuotasTask:
        task = self.kernel.tasks_by_name['quotas']
        assert isinstance(task, QuotasTask)
        return task

    async def start(self) -> None:
        await self.kernel.start()
        self.runner = asyncio.create_task(self.gate_task.run())

    async def stop(self) -> None:
        if self.runner is not None:
            self.runner.cancel()
            with suppress(asyncio.CancelledError):
                await self.runner
            self.runner = None
            await self.kernel.stop()

    def put_in_force(self, *accounts: ClientAccount) -> None:
        by_name = {account.name: account for account in accounts}
        routing = Routing(1, {}, {}, ClientLimits(), b'', by_name)
        self.context.bus.publish(RoutingChanged(routing))

    async def wait_until_open(self) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.task._transport is None:
                await asyncio.sleep(0.01)

    async def counters(self) -> dict[Series, int]:
        snapshot = await self.context.bus.ask(DescribeMetrics())
        return snapshot.counters


class QuotaMesh:
    """Two hosts in two zones, whose buckets are full."""

    def __init__(self) -> None:
        self.clock = [1000.0]
        self.ports = Ports(*map(ip_of, range(2)))
        port = self.ports.reserve()
        self.hosts = [
            QuotaHost(number, port, self.clock) for number in range(2)
        ]

    def confirm(self) -> None:
        for host in self.hosts:
            host.context.bus.publish(ConfigurationConfirmed(1, self.clock[0]))

    def fill_buckets(self) -> None:
        self.clock[0] += 10
        self.confirm()


@asynccontextmanager
async def quota_mesh(*accounts: ClientAccount) -> AsyncIterator[QuotaMesh]:
    mesh = QuotaMesh()
    members = frozenset(host.member for host in mesh.hosts)
    for host in mesh.hosts:
        await host.start()
    try:
        for host in mesh.hosts:
            host.put_in_force(*accounts)
            host.context.bus.publish(MembersChanged(members, True))
            if any(account.rate_per_s for account in accounts):
                await host.wait_until_open()
        mesh.fill_buckets()
        yield mesh
    finally:
        for host in mesh.hosts:
            await host.stop()
        mesh.ports.close()


async def acquire_all(host: QuotaHost, count: int) -> list[QuotaDecision]:
    return [await host.gate.acquire(ACCOUNT) for _ in range(count)]


def refund_all(host: QuotaHost, admissions: list[QuotaDecision]) -> None:
    for admission in admissions:
        assert isinstance(admission, Credit)
        host.gate.refund(admission)


def test_account_over_its_limit_is_refused() -> None:
    """Guards against limits that each daemon applies for itself.

    The tokens of both owners can be spent at either daemon, and at both
    together no more than these.
    """

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT, UNLIMITED) as mesh:
            first, second = mesh.hosts
            admissions = await acquire_all(first, TOKENS - 5)
            admissions += await acquire_all(second, 5)
            assert all(isinstance(one, Credit) for one in admissions)
            for host in mesh.hosts:
                refusal = await host.gate.acquire(ACCOUNT)
                assert isinstance(refusal, QuotaRefusal)
                assert refusal.is_over_quota
                # A shard has 0.25 tokens and gets 12.5 per second.
                assert 0 < refusal.retry_after_ms <= 1000
                assert await host.gate.acquire(UNLIMITED) is None
            counters = await first.counters()
            granted = Series('quota_grants', (('outcome', 'granted'),))
            assert counters[granted] > 0

    asyncio.run(run_scenario())


def test_requests_at_the_same_time_share_one_ask() -> None:
    """Guards against a datagram for each of many waiting requests.

    Those that are refused together get different times to return.
    """

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            host = mesh.hosts[0]
            admissions = await asyncio.gather(
                *(host.gate.acquire(ACCOUNT) for _ in range(TOKENS + 6))
            )
            refused = [
                one for one in admissions if isinstance(one, QuotaRefusal)
            ]
            assert len(refused) == 6
            assert len({one.retry_after_ms for one in refused}) == 6
            counters = await host.counters()
            assert counters[Series('quota_datagrams_sent')] <= 6

    asyncio.run(run_scenario())


def test_killed_owner_costs_its_shards_only() -> None:
    """Guards against an account that depends on one daemon."""

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            first, second = mesh.hosts
            await second.stop()
            admissions = await acquire_all(first, TOKENS // 2)
            assert all(isinstance(one, Credit) for one in admissions)
            refusal = await first.gate.acquire(ACCOUNT)
            assert isinstance(refusal, QuotaRefusal)
            assert refusal.is_over_quota

    asyncio.run(run_scenario())


def test_daemon_without_contact_refuses() -> None:
    """Guards against owners that grant tokens after they lost contact.

    The reserve of 12 requests is divided between both daemons.
    """

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            mesh.clock[0] += 3
            admissions = await acquire_all(mesh.hosts[0], 7)
            *admitted, refusal = admissions
            for credit in admitted:
                assert isinstance(credit, Credit)
                assert credit.request is None
            assert isinstance(refusal, QuotaRefusal)
            assert not refusal.is_over_quota

    asyncio.run(run_scenario())


def test_token_comes_back_when_its_request_did_not_run() -> None:
    """Guards against refused requests that use up the quota.

    The tokens return to the gate, or to their owners once they have expired.
    """

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            host = mesh.hosts[0]
            admissions = await acquire_all(host, TOKENS)
            refund_all(host, admissions[:1])
            assert isinstance(await host.gate.acquire(ACCOUNT), Credit)
            mesh.clock[0] += 0.25
            # Each of the four shards has got three tokens since.
            admissions = await acquire_all(host, 12)
            refusal = await host.gate.acquire(ACCOUNT)
            assert isinstance(refusal, QuotaRefusal)
            mesh.clock[0] += 0.25
            refund_all(host, admissions)
            admissions = await acquire_all(host, 12 + 12)
            assert all(isinstance(one, Credit) for one in admissions)

    asyncio.run(run_scenario())


def test_cancelled_request_keeps_no_token() -> None:
    """Guards against tokens that are lost with a client's connection."""

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            host = mesh.hosts[0]
            waiting = asyncio.create_task(host.gate.acquire(ACCOUNT))
            await asyncio.sleep(0)
            waiting.cancel()
            with suppress(asyncio.CancelledError):
                await waiting
            admissions = await acquire_all(host, TOKENS)
            assert all(isinstance(one, Credit) for one in admissions)

    asyncio.run(run_scenario())


def test_gate_refuses_in_time_without_an_answer() -> None:
    """Guards against requests that wait for a task that has failed."""

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            host = mesh.hosts[0]
            await host.stop()
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                refusal = await host.gate.acquire(ACCOUNT)
            assert isinstance(refusal, QuotaRefusal)
            assert not refusal.is_over_quota

    asyncio.run(run_scenario())


def test_nothing_is_opened_without_a_quota() -> None:
    """Guards against a socket on deployments without quotas."""

    async def run_scenario() -> None:
        async with quota_mesh(UNLIMITED) as mesh:
            host = mesh.hosts[0]
            state = await host.context.bus.ask(DescribeState())
            assert state == {}
            assert host.task._transport is None

    asyncio.run(run_scenario())


def test_state_names_the_owners() -> None:
    """Guards against a status that does not tell who has a quota."""

    async def run_scenario() -> None:
        async with quota_mesh(ACCOUNT) as mesh:
            host = mesh.hosts[0]
            await host.gate.acquire(ACCOUNT)
            state = await host.context.bus.ask(DescribeState())
            owners = state['quotas']['owners'][ACCOUNT.name]
            ips = {one.member.zone: one.member.ip for one in mesh.hosts}
            assert owners == {
                'zone-1/0': ips['zone-1'],
                'zone-1/1': ips['zone-1'],
                'zone-2/0': ips['zone-2'],
                'zone-2/1': ips['zone-2'],
            }
            owned = state['quotas']['owned'][ACCOUNT.name]
            (shard,) = owned
            assert owned[shard]['tokens'] == pytest.approx(7.2, abs=0.1)

    asyncio.run(run_scenario())


def test_failed_bind_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a daemon whose quotas never work after a busy port."""
    monkeypatch.setattr(quotas_module, 'BIND_RETRY_S', 0.01)

    async def run_scenario() -> None:
        mesh = QuotaMesh()
        host = mesh.hosts[0]
        blocker, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol,
            (host.member.ip, host.task.mesh.quota_port),
        )
        await host.start()
        host.put_in_force(ACCOUNT)
        failures = Series('quota_bind_failures')
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while failures not in await host.counters():
                await asyncio.sleep(0.01)
        blocker.close()
        await host.wait_until_open()
        await host.stop()

    asyncio.run(run_scenario())
