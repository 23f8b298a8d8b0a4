"""Tests the fault matrix of the bench: its plan, checks and report."""

from collections import Counter
from typing import Any

from bench.checkers import find_violations
from bench.fault_changes import CHANGE_STEPS
from bench.fault_checks import check_graceful_shutdown
from bench.fault_life import LIFE_STEPS
from bench.fault_matrix import (
    TRACKS_BY_NAME,
    MatrixCell,
    plan_cells,
    plan_ci_cells,
)
from bench.fault_report import format_report
from bench.fault_steps import BALANCE_KIND, REFUND_KIND, STEPS
from bench.fault_table import FAULTS
from bench.faults import CellResult
from bench.load import ObservedOutcome, check_response
from bench.plans import Call, plan_calls
from bench.shapes import TINAJAS


def create_call(kind: Any = REFUND_KIND) -> Call:
    return Call(0, kind, kind.path_prefix, 'r1', 'b1', 0)


def create_counts(**counts: int) -> dict[str, Any]:
    return {
        'executions_by_key': Counter(b1=counts.get('b1', 0)),
        'runs_by_request_id': Counter(r1=counts.get('r1', 0)),
    }


def test_every_fault_is_planned_at_every_step() -> None:
    """Guards against a pair of fault and step that no cell covers.

    A step that is registered but not in its track would never be run.
    """
    cells = plan_cells()
    single = {
        (c.track, c.step, c.faults[0]) for c in cells if len(c.faults) == 1
    }
    assert single == {
        (track, step, fault)
        for track in TRACKS_BY_NAME
        for step in TRACKS_BY_NAME[track].steps
        for fault in FAULTS.names()
    }
    assert set(TRACKS_BY_NAME['request'].steps) == set(STEPS.names())
    assert set(TRACKS_BY_NAME['change'].steps) == set(CHANGE_STEPS.names())
    assert set(TRACKS_BY_NAME['life'].steps) == set(LIFE_STEPS.names())
    assert set(plan_ci_cells()) < set(cells)


def test_checks_detect_each_violation() -> None:
    """Guards against checks that pass a run in spite of a violation.

    A check that compares the wrong counts or fields never finds one.
    """
    good = ObservedOutcome(create_call(), 1, 200, 'ran')
    assert find_violations([good], [create_counts(b1=1, r1=1)]) == {}
    assert 'double runs' in find_violations(
        [good], [create_counts(b1=1), create_counts(b1=1)]
    )
    misreported = good._replace(status=503, verdict='not-run')
    assert 'ran despite not-run' in find_violations(
        [misreported], [create_counts(r1=1)]
    )
    assert 'broken answers' in find_violations([good._replace(own=False)], [])
    lost = good._replace(status=0)
    assert check_graceful_shutdown([lost], {'r1'})
    assert not check_graceful_shutdown([good], {'r1'})


def test_responses_are_checked() -> None:
    """Guards against truncated, foreign or damaged responses that pass.

    A foreign response is one to another request.
    """
    foreign = check_response(
        create_call(BALANCE_KIND), 200, {'x-request-id': 'r2'}, b''
    )
    assert not foreign.own
    truncated = check_response(
        create_call(BALANCE_KIND), 200, {'content-length': '2'}, b'1'
    )
    assert not truncated.whole
    digest = {'content-digest': 'sha-256=:AAAA:'}
    assert not check_response(
        create_call(BALANCE_KIND), 200, digest, b'1'
    ).whole


def test_failed_cell_is_in_the_report() -> None:
    """Guards against a failed cell that is only a row among all cells.

    The report lists failed cells first, as its tables have hundreds of rows.
    """
    cell = MatrixCell('request', ('server drains',), 'running')
    failed = CellResult(cell, 'failed', ('not run',), 'not run: r1')
    page = format_report([failed], 'command', 1)
    assert '## Failed cells\n\n- request, server drains' in page


def test_plans_are_reproducible_from_their_seed() -> None:
    """Guards against loads that differ between compared policies.

    Policies are compared with the same seed, which must give the same load.
    """
    assert plan_calls(TINAJAS, 1, 3) == plan_calls(TINAJAS, 1, 3)
    assert plan_calls(TINAJAS, 1, 3) != plan_calls(TINAJAS, 1, 4)
