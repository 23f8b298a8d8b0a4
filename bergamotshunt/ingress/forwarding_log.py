"""Log lines and metrics of one request, with the inputs of its choices."""

from asyncio import get_running_loop

from bergamotshunt.choice.dispatching import Dispatcher
from bergamotshunt.choice.peer_attempts import AttemptOutcome
from bergamotshunt.decisions.server_choice import Choice
from bergamotshunt.ingress.forwarded_requests import MS_PER_S, ForwardedRequest
from bergamotshunt.log import log_event


class ForwardingLog:
    """Logs and counts the attempts and the outcome of a request.

    Args:
        dispatcher: Sends the request; it owns the log and the metrics.
        request: The request.
    """

    def __init__(
        self, dispatcher: Dispatcher, request: ForwardedRequest
    ) -> None:
        """Create a log without choices."""
        self._dispatcher = dispatcher
        self._request = request
        self._choices: list[dict[str, object]] = []

    def record_attempt(self, choice: Choice) -> None:
        """Count an attempt, and keep its choice for the outcome's log line."""
        self._dispatcher.metrics.increment('attempts')
        self._choices.append(self.describe(choice))

    def describe(self, choice: Choice) -> dict[str, object]:
        """Return the inputs of the choice of a server, as log fields."""
        record = self._dispatcher.server_record(choice.instance)
        view = record.view(get_running_loop().time())
        return {
            'instance': choice.instance,
            'expected_ms': round(choice.estimate.total_ms),
            'wait_ms': round(choice.estimate.wait_ms),
            'running': view.load.running,
            'limit': view.load.limit,
            'waiting': view.load.waiting,
            'unseen': view.unseen,
            'pace': view.load.pace,
            'hold_ms': view.load.outlook.phase_left_ms,
            'age_ms': round(view.age_ms),
            'fault_share': round(view.fault_share, 2),
        }

    def log_hedge(self, choice: Choice) -> None:
        """Log a hedged attempt: the request goes to one more server."""
        request = self._request
        log_event(
            'carrier:moved',
            request_id=request.info.request_id,
            service=request.service,
            to_instance=choice.instance,
            expected_ms=round(choice.estimate.total_ms),
            goal_ms=round(request.objective_left_ms()),
        )

    def log_response(self, outcome: AttemptOutcome) -> None:
        """Log and count the response of a server."""
        request = self._request
        took_s = get_running_loop().time() - request.exchange.arrived_s
        kind = request.route.kind.value
        metrics = self._dispatcher.metrics
        metrics.increment(
            'requests_failed_by_server'
            if outcome.failed
            else 'requests_answered',
            kind=kind,
        )
        metrics.observe('request', took_s * MS_PER_S, kind=kind)
        self._dispatcher.log.write(
            'carrier:answered',
            failed=outcome.failed,
            request_id=request.info.request_id,
            service=request.service,
            route=request.route.name,
            status=outcome.response.head.status if outcome.response else 0,
            took_ms=round(took_s * MS_PER_S),
            server_ms=round(outcome.result.took_ms) if outcome.result else 0,
            choices=self._choices,
        )

    def log_failure(self, reason: str, *, may_have_run: bool) -> None:
        """Log and count a request without a response of a server.

        Args:
            reason: Why there is no response: a code, which details may
                follow behind a colon.
            may_have_run: Whether a server may have run the request.
        """
        request = self._request
        self._dispatcher.metrics.increment(
            'requests_without_answer',
            kind=request.route.kind.value,
            reason=reason.partition(':')[0],
        )
        self._dispatcher.log.write(
            'carrier:failed',
            failed=True,
            request_id=request.info.request_id,
            service=request.service,
            route=request.route.name,
            reason=reason,
            may_have_run=may_have_run,
            choices=self._choices,
            left_ms=round(request.left_ms()),
        )
