"""Base of the tasks of a daemon in a mesh."""

from typing import Any

from bergamotshunt.task_metrics import TaskMetrics, Snapshot
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.kernel import Context, HandlerTable, Task
from bergamotshunt.mesh_messages import DescribeBeliefs, DescribeCounts
from bergamotshunt.mesh_settings import Address, MeshSettings


def settings_of(context: Context) -> MeshSettings:
    """Return the settings of the mesh.

    Raises:
        ValueError: The context has none.
    """
    if context.mesh is None:
        raise ValueError('the daemon has no settings of a mesh')
    return context.mesh


class MeshTask(Task):
    """A task that knows its place in the mesh and counts what it does.

    Attributes:
        mesh: Settings of the daemon.
        counts: Series of this task.
    """

    def __init_subclass__(cls) -> None:
        """Give each kind of task the handlers that all of them have."""
        super().__init_subclass__()
        if 'handlers' not in cls.__dict__:
            cls.handlers = HandlerTable()
        cls.handlers.on(DescribeCounts)(cls.describe_counts)
        cls.handlers.on(DescribeBeliefs)(cls.describe_beliefs)

    def __init__(self, context: Context) -> None:
        """Create the task.

        Raises:
            ValueError: The context has no settings of a mesh.
        """
        super().__init__(context)
        self.mesh = settings_of(context)
        self.counts = TaskMetrics()

    def describe_counts(self, _message: DescribeCounts) -> Snapshot:
        """Return the series of this task."""
        self.note_gauges()
        return self.counts.snapshot()

    def describe_beliefs(self, _message: DescribeBeliefs) -> dict[str, Any]:
        """Return what the task believes, by name; empty for most tasks."""
        return {}

    def note_gauges(self) -> None:
        """Bring gauges up to date before they are read."""


class ListeningTask(MeshTask):
    """A task that answers requests on one address.

    Args:
        context: What all tasks share.
        address: Where it listens.
    """

    def __init__(self, context: Context, address: Address) -> None:
        """Create the task without a socket."""
        super().__init__(context)
        self._listener = Listener(self.serve)
        self._address = address

    async def open(self) -> None:
        """Listen."""
        await self._listener.open(self._address.ip, self._address.port)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        await self._listener.close()
        await super().close()

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request."""
        raise NotImplementedError
