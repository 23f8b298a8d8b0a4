"""One cell of the measurement: a scenario under a policy."""

from asyncio import create_task
from statistics import median
from time import monotonic
from typing import Any, Final, NamedTuple
from uuid import uuid4

from aiohttp import ClientSession

from bench.bound import KnownServers
from bench.fleet import Fleet
from bench.checkers import find_violations, share_extra, share_measuring
from bench.load import Loader, Outcome, create_histogram, share_in_time
from bench.plans import Call, plan_calls
from bench.scenarios import SCENARIOS, clear_disturbances
from bergamotshunt.peers.headers import REQUEST_ID

BOUND: Final = 'lower bound'
WARM_UP_S: Final = 1
LATENCY_PAIRS: Final = 200
PERCENTILES: Final = (50, 99, 99.9)
MEDIANS: Final = (
    'answered',
    'p50_ms',
    'p99_ms',
    'p999_ms',
    'in_time',
    'extra',
    'measuring',
)


class Cell(NamedTuple):
    """Figures of one cell; times in milliseconds, shares from 0 to 1.

    Attributes:
        shape: Deployment.
        scenario: What disturbed it.
        policy: Chooser, or ``BOUND``.
        calls: Calls sent.
        answered: Share that was answered by a backend server.
        p50_ms: Median latency of answered calls, corrected.
        p99_ms: 99th percentile.
        p999_ms: 99.9th percentile.
        in_time: Share in time, weighted, without internal checks.
        extra: Runs beyond the first of each request.
        measuring: Share of the slots' time spent on probes.
        violations: Violations of properties 2 to 4.
    """

    shape: str
    scenario: str
    policy: str
    calls: int
    answered: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_time: float
    extra: float
    measuring: float
    violations: int


class AddedLatency(NamedTuple):
    """Time added by the path to a call without work, in milliseconds."""

    shape: str
    policy: str
    pairs: int
    direct_p50_ms: float
    direct_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


async def run_cell(
    deployment: Fleet | KnownServers,
    scenario: str,
    policy: str,
    seconds: float,
    seed: int,
) -> Cell:
    """Run one scenario and collect its figures."""
    shape = deployment.shape
    scenario_plan = SCENARIOS.get(scenario)
    await clear_disturbances(deployment)
    await send_all(deployment, plan_calls(shape, WARM_UP_S, seed + 1))
    await clear_disturbances(deployment)
    calls = plan_calls(
        shape, seconds, seed, {shape.surge_kind: scenario_plan.surge}
    )
    started_at = monotonic()
    disturbance = create_task(scenario_plan.disturb(deployment, seconds, seed))
    outcomes = await send_all(deployment, calls)
    took_s = monotonic() - started_at
    await disturbance
    server_counts = await deployment.read_all_counts()
    return summarize(
        (shape.name, scenario, policy), outcomes, server_counts, took_s
    )


async def send_all(
    deployment: Fleet | KnownServers, calls: list[Call]
) -> list[Outcome]:
    """Send calls to daemons, or to the servers whose load is known."""
    if isinstance(deployment, KnownServers):
        known = deployment

        def route_known(call: Call) -> str:
            return known.route(call)

        return await Loader(route_known, known.record_end).run(calls)
    hosts = deployment.hosts

    def route(call: Call) -> str:
        host = hosts[call.entry % len(hosts)]
        return f'{host.url("callers")}/{call.kind.service}'

    return await Loader(route).run(calls)


def summarize(
    names: tuple[str, str, str],
    outcomes: list[Outcome],
    server_counts: list[dict[str, Any]],
    seconds: float,
) -> Cell:
    """Compute the figures of a cell."""
    histogram = create_histogram(outcomes)
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    )
    found = find_violations(outcomes, server_counts)
    if found and names[2] != BOUND:
        print(f'violations in {names}: {found}', flush=True)
    ids = {outcome.call.request_id for outcome in outcomes}
    ids.update(outcome.call.booking for outcome in outcomes)
    return Cell(
        *names,
        len(outcomes),
        sum(outcome.answered for outcome in outcomes) / len(outcomes),
        p50,
        p99,
        p999,
        share_in_time(outcomes),
        share_extra(outcomes, server_counts),
        share_measuring(server_counts, seconds),
        sum(len(ids.intersection(who)) for who in found.values()),
    )


def merge_runs(cells: list[Cell]) -> Cell:
    """Return the median of each figure over the runs of a cell."""
    first = cells[0]
    medians = {
        name: median(getattr(cell, name) for cell in cells) for name in MEDIANS
    }
    return first._replace(
        calls=sum(cell.calls for cell in cells),
        violations=sum(cell.violations for cell in cells),
        **medians,
    )


async def measure_added_latency(fleet: Fleet, policy: str) -> AddedLatency:
    """Compare calls without work through a daemon with direct ones."""
    kind = next(k for k in fleet.shape.kinds() if k.method == 'GET')
    path = f'{kind.path_prefix}/1?service_ms=0&answer_bytes=200'
    direct_url = fleet.hosts[0].url('server') + path
    url = f'{fleet.hosts[0].url("callers")}/{kind.service}{path}'
    direct: list[float] = []
    through: list[float] = []
    async with ClientSession() as session:
        for _ in range(LATENCY_PAIRS):
            direct.append(await time_call(session, direct_url))
            through.append(await time_call(session, url))
    # The first calls open connections.
    direct_p50, direct_p99 = find_percentiles(direct[10:])
    through_p50, through_p99 = find_percentiles(through[10:])
    return AddedLatency(
        fleet.shape.name,
        policy,
        LATENCY_PAIRS - 10,
        direct_p50,
        direct_p99,
        through_p50 - direct_p50,
        through_p99 - direct_p99,
    )


async def time_call(session: ClientSession, url: str) -> float:
    """Return the time of one call in milliseconds."""
    started_at = monotonic()
    async with session.get(url, headers={REQUEST_ID: uuid4().hex}) as response:
        await response.read()
    return (monotonic() - started_at) * 1000


def find_percentiles(times_ms: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile."""
    ordered = sorted(times_ms)
    return median(ordered), ordered[int(len(ordered) * 0.99)]
