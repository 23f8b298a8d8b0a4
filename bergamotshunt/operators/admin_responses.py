"""Responses of the administration API: JSON, ETags and problems."""

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
MAX_ETAG_DIGITS: Final = 16
RETRY_AFTER_S: Final = '2'
STATUS_BY_KIND: Final = {
    SubmitFailureKind.CONFLICT: HTTPStatus.PRECONDITION_FAILED,
    SubmitFailureKind.ABSENT: HTTPStatus.NOT_FOUND,
    SubmitFailureKind.REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    SubmitFailureKind.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    SubmitFailureKind.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}


class MalformedEtagError(ValueError):
    """An If-Match header does not hold the entity tag of a revision."""


def format_etag(revision: int) -> str:
    """Format a revision as an entity tag."""
    return f'"{revision}"'


def parse_etag(text: str) -> int:
    """Parse the revision in an If-Match header.

    Raises:
        MalformedEtagError: It is not a single strong tag of a revision.
    """
    digits = text.strip().removeprefix('"').removesuffix('"')
    is_number = digits.isdecimal() and len(digits) <= MAX_ETAG_DIGITS
    if not is_number or text.strip() != f'"{digits}"':
        raise MalformedEtagError(
            f'If-Match is {text!r}, expected one revision such as "12"',
        )
    return int(digits)


def create_document_response(
    document: Any,
    status: HTTPStatus = HTTPStatus.OK,
    revision: int | None = None,
) -> Response:
    """Create a response with a JSON document.

    Args:
        document: Document to encode.
        status: HTTP status.
        revision: Revision for the ETag header; None for no header.
    """
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
    """Create a response with a problem document (RFC 9457).

    Args:
        failure: What failed.
        request_id: Request that failed, if it has an id.
        extensions: Further members of the document.
    """
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
    """Create a response that lists all errors of a targets document."""
    failure = CallFailure(
        Verdict.NOT_RUN,
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'invalid-targets',
        f'{len(errors)} fields are invalid; nothing was changed',
    )
    error_documents = [error._asdict() for error in errors]
    return create_problem_response(failure, errors=error_documents)


def create_submit_failure_response(
    failure: SubmitFailure,
    submission_id: str,
    is_revision_missing: bool,
) -> Response:
    """Create the response to a submission that was not accepted.

    Args:
        failure: Why it was not accepted.
        submission_id: Submission id to send with a repeat.
        is_revision_missing: Whether the request had no If-Match header.
    """
    status = STATUS_BY_KIND[failure.kind]
    detail = failure.detail
    if is_revision_missing and failure.kind is SubmitFailureKind.CONFLICT:
        status = HTTPStatus.PRECONDITION_REQUIRED
        detail = (
            'the service already has targets; state the revision that the '
            f'change is based on in an If-Match header ({detail})'
        )
    is_unknown = failure.kind is SubmitFailureKind.UNKNOWN
    verdict = Verdict.MAY_HAVE_RUN if is_unknown else Verdict.NOT_RUN
    conflicting_change = failure.conflicting_change
    current = failure.current
    return create_problem_response(
        CallFailure(verdict, status, failure.kind.value, detail),
        submission_id=submission_id,
        winner=None
        if conflicting_change is None
        else change_to_document(conflicting_change),
        current=None if current is None else service_to_document(current),
    )
