"""Mixed calls to a local fleet, with validation of every response."""

from asyncio import Semaphore, gather
from collections import Counter
from collections.abc import Callable
from hashlib import sha256
from random import Random
from time import monotonic
from typing import Final, NamedTuple
from uuid import uuid4

from returns.result import Failure, Result, Success
from uuid6 import uuid7

from bergamotshunt.http.transport import HttpClient, HttpRequest, HttpResponse
from bergamotshunt.local_fleet.fleet import IP, LocalFleet
from bergamotshunt.peers.headers import BOOKING_KEY, REQUEST_ID, VERDICT
from bergamotshunt.verdicts import CallFailure, Verdict

CALL_TIMEOUT_MS: Final = 10_000
MAX_CONCURRENT_CALLS: Final = 8
MAX_CONNECTIONS_PER_DAEMON: Final = 64
MS_PER_S: Final = 1000
REPEATED_BOOKING_SHARE: Final = 0.2
STATUS_OK: Final = 200
DIGEST_HEADER: Final = 'x-body-sha256'


class MixedCallKind(NamedTuple):
    """A kind of call.

    Attributes:
        name: Name in reports.
        method: HTTP method.
        path: Path template; ``{number}`` is the index of the call.
        share: Share of this kind among all calls.
    """

    name: str
    method: str
    path: str
    share: float


CALL_KINDS: Final = (
    MixedCallKind('balance', 'GET', '/jar-ledger/balances/{number}', 0.6),
    MixedCallKind('refund', 'POST', '/jar-ledger/refunds', 0.25),
    MixedCallKind('spec', 'GET', '/catalog/specs/{number}', 0.1),
    MixedCallKind('pack', 'GET', '/catalog/packs/{number}', 0.05),
)


class CallPlan(NamedTuple):
    """One planned call.

    Attributes:
        kind: Name of the kind of call.
        method: HTTP method.
        path: Path with the service.
        request_id: Unique id of the request.
        booking_key: Key of a booking; a repetition has the key of an earlier
            booking. Empty for other calls.
        daemon_index: Index of the daemon that receives the call.
    """

    kind: str
    method: str
    path: str
    request_id: str
    booking_key: str
    daemon_index: int


class CallOutcome(NamedTuple):
    """Result of one call.

    Attributes:
        kind: Name of the kind of call.
        verdict: Verdict on the response or the failure.
        status: HTTP status; 0 without a response.
        latency_ms: Time until the response was complete.
        faults: Description of each fault of the response.
    """

    kind: str
    verdict: str
    status: int
    latency_ms: float
    faults: tuple[str, ...]


def plan_mixed_calls(
    count: int, daemon_count: int, rng: Random
) -> list[CallPlan]:
    """Plan mixed calls; some bookings are repeated at a random daemon.

    Args:
        count: Number of calls.
        daemon_count: Number of daemons to spread the calls over.
        rng: Random source of the mix; request ids and booking keys do not
            come from it.
    """
    plans: list[CallPlan] = []
    booking_keys: list[str] = []
    weights = [kind.share for kind in CALL_KINDS]
    for number in range(count):
        kind = rng.choices(CALL_KINDS, weights)[0]
        booking_key = ''
        if kind.method == 'POST':
            is_repeat = (
                bool(booking_keys) and rng.random() < REPEATED_BOOKING_SHARE
            )
            booking_key = (
                rng.choice(booking_keys) if is_repeat else str(uuid7())
            )
            booking_keys.append(booking_key)
        plans.append(
            CallPlan(
                kind.name,
                kind.method,
                kind.path.format(number=number),
                uuid4().hex,
                booking_key,
                rng.randrange(daemon_count),
            ),
        )
    return plans


async def make_call(
    http_client: HttpClient,
    ports: tuple[int, ...],
    plan: CallPlan,
) -> CallOutcome:
    """Make one call and check its response.

    Args:
        http_client: HTTP client.
        ports: Callers ports of the daemons.
        plan: The call.
    """
    headers = {REQUEST_ID: plan.request_id}
    if plan.booking_key:
        headers[BOOKING_KEY] = plan.booking_key
    started_s = monotonic()
    outcome = await http_client.send(
        HttpRequest(
            plan.method,
            f'http://{IP}:{ports[plan.daemon_index]}{plan.path}',
            headers,
            plan.request_id.encode(),
            CALL_TIMEOUT_MS,
        ),
    )
    latency_ms = (monotonic() - started_s) * MS_PER_S
    return check_outcome(plan, outcome, latency_ms)


def check_outcome(
    plan: CallPlan,
    outcome: Result[HttpResponse, CallFailure],
    latency_ms: float,
) -> CallOutcome:
    """Check that a response is complete and belongs to its call."""
    match outcome:
        case Success(response):
            return CallOutcome(
                plan.kind,
                response.headers.get(VERDICT, ''),
                response.status,
                latency_ms,
                find_response_faults(plan, response),
            )
        case Failure(failure):
            faults = (f'no response: {failure.detail}',)
            return CallOutcome(
                plan.kind, failure.verdict, 0, latency_ms, faults
            )
    raise AssertionError(f'expected Success or Failure, got {outcome!r}')


def find_response_faults(
    plan: CallPlan, response: HttpResponse
) -> tuple[str, ...]:
    """Return a description of each fault of a response."""
    faults = []
    if response.headers.get(REQUEST_ID) != plan.request_id:
        faults.append(
            f'response to request {response.headers.get(REQUEST_ID)!r}, '
            f'expected {plan.request_id!r}',
        )
    if response.status != STATUS_OK:
        faults.append(
            f'status {response.status}, expected {STATUS_OK}: '
            f'{response.body[:200]!r}',
        )
    elif response.headers.get(VERDICT) != Verdict.RAN:
        faults.append(
            f'verdict {response.headers.get(VERDICT)!r}, '
            f'expected {Verdict.RAN.value!r}',
        )
    digest = response.headers.get(DIGEST_HEADER)
    if digest and digest != sha256(response.body).hexdigest():
        faults.append(
            f'body of {len(response.body)} bytes does not match its digest '
            f'{digest}',
        )
    return tuple(faults)


async def run_calls(
    fleet: LocalFleet,
    count: int,
    report_progress: Callable[[], None],
) -> list[CallOutcome]:
    """Make mixed calls, up to ``MAX_CONCURRENT_CALLS`` at a time.

    Args:
        fleet: The fleet to call.
        count: Number of calls.
        report_progress: Called after each call.
    """
    rng = Random(fleet.seed)
    ports = tuple(
        server.kernel.ports_by_kind['callers'] for server in fleet.servers
    )
    http_client = HttpClient(MAX_CONNECTIONS_PER_DAEMON)
    slots = Semaphore(MAX_CONCURRENT_CALLS)
    outcomes = await gather(
        *(
            make_call_in_slot(slots, http_client, ports, plan, report_progress)
            for plan in plan_mixed_calls(count, len(ports), rng)
        ),
    )
    await http_client.close()
    return outcomes


async def make_call_in_slot(
    slots: Semaphore,
    http_client: HttpClient,
    ports: tuple[int, ...],
    plan: CallPlan,
    report_progress: Callable[[], None],
) -> CallOutcome:
    """Make one call once the semaphore admits it, and report progress."""
    async with slots:
        outcome = await make_call(http_client, ports, plan)
    report_progress()
    return outcome


def count_repeated_executions(fleet: LocalFleet) -> int:
    """Count the booking keys that were executed more than once."""
    runs_by_key = Counter[str]()
    for server in fleet.servers:
        runs_by_key.update(server.backend.executions_by_key)
    return sum(runs > 1 for runs in runs_by_key.values())
