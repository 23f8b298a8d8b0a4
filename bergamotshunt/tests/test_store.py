"""Store task against the platform stand-in over loopback."""

from asyncio import gather, run
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any, NamedTuple
from uuid import UUID

from returns.result import Success

from bergamotshunt.decisions.booking_keys import (
    HOUR_MS,
    claim_key,
    expired_claims,
)
from bergamotshunt.decisions.platform_access import (
    CallRate,
    Circuit,
    admit_call,
    note_failed_call,
    reserve_call,
)
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


class Bench(NamedTuple):
    """A store task with its platform."""

    stand_in: PlatformStandIn
    server: PlatformServer
    bus: MessageBus
    kernel: Kernel


@asynccontextmanager
async def running(
    limits: Limits = Limits(), **platform: Any
) -> AsyncIterator[Bench]:
    stand_in = PlatformStandIn(limits)
    server = PlatformServer(stand_in)
    await server.open()
    settings = Settings(
        platform=PlatformSettings(urls=(server.url,), **platform)
    )
    bus = MessageBus()
    kernel = Kernel(Context(settings, bus, Random(1), 1), ('store',))
    await kernel.start()
    try:
        yield Bench(stand_in, server, bus, kernel)
    finally:
        await kernel.stop()
        await server.close()


def check(scenario: Callable[[Bench], Awaitable[None]], **options: Any) -> None:
    async def body() -> None:
        async with running(**options) as bench:
            await scenario(bench)

    run(body())


def put(key: str, content: bytes = b'x', revision: int = 0) -> StoreCommit:
    return StoreCommit(((key, revision),), (StorePut(key, content),))


def test_a_lost_commit_tells_what_is_there() -> None:
    """Guards against a loser that cannot name the winner."""

    async def scenario(bench: Bench) -> None:
        won = (await bench.bus.ask(put('a', b'first'))).unwrap()
        assert won.succeeded
        lost = (await bench.bus.ask(put('a', b'second'))).unwrap()
        assert not lost.succeeded
        assert lost.present == (StoreEntry('a', b'first', won.revision),)

    check(scenario)


def test_pages_of_a_prefix() -> None:
    """Guards against entries that a paged read repeats or leaves out."""

    async def scenario(bench: Bench) -> None:
        for key in ('c/1', 'c/2', 'c/3', 'd/1'):
            await bench.bus.ask(put(key))
        pages = [
            (await bench.bus.ask(StoreGet('c/', True, after, 2))).unwrap()
            for after in ('', 'c/2')
        ]
        keys = [[entry.key for entry in page] for page in pages]
        assert keys == [['c/1', 'c/2'], ['c/3']]

    check(scenario)


def test_failure_tells_whether_a_write_may_have_run() -> None:
    """Guards against a lost response that is reported as not written."""

    async def scenario(bench: Bench) -> None:
        bench.stand_in.set_faults(lose_answers=1)
        lost = (await bench.bus.ask(put('a'))).failure()
        assert lost.may_have_run
        assert 'bergamotshunt/a' in bench.stand_in.by_key
        bench.stand_in.set_faults(down='refused')
        await bench.server.apply_faults()
        refused = (await bench.bus.ask(put('b'))).failure()
        assert not refused.may_have_run
        bench.stand_in.set_faults(down='')
        await bench.server.apply_faults()

    check(scenario)


def test_values_above_one_megabyte_are_refused() -> None:
    """Guards against an unknown outcome where the platform refused."""

    async def scenario(bench: Bench) -> None:
        outcome = await bench.bus.ask(put('a', b'x' * 1_000_001))
        assert not outcome.failure().may_have_run

    check(scenario)


def test_calls_fail_at_once_while_the_platform_is_down() -> None:
    """Guards against a data path that waits for the platform."""

    async def scenario(bench: Bench) -> None:
        bench.stand_in.set_faults(down='closed')
        for _ in range(2):
            await bench.bus.ask(StoreGet('a'))
        sent = bench.stand_in.calls['dropped']
        failures = await gather(
            *(bench.bus.ask(StoreGet('a')) for _ in range(20))
        )
        assert bench.stand_in.calls['dropped'] == sent
        assert all('is down' in one.failure().detail for one in failures)

    check(scenario)


def test_stale_reads_are_not_responses() -> None:
    """Guards against data of a lagging replica that looks current."""

    async def scenario(bench: Bench) -> None:
        bench.stand_in.set_faults(stale=True)
        await bench.bus.ask(put('a'))
        outcome = await bench.bus.ask(StoreGet('a'))
        assert 'stale' in outcome.failure().detail

    check(scenario)


def test_old_claims_are_removed_and_no_lease_holds_the_others() -> None:
    """Guards against claims that vanish while their keys are accepted."""

    async def scenario(bench: Bench) -> None:
        now_ms = 1_800_000_000_000
        ages_h = (0, 1, 23.9, 35.9, 36.1, 1000)
        keys = [
            claim_key('jar-ledger', str(uuid7_of(now_ms - age_h * HOUR_MS)))
            for age_h in ages_h
        ]
        puts = tuple(StorePut(key, b'x') for key in (*keys, 'targets/head'))
        await bench.bus.ask(StoreCommit((), puts))
        bench.stand_in.expire_leases()
        removal = (expired_claims(now_ms),)
        outcome = await bench.bus.ask(StoreCommit((), (), (), removal))
        assert outcome.unwrap().succeeded
        left = await bench.bus.ask(StoreGet('claims/', prefix=True))
        assert [entry.key for entry in left.unwrap()] == sorted(keys[:4])
        assert (await bench.bus.ask(StoreGet('targets/head'))).unwrap()
        assert bench.stand_in.calls['lease-grant'] == 0

    check(scenario)


def uuid7_of(made_at_ms: float) -> UUID:
    """Build a UUIDv7 of a time."""
    random_bits = (7 << 76) | (2 << 62) | 12345
    return UUID(int=int(made_at_ms) << 80 | random_bits)


def test_watch_sees_past_and_coming_writes() -> None:
    """Guards against a write that falls between a read and a watch."""

    async def scenario(bench: Bench) -> None:
        first = (await bench.bus.ask(put('a'))).unwrap().revision
        past = await bench.bus.ask(StoreWatch('a', first - 1, 5000))
        assert past.unwrap().mod_revision == first
        coming, written = await gather(
            bench.bus.ask(StoreWatch('a', first, 5000)),
            bench.bus.ask(put('a', b'y', first)),
        )
        assert coming.unwrap().mod_revision == written.unwrap().revision
        assert await bench.bus.ask(StoreWatch('b', 0, 20)) == Success(None)

    check(scenario)


def test_second_url_takes_over() -> None:
    """Guards against a daemon that depends on one address."""

    async def scenario(bench: Bench) -> None:
        url = bench.server.url
        settings = Settings(
            platform=PlatformSettings(urls=('http://127.0.0.1:1', url))
        )
        bus = MessageBus()
        kernel = Kernel(Context(settings, bus, Random(2), 1), ('store',))
        await kernel.start()
        assert (await bus.ask(put('a'))).unwrap().succeeded
        await kernel.stop()

    check(scenario)


def test_calls_beyond_the_rate_are_not_sent() -> None:
    """Guards against a daemon that takes more than its part."""

    async def scenario(bench: Bench) -> None:
        outcomes = await gather(
            *(bench.bus.ask(StoreGet('a')) for _ in range(10))
        )
        refused = [one for one in outcomes if not isinstance(one, Success)]
        assert len(refused) == 10 - bench.stand_in.calls['range']
        assert refused

    check(scenario, calls_per_s=2, timeout_ms=1000)


def test_the_platform_limits_its_rate() -> None:
    """Guards against a stand-in that accepts more than the platform."""

    async def scenario(bench: Bench) -> None:
        outcomes = [await bench.bus.ask(put(key)) for key in 'abcdef']
        assert bench.stand_in.calls['limited']
        assert not any(
            one.failure().may_have_run
            for one in outcomes
            if not isinstance(one, Success)
        )

    check(scenario, limits=Limits(writes_per_s=2))


def test_rate_and_circuit_decisions() -> None:
    """Guards against waits that grow without bound and against retries
    of all daemons in step."""
    rate, waits = CallRate(1, 0), []
    for _ in range(4):
        rate, wait_ms = reserve_call(rate, 1, 2000, now_ms=0)
        waits.append(wait_ms)
    assert waits == [0, 1000, 2000, None]
    circuit = Circuit()
    for _ in range(3):
        circuit = note_failed_call(circuit, Random(3), now_ms=0)
    assert 100 <= circuit.closed_after_ms <= 200
    assert admit_call(circuit, 50, now_ms=99) == (circuit, False)
    trial, admitted = admit_call(circuit, 50, now_ms=201)
    assert admitted
    assert not admit_call(trial, 50, now_ms=202)[1]
    for _ in range(40):
        circuit = note_failed_call(circuit, Random(3), now_ms=0)
    assert circuit.closed_after_ms <= 5000
