"""Tests targets in fleets of real tasks, with the platform stand-in."""

from asyncio import gather, run
from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Result, Success

from bergamotshunt.messages import ChangeReceived, SubmitChange
from bergamotshunt.operators.targets import Change, ServiceTargets, Target
from bergamotshunt.operators.targets_messages import (
    ChangeList,
    ListChanges,
    PulledTargets,
    PullTargets,
    SubmitFailure,
    SubmitFailureKind,
)
from bergamotshunt.tests.targets_fleet import WAIT_TIMEOUT_S, Fleet, Node

Outcome = Result[Change, SubmitFailure]


def run_scenario(
    scenario: Callable[[Fleet], Awaitable[None]],
    count: int,
    **options: Any,
) -> None:
    async def body() -> None:
        async with Fleet(count, **options) as fleet:
            await scenario(fleet)

    run(body())


async def submit(
    node: Node,
    submission_id: str,
    revision: int = 0,
    service: str = 'jar-ledger',
    operator: str = 'ana',
) -> Outcome:
    target = Target('only', path_prefix=f'/{submission_id}')
    message = SubmitChange(
        service,
        ServiceTargets(service, (target,)),
        revision,
        operator,
        'because',
        submission_id,
    )
    outcome: Outcome = await node.bus.ask(message, WAIT_TIMEOUT_S)
    return outcome


async def list_submission_ids(node: Node) -> list[str]:
    listed: ChangeList = await node.bus.ask(ListChanges(0, 1000))
    assert listed.complete
    return [change.submission_id for change in listed.changes]


def test_a_change_is_in_force_everywhere() -> None:
    """Guards against a daemon that misses a change.

    A change reaches each daemon by a push, a pull or a watch.
    """

    async def scenario(fleet: Fleet) -> None:
        change = (await submit(fleet.nodes[3], 's1')).unwrap()
        reached = await gather(
            *(node.wait_for_revision(change.revision) for node in fleet.nodes)
        )
        assert all(
            target_set.by_service['jar-ledger'] == change.after
            for target_set in reached
        )
        assert fleet.stand_in.calls['txn'] == 1

    run_scenario(scenario, 12)


def test_a_lost_response_is_not_a_second_change() -> None:
    """Guards against a change that is committed twice.

    The platform commits the write but its response is lost, and the
    submission is then repeated at another daemon.
    """

    async def scenario(fleet: Fleet) -> None:
        node = fleet.nodes[0]
        fleet.stand_in.set_faults(lose_answers=1)
        first = await submit(node, 's1')
        assert fleet.stand_in.calls['lost'] == 1
        repeated = await submit(fleet.nodes[1], 's1')
        assert first == repeated
        assert first.unwrap().revision == 1
        assert await list_submission_ids(node) == ['s1']

    run_scenario(scenario, 2)


def test_an_unknown_outcome_is_reported_and_resolved_by_a_repetition() -> None:
    """Guards against an accepted change that is reported as not accepted.

    The platform commits the write, loses its response and goes down, so
    that the daemon cannot find out what happened.
    """

    async def scenario(fleet: Fleet) -> None:
        node = fleet.nodes[0]
        await node.wait_for_revision(0)
        fleet.stand_in.set_faults(lose_answers=1, down_after_loss='closed')
        outcome = await submit(node, 's1')
        assert outcome.failure().kind is SubmitFailureKind.UNKNOWN
        fleet.stand_in.set_faults(down='', down_after_loss='')
        await node.wait_for_revision(1)
        repeated = await submit(node, 's1')
        assert repeated.unwrap().revision == 1
        assert await list_submission_ids(node) == ['s1']

    run_scenario(scenario, 1)


def test_of_two_concurrent_changes_one_conflicts() -> None:
    """Guards against a change that overwrites another unnoticed.

    Two operators submit changes of the same revision at the same time.
    """

    async def scenario(fleet: Fleet) -> None:
        outcomes = await gather(
            submit(fleet.nodes[0], 's1', operator='ana'),
            submit(fleet.nodes[1], 's2', operator='ben'),
        )
        accepted = [
            outcome for outcome in outcomes if isinstance(outcome, Success)
        ]
        rejected = [
            outcome for outcome in outcomes if not isinstance(outcome, Success)
        ]
        assert len(accepted) == len(rejected) == 1
        failure = rejected[0].failure()
        assert failure.kind is SubmitFailureKind.CONFLICT
        assert failure.conflicting_change == accepted[0].unwrap()
        assert accepted[0].unwrap().operator in failure.detail

    run_scenario(scenario, 2)


def test_changes_of_other_services_do_not_conflict() -> None:
    """Guards against false conflicts between changes of different services.

    All changes compete for the head, from which each takes its revision.
    """

    async def scenario(fleet: Fleet) -> None:
        outcomes = await gather(
            *(
                submit(node, f's{number}', service=f'service-{number}')
                for number, node in enumerate(fleet.nodes)
            )
        )
        revisions = sorted(outcome.unwrap().revision for outcome in outcomes)
        assert revisions == [1, 2, 3, 4]

    run_scenario(scenario, 4)


def test_while_the_platform_is_down_the_fleet_serves_and_refuses_changes() -> (
    None
):
    """Guards against daemons that stop serving in an outage of the platform.

    While the platform is down, contact with a peer is enough to keep serving.
    """

    async def scenario(fleet: Fleet) -> None:
        await gather(
            *(node.wait_for_confirmation(True) for node in fleet.nodes)
        )
        fleet.stand_in.set_faults(down='closed')
        node = fleet.nodes[0]
        failure = (await submit(node, 's1')).failure()
        assert failure.kind is SubmitFailureKind.UNAVAILABLE
        await wait_for_age(node, 1500)
        for fleet_node in fleet.nodes:
            assert fleet_node.confirmations.mailbox.empty()

    run_scenario(scenario, 3, confirm_within_s=0.5)


def test_refuse_unconfirmed_stops_a_fleet_without_the_platform() -> None:
    """Guards against serving unconfirmed targets despite the setting.

    With ``refuse_unconfirmed``, only the platform confirms targets, not
    contacts within a fleet that is cut off from it.
    """

    async def scenario(fleet: Fleet) -> None:
        await gather(
            *(node.wait_for_confirmation(True) for node in fleet.nodes)
        )
        fleet.stand_in.set_faults(down='closed')
        details = await gather(
            *(node.wait_for_confirmation(False) for node in fleet.nodes)
        )
        assert all('platform' in detail for detail in details)
        fleet.stand_in.set_faults(down='')
        await gather(
            *(node.wait_for_confirmation(True) for node in fleet.nodes)
        )

    run_scenario(scenario, 3, confirm_within_s=0.5, refuse_unconfirmed=True)


def test_a_partitioned_daemon_refuses_until_the_partition_heals() -> None:
    """Guards against a daemon that serves stale targets in a partition.

    The daemon reaches neither the platform nor a peer, and a change is
    accepted meanwhile that it must apply once the partition heals.
    """

    async def scenario(fleet: Fleet) -> None:
        await gather(
            *(node.wait_for_confirmation(True) for node in fleet.nodes)
        )
        node = fleet.nodes[0]
        fleet.partition(node)
        fleet.stand_in.set_faults(down='closed')
        assert 'neither' in await node.wait_for_confirmation(False)
        fleet.stand_in.set_faults(down='')
        change = (await submit(fleet.nodes[1], 's1')).unwrap()
        fleet.partition(node, is_partitioned=False)
        await node.wait_for_confirmation(True)
        await node.wait_for_revision(change.revision)
        assert node.seen_revisions == sorted(node.seen_revisions)

    run_scenario(scenario, 3, confirm_within_s=0.5)


def test_a_single_daemon_serves_while_the_platform_is_down() -> None:
    """Guards against an outage of the platform that stops a single daemon.

    A fleet of one has no peers that could confirm its targets.
    """

    async def scenario(fleet: Fleet) -> None:
        node = fleet.nodes[0]
        await node.wait_for_confirmation(True)
        fleet.stand_in.set_faults(down='closed')
        await wait_for_age(node, 1500)
        assert node.confirmations.mailbox.empty()

    run_scenario(scenario, 1, confirm_within_s=0.5)


def test_a_daemon_without_any_source_does_not_serve() -> None:
    """Guards against a daemon that serves without having loaded targets.

    At its start, neither the platform nor a peer responds.
    """

    async def scenario(fleet: Fleet) -> None:
        fleet.stand_in.set_faults(down='closed')
        node = await fleet.add(('127.0.0.1:1',))
        await node.wait_for_confirmation(False)
        while not fleet.stand_in.calls['dropped']:
            await node.bus.ask(PullTargets(0))
        pulled: PulledTargets = await node.bus.ask(PullTargets(0))
        assert not pulled.loaded
        assert node.targets.mailbox.empty()
        fleet.stand_in.set_faults(down='')
        await node.wait_for_confirmation(True)

    run_scenario(scenario, 0)


def test_a_daemon_starts_from_a_peer_while_the_platform_is_down() -> None:
    """Guards against a start that depends on the platform.

    While the platform is down, a daemon must learn the targets from a peer.
    """

    async def scenario(fleet: Fleet) -> None:
        peer = fleet.nodes[0]
        change = (await submit(peer, 's1')).unwrap()
        await peer.wait_for_revision(1)
        fleet.stand_in.set_faults(down='closed')
        node = await fleet.add((address(peer),))
        learned = await node.wait_for_revision(0)
        assert learned.revision == 1
        assert learned.by_service['jar-ledger'] == change.after

    run_scenario(scenario, 1)


def test_a_start_prefers_a_newer_peer_to_a_stale_platform() -> None:
    """Guards against a start that applies an older revision.

    The platform returns stale data while a peer knows a newer revision.
    """

    async def scenario(fleet: Fleet) -> None:
        peer = fleet.nodes[0]
        await submit(peer, 's1')
        await peer.wait_for_revision(1)
        fleet.stand_in.set_faults(stale=True)
        await publish_unstored_change(peer)
        node = await fleet.add((address(peer),))
        assert (await node.wait_for_revision(0)).revision == 2
        assert node.seen_revisions[0] == 2

    async def publish_unstored_change(peer: Node) -> None:
        """Publish a change at the peer that the platform does not have."""
        after = ServiceTargets('catalog', (Target('only'),), revision=2)
        change = Change(2, 'catalog', None, after, 'ben', '', 's2', 0)
        peer.bus.publish(ChangeReceived(change))
        await peer.wait_for_revision(2)

    run_scenario(scenario, 1)


def test_the_audit_trail_is_bounded() -> None:
    """Guards against audit records and submission ids without a bound.

    More changes are submitted than ``audit_records`` allows to keep.
    """

    async def scenario(fleet: Fleet) -> None:
        node = fleet.nodes[0]
        for number in range(13):
            await submit(node, f's{number}', revision=number)
        submission_ids = [f's{number}' for number in range(3, 13)]
        assert await list_submission_ids(node) == submission_ids
        stored_ids = [
            key.rpartition('/')[2]
            for key in fleet.stand_in.by_key
            if '/submissions/' in key
        ]
        assert sorted(stored_ids) == sorted(submission_ids)

    run_scenario(scenario, 1, audit_records=10)


def test_only_readers_watch_the_platform() -> None:
    """Guards against platform calls that grow with the number of daemons.

    They would if every daemon watched the platform, not only the readers.
    """

    async def scenario(fleet: Fleet) -> None:
        await gather(
            *(node.wait_for_confirmation(True) for node in fleet.nodes)
        )
        change = (await submit(fleet.nodes[0], 's1')).unwrap()
        await gather(
            *(node.wait_for_revision(change.revision) for node in fleet.nodes)
        )
        assert fleet.stand_in.watching <= 2

    run_scenario(scenario, 10)


def address(node: Node) -> str:
    return f'127.0.0.1:{node.kernel.ports_by_kind["peers"]}'


async def wait_for_age(node: Node, age_ms: int) -> None:
    """Wait until a daemon's last confirmation is older than ``age_ms``."""
    while node.in_force is None or node.in_force.age_ms < age_ms:
        await node.bus.ask(PullTargets(0))
        node.in_force = (await node.revisions.get()).message
