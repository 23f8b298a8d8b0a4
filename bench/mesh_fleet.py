"""Fleet of a soak: daemons as processes, all else in this process."""

from asyncio import Event, create_task, gather, timeout
from asyncio import Task as AsyncioTask
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final, Self

from bench.mesh_host import FIRST_HOST, MeshHost, Site, call
from bench.mesh_records import History
from bench.processes import NotReadyError, poll_until
from bergamotshunt.mesh_settings import Address
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    LOOPBACK_PREFIX,
    READ_ROUTE,
    configuration,
)
from standins.mesh_store import MeshStore
from standins.ports import Ports

PORT_NAMES: Final = (
    'outbound',
    'inbound',
    'control',
    'ready',
    'server',
    'store',
)
READY_TIMEOUT_S: Final = 60
END_TIMEOUT_S: Final = 30.0
DOWNLOAD_ROUTE: Final = {
    'prefix': '/download/',
    'kind': 'download',
    'service': 'shop',
}


class SoakFleet:
    """All processes and stand-ins of a soak.

    Args:
        seed: Seed of the stand-ins and the clients.
        host_count: Number of hosts.
        folder: Directory for settings files and logs.

    Attributes:
        versions: Configuration versions that the operator wrote.
        stopped: Set when clients have to end.
    """

    def __init__(self, seed: int, host_count: int, folder: Path) -> None:
        """Create a fleet that is not started."""
        self.seed = seed
        self.folder = folder
        self.history = History()
        self.store = MeshStore()
        self.hosts: list[MeshHost] = []
        self.versions: list[int] = []
        self.stopped = Event()
        self._host_count = host_count
        self._ports = Ports(
            *(
                f'{LOOPBACK_PREFIX}.{FIRST_HOST + number}'
                for number in range(host_count)
            )
        )
        self._tasks: list[AsyncioTask[Any]] = []
        self._supervisors: list[AsyncioTask[None]] = []

    async def __aenter__(self) -> Self:
        """Start all and wait until each daemon responds to a client.

        Raises:
            NotReadyError: A daemon did not respond in time.
        """
        await self.store.open()
        await self.configure()
        site = Site(
            seed=self.seed,
            folder=self.folder,
            history=self.history,
            ports=self._reserve_ports(),
            store=Address('127.0.0.1', self.store.port),
        )
        for number in range(self._host_count):
            host = MeshHost(number, site)
            self.hosts.append(host)
            await host.peer_link.open()
            await host.store_link.open()
            await host.start_server()
            self._supervisors.append(create_task(host.daemon.supervise()))
            self.spawn(host.send_heartbeats())
        try:
            await gather(*map(_wait_until_ready, self.hosts))
        except NotReadyError:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all processes and stand-ins."""
        tasks = self._tasks + self._supervisors
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        for host in self.hosts:
            await host.daemon.kill()
            await host.backend.stop()
            await host.peer_link.close()
            await host.store_link.close()
        await self.store.close()
        self._ports.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task until the fleet ends."""
        self._tasks.append(create_task(work))

    def _reserve_ports(self) -> dict[str, int]:
        ports = {name: self._ports.reserve() for name in PORT_NAMES}
        # The daemon serves its metrics on the port after this one.
        ports['datagrams'] = self._ports.reserve(2)
        return ports

    async def configure(self) -> None:
        """Write the next configuration, which adds a route."""
        self.versions.append(self.versions[-1] + 3 if self.versions else 1)
        added = [
            {'prefix': f'/added-{version}/', 'kind': 'safe', 'service': 'shop'}
            for version in self.versions
        ]
        document = configuration(
            self.versions[-1], READ_ROUTE, BOOKING_ROUTE, DOWNLOAD_ROUTE, *added
        )
        await self.store.put('op/config', document)

    async def finish(self) -> None:
        """Stop all daemons, then let the clients end.

        Raises:
            TimeoutError: A daemon did not end within ``END_TIMEOUT_S``.
        """
        for host in self.hosts:
            host.daemon.finish()
        async with timeout(END_TIMEOUT_S):
            await gather(*self._supervisors)
        self.stopped.set()


async def _wait_until_ready(host: MeshHost) -> None:
    async def is_ready() -> bool:
        return await call(host.outbound, b'GET', '/read/0/0', b'')

    await poll_until(is_ready, READY_TIMEOUT_S, f'{host.name} did not respond')
