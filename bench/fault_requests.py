"""Cells of the fault matrix at the steps of a request."""

from asyncio import create_task, gather, sleep
from typing import Final

from bench.fault_fleet import FaultFleet
from bench.fault_judge import (
    describe,
    judge_budget,
    judge_calls,
    judge_graceful,
    judge_targets,
)
from bench.fault_steps import CALL_LIMIT_S, STEPS, Flight, release
from bench.fault_table import FAULTS, Place, begin_all

DWELL_S: Final = 0.15
NO_FLIGHT: Final = 'the request did not reach the step'


async def run_request_cell(
    fleet: FaultFleet, faults: tuple[str, ...], step_name: str, name: str
) -> dict[str, str]:
    """Put faults at a step of two requests and judge the properties.

    Returns:
        What was found by property; empty text where it holds.

    Raises:
        TimeoutError: The step was not reached.
    """
    step = STEPS.get(step_name)
    flight = Flight(fleet, name)
    await step.prepare(flight)
    flight.calls = [
        flight.create_call(kind, flight.entry) for kind in ('booking', 'lookup')
    ]
    running = [create_task(call.run(CALL_LIMIT_S)) for call in flight.calls]
    running += flight.filling
    try:
        flight.victim = await step.reach(flight)
        ran = await find_running(flight) if step.runs else set()
        await begin_all(faults, Place(fleet, flight.entry, flight.victim))
        await sleep(DWELL_S)
    finally:
        await release(flight)
        flight.outcomes = list(await gather(*running))
    await fleet.restore()
    for number, host in enumerate(fleet.hosts[1:]):
        again = flight.create_call(
            'booking', host, again=f'-again{number}', part='whole'
        )
        flight.outcomes.append(await again.run(CALL_LIMIT_S))
    found = judge_calls(fleet, flight.outcomes)
    found['recovery'] = await judge_recovery(flight)
    found['measuring budget'] = await judge_budget(fleet)
    found['targets'] = await judge_targets(fleet)
    if step.runs and all(FAULTS.get(one).drains for one in faults):
        found['graceful shutdown'] = judge_graceful(flight.outcomes, ran)
    return found


async def judge_recovery(flight: Flight) -> str:
    """Judge that new calls are answered once the faults have ended."""
    after = Flight(flight.fleet, f'{flight.name}-after')
    calls = [
        after.create_call(kind, after.entry) for kind in ('booking', 'lookup')
    ]
    outcomes = await gather(*(call.run(CALL_LIMIT_S) for call in calls))
    refused = [
        f'{one.call.kind.name}: {one.status} {one.verdict} {one.detail}'
        for one in outcomes
        if not one.answered
    ]
    return describe(refused)


async def find_running(flight: Flight) -> set[str]:
    """Return the requests that run on the server that drains."""
    judgement = await flight.fleet.judge(flight.victim)
    ran = judgement['runs_by_request_id']
    return {
        call.call.request_id
        for call in flight.calls
        if call.call.request_id in ran
    }
