"""Check the seven properties after each cell of the fault matrix.

Each function returns the violations as a text, which is empty without any.
"""

from typing import Any, Final

from bench.checkers import (
    find_broken_responses,
    find_double_runs,
    find_false_refusals,
)
from bench.fault_fleet import FaultFleet
from bench.load import ObservedOutcome

# Properties 1 to 7, in this order.
PROPERTIES: Final = (
    'measuring budget',
    'whole answers',
    'not run',
    'at most once',
    'drain',
    'graceful shutdown',
    'targets',
)
# Share of slot time that probes may use; the default of the targets.
MEASURING_SHARE: Final = 0.005
# Slot time that probes may use at once from a full token bucket.
PROBE_BURST_MS: Final = 50
MS_PER_S: Final = 1000


def check_calls(
    fleet: FaultFleet, outcomes: list[ObservedOutcome]
) -> dict[str, str]:
    """Check properties 2 to 4 for the calls of a cell, by property."""
    journals = fleet.read_journals()
    ids = {outcome.call.request_id for outcome in outcomes}
    bookings = {outcome.call.booking for outcome in outcomes}
    double_runs = {
        key: count
        for key, count in find_double_runs([journals]).items()
        if key in bookings
    }
    false_refusals = ids.intersection(find_false_refusals(outcomes, [journals]))
    return {
        'whole answers': describe(find_broken_responses(outcomes)),
        'not run': describe(sorted(false_refusals)),
        'at most once': describe(double_runs),
    }


async def check_budget(fleet: FaultFleet) -> str:
    """Check property 1, the probe budget, since the start of each server."""
    exceeding = {}
    for counts in await fleet.read_all_counts():
        allowed_ms = (
            MEASURING_SHARE * counts['slots'] * counts['up_s'] * MS_PER_S
            + PROBE_BURST_MS
        )
        if counts['probe_ms'] > allowed_ms:
            exceeding[counts['name']] = (counts['probe_ms'], allowed_ms)
    return describe(exceeding)


async def check_targets(fleet: FaultFleet) -> str:
    """Check that no daemon has older targets in force than before.

    Daemons that do not respond are skipped.
    """
    older = {}
    for host in fleet.hosts:
        status = await fleet.read_status(host)
        if status is None:
            continue
        revision = status['targets']['revision']
        if revision < fleet.newest_revision:
            older[host.name] = (revision, fleet.newest_revision)
    return describe(older)


def check_graceful_shutdown(
    outcomes: list[ObservedOutcome], running: set[str]
) -> str:
    """Check that requests that ran when the drain began were answered.

    Args:
        outcomes: Outcomes of all calls.
        running: Ids of the requests that ran.
    """
    lost = [
        f'{outcome.call.request_id}: {outcome.status} {outcome.detail}'
        for outcome in outcomes
        if outcome.call.request_id in running and not outcome.answered
    ]
    return describe(lost)


def describe(violations: Any) -> str:
    """Return the violations as a text of up to 200 characters."""
    return str(violations)[:200] if violations else ''
