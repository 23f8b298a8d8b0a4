"""Tests of the promise that a request did not run, behind a faulty server.

The server writes an earlier refusal once more on a kept connection.
"""

import asyncio

import pytest

from bergamotshunt.tests.faulty_server import (
    MISDIRECTED,
    REFUSAL,
    FaultyServer,
    Outcome,
    Script,
    Turn,
    answer,
    refusal,
    respond,
)
from bergamotshunt.verdicts import Verdict

REPEATS = {
    'of the request before': refusal(b'r1'),
    'of another request': refusal(b'x9'),
    'without an id': REFUSAL % b'',
    'of another server': MISDIRECTED % b'',
}
REFUSED = Outcome(Verdict.NOT_RUN, 503, b'')
RAN = Outcome(Verdict.RAN, 200, b'ok')
LOST = Outcome(Verdict.MAY_HAVE_RUN, 502, b'')
for_each_repeat = pytest.mark.parametrize(
    'repeat', REPEATS.values(), ids=REPEATS.keys()
)


async def play(
    *scripts: Script, body: bytes = b'', left_ms: float = 5000
) -> tuple[list[Outcome], FaultyServer]:
    """Send the requests r1 and r2, one after the other."""
    async with FaultyServer(*scripts) as server:
        outcomes = [
            await server.send('r1'),
            await server.send('r2', body, left_ms),
        ]
    return outcomes, server


@for_each_repeat
def test_repeat_on_an_idle_connection_is_no_answer(repeat: bytes) -> None:
    """Guards against a repeat that waits on a connection in the pool."""

    async def run_scenario() -> None:
        async def refuse_and_repeat(turn: Turn) -> None:
            await turn.write(refusal(b'r1'))
            await may_repeat.wait()
            await turn.write(repeat)

        may_repeat = asyncio.Event()
        scripts = refuse_and_repeat, respond(answer(b'r2'))
        async with FaultyServer(*scripts) as server:
            assert await server.send('r1') == REFUSED
            may_repeat.set()
            await server.disconnected.wait()
            assert await server.send('r2') == RAN
            assert server.connections == 2

    asyncio.run(run_scenario())


@for_each_repeat
def test_repeat_right_behind_the_refusal_is_no_answer(repeat: bytes) -> None:
    """Guards against a repeat in the same segment as the refusal."""
    outcomes, server = asyncio.run(
        play(respond(refusal(b'r1') + repeat), respond(answer(b'r2')))
    )
    assert outcomes == [REFUSED, RAN]
    assert server.connections == 2


@for_each_repeat
def test_repeat_before_the_answer_is_no_answer(repeat: bytes) -> None:
    """Guards against a repeat between a request and its answer."""
    for contents in ((repeat, answer(b'r2')), (repeat + answer(b'r2'),)):
        outcomes, server = asyncio.run(
            play(respond(refusal(b'r1')), respond(*contents))
        )
        assert outcomes == [REFUSED, RAN]
        assert server.connections == 1


@for_each_repeat
def test_repeat_in_pieces_before_the_answer_is_no_answer(
    repeat: bytes,
) -> None:
    """Guards against a repeat that arrives in several segments."""
    for cut in range(1, len(repeat), 9):
        outcomes, _ = asyncio.run(
            play(
                respond(refusal(b'r1')),
                respond(repeat[:cut], repeat[cut:] + answer(b'r2')),
            )
        )
        assert outcomes == [REFUSED, RAN]


@for_each_repeat
def test_repeat_that_starts_before_the_request_is_no_answer(
    repeat: bytes,
) -> None:
    """Guards against a repeat whose first bytes follow the refusal.

    The rest arrives after the next request, which then is on another
    connection.
    """
    for cut in range(1, len(repeat), 9):
        outcomes, server = asyncio.run(
            play(
                respond(refusal(b'r1') + repeat[:cut], repeat[cut:]),
                respond(answer(b'r2')),
            )
        )
        assert outcomes == [REFUSED, RAN]
        assert server.connections == 2


@for_each_repeat
def test_repeat_within_the_next_body_is_no_answer(repeat: bytes) -> None:
    """Guards against a repeat that ends the sending of the next body.

    The server would get other bytes where the rest of the body is due.
    """
    received = []

    async def repeat_within_body(turn: Turn) -> None:
        first = await turn.reader.readexactly(1000)
        await turn.write(repeat)
        await asyncio.sleep(0.01)
        rest = await turn.reader.readexactly(turn.length - len(first))
        received.append(first + rest)
        await turn.write(answer(b'r2'))

    body = bytes(range(256)) * 4000
    outcomes, _ = asyncio.run(
        play(respond(refusal(b'r1')), repeat_within_body, body=body)
    )
    assert outcomes == [REFUSED, RAN]
    assert received == [body]


@for_each_repeat
def test_repeat_without_an_answer_promises_nothing(repeat: bytes) -> None:
    """Guards against the promise of a repeat that no answer follows.

    The connection stays open until the deadline, or is closed.
    """

    async def repeat_and_close(turn: Turn) -> None:
        await turn.write(repeat)
        turn.writer.close()

    for script in (respond(repeat), repeat_and_close):
        outcomes, _ = asyncio.run(
            play(respond(refusal(b'r1')), script, left_ms=100)
        )
        assert outcomes == [REFUSED, LOST]


@for_each_repeat
def test_refusal_behind_other_bytes_promises_nothing(repeat: bytes) -> None:
    """Guards against a promise on a connection that is out of sync.

    The refusal states the id of the request, but follows a response that
    belongs to none.
    """
    outcomes, _ = asyncio.run(
        play(respond(refusal(b'r1')), respond(repeat + refusal(b'r2')))
    )
    assert outcomes == [REFUSED, LOST]


def test_skipped_responses_are_counted_once_a_connection() -> None:
    """Guards against a faulty server that no operator can see."""
    for contents, left_ms in (
        ((refusal(b'x9') + answer(b'r2'),), 5000),
        ((refusal(b'x9'),), 100),
    ):
        _, server = asyncio.run(
            play(respond(answer(b'r1')), respond(*contents), left_ms=left_ms)
        )
        assert server.count('server_responses_skipped') == 1


@pytest.mark.parametrize('status', [b'408', b'429', b'503'])
def test_status_of_a_refusal_alone_promises_nothing(status: bytes) -> None:
    """Guards against a promise that the server did not give.

    Clients take such a status as a promise, but only the server's statement
    shows that the request did not run.
    """
    content = answer(b'r2').replace(b'200', status)
    outcomes, _ = asyncio.run(play(respond(refusal(b'r1')), respond(content)))
    assert outcomes == [REFUSED, LOST]


def test_probe_and_request_share_no_response() -> None:
    """Guards against taking a probe's response for a request's, or reverse.

    Both use the same connections; only responses to requests have an id.
    """
    healthy = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    unhealthy = healthy.replace(b'200', b'503')

    async def run_scenario() -> None:
        scripts = (
            respond(answer(b'r1')),
            respond(refusal(b'r1') + healthy),
            respond(healthy),
            respond(unhealthy + answer(b'r2')),
        )
        async with FaultyServer(*scripts) as server:
            assert await server.send('r1') == RAN
            info = await server.client.probe('/healthz')
            assert info.healthy and not info.refused
            assert (await server.client.probe('/healthz')).healthy
            assert await server.send('r2') == RAN
            assert server.connections == 2

    asyncio.run(run_scenario())
