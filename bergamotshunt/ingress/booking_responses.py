"""Responses to bookings that this process does not run."""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from returns.result import Failure, Result, Success

from bergamotshunt.backend.guard_requests import BookingHeaders
from bergamotshunt.backend.local_server import ServerResponse
from bergamotshunt.choice.calls import CompleteResponse
from bergamotshunt.decisions.bookings import BookingAction, BookingTable
from bergamotshunt.decisions.tickets import format_process
from bergamotshunt.registries import Registry
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

RETRY_AFTER_MS: Final = 1000
GuardOutcome = Result[ServerResponse | CompleteResponse, CallFailure]
BookingResponder = Callable[[BookingTable, BookingHeaders], GuardOutcome]
BOOKING_RESPONDERS: Final[Registry[BookingResponder]] = Registry(
    'response to a booking'
)


def create_response_not_kept() -> CallFailure:
    """Build the failure of a repeat whose response is not stored."""
    return CallFailure(
        Verdict.RAN,
        HTTPStatus.CONFLICT,
        'answer-not-kept',
        'the booking ran, but its response is not stored',
    )


@BOOKING_RESPONDERS.register(BookingAction.REPLAY.value)
def respond_with_stored(
    table: BookingTable, booking: BookingHeaders
) -> GuardOutcome:
    """Replay the stored response of the first request."""
    return Success(table.responses_by_key[booking.key])


@BOOKING_RESPONDERS.register(BookingAction.RESPONSE_GONE.value)
def respond_without_stored(
    _table: BookingTable, _booking: BookingHeaders
) -> GuardOutcome:
    """Report that the booking ran but its response is not stored."""
    return Failure(create_response_not_kept())


@BOOKING_RESPONDERS.register(BookingAction.FOLLOW.value)
def respond_with_successor(
    table: BookingTable, booking: BookingHeaders
) -> GuardOutcome:
    """Refer a repeat to the process that the first request was handed to."""
    successor = table.by_key[booking.key].successor
    failure = create_unknown_outcome(
        'handed-over',
        'the booking was handed over to another server',
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    if successor is None:
        return Failure(failure)
    return Failure(failure._replace(successor=format_process(successor)))


@BOOKING_RESPONDERS.register(BookingAction.TABLE_FULL.value)
def refuse_full_table(
    _table: BookingTable, _booking: BookingHeaders
) -> GuardOutcome:
    """Refuse a new booking because the table of keys is full."""
    return Failure(
        create_refusal(
            'booking-table-full',
            'the table of booking keys of this server is full',
            retry_after_ms=RETRY_AFTER_MS,
        ),
    )


def refuse_unknown(
    detail: str,
    _table: BookingTable,
    _booking: BookingHeaders,
) -> GuardOutcome:
    """Refuse a key whose outcome this process does not know."""
    return Failure(
        create_unknown_outcome(
            'booking-outcome-unknown',
            detail,
            HTTPStatus.CONFLICT,
        ),
    )


BOOKING_RESPONDERS.register(BookingAction.UNKNOWN.value)(
    partial(refuse_unknown, 'the run of this booking ended without a response'),
)
BOOKING_RESPONDERS.register(BookingAction.OTHER_TICKET.value)(
    partial(refuse_unknown, 'this key was used with another ticket before'),
)
BOOKING_RESPONDERS.register(BookingAction.NOT_OWNER.value)(
    partial(
        refuse_unknown,
        'the ticket is owned by another process or by one that has ended',
    ),
)
BOOKING_RESPONDERS.register(BookingAction.TOO_OLD.value)(
    partial(
        refuse_unknown,
        'this key is too old; it is unknown here whether it ran',
    ),
)
