"""A host of a soak: a daemon process, a backend server and links."""

from asyncio import Lock, open_connection, sleep, timeout
from pathlib import Path
from random import Random
from time import monotonic, time
from typing import Final, NamedTuple

from bench.mesh_process import DaemonProcess
from bench.mesh_records import DRAIN_MS, GRACE_S, History, Leaving
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.mesh_settings import Address
from bergamotshunt.platform.announcements import ANNOUNCEMENT_PATH_PREFIX
from bergamotshunt.platform.names import REQUEST_ID
from bergamotshunt.tests.mesh import HOST, LOOPBACK_PREFIX
from standins.mesh_backend import MeshBackend
from standins.mesh_link import MeshLink

FIRST_HOST: Final = 11
# The daemon's inbound port is bound at another address than the announced
# one, and a link leads from the announced address to it.
FIRST_BOUND_HOST: Final = 111
CALL_TIMEOUT_S: Final = 1.0
HEARTBEAT_S: Final = 0.5
MS_PER_S: Final = 1000
SETTINGS_TEMPLATE: Final = """node_name={name}
ip={ip}
zone=zone-{zone}
service=shop
listen.inbound={bound}:{ports[inbound]}
listen.outbound={ip}:{ports[outbound]}
listen.ready={ip}:{ports[ready]}
listen.control={ip}:{ports[control]}
port_range={ports[datagrams]},{last_port}
app_addr={ip}:{ports[server]}
platform.address={ip}:{ports[store]}
platform.min_ttl_ms=1000
bounds=drain_ms={drain_ms},grace_s={grace_s},retry_budget_ratio=0.2,budget_window_s=10,budget_slack=56
"""


class Site(NamedTuple):
    """What the hosts of a soak share.

    Attributes:
        seed: Seed of the stand-ins.
        folder: Directory for settings files and logs.
        history: Receives the observations.
        ports: Ports by name, the same on all hosts.
        store: Address of the store.
    """

    seed: int
    folder: Path
    history: History
    ports: dict[str, int]
    store: Address


class MeshHost:
    """A host: its daemon, its backend server and its links.

    Attributes:
        name: Name of the host and of its daemon.
        outbound: Address for clients.
        control: Address for announcements.
        daemon: The daemon.
        backend: The backend server.
        peer_link: Link from other daemons to this one.
        store_link: Link from the daemon to the store.
        server_lock: Held while the server is replaced or crashed.
        announcing: Whether the server sends heartbeats.
    """

    def __init__(self, number: int, site: Site) -> None:
        """Create a host and write the settings file of its daemon."""
        ports = site.ports
        self.name = f'h{number}'
        ip = f'{LOOPBACK_PREFIX}.{FIRST_HOST + number}'
        bound = f'{LOOPBACK_PREFIX}.{FIRST_BOUND_HOST + number}'
        self.zone = f'zone-{number % 3}'
        self.outbound = Address(ip, ports['outbound'])
        self.control = Address(ip, ports['control'])
        settings = site.folder / f'{self.name}.conf'
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=self.name,
                ip=ip,
                bound=bound,
                zone=number % 3,
                ports=ports,
                last_port=ports['datagrams'] + 1,
                drain_ms=DRAIN_MS,
                grace_s=GRACE_S,
            ),
            encoding='utf-8',
        )
        ready = Address(ip, ports['ready'])
        self.daemon = DaemonProcess(
            self.name, settings, ready, site.folder, site.history
        )
        self.backend = MeshBackend(
            Address(ip, ports['server']),
            site.history.runs,
            Random(f'{site.seed}-{self.name}'),
        )
        self.peer_link = MeshLink(
            Address(ip, ports['inbound']), Address(bound, ports['inbound'])
        )
        self.store_link = MeshLink(Address(ip, ports['store']), site.store)
        self.server_lock = Lock()
        self.announcing = True
        self._history = site.history
        self._incarnation = 0

    @property
    def lifetime(self) -> int:
        """Number of the daemon's process."""
        return self.daemon.lifetime

    async def start_server(self, *, same_id: bool = False) -> None:
        """Start the next incarnation of the backend server."""
        self._incarnation += not same_id
        instance = f'i-{self.name}-{self._incarnation}'
        await self.backend.start(instance, int(time() * MS_PER_S))
        self.announcing = True

    async def announce(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        backend = self.backend
        instance, born_ms = backend.instance, backend.born_ms
        leaving = backend.leaving
        body = backend.announcement('shop', self.zone)
        is_acknowledged = await call(
            self.control, b'PUT', ANNOUNCEMENT_PATH_PREFIX + instance, body
        )
        if is_acknowledged and leaving:
            leaving_seen = Leaving(instance, born_ms, monotonic())
            self._history.leavings.append(leaving_seen)
        return is_acknowledged

    async def deregister(self) -> bool:
        """Deregister the server; return whether it was acknowledged."""
        backend = self.backend
        path = ANNOUNCEMENT_PATH_PREFIX + backend.instance
        is_acknowledged = await call(self.control, b'DELETE', path, b'')
        if is_acknowledged:
            self._history.leavings.append(
                Leaving(backend.instance, backend.born_ms, monotonic())
            )
        return is_acknowledged

    async def send_heartbeats(self) -> None:
        """Announce the server while it runs."""
        while True:
            if self.announcing and self.backend.running:
                await self.announce()
            await sleep(HEARTBEAT_S)


async def call(address: Address, method: bytes, path: str, body: bytes) -> bool:
    """Send a request on a new connection; return whether it succeeded."""
    head = encode_request_head(
        method,
        path.encode(),
        [
            (b'Host', HOST),
            (b'Connection', b'close'),
            (REQUEST_ID, b'call'),
        ],
        len(body),
    )
    try:
        async with timeout(CALL_TIMEOUT_S):
            reader, writer = await open_connection(*address)
            try:
                writer.write(head + body)
                return (await reader.readline()).startswith(b'HTTP/1.1 2')
            finally:
                writer.close()
    except OSError:
        return False
