"""The callers port over real sockets, with scripted peers behind it."""

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
    update_serve_deadline,
    update_members,
    update_targets,
)
from bergamotshunt.settings import CallsSettings, DaemonSettings, Settings
from bergamotshunt.tests.peers import (
    SETTINGS,
    TARGETS,
    Peer,
    Received,
    hang,
    refuse,
    reply,
)


def run(work: Coroutine[None, None, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 30))


class EntryBench:
    """An entry task with scripted peers, without the other tasks."""

    def __init__(
        self, *peers: Peer, settings: CallsSettings = SETTINGS
    ) -> None:
        self.peers = peers
        self.settings = settings

    async def __aenter__(self) -> 'EntryBench':
        daemon = DaemonSettings(id='d1')
        settings = Settings(daemon=daemon, calls=self.settings)
        self.entry = IngressTask(Context(settings, MessageBus(), Random(1), 1))
        await self.entry.open()
        self.url = f'http://127.0.0.1:{self.entry.http.port}'
        for peer in self.peers:
            await peer.open()
        members = {peer.name: peer.member() for peer in self.peers}
        update_members(self.entry, MembersChanged(members))
        self.session = ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        await self.entry.close()
        for peer in self.peers:
            await peer.close()

    def begin(self) -> None:
        update_targets(self.entry, TargetsChanged(TARGETS))

    async def raw(self, request: str) -> tuple[int, dict[str, str], bytes]:
        """Send bytes that a library would not send."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.entry.http.port
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
    """Guards against a traceback, and against a call without a verdict."""

    async def work() -> None:
        async with EntryBench(Peer('a', reply())) as bench:
            bench.begin()
            got, headers, body = await bench.raw(
                f'{request_text}host: x\r\n\r\n'
            )
            assert got == status, body
            assert headers['bergamotshunt-verdict'] == 'not-run'
            assert decode(body)['verdict'] == 'not-run'
            assert not bench.peers[0].received

    run(work())


def test_headers_that_callers_may_not_set_are_dropped() -> None:
    """Guards against a caller that names an owner or another target."""

    async def work() -> None:
        async with EntryBench(Peer('a', reply())) as bench:
            bench.begin()
            await bench.raw(
                'GET /jar-ledger/balances/1?x=%20 HTTP/1.1\r\nhost: x\r\n'
                'bergamotshunt-ticket: bk1.a.1.1.aaaaaaaa\r\n'
                'bergamotshunt-target: other\r\nbergamotshunt-depth: 2\r\n'
                'bergamotshunt-internal: 1\r\nbergamotshunt-request-id: r9\r\n'
                'connection: keep-alive, x-hop\r\nx-hop: 1\r\nx-end: 2\r\n\r\n'
            )
            got = bench.peers[0].received[0]
            assert got.line == 'GET /balances/1?x=%20 HTTP/1.1'
            assert 'bergamotshunt-ticket' not in got.headers
            assert 'x-hop' not in got.headers
            assert got.headers['x-end'] == '2'
            assert got.headers['bergamotshunt-target'] == 'balance'
            assert got.headers['bergamotshunt-depth'] == '3'
            assert got.headers['bergamotshunt-internal'] == '1'
            assert got.request_id == 'r9'

    run(work())


def test_daemon_without_confirmed_targets_refuses() -> None:
    """Guards against serving by targets that may be out of date."""

    async def work() -> None:
        async with EntryBench(Peer('a', reply())) as bench:
            url = f'{bench.url}/jar-ledger/balances/1'
            for step in ('start', 'in force', 'unconfirmed', 'confirmed'):
                if step == 'in force':
                    bench.begin()
                elif step != 'start':
                    confirmed = step == 'confirmed'
                    update_confirmation(
                        bench.entry, ConfirmationChanged(confirmed, 'why so')
                    )
                async with bench.session.get(url) as response:
                    expected = step in {'in force', 'confirmed'}
                    assert (response.status == 200) is expected, step
                    if step == 'unconfirmed':
                        assert 'why so' in await response.text()
                        assert response.status == 503

    run(work())


def test_woken_daemon_refuses_before_its_timers_run() -> None:
    """Guards against service by old targets right after a long stop."""

    async def work() -> None:
        async with EntryBench(Peer('a', reply())) as bench:
            url = f'{bench.url}/jar-ledger/balances/1'
            bench.begin()
            now_ms = bench.entry.now_ms()
            for until_ms, status in ((now_ms - 1, 503), (now_ms + 60_000, 200)):
                update_serve_deadline(bench.entry, ServeUntil(until_ms))
                async with bench.session.get(url) as response:
                    assert response.status == status

    run(work())


def test_calls_beyond_the_bound_are_refused_and_drain_waits() -> None:
    """Guards against memory without bound, and against a lost call."""

    async def work() -> None:
        release = asyncio.Event()

        async def wait(
            peer: Peer, got: Received, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            await reply()(peer, got, writer)

        peer = Peer('a', wait)
        settings = SETTINGS._replace(max_in_flight=1)
        async with EntryBench(peer, settings=settings) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/balances/1'
            first = asyncio.create_task(bench.session.get(url))
            await peer.got_request.wait()
            async with bench.session.get(url) as busy:
                assert busy.status == 503
                assert 'entry-busy' in await busy.text()
            draining = asyncio.create_task(bench.entry.drain())
            async with bench.session.get(url) as late:
                assert late.status == 503
                assert 'draining' in await late.text()
            assert not draining.done()
            release.set()
            assert (await first).status == 200
            await asyncio.wait_for(draining, 5)

    run(work())


def test_responses_without_body_pass() -> None:
    """Guards against a length that does not fit HEAD, 204 and 304."""

    async def work() -> None:
        async def head_only(
            peer: Peer, got: Received, writer: asyncio.StreamWriter
        ) -> None:
            script = reply(b'', length=0)
            if got.line.startswith('HEAD'):
                script = reply(b'', headers='content-length: 77\r\n', length=-1)
            await script(peer, got, writer)

        bodiless = [reply(b'', status, length=0) for status in (204, 304)]
        peer = Peer('a', head_only, *bodiless, reply())
        async with EntryBench(peer) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/balances/1'
            async with bench.session.head(url) as response:
                assert response.headers['content-length'] == '77'
            for status in (204, 304):
                async with bench.session.get(url) as response:
                    assert response.status == status
                    assert 'content-length' not in response.headers
            async with bench.session.get(url) as response:
                assert await response.text() == 'ok'

    run(work())


def test_streamed_response_arrives_whole_or_is_visibly_cut() -> None:
    """Guards against a large fragment that a client takes for whole."""

    async def work() -> None:
        large = bytes(range(256)) * 8000
        peer = Peer('a', reply(large), reply(large, length=len(large) + 5))
        async with EntryBench(peer) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/balances/1'
            async with bench.session.get(url) as response:
                assert await response.read() == large
            async with bench.session.get(url) as cut:
                assert cut.status == 200
                with pytest.raises(ClientPayloadError):
                    await cut.read()

    run(work())


def test_cut_response_in_chunks_is_visibly_cut() -> None:
    """Guards against a last chunk after a response that was cut short."""

    async def work() -> None:
        async def chunked(
            peer: Peer, got: Received, writer: asyncio.StreamWriter
        ) -> None:
            large = b'x' * 300_000
            body = b'%x\r\n%b\r\n' % (len(large), large)
            headers = 'transfer-encoding: chunked\r\n'
            await reply(body, headers=headers, length=-1, close=True)(
                peer, got, writer
            )

        async with EntryBench(Peer('a', chunked)) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/balances/1'
            async with bench.session.get(url) as cut:
                with pytest.raises(ClientPayloadError):
                    await cut.read()

    run(work())


def test_caller_that_leaves_ends_the_work_for_it() -> None:
    """Guards against servers that work for nobody."""

    async def work() -> None:
        peer = Peer('a', hang)
        async with EntryBench(peer) as bench:
            bench.begin()
            _, writer = await asyncio.open_connection(
                '127.0.0.1', bench.entry.http.port
            )
            writer.write(
                b'GET /jar-ledger/balances/1 HTTP/1.1\r\nhost: x\r\n\r\n'
            )
            await peer.got_request.wait()
            writer.close()
            await asyncio.wait_for(peer.lost.wait(), 5)
            await asyncio.wait_for(bench.entry.drain(), 5)

    run(work())


@pytest.mark.parametrize('is_chunked', [False, True])
def test_large_request_is_streamed_and_not_resent(is_chunked: bool) -> None:
    """Guards against half a body, and against holding large ones."""

    async def work() -> None:
        large = bytes(range(256)) * 4000
        assert len(large) == 16 * 64_000

        async def chunks() -> AsyncIterator[bytes]:
            for part in range(16):
                begin = part * 64_000
                end = begin + 64_000
                yield large[begin:end]

        peers = (Peer('a', reply(), refuse()), Peer('b', reply()))
        async with EntryBench(*peers) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/balances/1'
            body = chunks() if is_chunked else large
            async with bench.session.request('GET', url, data=body) as response:
                assert response.status == 200
            got = [got for peer in peers for got in peer.received]
            assert [one.body for one in got] == [large]

    run(work())


def test_request_that_grows_too_large_is_refused() -> None:
    """Guards against a chunked body without end."""

    async def work() -> None:
        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(40):
                yield b'x' * 10_000

        settings = SETTINGS._replace(max_body_bytes=200_000)
        async with EntryBench(Peer('a', reply()), settings=settings) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/balances/1'
            async with bench.session.request(
                'GET', url, data=chunks()
            ) as response:
                assert response.status == 413
                verdict = response.headers['bergamotshunt-verdict']
                assert verdict == 'may-have-run'

    run(work())


def test_booking_asks_the_claims_task_for_its_owner() -> None:
    """Guards against a booking that is sent without an owner."""

    async def work() -> None:
        peer = Peer('a', reply())
        async with EntryBench(peer) as bench:
            bench.begin()
            url = f'{bench.url}/jar-ledger/refunds'
            key = {'Idempotency-Key': 'k1'}
            async with bench.session.post(url, headers=key) as response:
                assert response.status == 503
                assert 'not available' in await response.text()
            mailbox: asyncio.Queue = asyncio.Queue()
            bench.entry.bus.subscribe(ResolveBooking, mailbox)

            async def respond_once() -> None:
                envelope = await mailbox.get()
                envelope.reply.set_result(Success(envelope.message.proposed))

            claims = asyncio.create_task(respond_once())
            async with bench.session.post(url, headers=key) as response:
                assert response.status == 200
            await claims
            got = peer.received[0].headers
            ticket = parse_ticket(got['bergamotshunt-ticket'])
            assert ticket and ticket.daemon_id == 'a' and ticket.era == 3
            assert got['idempotency-key'] == 'k1'

    run(work())


def test_ticket_desk_names_an_owner() -> None:
    """Guards against tickets that no owner accepts, and equal ones."""

    async def work() -> None:
        async with EntryBench(Peer('a', reply())) as bench:
            bench.begin()
            url = f'{bench.url}/bergamotshunt/tickets/jar-ledger'
            tickets = []
            for _ in range(2):
                async with bench.session.post(url) as response:
                    assert response.status == 201
                    text = decode(await response.read())['ticket']
                    tickets.append(parse_ticket(text))
            assert tickets[0] != tickets[1]
            assert all(t and t[:3] == ('a', 7, 3) for t in tickets)

    run(work())
