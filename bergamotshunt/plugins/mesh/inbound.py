"""Requests of other daemons for the backend server on this host."""

from asyncio import sleep, timeout
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.backend.loads import Load, is_urgent_change
from bergamotshunt.backend.own_server import OwnServer
from bergamotshunt.backend.server_relay import ServerRelay
from bergamotshunt.backend.server_client import ServerClient
from bergamotshunt.backend.slot_queue import RefusedError
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (
    CallBegan,
    DescribeBeliefs,
    OwnLoadChanged,
    OwnServerChanged,
    RoutingChanged,
    RunChanged,
    SlotShareLearned,
    StoredServerFound,
)
from bergamotshunt.mesh_task import ListeningTask, settings_of
from bergamotshunt.peers.peer_calls import (
    CALL_HEADER,
    CONFIGURATION_PATH,
    PeerCall,
    decode_call,
)
from bergamotshunt.platform.requests import ServerResponseInfo
from bergamotshunt.request_log import RequestLog
from bergamotshunt.routing import Routing, ServerEntry, ServerState

MS_PER_S: Final = 1000
PROBE_TIMEOUT_S: Final = 0.5
DOWN_LOOK_MS: Final = 100.0
# The server stays in use this long after the stop was announced; then peers
# have some time to learn that it is not.
LAST_REQUESTS_S: Final = 2.2
LAST_OFFERS_S: Final = 0.4
CALL_NAME: Final = CALL_HEADER.lower()


class InboundTask(ListeningTask):
    """Owns the connections to the backend server on this host."""

    name = 'inbound'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a server that is not known yet."""
        super().__init__(context, settings_of(context).inbound)
        self._requests = ServerClient(self.mesh.server, self._note_down)
        self._server = OwnServer(self.now_ms, self._tell_load)
        self._stored: ServerEntry | None = None
        self._routing: Routing | None = None
        self._told = Load()
        self._told_slot_share: float = 0
        self._log = RequestLog(context.clock)
        self._relay = ServerRelay(
            self._server,
            self._requests,
            self.counts,
            self._log,
        )

    async def start(self) -> None:
        """Start to read the pace of the server."""
        self.spawn(self._keep_probing())

    async def drain(self) -> None:
        """Serve peers as long as work can still end, then the rest."""
        await sleep(LAST_REQUESTS_S)
        self._server.stopping = True
        self._tell_load()
        await sleep(LAST_OFFERS_S)
        await self._listener.wait_until_idle()

    async def close(self) -> None:
        """Close all connections."""
        await super().close()
        self._requests.close()

    @handlers.on(RoutingChanged)
    def note_routing(self, message: RoutingChanged) -> None:
        """Keep the configuration, for peers and the health path."""
        self._routing = message.routing

    @handlers.on(OwnServerChanged)
    def note_server(self, message: OwnServerChanged) -> None:
        """Take over a new lifetime, or end the work of a leaving one."""
        if self._server.apply_announcement(message.entry):
            self._requests.close()
        self._tell_load()

    @handlers.on(StoredServerFound)
    def note_stored(self, message: StoredServerFound) -> None:
        """Look whether the server of an earlier process still runs."""
        self._server.restore_slot_share(message.entry)
        if self._server.entry is None:
            self._stored = message.entry

    @handlers.on(CallBegan)
    def note_call(self, message: CallBegan) -> None:
        """Count a call of a request that runs here."""
        self._relay.count_call(message.run_id, message.service)

    def note_gauges(self) -> None:
        """Bring the load of the server up to date."""
        load = self._server.load()
        self.counts.set_gauge('server_running', load.running)
        self.counts.set_gauge('server_waiting', load.waiting)
        self.counts.set_gauge('server_limit', load.limit)
        self.counts.set_gauge('server_pace', load.pace)
        self.counts.set_gauge('server_serving', float(load.serving))

    def describe_beliefs(self, _message: DescribeBeliefs) -> dict[str, Any]:
        """Return what is believed of the own server."""
        entry = self._server.entry
        return {
            'own_server': entry._asdict() if entry else None,
            'own_load': self._server.load()._asdict(),
        }

    # Requests of peers

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request."""
        head = exchange.head
        if head.target == CONFIGURATION_PATH:
            self._show_configuration(exchange)
            return
        call = decode_call(head.by_name.get(CALL_NAME, b''))
        if call is None:
            exchange.respond(HTTPStatus.BAD_REQUEST, [])
            return
        self.counts.increment('peer_requests')
        deadline_ms = self.now_ms() + call.left_ms
        try:
            await self._run_in_turn(exchange, call, deadline_ms)
        except RefusedError as error:
            self._log.write(
                'inbound:refused',
                failed=True,
                request_id=call.request_id,
                instance=call.instance,
                reason=error.refusal.reason,
                again_ms=round(error.refusal.retry_after_ms),
                **self._server.load()._asdict(),
            )
            self._relay.refuse(exchange, error.refusal)

    def _show_configuration(self, exchange: Exchange) -> None:
        if self._routing is None:
            exchange.respond(HTTPStatus.NOT_FOUND, [])
        else:
            exchange.respond(HTTPStatus.OK, [], self._routing.document)

    async def _run_in_turn(
        self,
        exchange: Exchange,
        call: PeerCall,
        deadline_ms: float,
    ) -> None:
        self._server.check_acceptance(call)
        arrived_ms = self.now_ms()
        await self._server.slot_queue.acquire(call)
        self.counts.observe('queue', self.now_ms() - arrived_ms)
        self.post.publish(RunChanged(call.request_id, running=True))
        try:
            await self._relay.run(exchange, call, deadline_ms)
        finally:
            self.post.publish(RunChanged(call.request_id, running=False))
            self._server.slot_queue.release()

    # Load of the server

    def _tell_load(self) -> None:
        entry = self._server.entry
        if entry is None:
            return
        load = self._server.load()
        urgent = is_urgent_change(load, self._told)
        if urgent:
            self._told = load
        self.post.publish(OwnLoadChanged(entry.instance, load, urgent))
        self._tell_slot_share()

    def _tell_slot_share(self) -> None:
        share = self._server.slot_share
        if share != self._told_slot_share:
            self._told_slot_share = share
            log_event('inbound:slot-share', share=share)
            self.post.publish(SlotShareLearned(share))

    def _note_down(self, detail: str) -> None:
        if not self._server.down:
            log_event('inbound:server-down', detail=detail)
            self._server.mark_down()
            self._tell_load()

    async def _keep_probing(self) -> None:
        while True:
            server = self._server
            look_ms = server.load_tracker.phase_estimator.probe_delay_ms(
                self.now_ms()
            )
            if server.down:
                look_ms = DOWN_LOOK_MS
            await sleep(look_ms / MS_PER_S)
            age_ms = self.now_ms() - server.load_tracker.reported_ms
            if server.down or age_ms >= look_ms:
                await self._probe()

    async def _probe(self) -> None:
        entry = self._server.entry or self._stored
        if entry is None or self._routing is None:
            return
        rules = self._routing.services_by_name.get(entry.service)
        if rules is None:
            return
        self.counts.increment('server_probes')
        try:
            async with timeout(PROBE_TIMEOUT_S):
                said = await self._requests.probe(rules.health_path)
        except (RefusedError, ConnectionError, TimeoutError):
            return
        if self._server.entry is None:
            self._adopt_stored(said)
            return
        if self._server.down:
            self._server.down = False
            log_event('inbound:server-up', instance=said.instance)
        self._server.load_tracker.record_pace(said.pace, self.now_ms())
        self._tell_load()

    def _adopt_stored(self, said: ServerResponseInfo) -> None:
        """Serve a running server before it announces itself again.

        A server that is about to leave says that it is not healthy.
        """
        stored = self._stored
        if stored is None or stored.instance != said.instance:
            return
        if said.healthy and stored.state is ServerState.READY:
            self._stored = None
            log_event('inbound:server-adopted', instance=stored.instance)
            self.post.publish(OwnServerChanged(stored))


@MESH_PLUGINS.register('inbound')
def create_inbound(context: Context) -> InboundTask:
    """Create the task."""
    return InboundTask(context)
