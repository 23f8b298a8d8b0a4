"""Calls as the decisions see them, independent of their encoding."""

from typing import NamedTuple

from bergamotshunt.operators.targets import Target
from bergamotshunt.verdicts import Verdict

HeaderItems = tuple[tuple[str, str], ...]


class LoadReport(NamedTuple):
    """Load of a backend server as its own daemon sees it.

    Attributes:
        in_flight: Requests running on the backend server.
        limit: Concurrency limit in force.
        queued: Requests that wait for a slot.
        latency_us: Smoothed latency of the backend server.
    """

    in_flight: int
    limit: int
    queued: int
    latency_us: int


class CallHead(NamedTuple):
    """What is known of a call before its body.

    Attributes:
        service: Service that is called.
        method: HTTP method, upper case.
        path: Path below the service, with the query string.
        headers: End-to-end headers, names in lower case.
        request_id: Identity of the call, checked on the response.
        deadline_ms: Monotonic time at which the caller gives up.
        target: The operators' target that the call belongs to.
        depth: Number of calls above this one in its call tree.
        internal: Whether the call is an internal check.
        booking_key: Idempotency key, or empty.
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


class Response(NamedTuple):
    """Whole response of a backend server.

    Attributes:
        status: HTTP status of the backend server.
        headers: End-to-end headers, names in lower case.
        body: The whole body.
        verdict: ``ran`` unless the backend server refused.
        load: Load report of the server's daemon, when it sent one.
    """

    status: int
    headers: HeaderItems
    body: bytes
    verdict: Verdict = Verdict.RAN
    load: LoadReport | None = None
