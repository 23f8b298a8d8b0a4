"""Cost of the targets by number of daemons: ``python -m bench.slopes_targets``.

Runs keepers with real peers ports and the platform stand-in in one process;
gossip is carried in the process, one datagram a daemon and second. Ends after
about a minute. All times include the other keepers on the same core.
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

DAEMONS_AT_SIZE: Final = 7200
ZONES_AT_SIZE: Final = 14
SERVICES_AT_SIZE: Final = 1400
CHANGES_A_DAY: Final = 6300
DAY_S: Final = 86_400
GOSSIP_S: Final = 1.0
SETTLE_S: Final = 3.0


class Row(NamedTuple):
    """Figures of one fleet.

    Attributes:
        daemons: Number of daemons.
        readers: Number of readers of the platform.
        spread_ms: Time from the submission until the change is in force
            everywhere, median and largest.
        calls_per_change: Platform calls caused by a change.
        calls_per_minute: Platform calls at rest.
        messages: Pushes and pulls sent by a daemon for a change.
        bytes: Bodies sent and received by a daemon for a change.
        cpu_ms: Processor time of a daemon for a change, above rest.
        rest_cpu: Share of a core that a daemon takes at rest.
    """

    daemons: int
    readers: int
    spread_ms: tuple[float, float]
    calls_per_change: float
    calls_per_minute: float
    messages: float
    bytes: float
    cpu_ms: float
    rest_cpu: float


class Traffic:
    """Counts the messages between peers and the bytes of their bodies."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        original = TargetsPeerClient._send

        async def counted(
            peers: TargetsPeerClient, peer: str, path: str, body: bytes
        ) -> Any:
            outcome = await original(peers, peer, path, body)
            self.counts['messages'] += 1
            self.counts['bytes'] += len(body) + len(outcome.value_or(b''))
            return outcome

        setattr(TargetsPeerClient, '_send', counted)


def targets_of(service: str, weight: float) -> ServiceTargets:
    """Build the targets of a service with four classes."""
    return ServiceTargets(
        service,
        tuple(
            Target(f'class-{number}', ('GET',), f'/{number}', weight=weight)
            for number in range(4)
        ),
    )


def count_calls(fleet: Fleet) -> int:
    """Return the platform calls so far."""
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


async def change_once(fleet: Fleet, number: int) -> float:
    """Submit a change; return the ms until it is in force everywhere."""
    node = fleet.rng.choice(fleet.nodes)
    message = SubmitChange(
        'jar-ledger',
        targets_of('jar-ledger', float(number + 1)),
        number,
        'ana',
        'measurement',
        f's{number}',
    )
    started_s = monotonic()
    change = (await node.bus.ask(message, 30)).unwrap()
    await gather(
        *(one.wait_for_revision(change.revision) for one in fleet.nodes)
    )
    return (monotonic() - started_s) * 1000


async def measure(
    daemons: int, changes: int, rest_s: float, traffic: Traffic
) -> Row:
    """Measure one fleet."""
    async with Fleet(daemons, gossip_s=GOSSIP_S) as fleet:
        await sleep(SETTLE_S)
        readers = count_readers(fleet)
        calls, cpu_s, began_s = count_calls(fleet), process_time(), monotonic()
        await sleep(rest_s)
        lasted_s = monotonic() - began_s
        rest_calls_per_s = (count_calls(fleet) - calls) / lasted_s
        rest_cpu = (process_time() - cpu_s) / lasted_s
        traffic.counts.clear()
        calls, cpu_s, began_s = count_calls(fleet), process_time(), monotonic()
        spreads = []
        for number in range(changes):
            spreads.append(await change_once(fleet, number))
            await sleep(0.2)
        lasted_s = monotonic() - began_s
        calls_made = count_calls(fleet) - calls - rest_calls_per_s * lasted_s
        cpu_used_s = process_time() - cpu_s - rest_cpu * lasted_s
    shared = daemons * changes
    return Row(
        daemons,
        readers,
        (median(spreads), max(spreads)),
        calls_made / changes,
        rest_calls_per_s * 60,
        traffic.counts['messages'] / shared,
        2 * traffic.counts['bytes'] / shared,
        cpu_used_s * 1000 / shared,
        rest_cpu / daemons,
    )


def measure_snapshot() -> list[str]:
    """Measure a snapshot of all services at the size of the design."""
    services = tuple(
        targets_of(f'service-{number}', 1.0)._replace(revision=number + 1)
        for number in range(SERVICES_AT_SIZE)
    )
    pulled = PulledTargets(True, SERVICES_AT_SIZE, 0, snapshot=services)
    began_s = process_time()
    content = encode_pull_response(pulled)
    encoded_s = process_time()
    assert decode_pull_response(content) == pulled
    decoded_s = process_time()
    stored = sum(
        len(encode_bytes(encode_service(service))) for service in services
    )
    return [
        f'snapshot of {SERVICES_AT_SIZE} services with 4 targets each: '
        f'{len(content) / 1e6:.2f} MB from a peer '
        f'(encoded in {(encoded_s - began_s) * 1000:.0f} ms, '
        f'decoded in {(decoded_s - encoded_s) * 1000:.0f} ms of a core), '
        f'{stored / 1e6:.2f} MB of values from the platform',
    ]


def extrapolate(rows: list[Row]) -> list[str]:
    """Work out the figures at the size of the design."""
    last = rows[-1]
    readers = 2 * ZONES_AT_SIZE
    per_reader_min = last.calls_per_minute / last.readers
    first = rows[0]
    added = (last.calls_per_change - first.calls_per_change) / (
        last.readers - first.readers or 1
    )
    per_change = last.calls_per_change + added * (readers - last.readers)
    changes_per_s = CHANGES_A_DAY / DAY_S
    rounds = ceil(log(DAEMONS_AT_SIZE, 4)) - ceil(log(last.daemons, 4))
    calls_per_s = per_reader_min * readers / 60 + per_change * changes_per_s
    return [
        f'at {DAEMONS_AT_SIZE} daemons in {ZONES_AT_SIZE} zones '
        f'({readers} readers, {CHANGES_A_DAY} changes a day):',
        f'  platform: {per_reader_min * readers:.0f} calls a minute at rest, '
        f'{per_change:.0f} calls a change, {calls_per_s:.1f} calls a second',
        f'  daemon: {last.messages * changes_per_s:.2f} messages and '
        f'{last.bytes * changes_per_s:.0f} bytes of bodies a second, '
        f'{last.cpu_ms * changes_per_s / 10:.3f} % of a core for changes, '
        f'{last.rest_cpu * 100:.2f} % at rest (here, gossip carried by the '
        'measurement)',
        f'  spread: {rounds} more rounds of pushes than in the largest fleet '
        'measured; a push takes a few ms on a host of its own, and gossip of '
        'revisions reaches the rest within about '
        f'{ceil(log(DAEMONS_AT_SIZE, 2))} s at worst',
    ]


async def measure_all(sizes: list[int], changes: int, rest_s: float) -> None:
    """Measure all sizes and print the tables."""
    traffic = Traffic()
    rows = [
        await measure(daemons, changes, rest_s, traffic) for daemons in sizes
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
            f'{row.spread_ms[0]:.0f}/{row.spread_ms[1]:.0f}',
            f'{row.calls_per_change:.1f}',
            f'{row.calls_per_minute:.0f}',
            f'{row.messages:.2f}',
            f'{row.bytes:.0f}',
            f'{row.cpu_ms:.2f}',
            f'{row.rest_cpu * 100:.2f}',
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
