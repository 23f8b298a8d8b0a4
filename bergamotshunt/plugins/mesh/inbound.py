"""Inbound: requests of other daemons for the backend server on this host."""

from asyncio import sleep
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.backend.health_checker import CheckObserver, HealthChecker
from bergamotshunt.backend.loads import Load, is_urgent_change
from bergamotshunt.backend.own_server import OwnServer
from bergamotshunt.backend.server_client import ServerClient
from bergamotshunt.backend.server_relay import RunLimits, ServerRelay
from bergamotshunt.backend.slot_queue import Refusal, RefusedError
from bergamotshunt.decisions.past_knowledge import PastKnowledge
from bergamotshunt.decisions.slot_refusals import SLOT_REFUSAL_REASONS
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    AnnouncementHeld,
    DescribeState,
    EvacuationsChanged,
    LocalRequestChanged,
    NestedCallStarted,
    OwnLoadChanged,
    OwnServerChanged,
    OwnServiceUsed,
    RoutingChanged,
    ServerFoundRunning,
    SlotShareEstimated,
    StoredServerRead,
)
from bergamotshunt.mesh_task import ListeningTask, settings_of
from bergamotshunt.peers.configuration_documents import DocumentCache
from bergamotshunt.peers.peer_calls import (
    CALL_HEADER,
    CONFIGURATION_PATH,
    PeerCall,
    decode_call,
)
from bergamotshunt.peers.entry_feed import FEED_PATH
from bergamotshunt.peers.feed_serving import serve_feed
from bergamotshunt.peers.leaving_records import (
    LEAVING_PATH,
    serve_leaving_record,
)
from bergamotshunt.permits import create_permit
from bergamotshunt.platform.requests import (
    ServerResponseInfo,
    without_credentials,
)
from bergamotshunt.routing import Routing, ServerEntry

MS_PER_S: Final = 1000
# Requests for the server are accepted this long after the signal to stop. Then
# peers get time to learn that it is no longer serving.
ACCEPT_AFTER_STOP_S: Final = 2.2
NOT_SERVING_NOTICE_S: Final = 0.4
# Lower priorities are counted as this one, which bounds the time series.
MAX_COUNTED_PRIORITY: Final = 9
CALL_HEADER_KEY: Final = CALL_HEADER.lower()


class InboundTask(ListeningTask):
    """Owns the connections to the backend server on this host."""

    name = 'inbound'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task; the server is not known yet."""
        super().__init__(context, settings_of(context).inbound)
        self._server_client = ServerClient(
            self.mesh.server, self._mark_server_down
        )
        self._server = OwnServer(
            self.now_ms, self._publish_load, self.mesh.bounds
        )
        self._evacuated_zones: frozenset[str] = frozenset()
        self._evacuations_heard_s: float = 0
        self._stored_entry: ServerEntry | None = None
        self._routing: Routing | None = None
        self._documents = DocumentCache()
        self._refusing = False
        self._published_load = Load()
        self._published_slot_share: float = 0
        self._relay = ServerRelay(
            self._server,
            self._server_client,
            self.metrics,
            self._log,
        )
        self._health_checker = HealthChecker(
            self._server,
            self._server_client,
            CheckObserver(self._find_health_path, self._handle_check),
            self.metrics,
        )

    async def start(self) -> None:
        """Start to probe the pace of the server, its slowdown factor."""
        self.spawn(self._health_checker.run())

    async def drain(self) -> None:
        """Accept requests for a while, report not serving, finish the rest.

        Requests that are accepted before ``ACCEPT_AFTER_STOP_S`` can still
        end before the process is killed. Later ones are refused until the
        daemon stops, because other tasks may still drain.
        """
        await sleep(ACCEPT_AFTER_STOP_S)
        self._server.stopping = True
        self._publish_load()
        await sleep(NOT_SERVING_NOTICE_S)
        self._refusing = True
        self._listener.close_after_responses()
        await self._listener.wait_until_idle()

    async def finish(self) -> None:
        """Refuse what still waits for a slot, and send the last responses."""
        self._server.slot_queue.refuse_all('stopping')
        await super().finish()

    async def close(self) -> None:
        """Close all connections."""
        await super().close()
        self._server_client.close()

    @handlers.on(RoutingChanged)
    def update_routing(self, message: RoutingChanged) -> None:
        """Store the configuration, for peers and for the health path."""
        self._routing = message.routing
        self._update_cold_rate()

    @handlers.on(OwnServerChanged)
    def handle_own_server(self, message: OwnServerChanged) -> None:
        """Apply an announcement of the server, such as its start or stop."""
        self._stored_entry = None
        if self._server.apply_announcement(message.entry):
            self._server_client.close()
        self._update_cold_rate()
        self._update_evacuated()
        self._publish_load()

    @handlers.on(OwnServiceUsed)
    def handle_service_use(self, _message: OwnServiceUsed) -> None:
        """Check the server more often: senders may choose it."""
        self._health_checker.record_use()

    @handlers.on(EvacuationsChanged)
    def handle_evacuations(self, message: EvacuationsChanged) -> None:
        """Refuse requests while the zone of the server is evacuated."""
        self._evacuated_zones = message.zones
        self._evacuations_heard_s = self.context.clock()
        self._update_evacuated()

    @handlers.on(StoredServerRead)
    def handle_stored_server(self, message: StoredServerRead) -> None:
        """Store an earlier entry; a probe shows if its server still runs."""
        if message.entry is None:
            return
        self._server.restore_slot_share(message.entry)
        if message.past is PastKnowledge.UNKNOWN:
            return
        if self._server.entry is None:
            self._stored_entry = message.entry

    @handlers.on(AnnouncementHeld)
    def handle_held_announcement(self, message: AnnouncementHeld) -> None:
        """Check whether a server runs whose announcement may be late."""
        entry = self._server.entry
        if entry is None or entry.is_leaving:
            self._stored_entry = message.entry
            self._health_checker.record_use()

    @handlers.on(NestedCallStarted)
    def handle_nested_call(self, message: NestedCallStarted) -> None:
        """Count a nested call of a request that runs on this host."""
        self._relay.count_nested_call(
            message.parent_request_id, message.service
        )

    def update_gauges(self) -> None:
        """Update the gauges of the server's load."""
        load = self._server.load()
        self.metrics.set_gauge('server_running', load.running)
        self.metrics.set_gauge('server_waiting', load.waiting)
        self.metrics.set_gauge('server_limit', load.limit)
        self.metrics.set_gauge('server_pace', load.pace)
        self.metrics.set_gauge('server_serving', float(load.serving))

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return the entry and the load of this host's server."""
        entry = self._server.entry
        return {
            'own_server': entry._asdict() if entry else None,
            'own_load': self._server.load()._asdict(),
            'own_zone_evacuated': self._server.evacuated,
            'evacuations_age_s': self._evacuations_age_s(),
            'own_cold_state': self._server.cold_starts.describe()._asdict(),
        }

    # Requests of peers

    async def serve(self, exchange: Exchange) -> None:
        """Serve a request of a peer."""
        head = exchange.head
        if head.target == CONFIGURATION_PATH:
            self._show_configuration(exchange)
            return
        if head.target.startswith(FEED_PATH):
            await serve_feed(exchange, self.bus)
            return
        if head.target.startswith(LEAVING_PATH):
            await serve_leaving_record(exchange, self.bus)
            return
        call = decode_call(head.by_name.get(CALL_HEADER_KEY, b''))
        if call is None:
            exchange.respond(HTTPStatus.BAD_REQUEST, [])
            return
        exchange.request_id = call.request_id
        exchange.deadline_s = exchange.arrived_s + call.left_ms / MS_PER_S
        self.metrics.increment('peer_requests')
        limits = RunLimits(
            self.now_ms() + call.left_ms,
            create_permit(call.permit_left_ms, self.context.boot_clock),
        )
        # The sender may still have a configuration without accounts.
        if self._routing is not None and self._routing.needs_keys:
            exchange.head = without_credentials(head)
        try:
            await self._run_when_admitted(exchange, call, limits)
        except RefusedError as error:
            self._report_refusal(call, error.refusal, limits.deadline_ms)
            self._relay.refuse(exchange, error.refusal)

    def create_close_notice(self) -> bytes:
        """Return a refusal for a request that crosses the close.

        Without it, the peer could not tell that the request did not run.
        """
        return self._relay.encode_refusal(Refusal('connection-closed'))

    def _report_refusal(
        self, call: PeerCall, refusal: Refusal, deadline_ms: float
    ) -> None:
        """Count a refusal and write the figures that decided."""
        if refusal.reason in SLOT_REFUSAL_REASONS:
            self.metrics.increment(
                'slot_refusals',
                reason=refusal.reason,
                priority=str(min(max(call.priority, 0), MAX_COUNTED_PRIORITY)),
            )
        self._log.write(
            'inbound:refused',
            failed=True,
            request_id=call.request_id,
            instance=call.instance,
            reason=refusal.reason,
            again_ms=round(refusal.retry_after_ms),
            wait_ms=refusal.wait_ms and round(refusal.wait_ms),
            waited_ms=round(self.now_ms() + call.left_ms - deadline_ms),
            left_ms=call.left_ms,
            objective_left_ms=call.objective_left_ms,
            priority=call.priority,
            account=call.account,
            depth=call.depth,
            request_work_ms=call.work_ms,
            evacuations_age_s=self._evacuations_age_s(),
            **self._server.load()._asdict(),
        )

    def _show_configuration(self, exchange: Exchange) -> None:
        if self._routing is None:
            exchange.respond(HTTPStatus.NOT_FOUND, [])
        else:
            headers, document = self._documents.encode(
                self._routing.document, exchange.head
            )
            exchange.respond(HTTPStatus.OK, headers, document)

    async def _run_when_admitted(
        self,
        exchange: Exchange,
        call: PeerCall,
        limits: RunLimits,
    ) -> None:
        if self._refusing:
            raise RefusedError(Refusal('stopping'))
        self._server.check_acceptance(call)
        arrived_ms = self.now_ms()
        self._health_checker.record_use()
        if self._server.cold_starts.start_delay_ms():
            self.metrics.increment('cold_starts_delayed')
        await self._server.slot_queue.acquire(call)
        self.metrics.observe('queue', self.now_ms() - arrived_ms)
        self.bus.publish(LocalRequestChanged(call.request_id, running=True))
        try:
            await self._relay.run(exchange, call, limits)
        finally:
            self.bus.publish(
                LocalRequestChanged(call.request_id, running=False)
            )
            self._server.slot_queue.release(call)

    # Cold starts and evacuation

    def _update_cold_rate(self) -> None:
        entry, routing = self._server.entry, self._routing
        if entry is None or routing is None:
            return
        service = routing.services_by_name.get(entry.service)
        self._server.update_cold_rate(service.cold_rate if service else 0)

    def _update_evacuated(self) -> None:
        server = self._server
        zones = {self.mesh.zone}
        if server.entry is not None:
            zones.add(server.entry.zone)
        evacuated = not zones.isdisjoint(self._evacuated_zones)
        if evacuated == server.evacuated:
            return
        log_event(
            'inbound:evacuation-changed',
            evacuated=evacuated,
            zones=sorted(zones),
            evacuated_zones=sorted(self._evacuated_zones),
            age_s=self._evacuations_age_s(),
            running=server.slot_queue.running,
            waiting=server.slot_queue.waiting,
        )
        server.apply_evacuation(evacuated=evacuated)
        self._publish_load()

    def _evacuations_age_s(self) -> float | None:
        """Return the time since the zones last changed; None if never."""
        if not self._evacuations_heard_s:
            return None
        return round(self.context.clock() - self._evacuations_heard_s, 1)

    # Load of the server

    def _publish_load(self) -> None:
        entry = self._server.entry
        if entry is None:
            return
        self._health_checker.wake_if_needed()
        load = self._server.load()
        urgent = is_urgent_change(load, self._published_load)
        if urgent:
            self._published_load = load
        self.bus.publish(OwnLoadChanged(entry.instance, load, urgent))
        self._publish_slot_share()

    def _publish_slot_share(self) -> None:
        share = self._server.slot_share
        if share != self._published_slot_share:
            self._published_slot_share = share
            log_event('inbound:slot-share', share=share)
            self.bus.publish(SlotShareEstimated(share))

    def _mark_server_down(self, detail: str) -> None:
        if not self._server.down:
            log_event('inbound:server-down', detail=detail)
            self._server.mark_down()
            self._publish_load()

    # Health checks

    def _find_health_path(self) -> str | None:
        entry = self._stored_entry or self._server.entry
        if entry is None or self._routing is None:
            return None
        service = self._routing.services_by_name.get(entry.service)
        return service.health_path if service else None

    def _handle_check(self, info: ServerResponseInfo, sent_ms: float) -> None:
        self._adopt_stored(info)
        if self._server.entry is None:
            return
        if self._server.down:
            self._server.down = False
            log_event('inbound:server-up', instance=info.instance)
        self._server.record_check(info, sent_ms)
        self._publish_load()

    def _adopt_stored(self, info: ServerResponseInfo) -> None:
        """Use a running server before it announces itself again.

        A server that is about to leave reports that it is not healthy, and
        is not used.
        """
        stored = self._stored_entry
        if stored is None or stored.instance != info.instance:
            return
        if info.healthy and not stored.is_leaving:
            self._stored_entry = None
            log_event('inbound:server-adopted', instance=stored.instance)
            if info.cold_ms is not None:
                # The stored time is of the first announcement.
                stored = stored._replace(cold_ms=info.cold_ms)
            self.bus.publish(ServerFoundRunning(stored))


@MESH_PLUGINS.register('inbound')
def create_inbound(context: Context) -> InboundTask:
    """Create the inbound task."""
    return InboundTask(context)
