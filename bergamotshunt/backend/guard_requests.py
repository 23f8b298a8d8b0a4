"""Requests that arrive at the peers port, as the guard reads them."""

from http import HTTPStatus
from math import isfinite
from typing import Any, Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import HeaderItems
from bergamotshunt.decisions.matching import match_target
from bergamotshunt.decisions.queueing import SlotRequest
from bergamotshunt.decisions.tickets import (
    ProcessName,
    is_ticket_form,
    parse_chain,
    parse_ticket,
)
from bergamotshunt.http.transport import end_to_end
from bergamotshunt.messages import Ticket
from bergamotshunt.operators.targets import ServiceTargets, Target
from bergamotshunt.peers.headers import (
    BOOKING_KEY,
    DEADLINE_MS,
    DEPTH,
    HANDOVER,
    INTERNAL,
    REQUEST_ID,
    TARGET,
    TICKET,
)
from bergamotshunt.verdicts import (
    CallFailure,
    create_refusal,
    create_unknown_outcome,
)

MAX_DEADLINE_MS: Final = 3_600_000.0
MAX_KEY_LENGTH: Final = 255


class BookingHead(NamedTuple):
    """What the guard is told about a booking.

    Attributes:
        key: Idempotency key.
        ticket: Ticket that the sender bound to the key.
        chain: Processes that the booking came through; see ``HANDOVER``.
    """

    key: str
    ticket: Ticket
    chain: tuple[ProcessName, ...]


class GuardRequest(NamedTuple):
    """A request for the backend server beside this daemon.

    Attributes:
        method: HTTP method.
        path: Path with the query string, already encoded.
        headers: End-to-end headers, names in lower case.
        request_id: Identity of the request.
        target: The operators' target that it belongs to.
        work: What the queue needs to know.
        booking: Set when it may run only once.
    """

    method: str
    path: str
    headers: HeaderItems
    request_id: str
    target: Target
    work: SlotRequest
    booking: BookingHead | None


def read_request(
    scope: Any,
    headers: dict[str, str],
    service: ServiceTargets,
    now_ms: float,
    default_deadline_ms: float,
) -> Result[GuardRequest, CallFailure]:
    """Read the head of a request.

    Args:
        scope: ASGI scope.
        headers: Its headers, names in lower case.
        service: Targets in force for the local service.
        now_ms: Monotonic time.
        default_deadline_ms: Time left when the sender does not say.
    """
    left_ms = parse_number(headers.get(DEADLINE_MS, str(default_deadline_ms)))
    depth = parse_number(headers.get(DEPTH, '0'))
    if left_ms is None or depth is None:
        return malformed(f'{DEADLINE_MS} and {DEPTH} must be numbers from 0')
    query = scope['query_string'].decode('latin-1')
    raw_path = scope['raw_path'].decode('latin-1')
    path = f'{raw_path}?{query}' if query else raw_path
    target = match_target(service, scope['method'], raw_path)
    if target is None:
        return Failure(refuse_target(service.service, headers))
    work = SlotRequest(
        arrival_number=0,
        deadline_ms=now_ms + min(left_ms, MAX_DEADLINE_MS),
        weight=target.weight,
        internal=target.internal or headers.get(INTERNAL) == '1',
        depth=int(depth),
    )
    request = GuardRequest(
        scope['method'],
        path,
        end_to_end(headers),
        headers.get(REQUEST_ID, ''),
        target,
        work,
        None,
    )
    if not is_booking(headers, service, target):
        return Success(request)
    return read_booking(headers).map(
        lambda booking: request._replace(booking=booking),
    )


def refuse_target(service: str, headers: dict[str, str]) -> CallFailure:
    """Refuse a request that no target covers."""
    detail = f'no target of {service} known here covers this request'
    if TICKET in headers:
        # A repeat of a booking that ran while a target covered it.
        return create_unknown_outcome('no-target', detail)
    return create_refusal('no-target', detail)


def is_booking(
    headers: dict[str, str],
    service: ServiceTargets,
    target: Target,
) -> bool:
    """Return whether a request may run only once.

    The guard's own targets decide, and the sender can only be stricter:
    either of both may hold an older revision.
    """
    named = headers.get(TARGET, '')
    is_named_once = any(
        other.name == named and not other.idempotent
        for other in service.targets
    )
    return not target.idempotent or is_named_once or TICKET in headers


def read_booking(
    headers: dict[str, str],
) -> Result[BookingHead, CallFailure]:
    """Read key, ticket and chain of a booking."""
    key = headers.get(BOOKING_KEY, '')
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        return malformed(
            f'this class of work needs {BOOKING_KEY} of up to '
            f'{MAX_KEY_LENGTH} characters, because it may run only once',
        )
    ticket = parse_ticket(headers.get(TICKET, ''))
    chain = parse_chain(headers.get(HANDOVER, ''))
    if ticket is None or chain is None:
        return malformed(f'{TICKET} or {HANDOVER} is missing or malformed')
    if is_ticket_form(key) and key != headers[TICKET]:
        return malformed(f'{BOOKING_KEY} is a ticket other than {TICKET}')
    return Success(BookingHead(key, ticket, chain))


def parse_number(text: str) -> float | None:
    """Parse a number from 0 in plain digits; None when malformed."""
    try:
        number = float(text)
    except ValueError:
        return None
    is_plain = text.replace('.', '', 1).isdecimal() and text.isascii()
    return number if is_plain and isfinite(number) else None


def malformed(detail: str) -> Result[Any, CallFailure]:
    """Refuse a request that breaks the protocol."""
    return Failure(
        create_refusal('malformed', detail, HTTPStatus.BAD_REQUEST),
    )
