"""Judges: what callers saw against what the backend servers ran."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from bench.load import Outcome

ServerCounts = dict[str, Any]


def find_double_runs(server_counts: Iterable[ServerCounts]) -> dict[str, int]:
    """Return the bookings that ran more than once, over all servers."""
    runs = Counter[str]()
    for counts in server_counts:
        runs.update(counts['executions_by_key'])
    return {key: count for key, count in runs.items() if count > 1}


def count_runs(server_counts: Iterable[ServerCounts]) -> Counter[str]:
    """Count the runs of each request id over all servers."""
    runs = Counter[str]()
    for counts in server_counts:
        runs.update(counts['runs_by_request_id'])
    return runs


def find_false_refusals(
    outcomes: Iterable[Outcome], server_counts: Iterable[ServerCounts]
) -> list[str]:
    """Return the requests that ran although the caller heard not run."""
    runs = count_runs(server_counts)
    return [
        outcome.call.request_id
        for outcome in outcomes
        if outcome.verdict == 'not-run' and runs[outcome.call.request_id]
    ]


def find_broken_responses(outcomes: Iterable[Outcome]) -> list[str]:
    """Return the requests whose responses are not whole or not their own."""
    return [
        outcome.call.request_id
        for outcome in outcomes
        if outcome.status and not (outcome.whole and outcome.own)
    ]


def find_violations(
    outcomes: list[Outcome], server_counts: list[ServerCounts]
) -> dict[str, Any]:
    """Return all violations of properties 2 to 4; empty when they hold."""
    faults = {
        'double runs': find_double_runs(server_counts),
        'ran despite not-run': find_false_refusals(outcomes, server_counts),
        'broken answers': find_broken_responses(outcomes),
    }
    return {name: found for name, found in faults.items() if found}


def share_measuring(server_counts: list[ServerCounts], seconds: float) -> float:
    """Return the share of all slots' time that probes took."""
    spent_ms = sum(counts['probe_ms'] for counts in server_counts)
    slots = sum(counts['slots'] for counts in server_counts)
    return float(spent_ms / (slots * seconds * 1000))


def share_extra(
    outcomes: list[Outcome], server_counts: list[ServerCounts]
) -> float:
    """Return runs beyond the first of each request, as a share."""
    runs = count_runs(server_counts)
    counts = [runs[outcome.call.request_id] for outcome in outcomes]
    ran = [count for count in counts if count]
    return sum(ran) / len(ran) - 1 if ran else 0
