"""Passes requests of peers to the backend server, and its responses back."""

from asyncio import timeout
from collections import Counter
from http import HTTPStatus
from typing import Final

from bergamotshunt.backend.own_server import OwnServer, RunBegin
from bergamotshunt.backend.server_requests import (
    SMALL_BODY_BYTES,
    ServerRequests,
)
from bergamotshunt.backend.slot_turns import Refusal, RefusedError
from bergamotshunt.counts import Counts
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import (
    Response,
    ResponseLostError,
    ClientConnection,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header
from bergamotshunt.log import log_event
from bergamotshunt.peers.peer_calls import (
    RESULT_HEADER,
    SERVER_REFUSED,
    PeerCall,
    PeerResult,
    encode_result,
)
from bergamotshunt.platform.requests import (
    ServerSaid,
    client_headers,
    read_server_response,
)
from bergamotshunt.request_log import RequestLog
from bergamotshunt.verdicts import Verdict

MS_PER_S: Final = 1000
# The response of the server may take this much longer than its time.
OVERTIME_MS: Final = 150
MIN_LEFT_MS: Final = 5


class ServerRelay:
    """Runs requests of peers on the server, one connection each.

    Args:
        server: The server.
        requests: Connections to it.
        counts: Series of the task that runs the requests.
        log: Lines about requests.
    """

    def __init__(
        self,
        server: OwnServer,
        requests: ServerRequests,
        counts: Counts,
        log: RequestLog,
    ) -> None:
        """Create a relay without requests."""
        self._server = server
        self._requests = requests
        self._counts = counts
        self._log = log
        self._calls_by_run: dict[str, Counter[str]] = {}

    def note_call(self, run_id: str, service: str) -> None:
        """Count a call of a request that runs here."""
        calls = self._calls_by_run.get(run_id)
        if calls is not None:
            calls[service] += 1

    async def run(
        self,
        exchange: Exchange,
        call: PeerCall,
        deadline_ms: float,
    ) -> None:
        """Run a request that has a slot.

        Args:
            exchange: The request, and where its response goes.
            call: What its sender says of it.
            deadline_ms: Monotonic time at which the response is due.

        Raises:
            RefusedError: It did not run.
        """
        self._calls_by_run[call.request_id] = Counter()
        try:
            await self._run(exchange, call, deadline_ms)
        finally:
            self._calls_by_run.pop(call.request_id, None)

    def refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        """Answer that a request did not run."""
        self._counts.add('peer_requests_refused', reason=refusal.reason)
        outcome = PeerResult(
            Verdict.NOT_RUN,
            self._server.load(),
            refusal.reason,
            retry_after_ms=refusal.again_ms,
        )
        exchange.fail(HTTPStatus.SERVICE_UNAVAILABLE, _headers(outcome))

    async def _run(
        self,
        exchange: Exchange,
        call: PeerCall,
        deadline_ms: float,
    ) -> None:
        connection = await self._requests.connect()
        try:
            await self._exchange(connection, exchange, call, deadline_ms)
        except (ResponseLostError, IncompleteBodyError, TimeoutError) as error:
            connection.close()
            self._counts.add('server_answers_lost')
            log_event(
                'inbound:answer-lost',
                request_id=call.request_id,
                instance=call.instance,
                detail=repr(error),
            )
            load = self._server.load()
            outcome = PeerResult(Verdict.MAY_HAVE_RUN, load, 'answer-lost')
            exchange.fail(HTTPStatus.BAD_GATEWAY, _headers(outcome))
        except BaseException:
            connection.close()
            raise
        else:
            self._requests.release(connection)

    async def _exchange(
        self,
        connection: ClientConnection,
        exchange: Exchange,
        call: PeerCall,
        deadline_ms: float,
    ) -> None:
        self._server.check(call)
        begin = self._server.begin_run(call)
        left_ms = deadline_ms - begin.at_ms
        if left_ms < MIN_LEFT_MS:
            raise RefusedError(Refusal('expired'))
        async with timeout((left_ms + OVERTIME_MS) / MS_PER_S) as limit:
            response = await self._requests.send(
                connection,
                exchange,
                call,
                left_ms,
            )
            limit.reschedule(None)
            await self._relay(exchange, response, begin)
        self._log.note(
            'inbound:ran',
            failed=response.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR,
            request_id=call.request_id,
            instance=call.instance,
            status=response.head.status,
            left_ms=round(left_ms),
            took_ms=round(self._server.now_ms() - begin.at_ms),
            pace=self._server.gauge.pace,
        )

    async def _relay(
        self,
        exchange: Exchange,
        response: Response,
        begin: RunBegin,
    ) -> None:
        head = response.head
        said = read_server_response(head)
        if said.refused:
            await response.body.read_up_to(SMALL_BODY_BYTES)
            self.refuse(exchange, self._read_refusal(said))
            return
        result = self._end_run(begin, said)
        if head.status < HTTPStatus.MULTIPLE_CHOICES and not said.signed:
            raise ResponseLostError('a success without a signature')
        headers = client_headers(head) + _headers(result)
        exchange.start(head.status, headers, head.length)
        while piece := await response.body.read():
            exchange.write(piece)
            await exchange.drain()
        exchange.finish()

    def _end_run(self, begin: RunBegin, said: ServerSaid) -> PeerResult:
        calls = self._calls_by_run[begin.call.request_id]
        length = self._server.end_run(begin, said.pace, called=bool(calls))
        self._counts.observe('server', length.took_ms)
        return PeerResult(
            Verdict.RAN,
            self._server.load(),
            took_ms=length.took_ms,
            work_ms=length.work_ms,
            saturated=length.crowded,
            calls=tuple(calls.items()),
        )

    def _read_refusal(self, said: ServerSaid) -> Refusal:
        if said.misdirected:
            return Refusal('other-instance')
        return Refusal(SERVER_REFUSED, self._server.expected_ms())


def _headers(outcome: PeerResult) -> list[Header]:
    return [(RESULT_HEADER, encode_result(outcome))]
