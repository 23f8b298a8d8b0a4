"""Prober: probes health and load of the local server within a budget."""

from asyncio import sleep
from typing import Any, Final

from returns.result import Success

from bergamotshunt.backend.guard_metrics import (
    MEASURING_ALLOWED,
    MEASURING_SPENT,
    REPORTED_LOAD,
)
from bergamotshunt.backend.local_server import LocalServerClient, ServerRequest
from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.decisions.probe_budget import (
    DEFAULT_PROBE_SHARE,
    ProbeBudget,
    time_to_next_probe_ms,
    try_spend,
    with_rate,
)
from bergamotshunt.decoding import MalformedInputError, decode_json
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    NoHandlerError,
    Task,
)
from bergamotshunt.log import log_error, log_event
from bergamotshunt.messages import (
    DescribeLoad,
    DescribeTask,
    HealthObserved,
    ServerStateChanged,
    TargetsChanged,
)
from bergamotshunt.peers.members import ServerState
from bergamotshunt.value_checks import check_integer
from bergamotshunt.verdicts import Verdict

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
MAX_CONNECTIONS: Final = 1
MAX_RESPONSE_BYTES: Final = 65_536
SUCCESS_STATUSES: Final = range(200, 300)
# The load that the server reports serves only as a metric for operators,
# as the guard counts the requests itself. One probe in five is enough.
PROBES_PER_LOAD_PROBE: Final = 5
# Shortest interval between probes of a server that starts or is down, if
# the budget allows it.
MIN_PROBE_INTERVAL_MS: Final = 20.0
LOAD_FIELDS: Final = ('in_flight', 'running')


class ProberTask(Task):
    """Owns the measuring budget of the local backend server."""

    name = 'prober'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task with an empty budget."""
        super().__init__(context)
        self.server = context.settings.backend_server
        self.measuring = context.settings.measuring
        self.probe_share = DEFAULT_PROBE_SHARE
        self.server_state = ServerState.STARTING
        self.probes = 0
        # At most one slot counts until the guard reports the slot limit.
        self.budget = ProbeBudget(
            self.measuring.probe_cost_ms,
            self.now_ms(),
            min(self.server.slots, 1),
        )

    async def open(self) -> None:
        """Create the connection for probes."""
        self.connection = LocalServerClient(MAX_CONNECTIONS, MAX_RESPONSE_BYTES)

    async def start(self) -> None:
        """Start to probe, when there is a backend server."""
        if self.server.service:
            self.spawn(self.run_probes())

    async def close(self) -> None:
        """End the probes and close the connection."""
        await super().close()
        await self.connection.close()

    async def run_probes(self) -> None:
        """Probe at the configured interval, as far as allowed."""
        while True:
            try:
                load = await self.bus.ask(DescribeLoad())
            except (TimeoutError, NoHandlerError) as error:
                log_error('prober:guard-silent', error)
            else:
                await self.probe_if_allowed(load)
            await sleep(self.pause_ms() / MS_PER_S)

    async def probe_if_allowed(self, load: LoadReport) -> None:
        """Send one probe if the targets, the budget and the load allow it."""
        if self.probe_share <= 0:
            # Without probes, only the outcomes of requests show the health,
            # and requests only arrive while the server counts as healthy.
            self.bus.publish(HealthObserved(healthy=True))
        elif self.spend_budget(load):
            await self.probe()

    def spend_budget(self, load: LoadReport) -> bool:
        """Spend the cost of one probe; return whether the budget allows it."""
        before = self.budget
        slots = min(self.server.slots, load.limit)
        now_ms = self.now_ms()
        refilled = with_rate(before, now_ms, slots, self.probe_share)
        after, is_allowed = try_spend(refilled, now_ms, load)
        self.budget = after
        MEASURING_ALLOWED.inc(after.allowed_slot_ms - before.allowed_slot_ms)
        MEASURING_SPENT.inc(after.spent_slot_ms - before.spent_slot_ms)
        return is_allowed

    def pause_ms(self) -> float:
        """Return the time in ms until the budget is checked again."""
        interval_ms = self.measuring.health_interval_ms
        if self.server_state is ServerState.SERVING:
            return interval_ms
        return min(
            interval_ms,
            max(MIN_PROBE_INTERVAL_MS, time_to_next_probe_ms(self.budget)),
        )

    async def probe(self) -> None:
        """Probe the load every few probes, the health otherwise."""
        self.probes += 1
        if self.server.load_path and not self.probes % PROBES_PER_LOAD_PROBE:
            await self.probe_load()
            return
        outcome = await self.send_probe(self.server.health_path)
        has_responded = bool(outcome[0])
        self.bus.publish(HealthObserved(is_healthy(outcome), has_responded))

    async def probe_load(self) -> None:
        """Store the load that the server reports in the metrics."""
        outcome = await self.send_probe(self.server.load_path)
        reported = read_probe_document(outcome)
        for field in LOAD_FIELDS:
            try:
                load = check_integer(field, reported.get(field))
            except ValueError:
                continue
            REPORTED_LOAD.set(load)

    async def send_probe(self, path: str) -> tuple[int, bytes]:
        """Send one probe.

        Returns:
            Status and body; status 0 when there was no complete response.
        """
        request = ServerRequest(
            'GET',
            self.server.url + path,
            (),
            b'',
            '',
            self.measuring.health_interval_ms,
        )
        outcome = await self.connection.open(request)
        match outcome:
            case Success(response):
                response.close()
                return response.status, response.body
        failure = outcome.failure()
        if failure.verdict is not Verdict.NOT_RUN:
            log_event('prober:failed', level='debug', detail=failure.detail)
        return 0, b''


def read_probe_document(outcome: tuple[int, bytes]) -> dict[str, Any]:
    """Return the JSON object in a probe's response; empty if none."""
    try:
        document = decode_json(outcome[1] or b'{}', 'response to a probe')
    except MalformedInputError:
        return {}
    return document if isinstance(document, dict) else {}


def is_healthy(outcome: tuple[int, bytes]) -> bool:
    """Return whether a response reports a healthy server."""
    is_reported = read_probe_document(outcome).get('healthy', True) is not False
    return outcome[0] in SUCCESS_STATUSES and is_reported


@HANDLERS.on(TargetsChanged)
def update_share(task: ProberTask, message: TargetsChanged) -> None:
    """Set the share of the server's capacity that probes may use."""
    targets = message.target_set.by_service.get(task.server.service)
    if targets is not None:
        task.probe_share = targets.measuring_share


@HANDLERS.on(ServerStateChanged)
def update_server_state(task: ProberTask, message: ServerStateChanged) -> None:
    """Store the server's state, which sets the probe interval."""
    task.server_state = message.server_state


@HANDLERS.on(DescribeTask)
def describe(task: ProberTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the use of the probe budget for the daemon's status."""
    return {
        'measuring': {
            'share': task.probe_share,
            'spent_slot_ms': task.budget.spent_slot_ms,
            'allowed_slot_ms': task.budget.allowed_slot_ms,
            'probes': task.probes,
        },
    }


@PLUGINS.register('prober')
def create_prober(context: Context) -> ProberTask:
    """Create the prober task."""
    return ProberTask(context)
