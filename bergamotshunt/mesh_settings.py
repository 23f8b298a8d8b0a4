"""Settings of a daemon that runs in a mesh beside its backend server."""

from typing import Final, NamedTuple

DEFAULT_DRAIN_MS: Final = 2000
DEFAULT_GRACE_S: Final = 6.0


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return the form ``ip:port``."""
        return f'{self.ip}:{self.port}'


class Bounds(NamedTuple):
    """Bounds that the daemon keeps.

    Attributes:
        drain_ms: Time after which a leaving server gets no request.
        grace_s: Time from SIGTERM to SIGKILL.
        retry_ratio: Extra arrivals a request, for the whole fleet.
        retry_slack: Extra arrivals in a window, beside the ratio.
        retry_window_s: Length of that window.
    """

    drain_ms: int = DEFAULT_DRAIN_MS
    grace_s: float = DEFAULT_GRACE_S
    retry_ratio: float = 0.1
    retry_slack: float = 0
    retry_window_s: float = 10


class MeshSettings(NamedTuple):
    """Identity, place and addresses of one daemon.

    Attributes:
        daemon_id: Name of this daemon.
        ip: Address of the host.
        zone: Availability zone of the host.
        service: Service of the backend server on the host.
        server: Address of the backend server.
        outbound: Where clients of this host send requests.
        inbound: Where other daemons send requests for the server.
        control: Where the backend server announces itself.
        ready: Where the readiness of the daemon is asked.
        datagram_port: UDP port of load reports, the same on all hosts.
        metrics: Where the daemon shows its metrics.
        store: Address of the key-value store.
        min_lease_ms: Shortest lease that the store grants.
        bounds: Bounds that the daemon keeps.
    """

    daemon_id: str
    ip: str
    zone: str
    service: str
    server: Address
    outbound: Address
    inbound: Address
    control: Address
    ready: Address
    datagram_port: int
    metrics: Address
    store: Address
    min_lease_ms: int = 1000
    bounds: Bounds = Bounds()
