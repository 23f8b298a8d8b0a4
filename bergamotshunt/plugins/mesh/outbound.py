"""Outbound: requests of the clients on this host."""

from asyncio import sleep, timeout_at
from collections import Counter
from contextlib import suppress
from http import HTTPStatus
from math import inf
from typing import Any, Final

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.server_records import ServerRecords
from bergamotshunt.decisions.authentication import Admission
from bergamotshunt.decisions.extra_attempts import ExtraAttemptBound
from bergamotshunt.decisions.route_matching import WeightedSplitter, match_route
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.ingress.authenticator import Authenticator
from bergamotshunt.ingress.forwarded_requests import ForwardedRequest
from bergamotshunt.ingress.quota_gate import QuotaGate, QuotaRefusal
from bergamotshunt.ingress.request_proxy import RequestProxy
from bergamotshunt.ingress.request_refusals import RequestRefusals
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    ConfigurationConfirmed,
    DescribeState,
    EvacuationsChanged,
    LoadReceived,
    LocalRequestChanged,
    NestedCallStarted,
    RoutingChanged,
    ServersChanged,
    ServiceUsed,
)
from bergamotshunt.mesh_task import ListeningTask, settings_of
from bergamotshunt.platform.requests import (
    ClientRequestInfo,
    parent_id,
    read_client_request_info,
    without_credentials,
)
from bergamotshunt.quota_task_messages import QuotaGranted
from bergamotshunt.routing import RequestKind, Route, Routing

MS_PER_S: Final = 1000
# Within this time after the signal to stop, clients notice that the daemon is
# not ready. Later requests could not end before the process is killed.
ACCEPT_AFTER_STOP_S: Final = 2.8
# A daemon that stops is back after its restart; one that has just started gets
# its first configuration within moments.
RETRY_AFTER_STOP_MS: Final = 1000.0
RETRY_AFTER_START_MS: Final = 200.0
# Interval at which other tasks hear that a service is still used.
USE_NOTICE_INTERVAL_S: Final = 1.0


class OutboundTask(ListeningTask):
    """Owns the connections of clients and those to other daemons."""

    name = 'outbound'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon without a configuration."""
        super().__init__(context, settings_of(context).outbound)
        bounds = self.mesh.bounds
        self._records = ServerRecords(self.mesh.ip, self.mesh.zone)
        self._splitter = WeightedSplitter(context.rng)
        self._routing: Routing | None = None
        self._authenticator = Authenticator(bounds, context.boot_clock)
        self._refusing = False
        self._refusals = RequestRefusals(self.metrics, self._log, context.rng)
        self._refusals.retry_after_ms = RETRY_AFTER_START_MS
        self._quota = QuotaGate(
            context.bus, context.boot_clock, bounds, self.metrics
        )
        self._running_by_request_id: Counter[str] = Counter()
        self._use_published_s_by_service: dict[str, float] = {}
        extra_attempt_bound = ExtraAttemptBound(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_s,
        )
        self._proxy = RequestProxy(
            Dispatcher(
                self._records,
                extra_attempt_bound,
                context.rng,
                self._count_daemons,
                self.metrics,
            ),
        )

    async def drain(self) -> None:
        """Accept requests until clients know of the stop; finish the rest."""
        self._listener.close_after_responses()
        await sleep(ACCEPT_AFTER_STOP_S)
        self._refusing = True
        self._refusals.retry_after_ms = RETRY_AFTER_STOP_MS
        self._listener.close_idle()
        await self._listener.wait_until_idle()

    async def finish(self) -> None:
        """Respond to what is left, and wait until the responses are sent."""
        self._proxy.end_requests()
        await super().finish()

    async def close(self) -> None:
        """Close all connections."""
        await super().close()
        self._records.close()

    @handlers.on(RoutingChanged)
    def update_routing(self, message: RoutingChanged) -> None:
        """Apply a newer configuration."""
        self._routing = message.routing
        self._refusals.version = message.routing.version
        self._authenticator.put_in_force(message.routing.version)
        self._splitter.reset()
        self._records.cold_rate_by_service = {
            name: service.cold_rate
            for name, service in message.routing.services_by_name.items()
        }
        self._listener.limits = message.routing.limits

    @handlers.on(ConfigurationConfirmed)
    def handle_confirmation(self, message: ConfigurationConfirmed) -> None:
        """Record that the configuration in force was the newest."""
        self._authenticator.confirm(message.version, message.confirmed_s)

    @handlers.on(QuotaGranted)
    def handle_granted_quota(self, message: QuotaGranted) -> None:
        """Spend granted tokens on the requests that wait for them."""
        self._quota.handle_granted(message)

    @handlers.on(ServersChanged)
    def update_servers(self, message: ServersChanged) -> None:
        """Store the known servers."""
        self._records.replace(message.servers_by_instance)

    @handlers.on(EvacuationsChanged)
    def handle_evacuations(self, message: EvacuationsChanged) -> None:
        """Choose no server of an evacuated zone, whatever else is left."""
        records = self._records
        log_event(
            'outbound:evacuations-changed',
            zones=sorted(message.zones),
            before=sorted(records.evacuated_zones),
            servers=len(records.by_instance),
        )
        records.evacuated_zones = message.zones

    @handlers.on(LoadReceived)
    def handle_load(self, message: LoadReceived) -> None:
        """Record a load report."""
        record = self._records.by_instance.get(message.report.instance)
        if record is not None:
            record.apply_report(message.report.load, self.context.clock())

    @handlers.on(LocalRequestChanged)
    def handle_local_request(self, message: LocalRequestChanged) -> None:
        """Track the requests on this host, which may make nested calls."""
        request_id = message.request_id
        self._running_by_request_id[request_id] += 1 if message.running else -1
        if not self._running_by_request_id[request_id]:
            self._running_by_request_id.pop(request_id)

    def update_gauges(self) -> None:
        """Update the gauges of servers, connections and requests."""
        self.metrics.set_gauge('servers_known', len(self._records.by_instance))
        self.metrics.set_gauge(
            'client_connections', len(self._listener.connections)
        )
        self.metrics.set_gauge(
            'client_requests_running', self._listener.running
        )

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return the state of the known servers and of authentication."""
        routing = self._routing
        return {
            'servers': self._records.describe(self.context.clock()),
            'evacuated_zones': sorted(self._records.evacuated_zones),
            'authentication': {
                'needs_keys': routing is not None and routing.needs_keys,
                'accounts': len(routing.accounts_by_name) if routing else 0,
                'confirmation_age_s': self._confirmation_age_s(),
            },
        }

    async def serve(self, exchange: Exchange) -> None:
        """Forward a request of a client."""
        info = read_client_request_info(exchange.head)
        exchange.request_id = info.request_id
        if not info.host or not info.request_id:
            self._refusals.reject(exchange, info, HTTPStatus.BAD_REQUEST)
            return
        routing = self._routing
        depth = self._nesting_depth(info.request_id)
        # Requests that run on this host may make nested calls until they end.
        if routing is None or (self._refusing and not depth):
            self._refusals.reject(
                exchange, info, HTTPStatus.SERVICE_UNAVAILABLE
            )
            return
        route = match_route(routing, info.host, info.path)
        if route is None:
            self._refusals.reject(exchange, info, HTTPStatus.NOT_FOUND)
            return
        admission = self._authenticator.check(routing, route, info, depth)
        if admission.refusal is not None:
            self._refusals.refuse_key(
                exchange,
                info,
                route,
                admission.refusal,
                self._confirmation_age_s(),
            )
            return
        if routing.needs_keys:
            exchange.head = without_credentials(exchange.head)
        await self._forward_within_quota(
            self._create_request(exchange, info, route, depth, admission)
        )

    async def _forward_within_quota(self, request: ForwardedRequest) -> None:
        # A request that is late by then is refused as not run.
        with suppress(TimeoutError):
            async with timeout_at(request.deadline_s):
                await request.exchange.wait_for_earlier()
        account = request.account
        credit = None
        if account is not None and request.route.requires_key:
            credit = await self._quota.acquire(account)
        if isinstance(credit, QuotaRefusal):
            self._refusals.refuse_over_quota(request, credit)
            return
        self._publish_use(request.service)
        self._publish_nested_call(request.info.request_id, request.service)
        may_have_run = await self._proxy.forward(request)
        if not may_have_run:
            self._quota.refund(credit)

    def _create_request(
        self,
        exchange: Exchange,
        info: ClientRequestInfo,
        route: Route,
        depth: int,
        admission: Admission,
    ) -> ForwardedRequest:
        service = self._splitter.choose(route.weighted_services)
        client_timeout_ms = info.timeout_ms
        if client_timeout_ms is None:
            client_timeout_ms = route.timeout_ms
        timeout_ms = min(route.timeout_ms, client_timeout_ms)
        # A response that was started in time may take the rest of the time
        # that the client has.
        exchange.deadline_s = exchange.arrived_s + client_timeout_ms / MS_PER_S
        exchange.may_break_off = route.kind is RequestKind.DOWNLOAD
        return ForwardedRequest(
            exchange=exchange,
            info=info,
            route=route,
            service=service,
            caller=self.mesh.service,
            deadline_s=exchange.arrived_s + timeout_ms / MS_PER_S,
            depth=depth,
            account=admission.account,
            permit=self._authenticator.create_permit(admission),
        )

    def _publish_use(self, service: str) -> None:
        """Publish that a service is used, at most once in the interval."""
        now_s = self.context.clock()
        published_s = self._use_published_s_by_service.get(service, -inf)
        if now_s - published_s >= USE_NOTICE_INTERVAL_S:
            self._use_published_s_by_service[service] = now_s
            self.bus.publish(ServiceUsed(service))

    def _nesting_depth(self, request_id: str) -> int:
        """Return how many requests on this host wait for this one."""
        parent = parent_id(request_id)
        if parent not in self._running_by_request_id:
            return 0
        return 1 + self._nesting_depth(parent)

    def _publish_nested_call(self, request_id: str, service: str) -> None:
        """Publish a call that a request on this host makes."""
        parent_request_id = parent_id(request_id)
        if parent_request_id in self._running_by_request_id:
            self.bus.publish(NestedCallStarted(parent_request_id, service))

    def _count_daemons(self) -> int:
        """Return the number of daemons; one runs beside each server."""
        return len(self._records.by_instance)

    def _confirmation_age_s(self) -> float | None:
        age_s = self._authenticator.confirmation_age_s()
        return None if age_s is None else round(age_s, 2)


@MESH_PLUGINS.register('outbound')
def create_outbound(context: Context) -> OutboundTask:
    """Create the outbound task."""
    return OutboundTask(context)
