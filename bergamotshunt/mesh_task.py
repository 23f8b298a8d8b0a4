"""Base classes of the tasks of a mesh daemon."""

from typing import Any

from bergamotshunt.http.connection_ends import (
    CLOSED_BY_CLIENT,
    ConnectionEnd,
    OpenConnections,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.kernel import Context, HandlerTable, Task
from bergamotshunt.mesh_messages import (
    DescribeConnections,
    DescribeMetrics,
    DescribeState,
)
from bergamotshunt.mesh_settings import Address, MeshSettings
from bergamotshunt.request_log import RequestLog
from bergamotshunt.task_metrics import Snapshot, TaskMetrics


def settings_of(context: Context) -> MeshSettings:
    """Return the mesh settings of the context.

    Raises:
        ValueError: The context has no mesh settings.
    """
    if context.mesh is None:
        raise ValueError('the context of the daemon has no mesh settings')
    return context.mesh


class MeshTask(Task):
    """Base of all mesh tasks: adds mesh settings, metrics and state.

    Attributes:
        mesh: Settings of the daemon.
        metrics: Metric series of this task.
    """

    def __init_subclass__(cls) -> None:
        """Register the handlers that all mesh tasks share."""
        super().__init_subclass__()
        if 'handlers' not in cls.__dict__:
            cls.handlers = HandlerTable()
        cls.handlers.on(DescribeMetrics)(cls.describe_metrics)
        cls.handlers.on(DescribeState)(cls.describe_state)

    def __init__(self, context: Context) -> None:
        """Create the task.

        Raises:
            ValueError: The context has no mesh settings.
        """
        super().__init__(context)
        self.mesh = settings_of(context)
        self.metrics = TaskMetrics()

    def describe_metrics(self, _message: DescribeMetrics) -> Snapshot:
        """Return the metric series of this task."""
        self.update_gauges()
        return self.metrics.snapshot()

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return the task's part of the status; empty by default."""
        return {}

    def update_gauges(self) -> None:
        """Update gauges; called before each snapshot of the series."""


class ListeningTask(MeshTask):
    """Base of mesh tasks that serve requests on one address.

    Args:
        context: Context of the daemon.
        address: Address to listen on.
    """

    def __init_subclass__(cls) -> None:
        """Register the handlers that all listening tasks share."""
        super().__init_subclass__()
        cls.handlers.on(DescribeConnections)(cls.describe_connections)

    def __init__(self, context: Context, address: Address) -> None:
        """Create the task; ``open`` binds the socket."""
        super().__init__(context)
        self._listener = Listener(
            self.serve,
            on_connection_end=self._record_connection_end,
            create_close_notice=self.create_close_notice,
        )
        self._address = address
        self._log = RequestLog(context.clock)

    async def open(self) -> None:
        """Listen on the address."""
        await self._listener.open(self._address.ip, self._address.port)

    async def drain(self) -> None:
        """Close each connection after its next response from now on."""
        self._listener.close_after_responses()

    async def finish(self) -> None:
        """Close idle connections and wait until the others are idle."""
        self._listener.close_idle()
        await self._listener.wait_until_idle()

    async def close(self) -> None:
        """Stop listening and abort the connections that are left."""
        await self._listener.close()
        await super().close()

    async def serve(self, exchange: Exchange) -> None:
        """Serve one request; subclasses implement this."""
        raise NotImplementedError

    def create_close_notice(self) -> bytes:
        """Return what an idle connection sends before it closes."""
        return b''

    def describe_connections(
        self, _message: DescribeConnections
    ) -> OpenConnections:
        """Return the state of the open connections."""
        return self._listener.describe_connections()

    def _record_connection_end(self, end: ConnectionEnd) -> None:
        """Count and log a connection that ended before its responses."""
        if end.complete:
            return
        self.metrics.increment(
            'connections_ended_incomplete', reason=end.reason.value
        )
        self._log.write(
            'connection:ended-incomplete',
            failed=end.reason not in CLOSED_BY_CLIENT,
            task=self.name,
            **end._asdict(),
        )
