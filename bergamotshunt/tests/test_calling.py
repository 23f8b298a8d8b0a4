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
from bergamotshunt.ingress.booking_calls import Ownership
from bergamotshunt.ingress.call_types import CallBody, CallResponse
from bergamotshunt.messages import Ticket
from bergamotshunt.tests.peers import (
    REFUND,
    SERVICE,
    CallHarness,
    Peer,
    ReceivedRequest,
    Script,
    hang,
    refuse,
    reply,
    reset,
)
from bergamotshunt.verdicts import CallFailure, IncompleteResponseError, Verdict


def response_of(outcome: object) -> CallResponse:
    assert isinstance(outcome, Success), outcome
    return outcome.unwrap()


def failure_of(outcome: object) -> CallFailure:
    assert isinstance(outcome, Failure), outcome
    return outcome.failure()


def run(scenario: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_refused_connection_is_not_run_and_tried_elsewhere() -> None:
    """Guards against failing a call that another server can run.

    Also against a wrong verdict: a refused connection proves that the
    request was not run.
    """

    async def scenario() -> None:
        async with CallHarness(
            Peer('a', reply()), Peer('b', reply())
        ) as harness:
            await harness.peers[0].close()
            response = response_of(await harness.call(harness.head()))
            assert response.daemon_id == 'b'
            await harness.peers[1].close()
            harness.caller.update_members({'a': harness.peers[0].member()})
            failure = failure_of(
                await harness.call(harness.head(deadline_ms=300))
            )
            assert failure.verdict is Verdict.NOT_RUN

    run(scenario())


@pytest.mark.parametrize(
    ('fault', 'is_connection_reused'),
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
def test_lost_response_may_have_run(
    fault: Script, is_connection_reused: bool
) -> None:
    """Guards against passing a broken or foreign response on to a caller.

    The server resets the connection, or its response is cut short, belongs
    to another request, does not match its digest, has no detectable end or
    states no valid verdict.
    """

    async def scenario() -> None:
        async with CallHarness(Peer('a', fault), Peer('b', reply())) as harness:
            assert response_of(await harness.call(harness.head())).body == b'ok'
            assert len(harness.peers[0].received) == 1
            # Calls below the root of a call tree are not retried once they
            # may have run.
            harness.peers[0].disconnected.clear()
            harness.caller.update_members({'a': harness.peers[0].member()})
            failure = failure_of(await harness.call(harness.head(depth=1)))
            assert failure.verdict is Verdict.MAY_HAVE_RUN
            assert len(harness.peers[0].received) == 2
            # A connection is used again only after a response that was read
            # to its end and belongs to the request.
            expected_connections = 1 if is_connection_reused else 2
            assert harness.peers[0].connections == expected_connections

    run(scenario())


def test_reset_before_the_request_is_read_may_have_run() -> None:
    """Guards against the verdict "not run" for a request that was sent.

    Its bytes may be in a socket buffer of the peer when the reset arrives.
    """

    async def scenario() -> None:
        async def drop(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.abort()

        peer = Peer('a')
        peer.serve = drop  # type: ignore[assignment, method-assign]
        async with CallHarness(peer) as harness:
            failure = failure_of(await harness.call(harness.head(depth=1)))
            assert failure.verdict is Verdict.MAY_HAVE_RUN

    run(scenario())


def test_digest_of_an_intact_response_is_accepted() -> None:
    """Guards against a digest check that rejects intact responses.

    Also against merging headers that occur more than once, such as Set-Cookie.
    """

    async def scenario() -> None:
        digest = b64encode(sha256(b'ok').digest()).decode()
        headers = f'content-digest: sha-256=:{digest}:\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n'
        async with CallHarness(Peer('a', reply(headers=headers))) as harness:
            response = response_of(await harness.call(harness.head()))
            cookies = [t for n, t in response.headers if n == b'set-cookie']
            assert cookies == [b'a=1', b'b=2']

    run(scenario())


def test_refusal_is_retried_at_another_server_without_its_pause() -> None:
    """Guards against waiting for a busy server while another one is free.

    The busy server asks for a pause of 9 s, which exceeds the deadline.
    """

    async def scenario() -> None:
        busy = Peer('a', refuse('retry-after: 9\r\n'))
        async with CallHarness(busy, Peer('b', reply())) as harness:
            head = harness.head(REFUND._replace(idempotent=True), 2000)
            assert response_of(await harness.call(head)).daemon_id == 'b'
            harness.caller.update_members({'a': busy.member()})
            failure = failure_of(
                await harness.call(harness.head(deadline_ms=900))
            )
            assert failure.verdict is Verdict.NOT_RUN
            assert failure.retry_after_ms == 9000
            assert len(busy.received) == 2

    run(scenario())


def test_retries_keep_to_the_budget() -> None:
    """Guards against retries that multiply the load during an overload.

    All servers refuse, so every call would retry.
    """

    async def scenario() -> None:
        peers = [Peer(name, refuse()) for name in 'abc']
        async with CallHarness(*peers) as harness:
            for _ in range(50):
                await harness.call(harness.head())
            attempts = sum(len(peer.received) for peer in peers)
            # 2 initial tokens, 10% of 50 calls, 0.1 tokens per second.
            assert 50 < attempts <= 50 + 2 + 5 + 2, attempts

    run(scenario())


def test_slow_call_is_hedged_and_the_loser_is_closed() -> None:
    """Guards against calls that wait for a slow server while another is free.

    Also against attempts that keep running after the hedged one succeeded.
    The first server never responds.
    """

    async def scenario() -> None:
        peers = (Peer('a', hang), Peer('b', reply()))
        async with CallHarness(*peers) as harness:
            view = harness.caller.view_of(SERVICE)
            for _ in range(64):
                view.retry_budgets.record_latency('balance', 5)
            # Waiting for the slow attempt would exceed the test's timeout.
            head = harness.head(deadline_ms=60_000)
            response = response_of(await harness.call(head))
            assert response.daemon_id == 'b'
            await asyncio.wait_for(peers[0].disconnected.wait(), 5)
            await asyncio.sleep(0)
            in_flight = [c.own_in_flight for c in view.same_zone]
            assert in_flight == [0, 0]

    run(scenario())


def test_call_that_is_given_up_ends_downstream() -> None:
    """Guards against attempts that keep running for a caller that has left.

    The call is cancelled while the server works on its request.
    """

    async def scenario() -> None:
        async with CallHarness(Peer('a', hang)) as harness:
            call = asyncio.create_task(harness.call(harness.head()))
            await harness.peers[0].got_request.wait()
            call.cancel()
            await asyncio.wait_for(harness.peers[0].disconnected.wait(), 5)
            view = harness.caller.view_of(SERVICE)
            assert view.same_zone[0].own_in_flight == 0

    run(scenario())


def test_deadline_ends_a_call() -> None:
    """Guards against attempts that outlast the deadline of the caller.

    The server never responds.
    """

    async def scenario() -> None:
        async with CallHarness(Peer('a', hang)) as harness:
            failure = failure_of(
                await harness.call(harness.head(deadline_ms=100))
            )
            assert failure.verdict is Verdict.MAY_HAVE_RUN
            left_ms = (
                harness.peers[0]
                .received[0]
                .headers['bergamotshunt-deadline-ms']
            )
            assert 0 < int(left_ms) <= 100

    run(scenario())


def test_large_response_is_streamed_and_a_cut_one_fails() -> None:
    """Guards against a truncated large response that appears complete.

    The second response ends 9 bytes before its stated length.
    """

    async def scenario() -> None:
        large = b'x' * 1_000_000
        peers = (Peer('a', reply(large), reply(large, length=1_000_009)),)
        async with CallHarness(*peers) as harness:
            response = response_of(await harness.call(harness.head()))
            assert response.rest is not None and response.length == len(large)
            assert len(response.body) < 200_000
            rest = [chunk async for chunk in response.rest]
            assert response.body + b''.join(rest) == large
            cut = response_of(await harness.call(harness.head()))
            assert cut.rest is not None
            with pytest.raises(IncompleteResponseError):
                async for _chunk in cut.rest:
                    pass
            view = harness.caller.view_of(SERVICE)
            assert view.same_zone[0].own_in_flight == 0

    run(scenario())


def test_streamed_response_that_is_given_up_is_closed() -> None:
    """Guards against connections that stay open after the caller has left.

    The caller closes a response whose second half never arrives.
    """

    async def scenario() -> None:
        peer = Peer('a', reply(b'x' * 1_000_000, length=2_000_000, close=False))
        async with CallHarness(peer) as harness:
            response = response_of(await harness.call(harness.head()))
            assert response.rest is not None
            view = harness.caller.view_of(SERVICE)
            assert view.same_zone[0].own_in_flight == 1
            response.rest.close()
            assert view.same_zone[0].own_in_flight == 0
            await asyncio.wait_for(peer.disconnected.wait(), 5)

    run(scenario())


def test_streamed_request_is_sent_once() -> None:
    """Guards against retrying with only the unsent rest of a streamed body.

    The first server refuses the request after it has read the body.
    """

    async def scenario() -> None:
        async def chunks() -> AsyncIterator[bytes]:
            yield b'abc'
            yield b'def'

        peers = (Peer('a', refuse()), Peer('b', reply()))
        async with CallHarness(*peers) as harness:
            outcome = await harness.caller.call(
                harness.head(), CallBody(stream=chunks())
            )
            assert failure_of(outcome).verdict is Verdict.NOT_RUN
            assert peers[0].received[0].body == b'abcdef'
            assert not peers[1].received

    run(scenario())


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


def received(caller: Caller, *peers: Peer) -> list[ReceivedRequest]:
    return [got for peer in peers for got in peer.received]


def test_booking_goes_to_the_owner_of_its_key() -> None:
    """Guards against a booking that is run by two servers.

    Repeats have to go to the owner of the key, even while it is draining.
    """

    async def scenario() -> None:
        peers = (Peer('a', reply()), Peer('b', reply()))
        owned = Ticket('b', 7, 2, 'n' * 32)
        async with CallHarness(*peers, owners=FakeOwners(owned)) as harness:
            # A draining owner still responds to repeated bookings.
            draining = peers[1].member(server_state=2)
            harness.caller.update_members(
                {'a': peers[0].member(), 'b': draining}
            )
            for _ in range(5):
                head = harness.head(REFUND, key='k1')
                assert response_of(await harness.call(head)).daemon_id == 'b'
            assert not peers[0].received
            headers = peers[1].received[0].headers
            assert headers['bergamotshunt-ticket'] == format_ticket(owned)
            assert 'bergamotshunt-handover' not in headers

    run(scenario())


def test_booking_follows_its_successors_but_not_for_ever() -> None:
    """Guards against losing a handed-over key, and against endless cycles.

    Servers refuse the booking and name a successor; in the second call, the
    successors form a cycle.
    """

    async def scenario() -> None:
        owner = Peer('a', refuse('bergamotshunt-successor: b.7\r\n'))
        successor = Peer('b', refuse('bergamotshunt-successor: c.7\r\n'))
        second_successor = Peer('c', reply())
        owned = Ticket('a', 7, 2, 'n' * 32)
        async with CallHarness(
            owner, successor, second_successor, owners=FakeOwners(owned)
        ) as harness:
            head = harness.head(REFUND, key='k1')
            assert response_of(await harness.call(head)).daemon_id == 'c'
            headers = second_successor.received[0].headers
            assert headers['bergamotshunt-handover'] == 'a.7,b.7,c.7'
            assert headers['bergamotshunt-ticket'] == format_ticket(owned)
            second_successor.scripts = [
                refuse('bergamotshunt-successor: a.7\r\n')
            ]
            failure = failure_of(await harness.call(head))
            assert failure.verdict is Verdict.NOT_RUN
            assert len(owner.received) == 3

    run(scenario())


def test_new_booking_leaves_an_unreachable_owner() -> None:
    """Guards against refusing new bookings while one server is unreachable.

    The key is bound to that server first, and to another one when the
    connection is refused.
    """

    async def scenario() -> None:
        peers = (Peer('a', reply()), Peer('b', reply()))
        owners = FakeOwners()
        async with CallHarness(*peers, owners=owners) as harness:
            await peers[0].close()
            head = harness.head(REFUND, key='k1')
            assert response_of(await harness.call(head)).daemon_id == 'b'
            assert owners.rebinds == 1

    run(scenario())


def test_known_booking_with_a_lost_owner_may_have_run() -> None:
    """Guards against the verdict "not run" for a key that was run before.

    The owner of the key is unreachable, restarted or unknown, and the key
    cannot be bound to another server.
    """

    async def scenario() -> None:
        class RefusingOwners(FakeOwners):
            async def rebind(self, *_: object) -> Ownership:
                return Failure(
                    CallFailure(Verdict.NOT_RUN, HTTPStatus(503), 'r', 'd')
                )

        peers = (Peer('a', reply()), Peer('b', reply()))
        for owner_state in ('unreachable', 'restarted', 'unknown'):
            owned = Ticket(
                'a' if owner_state != 'unknown' else 'z', 7, 2, 'n' * 32
            )
            owners = RefusingOwners(owned)
            async with CallHarness(*peers, owners=owners) as harness:
                if owner_state == 'restarted':
                    restarted = peers[0].member(process_id=8)
                    harness.caller.update_members(
                        {'a': restarted, 'b': peers[1].member()}
                    )
                else:
                    await peers[0].close()
                failure = failure_of(
                    await harness.call(harness.head(REFUND, key='k1'))
                )
                assert failure.verdict is Verdict.MAY_HAVE_RUN, owner_state
                assert not received(harness.caller, *peers)

    run(scenario())


def test_booking_that_may_have_run_is_not_sent_again() -> None:
    """Guards against running a booking again after its response was lost.

    The owner resets the connection once it has read the booking.
    """

    async def scenario() -> None:
        peers = (Peer('a', reset), Peer('b', reset))
        owners = FakeOwners()
        async with CallHarness(*peers, owners=owners) as harness:
            failure = failure_of(
                await harness.call(harness.head(REFUND, key='k'))
            )
            assert failure.verdict is Verdict.MAY_HAVE_RUN
            assert len(received(harness.caller, *peers)) == 1
            assert owners.rebinds == 0

    run(scenario())


def test_shed_booking_is_repeated_at_the_same_owner() -> None:
    """Guards against rebinding a key whose owner is still reachable.

    The owner refuses the first attempt and accepts the second.
    """

    async def scenario() -> None:
        peers = (Peer('a', refuse(), reply()), Peer('b', reply()))
        owners = FakeOwners(Ticket('a', 7, 2, 'n' * 32))
        async with CallHarness(*peers, owners=owners) as harness:
            response = response_of(
                await harness.call(harness.head(REFUND, key='k'))
            )
            assert response.daemon_id == 'a'
            assert len(peers[0].received) == 2 and not peers[1].received

    run(scenario())
