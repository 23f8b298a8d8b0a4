"""Measure policies under scenarios: ``python -m bench.measure``.

Writes docs/measurements.md and its plot.
"""

from asyncio import run
from collections import defaultdict
from os import cpu_count, getloadavg
from pathlib import Path
from shlex import join
from sys import argv
from time import monotonic
from typing import Final

from cyclopts import App

from bench.bound import InProcessServers
from bench.cells import (
    BOUND,
    AddedLatency,
    Cell,
    measure_added_latency,
    merge_runs,
    run_cell,
)
from bench.fleet import Fleet
from bench.report import Conditions, find_misses, format_page, plot_p99
from bench.scenarios import SCENARIOS
from bench.shapes import ASSINIBOINE, SHAPES_BY_NAME, TINAJAS, Shape
from bergamotshunt.decisions.choosers import CHOOSERS

PAGE: Final = 'measurements.md'
PLOT: Final = 'measurements.svg'
# Distance between the seeds of cells, as a cell uses several seeds.
SEEDS_PER_CELL: Final = 10

app = App(name='bench.measure', help='Measure policies under scenarios.')
CellsByName = dict[tuple[str, str, str], list[Cell]]


class Measurement:
    """Parameters of a measurement and its results so far.

    Args:
        scenarios: Names of the scenarios.
        seconds: Duration of one run of a cell, in seconds.
        seed: Seed from which those of the cells are derived.
        runs: Number of runs of each cell.
    """

    def __init__(
        self,
        scenarios: tuple[str, ...],
        seconds: float,
        seed: int,
        runs: int,
    ) -> None:
        """Create the measurement without results."""
        self.scenarios = scenarios
        self.seconds = seconds
        self.seed = seed
        self.runs = runs
        self.cells_by_name: CellsByName = defaultdict(list)
        self.added_latencies: list[AddedLatency] = []

    async def run_scenarios(
        self, deployment: Fleet | InProcessServers, policy: str
    ) -> None:
        """Run all scenarios under one policy."""
        for run_index in range(self.runs):
            for name in self.scenarios:
                # All policies get the same arrivals.
                number = SCENARIOS.names().index(name) + 1
                seed = (
                    self.seed * 100 + run_index
                ) * 100 + number * SEEDS_PER_CELL
                cell = await run_cell(
                    deployment, name, policy, self.seconds, seed
                )
                self.cells_by_name[cell[:3]].append(cell)
                print(
                    f'{cell.shape:12} {policy:18} {name:16} '
                    f'p50 {cell.p50_ms:7.1f} p99 {cell.p99_ms:7.1f} '
                    f'in time {cell.in_time:.4f} extra {cell.extra:.4f} '
                    f'violations {cell.violations}',
                    flush=True,
                )

    async def run_policy(self, shape: Shape, policy: str) -> None:
        """Run all scenarios on a new fleet with a chooser."""
        settings = {'calls': {'chooser': policy}}
        async with Fleet(shape, self.seed, settings) as fleet:
            self.added_latencies.append(
                await measure_added_latency(fleet, policy)
            )
            await self.run_scenarios(fleet, policy)

    async def run_bound(self, shape: Shape) -> None:
        """Run all scenarios with the omniscient chooser."""
        async with InProcessServers(shape, self.seed) as servers:
            await self.run_scenarios(servers, BOUND)

    def merge(self) -> list[Cell]:
        """Return the merged cells, sorted by deployment and scenario."""
        merged = [merge_runs(cells) for cells in self.cells_by_name.values()]
        return sorted(
            merged,
            key=lambda cell: (
                cell.shape,
                self.scenarios.index(cell.scenario),
                cell.policy == BOUND,
                cell.policy,
            ),
        )


async def measure(
    measurement: Measurement, shapes: list[Shape], policies: tuple[str, ...]
) -> None:
    """Measure all deployments under all policies."""
    for shape in shapes:
        await measurement.run_bound(shape)
        for policy in policies:
            await measurement.run_policy(shape, policy)


@app.default
def main(
    *,
    deployment: list[str] | None = None,
    scenario: list[str] | None = None,
    policy: list[str] | None = None,
    seconds: float = 4,
    seed: int = 1,
    runs: int = 1,
    out: Path = Path('docs'),
) -> None:
    """Measure and write the page and the plot.

    Args:
        deployment: Names of deployments; tinajas and assiniboine by default.
        scenario: Names of scenarios; all by default.
        policy: Names of choosers; all registered ones by default.
        seconds: Duration of one run of a cell, in seconds.
        seed: Seed of arrivals and service times.
        runs: Number of runs of each cell.
        out: Directory of the page and the plot.
    """
    started_at = monotonic()
    load_average = getloadavg()[0]
    shapes = [SHAPES_BY_NAME[name] for name in deployment or ()]
    scenarios = tuple(scenario or SCENARIOS.names())
    measurement = Measurement(scenarios, seconds, seed, runs)
    policies = tuple(policy or CHOOSERS.names())
    run(measure(measurement, shapes or [TINAJAS, ASSINIBOINE], policies))
    cells = measurement.merge()
    conditions = Conditions(
        join(('python', '-m', 'bench.measure', *argv[1:])),
        seconds,
        runs,
        seed,
        f'{cpu_count()} cores with a load average of {load_average:.1f} '
        'at the start',
    )
    out.mkdir(parents=True, exist_ok=True)
    plot_p99(cells, out / PLOT)
    page = format_page(cells, measurement.added_latencies, conditions, PLOT)
    (out / PAGE).write_text(page, encoding='utf-8')
    print(f'{len(cells)} cells, {len(find_misses(cells))} misses')
    print(f'{monotonic() - started_at:.0f} s; page: {out / PAGE}')


if __name__ == '__main__':
    app()
