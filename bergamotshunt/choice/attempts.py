"""One attempt of a call: a request to one server, and its outcome."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.choice.latencies import AttemptEnd
from bergamotshunt.choice.response_reading import receive_response
from bergamotshunt.choice.service_views import ServiceView
from bergamotshunt.decisions.deadlines import (
    MIN_ATTEMPT_MS,
    attempt_timeout_ms,
)
from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.ingress.call_types import Attempt, CallResponse

# An attempt writes most headers of the protocol between daemons.
from bergamotshunt.peers.headers import (  # noqa: WPS235
    ATTEMPT,
    DEADLINE_MS,
    DEPTH,
    INTERNAL,
    LOAD,
    PROCESS_ID,
    REQUEST_ID,
    TARGET,
    parse_load,
)
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
)

# Statuses of a failing server. Other errors are caused by the caller or
# belong to the protocol of the service.
FAILED_STATUSES: Final = frozenset((500, 502, 503, 504))
# Reasons of refusals that show a failing server rather than load: the daemon
# beside it accepts no connection, or reports it as down.
FAILED_REASONS: Final = frozenset(('unreachable', 'server-down'))


class AttemptTracker:
    """Reports the progress of one attempt to a view; ends exactly once.

    Attributes:
        started_ms: Monotonic time of the start in milliseconds.
        report: Load report that came with the response, or None.
        is_open: Whether the end was not reported yet.
    """

    def __init__(
        self,
        view: ServiceView,
        attempt: Attempt,
        clock_ms: Callable[[], float],
    ) -> None:
        """Report the start of the attempt."""
        self.view = view
        self.attempt = attempt
        self.clock_ms = clock_ms
        self.started_ms = clock_ms()
        self.report: LoadReport | None = None
        self.is_open = True
        view.begin(attempt.member.daemon_id, self.started_ms)

    def end(self, failed: bool = False, refused: bool = False) -> None:
        """Report the end, unless it was reported before."""
        if not self.is_open:
            return
        self.is_open = False
        now_ms = self.clock_ms()
        self.view.finish(
            self.attempt.member.daemon_id,
            AttemptEnd(
                self.attempt.head.target.name,
                now_ms - self.started_ms,
                failed,
                refused,
                self.report,
            ),
            now_ms,
            self.attempt.is_trial,
        )

    def end_with(self, outcome: Result[CallResponse, CallFailure]) -> None:
        """Report the end with its outcome.

        A response that is still streaming does not end the attempt.
        """
        match outcome:
            case Success(response):
                if response.rest is None:
                    self.end(failed=response.status in FAILED_STATUSES)
            case Failure(failure):
                refused = failure.verdict is not Verdict.MAY_HAVE_RUN
                broken = failure.reason in FAILED_REASONS
                self.end(
                    failed=broken or not refused,
                    refused=refused and not broken,
                )

    def end_stream(self, is_complete: bool | None) -> None:
        """Report the end of a streamed response.

        Args:
            is_complete: Whether it arrived completely; None when it was given
                up. See ``ResponseStream``.
        """
        if is_complete is None:
            self.cancel()
        else:
            self.end(failed=not is_complete)

    def cancel(self) -> None:
        """Report that the attempt was given up."""
        if self.is_open:
            self.is_open = False
            self.view.cancel(
                self.attempt.member.daemon_id,
                self.started_ms,
                self.clock_ms(),
                self.attempt.head.target.name,
                self.attempt.is_trial,
            )


class AttemptRunner:
    """Runs attempts over one set of connections.

    Args:
        http_client: HTTP client with the connections to daemons.
        clock_ms: Monotonic time in milliseconds.
        body_buffer_bytes: Response bodies above this size are streamed.
    """

    def __init__(
        self,
        http_client: HttpClient,
        clock_ms: Callable[[], float],
        body_buffer_bytes: int,
    ) -> None:
        """Create a runner."""
        self.http_client = http_client
        self.clock_ms = clock_ms
        self.body_buffer_bytes = body_buffer_bytes

    async def run(
        self, view: ServiceView, attempt: Attempt
    ) -> Result[CallResponse, CallFailure]:
        """Send one attempt.

        Args:
            view: Servers of the called service; it records the attempt.
            attempt: The request and the daemon that receives it.

        Returns:
            The response to this request, complete or streaming, or a
            failure with the verdict on this attempt.
        """
        tracker = AttemptTracker(view, attempt, self.clock_ms)
        timeout_ms = attempt_timeout_ms(
            attempt.head.deadline_ms, tracker.started_ms
        )
        if timeout_ms is None:
            tracker.cancel()
            return Failure(create_late_refusal())
        try:
            outcome = await self._exchange(tracker, attempt, timeout_ms)
        except BaseException:
            tracker.cancel()
            raise
        tracker.end_with(outcome)
        return outcome

    async def _exchange(
        self, tracker: AttemptTracker, attempt: Attempt, timeout_ms: float
    ) -> Result[CallResponse, CallFailure]:
        opened = await self.http_client.open(
            create_request(attempt, timeout_ms)
        )
        if isinstance(opened, Failure):
            return Failure(opened.failure())
        exchange = opened.unwrap()
        tracker.report = parse_load(exchange.header(LOAD) or '')
        received = await receive_response(
            exchange,
            attempt.head.request_id,
            self.body_buffer_bytes,
            tracker.end_stream,
        )
        return received.map(
            lambda response: response._replace(
                daemon_id=attempt.member.daemon_id
            )
        )


def create_request(attempt: Attempt, timeout_ms: float) -> HttpRequest:
    """Build the HTTP request of an attempt.

    Args:
        attempt: The attempt.
        timeout_ms: Time until the deadline of the call in milliseconds.
    """
    head = attempt.head
    member = attempt.member
    headers = [
        *head.headers,
        (REQUEST_ID, head.request_id),
        (DEADLINE_MS, str(int(timeout_ms))),
        (TARGET, head.target.name),
        # A server copies the depth unchanged into its own calls, so the
        # depth of those calls is sent.
        (DEPTH, str(head.depth + 1)),
        (ATTEMPT, str(attempt.number)),
        *attempt.booking_headers,
    ]
    if member.process_id:
        headers.append((PROCESS_ID, str(member.process_id)))
    if head.internal:
        headers.append((INTERNAL, '1'))
    host = f'[{member.ip}]' if ':' in member.ip else member.ip
    return HttpRequest(
        head.method,
        f'http://{host}:{member.peers_port}{head.path}',
        headers,
        attempt.body.stream or attempt.body.buffered,
        timeout_ms,
    )


def create_late_refusal() -> CallFailure:
    """Build the refusal of an attempt that has no time left."""
    return create_refusal(
        'deadline',
        f'less than {MIN_ATTEMPT_MS} ms are left to send the request',
        HTTPStatus.GATEWAY_TIMEOUT,
    )
