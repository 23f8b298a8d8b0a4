"""Routes, services and limits from the operator's configuration."""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import Final, NamedTuple

# Each field has the check of its kind.
from bergamotshunt.value_checks import (  # noqa: WPS235
    MAX_INTEGER,
    MAX_SLOTS,
    check_header_text,
    check_integer,
    check_ipv4,
    check_number,
    check_path,
    check_port,
    check_string,
    check_text,
)

# Bytes or milliseconds; as a time, it is about 35 years.
MAX_LIMIT: Final = 2**40


class RequestKind(StrEnum):
    """Kind of the requests of a route, which decides if they may run twice.

    Safe requests and downloads may be sent again; unsafe requests and uploads
    may not.
    """

    SAFE = 'safe'
    DOWNLOAD = 'download'
    UNSAFE = 'unsafe'
    UPLOAD = 'upload'


IDEMPOTENT_KINDS: Final = frozenset((RequestKind.SAFE, RequestKind.DOWNLOAD))


class WeightedService(NamedTuple):
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share relative to the other services' weights.
    """

    service: str
    weight: float = 1


class Route(NamedTuple):
    """Destination of the requests of a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host header that selects it.
        prefix: Path prefix that selects it.
        kind: Kind of the requests, which decides if they may run twice.
        timeout_ms: Maximum time until the final response.
        latency_objective_ms: Time within which responses should arrive; a
            later response is worth less.
        priority: Priority of the requests; 0 is the highest.
        attempts: Maximum number of attempts that may have run a request;
            refused ones do not count.
        weighted_services: Services with their weights; a single one if the
            traffic is not split.
        requires_key: Whether requests need the API key of a client account,
            if the configuration has accounts.
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
    requires_key: bool = True

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in IDEMPOTENT_KINDS


class ServiceConfig(NamedTuple):
    """Configuration of a service.

    Attributes:
        name: Name of the service.
        health_path: Path of health probes.
        connections: Maximum number of connections to a backend server; 0
            if the operator gives none.
        cold_rate: Requests per second that a backend server bears while it
            is cold; 0 if the operator gives none.
    """

    name: str
    health_path: str = '/'
    connections: int = 0
    cold_rate: float = 0


class ClientAccount(NamedTuple):
    """A client account, which API keys identify.

    Attributes:
        name: Name of the account.
        priority: Priority of its requests, in place of the route's; 0 is the
            highest. None if the account has none.
        rate_per_s: Quota in requests per second; 0 for no quota.
        burst: Requests above the rate that the quota allows in a window.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


class ClientLimits(NamedTuple):
    """Limits of the size and duration of clients' requests.

    Attributes:
        head_bytes: Maximum size of the request line and the headers.
        body_bytes: Maximum size of the body.
        head_timeout_ms: Maximum time from the first byte of a request to
            the end of its headers.
        idle_timeout_ms: Time without a request after which a connection is
            closed.
    """

    head_bytes: int = 16_384
    body_bytes: int = 67_108_864
    head_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class Routing(NamedTuple):
    """One version of the operator's configuration.

    Attributes:
        version: Increases with each configuration.
        routes_by_host: Routes of each host, longest prefix first.
        services_by_name: Services by name.
        limits: Limits of clients' requests.
        document: The encoded configuration, to serve to other daemons.
        accounts_by_name: Client accounts by name.
        accounts_by_key: The account of each API key.
        needs_keys: Whether requests need a key. It is set also when no
            account could be read.
        left_out: Names of the entries that could not be read.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, ServiceConfig]
    limits: ClientLimits
    document: bytes = b''
    accounts_by_name: Mapping[str, ClientAccount] = MappingProxyType({})
    accounts_by_key: Mapping[str, ClientAccount] = MappingProxyType({})
    needs_keys: bool = False
    left_out: tuple[str, ...] = ()

    @property
    def has_quotas(self) -> bool:
        """Whether an account has a quota."""
        return any(
            account.rate_per_s > 0 for account in self.accounts_by_name.values()
        )

    def __repr__(self) -> str:
        """Return a text without the API keys."""
        return f'Routing(version={self.version})'


class AnnouncedState(StrEnum):
    """Whether a backend server announces that it accepts new requests."""

    READY = 'ready'
    LEAVING = 'leaving'
    # Final: no announcement of the same incarnation follows.
    DEREGISTERED = 'deregistered'


class ServerEntry(NamedTuple):
    """A backend server as it announced itself to the daemon beside it.

    That daemon writes the entry to the store and sends it to its peers.

    Attributes:
        instance: Instance id of the server.
        born_ms: Start of its process, ms since the epoch; distinguishes the
            incarnations of an instance.
        sequence: Increases with each announcement of an incarnation.
        service: Service that it provides.
        zone: Availability zone.
        ip: IP address of the server and of the daemon beside it.
        inbound_port: Port of the daemon for requests to the server.
        slots: Maximum number of requests that it runs concurrently.
        state: Whether it accepts new requests.
        cold_ms: Time until it has warmed up after its start.
        slot_share: Share of the slots with which the server completes the
            most work, as its daemon estimates it; 0 when unknown.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    zone: str
    ip: str
    inbound_port: int
    slots: int
    state: AnnouncedState
    cold_ms: float = 0
    slot_share: float = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the server accepts no new requests."""
        return self.state is not AnnouncedState.READY


def check_route(route: Route) -> Route:
    """Check a route that another writer may have produced.

    Raises:
        ValueError: A value is not allowed.
    """
    # An unusual host or prefix matches no request and does no harm.
    check_string('host', route.host)
    check_string('prefix', route.prefix)
    check_number('timeout', route.timeout_ms)
    check_number('latency objective', route.latency_objective_ms)
    check_integer('priority', route.priority, -MAX_INTEGER)
    check_integer('attempts', route.attempts)
    for service in route.weighted_services:
        check_header_text('service', service.service)
        check_number('weight', service.weight)
    return route


def check_service(service: ServiceConfig) -> ServiceConfig:
    """Check the configuration of a service.

    Raises:
        ValueError: A value is not allowed.
    """
    check_path('health path', service.health_path)
    check_integer('connections', service.connections)
    check_number('cold rate', service.cold_rate)
    return service


def check_account(account: ClientAccount) -> ClientAccount:
    """Check a client account.

    Raises:
        ValueError: A value is not allowed.
    """
    check_header_text('account', account.name)
    if account.priority is not None:
        check_integer('priority', account.priority, -MAX_INTEGER)
    check_number('rate', account.rate_per_s)
    check_number('burst', account.burst)
    return account


def check_limits(limits: ClientLimits) -> ClientLimits:
    """Check limits of clients' requests.

    Raises:
        ValueError: A value is not allowed.
    """
    for name, limit in limits._asdict().items():
        check_integer(name, limit, maximum=MAX_LIMIT)
    return limits


def check_server_entry(entry: ServerEntry) -> ServerEntry:
    """Check an entry that another writer may have produced.

    Raises:
        ValueError: A value is not allowed.
    """
    return entry._replace(
        instance=check_header_text('instance', entry.instance),
        born_ms=check_integer('start time', entry.born_ms),
        sequence=check_integer('sequence', entry.sequence),
        service=check_header_text('service', entry.service),
        zone=check_text('zone', entry.zone),
        ip=check_ipv4('ip', entry.ip),
        inbound_port=check_port('port', entry.inbound_port),
        slots=check_integer('slots', entry.slots, 1, MAX_SLOTS),
        cold_ms=check_number('warm-up time', entry.cold_ms),
        slot_share=check_number('slot share', entry.slot_share, 0, 1),
    )
