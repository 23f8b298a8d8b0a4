"""Steps of a request at which a fault can be put.

A step prepares the fleet so that the request stops there, tells when and
where it stopped, and lets it go on.
"""

from asyncio import FIRST_COMPLETED, create_task, gather, timeout, wait
from asyncio import Task as AsyncioTask
from collections.abc import Callable, Coroutine
from typing import Any, Final, NamedTuple
from uuid import uuid4

from aiohttp import ClientError
from uuid6 import uuid7

from bench.fault_fleet import DEADLINE_MS, SLOTS, FaultFleet
from bench.hosts import Host
from bench.load import Outcome
from bench.plans import Call
from bench.processes import poll_until
from bench.raw_call import RawCall
from bergamotshunt.peers.headers import BOOKING_KEY, REQUEST_ID
from bergamotshunt.peers.headers import DEADLINE_MS as DEADLINE
from bergamotshunt.registries import Registry
from standins.backend import BOOKING_ID
from standins.call_kinds import CALL_KINDS

REACH_S: Final = 4
CALL_LIMIT_S: Final = 4
ORDER_LIMIT_S: Final = 0.5
BALANCE: Final = CALL_KINDS[0]
REFUND: Final = CALL_KINDS[1]
LARGE_BYTES: Final = 100_000


class Flight:
    """The calls of one cell, on their way to a step."""

    def __init__(self, fleet: FaultFleet, name: str) -> None:
        """Create the flight without calls.

        Args:
            fleet: The fleet.
            name: Unique name, part of all request ids.
        """
        self.fleet = fleet
        self.name = name
        self.entry = fleet.hosts[0]
        self.victim = fleet.hosts[1]
        self.part = 'whole'
        self.query = 'service_ms=30'
        self.calls: list[RawCall] = []
        self.keys_by_booking: dict[str, str] = {}
        self.outcomes: list[Outcome] = []
        self.fillers: list[RawCall] = []
        self.filling: list[AsyncioTask[Outcome]] = []

    def mark(self) -> bytes:
        """Return the text by which a link knows the booking's request."""
        return f'{self.name}-booking'.encode()

    def create_call(
        self, kind: str, entry: Host, *, again: str = '', part: str = ''
    ) -> RawCall:
        """Create a call; ``kind`` is lookup, booking or filler."""
        booking = f'{self.name}-{kind}' if kind == 'booking' else ''
        made = REFUND if booking else BALANCE
        request_id = f'{self.name}-{kind}{again}'
        call = Call(0, made, made.path_prefix, request_id, booking, 0)
        headers = {
            REQUEST_ID: request_id,
            DEADLINE: str(DEADLINE_MS),
            'content-type': 'text/plain',
        }
        if booking:
            key = self.keys_by_booking.setdefault(booking, str(uuid7()))
            headers |= {BOOKING_KEY: key, BOOKING_ID: booking}
        query = '' if '-again' in again else f'?{self.query}'
        path = f'/{made.service}{made.path_prefix}/{uuid4().hex}{query}'
        port = entry.ports_by_kind['callers']
        return RawCall(port, path, call, headers, part or self.part)

    async def fill(self) -> None:
        """Take all slots with requests that wait until the release."""
        query, self.query = self.query, f'hold=fill-{self.name}'
        for number in range(2 * SLOTS):
            for host in self.fleet.hosts:
                again = f'-{host.name}-{number}'
                call = self.create_call('filler', host, again=again)
                self.fillers.append(call)
        self.query = query


Act = Callable[[Flight], Coroutine[Any, Any, None]]
Reach = Callable[[Flight], Coroutine[Any, Any, Host]]


class Step(NamedTuple):
    """A step of a request.

    Attributes:
        prepare: Makes the request stop at the step.
        reach: Waits until it stopped; returns the host that has it.
        runs: Whether the backend server has begun to run it.
    """

    prepare: Act
    reach: Reach
    runs: bool = False


STEPS: Final[Registry[Step]] = Registry('step of a request')


async def prepare_head(flight: Flight) -> None:
    """Send half of the head."""
    flight.part = 'half head'


async def prepare_body(flight: Flight) -> None:
    """Send the head and half of the body."""
    flight.part = 'half body'


async def reach_sent(flight: Flight) -> Host:
    """Wait until the callers sent their first part."""
    await gather(*(call.sent.wait() for call in flight.calls))
    return flight.victim


def prepare_gate(kind: str, direction: str, *, half: bool) -> Act:
    """Return what holds the booking on the links of a kind."""

    async def prepare(flight: Flight) -> None:
        for link in getattr(flight.fleet, f'{kind}_links').values():
            link.add_gate(direction, flight.mark(), half=half)

    return prepare


def reach_gate(kind: str) -> Reach:
    """Return what waits until a link of a kind holds the booking."""

    async def reach(flight: Flight) -> Host:
        links = getattr(flight.fleet, f'{kind}_links')
        tasks = {
            create_task(links[host.name].gates[0].held.wait()): host
            for host in flight.fleet.hosts
        }
        return await first_of(tasks)

    return reach


async def first_of(tasks: dict[Any, Host]) -> Host:
    """Return the host whose task ends first.

    Raises:
        TimeoutError: None ended in time.
    """
    done, pending = await wait(
        tasks, timeout=REACH_S, return_when=FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    if not done:
        raise TimeoutError('the request did not reach the step')
    return tasks[done.pop()]


def prepare_hold(query: str) -> Act:
    """Return what makes the server hold the request."""

    async def prepare(flight: Flight) -> None:
        flight.query = query.format(name=flight.name)

    return prepare


async def reach_hold(flight: Flight) -> Host:
    """Wait until a server holds a request."""

    async def wait_held(host: Host) -> None:
        url = f'{host.url("control")}/reached?name={flight.name}'
        async with flight.fleet.session.get(url) as response:
            await response.read()

    tasks = {create_task(wait_held(host)): host for host in flight.fleet.hosts}
    return await first_of(tasks)


async def prepare_queue(flight: Flight) -> None:
    """Fill all slots, so that the request has to wait."""
    await flight.fill()
    flight.filling = [
        create_task(call.run(CALL_LIMIT_S)) for call in flight.fillers
    ]

    async def check() -> bool:
        judgements = await flight.fleet.judge_all()
        running = sum(judgement['running'] for judgement in judgements)
        return running >= SLOTS * len(flight.fleet.hosts)

    await poll_until(check, REACH_S, 'the fillers did not reach the step')


async def reach_queue(flight: Flight) -> Host:
    """Wait until the calls are sent and a daemon tells of its queue."""
    await reach_sent(flight)
    return flight.victim


STEPS.register('received')(Step(prepare_head, reach_sent))
STEPS.register('classed')(Step(prepare_body, reach_sent))
STEPS.register('sent on')(
    Step(prepare_gate('peer', 'to', half=False), reach_gate('peer'))
)
STEPS.register('queued')(Step(prepare_queue, reach_queue))
STEPS.register('being written to the server')(
    Step(prepare_gate('server', 'to', half=True), reach_gate('server'))
)
STEPS.register('running')(
    Step(prepare_hold('service_ms=30&hold={name}'), reach_hold, runs=True)
)
STEPS.register('answer partly read')(
    Step(
        prepare_hold(
            f'service_ms=5&answer_bytes={LARGE_BYTES}&hold_answer={{name}}'
        ),
        reach_hold,
        runs=True,
    )
)
STEPS.register('answer being relayed')(
    Step(
        prepare_gate('peer', 'from', half=True),
        reach_gate('peer'),
        runs=True,
    )
)


async def release(flight: Flight) -> None:
    """Let the calls go on from their step."""
    for link in flight.fleet.links:
        link.open_gates()
    for call in (*flight.calls, *flight.fillers):
        call.released.set()
    await gather(*(release_host(flight, host) for host in flight.fleet.hosts))


async def release_host(flight: Flight, host: Host) -> None:
    """Let the requests that a server holds go on."""
    if not host.server.is_running:
        return
    for name in (flight.name, f'fill-{flight.name}'):
        try:
            async with timeout(ORDER_LIMIT_S):
                await flight.fleet.order(host, f'/release?name={name}')
        except (ClientError, TimeoutError, OSError):
            return
