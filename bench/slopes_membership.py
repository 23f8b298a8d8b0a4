"""Measure the cost of membership: memory, CPU, bytes, time to converge.

Three parts, about a minute in all::

    python -m bench.slopes_membership
    python -m bench.slopes_membership --sizes 25,50 --window-s 3

1. Fleets of real gossip tasks in one process, for the slopes by size.
2. One real gossip task with 7,200 members, whose peers are simulated by a
   second process at the design rates (a new era of each daemon every ten
   minutes, of which every third is gossiped, and the events of 1,016
   failures or restarts a day). CPU and bytes are those of the process of
   the task.
3. The anti-entropy sync and the memory of member tables of several sizes.
"""

from argparse import ArgumentParser
from asyncio import Runner, gather, get_running_loop, sleep
from collections.abc import Callable, Iterator
from itertools import count
from math import log10
from multiprocessing import get_context
from random import Random
from statistics import fmean, linear_regression
from time import monotonic, perf_counter, process_time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing
from typing import Any, NamedTuple

from msgspec.json import Decoder, encode
from rich.console import Console
from rich.table import Table
from uvloop import new_event_loop

from bench.gossip_daemons import IP, GossipDaemon
from bergamotshunt.decisions.membership import Membership, MembershipRules
from bergamotshunt.decisions.table_sync import (
    apply_sync_reply,
    create_sync_reply,
    create_sync_request,
)
from bergamotshunt.messages import ServerStateChanged
from bergamotshunt.peers.datagrams import Datagram, DatagramKind, Endpoint
from bergamotshunt.peers.gossip_codec import (
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from bergamotshunt.peers.members import (
    EraUpdate,
    Member,
    MemberEvent,
    ServerState,
)
from bergamotshunt.peers.sync_documents import (
    SyncRequest,
    decode_sync_reply,
    decode_sync_request,
)
from bergamotshunt.peers.udp import UdpPort
from bergamotshunt.settings import MembershipSettings

DESIGN_SIZE = 7200
IP_UDP_HEADER_BYTES = 28
# Bounds on the CPU share of a core and on the traffic in each direction of a
# daemon among ``DESIGN_SIZE`` members.
MAX_CPU_SHARE = 0.023
MAX_BYTES_PER_S = 4096
# A daemon starts an era every ten minutes; every third one is gossiped.
ERAS_PER_S = DESIGN_SIZE / 1800
# 1,016 failures or restarts a day, each with five events: a drain, a leave,
# a join and two changes of state.
EVENTS_PER_S = 1016 * 5 / 86_400
# Number of times that a daemon receives the same update by gossip.
ERA_UPDATE_COPIES = 9
EVENT_COPIES = 16
PROCESS_ID = 1_700_000_000_000


class FleetMeasurement(NamedTuple):
    """Results of a fleet of one size, per daemon.

    Attributes:
        size: Number of daemons.
        join_s: Time until all daemons know each other.
        cpu_share: CPU share of a core at rest.
        sent_bytes_per_s: Bytes sent at rest, with IP and UDP headers.
        drain_s: Times until all daemons know of a drain, one per drain.
    """

    size: int
    join_s: float
    cpu_share: float
    sent_bytes_per_s: float
    drain_s: list[float]


def create_members(size: int, port: int = 9) -> Iterator[Member]:
    """Yield member records with ids and zones as in a large fleet."""
    for number in range(size):
        yield Member(
            f'jar-ledger-{number:05d}',
            PROCESS_ID + number,
            f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}',
            7000,
            port,
            f'region-{number % 4}',
            f'zone-{number % 14}',
            f'service-{number % 1400}',
            ServerState.SERVING,
            process_id=PROCESS_ID + number,
        )


# Part 1: fleets of real tasks.


async def measure_fleet(size: int, window_s: float) -> FleetMeasurement:
    """Start a fleet, measure it idle, then drain three of its servers.

    Args:
        size: Number of daemons.
        window_s: Duration of the measurement at rest, in seconds.

    Raises:
        TimeoutError: The daemons did not agree within 60 s.
    """
    settings = MembershipSettings()
    daemons: list[GossipDaemon] = []
    names = {f'd{number:04d}' for number in range(size)}
    started_s = monotonic()
    for name in sorted(names):
        known_peers = (daemons[0].peer,) if daemons else ()
        daemon = GossipDaemon(name, settings, known_peers)
        await daemon.open()
        daemons.append(daemon)
    await wait_for_all(daemons, lambda daemon: daemon.has_live_members(names))
    join_s = monotonic() - started_s
    await wait_for_all(
        daemons, lambda daemon: not daemon.gossip.members.event_queue.by_id
    )
    before = count_sent_bytes(daemons)
    cpu_s = process_time()
    started_s = monotonic()
    await sleep(window_s)
    elapsed_s = monotonic() - started_s
    cpu_s = process_time() - cpu_s
    sent = count_sent_bytes(daemons) - before
    drains = [await measure_drain(daemons, number) for number in range(3)]
    await gather(*(daemon.close() for daemon in daemons))
    return FleetMeasurement(
        size,
        join_s,
        cpu_s / elapsed_s / size,
        sent / elapsed_s / size,
        drains,
    )


async def measure_drain(daemons: list[GossipDaemon], number: int) -> float:
    """Return the time until all daemons know of a drain, in seconds."""
    name = daemons[number].name
    started_s = monotonic()
    daemons[number].context.bus.publish(
        ServerStateChanged(ServerState.DRAINING)
    )
    await wait_for_all(
        daemons,
        lambda daemon: (
            daemon.gossip.members.table.by_id[name].server_state
            is ServerState.DRAINING
        ),
    )
    return monotonic() - started_s


async def wait_for_all(
    daemons: list[GossipDaemon],
    is_met: Callable[[GossipDaemon], bool],
) -> None:
    """Wait until a condition holds at all daemons (resolution 10 ms).

    Raises:
        TimeoutError: It did not hold within 60 s.
    """
    deadline_s = monotonic() + 60
    while not all(map(is_met, daemons)):
        if monotonic() > deadline_s:
            raise TimeoutError(
                'the condition did not hold at all '
                f'{len(daemons)} daemons within 60 s'
            )
        await sleep(0.01)


def count_sent_bytes(daemons: list[GossipDaemon]) -> int:
    """Return the bytes that all daemons sent, with IP and UDP headers."""
    return sum(
        daemon.gossip.udp.traffic.sent_bytes
        + daemon.gossip.udp.traffic.sent * IP_UDP_HEADER_BYTES
        for daemon in daemons
    )


# Part 2: one task with 7,200 members.


def run_peer_process(connection: Any) -> None:
    """Simulate the other 7,199 daemons (main function of the process).

    Args:
        connection: End of a pipe. It sends the own gossip port, receives
            that of the task, and stops on the next object it receives.
    """
    with Runner(loop_factory=new_event_loop) as runner:
        runner.run(respond_as_peers(connection))


class UpdateSource:
    """Gossip updates at the design rates, each received several times."""

    def __init__(self, members: list[Member], rng: Random) -> None:
        """Create a source without pending updates."""
        self.members = members
        self.rng = rng
        self.numbers = count(1)
        self.pending_eras = 0.0
        self.pending_events = 0.0
        self.eras: list[EraUpdate] = []
        self.events: list[MemberEvent] = []

    def add_second(self) -> None:
        """Add the updates of one second, in as many copies as arrive."""
        number = next(self.numbers)
        self.pending_eras += ERAS_PER_S
        self.pending_events += EVENTS_PER_S
        while self.pending_eras >= 1:
            self.pending_eras -= 1
            member = self.rng.choice(self.members)
            update = EraUpdate(member.daemon_id, member.process_id, number)
            self.eras += [update] * ERA_UPDATE_COPIES
        while self.pending_events >= 1:
            self.pending_events -= 1
            member = self.rng.choice(self.members)
            member = member._replace(incarnation=member.incarnation + number)
            event = MemberEvent(
                member.daemon_id, member.incarnation, member.status, '', member
            )
            self.events += [event] * EVENT_COPIES
        self.rng.shuffle(self.eras)
        self.rng.shuffle(self.events)

    def take_updates(self) -> dict[str, Any]:
        """Remove the updates of one datagram; three are sent per second."""
        era_count = -(-len(self.eras) // 3)
        taken = self.eras[:era_count]
        self.eras = self.eras[era_count:]
        event = self.events[:1]
        self.events = self.events[1:]
        return {'eras': tuple(taken), 'events': tuple(event)}


async def respond_as_peers(connection: Any) -> None:
    """Respond to probes and send probes, with updates at design rates."""
    members = list(create_members(DESIGN_SIZE))
    rng = Random(1)
    update_source = UpdateSource(members[1:], rng)
    take_updates = update_source.take_updates

    def handle_datagram(content: bytes, source: Endpoint) -> None:
        datagram = decode_datagram(content)
        if datagram is None or datagram.kind is not DatagramKind.PING:
            return
        number = int(datagram.target.rpartition('-')[2])
        response = Datagram(
            DatagramKind.ACK,
            datagram.target,
            PROCESS_ID + number,
            datagram.sequence,
            datagram.target,
            revision=17,
            age_ms=900,
            **take_updates(),
        )
        port.send(encode_datagram(response), source)

    port = UdpPort(handle_datagram, IP, 0)
    await port.open()
    connection.send(port.port)
    endpoint = (
        IP,
        await get_running_loop().run_in_executor(None, connection.recv),
    )
    stop = get_running_loop().run_in_executor(None, connection.recv)
    while not stop.done():
        sender = rng.choice(members[1:])
        update_source.add_second()
        for kind in (DatagramKind.PING, DatagramKind.NEWS):
            datagram = Datagram(
                kind,
                sender.daemon_id,
                sender.process_id,
                sequence=7,
                target=members[0].daemon_id,
                revision=17,
                age_ms=900,
                **take_updates(),
            )
            port.send(encode_datagram(datagram), endpoint)
        await sleep(1)
    port.close()


async def measure_task(window_s: float) -> dict[str, float]:
    """Run one gossip task among 7,200 members.

    Args:
        window_s: Duration of the measurement in seconds.

    Returns:
        The results by name; ``suspected`` is a number of members.
    """
    context = get_context('spawn')
    own_connection, peer_connection = context.Pipe()
    peers = context.Process(target=run_peer_process, args=(peer_connection,))
    peers.start()
    try:
        return await measure_with_peers(own_connection, window_s)
    finally:
        own_connection.send(None)
        peers.join(10)


async def measure_with_peers(
    connection: Any, window_s: float
) -> dict[str, float]:
    """Measure the task while the other process simulates its peers."""
    loop = get_running_loop()
    port = await loop.run_in_executor(None, connection.recv)
    own, *peer_members = create_members(DESIGN_SIZE, port)
    daemon = GossipDaemon(own.daemon_id, MembershipSettings())
    gossip = daemon.gossip
    for member in peer_members:
        gossip.members.store_record(member._replace(ip=IP), gossip.now_ms())
    gossip.members.event_queue.by_id.clear()
    gossip.members.has_synced = True
    await daemon.open()
    connection.send(gossip.udp.port)
    # The first seconds after the start are not measured.
    await sleep(3)
    before = gossip.udp.traffic
    cpu_s = process_time()
    started_s = monotonic()
    await sleep(window_s)
    elapsed_s = monotonic() - started_s
    cpu_s = process_time() - cpu_s
    after = gossip.udp.traffic
    suspected = len(gossip.members.suspicions)
    gossip.members.is_leaving = True
    await daemon.crash()
    sent = after.sent - before.sent
    received = after.received - before.received
    sent_bytes = after.sent_bytes - before.sent_bytes
    received_bytes = after.received_bytes - before.received_bytes
    return {
        'cpu_share': cpu_s / elapsed_s,
        'sent_bytes_per_s': (sent_bytes + sent * IP_UDP_HEADER_BYTES)
        / elapsed_s,
        'received_bytes_per_s': (
            received_bytes + received * IP_UDP_HEADER_BYTES
        )
        / elapsed_s,
        'sent_per_s': sent / elapsed_s,
        'received_per_s': received / elapsed_s,
        'suspected': suspected,
    }


# Part 3: tables.


def measure_table(size: int) -> dict[str, float]:
    """Measure the memory of a table and the sync of two equal ones."""
    own, *peer_members = create_members(size)
    body = encode(peer_members)
    decoder = Decoder(list[Member])
    start_tracing()
    members = create_membership(own, decoder.decode(body))
    table_bytes, _peak = get_traced_memory()
    stop_tracing()
    peer = create_membership(own, decoder.decode(body))
    started_s = perf_counter()
    request = encode(create_sync_request(members))
    reply = encode(create_sync_reply(peer, decode_sync_request(request), 0))
    apply_sync_reply(members, decode_sync_reply(reply), 0)
    exchange_s = perf_counter() - started_s
    started_s = perf_counter()
    dict(members.table.by_id)
    copy_s = perf_counter() - started_s
    return {
        'size': size,
        'bytes_per_member': table_bytes / size,
        'exchange_bytes': len(request) + len(reply),
        'exchange_ms': exchange_s * 1000,
        'copy_ms': copy_s * 1000,
        **measure_join(own, peer),
    }


def measure_join(own: Member, peer: Membership) -> dict[str, float]:
    """Measure the initial sync of a daemon that joins."""
    joining = create_membership(own._replace(daemon_id='new'), [])
    total_bytes = 0
    bucket = 0
    response_s = 0.0
    started_s = perf_counter()
    while bucket < len(joining.table.digests):
        body = encode(create_sync_request(joining, bucket))
        response_started_s = perf_counter()
        request: SyncRequest = decode_sync_request(body)
        response = encode(create_sync_reply(peer, request, 0))
        response_s += perf_counter() - response_started_s
        reply = decode_sync_reply(response)
        apply_sync_reply(joining, reply, 0, is_joining=True)
        bucket = reply['next_bucket']
        total_bytes += len(body) + len(response)
    elapsed_s = perf_counter() - started_s
    return {
        'join_bytes': total_bytes,
        'join_ms': elapsed_s * 1000,
        'of_it_answer_ms': response_s * 1000,
    }


def create_membership(own: Member, records: list[Member]) -> Membership:
    """Return a membership with records as after a sync."""
    members = Membership(own, MembershipRules(), encoded_size)
    for record in records:
        members.store_record(record, 0)
    members.event_queue.by_id.clear()
    members.joined_ids.clear()
    members.table.pop_changed_ids()
    return members


# Tables of results.


def print_table(
    title: str, columns: tuple[str, ...], rows: list[tuple]
) -> None:
    """Print a table of results."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column, justify='right')
    for row in rows:
        table.add_row(*map(format_table_cell, row))
    Console(width=150).print(table)


def format_table_cell(cell: Any) -> str:
    """Format a number with three significant digits."""
    if isinstance(cell, float):
        return f'{cell:.0f}' if abs(cell) >= 100 else f'{cell:.3g}'
    return str(cell)


def print_fleets(fleets: list[FleetMeasurement]) -> None:
    """Print the results, their slopes by size and values at 7,200."""
    columns = (
        'daemons',
        'join s',
        'CPU %/daemon',
        'bytes/s sent/daemon',
        'drain s (mean)',
        'drain s (max)',
    )
    rows: list[tuple] = [
        (
            fleet.size,
            fleet.join_s,
            fleet.cpu_share * 100,
            fleet.sent_bytes_per_s,
            fmean(fleet.drain_s),
            max(fleet.drain_s),
        )
        for fleet in fleets
    ]
    if len(fleets) > 1:
        log_sizes = [log10(fleet.size) for fleet in fleets]
        cpu = linear_regression(log_sizes, [row[2] for row in rows])
        sent = linear_regression(log_sizes, [row[3] for row in rows])
        drain = linear_regression(log_sizes, [row[5] for row in rows])
        rows.append(
            (
                'slope',
                '',
                f'{cpu.slope:.2g} per log10',
                f'{sent.slope:.3g} per log10',
                '',
                f'{drain.slope:.2g} per log10',
            )
        )
        rows.append(
            (
                f'{DESIGN_SIZE} (extrapolated)',
                '',
                max(0, cpu.intercept + cpu.slope * log10(DESIGN_SIZE)),
                sent.intercept + sent.slope * log10(DESIGN_SIZE),
                '',
                drain.intercept + drain.slope * log10(DESIGN_SIZE),
            )
        )
    print_table('1. Fleets of gossip tasks, idle, then drains', columns, rows)


def main() -> None:
    """Run all three parts and print the results."""
    parser = ArgumentParser(description='Cost of membership by fleet size')
    parser.add_argument('--sizes', default='20,40,80,160')
    parser.add_argument('--window-s', type=float, default=5)
    arguments = parser.parse_args()
    sizes = [int(text) for text in arguments.sizes.split(',')]
    fleets = []
    for size in sizes:
        with Runner(loop_factory=new_event_loop) as runner:
            fleets.append(
                runner.run(measure_fleet(size, arguments.window_s)),
            )
    print_fleets(fleets)
    with Runner(loop_factory=new_event_loop) as runner:
        task = runner.run(measure_task(arguments.window_s * 2))
    print_table(
        f'2. One gossip task among {DESIGN_SIZE} members, '
        'updates at design rates',
        ('figure', 'measured', 'bound'),
        [
            ('CPU % of a core', task['cpu_share'] * 100, MAX_CPU_SHARE * 100),
            ('bytes/s sent', task['sent_bytes_per_s'], MAX_BYTES_PER_S),
            ('bytes/s received', task['received_bytes_per_s'], MAX_BYTES_PER_S),
            ('datagrams/s sent', task['sent_per_s'], ''),
            ('datagrams/s received', task['received_per_s'], ''),
            ('members suspected', task['suspected'], ''),
        ],
    )
    tables = [measure_table(size) for size in (900, 1800, 3600, DESIGN_SIZE)]
    print_table(
        '3. Tables: memory, and exchanges over HTTP',
        tuple(tables[0]),
        [tuple(table.values()) for table in tables],
    )


if __name__ == '__main__':
    main()
