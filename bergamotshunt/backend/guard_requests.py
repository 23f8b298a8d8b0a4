"""Parsing of requests that arrive at the peers port."""

from http import HTTPStatus
from math import isfinite
from typing import Any, Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import HeaderItems
from bergamotshunt.decisions.queueing import SlotRequest
from bergamotshunt.decisions.target_matching import match_target
from bergamotshunt.decisions.tickets import (
    ProcessName,
    looks_like_ticket,
    parse_chain,
    parse_ticket,
)
from bergamotshunt.http.transport import drop_hop_by_hop
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

MAX_DEADLINE_MS: Final = 3_600_000.0  # one hour
MAX_KEY_CHARACTERS: Final = 255


class BookingHeaders(NamedTuple):
    """Booking headers of a request.

    Attributes:
        key: Idempotency key.
        ticket: Ticket that the sender bound to the key.
        chain: Processes that handed the booking over; see ``HANDOVER``.
    """

    key: str
    ticket: Ticket
    chain: tuple[ProcessName, ...]


class GuardRequest(NamedTuple):
    """A request for the local backend server.

    Attributes:
        method: HTTP method.
        path: Percent-encoded path with the query string.
        headers: End-to-end headers, names in lower case.
        request_id: Id of the request.
        target: The operators' target that matches it.
        slot_request: Deadline and priority for the wait queue.
        booking: Booking headers; None when the request may run twice.
    """

    method: str
    path: str
    headers: HeaderItems
    request_id: str
    target: Target
    slot_request: SlotRequest
    booking: BookingHeaders | None


def read_request(
    scope: Any,
    headers: dict[str, str],
    service: ServiceTargets,
    now_ms: float,
    default_deadline_ms: float,
) -> Result[GuardRequest, CallFailure]:
    """Parse the head of a request.

    Args:
        scope: ASGI scope.
        headers: Its headers, names in lower case.
        service: Targets in force for the local service.
        now_ms: Monotonic time in milliseconds.
        default_deadline_ms: Time until the deadline of a request that states
            none, in milliseconds.
    """
    left_ms = parse_number(headers.get(DEADLINE_MS, str(default_deadline_ms)))
    depth = parse_number(headers.get(DEPTH, '0'))
    if left_ms is None or depth is None:
        return refuse_malformed(
            f'{DEADLINE_MS} is {headers.get(DEADLINE_MS)!r} and {DEPTH} is '
            f'{headers.get(DEPTH)!r}: expected decimal numbers from 0'
        )
    query = scope['query_string'].decode('latin-1')
    raw_path = scope['raw_path'].decode('latin-1')
    path = f'{raw_path}?{query}' if query else raw_path
    target = match_target(service, scope['method'], raw_path)
    if target is None:
        return Failure(
            create_no_target_failure(
                service.service, f'{scope["method"]} {raw_path}', headers
            )
        )
    slot_request = SlotRequest(
        arrival_number=0,
        deadline_ms=now_ms + min(left_ms, MAX_DEADLINE_MS),
        weight=target.weight,
        internal=target.internal or headers.get(INTERNAL) == '1',
        depth=int(depth),
    )
    request = GuardRequest(
        scope['method'],
        path,
        drop_hop_by_hop(headers),
        headers.get(REQUEST_ID, ''),
        target,
        slot_request,
        None,
    )
    if not is_booking(headers, service, target):
        return Success(request)
    return read_booking(headers).map(
        lambda booking: request._replace(booking=booking),
    )


def create_no_target_failure(
    service: str, request_line: str, headers: dict[str, str]
) -> CallFailure:
    """Create the failure of a request that no target matches.

    Args:
        service: The local service.
        request_line: Method and path of the request.
        headers: Its headers, names in lower case.
    """
    detail = f'no target of service {service} matches {request_line}'
    if TICKET in headers:
        # An earlier attempt may have run it while a target matched it.
        return create_unknown_outcome('no-target', detail)
    return create_refusal('no-target', detail)


def is_booking(
    headers: dict[str, str],
    service: ServiceTargets,
    target: Target,
) -> bool:
    """Return whether a request may run only once.

    The targets of the guard or the headers of the sender suffice to require
    it, because either side may hold an older revision of the targets.
    """
    named_target = headers.get(TARGET, '')
    names_non_idempotent_target = any(
        candidate.name == named_target and not candidate.idempotent
        for candidate in service.targets
    )
    return (
        not target.idempotent
        or names_non_idempotent_target
        or TICKET in headers
    )


def read_booking(
    headers: dict[str, str],
) -> Result[BookingHeaders, CallFailure]:
    """Parse key, ticket and handover chain of a booking."""
    key = headers.get(BOOKING_KEY, '')
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        return refuse_malformed(
            f'{BOOKING_KEY} has {len(key)} characters: expected 1 to '
            f'{MAX_KEY_CHARACTERS}, as this request may run only once',
        )
    ticket = parse_ticket(headers.get(TICKET, ''))
    chain = parse_chain(headers.get(HANDOVER, ''))
    if ticket is None or chain is None:
        return refuse_malformed(
            f'{TICKET} has {len(headers.get(TICKET, ""))} characters and '
            f'{HANDOVER} has {len(headers.get(HANDOVER, ""))}: expected a '
            'ticket and, if handed over, a list of <daemon id>.<process id>'
        )
    if looks_like_ticket(key) and key != headers[TICKET]:
        return refuse_malformed(
            f'{BOOKING_KEY} is a ticket of {len(key)} characters that differs '
            f'from the ticket of {len(headers[TICKET])} characters in {TICKET}'
        )
    return Success(BookingHeaders(key, ticket, chain))


def parse_number(text: str) -> float | None:
    """Parse a non-negative decimal number; None if malformed."""
    try:
        number = float(text)
    except ValueError:
        return None
    is_plain = text.replace('.', '', 1).isdecimal() and text.isascii()
    return number if is_plain and isfinite(number) else None


def refuse_malformed(detail: str) -> Result[Any, CallFailure]:
    """Refuse a request that violates the protocol."""
    return Failure(
        create_refusal('malformed', detail, HTTPStatus.BAD_REQUEST),
    )
