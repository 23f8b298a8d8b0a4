"""Tests of the ingress on real sockets, with scripted peers behind it."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from random import Random

import pytest
from aiohttp import ClientPayloadError, ClientSession
from msgspec.json import decode
from returns.result import Success

from bergamotshunt.decisions.tickets import parse_ticket
from bergamotshunt.kernel import Context, MessageBus
from bergamotshunt.messages import (
    ConfirmationChanged,
    MembersChanged,
    ResolveBooking,
    ServeUntil,
    TargetsChanged,
)
from bergamotshunt.plugins.ingress import (
    IngressTask,
    update_confirmation,
    update_members,
    update_serve_deadline,
    update_targets,
)
from bergamotshunt.settings import CallsSettings, DaemonSettings, Settings
from bergamotshunt.tests.peers import (
    SETTINGS,
    TARGETS,
    Peer,
    ReceivedRequest,
    hang,
    refuse,
    reply,
)


def run(scenario: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(scenario, 30))


class IngressHarness:
    """Runs an ingress task with scripted peers and no other tasks."""

    def __init__(
        self, *peers: Peer, settings: CallsSettings = SETTINGS
    ) -> None:
        self.peers = peers
        self.settings = settings

    async def __aenter__(self) -> 'IngressHarness':
        daemon = DaemonSettings(id='d1')
        settings = Settings(daemon=daemon, calls=self.settings)
        self.ingress = IngressTask(
            Context(settings, MessageBus(), Random(1), 1)
        )
        await self.ingress.open()
        self.url = f'http://127.0.0.1:{self.ingress.http.port}'
        for peer in self.peers:
            await peer.open()
        members = {peer.name: peer.member() for peer in self.peers}
        update_members(self.ingress, MembersChanged(members))
        self.session = ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        await self.ingress.close()
        for peer in self.peers:
            await peer.close()

    def set_targets(self) -> None:
        update_targets(self.ingress, TargetsChanged(TARGETS))

    async def send_raw(self, request: str) -> tuple[int, dict[str, str], bytes]:
        """Send a request that HTTP client libraries refuse to send."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ingress.http.port
        )
        writer.write(request.encode('latin-1'))
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        lines = head.split('\r\n')
        headers = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines[1:])
        }
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        writer.close()
        return int(lines[0].split()[1]), headers, body


@pytest.mark.parametrize(
    ('request_text', 'status'),
    [
        ('GET /jar-ledger/balances/%zz HTTP/1.1\r\n', 400),
        ('GET /jar-ledger/balances/../refunds HTTP/1.1\r\n', 400),
        ('GET /jar-ledger/balances/%2e%2e/refunds HTTP/1.1\r\n', 400),
        ('POST /jar-ledger/%72efunds HTTP/1.1\r\n', 400),
        ('POST /jar-ledger//refunds HTTP/1.1\r\n', 400),
        ('POST /jar-ledger/refunds HTTP/1.1\r\n', 400),
        ('GET /unknown/x HTTP/1.1\r\n', 404),
        ('DELETE /jar-ledger/balances HTTP/1.1\r\n', 404),
        ('GET / HTTP/1.1\r\n', 404),
        ('OPTIONS * HTTP/1.1\r\n', 404),
        ('GET /jar-ledger/balances HTTP/1.1\r\nbergamotshunt-deadline-ms: -1\r\n', 400),
        ('GET /jar-ledger/balances HTTP/1.1\r\nbergamotshunt-depth: 1e9\r\n', 400),
        ('GET /jar-ledger/balances HTTP/1.1\r\nbergamotshunt-depth: 99\r\n', 508),
        ('GET /jar-ledger/balances HTTP/1.1\r\nbergamotshunt-internal: yes\r\n', 400),
        ('GET /jar-ledger/balances HTTP/1.1\r\nbergamotshunt-request-id: a b\r\n', 400),
        ('GET /jar-ledger/balances HTTP/1.1\r\nidempotency-key: 1\r\nidempotency-key: 2\r\n', 400),
        ('GET /jar-ledger/balances HTTP/1.1\r\nx: \xff\r\n', 400),
        ('GET /jar-ledger/balances HTTP/1.1\r\nx: ' + 'y' * 20_000 + '\r\n', 431),
        ('GET /jar-ledger/balances HTTP/1.1\r\ncontent-length: 99999999999\r\n', 413),
        ('GET /bergamotshunt/tickets/jar-ledger HTTP/1.1\r\n', 405),
        ('POST /bergamotshunt/tickets/unknown HTTP/1.1\r\n', 404),
    ],
)  # fmt: skip
def test_bad_request_gets_a_problem_document(
    request_text: str, status: int
) -> None:
    """Guards against tracebacks and against refusals without a verdict.

    A malformed request has to be refused as not run before it reaches a
    server.
    """

    async def scenario() -> None:
        async with IngressHarness(Peer('a', reply())) as harness:
            harness.set_targets()
            actual_status, headers, body = await harness.send_raw(
                f'{request_text}host: x\r\n\r\n'
            )
            assert actual_status == status, body
            assert headers['bergamotshunt-verdict'] == 'not-run'
            assert decode(body)['verdict'] == 'not-run'
            assert not harness.peers[0].received

    run(scenario())


def test_headers_that_callers_may_not_set_are_dropped() -> None:
    """Guards against callers that choose a booking owner or a target.

    They could by sending headers that only daemons may set.
    """

    async def scenario() -> None:
        async with IngressHarness(Peer('a', reply())) as harness:
            harness.set_targets()
            await harness.send_raw(
                'GET /jar-ledger/balances/1?x=%20 HTTP/1.1\r\nhost: x\r\n'
                'bergamotshunt-ticket: bk1.a.1.1.aaaaaaaa\r\n'
                'bergamotshunt-target: other\r\nbergamotshunt-depth: 2\r\n'
                'bergamotshunt-internal: 1\r\nbergamotshunt-request-id: r9\r\n'
                'connection: keep-alive, x-hop\r\nx-hop: 1\r\nx-end: 2\r\n\r\n'
            )
            request = harness.peers[0].received[0]
            assert request.line == 'GET /balances/1?x=%20 HTTP/1.1'
            assert 'bergamotshunt-ticket' not in request.headers
            assert 'x-hop' not in request.headers
            assert request.headers['x-end'] == '2'
            assert request.headers['bergamotshunt-target'] == 'balance'
            assert request.headers['bergamotshunt-depth'] == '3'
            assert request.headers['bergamotshunt-internal'] == '1'
            assert request.request_id == 'r9'

    run(scenario())


def test_daemon_without_confirmed_targets_refuses() -> None:
    """Guards against routing by targets that may be out of date.

    This happens when a daemon serves before it has loaded targets, or
    while their confirmation has expired.
    """

    async def scenario() -> None:
        async with IngressHarness(Peer('a', reply())) as harness:
            url = f'{harness.url}/jar-ledger/balances/1'
            for step in ('start', 'in force', 'unconfirmed', 'confirmed'):
                if step == 'in force':
                    harness.set_targets()
                elif step != 'start':
                    confirmed = step == 'confirmed'
                    update_confirmation(
                        harness.ingress,
                        ConfirmationChanged(confirmed, 'no peer answers'),
                    )
                async with harness.session.get(url) as response:
                    expected = step in {'in force', 'confirmed'}
                    assert (response.status == 200) is expected, step
                    if step == 'unconfirmed':
                        assert 'no peer answers' in await response.text()
                        assert response.status == 503

    run(scenario())


def test_resumed_daemon_refuses_before_its_timers_run() -> None:
    """Guards against routing by old targets after the process was frozen.

    Right after it resumes, the timer that would report the expired
    confirmation has not run yet.
    """

    async def scenario() -> None:
        async with IngressHarness(Peer('a', reply())) as harness:
            url = f'{harness.url}/jar-ledger/balances/1'
            harness.set_targets()
            now_ms = harness.ingress.now_ms()
            for until_ms, status in ((now_ms - 1, 503), (now_ms + 60_000, 200)):
                update_serve_deadline(harness.ingress, ServeUntil(until_ms))
                async with harness.session.get(url) as response:
                    assert response.status == status

    run(scenario())


def test_calls_beyond_the_limit_are_refused_and_drain_waits() -> None:
    """Guards against unbounded memory, and against calls lost in a drain.

    One call, the limit, is in flight when another one and a drain arrive.
    """

    async def scenario() -> None:
        release = asyncio.Event()

        async def reply_on_release(
            peer: Peer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            await reply()(peer, request, writer)

        peer = Peer('a', reply_on_release)
        settings = SETTINGS._replace(max_in_flight=1)
        async with IngressHarness(peer, settings=settings) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/balances/1'
            running = asyncio.create_task(harness.session.get(url))
            await peer.got_request.wait()
            async with harness.session.get(url) as refused_at_limit:
                assert refused_at_limit.status == 503
                assert 'entry-busy' in await refused_at_limit.text()
            draining = asyncio.create_task(harness.ingress.drain())
            async with harness.session.get(url) as refused_in_drain:
                assert refused_in_drain.status == 503
                assert 'draining' in await refused_in_drain.text()
            assert not draining.done()
            release.set()
            assert (await running).status == 200
            await asyncio.wait_for(draining, 5)

    run(scenario())


def test_responses_without_body_pass() -> None:
    """Guards against a wrong Content-Length of HEAD, 204 and 304 responses.

    They have no body: a response to HEAD keeps the length that the server
    states, and 204 and 304 state none.
    """

    async def scenario() -> None:
        async def reply_to_head(
            peer: Peer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            script = reply(b'', length=0)
            if request.line.startswith('HEAD'):
                script = reply(b'', headers='content-length: 77\r\n', length=-1)
            await script(peer, request, writer)

        bodiless = [reply(b'', status, length=0) for status in (204, 304)]
        peer = Peer('a', reply_to_head, *bodiless, reply())
        async with IngressHarness(peer) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/balances/1'
            async with harness.session.head(url) as response:
                assert response.headers['content-length'] == '77'
            for status in (204, 304):
                async with harness.session.get(url) as response:
                    assert response.status == status
                    assert 'content-length' not in response.headers
            async with harness.session.get(url) as response:
                assert await response.text() == 'ok'

    run(scenario())


def test_streamed_response_is_complete_or_detectably_cut() -> None:
    """Guards against a truncated body that a client accepts as complete.

    This happens when the server fails while its response is streamed.
    """

    async def scenario() -> None:
        large = bytes(range(256)) * 8000
        peer = Peer('a', reply(large), reply(large, length=len(large) + 5))
        async with IngressHarness(peer) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/balances/1'
            async with harness.session.get(url) as response:
                assert await response.read() == large
            async with harness.session.get(url) as cut:
                assert cut.status == 200
                with pytest.raises(ClientPayloadError):
                    await cut.read()

    run(scenario())


def test_truncated_chunked_response_is_detectable() -> None:
    """Guards against a final chunk after a response that was cut short.

    The server sends a chunked response and closes the connection before the
    last chunk, so the caller must not get one either.
    """

    async def scenario() -> None:
        async def chunked(
            peer: Peer, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            large = b'x' * 300_000
            body = b'%x\r\n%b\r\n' % (len(large), large)
            headers = 'transfer-encoding: chunked\r\n'
            await reply(body, headers=headers, length=-1, close=True)(
                peer, request, writer
            )

        async with IngressHarness(Peer('a', chunked)) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/balances/1'
            async with harness.session.get(url) as cut:
                with pytest.raises(ClientPayloadError):
                    await cut.read()

    run(scenario())


def test_disconnected_caller_cancels_its_request() -> None:
    """Guards against servers that keep working for a disconnected caller.

    The caller closes its connection while the server works.
    """

    async def scenario() -> None:
        peer = Peer('a', hang)
        async with IngressHarness(peer) as harness:
            harness.set_targets()
            _, writer = await asyncio.open_connection(
                '127.0.0.1', harness.ingress.http.port
            )
            writer.write(
                b'GET /jar-ledger/balances/1 HTTP/1.1\r\nhost: x\r\n\r\n'
            )
            await peer.got_request.wait()
            writer.close()
            await asyncio.wait_for(peer.disconnected.wait(), 5)
            await asyncio.wait_for(harness.ingress.drain(), 5)

    run(scenario())


@pytest.mark.parametrize('is_chunked', [False, True])
def test_large_request_is_streamed_and_not_resent(is_chunked: bool) -> None:
    """Guards against sending part of a large body, and against buffering it.

    A streamed body cannot be sent again, so no other server may be tried.
    """

    async def scenario() -> None:
        large = bytes(range(256)) * 4000
        assert len(large) == 16 * 64_000

        async def chunks() -> AsyncIterator[bytes]:
            for part in range(16):
                start = part * 64_000
                end = start + 64_000
                yield large[start:end]

        peers = (Peer('a', reply(), refuse()), Peer('b', reply()))
        async with IngressHarness(*peers) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/balances/1'
            body = chunks() if is_chunked else large
            async with harness.session.request(
                'GET', url, data=body
            ) as response:
                assert response.status == 200
            bodies = [got.body for peer in peers for got in peer.received]
            assert bodies == [large]

    run(scenario())


def test_request_that_grows_too_large_is_refused() -> None:
    """Guards against reading an endless chunked request body.

    The body exceeds the limit while it is already streamed to a server, which
    may have run the request.
    """

    async def scenario() -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(40):
                yield b'x' * 10_000

        settings = SETTINGS._replace(max_body_bytes=200_000)
        async with IngressHarness(
            Peer('a', reply()), settings=settings
        ) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/balances/1'
            async with harness.session.request(
                'GET', url, data=chunks()
            ) as response:
                assert response.status == 413
                verdict = response.headers['bergamotshunt-verdict']
                assert verdict == 'may-have-run'

    run(scenario())


def test_booking_asks_the_claims_task_for_its_owner() -> None:
    """Guards against a booking that is sent without a resolved owner.

    The claims task, which knows the owner, is missing at first.
    """

    async def scenario() -> None:
        peer = Peer('a', reply())
        async with IngressHarness(peer) as harness:
            harness.set_targets()
            url = f'{harness.url}/jar-ledger/refunds'
            key = {'Idempotency-Key': 'k1'}
            async with harness.session.post(url, headers=key) as response:
                assert response.status == 503
                assert 'not available' in await response.text()
            mailbox: asyncio.Queue = asyncio.Queue()
            harness.ingress.bus.subscribe(ResolveBooking, mailbox)

            async def respond_once() -> None:
                envelope = await mailbox.get()
                envelope.reply.set_result(Success(envelope.message.proposed))

            claims = asyncio.create_task(respond_once())
            async with harness.session.post(url, headers=key) as response:
                assert response.status == 200
            await claims
            sent_headers = peer.received[0].headers
            ticket = parse_ticket(sent_headers['bergamotshunt-ticket'])
            assert ticket and ticket.daemon_id == 'a' and ticket.era == 3
            assert sent_headers['idempotency-key'] == 'k1'

    run(scenario())


def test_issued_tickets_name_an_owner() -> None:
    """Guards against tickets that no owner accepts, and duplicate tickets.

    A ticket has to name the process and the era of a known server.
    """

    async def scenario() -> None:
        async with IngressHarness(Peer('a', reply())) as harness:
            harness.set_targets()
            url = f'{harness.url}/bergamotshunt/tickets/jar-ledger'
            tickets = []
            for _ in range(2):
                async with harness.session.post(url) as response:
                    assert response.status == 201
                    text = decode(await response.read())['ticket']
                    tickets.append(parse_ticket(text))
            assert tickets[0] != tickets[1]
            assert all(
                ticket and ticket[:3] == ('a', 7, 3) for ticket in tickets
            )

    run(scenario())
