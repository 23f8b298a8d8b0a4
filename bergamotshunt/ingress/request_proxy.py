"""Forwards clients' requests to servers and sends the responses back."""

from asyncio import Timeout, get_running_loop, timeout_at
from functools import partial
from http import HTTPStatus
from typing import Final

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.peer_attempts import AttemptOutcome
from bergamotshunt.http.bodies import Body, IncompleteBodyError
from bergamotshunt.http.connection_ends import CloseReason
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.ingress.forwarded_requests import ForwardedRequest
from bergamotshunt.ingress.refusals import (
    MIN_RETRY_AFTER_MS,
    respond_unavailable,
)
from bergamotshunt.ingress.request_forwarder import RequestForwarder
from bergamotshunt.log import log_event
from bergamotshunt.platform.requests import client_headers
from bergamotshunt.verdicts import Verdict

# Time for the last responses of servers when the drain of the daemon is over;
# the kernel reserves twice as much.
LAST_RESPONSES_S: Final = 0.1


class RequestProxy:
    """Forwards requests to servers and returns their responses to clients.

    Args:
        dispatcher: Chooses servers and sends requests to them.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Create a proxy."""
        self._dispatcher = dispatcher
        self._timeouts_by_forwarder: dict[RequestForwarder, Timeout] = {}

    def end_requests(self) -> None:
        """Respond to the requests that are left: the daemon is about to end.

        Requests that no server may have got are refused as not run at once.
        """
        self._dispatcher.stopping = True
        now_s = get_running_loop().time()
        for forwarder, limit in self._timeouts_by_forwarder.items():
            wait_s = LAST_RESPONSES_S if forwarder.may_have_run else 0
            limit.reschedule(min(limit.when() or now_s, now_s + wait_s))

    async def forward(self, request: ForwardedRequest) -> bool:
        """Forward a request and respond to its client.

        Returns:
            Whether a server may have run it.
        """
        forwarder = RequestForwarder(self._dispatcher, request)
        try:
            async with timeout_at(request.deadline_s) as limit:
                self._timeouts_by_forwarder[forwarder] = limit
                outcome = await forwarder.run()
        except TimeoutError:
            forwarder.log.log_failure(
                'stopping' if self._dispatcher.stopping else 'timeout',
                may_have_run=forwarder.may_have_run,
            )
            self._respond_to_timeout(request, forwarder)
            return forwarder.may_have_run
        except IncompleteBodyError:
            # The client's connection ended before its request was complete.
            return forwarder.may_have_run
        finally:
            self._timeouts_by_forwarder.pop(forwarder, None)
        if outcome.response is None:
            forwarder.log.log_failure(
                outcome.reason,
                may_have_run=forwarder.may_have_run,
            )
            self._respond_to_failure(request, outcome)
        else:
            forwarder.log.log_response(outcome)
            await self._deliver(request, outcome)
        return forwarder.may_have_run or outcome.verdict is not Verdict.NOT_RUN

    def _respond_to_timeout(
        self,
        request: ForwardedRequest,
        forwarder: 'RequestForwarder',
    ) -> None:
        if forwarder.may_have_run:
            request.exchange.respond(HTTPStatus.GATEWAY_TIMEOUT, [])
        else:
            respond_unavailable(
                request.exchange, MIN_RETRY_AFTER_MS, self._dispatcher.rng
            )

    def _respond_to_failure(
        self,
        request: ForwardedRequest,
        outcome: AttemptOutcome,
    ) -> None:
        if outcome.verdict is Verdict.NOT_RUN:
            respond_unavailable(
                request.exchange, outcome.retry_after_ms, self._dispatcher.rng
            )
        else:
            request.exchange.respond(HTTPStatus.BAD_GATEWAY, [])

    async def _deliver(
        self,
        request: ForwardedRequest,
        outcome: AttemptOutcome,
    ) -> None:
        exchange, response = request.exchange, outcome.response
        if response is None:
            return
        headers = client_headers(response.head)
        if outcome.is_complete:
            exchange.respond(response.head.status, headers, outcome.content)
            return
        try:
            async with timeout_at(request.deadline_s) as limit:
                exchange.on_sending = partial(_remove_limit, limit)
                exchange.start(
                    response.head.status, headers, response.head.length
                )
                await _relay(exchange, outcome.content, response.body)
        except TimeoutError:
            _break_off(request, CloseReason.TIMEOUT, HTTPStatus.GATEWAY_TIMEOUT)
        except IncompleteBodyError:
            _break_off(
                request, CloseReason.RESPONSE_CUT, HTTPStatus.BAD_GATEWAY
            )
        finally:
            if outcome.connection is not None:
                outcome.connection.close()


def _break_off(
    request: ForwardedRequest, reason: CloseReason, status: HTTPStatus
) -> None:
    exchange = request.exchange
    log_event(
        'carrier:answer-cut',
        request_id=request.info.request_id,
        service=request.service,
        reason=reason.value,
        sending=exchange.sending,
    )
    exchange.break_off(reason, status)


async def _relay(exchange: Exchange, content: bytes, rest: Body) -> None:
    """Send the body of a response as it arrives.

    Raises:
        IncompleteBodyError: It broke off.
    """
    try:
        exchange.write(content)
        while chunk := await rest.read():
            exchange.write(chunk)
            await exchange.drain()
    finally:
        exchange.on_sending = None
    exchange.finish()


def _remove_limit(limit: Timeout) -> None:
    """Let a response that has begun in time take longer."""
    if not limit.expired():
        limit.reschedule(None)
