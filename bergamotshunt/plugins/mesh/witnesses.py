"""Witnesses: remembers for other daemons that their servers leave."""

from bergamotshunt.decisions.leaving_records import LeavingRecords
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.mesh_messages import (
    LeavingRecordAsked,
    LeavingReported,
    ServerEntryReceived,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.routing import ServerEntry


class WitnessesTask(MeshTask):
    """Owns the entries of leaving servers of other hosts.

    A daemon reports its server before it acknowledges that it leaves; the
    next process on its host asks for it.
    """

    name = 'witnesses'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create a task that remembers nothing."""
        super().__init__(context)
        self._records = LeavingRecords()

    @handlers.on(LeavingReported)
    def record_leaving(self, message: LeavingReported) -> None:
        """Remember that a server leaves, and send it no more requests."""
        self._records.record(message.entry, self.context.clock())
        self.metrics.increment('leaving_servers_recorded')
        self.bus.publish(ServerEntryReceived(message.entry))

    @handlers.on(LeavingRecordAsked)
    def find_leaving(self, message: LeavingRecordAsked) -> ServerEntry | None:
        """Return what is remembered of a host's server."""
        return self._records.find(message.ip, self.context.clock())


@MESH_PLUGINS.register('witnesses')
def create_witnesses(context: Context) -> WitnessesTask:
    """Create the witnesses task."""
    return WitnessesTask(context)
