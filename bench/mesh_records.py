"""What clients, backend servers and the platform observe in a soak."""

from collections import defaultdict
from enum import Enum
from typing import Final, NamedTuple

from standins.mesh_backend import ServerRun

# Time from SIGTERM to SIGKILL, and further bounds of the platform.
GRACE_S: Final = 6.0
DRAIN_MS: Final = 2000
CONTACT_S: Final = 3.0


class Outcome(Enum):
    """How a request ended for its client."""

    COMPLETE = 'complete'
    TRUNCATED = 'truncated'
    CLOSED = 'closed without a response'
    NOT_READ = 'sent behind a response that closed the connection'
    LEFT = 'the client left'
    OVERDUE = 'no complete response within the limit of the client'


class ClientRequest(NamedTuple):
    """A request of a client.

    Attributes:
        request_id: Id of the client's attempt.
        kind: ``safe``, ``unsafe`` or ``version``.
        path: Path, with the work and the size of the response at its end.
        size: Size of the response body in bytes.
        sent_bytes: Size of the request body in bytes.
        read_s: Time over which the client reads the response body.
        leave_s: Time after which the client leaves; 0 if it doesn't.
    """

    request_id: str
    kind: str
    path: str
    size: int = 0
    sent_bytes: int = 0
    read_s: float = 0
    leave_s: float = 0


class RequestRecord(NamedTuple):
    """A request as its client saw it.

    Attributes:
        request: The request.
        host: Name of the host.
        lifetime: Number of the daemon process on that host.
        sent_s: Monotonic time in seconds.
        ended_s: Time of the end of the response or of the connection.
        outcome: How it ended.
        status: Status of the response; 0 without one.
        received_bytes: Bytes of the response body that were read.
        mismatch: Difference from the server's response; empty for none.
    """

    request: ClientRequest
    host: str
    lifetime: int
    sent_s: float
    ended_s: float
    outcome: Outcome
    status: int = 0
    received_bytes: int = 0
    mismatch: str = ''


class ProcessExit(NamedTuple):
    """End of a daemon process.

    Attributes:
        host: Name of the host.
        lifetime: Number of the process on that host.
        at_s: Monotonic time in seconds.
        code: Exit code; negative for a signal.
        stopped_s: Time of the first SIGTERM; 0 for none.
        killed: Whether SIGKILL was sent by a fault.
        frozen_s: Time for which it was frozen after SIGTERM.
    """

    host: str
    lifetime: int
    at_s: float
    code: int
    stopped_s: float
    killed: bool
    frozen_s: float


class Fault(NamedTuple):
    """Period of an unplanned fault."""

    name: str
    host: str
    start_s: float
    end_s: float


class Stop(NamedTuple):
    """First SIGTERM to a daemon process."""

    host: str
    lifetime: int
    at_s: float


class Leaving(NamedTuple):
    """Acknowledgement that a server is leaving."""

    instance: str
    born_ms: int
    at_s: float


class History:
    """All observations of one soak.

    Attributes:
        requests: Requests of clients.
        runs: Runs at backend servers.
        exits: Ended daemon processes.
        stops: SIGTERM to daemon processes.
        faults: Unplanned faults.
        leavings: Acknowledgements of leaving servers.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self.requests: list[RequestRecord] = []
        self.runs: list[ServerRun] = []
        self.exits: list[ProcessExit] = []
        self.stops: list[Stop] = []
        self.faults: list[Fault] = []
        self.leavings: list[Leaving] = []

    def runs_by_request_id(self) -> dict[str, list[ServerRun]]:
        """Return the runs by id of the request."""
        by_id = defaultdict(list)
        for run in self.runs:
            by_id[run.request_id].append(run)
        return by_id

    def is_calm(self, start_s: float, end_s: float) -> bool:
        """Return whether no fault is near a period."""
        return all(
            fault.end_s + CONTACT_S < start_s or fault.start_s > end_s
            for fault in self.faults
        )
