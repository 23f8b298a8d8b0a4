"""Loads: load reports between daemons, sent as datagrams to subscribers."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop, sleep
from typing import Any, Final

from bergamotshunt.backend.loads import (
    InstanceLoadReport,
    LoadDatagram,
    Subscription,
    decode_load_datagram,
    encode_load_datagram,
    is_unchanged,
)
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.mesh_messages import (
    LoadReceived,
    OwnLoadChanged,
    OwnServerChanged,
    PeerVersionReceived,
    RoutingChanged,
    ServerEntryReceived,
    ServersChanged,
    ServiceUsed,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.routing import ServerEntry

SUBSCRIBE_INTERVAL_S: Final = 1.0
# A subscription survives the loss of two renewals in a row.
SUBSCRIPTION_LIFETIME_S: Final = 3.5
# Subscriptions sent in one round; if there are more servers, to a random
# sample of them.
MAX_SUBSCRIPTIONS: Final = 96
# Report datagrams that one daemon sends per second, beside urgent ones.
MAX_DATAGRAMS_PER_S: Final = 300.0
MIN_REPORT_INTERVAL_S: Final = 0.04
# Interval at which an unchanged load is reported.
MAX_REPORT_INTERVAL_S: Final = 0.15
# Interval at which a report includes the entry of the server.
ENTRY_INTERVAL_S: Final = 1.0


class LoadsTask(MeshTask):
    """Owns the socket for load reports and the subscriptions.

    A daemon subscribes to the load of the servers whose services its
    clients use.
    """

    name = 'loads'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the socket."""
        super().__init__(context)
        self._transport: DatagramTransport | None = None
        self._rejected = RejectedInputLog(context.clock, self.metrics)
        self._servers_by_instance: dict[str, ServerEntry] = {}
        # Services that clients here use, with the time of their first use.
        self._used_services: dict[str, float] = {}
        self._expiry_s_by_ip: dict[str, float] = {}
        self._latest_report: InstanceLoadReport | None = None
        self._sent_report: InstanceLoadReport | None = None
        self._sent_s: float = 0
        self._version = 0
        self._entry: ServerEntry | None = None
        self._entry_sent_s: float = 0

    async def open(self) -> None:
        """Bind the socket."""
        transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: LoadsProtocol(self),
            (self.mesh.ip, self.mesh.datagram_port),
        )
        self._transport = transport

    async def start(self) -> None:
        """Start the periodic subscriptions and reports."""
        self.spawn_loop(self._run_subscriptions)
        self.spawn_loop(self._run_reports)

    async def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
        await super().close()

    @handlers.on(RoutingChanged)
    def update_version(self, message: RoutingChanged) -> None:
        """Store the configuration version, which all datagrams contain."""
        self._version = message.routing.version

    @handlers.on(ServersChanged)
    def update_servers(self, message: ServersChanged) -> None:
        """Subscribe to new servers at once."""
        known = self._servers_by_instance
        self._servers_by_instance = message.servers_by_instance
        for instance, entry in message.servers_by_instance.items():
            if instance not in known and self._is_wanted(entry):
                self._subscribe(entry.ip)

    @handlers.on(ServiceUsed)
    def handle_service_used(self, message: ServiceUsed) -> None:
        """Subscribe to the servers of a service."""
        is_new = message.service not in self._used_services
        self._used_services[message.service] = self.context.clock()
        if is_new:
            self._subscribe_all()

    @handlers.on(OwnServerChanged)
    def update_own_entry(self, message: OwnServerChanged) -> None:
        """Send the server's entry with the next report."""
        self._entry = message.entry
        self._entry_sent_s = 0

    @handlers.on(OwnLoadChanged)
    def handle_own_load(self, message: OwnLoadChanged) -> None:
        """Report the load of the server on this host."""
        report = InstanceLoadReport(
            message.instance, message.load, self._version
        )
        self._latest_report = report
        self.bus.publish(LoadReceived(report))
        if message.urgent:
            self._send_report()

    def receive(self, content: bytes, ip: str) -> None:
        """Process a datagram of another daemon; log it when it is unusable."""
        self.metrics.increment('load_datagrams_received')
        with self._rejected.contain('loads:datagram-unreadable', ip):
            datagram = decode_load_datagram(content)
            if datagram.report is not None:
                self._handle_report(datagram.report, ip)
            if datagram.subscription is not None:
                self._handle_subscription(datagram.subscription, ip)

    def _handle_report(self, report: InstanceLoadReport, ip: str) -> None:
        self.bus.publish(LoadReceived(report))
        self._compare_version(report.version, ip)
        if report.entry is not None:
            self.bus.publish(ServerEntryReceived(report.entry))

    def _handle_subscription(self, subscription: Subscription, ip: str) -> None:
        is_new = subscription.ip not in self._expiry_s_by_ip
        expiry_s = self.context.clock() + SUBSCRIPTION_LIFETIME_S
        self._expiry_s_by_ip[subscription.ip] = expiry_s
        self._compare_version(subscription.version, ip)
        if is_new and self._latest_report is not None:
            self._send(
                LoadDatagram(report=self._latest_report), subscription.ip
            )

    def _compare_version(self, version: int, ip: str) -> None:
        if version > self._version:
            self.bus.publish(PeerVersionReceived(version, ip))

    def _is_wanted(self, entry: ServerEntry) -> bool:
        return entry.service in self._used_services and entry.ip != self.mesh.ip

    async def _run_subscriptions(self) -> None:
        while True:
            self._subscribe_all()
            await sleep(SUBSCRIBE_INTERVAL_S)

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
        self._send(LoadDatagram(subscription=subscription), ip)

    async def _run_reports(self) -> None:
        while True:
            count = len(self._expiry_s_by_ip)
            await sleep(max(MIN_REPORT_INTERVAL_S, count / MAX_DATAGRAMS_PER_S))
            now_s = self.context.clock()
            is_due = now_s - self._sent_s >= MAX_REPORT_INTERVAL_S
            if is_due or self._has_unreported_load():
                self._send_report()

    def _has_unreported_load(self) -> bool:
        if self._latest_report is None or self._sent_report is None:
            return self._latest_report is not self._sent_report
        return not is_unchanged(
            self._latest_report.load, self._sent_report.load
        )

    def _send_report(self) -> None:
        if self._latest_report is None:
            return
        now_s = self.context.clock()
        self._sent_report = self._latest_report
        self._sent_s = now_s
        report = self._latest_report._replace(version=self._version)
        if now_s - self._entry_sent_s >= ENTRY_INTERVAL_S:
            self._entry_sent_s = now_s
            report = report._replace(entry=self._entry)
        content = encode_load_datagram(LoadDatagram(report=report))
        self._expiry_s_by_ip = {
            ip: expiry_s
            for ip, expiry_s in self._expiry_s_by_ip.items()
            if expiry_s >= now_s
        }
        for ip in self._expiry_s_by_ip:
            self._send_bytes(content, ip)

    def _send(self, datagram: LoadDatagram, ip: str) -> None:
        self._send_bytes(encode_load_datagram(datagram), ip)

    def _send_bytes(self, content: bytes, ip: str) -> None:
        if self._transport is not None:
            self.metrics.increment('load_datagrams_sent')
            with self._rejected.contain('loads:address-unusable', ip):
                self._transport.sendto(content, (ip, self.mesh.datagram_port))


class LoadsProtocol(DatagramProtocol):
    """Passes datagrams to the task that owns the socket."""

    def __init__(self, task: LoadsTask) -> None:
        """Create the protocol of a task."""
        self._task = task

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram to the task."""
        self._task.receive(data, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: a peer that does not listen may have stopped."""


@MESH_PLUGINS.register('loads')
def create_loads(context: Context) -> LoadsTask:
    """Create the loads task."""
    return LoadsTask(context)
