"""Soak of the mesh daemon with faults: ``python -m bench.mesh_soak``.

Runs real daemons on loopback addresses and injects the faults of a seeded
plan from outside. Exits with 1 on a violation.
"""

from asyncio import create_task, gather, run
from collections import Counter
from pathlib import Path
from sys import exit as exit_process
from time import monotonic
from typing import Final

from cyclopts import App

from bench.known_red import read_known_red
from bench.mesh_actions import run_event
from bench.mesh_checks import Violation, find_violations
from bench.mesh_clients import CLIENT_KINDS, SoakClient
from bench.mesh_fleet import SoakFleet
from bench.mesh_plan import plan_events
from bench.mesh_report import (
    print_summary,
    print_violations,
    write_requests,
)
from bench.mesh_soak_cases import CI_CASES, REGRESSION_CASES, SoakCase

CLIENTS_BY_KIND: Final = {'downloader': 4}
DEFAULT_CLIENTS: Final = 1
LOGS_PATH: Final = Path('target/soak')

app = App(name='bench.mesh_soak', help='Soak the mesh daemon with faults.')


async def run_soak(case: SoakCase, folder: Path) -> list[Violation]:
    """Run the soak of one seed, print its result and return violations."""
    events = plan_events(case.seed, case.duration_s, case.hosts)
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob('*.log'):
        log.unlink()
    async with SoakFleet(case.seed, case.hosts, folder) as fleet:
        start_s = monotonic()
        clients = [
            create_task(SoakClient(fleet, host, kind, number).run())
            for host in fleet.hosts
            for kind in CLIENT_KINDS.names()
            for number in range(CLIENTS_BY_KIND.get(kind, DEFAULT_CLIENTS))
        ]
        await gather(*(run_event(fleet, event) for event in events))
        await gather(*clients)
    violations = find_violations(fleet.history)
    print_summary(case, fleet.history, violations)
    write_requests(fleet.history, start_s, folder)
    print_violations(violations, events, start_s, folder)
    return violations


def run_case(case: SoakCase, logs: Path) -> list[Violation]:
    """Run one case with its own folder for logs."""
    return run(run_soak(case, logs / f'seed-{case.seed}-{case.hosts}'))


@app.command
def ci(*, logs: Path = LOGS_PATH) -> None:
    """Run the fixed cases of CI; known failures are printed and passed over.

    Args:
        logs: Directory for the logs of the processes.
    """
    known = read_known_red().soak_checks_by_seed
    failed = False
    for case in CI_CASES:
        checks = Counter(violation.check for violation in run_case(case, logs))
        expected = known.get(case.seed, frozenset())
        for check in sorted(expected):
            print(
                f'known red, seed {case.seed}: {check}, {checks[check]} times'
            )
        failed = failed or bool(set(checks) - expected)
    exit_process(int(failed))


@app.command
def regressions(*, logs: Path = LOGS_PATH) -> None:
    """Run the seeds that once failed, each with the cause.

    Args:
        logs: Directory for the logs of the processes.
    """
    failed = False
    for case in REGRESSION_CASES:
        print(f'seed {case.seed}: {case.cause}')
        failed = bool(run_case(case, logs)) or failed
    exit_process(int(failed))


@app.default
def main(
    *,
    seed: int = 1,
    seeds: int = 1,
    duration_s: float = 30,
    hosts: int = 6,
    logs: Path = LOGS_PATH,
) -> None:
    """Run the soak of one or several seeds.

    Args:
        seed: First seed.
        seeds: Number of seeds.
        duration_s: Time in seconds over which events start.
        hosts: Number of hosts.
        logs: Directory for the logs of the processes.
    """
    failed_seeds = []
    for number in range(seed, seed + seeds):
        if run_case(SoakCase(number, duration_s, hosts), logs):
            failed_seeds.append(number)
    print(f'failed seeds: {failed_seeds or "none"}')
    exit_process(int(bool(failed_seeds)))


if __name__ == '__main__':
    app()
