"""Checkers that compare the outcomes of calls with server executions.

Property 2: responses are whole and the caller's own. Property 3: a request
reported as not run did not run. Property 4: a booking runs at most once.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from bench.load import ObservedOutcome

ServerCounts = dict[str, Any]


def find_double_runs(server_counts: Iterable[ServerCounts]) -> dict[str, int]:
    """Return the execution counts of bookings that ran more than once."""
    runs = Counter[str]()
    for counts in server_counts:
        runs.update(counts['executions_by_key'])
    return {key: count for key, count in runs.items() if count > 1}


def count_runs(server_counts: Iterable[ServerCounts]) -> Counter[str]:
    """Count the executions of each request id over all servers."""
    runs = Counter[str]()
    for counts in server_counts:
        runs.update(counts['runs_by_request_id'])
    return runs


def find_false_refusals(
    outcomes: Iterable[ObservedOutcome], server_counts: Iterable[ServerCounts]
) -> list[str]:
    """Return the ids of requests that ran despite the verdict not-run."""
    runs = count_runs(server_counts)
    return [
        outcome.call.request_id
        for outcome in outcomes
        if outcome.verdict == 'not-run' and runs[outcome.call.request_id]
    ]


def find_broken_responses(outcomes: Iterable[ObservedOutcome]) -> list[str]:
    """Return the ids of requests with a damaged or foreign response."""
    return [
        outcome.call.request_id
        for outcome in outcomes
        if outcome.status and not (outcome.whole and outcome.own)
    ]


def find_violations(
    outcomes: list[ObservedOutcome], server_counts: list[ServerCounts]
) -> dict[str, Any]:
    """Return the violations of properties 2 to 4 by name.

    A property that holds has no item.
    """
    violations = {
        'double runs': find_double_runs(server_counts),
        'ran despite not-run': find_false_refusals(outcomes, server_counts),
        'broken answers': find_broken_responses(outcomes),
    }
    return {name: found for name, found in violations.items() if found}


def compute_measuring_share(
    server_counts: list[ServerCounts], seconds: float
) -> float:
    """Return the share of the slot time of all servers spent on probes.

    Args:
        server_counts: Counters of all servers.
        seconds: Duration in seconds over which they counted.
    """
    spent_ms = sum(counts['probe_ms'] for counts in server_counts)
    slots = sum(counts['slots'] for counts in server_counts)
    return float(spent_ms / (slots * seconds * 1000))


def compute_extra_share(
    outcomes: list[ObservedOutcome], server_counts: list[ServerCounts]
) -> float:
    """Return the executions beyond the first, per executed request."""
    runs = count_runs(server_counts)
    counts = [runs[outcome.call.request_id] for outcome in outcomes]
    executed_counts = [count for count in counts if count]
    return (
        sum(executed_counts) / len(executed_counts) - 1
        if executed_counts
        else 0
    )
