"""Small fleet with a fault-injecting TCP proxy (link) on each connection."""

from asyncio import gather
from pathlib import Path
from typing import Any, Final

from aiohttp import ClientError

from bench.fleet import Fleet
from bench.hosts import Host
from bench.processes import IP, poll_until
from bench.shapes import SMALL
from standins.link import TcpLink

# Slots of each server; few, so that a cell can occupy all of them.
SLOTS: Final = 2
DEADLINE_MS: Final = 1500
RECOVERY_TIMEOUT_S: Final = 25
SETTINGS: Final[dict[str, dict[str, Any]]] = {
    'calls': {
        'default_deadline_ms': DEADLINE_MS,
        'chooser': 'least-in-flight',
        'limiter': 'fixed',
    },
    'backend_server': {'slots': SLOTS},
    'daemon': {'drain_timeout_s': 5},
}


class FaultFleet(Fleet):
    """Fleet of three backend servers with links to inject faults into.

    Daemons reach their peers, their server and the platform through links.
    """

    def __init__(self, seed: int) -> None:
        """Create the fleet and its links without starting them."""
        super().__init__(SMALL, seed, SETTINGS)
        # Highest revision of the targets that any daemon had in force.
        self.newest_revision = 0
        self.peer_links: dict[str, TcpLink] = {}
        self.server_links: dict[str, TcpLink] = {}
        self.platform_links: dict[str, TcpLink] = {}
        for host in self.hosts:
            ports = host.ports_by_kind
            self.peer_links[host.name] = TcpLink(ports['peers'])
            self.server_links[host.name] = TcpLink(ports['server'])
            self.platform_links[host.name] = TcpLink(self.platform_port)

    @property
    def links(self) -> list[TcpLink]:
        """Return all links."""
        return [
            *self.peer_links.values(),
            *self.server_links.values(),
            *self.platform_links.values(),
        ]

    async def start(self) -> None:
        """Open the links, then start the processes."""
        await gather(*(link.open() for link in self.links))
        await super().start()

    async def __aexit__(self, *error: object) -> None:
        """End all processes, then close the links."""
        self.clear_link_faults()
        await super().__aexit__(*error)
        await gather(*(link.close() for link in self.links))

    def daemon_arguments(self, host: Host, settings: Path) -> list[str]:
        """Return the command line of a daemon behind a link."""
        port = self.peer_links[host.name].port
        return ['-m', 'bench.linked_daemon', str(settings), str(port)]

    def create_settings(self, host: Host) -> dict[str, dict[str, Any]]:
        """Return the settings of a daemon, with the ports of its links."""
        sections = super().create_settings(host)
        server_port = self.server_links[host.name].port
        platform_port = self.platform_links[host.name].port
        sections['backend_server']['url'] = f'http://{IP}:{server_port}'
        sections['platform']['urls'] = f'http://{IP}:{platform_port}'
        peers = (link.port for link in self.peer_links.values())
        sections['daemon']['known_peers'] = ', '.join(
            f'{IP}:{port}' for port in peers
        )
        return sections

    def server_arguments(self, host: Host, number: int) -> list[str]:
        """Return the command line of a server with ``SLOTS`` slots."""
        return [*super().server_arguments(host, number), f'--slots={SLOTS}']

    def clear_link_faults(self) -> None:
        """End all faults of the links and open all gates."""
        for link in self.links:
            link.change_faults(
                cut_to=False, cut_from=False, delay_ms=0, duplicate=False
            )
            link.open_gates()

    def open_all_gates(self) -> None:
        """Forward all bytes that gates of the links hold."""
        for link in self.links:
            link.open_gates()

    async def post_platform_control(self, document: dict[str, Any]) -> None:
        """Post a document to the control path of the platform stand-in.

        Raises:
            ClientError: The request failed or the status is an error.
            TimeoutError: There was no response in time.
        """
        url = f'http://{IP}:{self.platform_control_port}/control'
        async with self.session.post(url, json=document) as response:
            response.raise_for_status()

    async def restore(self) -> None:
        """End all faults and wait until all daemons are ready again.

        Raises:
            NotReadyError: A daemon was not ready in time.
        """
        self.clear_link_faults()
        await self.post_platform_control(
            {'down': '', 'delay_ms': 0, 'lose_answers': 0, 'stale': False}
        )
        for host in self.hosts:
            for child in (host.server, host.daemon):
                child.resume()
                if child.is_ending:
                    await child.end()
                if not child.is_running:
                    await child.start()
        await gather(*(self.clear_server_faults(host) for host in self.hosts))
        await self.wait_until_ready()
        for host in self.hosts:
            status = await self.read_status(host)
            if status is not None:
                self.newest_revision = max(
                    self.newest_revision, status['targets']['revision']
                )

    async def clear_server_faults(self, host: Host) -> None:
        """End all faults of one backend server."""

        async def check() -> bool:
            try:
                await self.post_control(host, '/drain', {'draining': False})
                await self.post_control(host, '/faults', NO_FAULTS)
                await self.post_control(
                    host, '/cold', {'cold_s': 0, 'factor': 1}
                )
            except (ClientError, TimeoutError):
                return False
            return True

        await poll_until(
            check,
            RECOVERY_TIMEOUT_S,
            f'{host.name}-server did not accept the end of its faults',
        )


NO_FAULTS: Final = {
    'straggle': 1,
    'freeze': False,
    'fail_fast': 0,
    'cut_short': 0,
    'late_ms': 0,
    'refuse': False,
    'foreign': 0,
    'shed': 0,
    'health': 'true',
}
