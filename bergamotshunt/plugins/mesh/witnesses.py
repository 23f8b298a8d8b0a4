"""Witnesses: remembers for other daemons that their servers leave."""

from bergamotshunt.decisions.leaving_records import (
    LeavingRecords,
    choose_witnesses,
)
from bergamotshunt.decisions.past_knowledge import (
    RecentDaemons,
    remembers_all,
)
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.mesh_messages import (
    LeavingRecord,
    LeavingRecordAsked,
    LeavingReported,
    ServerEntryReceived,
    ServersChanged,
)
from bergamotshunt.mesh_task import MeshTask


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
        self._recent_daemons = RecentDaemons()
        self._started_s = context.clock()

    @handlers.on(LeavingReported)
    def record_leaving(self, message: LeavingReported) -> None:
        """Remember that a server leaves, and send it no more requests."""
        self._records.record(message.entry, self.context.clock())
        self.metrics.increment('leaving_servers_recorded')
        self.bus.publish(ServerEntryReceived(message.entry))

    @handlers.on(ServersChanged)
    def update_daemons(self, message: ServersChanged) -> None:
        """Remember the daemons that other hosts may have as witnesses."""
        self._recent_daemons.update(
            (
                FeedPeer(entry.ip, entry.inbound_port, entry.zone)
                for entry in message.servers_by_instance.values()
            ),
            self.context.clock(),
        )

    @handlers.on(LeavingRecordAsked)
    def find_leaving(self, message: LeavingRecordAsked) -> LeavingRecord:
        """Return what is remembered of a host's server, and by whom else."""
        now_s = self.context.clock()
        return LeavingRecord(
            self._records.find(message.ip, now_s),
            remembers_all(
                self._started_s,
                now_s,
                is_first_start=self.mesh.is_first_start,
            ),
            choose_witnesses(
                message.ip, self._recent_daemons.list_known(now_s)
            ),
        )


@MESH_PLUGINS.register('witnesses')
def create_witnesses(context: Context) -> WitnessesTask:
    """Create the witnesses task."""
    return WitnessesTask(context)
