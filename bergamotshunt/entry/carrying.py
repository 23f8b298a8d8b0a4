"""Answers clients' requests with what backend servers answered."""

from asyncio import timeout_at
from http import HTTPStatus
from typing import Final

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.peer_attempts import Outcome
from bergamotshunt.entry.carried_requests import MS_PER_S, CarriedRequest
from bergamotshunt.entry.journeys import Journey
from bergamotshunt.http.bodies import BodyCutError
from bergamotshunt.http.heads import Header
from bergamotshunt.log import log_event
from bergamotshunt.platform.requests import client_headers
from bergamotshunt.verdicts import Verdict

MIN_RETRY_MS: Final = 50.0


class Carrier:
    """Carries requests to servers and delivers the responses.

    Args:
        dispatcher: Sends requests to servers.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Create a carrier."""
        self._dispatcher = dispatcher

    async def carry(self, request: CarriedRequest) -> None:
        """Answer a client's request."""
        journey = Journey(self._dispatcher, request)
        try:
            async with timeout_at(request.deadline_s):
                outcome = await journey.run()
        except TimeoutError:
            journey.log.failed('timeout', may_have_run=journey.may_have_run)
            self._respond_to_timeout(request, journey)
            return
        except BodyCutError:
            return
        if outcome.response is None:
            journey.log.failed(
                outcome.reason,
                may_have_run=journey.may_have_run,
            )
            self._respond_to_failure(request, outcome)
        else:
            journey.log.answered(outcome)
            await self._deliver(request, outcome)

    def _respond_to_timeout(
        self,
        request: CarriedRequest,
        journey: 'Journey',
    ) -> None:
        if request.exchange.started:
            request.exchange.abort()
        elif journey.may_have_run:
            request.exchange.respond(HTTPStatus.GATEWAY_TIMEOUT, [])
        else:
            self._respond_to_refusal(request, MIN_RETRY_MS)

    def _respond_to_failure(
        self,
        request: CarriedRequest,
        outcome: Outcome,
    ) -> None:
        if outcome.verdict is Verdict.NOT_RUN:
            self._respond_to_refusal(request, outcome.again_ms)
        else:
            request.exchange.respond(HTTPStatus.BAD_GATEWAY, [])

    def _respond_to_refusal(
        self,
        request: CarriedRequest,
        again_ms: float,
    ) -> None:
        # Spread over as much again, so that refused clients do not return
        # at the same moment.
        wait_ms = max(again_ms, MIN_RETRY_MS) * self._dispatcher.rng.uniform(
            1, 2
        )
        headers: list[Header] = [
            (b'Retry-After', b'%.3f' % (wait_ms / MS_PER_S)),
        ]
        request.exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, headers)

    async def _deliver(
        self,
        request: CarriedRequest,
        outcome: Outcome,
    ) -> None:
        exchange, response = request.exchange, outcome.response
        if response is None:
            return
        headers = client_headers(response.head)
        if outcome.whole:
            exchange.respond(response.head.status, headers, outcome.content)
            return
        try:
            exchange.start(response.head.status, headers, response.head.length)
            exchange.write(outcome.content)
            while piece := await response.body.read():
                exchange.write(piece)
                await exchange.drain()
            exchange.finish()
        except BodyCutError:
            log_event(
                'carrier:answer-cut',
                request_id=request.call.request_id,
                service=request.service,
            )
            exchange.abort()
        finally:
            if outcome.connection is not None:
                outcome.connection.close()
