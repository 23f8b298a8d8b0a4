"""Verdicts on whether a request was executed, and failure responses."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple, TypedDict


class Verdict(StrEnum):
    """Whether a backend server executed a request.

    Attributes:
        NOT_RUN: It was certainly not executed, so it may be sent again.
        MAY_HAVE_RUN: It is unknown whether it was executed.
        RAN: It was executed.
    """

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class IncompleteResponseError(ConnectionError):
    """The connection closed before a streamed response was complete."""


class CallFailure(NamedTuple):
    """A call that ended without a response of a backend server.

    Attributes:
        verdict: Whether the request may have been executed.
        status: HTTP status of the response to the caller.
        reason: Short stable code for logs and metrics, such as ``queue-full``.
        detail: One sentence for the caller.
        retry_after_ms: Time after which the caller may try again; 0 when
            not stated.
        successor: Process (``<daemon id>.<process id>``) that took over the
            booking key, or empty.
    """

    verdict: Verdict
    status: HTTPStatus
    reason: str
    detail: str
    retry_after_ms: int = 0
    successor: str = ''


class ProblemDocument(TypedDict):
    """Problem details of RFC 9457.

    ``verdict`` and ``request_id`` are extension members.
    """

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    request_id: str


def create_problem(failure: CallFailure, request_id: str) -> ProblemDocument:
    """Build the problem document that reports a failure to the caller."""
    return ProblemDocument(
        type=f'urn:bergamotshunt:problem:{failure.reason}',
        title=failure.status.phrase,
        status=int(failure.status),
        detail=failure.detail,
        verdict=failure.verdict.value,
        request_id=request_id,
    )


def create_refusal(
    reason: str,
    detail: str,
    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
    retry_after_ms: int = 0,
) -> CallFailure:
    """Build a failure for a request that was not executed."""
    return CallFailure(
        verdict=Verdict.NOT_RUN,
        status=status,
        reason=reason,
        detail=detail,
        retry_after_ms=retry_after_ms,
    )


def create_unknown_outcome(
    reason: str,
    detail: str,
    status: HTTPStatus = HTTPStatus.BAD_GATEWAY,
) -> CallFailure:
    """Build a failure for a request that may have been executed."""
    return CallFailure(
        verdict=Verdict.MAY_HAVE_RUN,
        status=status,
        reason=reason,
        detail=detail,
    )
