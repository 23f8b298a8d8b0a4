"""Gossip tasks over loopback, and the bounds of their datagrams."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from bench.gossip_daemons import IP, GossipDaemon, wait_until
from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.kernel import Mailbox
from bergamotshunt.messages import (
    ConfirmationChanged,
    DaemonReplaced,
    DescribeLoad,
    DescribeTask,
    LoadReceived,
    MembersChanged,
    PeerReached,
    QueryLoad,
    PeerRevisionReceived,
    RevisionInForce,
    ServerStateChanged,
)
from bergamotshunt.peers.datagrams import (
    DATAGRAM_BYTES,
    NEWS_BYTES,
    Datagram,
    Kind,
)
from bergamotshunt.peers.gossip_codec import (
    decode_datagram,
    encode_datagram,
    measure,
)
from bergamotshunt.peers.members import (
    EraNews,
    Member,
    MemberStatus,
    ServerState,
    create_event,
)
from bergamotshunt.settings import MembershipSettings

FAST = MembershipSettings(
    probe_interval_ms=100,
    probe_timeout_ms=40,
    suspicion_factor=3,
    peer_probe_per_s=2,
)


@asynccontextmanager
async def fleet(size: int) -> AsyncIterator[list[GossipDaemon]]:
    daemons: list[GossipDaemon] = []
    mailboxes = []
    for number in range(size):
        known = (daemons[0].peer,) if daemons else ()
        daemon = GossipDaemon(f'd{number}', FAST, known)
        mailboxes.append(daemon.subscribe(MembersChanged))
        await daemon.open()
        daemons.append(daemon)
    names = {daemon.name for daemon in daemons}
    for daemon, mailbox in zip(daemons, mailboxes, strict=True):
        while not daemon.knows(names):
            await wait_until(mailbox, bool)
    try:
        yield daemons
    finally:
        for daemon in daemons:
            await daemon.close()


def drive(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())  # type: ignore[arg-type]


def has_status(name: str, status: MemberStatus) -> Callable[[Any], bool]:
    return lambda message: message.members_by_id[name].status is status


def test_crash_is_found_and_leave_is_told() -> None:
    """Guards against failures that no task notices, and silent leaves."""

    async def scenario() -> None:
        async with fleet(4) as daemons:
            heard = daemons[0].subscribe(MembersChanged)
            await daemons.pop().crash()
            await wait_until(heard, has_status('d3', MemberStatus.DEAD))
            await daemons.pop().close()
            left = await wait_until(heard, has_status('d2', MemberStatus.LEFT))
            assert left.members_by_id['d1'].status is MemberStatus.ALIVE

    drive(scenario)


def test_drain_reaches_peers() -> None:
    """Guards against new work for a backend server that is leaving."""

    async def scenario() -> None:
        async with fleet(3) as daemons:
            heard = daemons[0].subscribe(MembersChanged)
            daemons[2].context.bus.publish(
                ServerStateChanged(ServerState.DRAINING)
            )
            message = await wait_until(
                heard,
                lambda changed: (
                    changed.members_by_id['d2'].server_state
                    is ServerState.DRAINING
                ),
                2,
            )
            assert 'd2' in message.changed_ids

    drive(scenario)


def test_published_members_never_change() -> None:
    """Guards against consumers that see the owner's table change."""

    async def scenario() -> None:
        async with fleet(3) as daemons:
            heard = daemons[0].subscribe(MembersChanged)
            for state in (ServerState.DOWN, ServerState.SERVING):
                daemons[1].context.bus.publish(ServerStateChanged(state))
                message = await wait_until(
                    heard,
                    lambda changed: (
                        changed.members_by_id['d1'].server_state is state
                    ),  # noqa: B023
                )
                if state is ServerState.DOWN:
                    first = message
            held = first.members_by_id['d1'].server_state
            assert held is ServerState.DOWN

    drive(scenario)


def test_unchanged_members_are_not_published() -> None:
    """Guards against a copy of all members for each datagram."""

    async def scenario() -> None:
        async with fleet(3) as daemons:
            heard = daemons[0].subscribe(MembersChanged)
            reached = daemons[0].subscribe(PeerReached)
            while not heard.empty():
                heard.get_nowait()
            async with asyncio.timeout(10):
                for _ in range(6):
                    await reached.get()
            changes = [
                heard.get_nowait().message.changed_ids
                for _ in range(heard.qsize())
            ]
            assert all(changes), changes
            assert len(changes) <= 2, changes

    drive(scenario)


def test_later_process_with_the_same_id_takes_over() -> None:
    """Guards against two processes that serve under one daemon id."""

    async def scenario() -> None:
        async with fleet(3) as daemons:
            first = daemons[2]
            told: Mailbox = first.subscribe(DaemonReplaced, ConfirmationChanged)
            later = GossipDaemon(
                'd2', FAST, (daemons[0].peer,), 1_800_000_000_000
            )
            await later.open()
            daemons.append(later)
            refused = await wait_until(told, bool)
            assert refused.confirmed is False
            replaced = await wait_until(told, bool)
            assert replaced.replaced is True
            assert later.peer in replaced.detail
            status = await first.context.bus.ask(DescribeTask())
            holder = status['membership']['replaced_by']
            assert holder['process_id'] == 1_800_000_000_000
            assert later.gossip.members.replaced_by is None
            confirmed = ConfirmationChanged(True, 'targets are confirmed')
            first.context.bus.publish(confirmed)
            assert await wait_until(told, bool) == confirmed
            assert await wait_until(told, bool, 5) == refused

    drive(scenario)


def test_load_query_is_answered_within_its_rate() -> None:
    """Guards against load queries beyond their budget."""

    async def scenario() -> None:
        async with fleet(4) as daemons:
            report = LoadReport(3, 10, 1, 2000)
            for daemon in daemons[1:]:
                questions = daemon.subscribe(DescribeLoad)
                daemon.gossip.spawn(answer(questions, report))
            heard = daemons[0].subscribe(LoadReceived)
            daemons[0].context.bus.publish(
                QueryLoad(('d1', 'd2', 'd3', 'gone'))
            )
            answers = [await wait_until(heard, bool) for _ in range(2)]
            assert {told.daemon_id for told in answers} == {'d1', 'd2'}
            assert all(told.report == report for told in answers)
            assert not daemons[0].gossip.queries.by_sequence

    drive(scenario)


async def answer(questions: Mailbox, report: LoadReport) -> None:
    while True:
        envelope = await questions.get()
        assert envelope.reply is not None
        envelope.reply.set_result(report)


def test_datagrams_carry_the_revision() -> None:
    """Guards against a daemon that is behind and never learns it."""

    async def scenario() -> None:
        async with fleet(2) as daemons:
            heard = daemons[0].subscribe(PeerRevisionReceived)
            daemons[1].context.bus.publish(RevisionInForce(17, 4000))
            told = await wait_until(heard, lambda one: one.revision == 17)
            assert told.daemon_id == 'd1'
            assert 4000 <= told.age_ms < 60_000

    drive(scenario)


def test_malformed_datagrams_are_dropped_and_counted() -> None:
    """Guards against a datagram from outside that ends the task."""

    async def scenario() -> None:
        async with fleet(2) as daemons:
            port = daemons[0].gossip.udp.port
            contents = [
                b'',
                b'\x00' * 9000,
                b'\xff\xff',
                encode_datagram(Datagram(Kind.PING, 'x', 1))[:-2],
                measure(['not a datagram']) * b'\x93',
            ]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as outside:
                for content in contents:
                    outside.sendto(content, (IP, port))
            reached = daemons[0].subscribe(PeerReached)
            async with asyncio.timeout(10):
                for _ in range(3):
                    await reached.get()
            assert daemons[0].gossip.udp.traffic.malformed == len(contents)

    drive(scenario)


def test_largest_datagram_fits() -> None:
    """Guards against datagrams that the network would fragment."""
    name = 'n' * 64
    longest = Member(
        name,
        2**53,
        'ffff:' * 7 + 'ffff',
        65_535,
        65_535,
        name,
        name,
        name,
        ServerState.DOWN,
        MemberStatus.LEFT,
        2**53,
        2**31,
    )
    event = create_event(longest)
    era = EraNews(name, 2**53, 2**31)
    events = (event,) * (NEWS_BYTES // measure(event))
    rest = NEWS_BYTES - measure(event) * len(events)
    datagram = Datagram(
        Kind.LOAD_ANSWER,
        name,
        2**53,
        2**32,
        name,
        2**53,
        2**53,
        LoadReport(2**31, 2**31, 2**31, 2**31),
        events,
        (era,) * (rest // measure(era)),
    )
    content = encode_datagram(datagram)
    assert len(content) <= DATAGRAM_BYTES
    assert decode_datagram(content) == datagram


def test_first_exchanges_follow_each_other_faster() -> None:
    """Guards against daemons that started together and miss each other."""
    client = GossipDaemon('d0', FAST).gossip.sync
    rng = Random(1)
    pauses = [client.pause_s(0, 120, rng) for _ in range(9)]
    assert pauses[0] <= 6
    assert sum(pauses[:3]) < 60
    assert 60 <= pauses[-1] <= 180
    retries = [client.pause_s(attempt, 120, rng) for attempt in (1, 3, 20)]
    assert retries[0] <= 2
    assert 15 <= retries[2] <= 30
