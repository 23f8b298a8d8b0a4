"""Reads and checks responses of other daemons."""

from base64 import b64encode
from collections.abc import Callable
from hashlib import sha256
from http import HTTPStatus
from typing import Final

from msgspec import DecodeError
from msgspec.json import decode
from returns.result import Failure, Result, Success

from bergamotshunt.http.transport import OpenResponse, drop_hop_by_hop_raw
from bergamotshunt.ingress.call_types import CallResponse, ResponseStream
from bergamotshunt.peers.headers import (
    CONTENT_DIGEST,
    LOAD,
    REQUEST_ID,
    RETRY_AFTER,
    SUCCESSOR,
    VERDICT,
)
from bergamotshunt.verdicts import (
    CallFailure,
    ProblemDocument,
    Verdict,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
MAX_PROBLEM_BYTES: Final = 65_536
MAX_RETRY_AFTER_DIGITS: Final = 6
REASON_PREFIX: Final = 'urn:bergamotshunt:problem:'
FAILURE_STATUSES: Final = frozenset(
    status.value for status in HTTPStatus if status >= HTTPStatus.BAD_REQUEST
)
FAILURE_VERDICTS: Final = frozenset(
    (Verdict.NOT_RUN.value, Verdict.MAY_HAVE_RUN.value)
)
# Headers that are removed before the response is passed on. Load and
# successor are meant for the sender; the digest has been checked and may not
# match after a proxy on the way has changed the body.
REMOVED_HEADERS: Final = frozenset(
    name.encode() for name in (LOAD, SUCCESSOR, CONTENT_DIGEST)
)


async def receive_response(
    exchange: OpenResponse,
    request_id: str,
    max_bytes: int,
    on_end: Callable[[bool | None], None],
) -> Result[CallResponse, CallFailure]:
    """Read a response; close its exchange unless the rest is streamed.

    Args:
        exchange: Exchange in which the head of the response has arrived.
        request_id: Request id that the response must contain.
        max_bytes: Size up to which the whole body is read.
        on_end: Called at the end of a streamed response; see
            ``ResponseStream``.

    Returns:
        The response, or a failure with its verdict.
    """
    is_streaming = False
    try:
        outcome = await read_response(exchange, request_id, max_bytes)
        is_streaming = (
            isinstance(outcome, Success) and not exchange.is_complete()
        )
    finally:
        if not is_streaming:
            exchange.abort()
    if not is_streaming:
        return outcome
    return outcome.map(
        lambda response: response._replace(
            rest=ResponseStream(exchange, on_end)
        )
    )


async def read_response(
    exchange: OpenResponse, request_id: str, max_bytes: int
) -> Result[CallResponse, CallFailure]:
    """Read a response whose head has arrived.

    Returns:
        The response, with only the start of its body when that is larger
        than ``max_bytes``, or a failure.
    """
    if exchange.header(REQUEST_ID) != request_id:
        exchange.discard()
        # The id in the response is not stated: it may be that of a request of
        # another caller.
        return create_lost_response(
            'foreign-answer',
            f'the response does not have the request id {request_id!r}',
        )
    if not exchange.has_detectable_end:
        return create_lost_response(
            'open-ended-answer',
            'the response has neither Content-Length nor chunked encoding, '
            'so a truncated body would go unnoticed',
        )
    verdict = exchange.header(VERDICT)
    if verdict == Verdict.RAN.value:
        received = await exchange.read(max_bytes)
        return received.bind(lambda body: check_body(exchange, body))
    return Failure(await read_failure(exchange, verdict))


def check_body(
    exchange: OpenResponse, body: bytes
) -> Result[CallResponse, CallFailure]:
    """Check a body against its digest and build the response."""
    if exchange.is_complete() and has_wrong_digest(exchange, body):
        return create_lost_response(
            'damaged-answer',
            f'the body of {len(body)} bytes does not match the SHA-256 digest '
            'in the headers of the response',
        )
    headers = [
        pair
        for pair in drop_hop_by_hop_raw(exchange.raw_headers)
        if pair[0] not in REMOVED_HEADERS
    ]
    return Success(
        CallResponse(exchange.status, headers, body, length=exchange.length())
    )


def create_lost_response(reason: str, detail: str) -> Failure[CallFailure]:
    """Build the failure for a lost response: the request may have run."""
    return Failure(create_unknown_outcome(reason, detail))


async def read_failure(
    exchange: OpenResponse, verdict: str | None
) -> CallFailure:
    """Read a refusal or failure that another daemon sent."""
    received = await exchange.read(MAX_PROBLEM_BYTES)
    reason, detail = parse_problem(received.value_or(b''))
    if verdict not in FAILURE_VERDICTS:
        return create_unknown_outcome(
            'foreign-answer',
            f'the response has the verdict {verdict!r}, '
            f'expected one of {", ".join(Verdict)}',
        )
    retry_after = exchange.header(RETRY_AFTER) or ''
    return CallFailure(
        Verdict(verdict),
        parse_status(exchange.status),
        reason,
        detail,
        int(retry_after) * MS_PER_S if is_short_number(retry_after) else 0,
        exchange.header(SUCCESSOR) or '',
    )


def parse_problem(body: bytes) -> tuple[str, str]:
    """Return the reason and the detail of a problem document."""
    try:
        problem = decode(body, type=ProblemDocument)
    except DecodeError:
        return 'refused', 'the server refused without a valid problem document'
    return problem['type'].removeprefix(REASON_PREFIX), problem['detail']


def parse_status(status: int) -> HTTPStatus:
    """Return the status of a failure; 502 unless it is a known 4xx or 5xx."""
    if status in FAILURE_STATUSES:
        return HTTPStatus(status)
    return HTTPStatus.BAD_GATEWAY


def is_short_number(text: str) -> bool:
    """Return whether a text is a decimal number of up to 6 digits."""
    return (
        len(text) <= MAX_RETRY_AFTER_DIGITS
        and text.isascii()
        and text.isdecimal()
    )


def has_wrong_digest(exchange: OpenResponse, body: bytes) -> bool:
    """Return whether a body differs from the SHA-256 digest in its headers.

    A missing digest or one of another algorithm is not checked.
    """
    stated = exchange.header(CONTENT_DIGEST)
    if stated is None or exchange.method == 'HEAD':
        return False
    prefix, _, encoded = stated.partition(':')
    if prefix != 'sha-256=':
        return False
    return encoded.rstrip(':') != b64encode(sha256(body).digest()).decode()
