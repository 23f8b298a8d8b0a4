"""The seven properties, judged after each cell of the fault matrix."""

from typing import Any, Final

from bench.fault_fleet import FaultFleet
from bench.judges import (
    find_broken_responses,
    find_double_runs,
    find_false_refusals,
)
from bench.load import Outcome

PROPERTIES: Final = (
    'measuring budget',
    'whole answers',
    'not run',
    'at most once',
    'drain',
    'graceful shutdown',
    'targets',
)
MEASURING_SHARE: Final = 0.005
# Probes that a full token bucket may spend at once.
BURST_MS: Final = 50
MS_PER_S: Final = 1000


def judge_calls(fleet: FaultFleet, outcomes: list[Outcome]) -> dict[str, str]:
    """Judge properties 2 to 4 for the calls of a cell."""
    journals = fleet.read_journals()
    ids = {outcome.call.request_id for outcome in outcomes}
    bookings = {outcome.call.booking for outcome in outcomes}
    doubles = {
        key: count
        for key, count in find_double_runs([journals]).items()
        if key in bookings
    }
    denied = ids.intersection(find_false_refusals(outcomes, [journals]))
    return {
        'whole answers': describe(find_broken_responses(outcomes)),
        'not run': describe(sorted(denied)),
        'at most once': describe(doubles),
    }


async def judge_budget(fleet: FaultFleet) -> str:
    """Judge property 1 for all servers since their start."""
    over = {}
    for judgement in await fleet.judge_all():
        allowed_ms = (
            MEASURING_SHARE * judgement['slots'] * judgement['up_s'] * MS_PER_S
            + BURST_MS
        )
        if judgement['probe_ms'] > allowed_ms:
            over[judgement['name']] = (judgement['probe_ms'], allowed_ms)
    return describe(over)


async def judge_targets(fleet: FaultFleet) -> str:
    """Judge that no daemon went back to older targets."""
    older = {}
    for host in fleet.hosts:
        status = await fleet.read_status(host)
        if status is None:
            continue
        revision = status['targets']['revision']
        if revision < fleet.newest_revision:
            older[host.name] = (revision, fleet.newest_revision)
    return describe(older)


def judge_graceful(outcomes: list[Outcome], running: set[str]) -> str:
    """Judge that requests that ran at a drain were answered."""
    lost = [
        f'{outcome.call.request_id}: {outcome.status} {outcome.detail}'
        for outcome in outcomes
        if outcome.call.request_id in running and not outcome.answered
    ]
    return describe(lost)


def describe(found: Any) -> str:
    """Describe what was found; empty when there is nothing."""
    return str(found)[:200] if found else ''
