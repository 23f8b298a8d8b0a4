"""Tests the store task with the platform stand-in."""

from asyncio import gather, run
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from time import monotonic
from typing import Any, NamedTuple
from uuid import UUID

import pytest
from returns.result import Success

from bergamotshunt.decisions.booking_keys import (
    HOUR_MS,
    claim_key,
    expired_claims_range,
)
from bergamotshunt.decisions.platform_access import (
    MIN_OPEN_MS,
    CallRate,
    Circuit,
    admit_call,
    record_failed_call,
    reserve_call,
)
from bergamotshunt.http.web import HttpServer, send_whole
from bergamotshunt.kernel import Context, Kernel, MessageBus
from bergamotshunt.messages import (
    StoreCommit,
    StoreEntry,
    StoreGet,
    StorePut,
    StoreWatch,
)
from bergamotshunt.settings import PlatformSettings, Settings
from standins.platform import Limits, PlatformServer, PlatformStandIn


class ManualClock:
    """Monotonic clock in seconds that only the test advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class StoreHarness(NamedTuple):
    """A running store task with its platform stand-in."""

    stand_in: PlatformStandIn
    server: PlatformServer
    bus: MessageBus
    kernel: Kernel


@asynccontextmanager
async def run_store_task(
    limits: Limits = Limits(),
    clock: Callable[[], float] = monotonic,
    **platform: Any,
) -> AsyncIterator[StoreHarness]:
    stand_in = PlatformStandIn(limits)
    server = PlatformServer(stand_in)
    await server.open()
    settings = Settings(
        platform=PlatformSettings(urls=(server.url,), **platform)
    )
    bus = MessageBus()
    kernel = Kernel(Context(settings, bus, Random(1), 1, clock), ('store',))
    await kernel.start()
    try:
        yield StoreHarness(stand_in, server, bus, kernel)
    finally:
        await kernel.stop()
        await server.close()


def run_scenario(
    scenario: Callable[[StoreHarness], Awaitable[None]], **options: Any
) -> None:
    async def body() -> None:
        async with run_store_task(**options) as harness:
            await scenario(harness)

    run(body())


def put(key: str, content: bytes = b'x', revision: int = 0) -> StoreCommit:
    return StoreCommit(((key, revision),), (StorePut(key, content),))


def test_a_failed_commit_returns_the_stored_entry() -> None:
    """Guards against a failed commit that does not return the stored entry.

    A key that was written before fails the condition of the second commit.
    """

    async def scenario(harness: StoreHarness) -> None:
        committed = (await harness.bus.ask(put('a', b'first'))).unwrap()
        assert committed.succeeded
        rejected = (await harness.bus.ask(put('a', b'second'))).unwrap()
        assert not rejected.succeeded
        assert rejected.present == (
            StoreEntry('a', b'first', committed.revision),
        )

    run_scenario(scenario)


def test_paged_read_of_a_prefix() -> None:
    """Guards against paged reads that repeat or omit entries.

    A page starts after the last key of the page before it.
    """

    async def scenario(harness: StoreHarness) -> None:
        for key in ('c/1', 'c/2', 'c/3', 'd/1'):
            await harness.bus.ask(put(key))
        pages = [
            (await harness.bus.ask(StoreGet('c/', True, after, 2))).unwrap()
            for after in ('', 'c/2')
        ]
        keys = [[entry.key for entry in page] for page in pages]
        assert keys == [['c/1', 'c/2'], ['c/3']]

    run_scenario(scenario)


def test_failure_states_whether_a_write_may_have_run() -> None:
    """Guards against a lost response that is reported as not written.

    The platform applies the first write and loses its response; nothing
    listens on its port for the second one.
    """

    async def scenario(harness: StoreHarness) -> None:
        harness.stand_in.set_faults(lose_answers=1)
        lost = (await harness.bus.ask(put('a'))).failure()
        assert lost.may_have_run
        assert 'bergamotshunt/a' in harness.stand_in.by_key
        harness.stand_in.set_faults(down='refused')
        await harness.server.apply_faults()
        refused = (await harness.bus.ask(put('b'))).failure()
        assert not refused.may_have_run
        harness.stand_in.set_faults(down='')
        await harness.server.apply_faults()

    run_scenario(scenario)


def test_values_above_one_megabyte_are_refused() -> None:
    """Guards against reporting a refused write as an unknown outcome.

    The platform refuses values above one megabyte with an error status.
    """

    async def scenario(harness: StoreHarness) -> None:
        outcome = await harness.bus.ask(put('a', b'x' * 1_000_001))
        assert not outcome.failure().may_have_run

    run_scenario(scenario)


def test_calls_fail_at_once_while_the_platform_is_down() -> None:
    """Guards against calls that wait for a platform known to be down.

    Two failed calls open the circuit; the next ones must not be sent. Once
    its time has passed, one of them is sent as a trial. The time of the
    circuit is the test's own, as the circuit is open for 50 to 100 ms only.
    """
    clock = ManualClock()

    async def ask_20_times(harness: StoreHarness) -> list[str]:
        outcomes = await gather(
            *(harness.bus.ask(StoreGet('a')) for _ in range(20))
        )
        return [outcome.failure().detail for outcome in outcomes]

    async def scenario(harness: StoreHarness) -> None:
        harness.stand_in.set_faults(down='closed')
        for _ in range(2):
            await harness.bus.ask(StoreGet('a'))
        assert harness.stand_in.calls['dropped'] == 2
        details = await ask_20_times(harness)
        assert harness.stand_in.calls['dropped'] == 2
        assert all('is down' in detail for detail in details)
        clock.now_s += MIN_OPEN_MS / 1000
        details = await ask_20_times(harness)
        assert harness.stand_in.calls['dropped'] == 3
        assert sum('is down' in detail for detail in details) == 19

    run_scenario(scenario, clock=clock)


def test_stale_reads_fail() -> None:
    """Guards against accepting data of a replica that lags behind.

    Its revision is lower than that of an earlier response.
    """

    async def scenario(harness: StoreHarness) -> None:
        harness.stand_in.set_faults(stale=True)
        await harness.bus.ask(put('a'))
        outcome = await harness.bus.ask(StoreGet('a'))
        assert 'stale' in outcome.failure().detail

    run_scenario(scenario)


def test_only_expired_claims_are_removed() -> None:
    """Guards against claims that are removed while their keys are valid.

    A claim expires 36 hours after the timestamp of its key. Claims are not
    bound to leases, so the end of all leases must not remove any.
    """

    async def scenario(harness: StoreHarness) -> None:
        now_ms = 1_800_000_000_000
        ages_h = (0, 1, 23.9, 35.9, 36.1, 1000)
        keys = [
            claim_key('jar-ledger', str(uuid7_of(now_ms - age_h * HOUR_MS)))
            for age_h in ages_h
        ]
        puts = tuple(StorePut(key, b'x') for key in (*keys, 'targets/head'))
        await harness.bus.ask(StoreCommit((), puts))
        harness.stand_in.expire_leases()
        removal = (expired_claims_range(now_ms),)
        outcome = await harness.bus.ask(StoreCommit((), (), (), removal))
        assert outcome.unwrap().succeeded
        left = await harness.bus.ask(StoreGet('claims/', prefix=True))
        assert [entry.key for entry in left.unwrap()] == sorted(keys[:4])
        assert (await harness.bus.ask(StoreGet('targets/head'))).unwrap()
        assert harness.stand_in.calls['lease-grant'] == 0

    run_scenario(scenario)


def uuid7_of(made_at_ms: float) -> UUID:
    """Build a UUIDv7 with a timestamp."""
    random_bits = (7 << 76) | (2 << 62) | 12345
    return UUID(int=int(made_at_ms) << 80 | random_bits)


def test_watch_returns_earlier_and_later_writes() -> None:
    """Guards against missing a write between a read and the next watch.

    The watch starts at a revision, so it also returns writes after that
    revision that were made before it started.
    """

    async def scenario(harness: StoreHarness) -> None:
        revision = (await harness.bus.ask(put('a'))).unwrap().revision
        earlier_write = await harness.bus.ask(
            StoreWatch('a', revision - 1, 5000)
        )
        assert earlier_write.unwrap().mod_revision == revision
        later_write, written = await gather(
            harness.bus.ask(StoreWatch('a', revision, 5000)),
            harness.bus.ask(put('a', b'y', revision)),
        )
        assert later_write.unwrap().mod_revision == written.unwrap().revision
        assert await harness.bus.ask(StoreWatch('b', 0, 20)) == Success(None)

    run_scenario(scenario)


def test_second_url_is_used_when_the_first_fails() -> None:
    """Guards against a daemon that depends on one URL of the platform.

    Nothing listens at the first of two URLs.
    """

    async def scenario(harness: StoreHarness) -> None:
        url = harness.server.url
        settings = Settings(
            platform=PlatformSettings(urls=('http://127.0.0.1:1', url))
        )
        bus = MessageBus()
        kernel = Kernel(Context(settings, bus, Random(2), 1), ('store',))
        await kernel.start()
        assert (await bus.ask(put('a'))).unwrap().succeeded
        await kernel.stop()

    run_scenario(scenario)


def test_calls_beyond_the_rate_are_not_sent() -> None:
    """Guards against a daemon that exceeds its rate of calls.

    Ten calls at once exceed two calls a second; calls that would wait
    longer than their timeout of one second fail without being sent.
    """

    async def scenario(harness: StoreHarness) -> None:
        outcomes = await gather(
            *(harness.bus.ask(StoreGet('a')) for _ in range(10))
        )
        refused = [
            outcome for outcome in outcomes if not isinstance(outcome, Success)
        ]
        assert len(refused) == 10 - harness.stand_in.calls['range']
        assert refused

    run_scenario(scenario, calls_per_s=2, timeout_ms=1000)


def test_the_stand_in_limits_its_rate() -> None:
    """Guards against a stand-in that accepts a higher rate than allowed.

    Six writes in a row exceed two writes a second.
    """

    async def scenario(harness: StoreHarness) -> None:
        outcomes = [await harness.bus.ask(put(key)) for key in 'abcdef']
        assert harness.stand_in.calls['limited']
        assert not any(
            outcome.failure().may_have_run
            for outcome in outcomes
            if not isinstance(outcome, Success)
        )

    run_scenario(scenario, limits=Limits(writes_per_s=2))


def test_rate_and_circuit_decisions() -> None:
    """Guards against unbounded waits and synchronized retries of daemons.

    Calls beyond the rate wait for their turn, up to their timeout. Each
    failure extends the time of the open circuit, with jitter and a maximum.
    """
    rate, waits = CallRate(1, 0), []
    for _ in range(4):
        rate, wait_ms = reserve_call(rate, 1, 2000, now_ms=0)
        waits.append(wait_ms)
    assert waits == [0, 1000, 2000, None]
    circuit = Circuit()
    for _ in range(3):
        circuit = record_failed_call(circuit, Random(3), now_ms=0)
    assert 100 <= circuit.open_until_ms <= 200
    assert admit_call(circuit, 50, now_ms=99) == (circuit, False)
    trial, admitted = admit_call(circuit, 50, now_ms=201)
    assert admitted
    assert not admit_call(trial, 50, now_ms=202)[1]
    for _ in range(40):
        circuit = record_failed_call(circuit, Random(3), now_ms=0)
    assert circuit.open_until_ms <= 5000


ODD_RESPONSES = {
    'nested': b'{"x": ' + b'[' * 100_000,
    'no JSON': b'{\xff',
    'no key': b'{"kvs": [{}]}',
    'a list of entries': b'{"kvs": [[1]]}',
    'no base64': b'{"kvs": [{"key": "!", "mod_revision": "1"}]}',
    'no revision': b'{"header": {"revision": "x"}}',
    'a list as header': b'{"header": [1]}',
}


@pytest.mark.parametrize(
    'odd', ODD_RESPONSES.values(), ids=ODD_RESPONSES.keys()
)
def test_odd_response_of_the_platform_is_a_failure(odd: bytes) -> None:
    """Guards against errors that end the loops of the tasks that ask."""

    async def serve(_scope: Any, _receive: Any, send: Any) -> None:
        await send_whole(send, 200, [], odd)

    async def scenario() -> None:
        platform = HttpServer(serve, '127.0.0.1', 0)
        await platform.open()
        url = f'http://127.0.0.1:{platform.port}'
        settings = Settings(platform=PlatformSettings(urls=(url,)))
        bus = MessageBus()
        kernel = Kernel(Context(settings, bus, Random(1), 1), ('store',))
        await kernel.start()
        read = await bus.ask(StoreGet('a'))
        watched = await bus.ask(StoreWatch('a', 1, 5000))
        await kernel.stop()
        await platform.close()
        assert not read.failure().may_have_run
        assert not watched.failure().may_have_run

    run(scenario())
