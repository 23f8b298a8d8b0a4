"""Measure the cost of targets by number of daemons.

Run it with ``python -m bench.slopes_targets``.

Runs the targets tasks of all daemons, with real peers ports, and the platform
stand-in in one process. Gossip is simulated in the process, with one datagram
per daemon and second. A run takes about a minute. All times include those of
the other daemons on the same core.
"""

from argparse import ArgumentParser
from asyncio import gather, run, sleep
from collections import Counter
from math import ceil, log
from statistics import median
from time import monotonic, process_time
from typing import Any, Final, NamedTuple

from rich.console import Console
from rich.table import Table

from bergamotshunt.messages import SubmitChange
from bergamotshunt.operators.targets import ServiceTargets, Target
from bergamotshunt.operators.targets_codec import encode_service
from bergamotshunt.operators.targets_messages import PulledTargets
from bergamotshunt.operators.targets_peer_api import (
    TargetsPeerClient,
    decode_pull_response,
    encode_pull_response,
)
from bergamotshunt.plugins.reader import ReaderTask
from bergamotshunt.store.store_codec import encode_bytes
from bergamotshunt.tests.targets_fleet import Fleet

DESIGN_DAEMONS: Final = 7200
DESIGN_ZONES: Final = 14
DESIGN_SERVICES: Final = 1400
DESIGN_CHANGES_PER_DAY: Final = 6300
S_PER_DAY: Final = 86_400
GOSSIP_INTERVAL_S: Final = 1.0
SETTLE_S: Final = 3.0


class TargetsFleetMeasurement(NamedTuple):
    """Results of a fleet of one size.

    Attributes:
        daemons: Number of daemons.
        readers: Number of daemons that read from the platform.
        propagation_ms: Time from the submission until the change is in force
            everywhere, in ms: median and maximum.
        calls_per_change: Platform calls caused by a change.
        calls_per_minute: Platform calls per minute at rest.
        messages: Pushes and pulls sent by a daemon for a change.
        bytes: Bytes of bodies sent and received by a daemon for a change.
        cpu_ms: CPU time in ms of a daemon for a change, above that at rest.
        idle_cpu_share: Share of a core that a daemon takes at rest.
    """

    daemons: int
    readers: int
    propagation_ms: tuple[float, float]
    calls_per_change: float
    calls_per_minute: float
    messages: float
    bytes: float
    cpu_ms: float
    idle_cpu_share: float


class PeerTraffic:
    """Counts the messages between peers and the bytes of their bodies.

    It replaces the method with which all targets tasks of this process send.
    """

    def __init__(self) -> None:
        self.counts = Counter[str]()
        original_send = TargetsPeerClient._send

        async def send_and_count(
            peers: TargetsPeerClient, peer: str, path: str, body: bytes
        ) -> Any:
            outcome = await original_send(peers, peer, path, body)
            self.counts['messages'] += 1
            self.counts['bytes'] += len(body) + len(outcome.value_or(b''))
            return outcome

        setattr(TargetsPeerClient, '_send', send_and_count)


def create_service_targets(service: str, weight: float) -> ServiceTargets:
    """Return targets of a service with four classes of requests."""
    return ServiceTargets(
        service,
        tuple(
            Target(f'class-{number}', ('GET',), f'/{number}', weight=weight)
            for number in range(4)
        ),
    )


def count_calls(fleet: Fleet) -> int:
    """Return the number of platform calls so far."""
    return sum(fleet.stand_in.calls.values())


def count_readers(fleet: Fleet) -> int:
    """Return the number of elected readers.

    The stand-in counts more watches for up to a minute: a daemon that has
    just started knows no other member and elects itself.
    """
    tasks = [node.kernel.tasks_by_name['reader'] for node in fleet.nodes]
    return sum(
        task.elected.is_set() for task in tasks if isinstance(task, ReaderTask)
    )


async def measure_change(fleet: Fleet, number: int) -> float:
    """Submit a change; return the time until it is in force, in ms."""
    entry_node = fleet.rng.choice(fleet.nodes)
    message = SubmitChange(
        'jar-ledger',
        create_service_targets('jar-ledger', float(number + 1)),
        number,
        'ana',
        'measurement',
        f's{number}',
    )
    started_s = monotonic()
    change = (await entry_node.bus.ask(message, 30)).unwrap()
    await gather(
        *(node.wait_for_revision(change.revision) for node in fleet.nodes)
    )
    return (monotonic() - started_s) * 1000


async def measure(
    daemons: int, changes: int, idle_s: float, traffic: PeerTraffic
) -> TargetsFleetMeasurement:
    """Measure a fleet of one size, at rest and during changes.

    Args:
        daemons: Number of daemons.
        changes: Number of changes.
        idle_s: Duration of the measurement at rest, in seconds.
        traffic: Counter of the messages between peers.
    """
    async with Fleet(daemons, gossip_interval_s=GOSSIP_INTERVAL_S) as fleet:
        await sleep(SETTLE_S)
        readers = count_readers(fleet)
        calls, cpu_s, started_s = (
            count_calls(fleet),
            process_time(),
            monotonic(),
        )
        await sleep(idle_s)
        elapsed_s = monotonic() - started_s
        idle_calls_per_s = (count_calls(fleet) - calls) / elapsed_s
        idle_cpu_share = (process_time() - cpu_s) / elapsed_s
        traffic.counts.clear()
        calls, cpu_s, started_s = (
            count_calls(fleet),
            process_time(),
            monotonic(),
        )
        propagation_times_ms = []
        for number in range(changes):
            propagation_times_ms.append(await measure_change(fleet, number))
            await sleep(0.2)
        elapsed_s = monotonic() - started_s
        change_calls = count_calls(fleet) - calls - idle_calls_per_s * elapsed_s
        cpu_used_s = process_time() - cpu_s - idle_cpu_share * elapsed_s
    daemon_changes = daemons * changes
    # Bytes count twice, at the daemon that sends them and at the one that
    # receives them.
    return TargetsFleetMeasurement(
        daemons,
        readers,
        (median(propagation_times_ms), max(propagation_times_ms)),
        change_calls / changes,
        idle_calls_per_s * 60,
        traffic.counts['messages'] / daemon_changes,
        2 * traffic.counts['bytes'] / daemon_changes,
        cpu_used_s * 1000 / daemon_changes,
        idle_cpu_share / daemons,
    )


def measure_snapshot() -> list[str]:
    """Measure a snapshot of the services of the design size."""
    services = tuple(
        create_service_targets(f'service-{number}', 1.0)._replace(
            revision=number + 1
        )
        for number in range(DESIGN_SERVICES)
    )
    pulled = PulledTargets(True, DESIGN_SERVICES, 0, snapshot=services)
    started_s = process_time()
    content = encode_pull_response(pulled)
    encoded_s = process_time()
    assert decode_pull_response(content) == pulled
    decoded_s = process_time()
    stored_bytes = sum(
        len(encode_bytes(encode_service(service))) for service in services
    )
    return [
        f'snapshot of {DESIGN_SERVICES} services with 4 targets each: '
        f'{len(content) / 1e6:.2f} MB from a peer '
        f'(encoded in {(encoded_s - started_s) * 1000:.0f} ms, '
        f'decoded in {(decoded_s - encoded_s) * 1000:.0f} ms of a core), '
        f'{stored_bytes / 1e6:.2f} MB of values from the platform',
    ]


def extrapolate(rows: list[TargetsFleetMeasurement]) -> list[str]:
    """Extrapolate the results to the design size."""
    largest = rows[-1]
    # Two readers per zone, as by default.
    readers = 2 * DESIGN_ZONES
    idle_calls_per_reader = largest.calls_per_minute / largest.readers
    smallest = rows[0]
    calls_per_reader = (
        largest.calls_per_change - smallest.calls_per_change
    ) / (largest.readers - smallest.readers or 1)
    calls_per_change = largest.calls_per_change + calls_per_reader * (
        readers - largest.readers
    )
    changes_per_s = DESIGN_CHANGES_PER_DAY / S_PER_DAY
    # A daemon pushes a change to four peers by default, so that each round
    # reaches about four times as many daemons.
    rounds = ceil(log(DESIGN_DAEMONS, 4)) - ceil(log(largest.daemons, 4))
    calls_per_s = (
        idle_calls_per_reader * readers / 60 + calls_per_change * changes_per_s
    )
    return [
        f'at {DESIGN_DAEMONS} daemons in {DESIGN_ZONES} zones '
        f'({readers} readers, {DESIGN_CHANGES_PER_DAY} changes a day):',
        f'  platform: {idle_calls_per_reader * readers:.0f} calls a minute '
        f'at rest, {calls_per_change:.0f} calls a change, '
        f'{calls_per_s:.1f} calls a second',
        f'  daemon: {largest.messages * changes_per_s:.2f} messages and '
        f'{largest.bytes * changes_per_s:.0f} bytes of bodies a second, '
        f'{largest.cpu_ms * changes_per_s / 10:.3f} % of a core for changes, '
        f'{largest.idle_cpu_share * 100:.2f} % at rest (here, gossip '
        'simulated by the measurement)',
        f'  spread: {rounds} more rounds of pushes than in the largest fleet '
        'measured; a push takes a few ms on a host of its own, and gossip of '
        'revisions reaches the rest within about '
        f'{ceil(log(DESIGN_DAEMONS, 2))} s at worst',
    ]


async def measure_all(sizes: list[int], changes: int, idle_s: float) -> None:
    """Measure all sizes and print the tables."""
    traffic = PeerTraffic()
    rows = [
        await measure(daemons, changes, idle_s, traffic) for daemons in sizes
    ]
    table = Table(
        'daemons',
        'readers',
        'in force ms (median/max)',
        'calls/change',
        'calls/min at rest',
        'messages /change /daemon',
        'bytes /change /daemon',
        'CPU ms/change/daemon',
        'CPU % at rest/daemon',
        title=f'targets, {changes} changes each',
    )
    for row in rows:
        table.add_row(
            str(row.daemons),
            str(row.readers),
            f'{row.propagation_ms[0]:.0f}/{row.propagation_ms[1]:.0f}',
            f'{row.calls_per_change:.1f}',
            f'{row.calls_per_minute:.0f}',
            f'{row.messages:.2f}',
            f'{row.bytes:.0f}',
            f'{row.cpu_ms:.2f}',
            f'{row.idle_cpu_share * 100:.2f}',
        )
    console = Console(width=150)
    console.print(table)
    for line in (*measure_snapshot(), *extrapolate(rows)):
        console.print(line, highlight=False)


def main() -> None:
    """Run the measurement."""
    parser = ArgumentParser(prog='python -m bench.slopes_targets')
    parser.add_argument('--sizes', default='5,10,20,40')
    parser.add_argument('--changes', type=int, default=10)
    parser.add_argument('--rest-s', type=float, default=6)
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(',')]
    run(measure_all(sizes, options.changes, options.rest_s))


if __name__ == '__main__':
    main()
