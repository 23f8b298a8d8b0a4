"""Responses of the administration API: documents, tags and problems."""

from http import HTTPStatus
from typing import Any, Final

from msgspec.json import encode
from starlette.responses import Response

from bergamotshunt.decisions.validation import FieldError
from bergamotshunt.operators.targets_codec import (
    change_to_document,
    service_to_document,
)
from bergamotshunt.operators.targets_messages import (
    SubmitFailure,
    SubmitFailureKind,
)
from bergamotshunt.peers.headers import RETRY_AFTER, VERDICT
from bergamotshunt.verdicts import CallFailure, Verdict, create_problem

ETAG_HEADER: Final = 'etag'
RETRY_AFTER_S: Final = '2'
STATUSES_BY_KIND: Final = {
    SubmitFailureKind.CONFLICT: HTTPStatus.PRECONDITION_FAILED,
    SubmitFailureKind.ABSENT: HTTPStatus.NOT_FOUND,
    SubmitFailureKind.REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    SubmitFailureKind.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    SubmitFailureKind.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


class MalformedEtagError(ValueError):
    """An If-Match header that names no revision."""


def format_etag(revision: int) -> str:
    """Write a revision as an entity tag."""
    return f'"{revision}"'


def parse_etag(text: str) -> int:
    """Read a revision from an If-Match header.

    Raises:
        MalformedTagError: It is not a single tag of this API.
    """
    digits = text.strip().removeprefix('"').removesuffix('"')
    if not digits.isdecimal() or text.strip() != f'"{digits}"':
        raise MalformedEtagError(text)
    return int(digits)


def create_document_response(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    revision: int | None = None,
) -> Response:
    """Answer with a JSON document, tagged with its revision."""
    headers = {} if revision is None else {ETAG_HEADER: format_etag(revision)}
    return Response(
        encode(document),
        int(status),
        headers,
        media_type='application/json',
    )


def create_problem_response(
    failure: CallFailure,
    request_id: str = '',
    **extensions: Any,
) -> Response:
    """Answer with a problem document of RFC 9457."""
    headers = {VERDICT: failure.verdict.value}
    if failure.status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers[RETRY_AFTER] = RETRY_AFTER_S
    return Response(
        encode({**create_problem(failure, request_id), **extensions}),
        int(failure.status),
        headers,
        media_type='application/problem+json',
    )


def create_errors_response(errors: tuple[FieldError, ...]) -> Response:
    """Answer with all errors of a document."""
    failure = CallFailure(
        Verdict.NOT_RUN,
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'invalid-targets',
        f'{len(errors)} fields are not allowed; nothing was changed',
    )
    error_documents = [error._asdict() for error in errors]
    return create_problem_response(failure, errors=error_documents)


def create_submit_failure_response(
    failure: SubmitFailure,
    submission_id: str,
    is_revision_missing: bool,
) -> Response:
    """Response to a submission that was not accepted.

    Args:
        failure: Why.
        submission_id: Identity of the submission, for a repeat.
        is_revision_missing: Whether the request had no If-Match header.
    """
    status = STATUSES_BY_KIND[failure.kind]
    detail = failure.detail
    if is_revision_missing and failure.kind is SubmitFailureKind.CONFLICT:
        status = HTTPStatus.PRECONDITION_REQUIRED
        detail = (
            'the service has targets already; state the revision that you '
            f'changed in an If-Match header ({detail})'
        )
    is_unknown = failure.kind is SubmitFailureKind.UNKNOWN
    verdict = Verdict.MAY_HAVE_RUN if is_unknown else Verdict.NOT_RUN
    winner = failure.winner
    current = failure.current
    return create_problem_response(
        CallFailure(verdict, status, failure.kind.value, detail),
        submission_id=submission_id,
        winner=None if winner is None else change_to_document(winner),
        current=None if current is None else service_to_document(current),
    )
