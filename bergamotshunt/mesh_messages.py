"""Messages between the tasks of a mesh daemon."""

from typing import NamedTuple

from bergamotshunt.backend.loads import InstanceLoadReport, Load
from bergamotshunt.decisions.configuration_confirmation import Confirmation
from bergamotshunt.decisions.evacuations import Evacuations
from bergamotshunt.decisions.past_knowledge import PastKnowledge
from bergamotshunt.decisions.store_contact import StoreContact
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.routing import Routing, ServerEntry


class DescribeConnections(NamedTuple):
    """Request for the ``OpenConnections`` of all listeners."""


class RoutingChanged(NamedTuple):
    """A newer configuration is in force here."""

    routing: Routing


class ConfigurationConfirmed(NamedTuple):
    """The configuration in force here was the newest at a moment.

    Attributes:
        version: Its version.
        confirmed_s: Boot time at which the read of the store started that
            confirms it.
    """

    version: int
    confirmed_s: float


class OwnConfirmationAdvanced(NamedTuple):
    """The confirmation of the configuration in force may be passed on.

    Attributes:
        confirmation: It, with the store revision of the configuration.
    """

    confirmation: Confirmation


class PeerConfirmationReceived(NamedTuple):
    """The peer that this daemon follows passed on a confirmation.

    Attributes:
        confirmation: It, in boot time of this host.
        ip: IP address of the peer.
    """

    confirmation: Confirmation
    ip: str


class ConfirmationFailing(NamedTuple):
    """Whether the store answers the checks of the configuration.

    Attributes:
        failing: Whether the last one was not answered.
    """

    failing: bool


class EvacuationsChanged(NamedTuple):
    """The operator evacuates availability zones, or takes them back.

    Attributes:
        zones: All zones whose backend servers must get no new request.
    """

    zones: frozenset[str]


class EvacuationsRead(NamedTuple):
    """The store told this daemon which zones the operator evacuates.

    Attributes:
        evacuations: The zones and the position of the store.
    """

    evacuations: Evacuations


class Member(NamedTuple):
    """A daemon that owns shares of the fleet's state.

    Attributes:
        ip: IP address of its host.
        zone: Availability zone of the host.
    """

    ip: str
    zone: str


class MembersChanged(NamedTuple):
    """The members of the fleet, by the entries in the store alone.

    All daemons in contact with the store derive the same members from it,
    directly or through peers, within a second or so.

    Attributes:
        members: Daemons beside a ready server; one whose entry is gone stays
            a member for some seconds, as entries that lapsed with a lease
            during an outage come back.
        own_since_s: Boot time since which this host has been a member
            without a gap, as an earlier process on it recorded; None when
            unknown.
    """

    members: frozenset[Member]
    own_since_s: float | None


class ServersChanged(NamedTuple):
    """The backend servers that this daemon knows.

    Attributes:
        servers_by_instance: All servers; no task modifies this mapping.
    """

    servers_by_instance: dict[str, ServerEntry]


class OwnServerChanged(NamedTuple):
    """The backend server on this host announced itself.

    Attributes:
        entry: The announced entry.
    """

    entry: ServerEntry


class StoredServerRead(NamedTuple):
    """The store and the witnesses have told what an earlier process knew.

    Its server may still run, and the estimates in the entry then still hold.

    Attributes:
        entry: The newest entry of the backend server on this host; None if
            nobody has one.
        past: How much is known of what an earlier process acknowledged.
    """

    entry: ServerEntry | None
    past: PastKnowledge = PastKnowledge.CERTAIN

    @property
    def is_certain(self) -> bool:
        """Whether the server has surely not left since."""
        return self.past is PastKnowledge.CERTAIN


class ServerFoundRunning(NamedTuple):
    """A health check has found the server of a stored entry, or a held one.

    Attributes:
        entry: The entry of the server.
    """

    entry: ServerEntry


class AnnouncementHeld(NamedTuple):
    """An announcement waits until the server itself tells that it runs.

    Attributes:
        entry: The entry of the server that it announces.
    """

    entry: ServerEntry


class LeavingReported(NamedTuple):
    """The daemon of another host has acknowledged that its server leaves.

    Attributes:
        entry: Entry of the server, to be kept for that daemon's next process.
    """

    entry: ServerEntry


class LeavingRecordAsked(NamedTuple):
    """A new process asks whether the server of its host leaves.

    The reply is a ``LeavingRecord``.

    Attributes:
        ip: Address of the host.
    """

    ip: str


class LeavingRecord(NamedTuple):
    """What this daemon can tell of the leaving server of another host.

    Attributes:
        entry: The entry that was reported; None without one.
        remembers_all: Whether it has heard of all that still matters.
        witnesses: Whom it would choose as witnesses of that host.
    """

    entry: ServerEntry | None
    remembers_all: bool
    witnesses: tuple[FeedPeer, ...]


class OwnLoadChanged(NamedTuple):
    """The load of the backend server on this host changed.

    Attributes:
        instance: Instance id of the server.
        load: Its load.
        urgent: Whether peers should receive it at once.
    """

    instance: str
    load: Load
    urgent: bool


class LocalRequestChanged(NamedTuple):
    """The backend server on this host started or ended a request.

    Attributes:
        request_id: Id of the request.
        running: True when it started, False when it ended.
    """

    request_id: str
    running: bool


class SlotShareEstimated(NamedTuple):
    """The daemon has a new estimate of the useful share of server slots.

    Attributes:
        share: Share of the slots with which the server completes the most
            work; with all slots taken, the work of some services slows down.
    """

    share: float


class NestedCallStarted(NamedTuple):
    """A request that runs on this host started a call to a service.

    Attributes:
        parent_request_id: Identity of the request that makes the call.
        service: Service that it calls.
    """

    parent_request_id: str
    service: str


class LoadReceived(NamedTuple):
    """A load report of this or another daemon arrived."""

    report: InstanceLoadReport


class ServerEntryReceived(NamedTuple):
    """Another daemon sent the entry of its server.

    Attributes:
        entry: Entry that the server announced.
    """

    entry: ServerEntry


class ServiceUsed(NamedTuple):
    """Clients on this host use a service; published from time to time."""

    service: str


class OwnServiceUsed(NamedTuple):
    """Clients of some host use the service of this host's server."""


class PeerVersionReceived(NamedTuple):
    """Another daemon has a configuration of this version.

    Attributes:
        version: Version in force at that daemon.
        ip: IP address of that daemon.
    """

    version: int
    ip: str


class StoreContactChanged(NamedTuple):
    """Calls to the store fail, or are answered again after a failure.

    Attributes:
        contact: What the calls of this daemon tell of the store.
    """

    contact: StoreContact


class StoreReadingChanged(NamedTuple):
    """This daemon starts or ceases to watch the store.

    Attributes:
        reading: Whether it does; otherwise it follows a peer that does.
    """

    reading: bool


class StoreEraSeen(NamedTuple):
    """A response of the store, or a peer, stated an era.

    Attributes:
        era: The first era that this task saw, or a later one than before.
    """

    era: int


class ConfigurationMissed(NamedTuple):
    """A peer had a newer configuration than the watch had delivered."""


class StopRequested(NamedTuple):
    """The daemon was asked to stop and starts to drain."""


class DescribeMetrics(NamedTuple):
    """Request to all tasks for a snapshot of their metric series."""


class DescribeState(NamedTuple):
    """Request to all tasks for their part of the status document."""
