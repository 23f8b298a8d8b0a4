"""Command ``local``: a fleet in one process, with or without calls."""

from asyncio import Event, Runner, get_running_loop
from signal import SIGINT, SIGTERM
from statistics import quantiles
from sys import stderr
from typing import Final

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from bergamotshunt.daemon import EXIT_FAILED, EXIT_OK
from bergamotshunt.log import configure_log
from bergamotshunt.trying.local import IP, OPERATOR_TOKEN, LocalFleet
from bergamotshunt.trying.local_calls import (
    CallOutcome,
    count_double_bookings,
    run_calls,
)

PERCENTILES: Final = 100
MAX_SHOWN_FAULTS: Final = 10


def run_local(calls: int, seed: int) -> int:
    """Run the fleet, make the calls, or serve until SIGINT.

    Args:
        calls: Number of calls; 0 serves until a signal.
        seed: Seed of all random sources.

    Returns:
        Exit code 0 only if every response was whole and its caller's own
        and each booking ran at most once.
    """
    configure_log('error')
    console = Console()
    with Runner() as runner:
        return runner.run(serve_or_call(console, calls, seed))


async def serve_or_call(console: Console, calls: int, seed: int) -> int:
    """Start the fleet and do what the command asks for."""
    async with LocalFleet(seed) as fleet:
        show_addresses(console, fleet)
        if calls:
            return await call_and_report(console, fleet, calls)
        stopping = Event()
        for number in (SIGINT, SIGTERM):
            get_running_loop().add_signal_handler(number, stopping.set)
        console.print('Press Ctrl-C to stop.')
        await stopping.wait()
    return EXIT_OK


def show_addresses(console: Console, fleet: LocalFleet) -> None:
    """Print the ports of all daemons and commands to try."""
    table = Table('daemon', 'zone', 'callers', 'peers', 'admin')
    for server in fleet.servers:
        daemon = server.kernel.context.settings.daemon
        ports = server.kernel.ports_by_kind
        table.add_row(
            daemon.id,
            daemon.availability_zone,
            str(ports['callers']),
            str(ports['peers']),
            str(ports['admin']),
        )
    console.print(table)
    ports = fleet.servers[0].kernel.ports_by_kind
    admin = f'http://{IP}:{ports["admin"]}'
    for line in (
        f'curl -i http://{IP}:{ports["callers"]}/jar-ledger/balances/7',
        f'curl -H "Authorization: Bearer {OPERATOR_TOKEN}" {admin}/v1/targets',
    ):
        console.print(line, soft_wrap=True, highlight=False)


async def call_and_report(
    console: Console,
    fleet: LocalFleet,
    calls: int,
) -> int:
    """Make the calls and print what came of them."""
    with Progress(console=console) as progress:
        bar = progress.add_task('calls', total=calls)
        outcomes = await run_calls(fleet, calls, lambda: progress.advance(bar))
    show_outcomes(console, outcomes)
    doubled = count_double_bookings(fleet)
    faults = [
        f'{outcome.kind}: {fault}'
        for outcome in outcomes
        for fault in outcome.faults
    ]
    for line in faults[:MAX_SHOWN_FAULTS]:
        stderr.write(f'{line}\n')
    console.print(
        f'{len(outcomes)} calls, {len(faults)} faults, '
        f'{doubled} bookings that ran more than once (seed {fleet.seed})',
    )
    return EXIT_FAILED if faults or doubled else EXIT_OK


def show_outcomes(console: Console, outcomes: list[CallOutcome]) -> None:
    """Print responses, verdicts and latencies by kind."""
    table = Table('kind', 'verdict', 'calls', 'p50 ms', 'p99 ms')
    groups: dict[tuple[str, str], list[float]] = {}
    for outcome in outcomes:
        group = groups.setdefault((outcome.kind, outcome.verdict), [])
        group.append(outcome.latency_ms)
    for (kind, verdict), latencies in sorted(groups.items()):
        cuts = quantiles(latencies * 2, n=PERCENTILES)
        table.add_row(
            kind,
            verdict,
            str(len(latencies)),
            f'{cuts[49]:.1f}',
            f'{cuts[98]:.1f}',
        )
    console.print(table)
