"""Runs admitted requests on the backend server; reports back to admission."""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from returns.result import Failure, Success

from bergamotshunt.backend.admission import Admission, Slot
from bergamotshunt.backend.guard_requests import GuardRequest
from bergamotshunt.backend.local_server import (
    LocalServerClient,
    ServerRequest,
    ServerResponse,
)
from bergamotshunt.backend.server_gate import ServerGate
from bergamotshunt.decisions.server_health import Evidence
from bergamotshunt.ingress.booking_responses import GuardOutcome
from bergamotshunt.ingress.request_bodies import RequestBody
from bergamotshunt.log import log_event
from bergamotshunt.peers.headers import DEADLINE_MS, HANDOVER, TICKET
from bergamotshunt.settings import Settings
from bergamotshunt.verdicts import CallFailure

OVERLOAD_REASONS: Final = frozenset(('timeout', 'server-refused'))
# A timeout counts as overload only from this multiple of the typical
# latency: a shorter one is due to the sender's deadline, not to load.
MIN_OVERLOAD_LATENCY_FACTOR: Final = 2
DRAIN_TIMEOUT_MS: Final = 5000.0
# The deadline header is replaced by one with the time left when the request
# is sent.
NOT_FORWARDED_HEADERS: Final = frozenset((DEADLINE_MS, HANDOVER, TICKET))


class AdmittedCalls:
    """Runs requests on the local backend server once they have a slot.

    Owned by the guard task; not shared with other tasks.

    Args:
        settings: Settings of the daemon.
        gate: Receives evidence about the health of the server.
        now_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        gate: ServerGate,
        now_ms: Callable[[], float],
    ) -> None:
        """Create the client; requires a running event loop."""
        self.settings = settings
        self.gate = gate
        self.now_ms = now_ms
        self.admission = Admission(settings, now_ms)
        self.server = LocalServerClient(
            settings.backend_server.connections,
            settings.calls.body_buffer_bytes,
        )

    async def run(
        self,
        request: GuardRequest,
        body: RequestBody,
        on_start: Callable[[], None] | None = None,
    ) -> GuardOutcome:
        """Wait for a slot and run the request.

        Args:
            request: The request.
            body: Body of the request.
            on_start: Called before anything is sent to the server.
        """
        refusal = self.gate.refusal(self.now_ms())
        if refusal is not None:
            return Failure(refusal)
        match await self.admission.acquire(request.slot_request):
            case Success(slot):
                if on_start is not None:
                    on_start()
                return await self._run_with_slot(slot, request, body)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError('a Result must be a Success or a Failure')

    async def close(self) -> None:
        """Close the connections to the server."""
        await self.server.close()

    async def call_drain_path(self) -> None:
        """Call the drain path of the server, if configured."""
        server = self.settings.backend_server
        if not server.drain_path:
            return
        request = ServerRequest(
            'POST',
            server.url + server.drain_path,
            (),
            b'',
            '',
            DRAIN_TIMEOUT_MS,
        )
        match await self.server.open(request):
            case Success(response):
                response.close()
            case Failure(failure):
                log_event(
                    'guard:drain-path-failed',
                    level='error',
                    detail=failure.detail,
                )

    async def _run_with_slot(
        self,
        slot: Slot,
        request: GuardRequest,
        body: RequestBody,
    ) -> GuardOutcome:
        try:
            outcome = await self.server.open(
                self._create_server_request(request, body)
            )
        except BaseException:
            self.admission.release(slot)
            raise
        match outcome:
            case Success(response):
                self._record_response(slot, request, response)
                return Success(response)
            case Failure(failure):
                self._record_failure(slot, request, failure)
        return Failure(outcome.failure())

    def _create_server_request(
        self,
        request: GuardRequest,
        body: RequestBody,
    ) -> ServerRequest:
        left_ms = request.slot_request.deadline_ms - self.now_ms()
        headers = (
            *(
                item
                for item in request.headers
                if item[0] not in NOT_FORWARDED_HEADERS
            ),
            (DEADLINE_MS, str(max(1, int(left_ms)))),
        )
        timeout_ms = left_ms
        if request.booking is not None:
            # A booking continues for a while after its sender times out, so
            # that a repeat gets its outcome instead of "unknown".
            timeout_ms = max(left_ms, self.settings.calls.default_deadline_ms)
        return ServerRequest(
            request.method,
            self.settings.backend_server.url + request.path,
            headers,
            body.content(),
            request.request_id,
            timeout_ms,
        )

    def _record_response(
        self,
        slot: Slot,
        request: GuardRequest,
        response: ServerResponse,
    ) -> None:
        self.gate.record_evidence(Evidence.ANSWERED, self.now_ms())
        is_error = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_error or not response.is_complete:
            # Errors return fast and a streamed response waits for its
            # receiver. Both would distort the latency estimate.
            response.on_end = partial(self.admission.release, slot)
        else:
            response.on_end = partial(
                self.admission.finish,
                slot,
                request.target.name,
                overloaded=False,
            )
        if response.is_complete:
            response.close()

    def _record_failure(
        self,
        slot: Slot,
        request: GuardRequest,
        failure: CallFailure,
    ) -> None:
        now_ms = self.now_ms()
        spent_ms = now_ms - slot.started_ms
        self.gate.record_failure(failure, spent_ms, now_ms)
        min_overload_ms = (
            self.admission.limit_state.latency_ms * MIN_OVERLOAD_LATENCY_FACTOR
        )
        is_short = failure.reason == 'timeout' and spent_ms < min_overload_ms
        if failure.reason not in OVERLOAD_REASONS or is_short:
            self.admission.release(slot)
            return
        self.admission.finish(slot, request.target.name, overloaded=True)
