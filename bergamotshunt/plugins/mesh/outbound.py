"""Requests of the clients on this host."""

from asyncio import sleep
from collections import Counter
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.server_records import ServerRecords
from bergamotshunt.decisions.extra_attempts import ExtraAttemptBound
from bergamotshunt.decisions.route_matching import WeightedSplitter, match_route
from bergamotshunt.entry.carried_requests import CarriedRequest
from bergamotshunt.entry.carrying import Carrier
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.mesh_messages import (
    CallBegan,
    DescribeBeliefs,
    LoadHeard,
    RoutingChanged,
    RunChanged,
    ServersChanged,
    ServiceUsed,
)
from bergamotshunt.mesh_task import ListeningTask, settings_of
from bergamotshunt.platform.requests import (
    ClientRequestInfo,
    parent_id,
    read_client_request_info,
)
from bergamotshunt.request_log import RequestLog
from bergamotshunt.routing import Routing

MS_PER_S: Final = 1000
# Clients hear within this time that the daemon is not ready any more. What
# comes later could not be finished before the process is killed.
LAST_REQUESTS_S: Final = 2.8
REASONS_BY_STATUS: Final = {
    HTTPStatus.BAD_REQUEST: 'no host or no request id',
    HTTPStatus.SERVICE_UNAVAILABLE: 'no configuration yet, or stopping',
    HTTPStatus.NOT_FOUND: 'no route',
}


class OutboundTask(ListeningTask):
    """Owns the connections of clients and those to other daemons."""

    name = 'outbound'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon without a configuration."""
        super().__init__(context, settings_of(context).outbound)
        bounds = self.mesh.bounds
        self._records = ServerRecords(self.mesh.zone)
        self._splits = WeightedSplitter(context.rng)
        self._routing: Routing | None = None
        self._refusing = False
        self._runs_here: Counter[str] = Counter()
        self._log = RequestLog(context.clock)
        self._used_services: set[str] = set()
        bound = ExtraAttemptBound(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        )
        self._carrier = Carrier(
            Dispatcher(
                self._records,
                bound,
                context.rng,
                self._count_daemons,
                self.counts,
            ),
        )

    async def drain(self) -> None:
        """Serve until clients have heard of the stop, then the rest."""
        self._listener.announce_close()
        await sleep(LAST_REQUESTS_S)
        self._refusing = True
        self._listener.close_idle()
        await self._listener.wait_until_idle()

    async def close(self) -> None:
        """Close all connections."""
        await super().close()
        self._records.close()

    @handlers.on(RoutingChanged)
    def note_routing(self, message: RoutingChanged) -> None:
        """Put a newer configuration in force."""
        self._routing = message.routing
        self._splits.reset()
        self._listener.limits = message.routing.limits

    @handlers.on(ServersChanged)
    def note_servers(self, message: ServersChanged) -> None:
        """Take over the servers that are known."""
        self._records.replace(message.servers_by_instance)

    @handlers.on(LoadHeard)
    def note_load(self, message: LoadHeard) -> None:
        """Take over a load report."""
        record = self._records.by_instance.get(message.report.instance)
        if record is not None:
            record.apply_report(message.report.load, self.context.clock())

    @handlers.on(RunChanged)
    def note_run(self, message: RunChanged) -> None:
        """Note which requests on this host may make calls of their own."""
        request_id = message.request_id
        self._runs_here[request_id] += 1 if message.running else -1
        if not self._runs_here[request_id]:
            self._runs_here.pop(request_id)

    def note_gauges(self) -> None:
        """Bring the numbers of servers and connections up to date."""
        self.counts.set_gauge('servers_known', len(self._records.by_instance))
        self.counts.set_gauge(
            'client_connections', len(self._listener.connections)
        )
        self.counts.set_gauge('client_requests_running', self._listener.running)

    def describe_beliefs(self, _message: DescribeBeliefs) -> dict[str, Any]:
        """Return what is believed of the servers."""
        return {'servers': self._records.describe(self.context.clock())}

    async def serve(self, exchange: Exchange) -> None:
        """Run a request of a client."""
        call = read_client_request_info(exchange.head)
        if not call.host or not call.request_id:
            self._turn_away(exchange, call, HTTPStatus.BAD_REQUEST)
            return
        routing = self._routing
        depth = self._depth(call.request_id)
        # A request that runs on this host may still make its calls.
        if routing is None or (self._refusing and not depth):
            self._turn_away(exchange, call, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        route = match_route(routing, call.host, call.path)
        if route is None:
            self._turn_away(exchange, call, HTTPStatus.NOT_FOUND)
            return
        service = self._splits.choose(route.parts)
        if service not in self._used_services:
            self._used_services.add(service)
            self.post.publish(ServiceUsed(service))
        self._note_call(call.request_id, service)
        patience_ms = route.timeout_ms
        if call.timeout_ms is not None:
            patience_ms = min(patience_ms, call.timeout_ms)
        request = CarriedRequest(
            exchange=exchange,
            call=call,
            route=route,
            service=service,
            caller=self.mesh.service,
            deadline_s=exchange.arrived_s + patience_ms / MS_PER_S,
            depth=depth,
        )
        await self._carrier.carry(request)

    def _depth(self, request_id: str) -> int:
        """Return how many requests wait for the response to this one."""
        parent = parent_id(request_id)
        if parent not in self._runs_here:
            return 0
        return 1 + self._depth(parent)

    def _note_call(self, request_id: str, service: str) -> None:
        """Tell of a call that a request on this host makes."""
        run_id = parent_id(request_id)
        if run_id in self._runs_here:
            self.post.publish(CallBegan(run_id, service))

    def _count_daemons(self) -> int:
        return len(self._records.by_instance)

    def _turn_away(
        self,
        exchange: Exchange,
        call: ClientRequestInfo,
        status: HTTPStatus,
    ) -> None:
        self.counts.increment('requests_turned_away', status=str(status.value))
        self._log.write(
            'outbound:turned-away',
            failed=True,
            request_id=call.request_id,
            host=call.host,
            path=call.path,
            status=status.value,
            reason=REASONS_BY_STATUS[status],
            version=self._routing.version if self._routing else 0,
        )
        exchange.respond(status, [])


@MESH_PLUGINS.register('outbound')
def create_outbound(context: Context) -> OutboundTask:
    """Create the task."""
    return OutboundTask(context)
