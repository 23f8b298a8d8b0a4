"""Messages between the tasks of a daemon in a mesh."""

from typing import NamedTuple

from bergamotshunt.backend.loads import Load, LoadReport
from bergamotshunt.routing import Routing, ServerEntry


class RoutingChanged(NamedTuple):
    """A newer configuration is in force here."""

    routing: Routing


class ServersChanged(NamedTuple):
    """The backend servers that this daemon knows.

    Attributes:
        servers_by_instance: All of them; nobody changes this mapping.
    """

    servers_by_instance: dict[str, ServerEntry]


class OwnServerChanged(NamedTuple):
    """The backend server on this host announced itself.

    Attributes:
        entry: What it said.
    """

    entry: ServerEntry


class StoredServerFound(NamedTuple):
    """The store still has the entry that an earlier process wrote.

    Attributes:
        entry: The entry of the backend server on this host.
    """

    entry: ServerEntry


class OwnLoadChanged(NamedTuple):
    """The load of the backend server on this host changed.

    Attributes:
        instance: Lifetime of the server.
        load: Its load.
        urgent: Whether peers should hear of it at once.
    """

    instance: str
    load: Load
    urgent: bool


class LocalRequestChanged(NamedTuple):
    """The backend server on this host begins or ends to run a request."""

    request_id: str
    running: bool


class SlotShareEstimated(NamedTuple):
    """The daemon knows which share of its server's slots is worth taking."""

    share: float


class NestedCallStarted(NamedTuple):
    """A request that the server on this host runs makes a call.

    Attributes:
        run_id: Identity of the request that runs.
        service: Where the call goes.
    """

    parent_request_id: str
    service: str


class LoadReceived(NamedTuple):
    """A report of another daemon arrived."""

    report: LoadReport


class ServerEntryReceived(NamedTuple):
    """Another daemon told what its server announced.

    Attributes:
        entry: The announcement.
    """

    entry: ServerEntry


class ServiceUsed(NamedTuple):
    """Requests for a service begin on this host."""

    service: str


class PeerVersionReceived(NamedTuple):
    """Another daemon has a configuration of this version.

    Attributes:
        version: Version in force there.
        ip: Host of that daemon.
    """

    version: int
    ip: str


class StopAnnounced(NamedTuple):
    """The daemon was told to stop; peers should choose others."""


class DescribeCounts(NamedTuple):
    """Question to all tasks: what did you count?"""


class DescribeState(NamedTuple):
    """Question to all tasks: what do you believe, and since when?"""
