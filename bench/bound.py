"""Lower bound of latency: an omniscient chooser without daemons.

The backend servers run in this process, so that the chooser reads their
state at the moment of the call without delay or cost.
"""

from asyncio import gather
from collections import Counter
from json import dumps
from typing import Any, Self

from aiohttp import ClientSession

from bench.plans import Call
from bench.processes import IP
from bench.shapes import Shape
from standins.backend import BackendStandIn
from standins.backend_process import BackendProcess


class InProcessHost:
    """A backend server stand-in in this process."""

    def __init__(self, name: str, service: str, seed: int) -> None:
        """Create the server without listening."""
        self.name = name
        self.service = service
        self.app = BackendStandIn(name, service_time_ms=None, seed=seed)
        self.process = BackendProcess(self.app, IP, 0, 0)

    def url(self, kind: str) -> str:
        """Return the base URL of its ``control`` or ``server`` port."""
        server = self.process.server
        port = self.process.control.port if kind == 'control' else server.port
        return f'http://{IP}:{port}'


class InProcessServers:
    """Backend servers of a deployment, all in this process.

    Args:
        shape: The deployment.
        seed: Seed of the servers.
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        """Create the servers without listening."""
        self.shape = shape
        self.in_flight_by_name = Counter[str]()
        self.name_by_request_id: dict[str, str] = {}
        self.hosts = [
            InProcessHost(
                f'{service}-{number + 1}', service, seed * 100 + number
            )
            for service, count in shape.servers_by_service.items()
            for number in range(count)
        ]

    async def __aenter__(self) -> Self:
        """Open all ports."""
        self.session = ClientSession()
        await gather(*(host.process.open() for host in self.hosts))
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close all ports."""
        await self.session.close()
        await gather(*(host.process.close() for host in self.hosts))

    async def post_control(
        self, host: InProcessHost, path: str, document: Any = None
    ) -> Any:
        """Post a document to the control port of a backend server.

        Raises:
            ClientError: The request failed or the status is an error.
        """
        async with self.session.post(
            f'{host.url("control")}{path}', data=dumps(document or {})
        ) as response:
            response.raise_for_status()
            return await response.json()

    async def read_counts(self, host: InProcessHost) -> dict[str, Any]:
        """Return the counters of a backend server stand-in."""
        async with self.session.get(f'{host.url("control")}/judge') as response:
            return dict(await response.json())

    async def read_all_counts(self) -> list[dict[str, Any]]:
        """Return the counters of all backend server stand-ins."""
        return list(await gather(*(map(self.read_counts, self.hosts))))

    def route(self, call: Call) -> str:
        """Choose the server with the lowest estimate and return its URL.

        Raises:
            ValueError: No server of the service can serve.
        """
        candidates = [
            host
            for host in self.hosts
            if host.service == call.kind.service and can_serve(host)
        ]
        chosen = min(candidates, key=self.estimate)
        self.in_flight_by_name[chosen.name] += 1
        self.name_by_request_id[call.request_id] = chosen.name
        return chosen.url('server')

    def record_end(self, call: Call) -> None:
        """Record the end of a call, to count the calls in flight."""
        name = self.name_by_request_id.pop(call.request_id, '')
        self.in_flight_by_name[name] -= 1

    def estimate(self, host: InProcessHost) -> tuple[float, int]:
        """Return the estimated latency in service times, and calls in flight.

        The calls in flight break ties between equal estimates.
        """
        app = host.app
        in_flight = self.in_flight_by_name[host.name]
        in_transit = max(0, in_flight - app.running - app.queued)
        waiting = max(0, app.demand + in_transit + 1 - app.slot_count)
        return app.service_time_factor() * (
            1 + waiting / app.slot_count
        ), in_flight


def can_serve(host: InProcessHost) -> bool:
    """Return whether a server accepts new requests and does not fail."""
    return not host.app.draining and host.app.faults.fail_fast < 1
