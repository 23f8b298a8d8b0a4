"""A complete fleet in one process, which needs no set-up.

It consists of the platform stand-in and two services: ``jar-ledger`` with 6
backend servers and ``catalog`` with 3, in 3 availability zones. Each server
has its own daemon.
"""

from asyncio import gather
from typing import Final, NamedTuple, Self

from returns.pipeline import is_successful

from bergamotshunt.daemon import create_kernel
from bergamotshunt.http.web import HttpServer
from bergamotshunt.kernel import Kernel
from bergamotshunt.message_listener import MessageListener
from bergamotshunt.messages import (
    MembersChanged,
    SubmitChange,
    TargetsChanged,
)
from bergamotshunt.operators.targets import ServiceTargets, Target
from bergamotshunt.peers.members import is_routable
from bergamotshunt.settings import (
    BackendServerSettings,
    DaemonSettings,
    PlatformSettings,
    Settings,
)
from standins.backend import BackendStandIn
from standins.platform import PlatformStandIn

IP: Final = '127.0.0.1'
ZONES: Final = ('lima-a', 'lima-b', 'lima-c')
READY_TIMEOUT_S: Final = 30
DRAIN_TIMEOUT_S: Final = 10
SERVER_COUNTS: Final = (('jar-ledger', 6), ('catalog', 3))
OPERATOR: Final = 'local'
OPERATOR_TOKEN: Final = 'local-operator-token'

SERVICE_TARGETS: Final = (
    ServiceTargets(
        'jar-ledger',
        (
            Target(
                'balance',
                ('GET', 'HEAD'),
                '/balances',
                idempotent=True,
                answered_within_ms=200,
            ),
            Target(
                'refund',
                ('POST',),
                '/refunds',
                answered_within_ms=2000,
                weight=3,
            ),
        ),
    ),
    ServiceTargets(
        'catalog',
        (
            Target(
                'pack',
                ('GET',),
                '/packs',
                idempotent=True,
                answered_within_ms=5000,
            ),
            Target(
                'spec',
                ('GET',),
                '/specs',
                idempotent=True,
                answered_within_ms=100,
                internal=True,
            ),
        ),
    ),
)


class LocalServer(NamedTuple):
    """A backend server stand-in with its daemon.

    Attributes:
        backend: Application of the backend server.
        http: Server that exposes the application.
        kernel: Kernel of the daemon.
        member_changes: Receives changes of the daemon's member table.
        target_changes: Receives changes of the targets in force.
    """

    backend: BackendStandIn
    http: HttpServer
    kernel: Kernel
    member_changes: MessageListener
    target_changes: MessageListener


class LocalFleet:
    """The platform stand-in, the backend servers and their daemons."""

    def __init__(self, seed: int) -> None:
        """Create the fleet without starting it.

        Args:
            seed: Seed of the daemons and of the mix of calls.
        """
        self.seed = seed
        self.platform = PlatformStandIn()
        self.platform_http = HttpServer(self.platform.app, IP, 0)
        self.servers: list[LocalServer] = []

    async def __aenter__(self) -> Self:
        """Start all servers and daemons and wait until they are ready.

        Raises:
            RuntimeError: A daemon rejected the targets.
            TimeoutError: A daemon was not ready within ``READY_TIMEOUT_S``.
        """
        await self.platform_http.open()
        for service, count in SERVER_COUNTS:
            for index in range(count):
                await self.add_server(service, index)
        await self.submit_targets()
        for server in self.servers:
            await server.member_changes.wait_for(
                self.are_all_servers_routable, READY_TIMEOUT_S
            )
            await server.target_changes.wait_for(
                has_all_targets, READY_TIMEOUT_S
            )
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Drain and stop the daemons, then the stand-ins."""
        await gather(*(stop_daemon(server.kernel) for server in self.servers))
        for server in self.servers:
            await server.http.close()
        await self.platform_http.close()

    async def add_server(self, service: str, index: int) -> None:
        """Start one backend server and its daemon.

        Args:
            service: Service of the server.
            index: Index of the server within its service.
        """
        backend = BackendStandIn(f'{service}-{index + 1}')
        http = HttpServer(backend, IP, 0)
        await http.open()
        settings = self.create_settings(service, index, http.port)
        kernel = create_kernel(settings, self.seed + len(self.servers))
        bus = kernel.context.bus
        server = LocalServer(
            backend,
            http,
            kernel,
            MessageListener(bus, MembersChanged),
            MessageListener(bus, TargetsChanged),
        )
        await kernel.start()
        self.servers.append(server)

    async def submit_targets(self) -> None:
        """Submit the targets in the same way as an operator.

        Raises:
            RuntimeError: The daemon rejected them.
        """
        kernel = self.servers[0].kernel
        bus = kernel.context.bus
        for targets in SERVICE_TARGETS:
            outcome = await bus.ask(
                SubmitChange(
                    service=targets.service,
                    after=targets,
                    expected_revision=0,
                    operator=OPERATOR,
                    reason='first targets',
                    submission_id=f'local-{targets.service}',
                ),
            )
            if not is_successful(outcome):
                raise RuntimeError(
                    f'targets of {targets.service} were rejected: {outcome}',
                )

    def are_all_servers_routable(self, message: MembersChanged) -> bool:
        """Return whether all backend servers can receive requests."""
        members = message.members_by_id.values()
        return sum(map(is_routable, members)) == len(self.servers)

    def create_settings(self, service: str, index: int, port: int) -> Settings:
        """Create the settings of one daemon.

        Args:
            service: Service of the backend server.
            index: Index of the server within its service.
            port: Port of the backend server.
        """
        peers: tuple[str, ...] = ()
        if self.servers:
            ports = self.servers[0].kernel.ports_by_kind
            peers = (f'{IP}:{ports["peers"]}',)
        return Settings(
            daemon=DaemonSettings(
                id=f'{service}-{index + 1}',
                ip=IP,
                region='lima',
                availability_zone=ZONES[index % len(ZONES)],
                known_peers=peers,
            ),
            backend_server=BackendServerSettings(
                service, f'http://{IP}:{port}'
            ),
            platform=PlatformSettings(
                (f'http://{IP}:{self.platform_http.port}',)
            ),
            operators={OPERATOR: OPERATOR_TOKEN},
        )


def has_all_targets(message: TargetsChanged) -> bool:
    """Return whether the targets of all services are in force."""
    return len(message.target_set.by_service) == len(SERVICE_TARGETS)


async def stop_daemon(kernel: Kernel) -> None:
    """Drain a daemon for at most ``DRAIN_TIMEOUT_S`` and stop it."""
    await kernel.drain(DRAIN_TIMEOUT_S)
    await kernel.stop()
