"""Refusals of clients' requests before they are forwarded, with their logs."""

from http import HTTPStatus
from random import Random
from typing import Final

from bergamotshunt.decisions.authentication import KeyRefusal
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.ingress.forwarded_requests import ForwardedRequest
from bergamotshunt.ingress.quota_gate import QuotaRefusal
from bergamotshunt.ingress.refusals import (
    respond_over_quota,
    respond_unauthorized,
    respond_unavailable,
)
from bergamotshunt.platform.requests import ClientRequestInfo
from bergamotshunt.request_log import RequestLog
from bergamotshunt.routing import Route
from bergamotshunt.task_metrics import TaskMetrics

REASONS_BY_STATUS: Final = {
    HTTPStatus.BAD_REQUEST: 'no host or no request id',
    HTTPStatus.SERVICE_UNAVAILABLE: 'no configuration yet, or stopping',
    HTTPStatus.NOT_FOUND: 'no route',
}


class RequestRefusals:
    """Refuses requests, counts and logs them.

    Args:
        metrics: Metrics of the task that receives the requests.
        log: Its log of requests.
        rng: Random source of retry times.

    Attributes:
        version: Version of the configuration in force, for the log.
        retry_after_ms: Time after which a request may be sent again that
            came before a configuration or during a stop, in milliseconds.
    """

    def __init__(
        self, metrics: TaskMetrics, log: RequestLog, rng: Random
    ) -> None:
        """Create refusals of a daemon without a configuration."""
        self.version = 0
        self.retry_after_ms: float = 0
        self._metrics = metrics
        self._log = log
        self._rng = rng

    def reject(
        self, exchange: Exchange, info: ClientRequestInfo, status: HTTPStatus
    ) -> None:
        """Refuse a request that cannot be forwarded."""
        self._metrics.increment(
            'requests_turned_away', status=str(status.value)
        )
        self._log.write(
            'outbound:turned-away',
            failed=True,
            request_id=info.request_id,
            host=info.host,
            path=info.path,
            status=status.value,
            reason=REASONS_BY_STATUS[status],
            version=self.version,
        )
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            respond_unavailable(exchange, self.retry_after_ms, self._rng)
        else:
            exchange.respond(status, [])

    def refuse_key(
        self,
        exchange: Exchange,
        info: ClientRequestInfo,
        route: Route,
        refusal: KeyRefusal,
        confirmation_age_s: float | None,
    ) -> None:
        """Refuse a request for its API key."""
        self._metrics.increment('keys_refused', reason=refusal.reason.value)
        self._log.write(
            'outbound:key-refused',
            failed=True,
            request_id=info.request_id,
            route=route.name,
            status=refusal.status.value,
            reason=refusal.reason.value,
            version=self.version,
            confirmation_age_s=confirmation_age_s,
        )
        if refusal.status is HTTPStatus.UNAUTHORIZED:
            respond_unauthorized(exchange)
        else:
            respond_unavailable(exchange, refusal.retry_after_ms, self._rng)

    def refuse_over_quota(
        self, request: ForwardedRequest, refusal: QuotaRefusal
    ) -> None:
        """Refuse a request above the quota of its account.

        Without an answer of an owner of the quota, nobody knows whether it
        is above.
        """
        self._log.write(
            'outbound:quota-refused',
            failed=True,
            request_id=request.info.request_id,
            route=request.route.name,
            account=request.account.name if request.account else '',
            over_quota=refusal.is_over_quota,
            retry_after_ms=round(refusal.retry_after_ms),
            version=self.version,
        )
        if refusal.is_over_quota:
            respond_over_quota(request.exchange, refusal.retry_after_ms)
        else:
            respond_unavailable(
                request.exchange, refusal.retry_after_ms, self._rng
            )
