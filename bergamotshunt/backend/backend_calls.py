"""Calls to the backend server: admission, the call, what it teaches."""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from returns.result import Failure, Success

from bergamotshunt.backend.admission import Admission, Slot
from bergamotshunt.backend.guard_requests import GuardRequest
from bergamotshunt.backend.local_server import (
    LocalServer,
    ServerResponse,
    ServerRequest,
)
from bergamotshunt.backend.server_gate import ServerGate
from bergamotshunt.decisions.health import Evidence
from bergamotshunt.ingress.booking_responses import Outcome
from bergamotshunt.ingress.request_bodies import RequestBody
from bergamotshunt.log import log_event
from bergamotshunt.peers.headers import DEADLINE_MS, HANDOVER, TICKET
from bergamotshunt.settings import Settings
from bergamotshunt.verdicts import CallFailure

OVERLOADED: Final = frozenset(('timeout', 'server-refused'))
# A sender that allows less time than a usual run says nothing about load.
USUAL_RUN_FACTOR: Final = 2
DRAIN_TIMEOUT_MS: Final = 5000.0
REPLACED: Final = frozenset((DEADLINE_MS, HANDOVER, TICKET))


class BackendCalls:
    """Runs requests on the backend server beside this daemon.

    Part of the guard task; not shared with other tasks.

    Args:
        settings: Settings of the daemon.
        gate: Learns from what the server does.
        now_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        gate: ServerGate,
        now_ms: Callable[[], float],
    ) -> None:
        """Create the connections; a running event loop is needed."""
        self.settings = settings
        self.gate = gate
        self.now_ms = now_ms
        self.admission = Admission(settings, now_ms)
        self.server = LocalServer(
            settings.backend_server.connections,
            settings.calls.body_buffer_bytes,
        )

    async def run(
        self,
        request: GuardRequest,
        body: RequestBody,
        note_start: Callable[[], None] | None = None,
    ) -> Outcome:
        """Wait for a slot and run a request.

        Args:
            request: The request.
            body: Its body.
            note_start: Called before anything is sent to the server.
        """
        refusal = self.gate.refusal(self.now_ms())
        if refusal is not None:
            return Failure(refusal)
        match await self.admission.acquire(request.work):
            case Success(slot):
                if note_start is not None:
                    note_start()
                return await self._use(slot, request, body)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError('unreachable')

    async def close(self) -> None:
        """Close the connections to the server."""
        await self.server.close()

    async def ask_to_drain(self) -> None:
        """Call the drain path of the server, if one is set."""
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

    async def _use(
        self,
        slot: Slot,
        request: GuardRequest,
        body: RequestBody,
    ) -> Outcome:
        try:
            outcome = await self.server.open(self._address(request, body))
        except BaseException:
            self.admission.release(slot)
            raise
        match outcome:
            case Success(response):
                self._note_response(slot, request, response)
                return Success(response)
            case Failure(failure):
                self._note_failure(slot, request, failure)
        return Failure(outcome.failure())

    def _address(
        self,
        request: GuardRequest,
        body: RequestBody,
    ) -> ServerRequest:
        left_ms = request.work.deadline_ms - self.now_ms()
        headers = (
            *(item for item in request.headers if item[0] not in REPLACED),
            (DEADLINE_MS, str(max(1, int(left_ms)))),
        )
        timeout_ms = left_ms
        if request.booking is not None:
            # A booking whose sender gives up goes on for a while: a repeat
            # then learns the outcome instead of an unknown one.
            timeout_ms = max(left_ms, self.settings.calls.default_deadline_ms)
        return ServerRequest(
            request.method,
            self.settings.backend_server.url + request.path,
            headers,
            body.content(),
            request.request_id,
            timeout_ms,
        )

    def _note_response(
        self,
        slot: Slot,
        request: GuardRequest,
        response: ServerResponse,
    ) -> None:
        self.gate.note(Evidence.ANSWERED, self.now_ms())
        is_error = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_error or not response.is_whole:
            # Errors are fast and receivers may be slow; both would teach
            # a wrong latency.
            response.on_end = partial(self.admission.release, slot)
        else:
            response.on_end = partial(
                self.admission.finish,
                slot,
                request.target.name,
                overloaded=False,
            )
        if response.is_whole:
            response.close()

    def _note_failure(
        self,
        slot: Slot,
        request: GuardRequest,
        failure: CallFailure,
    ) -> None:
        now_ms = self.now_ms()
        spent_ms = now_ms - slot.started_ms
        self.gate.note_failure(failure, spent_ms, now_ms)
        usual_ms = self.admission.limit_state.latency_ms * USUAL_RUN_FACTOR
        is_short = failure.reason == 'timeout' and spent_ms < usual_ms
        if failure.reason not in OVERLOADED or is_short:
            self.admission.release(slot)
            return
        self.admission.finish(slot, request.target.name, overloaded=True)
