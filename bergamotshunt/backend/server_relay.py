"""Forwards requests of peers to the backend server and its responses."""

from asyncio import get_running_loop, timeout
from collections import Counter
from http import HTTPStatus
from typing import Final, NamedTuple

from bergamotshunt.backend.own_server import OwnServer, RunStart
from bergamotshunt.backend.server_client import (
    MAX_BUFFERED_BODY_BYTES,
    ServerClient,
)
from bergamotshunt.backend.slot_queue import Refusal, RefusedError
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import (
    ClientConnection,
    Response,
    ResponseLostError,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header, encode_response_head
from bergamotshunt.peers.peer_calls import (
    RESULT_HEADER,
    SERVER_REFUSED,
    PeerCall,
    PeerResult,
    encode_result,
)
from bergamotshunt.permits import Permit
from bergamotshunt.platform.requests import (
    ServerResponseInfo,
    client_headers,
    read_server_response_info,
)
from bergamotshunt.request_log import RequestLog
from bergamotshunt.task_metrics import TaskMetrics
from bergamotshunt.verdicts import Verdict

MS_PER_S: Final = 1000
# The server gets the time left as its timeout; its response may arrive
# this much later.
RESPONSE_GRACE_MS: Final = 150
MIN_LEFT_MS: Final = 5
# A large response to a slow client may take this long after its head. One
# without an end is cut then, so that its slot becomes free.
RESPONSE_BODY_TIMEOUT_S: Final = 300.0


class RunLimits(NamedTuple):
    """Limits of the time of a run.

    Attributes:
        deadline_ms: Monotonic time at which the response is due, in
            milliseconds.
        permit: Limits when the request may be sent to the server; None for no
            limit.
    """

    deadline_ms: float
    permit: Permit | None = None


class ServerRelay:
    """Forwards requests of peers to the server, each on its own connection.

    Args:
        server: State of the server.
        client: Client of the server.
        metrics: Metrics of the task that owns the relay.
        log: Log of requests.
    """

    def __init__(
        self,
        server: OwnServer,
        client: ServerClient,
        metrics: TaskMetrics,
        log: RequestLog,
    ) -> None:
        """Create a relay without requests in flight."""
        self._server = server
        self._client = client
        self._metrics = metrics
        self._log = log
        self._nested_calls_by_request_id: dict[str, Counter[str]] = {}

    def count_nested_call(self, request_id: str, service: str) -> None:
        """Count a call that a request in flight made to a service."""
        calls = self._nested_calls_by_request_id.get(request_id)
        if calls is not None:
            calls[service] += 1

    async def run(
        self,
        exchange: Exchange,
        call: PeerCall,
        limits: RunLimits,
    ) -> None:
        """Forward a request that holds a slot, and its response.

        Args:
            exchange: The exchange with the peer.
            call: Metadata of the request, from the peer.
            limits: Limits of its time.

        Raises:
            RefusedError: The server did not run it.
        """
        self._nested_calls_by_request_id[call.request_id] = Counter()
        try:
            await self._run(exchange, call, limits)
        finally:
            self._nested_calls_by_request_id.pop(call.request_id, None)

    def refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        """Respond that a request did not run."""
        self._metrics.increment('peer_requests_refused', reason=refusal.reason)
        exchange.fail(
            HTTPStatus.SERVICE_UNAVAILABLE, self._refusal_headers(refusal)
        )

    def encode_refusal(self, refusal: Refusal) -> bytes:
        """Encode the response that a request did not run, as the last one."""
        return encode_response_head(
            HTTPStatus.SERVICE_UNAVAILABLE,
            self._refusal_headers(refusal),
            0,
            closing=True,
        )

    def _refusal_headers(self, refusal: Refusal) -> list[Header]:
        return _result_headers(
            PeerResult(
                Verdict.NOT_RUN,
                self._server.load(),
                refusal.reason,
                retry_after_ms=refusal.retry_after_ms,
            )
        )

    async def _run(
        self,
        exchange: Exchange,
        call: PeerCall,
        limits: RunLimits,
    ) -> None:
        connection = await self._client.connect()
        try:
            await self._run_on(connection, exchange, call, limits)
        finally:
            self._report_skipped(connection, call)

    async def _run_on(
        self,
        connection: ClientConnection,
        exchange: Exchange,
        call: PeerCall,
        limits: RunLimits,
    ) -> None:
        try:
            await self._send_and_relay(connection, exchange, call, limits)
        except (ResponseLostError, IncompleteBodyError, TimeoutError) as error:
            connection.close()
            self._metrics.increment('server_answers_lost')
            self._log.write(
                'inbound:answer-lost',
                failed=True,
                request_id=call.request_id,
                instance=call.instance,
                detail=repr(error),
            )
            load = self._server.load()
            result = PeerResult(Verdict.MAY_HAVE_RUN, load, 'answer-lost')
            exchange.fail(HTTPStatus.BAD_GATEWAY, _result_headers(result))
        except BaseException:
            connection.close()
            raise
        else:
            self._client.release(connection)

    def _report_skipped(
        self, connection: ClientConnection, call: PeerCall
    ) -> None:
        """Report responses that belong to no request, such as late ones.

        A connection with such a response is not used again.
        """
        count = connection.skipped_responses
        if count:
            self._metrics.increment('server_responses_skipped', count)
            self._log.write(
                'inbound:responses-skipped',
                failed=True,
                request_id=call.request_id,
                instance=call.instance,
                count=count,
            )

    async def _send_and_relay(
        self,
        connection: ClientConnection,
        exchange: Exchange,
        call: PeerCall,
        limits: RunLimits,
    ) -> None:
        self._server.check_acceptance(call)
        start = self._server.start_run(call)
        left_ms = limits.deadline_ms - start.at_ms
        if left_ms < MIN_LEFT_MS:
            raise RefusedError(Refusal('expired'))
        async with timeout((left_ms + RESPONSE_GRACE_MS) / MS_PER_S) as limit:
            response = await self._client.send(
                connection,
                exchange,
                call,
                left_ms,
                limits.permit,
            )
            info = read_server_response_info(response.head)
            if info.refused:
                await self._relay_refusal(exchange, response, info)
            else:
                limit.reschedule(
                    get_running_loop().time() + RESPONSE_BODY_TIMEOUT_S
                )
                await self._relay_response(exchange, response, info, start)
        self._log.write(
            'inbound:ran',
            failed=response.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR,
            request_id=call.request_id,
            instance=call.instance,
            status=response.head.status,
            left_ms=round(left_ms),
            took_ms=round(self._server.now_ms() - start.at_ms),
            pace=self._server.work_estimator.pace,
        )

    async def _relay_refusal(
        self,
        exchange: Exchange,
        response: Response,
        info: ServerResponseInfo,
    ) -> None:
        _check_promise(response)
        await response.body.read_up_to(MAX_BUFFERED_BODY_BYTES)
        self.refuse(exchange, self._create_refusal(info))

    async def _relay_response(
        self,
        exchange: Exchange,
        response: Response,
        info: ServerResponseInfo,
        start: RunStart,
    ) -> None:
        head = response.head
        result = self._end_run(start, info)
        if info.looks_refused:
            raise ResponseLostError(
                f'response with status {head.status} does not state that '
                'the request did not run'
            )
        if head.status < HTTPStatus.MULTIPLE_CHOICES and not info.signed:
            raise ResponseLostError(
                f'response with status {head.status} has no signature header'
            )
        headers = client_headers(head) + _result_headers(result)
        exchange.start(head.status, headers, head.length)
        while chunk := await response.body.read():
            exchange.write(chunk)
            await exchange.drain()
        exchange.finish()

    def _end_run(self, start: RunStart, info: ServerResponseInfo) -> PeerResult:
        calls = self._nested_calls_by_request_id[start.call.request_id]
        duration = self._server.end_run(start, info.pace, called=bool(calls))
        self._metrics.observe('server', duration.took_ms)
        return PeerResult(
            Verdict.RAN,
            self._server.load(),
            took_ms=duration.took_ms,
            work_ms=duration.work_ms,
            saturated=duration.saturated,
            calls=tuple(calls.items()),
        )

    def _create_refusal(self, info: ServerResponseInfo) -> Refusal:
        if info.misdirected:
            return Refusal('other-instance')
        return Refusal(SERVER_REFUSED, self._server.expected_run_ms())


def _check_promise(response: Response) -> None:
    """Check whether a refusal certainly belongs to the request.

    Raises:
        ResponseLostError: It may not; the request may have run.
    """
    if not response.in_sync:
        raise ResponseLostError(
            f'refusal with status {response.head.status} after a response '
            'that belongs to no request'
        )


def _result_headers(result: PeerResult) -> list[Header]:
    return [(RESULT_HEADER, encode_result(result))]
