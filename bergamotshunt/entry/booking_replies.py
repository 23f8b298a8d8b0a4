"""Replies to a booking that this process does not run now."""

from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Final

from returns.result import Failure, Result, Success

from bergamotshunt.backend.guard_requests import BookingHeaders
from bergamotshunt.backend.local_server import ServerResponse
from bergamotshunt.choice.calls import Response
from bergamotshunt.decisions.bookings import BookingTable, Step
from bergamotshunt.decisions.tickets import format_process
from bergamotshunt.registries import Registry
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
Outcome = Result[ServerResponse | Response, CallFailure]
StepReply = Callable[[BookingTable, BookingHeaders], Outcome]
STEP_REPLIES: Final[Registry[StepReply]] = Registry('reply to a booking')


def create_response_gone() -> CallFailure:
    """Build the refusal of a repeat whose response is not kept."""
    return CallFailure(
        Verdict.RAN,
        HTTPStatus.CONFLICT,
        'answer-not-kept',
        'ran; answer not kept',
    )


@STEP_REPLIES.register(Step.REPLAY.value)
def reply_with_kept(table: BookingTable, booking: BookingHeaders) -> Outcome:
    """Replay the first response."""
    return Success(table.responses_by_key[booking.key])


@STEP_REPLIES.register(Step.RESPONSE_GONE.value)
def reply_without_response(
    _table: BookingTable, _head: BookingHeaders
) -> Outcome:
    """Tell that the booking ran."""
    return Failure(create_response_gone())


@STEP_REPLIES.register(Step.FOLLOW.value)
def reply_with_successor(
    table: BookingTable, booking: BookingHeaders
) -> Outcome:
    """Send a repeat the way that the first request was sent."""
    successor = table.by_key[booking.key].successor
    failure = create_unknown_outcome(
        'handed-over',
        'another server took this booking over',
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    if successor is None:
        return Failure(failure)
    return Failure(failure._replace(successor=format_process(successor)))


@STEP_REPLIES.register(Step.FULL.value)
def reply_full(_table: BookingTable, _head: BookingHeaders) -> Outcome:
    """Refuse a new booking that cannot be remembered."""
    return Failure(
        create_refusal(
            'booking-table-full',
            'this server cannot remember more booking keys',
            retry_after_ms=MS_PER_S,
        ),
    )


def refuse_unknown(
    detail: str,
    _table: BookingTable,
    _head: BookingHeaders,
) -> Outcome:
    """Refuse a key of which this process does not know the outcome."""
    return Failure(
        create_unknown_outcome(
            'booking-outcome-unknown',
            detail,
            HTTPStatus.CONFLICT,
        ),
    )


STEP_REPLIES.register(Step.UNKNOWN.value)(
    partial(refuse_unknown, 'the run of this booking ended without an answer'),
)
STEP_REPLIES.register(Step.OTHER_TICKET.value)(
    partial(refuse_unknown, 'this key came with another ticket before'),
)
STEP_REPLIES.register(Step.NOT_OWNER.value)(
    partial(
        refuse_unknown, 'another process, or one that ended, owns this ticket'
    ),
)
STEP_REPLIES.register(Step.TOO_OLD.value)(
    partial(
        refuse_unknown, 'this key is too old; whether it ran is not known here'
    ),
)
