"""Verdicts: whether a request may have run, and how a failure is told."""

from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple, TypedDict


class Verdict(StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class CutShortError(ConnectionError):
    """A streamed response ended before it was whole."""


class CallFailure(NamedTuple):
    """A call that ended without the response of a backend server.

    Attributes:
        verdict: Whether the request may have run.
        status: HTTP status to give to the caller.
        reason: Short stable word for logs and metrics, such as ``shed``.
        detail: One sentence for the caller.
        retry_after_ms: When the sender may come back; 0 when not stated.
        successor: Process (`<daemon id>.<process id>`) that took over the
            booking key, or empty.
    """

    verdict: Verdict
    status: HTTPStatus
    reason: str
    detail: str
    retry_after_ms: int = 0
    successor: str = ''


class ProblemDocument(TypedDict):
    """Problem details of RFC 9457 with the verdict as an extension."""

    type: str
    title: str
    status: int
    detail: str
    verdict: str
    request_id: str


def create_problem(failure: CallFailure, request_id: str) -> ProblemDocument:
    """Build the problem document for ``failure``."""
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
    """Build a failure for a request that did not run."""
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
    """Build a failure for a request that may have run."""
    return CallFailure(
        verdict=Verdict.MAY_HAVE_RUN,
        status=status,
        reason=reason,
        detail=detail,
    )
