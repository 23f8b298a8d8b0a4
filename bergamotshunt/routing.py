"""Routes, services and limits that the operator states."""

from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """What a request of a route may be repeated."""

    SAFE = 'safe'
    DOWNLOAD = 'download'
    UNSAFE = 'unsafe'


class WeightedService(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1


class Route(NamedTuple):
    """Where requests of a host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Host header that selects it.
        prefix: Begin of the path that selects it.
        kind: Whether a request may run more than once.
        timeout_ms: Longest time until the final response.
        goal_ms: Time within which a response is worth most.
        rank: Urgency; 0 is the highest.
        attempts: Most backend servers for one request.
        parts: Services with their weights; one without a split.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    latency_objective_ms: float
    priority: int
    attempts: int
    weighted_services: tuple[WeightedService, ...]

    @property
    def idempotent(self) -> bool:
        """Whether requests may run more than once."""
        return self.kind is not RequestKind.UNSAFE


class ServiceConfig(NamedTuple):
    """What the operator states of a service."""

    name: str
    health_path: str = '/'
    connections: int = 0


class ClientLimits(NamedTuple):
    """What a client may send, and how long it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class Routing(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        version: Grows with each configuration.
        routes_by_host: Routes of each host, longest prefix first.
        services_by_name: Services by their name.
        limits: Limits of clients.
        document: The configuration as it was written, for other daemons.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, ServiceConfig]
    limits: ClientLimits
    document: bytes = b''


class ServerState(StrEnum):
    """Whether a backend server takes new requests."""

    READY = 'ready'
    LEAVING = 'leaving'


class ServerEntry(NamedTuple):
    """A backend server as the daemon beside it announces it.

    Attributes:
        instance: Identity of the server's lifetime.
        born_ms: Start of that lifetime, ms since the epoch.
        sequence: Grows with each announcement of the lifetime.
        service: Service that it runs.
        zone: Availability zone.
        ip: Host of the server and of the daemon beside it.
        inbound_port: Port of the daemon for requests to the server.
        slots: Requests that it runs at a time.
        state: Whether it takes new requests.
        cold_ms: How much longer it is slow after its start.
        slot_share: Share of the slots that is worth taking, as its daemon
            learned; 0 when unknown.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    zone: str
    ip: str
    inbound_port: int
    slots: int
    state: ServerState
    cold_ms: float = 0
    slot_share: float = 0
