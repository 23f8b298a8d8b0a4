"""Run cells of the fault matrix at the steps of a request."""

from asyncio import create_task, gather, sleep
from typing import Final

from bench.fault_checks import (
    check_budget,
    check_calls,
    check_graceful_shutdown,
    check_targets,
    describe,
)
from bench.fault_fleet import FaultFleet
from bench.fault_steps import CALL_TIMEOUT_S, STEPS, RequestRun, release
from bench.fault_table import FAULTS, FaultContext, inject_all

# Time from the injection of the faults until the held calls continue. The
# faults last longer, until the fleet is restored.
RELEASE_DELAY_S: Final = 0.15


async def run_request_cell(
    fleet: FaultFleet, faults: tuple[str, ...], step_name: str, name: str
) -> dict[str, str]:
    """Inject faults at a step of two requests and check the properties.

    Args:
        fleet: The fleet.
        faults: Names of the faults.
        step_name: Name of the step.
        name: Unique name of the cell, part of all request ids.

    Returns:
        The violations by property; empty text where it holds.

    Raises:
        TimeoutError: The requests did not reach the step.
    """
    step = STEPS.get(step_name)
    request_run = RequestRun(fleet, name)
    await step.prepare(request_run)
    request_run.calls = [
        request_run.create_call(kind, request_run.entry)
        for kind in ('booking', 'lookup')
    ]
    call_tasks = [
        create_task(call.run(CALL_TIMEOUT_S)) for call in request_run.calls
    ]
    call_tasks += request_run.filler_tasks
    try:
        request_run.faulty_host = await step.reach(request_run)
        started_ids = await find_running(request_run) if step.runs else set()
        await inject_all(
            faults,
            FaultContext(fleet, request_run.entry, request_run.faulty_host),
        )
        await sleep(RELEASE_DELAY_S)
    finally:
        await release(request_run)
        request_run.outcomes = list(await gather(*call_tasks))
    await fleet.restore()
    # Repeats at the daemons that did not receive the booking show whether it
    # runs a second time.
    for number, host in enumerate(fleet.hosts[1:]):
        repeat = request_run.create_call(
            'booking', host, suffix=f'-again{number}', first_part='whole'
        )
        request_run.outcomes.append(await repeat.run(CALL_TIMEOUT_S))
    violations = check_calls(fleet, request_run.outcomes)
    violations['recovery'] = await check_recovery(request_run)
    violations['measuring budget'] = await check_budget(fleet)
    violations['targets'] = await check_targets(fleet)
    if step.runs and all(FAULTS.get(fault).drains for fault in faults):
        violations['graceful shutdown'] = check_graceful_shutdown(
            request_run.outcomes, started_ids
        )
    return violations


async def check_recovery(request_run: RequestRun) -> str:
    """Return the new calls that failed after the end of the faults.

    The text is empty if all were answered.
    """
    recovery_run = RequestRun(request_run.fleet, f'{request_run.name}-after')
    calls = [
        recovery_run.create_call(kind, recovery_run.entry)
        for kind in ('booking', 'lookup')
    ]
    outcomes = await gather(*(call.run(CALL_TIMEOUT_S) for call in calls))
    failed = [
        f'{outcome.call.kind.name}: {outcome.status} {outcome.verdict} '
        f'{outcome.detail}'
        for outcome in outcomes
        if not outcome.answered
    ]
    return describe(failed)


async def find_running(request_run: RequestRun) -> set[str]:
    """Return the ids of the requests that have started on the faulty host."""
    counts = await request_run.fleet.read_counts(request_run.faulty_host)
    runs_by_request_id = counts['runs_by_request_id']
    return {
        raw_call.call.request_id
        for raw_call in request_run.calls
        if raw_call.call.request_id in runs_by_request_id
    }
