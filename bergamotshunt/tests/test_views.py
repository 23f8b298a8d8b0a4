"""State of a service as one sender of requests sees it."""

from random import Random

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.choice.latencies import AttemptEnd
from bergamotshunt.choice.service_views import ServiceView, ViewRules
from bergamotshunt.tests.test_call_decisions import create_member


def create_service_view(
    names: str, chooser: str = 'expected-wait'
) -> ServiceView:
    view = ServiceView(ViewRules(chooser, 'zone-1'), Random(1), 0)
    view.replace_members([create_member(name) for name in names], 0)
    return view


def make_attempt(
    view: ServiceView, now_ms: float, failing: str = '', tried: tuple = ()
) -> str:
    """Make an attempt at a server that the view chooses.

    Args:
        view: The view.
        now_ms: Time of the attempt.
        failing: Names of the servers that fail, one letter each.
        tried: Servers that the call already tried.

    Returns:
        The name of the chosen server.
    """
    choice = view.choose(now_ms, tried, 0)
    assert choice is not None
    name = choice.candidate.member.daemon_id
    view.begin(name, now_ms)
    end = AttemptEnd('t', 5, name in failing, report=LoadReport(1, 10, 0, 5000))
    view.finish(name, end, now_ms + 5, choice.is_trial)
    return name


def test_failing_server_is_ejected_within_the_bound_and_returns() -> None:
    """Guards against fast failures that attract requests.

    Also against servers that stay ejected after they have recovered.
    """
    view = create_service_view('abcdef', 'random')
    for step in range(200):
        make_attempt(view, step * 10.0, 'abc')
    assert len(view.ejected.ejection_by_id) <= 2
    view = create_service_view('abcdef', 'random')
    for step in range(200):
        make_attempt(view, step * 10.0, 'a')
    assert set(view.ejected.ejection_by_id) == {'a'}
    assert len(view.same_zone) == 5
    for step in range(200, 1000):
        make_attempt(view, step * 10.0)
    assert not view.ejected.ejection_by_id
    assert len(view.same_zone) == 6


def test_fast_failure_counts_as_slow() -> None:
    """Guards against choosing a server because its failures are fast.

    One of two servers fails every request within 5 ms.
    """
    view = create_service_view('ab')
    counts = {'a': 0, 'b': 0}
    for step in range(100):
        counts[make_attempt(view, step * 1.0, 'a')] += 1
    assert counts['a'] < 10, counts


def test_tried_server_is_chosen_only_when_no_other_is_left() -> None:
    """Guards against a retry at the server that has just failed."""
    view = create_service_view('ab')
    for step in range(50):
        assert make_attempt(view, step, tried=('a',)) == 'b'
    assert make_attempt(view, 60, tried=('a', 'b')) in {'a', 'b'}
    assert ServiceView(view.rules, Random(1), 0).choose(0) is None


def test_ejections_keep_to_the_bound_when_servers_leave() -> None:
    """Guards against ejecting all remaining servers when others leave.

    Two of six servers are ejected when most of the others leave.
    """
    view = create_service_view('abcdef', 'random')
    for step in range(300):
        make_attempt(view, step * 10.0, 'ab')
    assert set(view.ejected.ejection_by_id) == {'a', 'b'}
    view.replace_members([create_member(name) for name in 'abc'], 4000)
    assert len(view.ejected.ejection_by_id) == 1
    view.replace_members([create_member('a')], 4000)
    assert not view.ejected.ejection_by_id
    assert make_attempt(view, 4001) == 'a'


def test_own_requests_in_flight_are_counted() -> None:
    """Guards against a wrong in-flight count after cancelled attempts.

    Of three attempts, one is cancelled, one ends and one goes on.
    """
    view = create_service_view('a')
    for step in range(3):
        view.begin('a', step)
    view.cancel('a', 0, 3)
    view.finish('a', AttemptEnd('t', 1), 5)
    assert view.candidate_by_id['a'].own_in_flight == 1
    assert view.same_zone[0] is view.candidate_by_id['a']
