"""Attempts, retries, hedged requests and bookings over real sockets."""

import asyncio
from base64 import b64encode
from collections.abc import AsyncIterator, Coroutine
from hashlib import sha256
from http import HTTPStatus

import pytest
from returns.result import Failure, Success

from bergamotshunt.choice.caller import Caller
from bergamotshunt.decisions.tickets import format_ticket
from bergamotshunt.entry.booking_calls import Ownership
from bergamotshunt.entry.call_parts import CallResponse, CallBody
from bergamotshunt.messages import Ticket
from bergamotshunt.tests.peers import (
    REFUND,
    SERVICE,
    CallBench,
    Peer,
    Received,
    Script,
    hang,
    refuse,
    reply,
    reset,
)
from bergamotshunt.verdicts import CallFailure, CutShortError, Verdict


def response_of(outcome: object) -> CallResponse:
    assert isinstance(outcome, Success), outcome
    return outcome.unwrap()


def failure_of(outcome: object) -> CallFailure:
    assert isinstance(outcome, Failure), outcome
    return outcome.failure()


def run(work: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 30))


def test_refused_connection_is_not_run_and_tried_elsewhere() -> None:
    """Guards against giving up, or claiming a run, without a connection."""

    async def work() -> None:
        async with CallBench(Peer('a', reply()), Peer('b', reply())) as bench:
            await bench.peers[0].close()
            response = response_of(await bench.call(bench.head()))
            assert response.daemon_id == 'b'
            await bench.peers[1].close()
            bench.caller.update_members({'a': bench.peers[0].member()})
            failure = failure_of(await bench.call(bench.head(deadline_ms=300)))
            assert failure.verdict is Verdict.NOT_RUN

    run(work())


@pytest.mark.parametrize(
    ('fault', 'is_framed'),
    [
        (reset, False),
        (reply(b'half', length=100), False),
        (reply(request_id='other'), False),
        (reply(headers='content-digest: sha-256=:AAAA:\r\n'), True),
        (reply(length=-1, close=True), False),
        (reply(verdict='unheard-of'), True),
    ],
    ids=['reset', 'cut', 'foreign', 'damaged', 'endless', 'no-verdict'],
)
def test_lost_response_may_have_run(fault: Script, is_framed: bool) -> None:
    """Guards against a fragment or a foreign response that reaches a caller."""

    async def work() -> None:
        async with CallBench(Peer('a', fault), Peer('b', reply())) as bench:
            assert response_of(await bench.call(bench.head())).body == b'ok'
            assert len(bench.peers[0].received) == 1
            # Deeper calls are not repeated once they may have run.
            bench.peers[0].lost.clear()
            bench.caller.update_members({'a': bench.peers[0].member()})
            failure = failure_of(await bench.call(bench.head(depth=1)))
            assert failure.verdict is Verdict.MAY_HAVE_RUN
            assert len(bench.peers[0].received) == 2
            # The connection of a broken exchange is not used again.
            assert bench.peers[0].connections == (1 if is_framed else 2)

    run(work())


def test_reset_before_the_request_is_read_may_have_run() -> None:
    """Guards against "not run" for bytes that may lie in a socket buffer."""

    async def work() -> None:
        async def drop(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.abort()

        peer = Peer('a')
        peer.serve = drop  # type: ignore[assignment, method-assign]
        async with CallBench(peer) as bench:
            failure = failure_of(await bench.call(bench.head(depth=1)))
            assert failure.verdict is Verdict.MAY_HAVE_RUN

    run(work())


def test_digest_of_an_intact_response_is_accepted() -> None:
    """Guards against a check that refuses intact responses."""

    async def work() -> None:
        digest = b64encode(sha256(b'ok').digest()).decode()
        headers = f'content-digest: sha-256=:{digest}:\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n'
        async with CallBench(Peer('a', reply(headers=headers))) as bench:
            response = response_of(await bench.call(bench.head()))
            cookies = [t for n, t in response.headers if n == b'set-cookie']
            assert cookies == [b'a=1', b'b=2']

    run(work())


def test_refusal_is_retried_at_another_server_without_its_pause() -> None:
    """Guards against waiting for one server while another is free."""

    async def work() -> None:
        busy = Peer('a', refuse('retry-after: 9\r\n'))
        async with CallBench(busy, Peer('b', reply())) as bench:
            head = bench.head(REFUND._replace(idempotent=True), 2000)
            assert response_of(await bench.call(head)).daemon_id == 'b'
            bench.caller.update_members({'a': busy.member()})
            failure = failure_of(await bench.call(bench.head(deadline_ms=900)))
            assert failure.verdict is Verdict.NOT_RUN
            assert failure.retry_after_ms == 9000
            assert len(busy.received) == 2

    run(work())


def test_retries_keep_to_the_budget() -> None:
    """Guards against retries that multiply the load of an overload."""

    async def work() -> None:
        peers = [Peer(name, refuse()) for name in 'abc']
        async with CallBench(*peers) as bench:
            for _ in range(50):
                await bench.call(bench.head())
            attempts = sum(len(peer.received) for peer in peers)
            # 2 tokens at the start, 10% of 50 calls, 0.1 a second.
            assert 50 < attempts <= 50 + 2 + 5 + 2, attempts

    run(work())


def test_slow_call_is_hedged_and_the_loser_is_closed() -> None:
    """Guards against tails of a slow server, and against abandoned work."""

    async def work() -> None:
        peers = (Peer('a', hang), Peer('b', reply()))
        async with CallBench(*peers) as bench:
            view = bench.caller.view_of(SERVICE)
            for _ in range(64):
                view.retry_budgets.record_latency('balance', 5)
            # Waiting for the loser would take longer than the test may.
            head = bench.head(deadline_ms=60_000)
            response = response_of(await bench.call(head))
            assert response.daemon_id == 'b'
            await asyncio.wait_for(peers[0].lost.wait(), 5)
            await asyncio.sleep(0)
            in_flight = [c.own_in_flight for c in view.near]
            assert in_flight == [0, 0]

    run(work())


def test_call_that_is_given_up_ends_downstream() -> None:
    """Guards against work for a caller that has left."""

    async def work() -> None:
        async with CallBench(Peer('a', hang)) as bench:
            call = asyncio.create_task(bench.call(bench.head()))
            await bench.peers[0].got_request.wait()
            call.cancel()
            await asyncio.wait_for(bench.peers[0].lost.wait(), 5)
            view = bench.caller.view_of(SERVICE)
            assert view.near[0].own_in_flight == 0

    run(work())


def test_deadline_ends_a_call() -> None:
    """Guards against waiting longer than the caller does."""

    async def work() -> None:
        async with CallBench(Peer('a', hang)) as bench:
            failure = failure_of(await bench.call(bench.head(deadline_ms=100)))
            assert failure.verdict is Verdict.MAY_HAVE_RUN
            left_ms = (
                bench.peers[0].received[0].headers['bergamotshunt-deadline-ms']
            )
            assert 0 < int(left_ms) <= 100

    run(work())


def test_large_response_is_streamed_and_a_cut_one_fails() -> None:
    """Guards against a large fragment that passes for a whole response."""

    async def work() -> None:
        large = b'x' * 1_000_000
        peers = (Peer('a', reply(large), reply(large, length=1_000_009)),)
        async with CallBench(*peers) as bench:
            response = response_of(await bench.call(bench.head()))
            assert response.rest is not None and response.length == len(large)
            assert len(response.body) < 200_000
            rest = [chunk async for chunk in response.rest]
            assert response.body + b''.join(rest) == large
            cut = response_of(await bench.call(bench.head()))
            assert cut.rest is not None
            with pytest.raises(CutShortError):
                async for _chunk in cut.rest:
                    pass
            view = bench.caller.view_of(SERVICE)
            assert view.near[0].own_in_flight == 0

    run(work())


def test_streamed_response_that_is_given_up_is_closed() -> None:
    """Guards against a connection that a caller's leaving keeps open."""

    async def work() -> None:
        peer = Peer('a', reply(b'x' * 1_000_000, length=2_000_000, close=False))
        async with CallBench(peer) as bench:
            response = response_of(await bench.call(bench.head()))
            assert response.rest is not None
            view = bench.caller.view_of(SERVICE)
            assert view.near[0].own_in_flight == 1
            response.rest.close()
            assert view.near[0].own_in_flight == 0
            await asyncio.wait_for(peer.lost.wait(), 5)

    run(work())


def test_streamed_request_is_sent_once() -> None:
    """Guards against resending the rest of a body as the whole."""

    async def work() -> None:
        async def chunks() -> AsyncIterator[bytes]:
            yield b'abc'
            yield b'def'

        peers = (Peer('a', refuse()), Peer('b', reply()))
        async with CallBench(*peers) as bench:
            outcome = await bench.caller.call(
                bench.head(), CallBody(stream=chunks())
            )
            assert failure_of(outcome).verdict is Verdict.NOT_RUN
            assert peers[0].received[0].body == b'abcdef'
            assert not peers[1].received

    run(work())


class FakeOwners:
    """Claims of one daemon, kept in memory."""

    def __init__(self, known: Ticket | None = None) -> None:
        self.ticket = known
        self.rebinds = 0

    async def resolve(
        self, service: str, key: str, proposed: Ticket
    ) -> Ownership:
        self.ticket = self.ticket or proposed
        return Success(self.ticket)

    async def rebind(
        self, service: str, key: str, failed: Ticket, proposed: Ticket
    ) -> Ownership:
        assert failed == self.ticket
        self.rebinds += 1
        self.ticket = proposed
        return Success(proposed)


def received(caller: Caller, *peers: Peer) -> list[Received]:
    return [got for peer in peers for got in peer.received]


def test_booking_goes_to_the_owner_of_its_key() -> None:
    """Guards against a booking that two servers run."""

    async def work() -> None:
        peers = (Peer('a', reply()), Peer('b', reply()))
        owned = Ticket('b', 7, 2, 'n' * 32)
        async with CallBench(*peers, owners=FakeOwners(owned)) as bench:
            # The owner answers repeats while it drains.
            draining = peers[1].member(server_state=2)
            bench.caller.update_members({'a': peers[0].member(), 'b': draining})
            for _ in range(5):
                head = bench.head(REFUND, key='k1')
                assert response_of(await bench.call(head)).daemon_id == 'b'
            assert not peers[0].received
            headers = peers[1].received[0].headers
            assert headers['bergamotshunt-ticket'] == format_ticket(owned)
            assert 'bergamotshunt-handover' not in headers

    run(work())


def test_booking_follows_its_successors_but_not_for_ever() -> None:
    """Guards against losing a handed-over key, and against a circle."""

    async def work() -> None:
        first = Peer('a', refuse('bergamotshunt-successor: b.7\r\n'))
        second = Peer('b', refuse('bergamotshunt-successor: c.7\r\n'))
        third = Peer('c', reply())
        owned = Ticket('a', 7, 2, 'n' * 32)
        async with CallBench(
            first, second, third, owners=FakeOwners(owned)
        ) as bench:
            head = bench.head(REFUND, key='k1')
            assert response_of(await bench.call(head)).daemon_id == 'c'
            headers = third.received[0].headers
            assert headers['bergamotshunt-handover'] == 'a.7,b.7,c.7'
            assert headers['bergamotshunt-ticket'] == format_ticket(owned)
            third.scripts = [refuse('bergamotshunt-successor: a.7\r\n')]
            failure = failure_of(await bench.call(head))
            assert failure.verdict is Verdict.NOT_RUN
            assert len(first.received) == 3

    run(work())


def test_new_booking_leaves_an_unreachable_owner() -> None:
    """Guards against refusing bookings while one server is gone."""

    async def work() -> None:
        peers = (Peer('a', reply()), Peer('b', reply()))
        owners = FakeOwners()
        async with CallBench(*peers, owners=owners) as bench:
            await peers[0].close()
            head = bench.head(REFUND, key='k1')
            assert response_of(await bench.call(head)).daemon_id == 'b'
            assert owners.rebinds == 1

    run(work())


def test_known_booking_with_a_lost_owner_may_have_run() -> None:
    """Guards against "not run" for a key that an earlier request ran."""

    async def work() -> None:
        class Refusing(FakeOwners):
            async def rebind(self, *_: object) -> Ownership:
                return Failure(
                    CallFailure(Verdict.NOT_RUN, HTTPStatus(503), 'r', 'd')
                )

        peers = (Peer('a', reply()), Peer('b', reply()))
        for lost in ('unreachable', 'restarted', 'unknown'):
            owned = Ticket('a' if lost != 'unknown' else 'z', 7, 2, 'n' * 32)
            owners = Refusing(owned)
            async with CallBench(*peers, owners=owners) as bench:
                if lost == 'restarted':
                    restarted = peers[0].member(process_id=8)
                    bench.caller.update_members(
                        {'a': restarted, 'b': peers[1].member()}
                    )
                else:
                    await peers[0].close()
                failure = failure_of(
                    await bench.call(bench.head(REFUND, key='k1'))
                )
                assert failure.verdict is Verdict.MAY_HAVE_RUN, lost
                assert not received(bench.caller, *peers)

    run(work())


def test_booking_that_may_have_run_is_not_sent_again() -> None:
    """Guards against running a booking twice after a lost response."""

    async def work() -> None:
        peers = (Peer('a', reset), Peer('b', reset))
        owners = FakeOwners()
        async with CallBench(*peers, owners=owners) as bench:
            failure = failure_of(await bench.call(bench.head(REFUND, key='k')))
            assert failure.verdict is Verdict.MAY_HAVE_RUN
            assert len(received(bench.caller, *peers)) == 1
            assert owners.rebinds == 0

    run(work())


def test_shed_booking_is_repeated_at_the_same_owner() -> None:
    """Guards against moving a key that its owner knows."""

    async def work() -> None:
        peers = (Peer('a', refuse(), reply()), Peer('b', reply()))
        owners = FakeOwners(Ticket('a', 7, 2, 'n' * 32))
        async with CallBench(*peers, owners=owners) as bench:
            response = response_of(
                await bench.call(bench.head(REFUND, key='k'))
            )
            assert response.daemon_id == 'a'
            assert len(peers[0].received) == 2 and not peers[1].received

    run(work())
