"""Targets: change log, confirmation, readers, submissions, validation."""

from random import Random
from typing import Any

import pytest

from bergamotshunt.decisions.confirmation import (
    ConfirmationRules,
    Contacts,
    decide_confirmation,
    needs_platform_read,
    serve_until_ms,
)
from bergamotshunt.decisions.reader_election import (
    choose_random_peers,
    choose_readers,
    count_other_members,
    list_reachable,
)
from bergamotshunt.decisions.submissions import (
    Proposed,
    Repeated,
    SubmissionView,
    decide_submission,
)
from bergamotshunt.decisions.target_log import (
    TargetLog,
    add_change,
    add_snapshot,
    changes_since,
)
from bergamotshunt.decisions.targets_state import (
    TargetsState,
    create_pull_response,
    update_from_change,
    update_from_fetched,
    update_from_head,
    update_from_initial_fetch,
    update_from_revision,
)
from bergamotshunt.decisions.validation import check_service
from bergamotshunt.messages import PeerRevisionReceived, SubmitChange
from bergamotshunt.operators.targets import (
    Change,
    ServiceTargets,
    Target,
    TargetSet,
)
from bergamotshunt.operators.targets_codec import service_to_document
from bergamotshunt.operators.targets_messages import (
    InitialTargetsFetched,
    SubmitFailure,
    SubmitFailureKind,
    TargetsFetched,
)
from bergamotshunt.peers.members import Member, MemberStatus

RULES = ConfirmationRules(
    6000, refuse_unconfirmed=False, probe_interval_ms=1000
)
STRICT_RULES = RULES._replace(refuse_unconfirmed=True)


def targets_of(revision: int) -> ServiceTargets:
    target = Target('only', weight=float(revision))
    return ServiceTargets('jar-ledger', (target,), revision=revision)


def change_of(revision: int) -> Change:
    before = targets_of(revision - 1) if revision > 1 else None
    after = targets_of(revision)
    submission_id = f's{revision}'
    return Change(
        revision, 'jar-ledger', before, after, 'ana', 'why', submission_id, 0
    )


def log_at(revision: int) -> TargetLog:
    log = TargetLog()
    for number in range(1, revision + 1):
        log = add_change(log, change_of(number))
    return log


def state_at(revision: int, confirmed_ms: float = 0) -> TargetsState:
    contacts = Contacts(loaded=True, confirmed_ms=confirmed_ms)
    return TargetsState(log_at(revision), contacts)


def member(name: str, status: MemberStatus = MemberStatus.ALIVE) -> Member:
    return Member(name, 1, '127.0.0.1', 1, 1, 'r', 'z', 's', status=status)


def test_changes_come_into_force_in_order() -> None:
    """Guards against a change that is applied over a gap or backwards."""
    log = log_at(2)
    with_pending = add_change(log, change_of(4))
    assert with_pending.revision == 2
    assert add_change(with_pending, change_of(3)).revision == 4
    assert add_change(log, change_of(1)) == log
    too_far_ahead = add_change(log, change_of(1000))
    assert not too_far_ahead.pending_by_revision


def test_a_snapshot_is_taken_only_if_it_is_newer() -> None:
    """Guards against targets that revert to an older revision."""
    log = log_at(3)
    assert add_snapshot(log, TargetSet(2, {})) == log
    newer = add_snapshot(log, TargetSet(5, {}))
    assert newer.revision == 5
    assert changes_since(newer, 4) is None


def test_a_pull_returns_changes_or_a_snapshot() -> None:
    """Guards against a peer that stays behind, or gets needless changes."""
    state = state_at(3)
    assert [
        change.revision for change in create_pull_response(state, 1, 0).changes
    ] == [2, 3]
    assert create_pull_response(state, 2**62, 0).changes == ()
    full_response = create_pull_response(state, -1, 0)
    assert full_response.snapshot == (targets_of(3),)
    assert not create_pull_response(TargetsState(), -1, 0).loaded
    fetched = TargetsFetched(full_response, 'd2', 0)
    assert update_from_fetched(state_at(1), fetched).log.revision == 3


def test_only_the_revision_in_force_is_confirmed() -> None:
    """Guards against a confirmation age that is too low.

    A peer with another revision confirms nothing.
    """
    state = state_at(2, confirmed_ms=100)
    for revision, confirmed_ms in ((1, 100), (2, 4500), (3, 100)):
        message = PeerRevisionReceived(revision, 'd2', 500)
        after = update_from_revision(state, message, 5000)
        assert after.contacts.confirmed_ms == confirmed_ms
        assert after.contacts.peer_ms == 5000
    pulled = create_pull_response(state_at(2, confirmed_ms=3000), 2, 4000)
    after = update_from_fetched(state, TargetsFetched(pulled, 'd2', 5000))
    assert after.contacts.confirmed_ms == 4000


def test_a_stale_platform_response_counts_as_no_contact() -> None:
    """Guards against a lagging replica that keeps a daemon confirmed."""
    state = state_at(2, confirmed_ms=100)
    assert update_from_head(state, change_of(1), 5000) == state
    assert update_from_head(state, change_of(2), 5000).contacts == Contacts(
        loaded=True, platform_ms=5000, confirmed_ms=5000
    )


def test_a_daemon_knows_that_it_is_behind() -> None:
    """Guards against a daemon that does not fetch a newer known revision."""
    behind = update_from_revision(
        state_at(1), PeerRevisionReceived(3, 'd2', 0), 0
    )
    assert behind.is_behind
    assert behind.newest == (3, 'd2')
    assert update_from_change(state_at(1), change_of(3), 'd3', 0).is_behind
    caught_up = update_from_change(behind, change_of(2), 'd2', 0)
    caught_up = update_from_change(caught_up, change_of(3), 'd2', 0)
    assert not caught_up.is_behind
    assert caught_up.count_behind(frozenset(('d2',))) == 0
    assert state_at(3).count_behind(frozenset(('d2',))) == 0
    late = update_from_revision(caught_up, PeerRevisionReceived(2, 'd4', 0), 0)
    assert late.count_behind(frozenset(('d2', 'd4'))) == 1


def test_fetched_targets_confirm_by_their_source() -> None:
    """Guards against targets from a peer that count as confirmed now.

    At a start they are only as recently confirmed as they were at the peer.
    """
    fetched = InitialTargetsFetched(
        TargetSet(2, {'jar-ledger': targets_of(2)}), 5000, 1000, False, True
    )
    contacts = update_from_initial_fetch(TargetsState(), fetched).contacts
    assert contacts == Contacts(True, None, 5000, 1000)


@pytest.mark.parametrize(
    ('contacts', 'rules', 'now_ms', 'confirmed'),
    [
        (Contacts(), RULES, 0, False),
        (Contacts(True, 0, None, 0, other_member_count=0), RULES, 60_000, True),
        (
            Contacts(True, 0, None, 0, other_member_count=0),
            STRICT_RULES,
            60_000,
            False,
        ),
        (Contacts(True, 0, 0, 0, other_member_count=2), RULES, 6000, True),
        (Contacts(True, 0, 0, 0, other_member_count=2), RULES, 6001, False),
        (
            Contacts(True, 0, 50_000, 0, other_member_count=2),
            RULES,
            55_000,
            True,
        ),
        (
            Contacts(True, 0, 50_000, 0, other_member_count=2),
            STRICT_RULES,
            55_000,
            False,
        ),
        (
            Contacts(True, 0, 50_000, 46_000, other_member_count=2),
            STRICT_RULES,
            54_000,
            True,
        ),
        (
            Contacts(True, 50_000, 0, 50_000, other_member_count=2),
            STRICT_RULES,
            55_000,
            True,
        ),
    ],
)
def test_confirmation(
    contacts: Contacts,
    rules: ConfirmationRules,
    now_ms: float,
    confirmed: bool,
) -> None:
    """Guards against serving without contact, and refusing despite it."""
    decided = decide_confirmation(contacts, rules, now_ms)
    assert decided.confirmed is confirmed
    assert bool(decided.detail) is not confirmed


def test_only_readers_and_isolated_daemons_read_the_platform() -> None:
    """Guards against platform calls that grow with the fleet's size."""
    contacts = Contacts(True, 0, 9000, 0, other_member_count=5)
    assert needs_platform_read(contacts, RULES, is_reader=True, now_ms=10_000)
    assert not needs_platform_read(contacts, RULES, False, 10_000)
    assert needs_platform_read(contacts, RULES, False, 12_000)
    assert needs_platform_read(
        contacts._replace(other_member_count=0), RULES, False, 10_000
    )


def test_readers_are_the_same_everywhere_and_few() -> None:
    """Guards against a zone with no readers or too many.

    This happens when daemons choose different readers.
    """
    members = [member(f'd{number}') for number in range(30)]
    members += [member('dead', MemberStatus.DEAD)]
    in_other_zone = [
        member(f'f{number}')._replace(availability_zone='other')
        for number in range(300)
    ]
    chosen = choose_readers(members + in_other_zone, 'r', 'z', 2)
    shuffled = Random(1).sample(members, len(members))
    assert chosen == choose_readers(shuffled, 'r', 'z', 2)
    assert len(set(chosen)) == 2
    assert set(chosen) <= {candidate.daemon_id for candidate in members[:30]}
    remaining = [
        candidate for candidate in members if candidate.daemon_id != chosen[0]
    ]
    assert chosen[1] in choose_readers(remaining, 'r', 'z', 2)


def test_dead_members_count_as_known_but_are_not_contacted() -> None:
    """Guards against a cut-off daemon that takes itself for the only one.

    It would then serve without any confirmation.
    """
    members = [
        member('own'),
        member('d1', MemberStatus.DEAD),
        member('d2', MemberStatus.LEFT),
        member('d3', MemberStatus.SUSPECT),
    ]
    assert count_other_members(members, 'own') == 2
    reachable = list_reachable(members, 'own')
    assert [candidate.daemon_id for candidate in reachable] == ['d3']
    assert choose_random_peers(reachable, 4, Random(1)) == list(reachable)


def submission(**fields: Any) -> SubmitChange:
    message = SubmitChange('jar-ledger', targets_of(0), 2, 'ben', 'slow', 's9')
    return message._replace(**fields)


def test_submissions() -> None:
    """Guards against overwriting a change that the operator has not seen."""
    view = SubmissionView(7, targets_of(2), last_change=change_of(2))
    proposed = decide_submission(submission(), view, 1)
    assert isinstance(proposed, Proposed)
    assert proposed.change.revision == 8
    assert proposed.change.before == targets_of(2)
    conflict = decide_submission(submission(expected_revision=1), view, 1)
    assert isinstance(conflict, SubmitFailure)
    assert conflict.kind is SubmitFailureKind.CONFLICT
    assert conflict.conflicting_change == change_of(2)
    assert 'ana changed it in revision 2 (why)' in conflict.detail


def test_repeats_are_recognised() -> None:
    """Guards against a repeat that is applied twice or seen as a conflict."""
    view = SubmissionView(9, targets_of(9), earlier_change=change_of(3))
    repeat = submission(after=targets_of(3)._replace(revision=0))
    assert decide_submission(repeat, view, 1) == Repeated(change_of(3))
    different = decide_submission(submission(after=None), view, 1)
    assert isinstance(different, SubmitFailure)
    assert different.kind is SubmitFailureKind.REUSED


def test_removal_of_what_is_absent_is_refused() -> None:
    """Guards against change records that change nothing."""
    message = submission(after=None, expected_revision=0)
    refused = decide_submission(message, SubmissionView(2, None), 1)
    assert isinstance(refused, SubmitFailure)
    assert refused.kind is SubmitFailureKind.ABSENT


def test_document_can_be_read_and_sent_back() -> None:
    """Guards against an error for the field ``revision`` of a read document."""
    service = targets_of(3)
    checked = check_service(service_to_document(service), 'jar-ledger')
    assert checked.service == service._replace(revision=0)
    refused = check_service(
        {**service_to_document(service), 'revision': -1}, 'x'
    )
    assert 'revision' in {error.field for error in refused.errors}


@pytest.mark.parametrize('refuse_unconfirmed', [False, True])
@pytest.mark.parametrize('others', [0, 3])
def test_serving_ends_exactly_when_the_confirmation_does(
    others: int, refuse_unconfirmed: bool
) -> None:
    """Guards against two computations that differ on when to stop serving."""
    rules = ConfirmationRules(6000, refuse_unconfirmed, 1000)
    contacts = Contacts(True, 1000, 2000, 1500, others)
    until_ms = serve_until_ms(contacts, rules)
    for now_ms in range(2000, 20_000, 250):
        decided = decide_confirmation(contacts, rules, now_ms)
        assert decided.confirmed is (now_ms <= until_ms), now_ms
