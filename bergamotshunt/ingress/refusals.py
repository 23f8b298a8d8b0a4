"""Refusals of requests that did not run."""

from http import HTTPStatus
from random import Random
from typing import Final

from bergamotshunt.http.exchanges import Exchange

MS_PER_S: Final = 1000
MIN_RETRY_AFTER_MS: Final = 50.0


def respond_unavailable(
    exchange: Exchange, retry_after_ms: float, rng: Random
) -> None:
    """Respond that a request did not run, and when to send it again.

    Args:
        exchange: The request; no part of its response was sent.
        retry_after_ms: Time until it can be served, in milliseconds.
        rng: Random source. A random factor from 1 to 2 keeps refused clients
            from returning at the same moment.
    """
    wait_ms = max(retry_after_ms, MIN_RETRY_AFTER_MS) * rng.uniform(1, 2)
    exchange.respond(
        HTTPStatus.SERVICE_UNAVAILABLE,
        [(b'Retry-After', b'%.3f' % (wait_ms / MS_PER_S))],
    )


def respond_over_quota(exchange: Exchange, retry_after_ms: float) -> None:
    """Respond that a request did not run, as its account is over its quota.

    Args:
        exchange: The request; no part of its response was sent.
        retry_after_ms: Time until the quota has room, in milliseconds;
            different for requests that are refused together.
    """
    wait_ms = max(retry_after_ms, MIN_RETRY_AFTER_MS)
    exchange.respond(
        HTTPStatus.TOO_MANY_REQUESTS,
        [(b'Retry-After', b'%.3f' % (wait_ms / MS_PER_S))],
    )


def respond_unauthorized(exchange: Exchange) -> None:
    """Respond that a request did not run, as its API key is not valid."""
    exchange.respond(
        HTTPStatus.UNAUTHORIZED, [(b'WWW-Authenticate', b'Bearer')]
    )
