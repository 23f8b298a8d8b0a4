"""Fallback of the client library: calls through a daemon's callers port."""

from collections.abc import Callable

from returns.result import Failure, Success

from bergamotshunt.choice.attempts import create_late_refusal
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.choice.idempotent_calls import Outcome
from bergamotshunt.choice.response_reading import receive_response
from bergamotshunt.decisions.deadlines import attempt_timeout_ms
from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.peers.headers import DEADLINE_MS, DEPTH, INTERNAL, REQUEST_ID
from bergamotshunt.verdicts import Verdict, create_refusal


class CallersPortFallback:
    """Sends calls through the callers ports of known daemons.

    Args:
        http_client: HTTP client with its connections.
        callers_ports: ``IP:port`` of each, in the order of use.
        clock_ms: Monotonic time in milliseconds.
        body_buffer_bytes: Response bodies above this size are streamed.
    """

    def __init__(
        self,
        http_client: HttpClient,
        callers_ports: tuple[str, ...],
        clock_ms: Callable[[], float],
        body_buffer_bytes: int,
    ) -> None:
        """Create the fallback without connections."""
        self.http_client = http_client
        self.callers_ports = callers_ports
        self.clock_ms = clock_ms
        self.body_buffer_bytes = body_buffer_bytes

    async def call(self, head: CallHead, body: bytes, refusal: str) -> Outcome:
        """Send a call to one port after another until one may have run it.

        Args:
            head: The call.
            body: Its whole body.
            refusal: Why the call cannot be sent to a server directly, or
                empty when only a daemon can claim its booking key.

        Returns:
            The response, or the failure of the last port that was used.
        """
        detail = refusal or 'only a daemon can claim the booking key'
        outcome: Outcome = Failure(
            create_refusal(
                'no-callers-port', f'{detail}; no callers port is known'
            )
        )
        for callers_port in self.callers_ports:
            outcome = await self._send(callers_port, head, body)
            if isinstance(outcome, Success):
                break
            if outcome.failure().verdict is not Verdict.NOT_RUN:
                break
        return outcome

    async def _send(
        self, callers_port: str, head: CallHead, body: bytes
    ) -> Outcome:
        timeout_ms = attempt_timeout_ms(head.deadline_ms, self.clock_ms())
        if timeout_ms is None:
            return Failure(create_late_refusal())
        headers = [
            *head.headers,
            (REQUEST_ID, head.request_id),
            (DEADLINE_MS, str(int(timeout_ms))),
            (DEPTH, str(head.depth)),
            (INTERNAL, str(int(head.internal))),
        ]
        opened = await self.http_client.open(
            HttpRequest(
                head.method,
                f'http://{callers_port}/{head.service}{head.path}',
                headers,
                body,
                timeout_ms,
            )
        )
        if isinstance(opened, Failure):
            return Failure(opened.failure())
        return await receive_response(
            opened.unwrap(), head.request_id, self.body_buffer_bytes, ignore_end
        )


def ignore_end(_is_complete: bool | None) -> None:
    """Ignore the end of a streamed response: the fallback has no metrics."""
