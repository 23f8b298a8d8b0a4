"""Judges: what callers saw against what the backend servers ran."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from bench.load import Outcome

Judgement = dict[str, Any]


def find_double_runs(judgements: Iterable[Judgement]) -> dict[str, int]:
    """Return the bookings that ran more than once, over all servers."""
    runs = Counter[str]()
    for judgement in judgements:
        runs.update(judgement['executions_by_key'])
    return {key: count for key, count in runs.items() if count > 1}


def count_runs(judgements: Iterable[Judgement]) -> Counter[str]:
    """Count the runs of each request id over all servers."""
    runs = Counter[str]()
    for judgement in judgements:
        runs.update(judgement['runs_by_request_id'])
    return runs


def find_false_refusals(
    outcomes: Iterable[Outcome], judgements: Iterable[Judgement]
) -> list[str]:
    """Return the requests that ran although the caller heard not run."""
    runs = count_runs(judgements)
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


def find_faults(
    outcomes: list[Outcome], judgements: list[Judgement]
) -> dict[str, Any]:
    """Return all violations of properties 2 to 4; empty when they hold."""
    faults = {
        'double runs': find_double_runs(judgements),
        'ran despite not-run': find_false_refusals(outcomes, judgements),
        'broken answers': find_broken_responses(outcomes),
    }
    return {name: found for name, found in faults.items() if found}


def share_measuring(judgements: list[Judgement], seconds: float) -> float:
    """Return the share of all slots' time that probes took."""
    spent_ms = sum(judgement['probe_ms'] for judgement in judgements)
    slots = sum(judgement['slots'] for judgement in judgements)
    return float(spent_ms / (slots * seconds * 1000))


def share_extra(outcomes: list[Outcome], judgements: list[Judgement]) -> float:
    """Return runs beyond the first of each request, as a share."""
    runs = count_runs(judgements)
    counts = [runs[outcome.call.request_id] for outcome in outcomes]
    ran = [count for count in counts if count]
    return sum(ran) / len(ran) - 1 if ran else 0
