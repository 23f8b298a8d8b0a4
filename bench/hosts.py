"""Host of a fleet: a backend server and the daemon beside it."""

from bench.processes import IP, Child
from standins.ports import Ports


class Host:
    """A backend server and its daemon, each in its own process.

    Attributes:
        name: Name of the server and of its daemon.
        service: Service of the server.
        zone: Availability zone.
        ports_by_kind: Port numbers by kind: ``server``, ``control``,
            ``callers``, ``peers``, ``admin`` and ``gossip``.
    """

    def __init__(
        self, name: str, service: str, zone: str, ports: Ports
    ) -> None:
        """Reserve the ports without starting a process."""
        self.name = name
        self.service = service
        self.zone = zone
        kinds = ('server', 'control', 'callers', 'peers', 'admin', 'gossip')
        self.ports_by_kind = {kind: ports.reserve() for kind in kinds}
        self.server: Child
        self.daemon: Child

    def url(self, kind: str) -> str:
        """Return the base URL of a port, by its kind."""
        return f'http://{IP}:{self.ports_by_kind[kind]}'
