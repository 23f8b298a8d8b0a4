"""Output of a soak: counts, violations and their traces."""

from collections import Counter
from http import HTTPStatus
from pathlib import Path
from typing import Final

from bench.mesh_checks import Violation
from bench.mesh_plan import SoakEvent
from bench.mesh_records import GRACE_S, History, Outcome
from bench.mesh_soak_cases import SoakCase

MAX_TRACES: Final = 4
MAX_LOG_LINES: Final = 12


def print_summary(
    case: SoakCase, history: History, violations: list[Violation]
) -> None:
    """Print one line of counts."""
    outcomes = Counter(record.outcome.name for record in history.requests)
    statuses = Counter(record.status for record in history.requests)
    checks = Counter(violation.check for violation in violations)
    print(
        f'seed {case.seed}, {case.duration_s:.0f} s, {case.hosts} hosts: '
        f'{len(history.requests)} requests {dict(outcomes)}, '
        f'status {dict(sorted(statuses.items()))}, {len(history.runs)} runs, '
        f'{len(history.exits)} processes ended; '
        f'violations: {dict(checks) or "none"}',
        flush=True,
    )


def write_requests(history: History, start_s: float, folder: Path) -> None:
    """Write one line for each request that did not get status 200."""
    lines = [
        f'{record.sent_s - start_s:.3f} to {record.ended_s - start_s:.3f} s '
        f'{record.host} process {record.lifetime} '
        f'"{record.request.request_id}" {record.request.kind} '
        f'status {record.status} {record.outcome.value}, '
        f'{record.received_bytes} of {record.request.size} bytes\n'
        for record in history.requests
        if record.status != HTTPStatus.OK
        or record.outcome is not Outcome.COMPLETE
    ]
    path = folder / 'requests.log'
    path.write_text(''.join(lines), encoding='utf-8')


def print_violations(
    violations: list[Violation],
    events: tuple[SoakEvent, ...],
    start_s: float,
    folder: Path,
) -> None:
    """Print the violations, the plan and the log lines of their requests.

    Args:
        violations: Violations in the order of their times.
        events: The plan of the run.
        start_s: Monotonic time of the start of the traffic.
        folder: Directory of the logs.
    """
    if not violations:
        return
    print(f'logs: {folder}; plan (s, action, host, duration, detail):')
    for event in events:
        print('  ', *event)
    for number, violation in enumerate(violations):
        at_s = violation.at_s - start_s
        print(
            f'{violation.check} at {at_s:.3f} s, host {violation.host or "?"}, '
            f'request {violation.request_id or "none"}: {violation.text}'
        )
        if number < MAX_TRACES:
            _print_trace(violation, events, at_s, folder)


def _print_trace(
    violation: Violation,
    events: tuple[SoakEvent, ...],
    at_s: float,
    folder: Path,
) -> None:
    near = [
        f'{event.at_s} {event.action} h{event.host}'
        for event in events
        if at_s - GRACE_S < event.at_s < at_s
    ]
    print(f'  events before: {", ".join(near) or "none"}')
    if violation.request_id:
        for line in _find_log_lines(folder, violation.request_id):
            print(f'  {line}')


def _find_log_lines(folder: Path, request_id: str) -> list[str]:
    marker = f'"{request_id}"'
    lines = [
        f'{path.stem}: {line}'
        for path in sorted(folder.glob('*.log'))
        for line in path.read_text(errors='replace').splitlines()
        if marker in line
    ]
    return lines[:MAX_LOG_LINES]
