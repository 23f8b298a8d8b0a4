"""Guard: admits requests to the local backend server.

The peers port, which this task owns, is the only way for requests to the
server.
"""

from asyncio import Task as AsyncioTask
from asyncio import create_task, shield, sleep
from typing import Any, Final

from bergamotshunt.backend.guard_metrics import set_gauges
from bergamotshunt.backend.guarded_server import GuardedServer
from bergamotshunt.backend.server_gate import ServerGate
from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.decisions.server_health import Evidence
from bergamotshunt.http.web import CallerDisconnectedError, HttpServer
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task

# Every message that the task handles or publishes.
from bergamotshunt.messages import (  # noqa: WPS235
    ConfirmationChanged,
    DescribeLoad,
    DescribeTask,
    DrainRequested,
    EraChanged,
    HealthObserved,
    MembersChanged,
    PortBound,
    ServerStateChanged,
    ServeUntil,
    TargetsChanged,
)
from bergamotshunt.operators.targets import ServiceTargets
from bergamotshunt.peers.members import ServerState
from bergamotshunt.peers.peer_api import PEER_API_PREFIX
from bergamotshunt.peers.peer_serving import serve_endpoint

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
GAUGE_INTERVAL_S: Final = 1


class GuardTask(Task):
    """Owns the peers port and the backend server beside this daemon."""

    name = 'guard'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the port."""
        super().__init__(context)
        self.gate = ServerGate(self.publish_state)
        self.guarded_server = GuardedServer(self, self.gate)
        self.draining: AsyncioTask[None] | None = None
        self.http = HttpServer(
            self.serve,
            context.settings.daemon.ip,
            context.settings.daemon.peers_port,
        )

    async def open(self) -> None:
        """Listen on the peers port."""
        self.guarded_server.open()
        await self.http.open()
        self.bus.publish(PortBound('peers', self.http.port))

    async def start(self) -> None:
        """Start to publish booking eras and to update the gauges."""
        self.spawn(self.publish_eras())
        self.spawn(self.run_gauges())

    async def drain(self) -> None:
        """Refuse new requests and wait until all accepted ones ended."""
        if self.draining is None:
            self.gate.drain()
            self.draining = create_task(self.guarded_server.finish_and_drain())
        await shield(self.draining)

    async def finish(self) -> None:
        """Stop listening and send the rest of all responses."""
        await self.http.finish()

    async def close(self) -> None:
        """Close the port and the connections to the backend server."""
        await self.http.close()
        await super().close()
        if self.draining is not None:
            self.draining.cancel()
        await self.guarded_server.close()

    def publish_state(self, server_state: ServerState) -> None:
        """Publish the state of the backend server."""
        self.bus.publish(ServerStateChanged(server_state))

    async def publish_eras(self) -> None:
        """Publish each booking era when it begins."""
        era_ms = self.settings.bookings.era_s * MS_PER_S
        while True:
            era = self.guarded_server.advance_era()
            self.bus.publish(EraChanged(era))
            next_ms = self.guarded_server.started_ms + (era + 1) * era_ms
            await sleep(max(0, next_ms - self.now_ms()) / MS_PER_S)

    async def run_gauges(self) -> None:
        """Update the gauges periodically."""
        while True:
            keys = len(self.guarded_server.runs.table.by_key)
            set_gauges(self.guarded_server.load_report(), keys)
            await sleep(GAUGE_INTERVAL_S)

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request of a peer (ASGI)."""
        try:
            if scope['path'].startswith(PEER_API_PREFIX):
                await serve_endpoint(
                    self.bus,
                    scope['path'],
                    receive,
                    send,
                    self.settings.calls.max_body_bytes,
                )
            else:
                await self.guarded_server.serve(scope, receive, send)
        except CallerDisconnectedError:
            return


@HANDLERS.on(TargetsChanged)
def update_targets(task: GuardTask, message: TargetsChanged) -> None:
    """Store the targets of this server's service."""
    name = task.guarded_server.service.service
    by_service = message.target_set.by_service
    task.guarded_server.service = by_service.get(name, ServiceTargets(name))
    task.gate.has_targets = name in by_service


@HANDLERS.on(MembersChanged)
def update_members(task: GuardTask, message: MembersChanged) -> None:
    """Store the known members."""
    task.guarded_server.members_by_id = message.members_by_id


@HANDLERS.on(ConfirmationChanged)
def update_confirmation(task: GuardTask, message: ConfirmationChanged) -> None:
    """Refuse new requests while the targets are not confirmed."""
    task.gate.unconfirmed_detail = '' if message.confirmed else message.detail


@HANDLERS.on(ServeUntil)
def update_serve_deadline(task: GuardTask, message: ServeUntil) -> None:
    """Set the time until which the targets may be used."""
    task.gate.serve_until_ms = message.until_ms


@HANDLERS.on(HealthObserved)
def record_health(task: GuardTask, message: HealthObserved) -> None:
    """Record the result of a health probe."""
    evidence = Evidence.PROBE_FAILED
    if message.healthy:
        evidence = Evidence.PROBE_HEALTHY
    elif message.responded:
        evidence = Evidence.PROBE_UNHEALTHY
    task.gate.record_evidence(evidence, task.now_ms())


@HANDLERS.on(DrainRequested)
async def start_drain(task: GuardTask, _message: DrainRequested) -> None:
    """Drain at the request of an operator."""
    await task.drain()


@HANDLERS.on(DescribeLoad)
def describe_load(task: GuardTask, _message: DescribeLoad) -> LoadReport:
    """Return the current load."""
    return task.guarded_server.load_report()


@HANDLERS.on(DescribeTask)
def describe(task: GuardTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the state of the guard for the daemon's status."""
    return {
        'guard': {
            'server_state': task.gate.server_state.name.lower(),
            'draining': task.gate.draining,
            'load': task.guarded_server.load_report()._asdict(),
            'booking_keys': len(task.guarded_server.runs.table.by_key),
            'era': task.guarded_server.runs.table.era,
        },
    }


@PLUGINS.register('guard')
def create_guard(context: Context) -> GuardTask:
    """Create the guard task."""
    return GuardTask(context)
