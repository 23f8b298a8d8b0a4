"""Calls in the form that decisions use, independent of their encoding."""

from typing import NamedTuple

from bergamotshunt.operators.targets import Target
from bergamotshunt.verdicts import Verdict

HeaderItems = tuple[tuple[str, str], ...]


class LoadReport(NamedTuple):
    """Load of a backend server as the daemon beside it sees it.

    Attributes:
        in_flight: Number of requests running on the backend server.
        limit: Concurrency limit in force.
        queued: Number of requests that wait for a slot.
        latency_us: Smoothed latency of the backend server, in microseconds.
    """

    in_flight: int
    limit: int
    queued: int
    latency_us: int


class CallHead(NamedTuple):
    """Properties of a call that are known before its body arrives.

    Attributes:
        service: Service that is called.
        method: HTTP method, upper case.
        path: Path below the service, with the query string.
        headers: End-to-end headers, names in lower case.
        request_id: Id of the call, which the response must contain.
        deadline_ms: Monotonic time at which the caller gives up, in
            milliseconds.
        target: The operators' target that the call belongs to.
        depth: Number of calls above this one in its call tree.
        internal: Whether the call is an internal check.
        booking_key: Idempotency key of a booking; empty for other calls.
    """

    service: str
    method: str
    path: str
    headers: HeaderItems
    request_id: str
    deadline_ms: float
    target: Target
    depth: int = 0
    internal: bool = False
    booking_key: str = ''


class CompleteResponse(NamedTuple):
    """Complete response of a backend server.

    Attributes:
        status: HTTP status of the backend server.
        headers: End-to-end headers, names in lower case.
        body: The complete body.
        verdict: ``ran`` unless the backend server refused the request.
        load: Load report of the daemon beside the server; None without one.
    """

    status: int
    headers: HeaderItems
    body: bytes
    verdict: Verdict = Verdict.RAN
    load: LoadReport | None = None
