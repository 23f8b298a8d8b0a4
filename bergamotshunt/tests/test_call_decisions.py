"""Properties of choosers, ejection, retries, hedging and token buckets."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.choice.calls import CallHead, LoadReport
from bergamotshunt.decisions.choosers import CHOOSERS, choose_with_overflow
from bergamotshunt.decisions.deadlines import parse_timeout_ms
from bergamotshunt.decisions.ejection import (
    Ejection,
    OutcomeStats,
    eject,
    find_outliers,
    max_ejected,
    record_outcome,
    record_trial,
)
from bergamotshunt.decisions.hedging import hedge_delay_ms
from bergamotshunt.decisions.retries import (
    combine_failures,
    combine_verdicts,
    is_retry_permitted,
)
from bergamotshunt.decisions.scoring import (
    Candidate,
    ChoiceInput,
    TypicalServer,
)
from bergamotshunt.decisions.token_buckets import (
    TokenBucket,
    TokenBucketRule,
    has_token,
    refill,
    spend,
)
from bergamotshunt.operators.targets import Target
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.verdicts import (
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

DETERMINISTIC = settings(derandomize=True, max_examples=200, deadline=None)
FAILURES = {
    Verdict.NOT_RUN: create_refusal('shed', 'full'),
    Verdict.MAY_HAVE_RUN: create_unknown_outcome('timeout', 'no answer'),
}


def create_member(name: str, zone: str = 'zone-1') -> Member:
    return Member(
        name,
        1,
        '127.0.0.1',
        1,
        1,
        'r',
        zone,
        'jar-ledger',
        ServerState.SERVING,
        process_id=1,
    )


def create_call_head(idempotent: bool, depth: int = 0) -> CallHead:
    target = Target('t', idempotent=idempotent)
    return CallHead('jar-ledger', 'GET', '/', (), 'r1', 1000, target, depth)


@DETERMINISTIC
@given(
    st.lists(
        st.tuples(st.floats(0, 5000), st.booleans()), min_size=1, max_size=200
    ),
    st.floats(0, 1),
    st.floats(0, 1),
)
def test_token_bucket_never_pays_for_more_than_its_share(
    steps: list[tuple[float, bool]], share: float, floor_per_s: float
) -> None:
    """Guards against retries that multiply the load during an overload."""
    rule = TokenBucketRule(share, floor_per_s, capacity=10)
    bucket = TokenBucket(2, 0)
    spent, now_ms = 0, 0.0
    for gap_ms, is_failing in steps:
        now_ms += gap_ms
        bucket = refill(bucket, rule, now_ms)
        assert bucket.tokens <= rule.capacity
        while is_failing and has_token(bucket):
            bucket = spend(bucket)
            spent += 1
    granted = 2 + share * len(steps) + floor_per_s * now_ms / 1000
    assert spent <= granted + 1e-6


STATS = st.dictionaries(
    st.sampled_from([f's{number}' for number in range(12)]),
    st.builds(
        OutcomeStats, st.floats(0, 100), st.floats(0, 100), st.floats(0, 1000)
    ),
    min_size=1,
)


@DETERMINISTIC
@given(STATS, st.floats(0, 0.5), st.sets(st.integers(0, 11)))
def test_ejection_never_passes_its_bound(
    stats_by_id: dict[str, OutcomeStats],
    share: float,
    ejected_numbers: set[int],
) -> None:
    """Guards against ejecting all servers of a service that fails everywhere."""
    bound = max_ejected(len(stats_by_id), share)
    ejected = frozenset(
        sorted(f's{n}' for n in ejected_numbers if f's{n}' in stats_by_id)[
            :bound
        ]
    )
    found = find_outliers(stats_by_id, ejected, share)
    assert len(found) + len(ejected) <= share * len(stats_by_id) + 1e-6
    assert not ejected.intersection(found)
    for server in found:
        assert stats_by_id[server].outcomes >= 10


def test_one_of_three_servers_may_be_ejected() -> None:
    """Guards against rounding that disables ejection in small services."""
    assert max_ejected(100, 0.29) == 29
    assert [max_ejected(n, 1 / 3) for n in range(1, 10)] == [
        0,
        0,
        1,
        1,
        1,
        2,
        2,
        2,
        3,
    ]


def test_failing_server_is_ejected_and_returns_after_trials() -> None:
    """Guards against a server that fails fast and still gets requests."""
    stats_by_id = {f's{number}': OutcomeStats() for number in range(4)}
    for step in range(40):
        for server in stats_by_id:
            stats_by_id[server] = record_outcome(
                stats_by_id[server], 1, server == 's2', step * 10.0
            )
    assert find_outliers(stats_by_id, frozenset(), 1 / 3) == ('s2',)
    ejection = eject(None, 1000)
    failed = record_trial(ejection, False, 3000)
    assert failed and failed.until_ms - 3000 > ejection.until_ms - 1000
    state: Ejection | None = failed
    for _ in range(3):
        assert state is not None
        state = record_trial(state, True, 9000)
    assert state is None


def test_service_that_fails_everywhere_is_not_ejected() -> None:
    """Guards against ejecting servers for a fault that all of them have."""
    stats = OutcomeStats(50, 45, 2)
    stats_by_id = {f's{number}': stats for number in range(6)}
    assert find_outliers(stats_by_id, frozenset(), 1 / 3) == ()


@DETERMINISTIC
@given(st.lists(st.sampled_from(list(FAILURES)), min_size=1))
def test_one_attempt_that_may_have_run_decides_the_verdict(
    verdicts: list[Verdict],
) -> None:
    """Guards against the verdict "not run" for a call that may have run."""
    combined = combine_failures([FAILURES[verdict] for verdict in verdicts])
    assert combined.verdict is combine_verdicts(verdicts)
    may_have_run = Verdict.MAY_HAVE_RUN in verdicts
    assert (combined.verdict is Verdict.NOT_RUN) is not may_have_run


@DETERMINISTIC
@given(st.booleans(), st.integers(0, 7), st.sampled_from(list(FAILURES)))
def test_retries_follow_the_verdict(
    idempotent: bool, depth: int, verdict: Verdict
) -> None:
    """Guards against retrying a non-idempotent call that may have run.

    Also against retries on several levels of a call tree, which multiply
    the load.
    """
    permitted = is_retry_permitted(
        create_call_head(idempotent, depth), FAILURES[verdict]
    )
    safe = verdict is Verdict.NOT_RUN
    assert permitted is (safe or (idempotent and depth == 0))


@DETERMINISTIC
@given(
    st.sampled_from(CHOOSERS.names()),
    st.integers(0, 1000),
    st.lists(
        st.builds(
            Candidate,
            st.sampled_from([create_member('a'), create_member('b', 'zone-2')]),
            st.integers(0, 50),
            st.none()
            | st.builds(
                LoadReport,
                st.integers(0, 50),
                st.integers(0, 50),
                st.integers(0, 50),
                st.integers(0, 10**7),
            ),
            st.floats(0, 1e6),
            st.integers(0, 50),
            st.floats(0, 1e5),
            st.floats(0, 1e6),
            st.floats(0, 1e6),
            st.floats(0, 1e6),
            st.booleans(),
        ),
        min_size=1,
        max_size=9,
    ),
)
def test_every_chooser_returns_a_candidate(
    name: str, seed: int, candidates: list[Candidate]
) -> None:
    """Guards against a chooser that raises on extreme reports or few servers."""
    choice = ChoiceInput(1e6, Random(seed), seed, TypicalServer(3, 2))
    near = [candidate for candidate in candidates if candidate.near]
    far = [candidate for candidate in candidates if not candidate.near]
    chosen = choose_with_overflow(CHOOSERS.get(name), near, far, choice)
    assert chosen in candidates


def test_idle_server_does_not_attract_every_chooser() -> None:
    """Guards against herding on a server that reported to be idle."""
    busy = LoadReport(5, 10, 0, 3000)
    candidates = [
        Candidate(create_member(f's{n}'), 0, busy, 0, 0, 3, 0) for n in range(5)
    ]
    idle = Candidate(
        create_member('idle'), 0, LoadReport(0, 10, 0, 3000), 0, 0, 3, 0
    )
    for name in ('two-choices', 'hot-cold', 'expected-wait'):
        chosen = Counter(
            CHOOSERS.get(name)(
                [*candidates, idle],
                ChoiceInput(1, Random(seed), seed, TypicalServer(3, 5)),
            ).member.daemon_id
            for seed in range(600)
        )
        assert chosen['idle'] < 400, (name, chosen)


def test_old_reports_lose_weight() -> None:
    """Guards against avoiding a server because of an old report of high load."""
    full = LoadReport(10, 10, 20, 3000)
    typical = Candidate(
        create_member('a'), 1, LoadReport(3, 10, 0, 3000), 10_000, 1
    )
    old = Candidate(create_member('b'), 0, full, 0, 0)
    choice = ChoiceInput(10_000, Random(1), 0, TypicalServer(3, 2))
    choose = CHOOSERS.get('two-choices')
    assert choose([typical, old], choice).member.daemon_id == 'b'


def test_server_that_does_not_respond_is_avoided() -> None:
    """Guards against requests to a frozen server until their deadline."""
    frozen = Candidate(
        create_member('a'), 1, None, 0, 0, 2, 0, waiting_since_ms=0
    )
    responding = Candidate(
        create_member('b'), 5, None, 0, 0, 2, 0, waiting_since_ms=99
    )
    choice = ChoiceInput(100, Random(1), 0, TypicalServer(2, 0))
    choose = CHOOSERS.get('expected-wait')
    assert choose([frozen, responding], choice).member.daemon_id == 'b'


def test_far_zone_is_used_only_before_queueing() -> None:
    """Guards against needless traffic between zones, and against queueing."""
    near = Candidate(create_member('n'), 2, LoadReport(2, 10, 0, 0), 0, 2, 5, 0)
    full = near._replace(own_in_flight=12)
    far = near._replace(member=create_member('f', 'zone-2'), near=False)
    choose = CHOOSERS.get('expected-wait')
    choice = ChoiceInput(1, Random(1), 0, TypicalServer(5, 0))
    assert choose_with_overflow(choose, [near], [far], choice) == near
    assert choose_with_overflow(choose, [full], [far], choice) == far


def test_server_in_slow_start_gets_a_small_share() -> None:
    """Guards against full load on a server that has just started."""
    warm = [Candidate(create_member(f's{n}'), 3) for n in range(3)]
    cold = Candidate(create_member('cold'), 0, serving_since_ms=0)
    choose = CHOOSERS.get('two-choices')
    chosen = Counter(
        choose(
            [*warm, cold], ChoiceInput(1000, Random(seed), 0)
        ).member.daemon_id
        for seed in range(1000)
    )
    assert 0 < chosen['cold'] < 150, chosen


def test_hedge_delay_needs_enough_latencies() -> None:
    """Guards against a hedge delay that is based on too few latencies."""
    assert hedge_delay_ms([5.0] * 31) is None
    assert hedge_delay_ms([5.0] * 95 + [50.0] * 5) == 50
    assert hedge_delay_ms([0.1] * 100) == 2


@DETERMINISTIC
@given(st.text(max_size=15) | st.integers(0, 10**13).map(str))
def test_deadline_is_bounded(text: str) -> None:
    """Guards against malformed and unlimited deadlines."""
    parsed = parse_timeout_ms(text, 5000, 60_000)
    if text.isascii() and text.isdecimal() and len(text) <= 12:
        assert parsed == min(int(text), 60_000)
    else:
        assert parsed is None
