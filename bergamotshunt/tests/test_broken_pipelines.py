"""Responses that break off on a connection with other requests.

Only the listener runs, so that each order of the events can be played.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.daemon import create_runner
from bergamotshunt.decisions.connection_closing import MAX_HELD_BYTES
from bergamotshunt.http.connection_ends import CloseReason
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.routing import ClientLimits
from bergamotshunt.tests.slow_client import (
    LARGE_CONTENT,
    SlowClient,
    shrink_send_buffers,
)

RUNNERS = (asyncio.Runner, create_runner)
IP = '127.0.0.1'
WAIT_S = 10.0
PART = b'part'
REST = b'rest'
LAST_REQUEST = b'GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'


class Plan(NamedTuple):
    """What happens to one request.

    Attributes:
        is_forwarded: Whether its work begins only after ``wait_for_earlier``.
        is_streamed: Whether its response is written in two parts.
        breaks_off: Whether the second part is missing.
        is_download: Whether it is known to be streamed from the start.
    """

    is_forwarded: bool
    is_streamed: bool
    breaks_off: bool
    is_download: bool


class Response(NamedTuple):
    """A response as a client receives it.

    Attributes:
        status: Its status.
        content: Its body.
        is_whole: Whether all bytes of the body have arrived.
    """

    status: int
    content: bytes
    is_whole: bool


class Responder:
    """Handles requests by plans, a step for each permission.

    Args:
        plans: The plan of each request, in the order of the requests.

    Attributes:
        passed_on: Requests whose work has begun.
        broken: Requests whose response broke off.
    """

    def __init__(self, plans: list[Plan]) -> None:
        self.passed_on: set[int] = set()
        self.broken: set[int] = set()
        self._plans = plans
        self._steps = [asyncio.Semaphore(0) for _ in plans]

    def permit_step(self, number: int) -> None:
        self._steps[number].release()

    async def serve(self, exchange: Exchange) -> None:
        if exchange.head.target == b'/last':
            exchange.respond(200, [], b'last')
            return
        number = int(exchange.head.target[1:])
        plan, steps = self._plans[number], self._steps[number]
        if plan.is_forwarded:
            exchange.may_break_off = plan.is_download
            await exchange.wait_for_earlier()
            self.passed_on.add(number)
        await steps.acquire()
        content = b'%d' % number
        if not plan.is_streamed:
            exchange.respond(200, [], content + REST)
            return
        exchange.start(200, [], len(content + PART + REST))
        exchange.write(content + PART)
        await steps.acquire()
        if plan.breaks_off:
            self.broken.add(number)
            exchange.break_off(CloseReason.RESPONSE_CUT)
            return
        exchange.write(REST)
        exchange.finish()


def parse_responses(received: bytes) -> list[Response]:
    """Split what a client received into responses; the last may be cut."""
    responses = []
    while received:
        head, _, received = received.partition(b'\r\n\r\n')
        status_line, *lines = head.lower().split(b'\r\n')
        by_name = dict(line.split(b': ', 1) for line in lines)
        length = int(by_name[b'content-length'])
        responses.append(
            Response(
                int(status_line.split(b' ')[1]),
                received[:length],
                len(received) >= length,
            )
        )
        received = received[length:]
    return responses


async def play(plans: list[Plan], order: list[int]) -> None:
    responder = Responder(plans)
    listener = Listener(responder.serve)
    port = await listener.open(IP, 0)
    reader, writer = await asyncio.open_connection(IP, port)
    for number in range(len(plans)):
        writer.write(b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n' % number)
    writer.write(LAST_REQUEST)
    received = asyncio.create_task(reader.read())
    while not any(
        len(connection._exchanges) for connection in listener.connections
    ):
        await asyncio.sleep(0)
    every_step = list(range(len(plans))) * 2
    for number in order + every_step:
        responder.permit_step(number % len(plans))
        for _ in range(4):
            await asyncio.sleep(0)
    async with asyncio.timeout(WAIT_S):
        content = await received
    writer.close()
    await listener.close()
    check(plans, responder, parse_responses(content))


def check(
    plans: list[Plan], responder: Responder, responses: list[Response]
) -> None:
    for number, response in enumerate(responses[: len(plans)]):
        if response.status == 200 and response.is_whole:
            assert response.content.startswith(b'%d' % number)
            assert response.content.endswith(REST)
        else:
            assert number in responder.broken
    cut = [response for response in responses if not response.is_whole]
    assert cut in ([], responses[-1:])
    answered = set(range(len(responses)))
    assert responder.passed_on <= answered


PLANS = st.builds(
    Plan,
    is_forwarded=st.just(True) | st.booleans(),
    is_streamed=st.booleans(),
    breaks_off=st.booleans(),
    is_download=st.booleans(),
)


@given(
    st.lists(PLANS, min_size=2, max_size=5),
    st.lists(st.integers(0, 59), max_size=12),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_response_that_breaks_off_ends_no_other_request_that_was_passed_on(
    plans: list[Plan], order: list[int]
) -> None:
    """Guards against a close with responses due to requests that ran.

    A response breaks off before, between or behind others, in any order of
    their parts.
    """
    asyncio.run(play(plans, order))


def test_part_of_a_response_over_the_limit_is_not_kept_in_memory() -> None:
    """Guards against endless responses that fill the memory.

    Requests behind them would be lost, so that as much is kept as is allowed.
    """

    async def run_scenario() -> None:
        may_end = asyncio.Event()
        passed_on = asyncio.Event()

        async def serve(exchange: Exchange) -> None:
            await exchange.wait_for_earlier()
            if exchange.head.target == b'/behind':
                passed_on.set()
                await may_end.wait()
                return
            await passed_on.wait()
            exchange.start(200, [], None)
            while not may_end.is_set():
                exchange.write(bytes(65_536))
                assert exchange.pending_bytes <= 2 * MAX_HELD_BYTES
                await exchange.drain()

        listener = Listener(serve)
        port = await listener.open(IP, 0)
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(b'GET /endless HTTP/1.1\r\nHost: x\r\n\r\n')
        writer.write(b'GET /behind HTTP/1.1\r\nHost: x\r\n\r\n')
        async with asyncio.timeout(WAIT_S):
            await reader.readexactly(4 * MAX_HELD_BYTES)
        may_end.set()
        writer.close()
        await listener.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_response_before_one_that_breaks_off_is_delivered_to_a_slow_client(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a close that drops what the client has not read yet."""

    async def run_scenario() -> bytes:
        async def serve(exchange: Exchange) -> None:
            if exchange.head.target == b'/a':
                shrink_send_buffers(listener)
                exchange.respond(200, [], LARGE_CONTENT)
                return
            exchange.start(200, [], 2 * len(PART))
            exchange.write(PART)
            exchange.fail(502, [])

        listener = Listener(serve)
        port = await listener.open(IP, 0)
        async with SlowClient(IP, port) as client:
            await client.send(
                b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
                b'GET /b HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            await asyncio.sleep(0.2)
            received = await client.read_until_closed()
        await listener.close()
        return received

    with runner_factory() as runner:
        responses = parse_responses(runner.run(run_scenario()))
    assert responses[0] == Response(200, LARGE_CONTENT, is_whole=True)
    assert all(not response.is_whole for response in responses[1:])


def test_request_before_one_that_is_rejected_within_its_response_is_answered() -> (
    None
):
    """Guards against a body that grows too long and closes the connection.

    The server has answered it early, and its response waits for another one.
    """

    async def run_scenario() -> bytes:
        has_started = asyncio.Event()
        may_respond = asyncio.Event()

        async def serve(exchange: Exchange) -> None:
            if exchange.head.target == b'/a':
                await may_respond.wait()
                exchange.respond(200, [], b'a')
                return
            exchange.start(200, [], 2 * len(PART))
            exchange.write(PART)
            has_started.set()
            await exchange.body.read_up_to(1 << 20)

        listener = Listener(serve, ClientLimits(body_bytes=10))
        port = await listener.open(IP, 0)
        reader, writer = await asyncio.open_connection(IP, port)
        writer.write(
            b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
            b'POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        await has_started.wait()
        writer.write(b'b\r\n%b\r\n' % bytes(11))
        await asyncio.sleep(0.1)
        may_respond.set()
        async with asyncio.timeout(WAIT_S):
            received = await reader.read()
        writer.close()
        await listener.close()
        return received

    first, second = parse_responses(asyncio.run(run_scenario()))
    assert first == Response(200, b'a', is_whole=True)
    assert second.status == 413
