"""Loads: load reports between daemons, sent as datagrams to subscribers."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop, sleep
from math import inf
from typing import Any, Final, NamedTuple

from bergamotshunt.backend.loads import (
    InstanceLoadReport,
    LoadDatagram,
    Subscription,
    decode_load_datagram,
    encode_load_datagram,
    is_unchanged,
)
from bergamotshunt.decisions.server_subsets import choose_subsets
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    LoadReceived,
    OwnLoadChanged,
    OwnServerChanged,
    OwnServiceUsed,
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
# Report datagrams that one daemon sends per second, beside urgent ones.
MAX_DATAGRAMS_PER_S: Final = 300.0
MIN_REPORT_INTERVAL_S: Final = 0.04
# Shortest interval of reports to daemons of other availability zones, beside
# urgent ones: traffic between zones is dear.
FAR_REPORT_INTERVAL_MS: Final = 100
MS_PER_S: Final = 1000
# Interval at which an unchanged load is reported.
MAX_REPORT_INTERVAL_S: Final = 0.15
# A service counts as in use for this time after a request of a client.
USE_LIFETIME_S: Final = 2.0
# Shortest interval of messages that the service of this host is used.
USE_NOTICE_INTERVAL_S: Final = 0.5
# Interval at which a report includes the entry of the server.
ENTRY_INTERVAL_S: Final = 1.0


class Subscriber(NamedTuple):
    """A daemon that receives load reports.

    Attributes:
        expiry_s: Monotonic time at which its subscription expires.
        interval_s: Shortest time between two reports, in seconds.
        sent_s: Monotonic time of the last report.
    """

    expiry_s: float
    interval_s: float
    sent_s: float = -inf


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
        self._used_s_by_service: dict[str, float] = {}
        self._own_use_published_s = -inf
        # Servers whose load this daemon needs to know.
        self._subset_by_ip: dict[str, ServerEntry] = {}
        self._subscribers_by_ip: dict[str, Subscriber] = {}
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
        self._servers_by_instance = message.servers_by_instance
        known = self._subset_by_ip
        self._update_subset()
        for ip, entry in self._subset_by_ip.items():
            if ip not in known:
                self._subscribe(entry)

    @handlers.on(ServiceUsed)
    def handle_service_used(self, message: ServiceUsed) -> None:
        """Subscribe to the servers of a service, and state that it is used."""
        service = message.service
        is_known = service in self._used_s_by_service
        was_in_use = self._is_in_use(service)
        self._used_s_by_service[service] = self.context.clock()
        if service == self.mesh.service:
            self._publish_own_use()
        if not is_known:
            self._update_subset()
        if not was_in_use:
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
            self._send_report(urgent=True)

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
        known = self._subscribers_by_ip.get(subscription.ip)
        self._subscribers_by_ip[subscription.ip] = Subscriber(
            self.context.clock() + SUBSCRIPTION_LIFETIME_S,
            subscription.interval_ms / MS_PER_S,
            known.sent_s if known else -inf,
        )
        self._compare_version(subscription.version, ip)
        if subscription.in_use:
            self._publish_own_use()
        if known is None and self._latest_report is not None:
            self._send(
                LoadDatagram(report=self._latest_report), subscription.ip
            )

    def _is_in_use(self, service: str) -> bool:
        used_s = self._used_s_by_service.get(service, -inf)
        return self.context.clock() - used_s < USE_LIFETIME_S

    def _publish_own_use(self) -> None:
        now_s = self.context.clock()
        if now_s - self._own_use_published_s >= USE_NOTICE_INTERVAL_S:
            self._own_use_published_s = now_s
            self.bus.publish(OwnServiceUsed())

    def _compare_version(self, version: int, ip: str) -> None:
        if version > self._version:
            self.bus.publish(PeerVersionReceived(version, ip))

    def _update_subset(self) -> None:
        used = [
            entry
            for entry in self._servers_by_instance.values()
            if entry.service in self._used_s_by_service
        ]
        subsets = choose_subsets(used, self.mesh.ip, self.mesh.zone)
        self._subset_by_ip = {
            entry.ip: entry
            for entries in subsets.values()
            for entry in entries
            if entry.ip != self.mesh.ip
        }

    async def _run_subscriptions(self) -> None:
        while True:
            self._subscribe_all()
            await sleep(SUBSCRIBE_INTERVAL_S)

    def _subscribe_all(self) -> None:
        for entry in self._subset_by_ip.values():
            self._subscribe(entry)

    def _subscribe(self, entry: ServerEntry) -> None:
        is_near = entry.zone == self.mesh.zone
        subscription = Subscription(
            self.mesh.ip,
            self._version,
            0 if is_near else FAR_REPORT_INTERVAL_MS,
            self._is_in_use(entry.service),
        )
        self._send(LoadDatagram(subscription=subscription), entry.ip)

    async def _run_reports(self) -> None:
        while True:
            count = len(self._subscribers_by_ip)
            await sleep(max(MIN_REPORT_INTERVAL_S, count / MAX_DATAGRAMS_PER_S))
            now_s = self.context.clock()
            is_due = now_s - self._sent_s >= MAX_REPORT_INTERVAL_S
            if is_due or self._has_unreported_load():
                self._send_report(urgent=False)

    def _has_unreported_load(self) -> bool:
        if self._latest_report is None or self._sent_report is None:
            return self._latest_report is not self._sent_report
        return not is_unchanged(
            self._latest_report.load, self._sent_report.load
        )

    def _send_report(self, *, urgent: bool) -> None:
        """Send the latest report to the subscribers that are due.

        Args:
            urgent: Whether all subscribers are due.
        """
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
        self._subscribers_by_ip = {
            ip: subscriber
            for ip, subscriber in self._subscribers_by_ip.items()
            if subscriber.expiry_s >= now_s
        }
        for ip, subscriber in self._subscribers_by_ip.items():
            if urgent or now_s >= subscriber.sent_s + subscriber.interval_s:
                self._subscribers_by_ip[ip] = subscriber._replace(sent_s=now_s)
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
