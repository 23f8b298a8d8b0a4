"""Measure the latency of one and two hops: ``python -m bench.hops``.

Sequential calls over loopback, in a seeded random order of three routes:
directly to a backend stand-in, through its admission guard (one hop, as the
client library does), and through an ingress and the guard (two hops). Each
daemon and the stand-in have their own process. The stand-in responds
immediately, so that the added latency is that of the hops.
"""

from asyncio import Event, Runner, sleep
from os import environ
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from time import monotonic, perf_counter_ns
from typing import Any, Final

from cyclopts import App
from hdrh.histogram import HdrHistogram
from returns.result import Success

from bench.processes import Child
from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.http.web import HttpServer, decode_headers, send_whole
from bergamotshunt.kernel import Context, Kernel, MessageBus
from bergamotshunt.log import configure_log
from bergamotshunt.messages import (
    HealthObserved,
    MembersChanged,
    TargetsChanged,
)
from bergamotshunt.operators.targets import ServiceTargets, Target, TargetSet
from bergamotshunt.peers.headers import DEADLINE_MS, REQUEST_ID, TARGET
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.settings import (
    BackendServerSettings,
    CallsSettings,
    DaemonSettings,
    Settings,
)
from standins.ports import Ports

IP: Final = '127.0.0.1'
SERVICE: Final = 'jar-ledger'
PROCESS_ID: Final = 1
RESPONSE_BODY: Final = b'{"jars": 12, "credit": "34.50"}'
TARGETS: Final = TargetSet(
    1,
    {
        SERVICE: ServiceTargets(
            SERVICE, (Target('balance', ('GET',), '/', idempotent=True),)
        )
    },
)
# Also stated in the help of ``main``.
MAX_CALLS: Final = 100_000
MAX_READY_ATTEMPTS: Final = 500
READY_RETRY_DELAY_S: Final = 0.02
WARM_UP_CALLS: Final = 200
ROUTE_NAMES: Final = ('direct', 'one hop', 'two hops')
MAX_LATENCY_US: Final = 10_000_000
CLOCK_TICKS_PER_S: Final = 100
US_PER_S: Final = 1_000_000

app = App(name='bench.hops', help='Measure the cost of hops.')


async def respond_at_once(scope: Any, receive: Any, send: Any) -> None:
    """Respond to every request with the same body (ASGI)."""
    await receive()
    headers = [('content-type', 'application/json')]
    request_id = decode_headers(scope).get(REQUEST_ID)
    if request_id:
        headers.append((REQUEST_ID, request_id))
    await send_whole(send, 200, headers, RESPONSE_BODY)


async def serve_backend(port: int) -> None:
    """Serve the backend stand-in until the process is terminated."""
    await HttpServer(respond_at_once, IP, port).open()
    await Event().wait()


async def serve_daemon(task: str, port: int, other_port: int) -> None:
    """Run one task of a daemon until the process is terminated.

    Args:
        task: ``guard``, or ``entry`` for the ingress.
        port: Port on which the task listens.
        other_port: Port to which it forwards: of the stand-in for the
            guard, of the guard for the ingress.
    """
    is_guard = task == 'guard'
    settings = Settings(
        daemon=DaemonSettings(
            id='d1',
            peers_port=port if is_guard else 0,
            callers_port=0 if is_guard else port,
        ),
        backend_server=BackendServerSettings(
            SERVICE, f'http://{IP}:{other_port}'
        )
        if is_guard
        else BackendServerSettings(),
        calls=CallsSettings(hedge_share=0.02),
    )
    kernel = Kernel(
        Context(settings, MessageBus(), Random(1), PROCESS_ID), (task,)
    )
    await kernel.start()
    bus = kernel.context.bus
    bus.publish(TargetsChanged(TARGETS))
    bus.publish(HealthObserved(True))
    bus.publish(MembersChanged({'d1': create_member(other_port)}))
    await Event().wait()


def create_member(port: int) -> Member:
    """Return the member record of the only server."""
    return Member(
        'd1',
        1,
        IP,
        port,
        1,
        'region-1',
        'zone-1',
        SERVICE,
        ServerState.SERVING,
        process_id=PROCESS_ID,
    )


class CallRoute:
    """A route to the backend server, with its latency histogram in us."""

    def __init__(self, name: str, url: str, headers: dict[str, str]) -> None:
        """Create a route without measurements."""
        self.name = name
        self.url = url
        self.headers = headers
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)

    async def call(self, client: HttpClient, number: int) -> int:
        """Make one call and return its latency in microseconds.

        Raises:
            RuntimeError: The response is not the expected one.
        """
        headers = {**self.headers, REQUEST_ID: f'r{number}'}
        request = HttpRequest('GET', self.url, headers, b'', 5000)
        started_ns = perf_counter_ns()
        outcome = await client.send(request)
        took_us = (perf_counter_ns() - started_ns) // 1000
        match outcome:
            case Success(response) if response.body == RESPONSE_BODY:
                return took_us
        raise RuntimeError(
            f'{self.name}: expected {RESPONSE_BODY!r}, got {outcome}'
        )

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / 1000


async def wait_until_ready(route: CallRoute, client: HttpClient) -> None:
    """Repeat a call until it succeeds.

    Raises:
        RuntimeError: All attempts failed, for about 10 s.
    """
    for _ in range(MAX_READY_ATTEMPTS):
        try:
            await route.call(client, 0)
        except RuntimeError:
            await sleep(READY_RETRY_DELAY_S)
        else:
            return
    await route.call(client, 0)


def cpu_seconds(child: Child) -> float:
    """Return the CPU time of a child so far, in seconds."""
    assert child.process is not None
    fields = Path(f'/proc/{child.process.pid}/stat').read_text().split()
    # Fields 14 and 15 are user and system time in ticks of 10 ms.
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


async def measure(
    calls: int, seed: int
) -> tuple[list[CallRoute], dict[str, float]]:
    """Start the processes, make the calls, and end the processes.

    Returns:
        The routes, and the CPU time in us by process, per call that passed
        through it.

    Raises:
        RuntimeError: A response is not the expected one.
    """
    ports = Ports(IP)
    backend_port, guard_port, entry_port = (ports.reserve() for _ in range(3))
    guard_headers = {DEADLINE_MS: '5000', TARGET: 'balance'}
    routes = [
        CallRoute(ROUTE_NAMES[0], f'http://{IP}:{backend_port}/balances/7', {}),
        CallRoute(
            ROUTE_NAMES[1],
            f'http://{IP}:{guard_port}/balances/7',
            guard_headers,
        ),
        CallRoute(
            ROUTE_NAMES[2], f'http://{IP}:{entry_port}/{SERVICE}/balances/7', {}
        ),
    ]
    with TemporaryDirectory() as folder:
        children = [
            Child(name, ['-m', 'bench.hops', *arguments], Path(folder))
            for name, arguments in (
                ('backend', ['backend', str(backend_port)]),
                (
                    'guard',
                    ['daemon', 'guard', str(guard_port), str(backend_port)],
                ),
                (
                    'entry',
                    ['daemon', 'entry', str(entry_port), str(guard_port)],
                ),
            )
        ]
        client = HttpClient(4)
        try:
            for child in children:
                await child.start()
            for route in routes:
                await wait_until_ready(route, client)
            await warm_up(routes, client)
            before = [cpu_seconds(child) for child in children]
            await make_calls(routes, client, calls, Random(seed))
            after = [cpu_seconds(child) for child in children]
        except RuntimeError:
            for child in children:
                print(child.name, child.log_tail())
            raise
        finally:
            await client.close()
            for child in children:
                await child.end()
            ports.close()
    # The backend serves all three routes, the guard two and the entry one.
    call_counts = (3 * calls, 2 * calls, calls)
    return routes, {
        child.name: (end - begin) / count * US_PER_S
        for child, begin, end, count in zip(
            children, before, after, call_counts, strict=True
        )
    }


async def warm_up(routes: list[CallRoute], client: HttpClient) -> None:
    """Make calls whose latency is not recorded."""
    for number in range(WARM_UP_CALLS):
        await routes[number % len(routes)].call(client, number)


async def make_calls(
    routes: list[CallRoute], client: HttpClient, calls: int, rng: Random
) -> None:
    """Make the calls of all routes, interleaved in random order."""
    shuffled = [route for route in routes for _ in range(calls)]
    rng.shuffle(shuffled)
    for number, route in enumerate(shuffled):
        route.histogram.record_value(await route.call(client, number))


def print_table(routes: list[CallRoute]) -> None:
    """Print percentiles, added latency and ratios to the direct route."""
    print(
        f'{"way":<10}{"calls":>7}{"p50 ms":>9}{"p99 ms":>9}{"p99.9 ms":>10}'
        f'{"added p50":>11}{"added p99":>11}{"x p50":>7}{"x p99":>7}'
    )
    direct = routes[0]
    for route in routes:
        p50, p99, p999 = (
            route.percentile_ms(percentile) for percentile in (50, 99, 99.9)
        )
        base50, base99 = (
            direct.percentile_ms(percentile) for percentile in (50, 99)
        )
        count = route.histogram.get_total_count()
        print(
            f'{route.name:<10}{count:>7}{p50:>9.3f}{p99:>9.3f}{p999:>10.3f}'
            f'{p50 - base50:>11.3f}{p99 - base99:>11.3f}'
            f'{p50 / base50:>7.2f}{p99 / base99:>7.2f}'
        )


def run_on_uvloop(coroutine: Any) -> Any:
    """Run a coroutine on the event loop that daemons use."""
    # As in the daemon: the hosts forbid io_uring.
    environ['UV_USE_IO_URING'] = '0'
    from uvloop import new_event_loop

    with Runner(loop_factory=new_event_loop) as runner:
        return runner.run(coroutine)


@app.command
def backend(port: int) -> None:
    """Serve the backend stand-in."""
    run_on_uvloop(serve_backend(port))


@app.command
def daemon(task: str, port: int, other_port: int) -> None:
    """Run one task of a daemon."""
    configure_log('info')
    run_on_uvloop(serve_daemon(task, port, other_port))


@app.default
def main(calls: int = 4000, seed: int = 1) -> None:
    """Measure calls on each route and print a table.

    Args:
        calls: Number of calls on each route; at most 100000 are made.
        seed: Seed of the order of the calls.
    """
    started_s = monotonic()
    routes, cpu_us = run_on_uvloop(measure(min(calls, MAX_CALLS), seed))
    print_table(routes)
    spent = ', '.join(f'{name} {us:.0f}' for name, us in cpu_us.items())
    print(f'CPU time per call in us: {spent}')
    print(f'seed {seed}, {monotonic() - started_s:.1f} s in all')


if __name__ == '__main__':
    app()
