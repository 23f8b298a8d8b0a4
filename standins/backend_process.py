"""Process of a backend stand-in, with a service port and a control port.

Control paths: ``GET /judge`` (counts of executions and connections),
``POST /faults`` with fields of ``BackendFaults``, ``POST /reset``,
``POST /drain``, ``POST /cold``, ``POST /noise``, ``GET /reached?name=`` and
``POST /release?name=``.
"""

from argparse import ArgumentParser, Namespace
from asyncio import Event, create_task, get_running_loop, run, sleep, wait_for
from asyncio import Task as AsyncioTask
from json import dumps, loads
from pathlib import Path
from random import Random
from signal import SIGINT, SIGTERM
from sys import stdout
from time import monotonic
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from bergamotshunt.http.web import HttpServer
from standins.backend import BackendStandIn
from standins.backend_listener import StandInServer

HOLD_POINT_TIMEOUT_S: Final = 20
DRAIN_TIMEOUT_S: Final = 20
DRAIN_POLL_S: Final = 0.01


class BackendProcess:
    """A backend stand-in with its service port and its control port."""

    def __init__(
        self, app: BackendStandIn, ip: str, port: int, control_port: int
    ) -> None:
        """Create the servers without listening."""
        self.app = app
        self.server = StandInServer(app, ip, port, app.connections)
        routes = [
            Route('/judge', self.show_counts),
            Route('/faults', self.set_faults, methods=['POST']),
            Route('/reset', self.reset, methods=['POST']),
            Route('/drain', self.drain, methods=['POST']),
            Route('/cold', self.start_cold_phase, methods=['POST']),
            Route('/noise', self.set_noise, methods=['POST']),
            Route('/reached', self.wait_until_reached),
            Route('/release', self.release, methods=['POST']),
        ]
        self.control = HttpServer(Starlette(routes=routes), ip, control_port)
        self.noise_task: AsyncioTask[None] | None = None

    async def open(self) -> None:
        """Listen on both ports."""
        await self.server.open()
        await self.control.open()

    async def close(self) -> None:
        """Stop the noisy neighbour and close both ports."""
        if self.noise_task is not None:
            self.noise_task.cancel()
        await self.server.close()
        await self.control.close()

    async def show_counts(self, _request: Request) -> JSONResponse:
        """Return all counts of the stand-in."""
        return JSONResponse(describe_counts(self.app))

    async def set_faults(self, request: Request) -> JSONResponse:
        """Set the given faults; ``refuse`` closes the service port."""
        self.app.change_faults(await request.json())
        if self.app.faults.refuse:
            await self.server.refuse()
            self.app.connections.close_idle()
        else:
            await self.server.open()
        return JSONResponse(self.app.faults._asdict())

    async def reset(self, _request: Request) -> JSONResponse:
        """Reset the counts of a measurement.

        Counts of executions by booking and by request id stay, so that
        duplicates across measurements are detected.
        """
        self.app.probe_ms = 0
        self.app.outcomes.clear()
        self.app.runs_by_path.clear()
        return JSONResponse({})

    async def drain(self, request: Request) -> JSONResponse:
        """Start draining, or stop it with ``{"draining": false}``."""
        body = loads(await request.body() or b'{}')
        self.app.draining = body.get('draining', True)
        return JSONResponse({'draining': self.app.draining})

    async def start_cold_phase(self, request: Request) -> JSONResponse:
        """Start a cold phase with the given ``cold_s`` and ``factor``."""
        body = await request.json()
        self.app.cold_s = body['cold_s']
        self.app.cold_factor = body['factor']
        self.app.cold_phase_started_at = monotonic()
        return JSONResponse({})

    async def set_noise(self, request: Request) -> JSONResponse:
        """Replace the noisy neighbour; without ``slots``, only stop it.

        The fields are arguments of ``run_noisy_neighbour``.
        """
        body = await request.json()
        if self.noise_task is not None:
            self.noise_task.cancel()
            self.noise_task = None
        if body.get('slots', 0):
            self.noise_task = create_task(run_noisy_neighbour(self.app, **body))
        return JSONResponse({})

    async def wait_until_reached(self, request: Request) -> JSONResponse:
        """Respond when a request waits at the named hold point, or with 504."""
        reached = self.app.hold_points.reached_by_name[
            request.query_params['name']
        ]
        try:
            await wait_for(reached.wait(), HOLD_POINT_TIMEOUT_S)
        except TimeoutError:
            return JSONResponse({'reached': False}, 504)
        return JSONResponse({'reached': True})

    async def release(self, request: Request) -> JSONResponse:
        """Release the request at the named hold point."""
        self.app.hold_points.released_by_name[
            request.query_params['name']
        ].set()
        return JSONResponse({})


async def run_noisy_neighbour(
    app: BackendStandIn,
    slots: int,
    gap_ms: float = 150,
    burst_ms: float = 60,
    seed: int = 0,
) -> None:
    """Occupy slots in bursts, as another process on the same host would.

    Args:
        app: The server whose slots are occupied.
        slots: Most slots that a burst occupies.
        gap_ms: Mean time from one start of a burst to the next.
        burst_ms: Mean time that a burst occupies its slots.
        seed: Seed of the random times and sizes of bursts.
    """
    rng = Random(seed)
    slot_tasks: set[AsyncioTask[None]] = set()
    try:
        while True:
            await sleep(rng.expovariate(1 / gap_ms) / 1000)
            held_ms = rng.expovariate(1 / burst_ms)
            for _ in range(rng.randint(1, slots)):
                slot_task = create_task(app.occupy_slot(held_ms))
                slot_tasks.add(slot_task)
                slot_task.add_done_callback(slot_tasks.discard)
    finally:
        for slot_task in tuple(slot_tasks):
            slot_task.cancel()


def describe_counts(app: BackendStandIn) -> dict[str, Any]:
    """Return the counts and the state of a stand-in as a JSON object."""
    return {
        'name': app.name,
        'busy': app.busy,
        'queued': app.queued,
        'running': app.running,
        'slots': app.slot_count,
        'draining': app.draining,
        'slowness': app.service_time_factor(),
        'probe_ms': app.probe_ms,
        'up_s': monotonic() - app.created_at,
        'received': app.received,
        'idle_s': monotonic() - app.last_run_at,
        'executions_by_key': app.executions_by_key,
        'runs_by_request_id': app.runs_by_request_id,
        'runs_by_path': app.runs_by_path,
        'outcomes': app.outcomes,
        'refused_connections': app.connections.refused,
        'open_connections': len(app.connections.open_by_client),
    }


class RunJournal:
    """Log file of all executions, unbuffered to survive a kill.

    Each line has the booking id, a tab and the request id.
    """

    def __init__(self, path: Path) -> None:
        """Open the file for appending."""
        self.file = path.open('ab', buffering=0)

    def append(self, booking: str, request_id: str) -> None:
        """Append one execution."""
        self.file.write(f'{booking}\t{request_id}\n'.encode())


def parse_arguments() -> Namespace:
    """Parse the command line."""
    parser = ArgumentParser(prog='python -m standins.backend')
    parser.add_argument('--name', required=True)
    parser.add_argument('--ip', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--slots', type=int, default=10)
    parser.add_argument('--connections', type=int, default=200)
    parser.add_argument('--queue-limit', type=int, default=1000)
    parser.add_argument('--cold-s', type=float, default=0)
    parser.add_argument('--cold-factor', type=float, default=10)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--journal', type=Path)
    return parser.parse_args()


async def serve(arguments: Namespace) -> None:
    """Print the ports as JSON; serve until SIGTERM or SIGINT, then drain."""
    app = BackendStandIn(
        arguments.name,
        arguments.slots,
        None,
        arguments.seed,
        arguments.queue_limit,
        arguments.cold_s,
        arguments.cold_factor,
        arguments.connections,
    )
    if arguments.journal is not None:
        app.on_run = RunJournal(arguments.journal).append
    process = BackendProcess(
        app, arguments.ip, arguments.port, arguments.control_port
    )
    stopping = Event()
    for signal_number in (SIGTERM, SIGINT):
        get_running_loop().add_signal_handler(signal_number, stopping.set)
    await process.open()
    ports = {'port': process.server.port, 'control': process.control.port}
    stdout.write(f'{dumps(ports)}\n')
    stdout.flush()
    await stopping.wait()
    app.draining = True
    deadline_s = monotonic() + DRAIN_TIMEOUT_S
    while app.running + app.queued and monotonic() < deadline_s:
        await sleep(DRAIN_POLL_S)
    await process.close()


def main() -> None:
    """Run a backend stand-in as a process."""
    run(serve(parse_arguments()))
