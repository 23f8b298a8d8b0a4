"""Run a deployment as separate processes: platform, servers and daemons."""

from asyncio import gather
from collections import Counter
from configparser import ConfigParser
from functools import partial
from http import HTTPStatus
from json import dumps
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, Final, Self

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import encode

from bench.hosts import Host
from bench.processes import IP, Child, NotReadyError, poll_until
from bench.shapes import Shape
from bergamotshunt.operators.targets import ServiceTargets
from bergamotshunt.operators.targets_codec import service_to_document
from standins.ports import Ports

READY_TIMEOUT_S: Final = 60
CALL_TIMEOUT_S: Final = 5
TOKENS_BY_OPERATOR: Final = {
    'ana': 'ana-token-0123456789',
    'bruno': 'bruno-token-0123456789',
}
# Number of ``ServerState.SERVING`` in the status document.
SERVING: Final = 1


class Fleet:
    """All processes of a deployment.

    Args:
        shape: The deployment.
        seed: Seed of the stand-ins.
        settings: Settings by section that differ from the defaults.
    """

    def __init__(
        self,
        shape: Shape,
        seed: int = 1,
        settings: dict[str, dict[str, Any]] | None = None,
    ) -> None:
        """Reserve the ports and create the hosts without starting them."""
        self.shape = shape
        self.seed = seed
        self.settings = settings or {}
        self.ports = Ports(IP)
        self.platform_port = self.ports.reserve()
        self.platform_control_port = self.ports.reserve()
        self.hosts = self.plan_hosts()
        self.children: list[Child] = []
        # Number of changes so far, from which ``next_share`` makes unique
        # values, and submissions of racing operators.
        self.change_count = 0
        self.submissions: list[Any] = []
        self.session: ClientSession

    def plan_hosts(self) -> list[Host]:
        """Create the hosts; servers of a service alternate between zones."""
        zones = self.shape.zones
        return [
            Host(
                f'{service}-{number + 1}',
                service,
                zones[number % len(zones)],
                self.ports,
            )
            for service, count in self.shape.servers_by_service.items()
            for number in range(count)
        ]

    async def __aenter__(self) -> Self:
        """Start all processes and wait until every daemon is ready."""
        self._folder = TemporaryDirectory(prefix='bergamotshunt-fleet-')
        self.folder = Path(self._folder.name)
        self.session = ClientSession(
            timeout=ClientTimeout(total=CALL_TIMEOUT_S)
        )
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """End all processes and remove the folder."""
        await self.session.close()
        await gather(*(child.end() for child in reversed(self.children)))
        self.ports.close()
        self._folder.cleanup()

    async def start(self) -> None:
        """Start platform, servers and daemons, and submit the targets."""
        self.platform = self.add_child(
            'platform',
            [
                '-m',
                'standins.platform',
                f'--port={self.platform_port}',
                f'--control-port={self.platform_control_port}',
            ],
        )
        for number, host in enumerate(self.hosts):
            host.server = self.add_child(
                f'{host.name}-server', self.server_arguments(host, number)
            )
            path = self.write_settings(host)
            host.daemon = self.add_child(
                host.name, self.daemon_arguments(host, path)
            )
        await self.platform.start()
        await gather(*(host.server.start() for host in self.hosts))
        await self.wait_until_http_ready(
            f'http://{IP}:{self.platform_control_port}/control', 'platform'
        )
        for host in self.hosts:
            await self.wait_until_http_ready(
                f'{host.url("control")}/judge', host.name
            )
        await gather(*(host.daemon.start() for host in self.hosts))
        await self.submit_targets()
        await self.wait_until_ready()

    def add_child(self, name: str, arguments: list[str]) -> Child:
        """Create a child process that is ended together with the fleet."""
        child = Child(name, arguments, self.folder)
        self.children.append(child)
        return child

    def server_arguments(self, host: Host, number: int) -> list[str]:
        """Return the command line of a backend server stand-in."""
        return [
            '-m',
            'standins.backend',
            f'--name={host.name}',
            f'--port={host.ports_by_kind["server"]}',
            f'--control-port={host.ports_by_kind["control"]}',
            f'--seed={self.seed * 1000 + number}',
            f'--journal={self.folder / host.name}.runs',
        ]

    def daemon_arguments(self, _host: Host, settings: Path) -> list[str]:
        """Return the command line of a daemon."""
        return ['-m', 'bergamotshunt', 'daemon', str(settings)]

    def read_journals(self) -> dict[str, Any]:
        """Count the executions at all servers from their journals.

        The journals also have the executions of killed processes.
        """
        bookings, requests = Counter[str](), Counter[str]()
        for path in self.folder.glob('*.runs'):
            for line in path.read_text().splitlines():
                booking, _, request_id = line.partition('\t')
                requests[request_id] += 1
                if booking:
                    bookings[booking] += 1
        return {
            'executions_by_key': bookings,
            'runs_by_request_id': requests,
        }

    def create_settings(self, host: Host) -> dict[str, dict[str, Any]]:
        """Return the settings of one daemon by section."""
        peers = (f'{IP}:{peer.ports_by_kind["peers"]}' for peer in self.hosts)
        sections: dict[str, dict[str, Any]] = {
            'daemon': {
                'id': host.name,
                'ip': IP,
                'availability_zone': host.zone,
                'known_peers': ', '.join(list(peers)[:3]),
                'log_level': 'info',
            },
            'backend_server': {
                'service': host.service,
                'url': host.url('server'),
            },
            'platform': {'urls': f'http://{IP}:{self.platform_port}'},
            'operators': TOKENS_BY_OPERATOR,
        }
        for kind in ('callers', 'peers', 'admin', 'gossip'):
            sections['daemon'][f'{kind}_port'] = host.ports_by_kind[kind]
        for section, changes in self.settings.items():
            sections.setdefault(section, {}).update(changes)
        return sections

    def write_settings(self, host: Host) -> Path:
        """Write the INI file of one daemon."""
        parser = ConfigParser(interpolation=None)
        parser.read_dict(self.create_settings(host))
        path = self.folder / f'{host.name}.ini'
        with path.open('w', encoding='utf-8') as file:
            parser.write(file)
        return path

    async def submit_targets(self) -> None:
        """Submit the targets of all services at the first daemon.

        Raises:
            NotReadyError: They were not accepted within
                ``READY_TIMEOUT_S``.
        """
        for targets in self.shape.targets():
            await poll_until(
                partial(self.submit_service_targets, targets),
                READY_TIMEOUT_S,
                f'the targets of {targets.service} were not accepted',
            )

    async def submit_service_targets(self, targets: ServiceTargets) -> bool:
        """Submit the targets of a service; return whether they were created."""
        url = f'{self.hosts[0].url("admin")}/v1/targets/{targets.service}'
        headers = {
            'Authorization': f'Bearer {TOKENS_BY_OPERATOR["ana"]}',
            'Idempotency-Key': f'first-{targets.service}',
        }
        try:
            async with self.session.put(
                url, data=encode(service_to_document(targets)), headers=headers
            ) as response:
                return response.status == HTTPStatus.CREATED
        except (ClientError, TimeoutError, OSError):
            return False

    async def wait_until_http_ready(self, url: str, name: str) -> None:
        """Wait until a URL responds to HTTP.

        Args:
            url: The URL.
            name: Name of the process, for the error text.

        Raises:
            NotReadyError: It did not respond within ``READY_TIMEOUT_S``.
        """

        async def check() -> bool:
            try:
                async with self.session.get(url):
                    return True
            except (ClientError, TimeoutError):
                return False

        await poll_until(
            check, READY_TIMEOUT_S, f'{name} did not respond at {url}'
        )

    async def wait_until_ready(self) -> None:
        """Wait until every daemon knows all targets and all servers.

        Raises:
            NotReadyError: Not in time; the text has the last log lines of
                the processes that ended.
        """
        try:
            await gather(
                *(self.wait_until_host_ready(host) for host in self.hosts)
            )
        except NotReadyError as error:
            ended = [child for child in self.children if not child.is_running]
            logs = '\n'.join(child.log_tail() for child in ended)
            raise NotReadyError(f'{error}\n{logs}') from None

    async def wait_until_host_ready(self, host: Host, servers: int = 0) -> None:
        """Wait until a daemon has all targets and sees enough servers.

        Args:
            host: Host of the daemon.
            servers: Number of serving members; 0 for all of the fleet.

        Raises:
            NotReadyError: Not in time.
        """
        min_servers = servers or len(self.hosts)

        async def check() -> bool:
            status = await self.read_status(host)
            if status is None:
                return False
            services = status['targets']['services']
            has_targets = len(services) == len(self.shape.targets())
            return has_targets and count_serving(status) >= min_servers

        await poll_until(check, READY_TIMEOUT_S, f'{host.name} was not ready')

    async def read_status(self, host: Host) -> dict[str, Any] | None:
        """Return the status of a daemon, or None when it does not respond."""
        url = f'{host.url("admin")}/v1/status'
        token = TOKENS_BY_OPERATOR['ana']
        try:
            async with self.session.get(
                url, headers={'Authorization': f'Bearer {token}'}
            ) as response:
                if response.status != HTTPStatus.OK:
                    return None
                return dict(await response.json())
        except (ClientError, TimeoutError, OSError):
            return None

    async def post_control(
        self, host: Host, path: str, document: Any = None
    ) -> Any:
        """Post a document to the control port of a backend server.

        Raises:
            ClientError: The request failed or the status is an error.
            TimeoutError: There was no response within ``CALL_TIMEOUT_S``.
        """
        async with self.session.post(
            f'{host.url("control")}{path}', data=dumps(document or {})
        ) as response:
            response.raise_for_status()
            return await response.json()

    async def read_counts(self, host: Host) -> dict[str, Any]:
        """Return the counters of a backend server stand-in."""
        async with self.session.get(f'{host.url("control")}/judge') as response:
            return dict(await response.json())

    async def read_all_counts(self) -> list[dict[str, Any]]:
        """Return the counters of all backend server stand-ins."""
        return list(await gather(*(map(self.read_counts, self.hosts))))


def count_serving(status: dict[str, Any]) -> int:
    """Count the serving members that are alive or suspect (status 0 or 1)."""
    return sum(
        member['server_state'] == SERVING and member['status'] <= 1
        for member in status['members']
    )
