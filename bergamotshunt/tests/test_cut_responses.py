"""Tests of responses that break off at any byte, without a length or with one."""

import asyncio

import pytest

from bergamotshunt.backend.loads import Load
from bergamotshunt.choice.peer_attempts import AttemptOutcome, send_attempt
from bergamotshunt.choice.server_records import ServerRecord
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import RequestHead
from bergamotshunt.http.listeners import Listener
from bergamotshunt.http.server_connection import ServerConnection
from bergamotshunt.peers.peer_calls import (
    RESULT_HEADER,
    PeerCall,
    PeerResult,
    encode_result,
)
from bergamotshunt.routing import AnnouncedState, ServerEntry
from bergamotshunt.tests.faulty_server import (
    ID_LINE,
    IP,
    FaultyServer,
    Outcome,
    Turn,
    answer,
    respond,
)
from bergamotshunt.verdicts import Verdict

CHUNKED = (
    b'HTTP/1.1 200 OK\r\n%bX-Bergamotshunt-Response-Signature: s\r\n'
    b'Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n'
    b'1\r\no\r\n1\r\nk\r\n0\r\nX-Sum: 5\r\n\r\n'
)
WHOLE = Outcome(Verdict.RAN, 200, b'ok')


def framed_response(kind: str, request_id: bytes) -> bytes:
    if kind == 'with-a-length':
        return answer(request_id)
    return CHUNKED % (ID_LINE % request_id)


async def outcome_of_cut(
    kind: str, length: int, *, reused: bool
) -> Outcome | None:
    """Return the outcome of a response that is cut; None if it failed."""
    content = framed_response(kind, b'r2')[:length]

    async def cut(turn: Turn) -> None:
        await turn.write(content)
        turn.writer.close()
        raise ConnectionError('the server breaks off')

    scripts = [respond(answer(b'r1')), cut] if reused else [cut]
    async with FaultyServer(*scripts) as server:
        if reused:
            assert await server.send('r1') == WHOLE
        try:
            return await server.send('r2')
        except ConnectionError:
            return None


@pytest.mark.parametrize('reused', [False, True], ids=['fresh', 'reused'])
@pytest.mark.parametrize('kind', ['with-a-length', 'chunked'])
def test_response_cut_at_any_byte_is_no_success(
    kind: str, reused: bool
) -> None:
    """Guards against a success with an empty or short body.

    A server stops in the middle of the head or of the body and closes.
    """

    async def run_scenario() -> None:
        whole = framed_response(kind, b'r2')
        for length in range(len(whole)):
            outcome = await outcome_of_cut(kind, length, reused=reused)
            assert outcome is None or outcome == Outcome(
                Verdict.MAY_HAVE_RUN, 502, b''
            ), length
        assert await outcome_of_cut(kind, len(whole), reused=reused) == WHOLE

    asyncio.run(run_scenario())


async def attempt_at(content: bytes) -> AttemptOutcome:
    """Send an attempt to a daemon whose response is cut."""

    async def play(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(content)
        writer.close()

    server = await asyncio.start_server(play, IP, 0)
    port = server.sockets[0].getsockname()[1]
    entry = ServerEntry(
        'i-0', 1, 1, 's', 'z', IP, port, 9, AnnouncedState.READY
    )
    exchange = Exchange(ServerConnection(Listener(lambda _exchange: None)))  # type: ignore[arg-type, return-value]
    exchange.head = RequestHead(b'GET', b'/', (), {})
    record = ServerRecord(entry, 'z')
    try:
        return await send_attempt(
            record, exchange, PeerCall('r1', 'i-0', 's', 5000, 5000, 1), b''
        )
    finally:
        record.pool.close()
        server.close()


def test_response_of_a_daemon_cut_at_any_byte_may_have_run() -> None:
    """Guards against a part of a response that a second hop completes."""
    result = PeerResult(Verdict.RAN, Load(limit=1))
    whole = b'HTTP/1.1 200 OK\r\n%b: %b\r\nContent-Length: 2\r\n\r\nok' % (
        RESULT_HEADER,
        encode_result(result),
    )

    async def run_scenario() -> None:
        for length in range(len(whole)):
            outcome = await attempt_at(whole[:length])
            assert outcome.verdict is Verdict.MAY_HAVE_RUN, length
            assert outcome.response is None
        outcome = await attempt_at(whole)
        assert outcome.verdict is Verdict.RAN
        assert outcome.content == b'ok'

    asyncio.run(run_scenario())
