"""Stand-in for the platform's key-value service (etcd v3 JSON gateway).

Serves the parts of the published protocol that the daemon uses, counts
calls, limits their rate and injects faults on request. Runs inside a test
or as a process: ``python -m standins.platform --port N``.

Faults are set on ``PlatformStandIn.faults`` or by ``POST /control`` with a
JSON object of the fields of ``PlatformFaults`` (and ``expire_leases``,
``reset_counts``, ``reset_connections``); ``GET /control`` shows the faults
and the counts.
"""

from argparse import ArgumentParser
from asyncio import run

from msgspec.json import encode

from bergamotshunt.http.web import HttpServer
from standins.platform_data import Stored
from standins.platform_faults import Limits, PlatformFaults
from standins.platform_service import PlatformStandIn

__all__ = (
    'Limits',
    'PlatformFaults',
    'PlatformServer',
    'PlatformStandIn',
    'Stored',
)


class PlatformServer:
    """Serves the stand-in on one port and the control path on another.

    Args:
        stand_in: The service.
        ip: IP address to bind.
        port: Port of the service; 0 asks the operating system for one.
        control_port: Port that stays open under the fault ``refused``; 0
            asks the operating system for one.
    """

    def __init__(
        self,
        stand_in: PlatformStandIn,
        ip: str = '127.0.0.1',
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        """Bind both ports."""
        self.stand_in = stand_in
        self.ip = ip
        self._service: HttpServer | None = HttpServer(stand_in.app, ip, port)
        self._control = HttpServer(stand_in.app, ip, control_port)
        self.port = self._service.port
        self.control_port = self._control.port

    @property
    def url(self) -> str:
        """Return the URL for the settings of a daemon."""
        return f'http://{self.ip}:{self.port}'

    async def open(self) -> None:
        """Listen on both ports."""
        await self._control.open()
        if self._service is not None:
            await self._service.open()

    async def close(self) -> None:
        """Close both ports and all connections."""
        self.stand_in.reset_connections()
        await self._control.close()
        if self._service is not None:
            await self._service.close()

    async def apply_fault_changes(self) -> None:
        """Call ``apply_faults`` after each change of the faults, forever."""
        while True:
            await self.stand_in.faults_changed.wait()
            self.stand_in.faults_changed.clear()
            await self.apply_faults()

    async def apply_faults(self) -> None:
        """Close the service port under the fault ``refused``, else open it."""
        refusing = self.stand_in.faults.down == 'refused'
        if refusing and self._service is not None:
            service, self._service = self._service, None
            self.stand_in.reset_connections()
            await service.close()
        elif not refusing and self._service is None:
            self._service = HttpServer(self.stand_in.app, self.ip, self.port)
            await self._service.open()


async def run_stand_in(ip: str, port: int, control_port: int) -> None:
    """Print the ports as JSON and serve until the process is killed."""
    server = PlatformServer(PlatformStandIn(), ip, port, control_port)
    await server.open()
    ports = {'port': server.port, 'control_port': server.control_port}
    print(encode(ports).decode(), flush=True)
    await server.apply_fault_changes()


def main() -> None:
    """Run the stand-in as a process."""
    parser = ArgumentParser(prog='python -m standins.platform')
    parser.add_argument('--ip', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--control-port', type=int, default=0)
    options = parser.parse_args()
    try:
        run(run_stand_in(options.ip, options.port, options.control_port))
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    main()
