"""Failed requests are explained from the log lines alone."""

import asyncio
import os
from collections.abc import Iterator
from contextlib import contextmanager
from time import perf_counter
from typing import Any

from eliot import add_destinations, remove_destination
from msgspec.json import decode, encode

from bergamotshunt.log_pipe import PipeDestination
from bergamotshunt.operators.explaining import Line, explain, read_line
from bergamotshunt.request_log import MAX_LINES, RequestLog
from bergamotshunt.tests.mesh import Mesh
from standins.mesh_server import respond_error, respond_with_echo, drop_response


@contextmanager
def captured() -> Iterator[list[Line]]:
    lines: list[Line] = []

    def keep(message: dict[str, Any]) -> None:
        line = read_line(f'host-1 {encode(message, enc_hook=str).decode()}')
        if line is not None:
            lines.append(line)

    add_destinations(keep)
    try:
        yield lines
    finally:
        remove_destination(keep)


def test_refusal_under_load_is_explained() -> None:
    """Guards against a refusal whose cause the lines do not name."""

    async def walk(lines: list[Line]) -> None:
        async with Mesh([respond_with_echo]) as mesh:
            server = mesh.hosts[0].server
            assert await mesh.announce(0, slots=1, seq=2) == 200
            server.may_respond.clear()
            first = [
                asyncio.create_task(mesh.ask(0, '/read/1', f'first-{number}'))
                for number in range(70)
            ]
            await mesh.wait_until(lambda: any(task.done() for task in first))
            said = await mesh.ask(0, '/read/1', 'refused')
            assert said.status == 503
            server.may_respond.set()
            await asyncio.gather(*first)
            found, sentence = explain(lines, 'refused')
            assert found
            assert sentence.startswith('Refused under load, not run')

    with captured() as lines:
        asyncio.run(walk(lines))


def test_timeout_behind_a_straggler_is_explained() -> None:
    """Guards against a timeout whose server the lines do not name."""

    async def walk(lines: list[Line]) -> None:
        async with Mesh([respond_with_echo]) as mesh:
            mesh.hosts[0].server.may_respond.clear()
            said = await mesh.ask(0, '/book/1', 'slow', b'x', timeout_ms=300)
            assert said.status == 504
            _, sentence = explain(lines, 'slow')
            assert sentence.startswith('Timed out behind a server')
            assert 'i-0' in sentence

    with captured() as lines:
        asyncio.run(walk(lines))


def test_lost_connection_is_explained() -> None:
    """Guards against a lost connection that looks like a refusal."""

    async def walk(lines: list[Line]) -> None:
        async with Mesh([drop_response]) as mesh:
            assert (await mesh.ask(0, '/book/1', 'lost', b'x')).status == 502
            _, sentence = explain(lines, 'lost')
            assert sentence.startswith('The connection to the server')
            assert 'may have run' in sentence

    with captured() as lines:
        asyncio.run(walk(lines))


def test_other_ends_are_explained() -> None:
    """Guards against responses and routes that no sentence covers."""

    async def walk(lines: list[Line]) -> None:
        async with Mesh([respond_error]) as mesh:
            await mesh.ask(0, '/book/1', 'failed', b'x')
            await mesh.ask(0, '/nowhere/1', 'astray')
            assert 'answered 500' in explain(lines, 'failed')[1]
            assert 'no route' in explain(lines, 'astray')[1]
            assert explain(lines, 'unknown')[0] == []

    with captured() as lines:
        asyncio.run(walk(lines))


def test_failed_requests_keep_their_lines() -> None:
    """Guards against lines of failures that are dropped before others."""
    now_s = [0.0]
    with captured() as lines:
        log = RequestLog(lambda: now_s[0])
        for number in range(500):
            log.note('carrier:answered', failed=False, request_id=str(number))
        for number in range(10):
            log.note('carrier:failed', failed=True, request_id=f'f{number}')
    failed = [line for line in lines if line.event == 'carrier:failed']
    assert len(failed) == 10
    assert len(lines) <= MAX_LINES
    assert failed[0].fields['dropped_before'] > 400


def test_unread_output_holds_up_nobody() -> None:
    """Guards against a daemon that waits for the reader of its log."""
    reader, writer = os.pipe()
    destination = PipeDestination(writer)
    line = {'message_type': 'test', 'text': 'x' * 1000}
    began_s = perf_counter()
    for _ in range(2000):
        destination(line)
    assert perf_counter() - began_s < 20
    assert destination.dropped > 0
    seen = os.read(reader, 1 << 20)
    for _ in range(2):
        destination(line)
        seen += os.read(reader, 1 << 20)
    parsed = [decode(one) for one in seen.splitlines()[:-1]]
    assert sum(one.get('lines_dropped', 0) for one in parsed) > 0
    os.close(reader)
    os.close(writer)
