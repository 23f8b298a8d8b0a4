"""Load reports between daemons, by datagrams and to who asked for them."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop, sleep
from typing import Any, Final

from bergamotshunt.backend.loads import (
    Datagram,
    LoadReport,
    Subscription,
    decode_datagram,
    encode_datagram,
    is_unchanged,
)
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.mesh_messages import (
    EntryHeard,
    LoadHeard,
    OwnLoadChanged,
    OwnServerChanged,
    RoutingChanged,
    ServersChanged,
    ServiceUsed,
    VersionHeard,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.routing import ServerEntry

SUBSCRIBE_EVERY_S: Final = 1.0
SUBSCRIPTION_S: Final = 3.5
# Daemons of a service that one daemon listens to.
MAX_SUBSCRIPTIONS: Final = 96
# Datagrams of one daemon a second, beside those that are urgent.
REPORTS_PER_S: Final = 300.0
MIN_PERIOD_S: Final = 0.04
# A server whose load does not change is reported this often.
MAX_PERIOD_S: Final = 0.15
ENTRY_EVERY_S: Final = 1.0


class LoadsTask(MeshTask):
    """Owns the socket for load reports and the subscriptions."""

    name = 'loads'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task without a socket."""
        super().__init__(context)
        self._transport: DatagramTransport | None = None
        self._servers_by_instance: dict[str, ServerEntry] = {}
        self._used_s_by_service: dict[str, float] = {}
        self._expiry_s_by_ip: dict[str, float] = {}
        self._report: LoadReport | None = None
        self._reported: LoadReport | None = None
        self._reported_s: float = 0
        self._version = 0
        self._entry: ServerEntry | None = None
        self._entry_told_s: float = 0

    async def open(self) -> None:
        """Bind the socket."""
        transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: LoadsProtocol(self),
            (self.mesh.ip, self.mesh.datagram_port),
        )
        self._transport = transport

    async def start(self) -> None:
        """Start to subscribe and to report."""
        self.spawn(self._keep_subscribing())
        self.spawn(self._keep_reporting())

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
        await super().close()

    @handlers.on(RoutingChanged)
    def note_routing(self, message: RoutingChanged) -> None:
        """Tell the new version with the next datagrams."""
        self._version = message.routing.version

    @handlers.on(ServersChanged)
    def note_servers(self, message: ServersChanged) -> None:
        """Subscribe to new servers at once."""
        known = self._servers_by_instance
        self._servers_by_instance = message.servers_by_instance
        for instance, entry in message.servers_by_instance.items():
            if instance not in known and self._is_wanted(entry):
                self._subscribe(entry.ip)

    @handlers.on(ServiceUsed)
    def note_use(self, message: ServiceUsed) -> None:
        """Subscribe to the servers of a service."""
        is_new = message.service not in self._used_s_by_service
        self._used_s_by_service[message.service] = self.context.clock()
        if is_new:
            self._subscribe_all()

    @handlers.on(OwnServerChanged)
    def note_own_server(self, message: OwnServerChanged) -> None:
        """Tell the announcement with the next report."""
        self._entry = message.entry
        self._entry_told_s = 0

    @handlers.on(OwnLoadChanged)
    def note_own_load(self, message: OwnLoadChanged) -> None:
        """Report the load of the server on this host."""
        report = LoadReport(message.instance, message.load, self._version)
        self._report = report
        self.post.publish(LoadHeard(report))
        if message.urgent:
            self._send_report()

    def receive(self, content: bytes, ip: str) -> None:
        """Read a datagram of another daemon."""
        self.counts.increment('load_datagrams_received')
        datagram = decode_datagram(content)
        if datagram is None:
            return
        if datagram.report is not None:
            self.post.publish(LoadHeard(datagram.report))
            self._compare(datagram.report.version, ip)
            if datagram.report.entry is not None:
                self.post.publish(EntryHeard(datagram.report.entry))
        if datagram.subscription is not None:
            wanted = datagram.subscription
            is_new = wanted.ip not in self._expiry_s_by_ip
            expiry_s = self.context.clock() + SUBSCRIPTION_S
            self._expiry_s_by_ip[wanted.ip] = expiry_s
            self._compare(wanted.version, ip)
            if is_new and self._report is not None:
                self._send(Datagram(report=self._report), wanted.ip)

    def _compare(self, version: int, ip: str) -> None:
        if version > self._version:
            self.post.publish(VersionHeard(version, ip))

    def _is_wanted(self, entry: ServerEntry) -> bool:
        return (
            entry.service in self._used_s_by_service
            and entry.ip != self.mesh.ip
        )

    async def _keep_subscribing(self) -> None:
        while True:
            self._subscribe_all()
            await sleep(SUBSCRIBE_EVERY_S)

    def _subscribe_all(self) -> None:
        wanted = [
            entry.ip
            for entry in self._servers_by_instance.values()
            if self._is_wanted(entry)
        ]
        if len(wanted) > MAX_SUBSCRIPTIONS:
            wanted = self.context.rng.sample(wanted, MAX_SUBSCRIPTIONS)
        for ip in wanted:
            self._subscribe(ip)

    def _subscribe(self, ip: str) -> None:
        subscription = Subscription(self.mesh.ip, self._version)
        self._send(Datagram(subscription=subscription), ip)

    async def _keep_reporting(self) -> None:
        while True:
            count = len(self._expiry_s_by_ip)
            await sleep(max(MIN_PERIOD_S, count / REPORTS_PER_S))
            now_s = self.context.clock()
            is_due = now_s - self._reported_s >= MAX_PERIOD_S
            if is_due or self._has_news():
                self._send_report()

    def _has_news(self) -> bool:
        if self._report is None or self._reported is None:
            return self._report is not self._reported
        return not is_unchanged(self._report.load, self._reported.load)

    def _send_report(self) -> None:
        if self._report is None:
            return
        now_s = self.context.clock()
        self._reported = self._report
        self._reported_s = now_s
        report = self._report._replace(version=self._version)
        if now_s - self._entry_told_s >= ENTRY_EVERY_S:
            self._entry_told_s = now_s
            report = report._replace(entry=self._entry)
        content = encode_datagram(Datagram(report=report))
        self._expiry_s_by_ip = {
            ip: expiry_s
            for ip, expiry_s in self._expiry_s_by_ip.items()
            if expiry_s >= now_s
        }
        for ip in self._expiry_s_by_ip:
            self._send_bytes(content, ip)

    def _send(self, datagram: Datagram, ip: str) -> None:
        self._send_bytes(encode_datagram(datagram), ip)

    def _send_bytes(self, content: bytes, ip: str) -> None:
        if self._transport is not None:
            self.counts.increment('load_datagrams_sent')
            self._transport.sendto(content, (ip, self.mesh.datagram_port))


class LoadsProtocol(DatagramProtocol):
    """Hands datagrams to the task that owns the socket."""

    def __init__(self, task: LoadsTask) -> None:
        """Create the protocol of a task."""
        self._task = task

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Hand on a datagram."""
        self._task.receive(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen: it may have stopped."""


@MESH_PLUGINS.register('loads')
def create_loads(context: Context) -> LoadsTask:
    """Create the task."""
    return LoadsTask(context)
