"""Tests of the plan and the checks of the mesh soak, without processes."""

from bench.mesh_actions import ACTIONS
from bench.mesh_checks import find_violations
from bench.mesh_plan import plan_events
from bench.mesh_records import (
    ClientRequest,
    Fault,
    History,
    Leaving,
    Outcome,
    ProcessExit,
    RequestRecord,
    Stop,
)
from standins.mesh_backend import ServerRun

STOPPED_S = 100.0


def record(kind: str = 'safe', path: str = '/read/1/9') -> RequestRecord:
    """Return a request that was answered 3 s after SIGTERM."""
    return RequestRecord(
        request=ClientRequest('r-1', kind, path, 9),
        host='h0',
        lifetime=1,
        sent_s=STOPPED_S + 1,
        ended_s=STOPPED_S + 3,
        outcome=Outcome.COMPLETE,
        status=200,
    )


def run_at(at_s: float) -> ServerRun:
    return ServerRun('r-1', 'i-0', 5, at_s)


def stopped_history(seen: RequestRecord) -> History:
    history = History()
    history.stops.append(Stop('h0', 1, STOPPED_S))
    history.requests.append(seen)
    history.runs.append(run_at(seen.sent_s))
    return history


def checks_of(history: History) -> list[str]:
    return [violation.check for violation in find_violations(history)]


def test_plan_is_function_of_seed() -> None:
    """Guards against runs that a seed does not repeat."""
    plans = [plan_events(seed, 40, 8) for seed in range(20)]
    assert plans == [plan_events(seed, 40, 8) for seed in range(20)]
    assert len(set(plans)) == len(plans)
    for plan in plans:
        for event in plan:
            assert ACTIONS.get(event.action)
            assert event.host < 8


def test_truncated_response_under_planned_work_is_lost() -> None:
    """Guards against a soak that overlooks the incident of issue 19."""
    whole = record()
    assert not checks_of(stopped_history(whole))
    truncated = whole._replace(outcome=Outcome.TRUNCATED)
    history = stopped_history(truncated)
    assert checks_of(history) == ['LOST']
    replaced = whole._replace(status=502)
    assert checks_of(stopped_history(replaced)) == ['LOST']
    history.faults.append(Fault('kill', 'h1', STOPPED_S, STOPPED_S))
    assert not checks_of(history)


def test_wrong_response_is_reported() -> None:
    """Guards against a soak that accepts another request's response."""
    history = stopped_history(record()._replace(mismatch='other bytes'))
    assert checks_of(history) == ['WHOLE']


def test_run_of_refused_request_is_reported() -> None:
    """Guards against a soak that overlooks a refusal that is not true."""
    history = stopped_history(record()._replace(status=503))
    assert checks_of(history) == ['NOT RUN']


def test_second_run_of_unsafe_request_is_reported() -> None:
    """Guards against a soak that overlooks a repeated booking."""
    history = stopped_history(record('unsafe'))
    assert not checks_of(history)
    history.runs.append(run_at(STOPPED_S + 2))
    assert checks_of(history) == ['TWICE']


def test_run_after_acknowledged_leaving_is_reported() -> None:
    """Guards against a soak that overlooks requests to a leaving server."""
    history = stopped_history(record())
    history.leavings.append(Leaving('i-0', 6, STOPPED_S))
    assert not checks_of(history)
    history.leavings.append(Leaving('i-0', 5, STOPPED_S))
    assert checks_of(history) == ['DRAIN']


def test_unanswered_request_is_reported() -> None:
    """Guards against a soak that overlooks requests that are never read."""
    seen = record()._replace(outcome=Outcome.OVERDUE, status=0)
    assert checks_of(stopped_history(seen)) == ['SILENT']


def test_ends_of_processes_are_checked() -> None:
    """Guards against a soak that overlooks a crash or a late end."""
    ended = ProcessExit('h0', 1, STOPPED_S + 3, 0, STOPPED_S, False, 0)
    cases: tuple[tuple[ProcessExit, list[str]], ...] = (
        (ended, []),
        (ended._replace(code=1), ['EXIT']),
        (ended._replace(code=-9, killed=True), []),
        (ended._replace(stopped_s=0), ['EXIT']),
        (ended._replace(at_s=STOPPED_S + 8), ['EXIT']),
        (ended._replace(at_s=STOPPED_S + 8, frozen_s=2), []),
    )
    for process_exit, expected in cases:
        history = History()
        history.exits.append(process_exit)
        assert checks_of(history) == expected


def test_older_configuration_is_reported() -> None:
    """Guards against a soak that overlooks a return to an older version."""
    seen = record('version', '/added-4/1/9')
    history = stopped_history(seen)
    later = seen._replace(
        sent_s=STOPPED_S + 4, ended_s=STOPPED_S + 4.1, status=404
    )
    history.requests.append(later._replace(lifetime=2))
    assert not checks_of(history)
    history.requests.append(later)
    assert checks_of(history) == ['CONFIG']
