"""A mesh of daemons in one process, with stand-ins of store and servers."""

import asyncio
import os
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, NamedTuple

from msgspec.json import decode, encode

from bergamotshunt.decisions.leaving_records import RETENTION_S
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.http.heads import Header, encode_request_head
from bergamotshunt.http.server_connection import ServerConnection
from bergamotshunt.kernel import Envelope, Kernel
from bergamotshunt.mesh_daemon import create_mesh_kernel
from bergamotshunt.mesh_settings import Address, Bounds, MeshSettings
from bergamotshunt.platform.announcements import decode_entry, entry_key
from bergamotshunt.platform.names import REQUEST_ID, TIMEOUT_MS
from bergamotshunt.plugins.mesh.fleet import FleetTask
from bergamotshunt.plugins.mesh.inbound import InboundTask
from bergamotshunt.plugins.mesh.outbound import OutboundTask
from bergamotshunt.plugins.mesh.routes import RoutesTask
from bergamotshunt.plugins.mesh.witnesses import WitnessesTask
from standins.mesh_server import Behaviour, MeshServer
from standins.mesh_store import MeshStore
from standins.ports import Ports

WAIT_TIMEOUT_S = 20.0
# Loopback addresses derived from the process id, so that tests that run at
# once do not share them.
LOOPBACK_PREFIX = f'127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
HOST = b'shop.example'
BOUNDS = Bounds(retry_ratio=0.2, retry_slack=400, retry_window_s=0.5)


class ClientResponse(NamedTuple):
    """A response as a client receives it."""

    status: int
    by_name: dict[bytes, bytes]
    content: bytes


class Host(NamedTuple):
    """A host: its daemon and its backend server."""

    settings: MeshSettings
    kernel: Kernel
    server: MeshServer


def configuration(version: int, *routes: dict[str, Any]) -> str:
    entries = [
        {
            'entry_kind': 'routes',
            'metadata': {'name': f'route-{index}'},
            'spec': {
                'host': 'shop.example',
                'timeout_ms': 3000,
                'latency_goal_ms': 2000,
                'priority': 1,
                'attempts': 2,
            }
            | route,
        }
        for index, route in enumerate(routes)
    ]
    entries.append(
        {
            'entry_kind': 'services',
            'metadata': {'name': 'shop'},
            'spec': {'health_path': '/healthz', 'max_conns': 100},
        }
    )
    document = {'version': version, 'resources': entries}
    return b64encode(encode(document)).decode()


def with_accounts(document: str, *keys: str, **limits: int) -> str:
    """Add a client account with these API keys to a configuration.

    The limits are fields of the account, as the platform names them.
    """
    content = decode(b64decode(document))
    content['resources'].append(
        {
            'entry_kind': 'tenants',
            'metadata': {'name': 'account-1'},
            'spec': {'api_keys': list(keys), 'priority': 1, **limits},
        }
    )
    return b64encode(encode(content)).decode()


READ_ROUTE = {'prefix': '/read/', 'kind': 'safe', 'service': 'shop'}
BOOKING_ROUTE = {'prefix': '/book/', 'kind': 'unsafe', 'service': 'shop'}


def outbound_of(host: Host) -> OutboundTask:
    task = host.kernel.tasks_by_name['outbound']
    assert isinstance(task, OutboundTask)
    return task


def permits_extra_attempt(host: Host, service: str = 'shop') -> bool:
    """Return whether the budget of a daemon permits an extra attempt."""
    dispatcher = outbound_of(host)._proxy._dispatcher
    return dispatcher._budget(service).allows(
        asyncio.get_running_loop().time(), dispatcher._count_daemons()
    )


class Mesh:
    """Daemons on loopback addresses, their servers and their store."""

    def __init__(
        self,
        behaviours: list[Behaviour],
        bounds: Bounds = BOUNDS,
        zones: tuple[str, ...] = (),
    ) -> None:
        self.store = MeshStore()
        self._bounds = bounds
        self.hosts: list[Host] = []
        self._behaviours = behaviours
        self._zones = zones or ('zone-1',) * len(behaviours)
        self._ips = [
            f'{LOOPBACK_PREFIX}.{number + 11}'
            for number in range(len(behaviours))
        ]
        self._peer_ports = Ports(*self._ips)
        self._ports_by_ip = {ip: Ports(ip) for ip in self._ips}

    async def __aenter__(self) -> 'Mesh':
        await self.store.open()
        await self.store.put(
            'op/config', configuration(1, READ_ROUTE, BOOKING_ROUTE)
        )
        # Daemons expect the same ports for their peers on all hosts.
        peer_ports = self._peer_ports.reserve(), self._peer_ports.reserve()
        for number, behaviour in enumerate(self._behaviours):
            await self._add(number, behaviour, peer_ports)
        for number in range(len(self.hosts)):
            assert await self.announce(number) == 200
        await self.wait_until(
            lambda: all(map(self._is_initialized, self.hosts))
        )
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for host in self.hosts:
            await host.kernel.stop()
            await host.server.close()
        await self.store.close()
        for ports in (self._peer_ports, *self._ports_by_ip.values()):
            ports.close()

    async def _add(
        self, number: int, behaviour: Behaviour, peer_ports: tuple[int, int]
    ) -> None:
        ip = self._ips[number]
        server = MeshServer(f'i-{number}', behaviour)
        await server.open(ip)
        datagram_port, inbound = peer_ports
        ports = self._ports_by_ip[ip]
        settings = MeshSettings(
            daemon_id=f'daemon-{number}',
            ip=ip,
            zone=self._zones[number],
            service='shop',
            server=Address(ip, server.port),
            outbound=Address(ip, ports.reserve()),
            inbound=Address(ip, inbound),
            control=Address(ip, ports.reserve()),
            ready=Address(ip, ports.reserve()),
            datagram_port=datagram_port,
            metrics=Address(ip, ports.reserve()),
            store=Address('127.0.0.1', self.store.port),
            bounds=self._bounds,
        )
        kernel = create_mesh_kernel(settings, seed=number)
        witnesses = kernel.tasks_by_name['witnesses']
        assert isinstance(witnesses, WitnessesTask)
        # The fleet has run for longer than records of leaving servers last.
        witnesses._started_s -= RETENTION_S
        await kernel.start()
        self.hosts.append(Host(settings, kernel, server))

    def _is_initialized(self, host: Host) -> bool:
        task = outbound_of(host)
        known = len(task._records.by_instance)
        return known == len(self.hosts) and task._routing is not None

    def version(self, number: int) -> int:
        routing = outbound_of(self.hosts[number])._routing
        return routing.version if routing else 0

    def routes(self, number: int) -> RoutesTask:
        task = self.hosts[number].kernel.tasks_by_name['routes']
        assert isinstance(task, RoutesTask)
        return task

    def fleet(self, number: int) -> FleetTask:
        task = self.hosts[number].kernel.tasks_by_name['fleet']
        assert isinstance(task, FleetTask)
        return task

    def stored_servers(self, number: int) -> int:
        """Return how many servers a daemon knows to be in the store."""
        task = self.hosts[number].kernel.tasks_by_name['fleet']
        assert isinstance(task, FleetTask)
        return task._entries.count_stored()

    def abandoned_watches(self) -> int:
        """Return how many watches of entries were asked again."""
        tasks = [host.kernel.tasks_by_name['fleet'] for host in self.hosts]
        return sum(
            task._watch.abandoned
            for task in tasks
            if isinstance(task, FleetTask)
        )

    def is_serving(self, number: int) -> bool:
        return self._inbound(number)._server.load().serving

    def slot_share(self, number: int) -> float:
        return self._inbound(number)._server.slot_share

    def stored_slot_share(self, number: int) -> float:
        ip = self.hosts[number].settings.ip
        contents = self.store.read_values(entry_key(ip))
        return sum(
            decode_entry(content).slot_share for content in contents.values()
        )

    def set_slot_share(self, number: int, share: float) -> None:
        inbound = self._inbound(number)
        inbound._server._slot_limit_estimator.restore_share(
            share, inbound.now_ms()
        )
        inbound._publish_load()

    def inbound_connections(self, number: int) -> set[ServerConnection]:
        return self._inbound(number)._listener.connections

    def refuse_clients(self, number: int) -> None:
        """Let a daemon refuse new requests, as at the end of its drain."""
        outbound_of(self.hosts[number])._refusing = True

    def waiting(self, number: int) -> int:
        return self._inbound(number)._server.load().waiting

    def _inbound(self, number: int) -> InboundTask:
        task = self.hosts[number].kernel.tasks_by_name['inbound']
        assert isinstance(task, InboundTask)
        return task

    async def restart(self, number: int) -> None:
        """Stop a daemon without draining it, and start it again."""
        host = self.hosts[number]
        await host.kernel.stop()
        kernel = create_mesh_kernel(host.settings, seed=number)
        await kernel.start()
        self.hosts[number] = host._replace(kernel=kernel)

    async def start_again(
        self, number: int, *message_types: type
    ) -> 'asyncio.Queue[Envelope]':
        """Start a daemon that was stopped; return its messages of a type."""
        host = self.hosts[number]
        kernel = create_mesh_kernel(host.settings, seed=number)
        messages: asyncio.Queue[Envelope] = asyncio.Queue()
        for message_type in message_types:
            kernel.context.bus.subscribe(message_type, messages)
        await kernel.start()
        self.hosts[number] = host._replace(kernel=kernel)
        return messages

    def feed_requests(self) -> float:
        """Return how often daemons have asked each other for changes."""
        return sum(
            number
            for host in range(len(self.hosts))
            for (name, _), number in self.fleet(host)
            .metrics.snapshot()
            .counters.items()
            if name == 'feed_requests'
        )

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def announce(self, number: int, **changes: Any) -> int:
        host = self.hosts[number]
        body = host.server.announcement('shop', host.settings.zone, **changes)
        path = f'/-/instances/{host.server.instance}'
        response = await send_request(host.settings.control, b'PUT', path, body)
        return response.status

    async def fetch(
        self,
        number: int,
        path: str,
        request_id: str,
        body: bytes = b'',
        timeout_ms: int = 3000,
    ) -> ClientResponse:
        """Send a client's request to the daemon of a host."""
        return await send_request(
            self.hosts[number].settings.outbound,
            b'POST' if body else b'GET',
            path,
            body,
            [
                (REQUEST_ID, request_id.encode()),
                (TIMEOUT_MS, b'%d' % timeout_ms),
            ],
        )

    def runs(self) -> list[bytes]:
        return [run for host in self.hosts for run in host.server.runs]


async def send_request(
    address: Address,
    method: bytes,
    path: str,
    body: bytes = b'',
    headers: list[Header] | None = None,
) -> ClientResponse:
    # The event loop that makes the connection also runs all daemons.
    pool = ClientPool(address.ip, address.port, WAIT_TIMEOUT_S)
    head = encode_request_head(
        method, path.encode(), [(b'Host', HOST), *(headers or [])], len(body)
    )
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            response = await pool.fetch(head + body, 1 << 24)
    finally:
        pool.close()
    return ClientResponse(
        response.head.status, response.head.by_name, response.content
    )
