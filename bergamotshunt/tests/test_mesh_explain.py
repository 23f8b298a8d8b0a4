"""Tests of the explanation of requests and of the log behind it.

``explain`` has only the log lines of the daemons, so they have to hold the
cause of every failure.
"""

import asyncio
import os
from collections.abc import Iterator
from contextlib import contextmanager
from time import perf_counter
from typing import Any

from eliot import add_destinations, remove_destination
from msgspec.json import decode, encode

from bergamotshunt.nonblocking_log import NonBlockingDestination
from bergamotshunt.operators.request_explanation import (
    LogLine,
    explain,
    parse_line,
)
from bergamotshunt.request_log import (
    MAX_BURST_LINES,
    REFILL_LINES_PER_S,
    RequestLog,
)
from bergamotshunt.tests.faulty_server import FaultyServer, Turn
from bergamotshunt.tests.mesh import Mesh
from standins.mesh_server import drop_response, respond_error, respond_with_echo


@contextmanager
def captured_lines() -> Iterator[list[LogLine]]:
    lines: list[LogLine] = []

    def discard(_message: dict[str, Any]) -> None:
        """Take the lines of earlier tests.

        The first destination of a process gets all lines before it.
        """

    add_destinations(discard)
    remove_destination(discard)

    def capture(message: dict[str, Any]) -> None:
        line = parse_line(f'host-1 {encode(message, enc_hook=str).decode()}')
        if line is not None:
            lines.append(line)

    add_destinations(capture)
    try:
        yield lines
    finally:
        remove_destination(capture)


def test_load_shedding_is_explained() -> None:
    """Guards against a shed request whose cause is missing from the log.

    One slot and 71 requests at once: more than fit the queue of the server,
    so that one is refused. A request that is sent after the first refusal
    may get the slot of one that has timed out meanwhile.
    """

    async def scenario(lines: list[LogLine]) -> None:
        async with Mesh([respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            assert await mesh.announce(0, slots=1, seq=2) == 200
            server.may_respond.clear()
            requests = [
                asyncio.create_task(
                    mesh.fetch(0, '/read/1', f'r-{number}'), name=f'r-{number}'
                )
                for number in range(71)
            ]
            done, _ = await asyncio.wait(
                requests, return_when=asyncio.FIRST_COMPLETED
            )
            refused = done.pop()
            assert refused.result().status == 503
            server.may_respond.set()
            await asyncio.gather(*requests)
            selected, sentence = explain(lines, refused.get_name())
            assert selected
            assert sentence.startswith('Refused under load, not run')

    with captured_lines() as lines:
        asyncio.run(scenario(lines))


def test_timeout_at_slow_server_is_explained() -> None:
    """Guards against a timeout whose server is missing from the log.

    The server holds its response until the client timeout has expired.
    """

    async def scenario(lines: list[LogLine]) -> None:
        async with Mesh([respond_with_echo]) as mesh:
            mesh.hosts[0].server.may_respond.clear()
            response = await mesh.fetch(
                0, '/book/1', 'slow', b'x', timeout_ms=300
            )
            assert response.status == 504
            _, sentence = explain(lines, 'slow')
            assert sentence.startswith('Timed out behind a server')
            assert 'i-0' in sentence

    with captured_lines() as lines:
        asyncio.run(scenario(lines))


def test_lost_connection_is_explained() -> None:
    """Guards against a lost connection that is explained as a refusal.

    The server closes the connection instead of responding, so the request
    may have been executed; a refused one was not.
    """

    async def scenario(lines: list[LogLine]) -> None:
        async with Mesh([drop_response]) as mesh:
            assert (await mesh.fetch(0, '/book/1', 'lost', b'x')).status == 502
            _, sentence = explain(lines, 'lost')
            assert sentence.startswith('The connection to the server')
            assert 'may have run' in sentence

    with captured_lines() as lines:
        asyncio.run(scenario(lines))


def test_other_outcomes_are_explained() -> None:
    """Guards against outcomes for which there is no explanation.

    Covers an error response, a path without a route and an unknown id.
    """

    async def scenario(lines: list[LogLine]) -> None:
        async with Mesh([respond_error]) as mesh:
            await mesh.fetch(0, '/book/1', 'failed', b'x')
            await mesh.fetch(0, '/nowhere/1', 'astray')
            assert 'answered 500' in explain(lines, 'failed')[1]
            assert 'no route' in explain(lines, 'astray')[1]
            assert explain(lines, 'unknown')[0] == []

    with captured_lines() as lines:
        asyncio.run(scenario(lines))


def test_lines_of_failed_requests_are_kept() -> None:
    """Guards against rate limiting that drops the lines of failed requests.

    Lines of 500 successful requests exceed the limit of the log before the
    failures arrive; those still have to be written.
    """
    now_s = [0.0]
    with captured_lines() as lines:
        log = RequestLog(lambda: now_s[0])
        for number in range(500):
            log.write('carrier:answered', failed=False, request_id=str(number))
        for number in range(10):
            log.write('carrier:failed', failed=True, request_id=f'f{number}')
    failed = [line for line in lines if line.event == 'carrier:failed']
    assert len(failed) == 10
    assert len(lines) <= MAX_BURST_LINES
    assert failed[0].fields['dropped_before'] > 400


def test_lines_of_lost_responses_are_bounded() -> None:
    """Guards against a log line for each response that a faulty server loses.

    The server closes the connection before every response.
    """
    count = 3 * int(MAX_BURST_LINES)

    async def run_scenario() -> None:
        scripts = [close_without_response] * count
        async with FaultyServer(*scripts) as server:
            start_s = perf_counter()
            for number in range(count):
                await server.send(f'r{number}')
            took_s = perf_counter() - start_s
            assert server.count('server_answers_lost') == count
            max_lines = MAX_BURST_LINES + REFILL_LINES_PER_S * took_s
            assert 0 < len(lines) <= max_lines + 1

    with captured_lines() as lines:
        asyncio.run(run_scenario())
    assert lines[0].event == 'inbound:answer-lost'
    assert lines[0].fields['instance'] == 'i-0'


async def close_without_response(turn: Turn) -> None:
    turn.writer.transport.abort()


def test_unread_log_pipe_does_not_block() -> None:
    """Guards against a daemon that blocks while nobody reads its log.

    A full pipe makes a plain write block; lines have to be dropped and
    counted instead.
    """
    reader, writer = os.pipe()
    destination = NonBlockingDestination(writer)
    line = {'message_type': 'test', 'text': 'x' * 1000}
    started_s = perf_counter()
    for _ in range(2000):
        destination(line)
    assert perf_counter() - started_s < 20
    assert destination.dropped_lines > 0
    output = os.read(reader, 1 << 20)
    # Each read makes room in the pipe, first for the buffered lines and then for
    # the line that states the number of dropped ones.
    for _ in range(2):
        destination(line)
        output += os.read(reader, 1 << 20)
    parsed = [decode(entry) for entry in output.splitlines()[:-1]]
    assert sum(entry.get('lines_dropped', 0) for entry in parsed) > 0
    os.close(reader)
    os.close(writer)
