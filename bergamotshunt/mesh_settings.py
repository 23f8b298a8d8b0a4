"""Settings of a mesh daemon, which runs beside its backend server."""

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
    """Limits that the platform sets for the daemon.

    The retry limits hold for the fleet as a whole: retries and hedges together
    may not exceed ``retry_ratio`` times the requests plus ``retry_slack`` in
    each window.

    Attributes:
        drain_ms: Time after which a leaving server gets no new request.
        grace_s: Time from SIGTERM to SIGKILL.
        retry_ratio: Extra attempts (retries and hedges) per request.
        retry_slack: Extra attempts per window in addition to the ratio.
        retry_window_s: Length of the window.
        strict_revoke: Whether a withdrawn key must be refused everywhere,
            also without contact to the store.
        revoke_ms: Time after which a withdrawn key is refused.
        config_apply_ms: Time after which a configuration is in force at
            daemons in contact.
        quota_window_s: Length of the window of quotas.
        quota_overage: Share of a quota by which a window may exceed it.
        quota_slack: Requests by which a window may exceed it besides.
        cold_overage: Allowed requests to a cold server within a second, as
            a multiple of its rate.
        cold_slack: Requests by which they may exceed it besides.
    """

    drain_ms: int = DEFAULT_DRAIN_MS
    grace_s: float = DEFAULT_GRACE_S
    retry_ratio: float = 0.1
    retry_slack: float = 0
    retry_window_s: float = 10
    strict_revoke: bool = False
    revoke_ms: int = 5000
    config_apply_ms: int = 2500
    quota_window_s: float = 5
    quota_overage: float = 0.1
    quota_slack: float = 20
    cold_overage: float = 1.5
    cold_slack: float = 8


class MeshSettings(NamedTuple):
    """Identity, location and addresses of one daemon.

    Attributes:
        daemon_id: Name of this daemon.
        ip: Address of the host.
        zone: Availability zone of the host.
        service: Service of the backend server on the host.
        server: Address of the backend server.
        outbound: Address on which clients of this host send requests.
        inbound: Address on which other daemons send requests for the
            backend server.
        control: Address on which the backend server announces itself.
        ready: Address of the readiness probe of the daemon.
        datagram_port: UDP port for load reports, the same on all hosts.
        quota_port: UDP port for quotas, the same on all hosts.
        metrics: Address on which the daemon serves its metrics.
        store: Address of the key-value store.
        min_lease_ms: Shortest duration of a lease that the store grants.
        is_first_start: Whether the whole fleet starts for the first time.
        bounds: Limits that the platform sets for the daemon.
        zones: All availability zones of the deployment, sorted.
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
    is_first_start: bool = False
    bounds: Bounds = Bounds()
    zones: tuple[str, ...] = ()
    quota_port: int = 0
