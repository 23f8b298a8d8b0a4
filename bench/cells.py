"""Measure one cell: a scenario under a policy."""

from asyncio import create_task
from statistics import median
from time import monotonic
from typing import Any, Final, NamedTuple
from uuid import uuid4

from aiohttp import ClientSession

from bench.bound import InProcessServers
from bench.checkers import (
    compute_extra_share,
    compute_measuring_share,
    find_violations,
)
from bench.fleet import Fleet
from bench.load import (
    LoadGenerator,
    ObservedOutcome,
    compute_in_time_share,
    create_histogram,
)
from bench.plans import Call, plan_calls
from bench.scenarios import SCENARIOS, clear_disturbances
from bergamotshunt.peers.headers import REQUEST_ID

# Policy name of the omniscient chooser, the lower bound of latency.
BOUND: Final = 'lower bound'
WARM_UP_S: Final = 1
LATENCY_PAIRS: Final = 200
PERCENTILES: Final = (50, 99, 99.9)
# Fields of which the median over the runs of a cell is reported.
MEDIAN_FIELDS: Final = (
    'answered',
    'p50_ms',
    'p99_ms',
    'p999_ms',
    'in_time',
    'extra',
    'measuring',
)


class Cell(NamedTuple):
    """Results of one cell; times in milliseconds, shares from 0 to 1.

    Attributes:
        shape: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the chooser, or ``BOUND``.
        calls: Number of calls sent.
        answered: Share that was answered by a backend server.
        p50_ms: Median latency of answered calls, from planned arrival
            (corrected for coordinated omission).
        p99_ms: 99th percentile.
        p999_ms: 99.9th percentile.
        in_time: Weighted share answered in time, without internal calls.
        extra: Executions beyond the first, per executed request.
        measuring: Share of the slot time spent on probes.
        violations: Number of violations of properties 2 to 4.
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
    """Latency that a daemon adds to a call without work, in milliseconds.

    Attributes:
        shape: Name of the deployment.
        policy: Name of the chooser.
        pairs: Number of measured pairs of a direct call and one through
            the daemon.
        direct_p50_ms: Median latency of the direct calls.
        direct_p99_ms: 99th percentile of the direct calls.
        added_p50_ms: Difference of the medians.
        added_p99_ms: Difference of the 99th percentiles.
    """

    shape: str
    policy: str
    pairs: int
    direct_p50_ms: float
    direct_p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


async def run_cell(
    deployment: Fleet | InProcessServers,
    scenario: str,
    policy: str,
    seconds: float,
    seed: int,
) -> Cell:
    """Run one scenario under load and return its results.

    Args:
        deployment: The fleet, or servers in this process for the bound.
        scenario: Name of the scenario.
        policy: Name of the chooser, or ``BOUND``.
        seconds: Duration of the load in seconds.
        seed: Seed of the calls and the disturbance.
    """
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
    deployment: Fleet | InProcessServers, calls: list[Call]
) -> list[ObservedOutcome]:
    """Send calls through the daemons, or directly to in-process servers."""
    if isinstance(deployment, InProcessServers):
        servers = deployment

        def route_to_server(call: Call) -> str:
            return servers.route(call)

        return await LoadGenerator(route_to_server, servers.record_end).run(
            calls
        )
    hosts = deployment.hosts

    def route(call: Call) -> str:
        host = hosts[call.entry % len(hosts)]
        return f'{host.url("callers")}/{call.kind.service}'

    return await LoadGenerator(route).run(calls)


def summarize(
    names: tuple[str, str, str],
    outcomes: list[ObservedOutcome],
    server_counts: list[dict[str, Any]],
    seconds: float,
) -> Cell:
    """Return the results of a cell.

    Args:
        names: Deployment, scenario and policy.
        outcomes: Outcomes of all calls.
        server_counts: Counters of all servers.
        seconds: Duration of the load in seconds.
    """
    histogram = create_histogram(outcomes)
    p50, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    )
    violations = find_violations(outcomes, server_counts)
    if violations and names[2] != BOUND:
        print(f'violations in {names}: {violations}', flush=True)
    # The counters of executions also cover earlier loads; only violations by
    # the calls of this load are counted.
    ids = {outcome.call.request_id for outcome in outcomes}
    ids.update(outcome.call.booking for outcome in outcomes)
    return Cell(
        *names,
        len(outcomes),
        sum(outcome.answered for outcome in outcomes) / len(outcomes),
        p50,
        p99,
        p999,
        compute_in_time_share(outcomes),
        compute_extra_share(outcomes, server_counts),
        compute_measuring_share(server_counts, seconds),
        sum(
            len(ids.intersection(violating_ids))
            for violating_ids in violations.values()
        ),
    )


def merge_runs(cells: list[Cell]) -> Cell:
    """Return the medians, and the sums of counts, over the runs of a cell."""
    first_run = cells[0]
    medians = {
        name: median(getattr(cell, name) for cell in cells)
        for name in MEDIAN_FIELDS
    }
    return first_run._replace(
        calls=sum(cell.calls for cell in cells),
        violations=sum(cell.violations for cell in cells),
        **medians,
    )


async def measure_added_latency(fleet: Fleet, policy: str) -> AddedLatency:
    """Measure calls without work, through a daemon and directly."""
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
    # The first 10 calls are left out, as they open connections.
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
    """Make a call and return its latency in milliseconds."""
    started_at = monotonic()
    async with session.get(url, headers={REQUEST_ID: uuid4().hex}) as response:
        await response.read()
    return (monotonic() - started_at) * 1000


def find_percentiles(times_ms: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile, in milliseconds."""
    ordered = sorted(times_ms)
    return median(ordered), ordered[int(len(ordered) * 0.99)]
