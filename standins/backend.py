"""Stand-in for a backend server with slots and injected faults.

As a process: ``python -m standins.backend --name NAME``.
"""

from asyncio import (
    CancelledError,
    Event,
    Semaphore,
    current_task,
    sleep,
    timeout,
)
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from random import Random
from time import monotonic
from typing import Any, Final

from bergamotshunt.http.web import (
    CallerDisconnectedError,
    decode_headers,
    read_request_body,
    send_json,
    send_whole,
)
from bergamotshunt.peers.headers import BOOKING_KEY, REQUEST_ID, VERDICT
from standins.backend_faults import BackendFaults
from standins.backend_listener import Connections
from standins.backend_responses import (
    OWN_REQUEST_ID,
    BackendRequest,
    create_body,
    parse_request,
    send_response,
)
from standins.call_kinds import draw_service_ms, find_call_kind
from standins.hold_points import HoldPoints

MAX_BODY_BYTES: Final = 1 << 26
# Extra time of the first request on a connection. It takes no slot: with all
# slots in use, the request would wait for one beyond its deadline.
CONNECTION_SETUP_MS: Final = 1
PROBE_SERVICE_MS: Final = 5
MS_PER_S: Final = 1000
# Number of responses kept for the fault ``foreign``, which sends the oldest.
MAX_RECENT_RESPONSES: Final = 8
# Request header with the caller's own id of a booking. Executions are counted
# by it, because the idempotency key may be a ticket that the balancer issued.
BOOKING_ID: Final = 'x-booking-id'


class BackendStandIn:
    """Simulates the execution of requests and counts the executions.

    Args:
        name: Written at the start of each response body.
        slots: Number of requests that run at the same time.
        service_time_ms: Time that each request occupies a slot; None draws
            it from the distribution of the request's kind of call.
        seed: Seed of the random service times and faults.
        queue_limit: Most requests that may wait for a slot; further ones
            are shed.
        cold_s: Length of the cold phase after the start, in which requests
            run slower.
        cold_factor: Factor on service times at the start of the cold phase;
            it falls linearly to 1 until the end.
        connections: Most open connections; further ones are reset.

    Attributes:
        received: Number of requests, without probes.
        queued: Number of requests that wait for a slot.
        running: Number of requests that are being executed.
        probe_ms: Slot time spent on probes.
        outcomes: Number of requests by outcome: ``answered``, ``cancelled``,
            or status and verdict of the error response.
    """

    def __init__(
        self,
        name: str,
        slots: int = 10,
        service_time_ms: float | None = 1,
        seed: int = 0,
        queue_limit: int = 1000,
        cold_s: float = 0,
        cold_factor: float = 10,
        connections: int = 200,
    ) -> None:
        """Create a server without requests and faults."""
        self.name = name
        self.slot_count = slots
        self.slots = Semaphore(slots)
        self.service_time_ms = service_time_ms
        self.rng = Random(seed)
        self.queue_limit = queue_limit
        self.cold_s = cold_s
        self.cold_factor = cold_factor
        self.connections = Connections(connections)
        self.faults = BackendFaults()
        self.draining = False
        self.created_at = monotonic()
        self.cold_phase_started_at = self.created_at
        self.received = 0
        # Called for each execution with the booking id and the request id.
        self.on_run: Callable[[str, str], None] | None = None
        self.queued = 0
        self.running = 0
        self.probe_ms = 0.0
        self.last_run_at = 0.0
        self.executions_by_key = Counter[str]()
        self.runs_by_request_id = Counter[str]()
        self.runs_by_path = Counter[str]()
        self.outcomes = Counter[str]()
        self.unfrozen = Event()
        self.unfrozen.set()
        self.hold_points = HoldPoints()
        self._recent_responses: deque[tuple[str, bytes]] = deque(
            maxlen=MAX_RECENT_RESPONSES
        )
        self._previous_health = True

    @property
    def busy(self) -> int:
        """Return the number of slots in use.

        Slots that a noisy neighbour occupies count too.
        """
        return self.slot_count - self.slots._value

    @property
    def demand(self) -> int:
        """Return the number of slots in use plus the waiters for a slot."""
        return self.busy + len(self.slots._waiters or ())

    def service_time_factor(self) -> float:
        """Return the current factor on service times (1 is usual)."""
        factor = self.faults.straggle
        age_s = monotonic() - self.cold_phase_started_at
        if age_s < self.cold_s:
            factor *= 1 + (self.cold_factor - 1) * (1 - age_s / self.cold_s)
        return factor

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Set the given faults and keep the others."""
        self.faults = self.faults._replace(**changes)
        if self.faults.freeze:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request (ASGI); count it when it is cancelled."""
        client = scope.get('client')
        task = current_task()
        if client is not None and task is not None:
            self.connections.running_by_client[client] = task
        try:
            await self.serve(scope, receive, send)
        except (CallerDisconnectedError, CancelledError):
            self.outcomes['cancelled'] += 1
        finally:
            self.connections.running_by_client.pop(client, None)

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request; cancelled when its client disconnects."""
        await self.unfrozen.wait()
        if scope.get('client') in self.connections.unused:
            self.connections.unused.discard(scope['client'])
            await sleep(CONNECTION_SETUP_MS / MS_PER_S)
        headers = decode_headers(scope)
        body = await read_request_body(receive, MAX_BODY_BYTES)
        if scope['path'] in {'/health', '/load'}:
            await self.serve_probe(scope['path'], send)
            return
        request = parse_request(scope, headers, body)
        self.received += 1
        refusal = self.find_refusal()
        if refusal is not None:
            await self.send_error(send, request, *refusal)
            return
        await self.run(request, send)

    def find_refusal(self) -> tuple[int, str] | None:
        """Return status and verdict for a request to refuse, else None.

        A request that fails fast gets no verdict (empty text).
        """
        if self.rng.random() < self.faults.fail_fast:
            return HTTPStatus.INTERNAL_SERVER_ERROR, ''
        if self.draining or self.queued >= self.queue_limit:
            return HTTPStatus.SERVICE_UNAVAILABLE, 'not-run'
        if self.rng.random() < self.faults.shed:
            return HTTPStatus.SERVICE_UNAVAILABLE, 'not-run'
        return None

    async def occupy_slot(self, time_ms: float) -> None:
        """Wait for a slot and occupy it for a time in milliseconds."""
        async with self.slots:
            await sleep(time_ms / MS_PER_S)

    async def run(self, request: BackendRequest, send: Any) -> None:
        """Wait for a slot, execute the request, and respond."""
        self.queued += 1
        try:
            async with timeout(max(0, request.expires_at - monotonic())):
                await self.slots.acquire()
        except TimeoutError:
            await self.send_error(
                send, request, HTTPStatus.GATEWAY_TIMEOUT, 'not-run'
            )
            return
        finally:
            self.queued -= 1
        self.running += 1
        try:
            in_time = await self.execute(request)
        finally:
            self.running -= 1
            self.slots.release()
        if not in_time:
            await self.send_error(
                send, request, HTTPStatus.GATEWAY_TIMEOUT, 'may-have-run'
            )
            return
        await self.respond(request, send)

    async def execute(self, request: BackendRequest) -> bool:
        """Count the execution and spend its service time.

        It is counted at its start, so that a request that is cancelled
        midway counts as executed.

        Returns:
            Whether it ended before the deadline of the request.
        """
        for _ in range(1 + self.faults.run_twice):
            self.record_run(request)
        await self.hold_points.pause_at(request, 'hold')
        service_time_s = (
            self.draw_service_time_ms(request)
            * self.service_time_factor()
            / MS_PER_S
        )
        left_s = request.expires_at - monotonic()
        await sleep(min(service_time_s, max(0, left_s)))
        return service_time_s <= left_s

    def record_run(self, request: BackendRequest) -> None:
        """Count an execution by booking, request id and path."""
        key = request.headers.get(BOOKING_ID) or request.headers.get(
            BOOKING_KEY
        )
        if key:
            self.executions_by_key[key] += 1
        request_id = request.headers.get(REQUEST_ID, '')
        self.runs_by_request_id[request_id] += 1
        if self.on_run is not None:
            self.on_run(key or '', request_id)
        kind = find_call_kind(request.method, request.path)
        self.runs_by_path[kind.path_prefix if kind else request.path] += 1
        self.last_run_at = monotonic()

    def draw_service_time_ms(self, request: BackendRequest) -> float:
        """Return the service time of a request in milliseconds.

        The query parameter ``service_ms`` overrides the configured one.
        Without either, a request of no known kind takes no time.
        """
        if 'service_ms' in request.query:
            return float(request.query['service_ms'][0])
        kind = find_call_kind(request.method, request.path)
        if self.service_time_ms is not None or kind is None:
            return self.service_time_ms or 0
        return draw_service_ms(kind, self.rng)

    async def respond(self, request: BackendRequest, send: Any) -> None:
        """Send the response of an executed request, with injected faults."""
        await sleep(self.faults.late_ms / MS_PER_S)
        if self.rng.random() < self.faults.deny_run:
            await self.send_error(
                send, request, HTTPStatus.SERVICE_UNAVAILABLE, 'not-run'
            )
            return
        request_id = request.headers.get(REQUEST_ID, '')
        body = create_body(self.name, request, self.choose_body_bytes(request))
        if self._recent_responses and self.rng.random() < self.faults.foreign:
            request_id, body = self._recent_responses[0]
        self._recent_responses.append((request_id, body))
        self.outcomes['answered'] += 1
        cut_short = self.rng.random() < self.faults.cut_short
        pause = partial(self.hold_points.pause_at, request, 'hold_answer')
        await send_response(send, request_id, body, cut_short, pause)

    def choose_body_bytes(self, request: BackendRequest) -> int:
        """Return the size of the response body in bytes.

        The query parameter ``answer_bytes`` overrides that of the kind.
        Without it, the size is 0 (the shortest body) if the service time is
        configured or the kind is unknown.
        """
        if 'answer_bytes' in request.query:
            return int(request.query['answer_bytes'][0])
        kind = find_call_kind(request.method, request.path)
        if self.service_time_ms is not None or kind is None:
            return 0
        return kind.answer_bytes

    async def send_error(
        self, send: Any, request: BackendRequest, status: int, verdict: str
    ) -> None:
        """Send an error response; an empty verdict sends no verdict header."""
        self.outcomes[f'{int(status)} {verdict}'.strip()] += 1
        request_id = request.headers.get(REQUEST_ID, '')
        header_items = [(REQUEST_ID, request_id), (OWN_REQUEST_ID, request_id)]
        if verdict:
            header_items.append((VERDICT, verdict))
        await send_whole(send, int(status), header_items, b'')

    async def serve_probe(self, path: str, send: Any) -> None:
        """Respond to a health or load probe, which needs a slot as well."""
        self.probe_ms += PROBE_SERVICE_MS
        await self.occupy_slot(PROBE_SERVICE_MS)
        healthy = not self.draining and self.faults.fail_fast < 1
        reported = healthy
        if self.faults.health == 'lie':
            reported = True
        elif self.faults.health == 'lag':
            reported, self._previous_health = self._previous_health, healthy
        if path == '/load':
            report = {'running': self.running, 'slots': self.slot_count}
            await send_json(send, report)
            return
        status = HTTPStatus.OK if reported else HTTPStatus.SERVICE_UNAVAILABLE
        await send_json(send, {'healthy': reported}, status)


if __name__ == '__main__':
    from standins.backend_process import main

    main()
