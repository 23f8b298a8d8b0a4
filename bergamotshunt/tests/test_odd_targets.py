"""Tests daemons that read targets which another writer left odd."""

from asyncio import run, timeout
from json import dumps
from typing import Any

import pytest

from bench.processes import poll_until
from bergamotshunt.messages import StoreCommit, StorePut
from bergamotshunt.operators.targets import Change, ServiceTargets, Target
from bergamotshunt.operators.targets_codec import (
    HEAD_KEY,
    change_key,
    encode_change,
    encode_service,
    service_key,
)
from bergamotshunt.tests.targets_fleet import Fleet, Node

NESTED = b'[' * 100_000
HUGE = 99_999_999_999_999_999_999
TARGETS = ServiceTargets('jar-ledger', (Target('balance'),))


def change_of(revision: int) -> Change:
    targets = TARGETS._replace(revision=revision)
    return Change(
        revision, 'jar-ledger', None, targets, 'ana', 'r', f's{revision}', 0
    )


def odd_change(**fields: Any) -> bytes:
    """Encode a change, with integers of any size."""
    document: dict[str, Any] = {
        'revision': 2,
        'service': 'jar-ledger',
        'before': None,
        'after': None,
        'operator': 'eve',
        'reason': '',
        'submission_id': 's',
        'accepted_at': 0,
    }
    return dumps({**document, **fields}).encode()


ODD_CHANGES = {
    'no JSON': b'\xff\x00',
    'nested': b'{"x": ' + NESTED,
    'a list': b'[]',
    'no service': odd_change(after={'targets': []}),
    'huge revision': odd_change(revision=HUGE),
    'revision below zero': odd_change(revision=-1),
    'huge share': odd_change(
        after={'service': 'jar-ledger', 'measuring_share': 1e308}
    ),
    'huge time': odd_change(
        after={
            'service': 'jar-ledger',
            'targets': [{'name': 'a', 'answered_within_ms': HUGE}],
        }
    ),
}


async def write(node: Node, **contents_by_key: bytes) -> None:
    puts = tuple(StorePut(*item) for item in contents_by_key.items())
    assert (await node.bus.ask(StoreCommit((), puts))).unwrap().succeeded


async def write_change(node: Node, revision: int) -> None:
    change = change_of(revision)
    assert change.after is not None
    await write(
        node,
        **{
            change_key(revision): encode_change(change),
            service_key('jar-ledger'): encode_service(change.after),
            HEAD_KEY: encode_change(change),
        },
    )


async def wait_for_reads(fleet: Fleet, count: int) -> None:
    """Wait until the daemons have read the platform a few times."""
    wanted = fleet.stand_in.calls['range'] + count

    async def has_read() -> bool:
        return fleet.stand_in.calls['range'] >= wanted

    await poll_until(has_read, 20, 'the platform was not read')


def count_loops(node: Node, task: str) -> int:
    """Count the loops of a task that have not ended."""
    return len(node.kernel.tasks_by_name[task]._children)


@pytest.mark.parametrize('odd', ODD_CHANGES.values(), ids=ODD_CHANGES.keys())
def test_daemons_follow_the_targets_after_an_odd_change(odd: bytes) -> None:
    """Guards against daemons that stop to follow the targets.

    The platform holds an odd newest change for a while.
    """

    async def scenario() -> None:
        async with timeout(30), Fleet(2) as fleet:
            node = fleet.nodes[0]
            await write_change(node, 1)
            for follower in fleet.nodes:
                await follower.wait_for_revision(1)
            await write(node, **{HEAD_KEY: odd})
            await wait_for_reads(fleet, 4)
            await write_change(node, 2)
            for follower in fleet.nodes:
                in_force = await follower.wait_for_revision(2)
                assert in_force.by_service == {
                    'jar-ledger': TARGETS._replace(revision=2)
                }
                assert count_loops(follower, 'reader') == 2
                assert count_loops(follower, 'exchange') >= 1

    run(scenario())


def test_daemon_starts_with_an_odd_service_and_an_odd_head() -> None:
    """Guards against a daemon that never loads its targets.

    One service is odd all the time, the newest change at first.
    """

    async def scenario() -> None:
        async with timeout(30), Fleet(1) as fleet:
            first = fleet.nodes[0]
            await write_change(first, 1)
            await write(
                first,
                **{
                    HEAD_KEY: b'{"x": ' + NESTED,
                    service_key('odd'): b'{"x": ' + NESTED,
                },
            )
            await first.kernel.stop()
            fleet.nodes.clear()
            started = await fleet.add()
            await wait_for_reads(fleet, 2)
            await write(started, **{HEAD_KEY: encode_change(change_of(1))})
            in_force = await started.wait_for_revision(1)
            assert 'jar-ledger' in in_force.by_service

    run(scenario())


def test_daemon_catches_up_past_an_odd_record() -> None:
    """Guards against a daemon that cannot fetch the changes it is missing.

    The record of one of them is odd.
    """

    async def scenario() -> None:
        async with timeout(30), Fleet(1) as fleet:
            node = fleet.nodes[0]
            await write_change(node, 1)
            await node.wait_for_revision(1)
            await write(
                node,
                **{
                    change_key(2): b'{"x": ' + NESTED,
                    change_key(3): encode_change(change_of(3)),
                },
            )
            await write_change(node, 4)
            in_force = await node.wait_for_revision(4)
            assert in_force.by_service['jar-ledger'].revision == 4

    run(scenario())
