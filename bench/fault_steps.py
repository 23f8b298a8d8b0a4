"""Steps of a request at which a fault can be injected.

A ``prepare_*`` function sets up the fleet or the callers so that the request
stops at the step. A ``reach_*`` function waits until it has stopped there and
returns the host at which the fault is injected. ``release`` lets the request
continue.
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
from bench.load import ObservedOutcome
from bench.plans import Call
from bench.processes import poll_until
from bench.raw_call import RawCall
from bergamotshunt.peers.headers import BOOKING_KEY, REQUEST_ID
from bergamotshunt.peers.headers import DEADLINE_MS as DEADLINE_HEADER
from bergamotshunt.registries import Registry
from standins.backend import BOOKING_ID
from standins.call_kinds import CALL_KINDS

STEP_TIMEOUT_S: Final = 4
CALL_TIMEOUT_S: Final = 4
CONTROL_TIMEOUT_S: Final = 0.5
BALANCE_KIND: Final = CALL_KINDS[0]
REFUND_KIND: Final = CALL_KINDS[1]
# Size of a response body that a daemon reads in several pieces.
LARGE_BODY_BYTES: Final = 100_000


class RequestRun:
    """Calls of one cell, which are held at a step.

    Attributes:
        entry: Host of the daemon that the calls are sent to.
        faulty_host: Host at which the fault is injected.
        first_part: What the callers send before the release; see ``RawCall``.
        query: Query string of the calls, for the backend server stand-in.
        calls: The calls that are held.
        keys_by_booking: Booking keys, which repeats of a booking share.
        outcomes: Outcomes of the calls, the slot fillers and the repeats.
        slot_fillers: Calls that occupy the slots of the servers.
        filler_tasks: Tasks that send the slot fillers.
    """

    def __init__(self, fleet: FaultFleet, name: str) -> None:
        """Create the run without calls.

        Args:
            fleet: The fleet.
            name: Unique name of the cell, part of all request ids.
        """
        self.fleet = fleet
        self.name = name
        self.entry = fleet.hosts[0]
        self.faulty_host = fleet.hosts[1]
        self.first_part = 'whole'
        self.query = 'service_ms=30'
        self.calls: list[RawCall] = []
        self.keys_by_booking: dict[str, str] = {}
        self.outcomes: list[ObservedOutcome] = []
        self.slot_fillers: list[RawCall] = []
        self.filler_tasks: list[AsyncioTask[ObservedOutcome]] = []

    def booking_marker(self) -> bytes:
        """Return the bytes by which a link recognizes the booking."""
        return f'{self.name}-booking'.encode()

    def create_call(
        self, kind: str, entry: Host, *, suffix: str = '', first_part: str = ''
    ) -> RawCall:
        """Create a call.

        Args:
            kind: ``lookup``, ``booking`` or ``filler``.
            entry: Host whose daemon gets the call.
            suffix: End of the request id; starts with ``-again`` for a
                repeat of the booking.
            first_part: What is sent before the release; by default that of
                the run.
        """
        booking = f'{self.name}-{kind}' if kind == 'booking' else ''
        call_kind = REFUND_KIND if booking else BALANCE_KIND
        request_id = f'{self.name}-{kind}{suffix}'
        call = Call(0, call_kind, call_kind.path_prefix, request_id, booking, 0)
        headers = {
            REQUEST_ID: request_id,
            DEADLINE_HEADER: str(DEADLINE_MS),
            'content-type': 'text/plain',
        }
        if booking:
            key = self.keys_by_booking.setdefault(booking, str(uuid7()))
            headers |= {BOOKING_KEY: key, BOOKING_ID: booking}
        query = '' if '-again' in suffix else f'?{self.query}'
        path = (
            f'/{call_kind.service}{call_kind.path_prefix}/{uuid4().hex}{query}'
        )
        port = entry.ports_by_kind['callers']
        return RawCall(port, path, call, headers, first_part or self.first_part)

    async def fill_slots(self) -> None:
        """Create requests that occupy all slots until the release."""
        query, self.query = self.query, f'hold=fill-{self.name}'
        for number in range(2 * SLOTS):
            for host in self.fleet.hosts:
                suffix = f'-{host.name}-{number}'
                call = self.create_call('filler', host, suffix=suffix)
                self.slot_fillers.append(call)
        self.query = query


PrepareStep = Callable[[RequestRun], Coroutine[Any, Any, None]]
ReachStep = Callable[[RequestRun], Coroutine[Any, Any, Host]]


class Step(NamedTuple):
    """A step of a request.

    Attributes:
        prepare: Sets up the fleet so that the request stops at the step.
        reach: Waits until it has stopped and returns the host at which the
            fault is injected.
        runs: Whether a backend server has started to run it.
    """

    prepare: PrepareStep
    reach: ReachStep
    runs: bool = False


STEPS: Final[Registry[Step]] = Registry('step of a request')


async def prepare_head(request_run: RequestRun) -> None:
    """Have the callers send half of the head first."""
    request_run.first_part = 'half head'


async def prepare_body(request_run: RequestRun) -> None:
    """Have the callers send the head and half of the body first."""
    request_run.first_part = 'half body'


async def reach_sent(request_run: RequestRun) -> Host:
    """Wait until the callers have sent the first part."""
    await gather(*(call.sent.wait() for call in request_run.calls))
    return request_run.faulty_host


def prepare_gate(kind: str, direction: str, *, half: bool) -> PrepareStep:
    """Return a preparation that holds the booking on links of a kind.

    Args:
        kind: Kind of link: ``peer``, ``server`` or ``platform``.
        direction: ``to`` the target of the link, or ``from`` it.
        half: Whether the first half of the held chunk passes at once.
    """

    async def prepare(request_run: RequestRun) -> None:
        for link in getattr(request_run.fleet, f'{kind}_links').values():
            link.add_gate(direction, request_run.booking_marker(), half=half)

    return prepare


def reach_gate(kind: str) -> ReachStep:
    """Return a function that waits until a link of a kind holds the booking.

    The function raises TimeoutError if none does within ``STEP_TIMEOUT_S``.
    """

    async def reach(request_run: RequestRun) -> Host:
        links = getattr(request_run.fleet, f'{kind}_links')
        hosts_by_task = {
            create_task(links[host.name].gates[0].held.wait()): host
            for host in request_run.fleet.hosts
        }
        return await wait_first(hosts_by_task)

    return reach


async def wait_first(hosts_by_task: dict[Any, Host]) -> Host:
    """Return the host of the task that finishes first.

    Raises:
        TimeoutError: No task finished within ``STEP_TIMEOUT_S``.
    """
    done, pending = await wait(
        hosts_by_task, timeout=STEP_TIMEOUT_S, return_when=FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    if not done:
        raise TimeoutError(
            f'the request did not reach the step in {STEP_TIMEOUT_S} s'
        )
    return hosts_by_task[done.pop()]


def prepare_server_hold(query: str) -> PrepareStep:
    """Return a preparation that makes the server hold the request.

    Args:
        query: Query string that names the hold point; ``{name}`` stands
            for the name of the cell.
    """

    async def prepare(request_run: RequestRun) -> None:
        request_run.query = query.format(name=request_run.name)

    return prepare


async def reach_held(request_run: RequestRun) -> Host:
    """Wait until a server holds a request.

    Raises:
        TimeoutError: No server held one within ``STEP_TIMEOUT_S``.
    """

    async def wait_held(host: Host) -> None:
        url = f'{host.url("control")}/reached?name={request_run.name}'
        async with request_run.fleet.session.get(url) as response:
            await response.read()

    hosts_by_task = {
        create_task(wait_held(host)): host for host in request_run.fleet.hosts
    }
    return await wait_first(hosts_by_task)


async def prepare_queue(request_run: RequestRun) -> None:
    """Occupy all slots, so that the request is queued.

    Raises:
        NotReadyError: The slots were not occupied within
            ``STEP_TIMEOUT_S``.
    """
    await request_run.fill_slots()
    request_run.filler_tasks = [
        create_task(call.run(CALL_TIMEOUT_S))
        for call in request_run.slot_fillers
    ]

    async def check() -> bool:
        server_counts = await request_run.fleet.read_all_counts()
        running = sum(counts['running'] for counts in server_counts)
        return running >= SLOTS * len(request_run.fleet.hosts)

    await poll_until(
        check, STEP_TIMEOUT_S, 'the fillers did not reach the step'
    )


async def reach_queue(request_run: RequestRun) -> Host:
    """Wait until the calls are sent; the slots are already occupied."""
    await reach_sent(request_run)
    return request_run.faulty_host


STEPS.register('received')(Step(prepare_head, reach_sent))
# A daemon matches a request to its target by the head.
STEPS.register('classed')(Step(prepare_body, reach_sent))
STEPS.register('sent on')(
    Step(prepare_gate('peer', 'to', half=False), reach_gate('peer'))
)
STEPS.register('queued')(Step(prepare_queue, reach_queue))
STEPS.register('being written to the server')(
    Step(prepare_gate('server', 'to', half=True), reach_gate('server'))
)
STEPS.register('running')(
    Step(
        prepare_server_hold('service_ms=30&hold={name}'), reach_held, runs=True
    )
)
STEPS.register('answer partly read')(
    Step(
        prepare_server_hold(
            f'service_ms=5&answer_bytes={LARGE_BODY_BYTES}&hold_answer={{name}}'
        ),
        reach_held,
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


async def release(request_run: RequestRun) -> None:
    """Let the calls continue from their step."""
    for link in request_run.fleet.links:
        link.open_gates()
    for call in (*request_run.calls, *request_run.slot_fillers):
        call.released.set()
    await gather(
        *(release_host(request_run, host) for host in request_run.fleet.hosts)
    )


async def release_host(request_run: RequestRun, host: Host) -> None:
    """Let the requests that a server holds continue."""
    if not host.server.is_running:
        return
    for name in (request_run.name, f'fill-{request_run.name}'):
        try:
            async with timeout(CONTROL_TIMEOUT_S):
                await request_run.fleet.post_control(
                    host, f'/release?name={name}'
                )
        except (ClientError, TimeoutError, OSError):
            return
