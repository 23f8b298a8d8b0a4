"""Command ``local``: runs a fleet in one process and makes calls to it."""

from asyncio import Event, Runner, get_running_loop
from signal import SIGINT, SIGTERM
from statistics import quantiles
from sys import stderr
from typing import Final

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from bergamotshunt.daemon import EXIT_FAILED, EXIT_OK
from bergamotshunt.local_fleet.fleet import IP, OPERATOR_TOKEN, LocalFleet
from bergamotshunt.local_fleet.mixed_calls import (
    CallOutcome,
    count_repeated_executions,
    run_calls,
)
from bergamotshunt.log import configure_log

PERCENTILE_COUNT: Final = 100
MAX_PRINTED_FAULTS: Final = 10


def run_local(calls: int, seed: int) -> int:
    """Run a local fleet for a number of calls, or until a signal.

    Args:
        calls: Number of calls; 0 serves until SIGINT or SIGTERM.
        seed: Seed of the daemons and of the mix of calls.

    Returns:
        Exit code 0 only if every response was complete and belonged to its
        request, and each booking was executed at most once.
    """
    configure_log('error')
    console = Console()
    with Runner() as runner:
        return runner.run(run_fleet(console, calls, seed))


async def run_fleet(console: Console, calls: int, seed: int) -> int:
    """Start the fleet, then make the calls or serve until a signal."""
    async with LocalFleet(seed) as fleet:
        print_addresses(console, fleet)
        if calls:
            return await run_and_report_calls(console, fleet, calls)
        stop_requested = Event()
        for signal_number in (SIGINT, SIGTERM):
            get_running_loop().add_signal_handler(
                signal_number, stop_requested.set
            )
        console.print('Press Ctrl-C to stop.')
        await stop_requested.wait()
    return EXIT_OK


def print_addresses(console: Console, fleet: LocalFleet) -> None:
    """Print the ports of all daemons and example commands."""
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


async def run_and_report_calls(
    console: Console,
    fleet: LocalFleet,
    calls: int,
) -> int:
    """Make the calls, print a summary and return the exit code."""
    with Progress(console=console) as progress:
        bar = progress.add_task('calls', total=calls)
        outcomes = await run_calls(fleet, calls, lambda: progress.advance(bar))
    print_outcomes(console, outcomes)
    repeated_count = count_repeated_executions(fleet)
    faults = [
        f'{outcome.kind}: {fault}'
        for outcome in outcomes
        for fault in outcome.faults
    ]
    for line in faults[:MAX_PRINTED_FAULTS]:
        stderr.write(f'{line}\n')
    console.print(
        f'{len(outcomes)} calls, {len(faults)} faults, '
        f'{repeated_count} bookings that ran more than once '
        f'(seed {fleet.seed})',
    )
    return EXIT_FAILED if faults or repeated_count else EXIT_OK


def print_outcomes(console: Console, outcomes: list[CallOutcome]) -> None:
    """Print call counts and latencies by kind and verdict."""
    table = Table('kind', 'verdict', 'calls', 'p50 ms', 'p99 ms')
    latencies_by_group: dict[tuple[str, str], list[float]] = {}
    for outcome in outcomes:
        latencies_ms = latencies_by_group.setdefault(
            (outcome.kind, outcome.verdict), []
        )
        latencies_ms.append(outcome.latency_ms)
    for (kind, verdict), latencies_ms in sorted(latencies_by_group.items()):
        # Doubled because quantiles() needs at least two values.
        percentiles_ms = quantiles(latencies_ms * 2, n=PERCENTILE_COUNT)
        table.add_row(
            kind,
            verdict,
            str(len(latencies_ms)),
            f'{percentiles_ms[49]:.1f}',
            f'{percentiles_ms[98]:.1f}',
        )
    console.print(table)
