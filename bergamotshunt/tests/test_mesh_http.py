"""Tests of HTTP connections: framing, unsolicited bytes, pipelining, limits."""

import asyncio
import socket
import struct
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.daemon import create_runner
from bergamotshunt.http.bodies import Body
from bergamotshunt.http.bodies import HIGH_WATER_BYTES
from bergamotshunt.http.client_connection import ClientConnection, Response
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import ResponseHead
from bergamotshunt.http.listeners import Listener
from bergamotshunt.routing import ClientLimits

REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
WHOLE_RESPONSE = b'HTTP/1.1 200 OK\r\nId: %b\r\nContent-Length: 2\r\n\r\nok'
# With SO_LINGER on and a time of 0 s, close() resets the connection.
LINGER_RESET = struct.pack('ii', 1, 0)


class RawServer:
    """Writes fixed bytes to a connection, then closes or resets it."""

    def __init__(self, content: bytes, *, reset: bool = False) -> None:
        self.content = content
        self.reset = reset
        self.socket = socket.create_server(('127.0.0.1', 0))

    def serve_connection(self) -> None:
        connection, _ = self.socket.accept()
        connection.recv(4096)
        connection.sendall(self.content)
        if self.reset:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
        connection.close()

    async def fetch(
        self, is_expected: Callable[[ResponseHead], bool] | None = None
    ) -> tuple[bytes, ClientConnection]:
        loop = asyncio.get_running_loop()
        serving = loop.run_in_executor(None, self.serve_connection)
        pool = ClientPool('127.0.0.1', self.socket.getsockname()[1])
        connection = await pool.acquire()
        try:
            response: Response = await connection.send_request(
                REQUEST, is_expected, whole=True
            )
            return await response.body.read_up_to(1 << 20), connection
        finally:
            await serving
            self.socket.close()


def outcome_of(server: RawServer) -> str:
    async def run_scenario() -> str:
        try:
            content, _ = await server.fetch()
        except ConnectionError:
            return 'failed'
        return content.decode()

    with create_runner() as runner:
        return runner.run(run_scenario())


def test_reset_after_bytes_truncates_the_response() -> None:
    """Guards against accepting a truncated response as complete.

    libuv reports a reset that directly follows received bytes as an orderly
    end of the connection.
    """
    unframed = b'HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf'
    for _ in range(10):
        assert outcome_of(RawServer(unframed, reset=True)) == 'failed'
        assert outcome_of(RawServer(unframed)) == 'half'


def test_truncated_and_malformed_responses_fail() -> None:
    """Guards against accepting a truncated or malformed response.

    The connection ends before the stated length or the last chunk, or
    without an HTTP response.
    """
    short_body = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'
    missing_last_chunk = (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf'
    )
    for content in (short_body, missing_last_chunk, b'half an answer', b''):
        assert outcome_of(RawServer(content)) == 'failed'


def test_late_response_is_skipped_and_ends_the_connection() -> None:
    """Guards against taking a late response for that of another request.

    The response to an earlier request arrives before the expected one.
    """

    async def run_scenario() -> None:
        server = RawServer(WHOLE_RESPONSE % b'old' + WHOLE_RESPONSE % b'new')
        content, connection = await server.fetch(
            lambda head: head.by_name[b'id'] == b'new'
        )
        assert content == b'ok'
        assert not connection.reusable

    asyncio.run(run_scenario())


def test_extra_response_ends_the_connection() -> None:
    """Guards against reusing a connection with unsolicited bytes.

    They would be taken for the response to the next request.
    """

    async def run_scenario() -> None:
        content, connection = await RawServer(
            WHOLE_RESPONSE % b'new' + WHOLE_RESPONSE % b'extra'
        ).fetch()
        assert content == b'ok'
        assert not connection.reusable

    asyncio.run(run_scenario())


def test_connection_ends_after_a_response_to_head() -> None:
    """Guards against the next response that is read as the body of one.

    The response to HEAD states a length, but has no body.
    """

    async def serve(exchange: Exchange) -> None:
        exchange.respond(200, [], b'hello')

    async def run_scenario() -> None:
        listener = Listener(serve)
        pool = ClientPool('127.0.0.1', await listener.open('127.0.0.1', 0))
        connection = await pool.acquire()
        response = await connection.send_request(
            REQUEST.replace(b'GET', b'HEAD'), whole=True, bodyless=True
        )
        assert await response.body.read() == b''
        pool.release(connection)
        async with asyncio.timeout(10):
            assert (await pool.fetch(REQUEST, 100)).content == b'hello'
        pool.close()
        await listener.close()

    asyncio.run(run_scenario())


async def exchange_bytes(listener: Listener, content: bytes) -> bytes:
    port = await listener.open('127.0.0.1', 0)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(content)
    try:
        async with asyncio.timeout(20):
            return await reader.read(-1)
    finally:
        writer.close()
        await listener.close()


def test_pipelined_requests_start_at_once_and_end_in_order() -> None:
    """Guards against running pipelined requests in turn or mixing responses.

    Handlers run at the same time, but responses keep the requests' order.
    """

    async def run_scenario() -> bytes:
        started: list[bytes] = []
        both_started = asyncio.Event()

        async def serve(exchange: Exchange) -> None:
            started.append(exchange.head.target)
            if len(started) == 2:
                both_started.set()
            await both_started.wait()
            if exchange.head.target == b'/1':
                await asyncio.sleep(0.05)
            exchange.respond(200, [], exchange.head.target)

        return await exchange_bytes(
            Listener(serve),
            b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'
            b'GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n',
        )

    response = asyncio.run(run_scenario())
    assert response.index(b'/1') < response.index(b'/2')
    assert response.count(b'HTTP/1.1 200') == 2


def test_request_behind_an_unread_body_is_read() -> None:
    """Guards against a connection that stays paused after a refusal.

    The whole body arrived and paused the connection, but the handler responds
    without reading it.
    """

    async def refuse(exchange: Exchange) -> None:
        exchange.respond(404, [])

    body = bytes(HIGH_WATER_BYTES + 1)
    first = b'POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
    second = b'GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'

    async def run_scenario() -> bytes:
        listener = Listener(refuse)
        port = await listener.open('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(first % len(body) + body)
        responses = await reader.readuntil(b'\r\n\r\n')
        writer.write(second)
        try:
            async with asyncio.timeout(20):
                return responses + await reader.read(-1)
        finally:
            writer.close()
            await listener.close()

    for runner_factory in (asyncio.Runner, create_runner):
        with runner_factory() as runner:
            responses = runner.run(run_scenario())
        assert responses.count(b'HTTP/1.1 404') == 2


async def echo(exchange: Exchange) -> None:
    body = await exchange.body.read_up_to(1 << 20)
    exchange.respond(200, [(b'Seen', exchange.head.target)], body)


def test_bad_requests_get_their_status() -> None:
    """Guards against unanswered bad requests and request smuggling.

    The last case has both a length and chunks; a server behind the daemon
    could find the end of that request at another byte.
    """
    limits = ClientLimits(head_bytes=500, body_bytes=100, head_timeout_ms=100)
    cases = {
        b'nonsense\r\n\r\n': b'400',
        b'GET /' + b'a' * 900 + b' HTTP/1.1\r\n': b'431',
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n': b'413',
        b'GET / HTTP/1.1\r\nHost: x\r\n': b'408',
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n': b'400',
    }
    for content, status in cases.items():
        response = asyncio.run(exchange_bytes(Listener(echo, limits), content))
        assert response.startswith(b'HTTP/1.1 ' + status), (content, response)


def test_request_for_an_upgrade_is_served_without_it() -> None:
    """Guards against a connection that ends without a response.

    The parser stops with an exception of its own behind such a request.
    """
    upgrade = b'GET /%b HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n'
    cases = (
        upgrade % b'u' + b'Upgrade: other\r\n\r\nbytes of it',
        b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\nbytes of it',
    )
    for content in cases:
        response = asyncio.run(exchange_bytes(Listener(echo), content))
        assert response.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in response


@given(st.lists(st.binary(max_size=300), max_size=6), st.booleans())
@settings(derandomize=True, deadline=None, max_examples=60)
def test_bodies_arrive_whole(pieces: list[bytes], chunked: bool) -> None:
    """Guards against lost, repeated or reordered bytes of request bodies."""
    body = b''.join(pieces)
    if chunked:
        framing = b'Transfer-Encoding: chunked\r\n\r\n' + b''.join(
            b'%x\r\n%b\r\n' % (len(piece), piece) for piece in pieces if piece
        )
        framing += b'0\r\nTrailer: x\r\n\r\n'
    else:
        framing = b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    head = b'POST /e HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
    response = asyncio.run(exchange_bytes(Listener(echo), head + framing))
    assert response.partition(b'\r\n\r\n')[2] == body


@given(st.lists(st.tuples(st.integers(1, 9000), st.booleans()), max_size=20))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_joined_chunks_keep_their_bytes(steps: list[tuple[int, bool]]) -> None:
    """Guards against bytes lost or reordered where small chunks are joined.

    Each step feeds a chunk of this size and may read one afterwards.
    """

    async def run_scenario() -> None:
        body = Body(lambda _reading: None)
        fed = received = b''
        for number, (size, reads) in enumerate(steps):
            chunk = bytes((number,)) * size
            fed += chunk
            body.feed(chunk)
            if reads:
                received += await body.read()
        body.finish()
        assert body.at_end is (len(received) == len(fed))
        assert received + await body.read_up_to(1 << 20) == fed
        assert body.at_end

    asyncio.run(run_scenario())


@given(st.binary(max_size=400))
@settings(derandomize=True, deadline=None, max_examples=150)
def test_no_bytes_of_a_client_break_the_listener(content: bytes) -> None:
    """Guards against exceptions and hanging connections on any input."""
    listener = Listener(echo, ClientLimits(head_timeout_ms=30))
    response = asyncio.run(exchange_bytes(listener, content + b'\r\n\r\n'))
    assert response == b'' or response.startswith(b'HTTP/1.1 ')


@given(st.binary(max_size=400))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_no_bytes_of_a_server_break_the_client(content: bytes) -> None:
    """Guards against unexpected exceptions on any bytes of a server."""
    assert outcome_of(RawServer(content)) == 'failed'
