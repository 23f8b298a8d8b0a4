"""Readiness: reports whether this daemon can serve requests of clients."""

from http import HTTPStatus
from typing import Any

from bergamotshunt.decisions.loop_failures import LoopFailures
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (
    DescribeState,
    RoutingChanged,
    ServersChanged,
    StopRequested,
)
from bergamotshunt.mesh_task import ListeningTask, settings_of
from bergamotshunt.messages import LoopFailed
from bergamotshunt.platform.announcements import READY_PATH


class ReadinessTask(ListeningTask):
    """Serves the readiness check of this daemon."""

    name = 'readiness'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task; the daemon is not ready yet."""
        super().__init__(context, settings_of(context).ready)
        self._has_routing = False
        self._server_count = 0
        self._stopping = False
        self._was_ready = False
        self._loop_failures = LoopFailures()

    @property
    def ready(self) -> bool:
        """Whether this daemon can serve requests.

        Routes and a server are known, no stop is in progress, and no loop
        of a task fails again and again.
        """
        return (
            self._has_routing
            and bool(self._server_count)
            and not self._stopping
            and not self._failing_loops()
        )

    @handlers.on(RoutingChanged)
    def handle_routing(self, _message: RoutingChanged) -> None:
        """Record that the daemon has a configuration."""
        self._has_routing = True
        self._log_change()

    @handlers.on(ServersChanged)
    def update_server_count(self, message: ServersChanged) -> None:
        """Store the number of known backend servers."""
        self._server_count = len(message.servers_by_instance)
        self._log_change()

    @handlers.on(StopRequested)
    def handle_stop(self, _message: StopRequested) -> None:
        """Report from now on that the daemon is not ready."""
        self._stopping = True
        self._log_change()

    @handlers.on(LoopFailed)
    def handle_loop_failure(self, message: LoopFailed) -> None:
        """Count a loop that ended with an error."""
        self.metrics.increment(
            'loop_failures', task=message.task, loop=message.loop
        )
        self._loop_failures.record(
            f'{message.task}.{message.loop}', self.context.clock()
        )
        self._log_change()

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return whether the daemon is ready, and its failing loops."""
        return {
            'readiness': {
                'ready': self.ready,
                'failing_loops': self._failing_loops(),
            },
        }

    async def serve(self, exchange: Exchange) -> None:
        """Serve a readiness check."""
        self._log_change()
        path = exchange.head.target.decode('latin-1').partition('?')[0]
        status = HTTPStatus.SERVICE_UNAVAILABLE
        if path != READY_PATH:
            status = HTTPStatus.NOT_FOUND
        elif self.ready:
            status = HTTPStatus.OK
        exchange.respond(status, [])

    def _failing_loops(self) -> list[str]:
        return self._loop_failures.failing_loops(self.context.clock())

    def _log_change(self) -> None:
        if self.ready == self._was_ready:
            return
        self._was_ready = self.ready
        log_event(
            'readiness:changed',
            ready=self.ready,
            routed=self._has_routing,
            servers=self._server_count,
            stopping=self._stopping,
            failing_loops=self._failing_loops(),
        )


@MESH_PLUGINS.register('readiness')
def create_readiness(context: Context) -> ReadinessTask:
    """Create the readiness task."""
    return ReadinessTask(context)
