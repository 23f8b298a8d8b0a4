"""Resolves the owner of each booking key."""

from asyncio import Event
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from secrets import token_hex
from time import time
from typing import Any, Final

from returns.result import Failure, Result, Success

from bergamotshunt.decisions.booking_keys import (
    ALLOWED_FORMS,
    check_uuid7,
    claim_key,
)
from bergamotshunt.decisions.tickets import looks_like_ticket, parse_ticket
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    NoHandlerError,
    Task,
)
from bergamotshunt.messages import (
    DescribeTask,
    RebindBooking,
    ResolveBooking,
    StoreFailure,
    Ticket,
)
from bergamotshunt.store.booking_claims import (
    BookingClaims,
    Ownership,
    refuse_rebind,
)
from bergamotshunt.verdicts import CallFailure, create_refusal

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
NONCE_BYTES: Final = 16


class ClaimsTask(Task):
    """Owns the cache of claims, the bindings of booking keys to owners."""

    name = 'claims'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task with an empty cache."""
        super().__init__(context)
        self.booking_claims = BookingClaims(self.ask_store, create_nonce)
        self.running_by_key: dict[str, Event] = {}

    async def ask_store(self, request: Any) -> Any:
        """Call the store; a missing reply counts as a lost response."""
        try:
            return await self.bus.ask(request)
        except (TimeoutError, NoHandlerError) as error:
            detail = f'the store task did not reply ({type(error).__name__})'
            return Failure(StoreFailure(may_have_run=True, detail=detail))

    async def serialize(
        self,
        key: str,
        work: Callable[[], Awaitable[Ownership]],
    ) -> Ownership:
        """Run the work for a key once no other work for it runs."""
        while key in self.running_by_key:
            await self.running_by_key[key].wait()
        finished = Event()
        self.running_by_key[key] = finished
        try:
            return await work()
        finally:
            self.running_by_key.pop(key)
            finished.set()


def create_nonce() -> str:
    """Return a random text that no other claim contains."""
    return token_hex(NONCE_BYTES)


def parse_ticket_key(key: str) -> Result[Ticket, CallFailure]:
    """Parse a booking key that is a ticket."""
    ticket = parse_ticket(key)
    if ticket is None:
        return Failure(
            create_refusal(
                'malformed-booking-key',
                ALLOWED_FORMS,
                HTTPStatus.BAD_REQUEST,
            ),
        )
    return Success(ticket)


@HANDLERS.on(ResolveBooking)
async def resolve(task: ClaimsTask, message: ResolveBooking) -> Ownership:
    """Return the owner of a booking key."""
    if looks_like_ticket(message.key):
        return parse_ticket_key(message.key)
    match check_uuid7(message.key, time() * MS_PER_S):
        case Failure(failure):
            return Failure(failure)
    key = claim_key(message.service, message.key)
    return await task.serialize(
        key,
        lambda: task.booking_claims.resolve(key, message.proposed),
    )


@HANDLERS.on(RebindBooking)
async def rebind(task: ClaimsTask, message: RebindBooking) -> Ownership:
    """Bind a booking key to another owner if no request was sent."""
    if looks_like_ticket(message.key):
        return refuse_rebind(
            'the booking key is a ticket, whose owner cannot change'
        )
    key = claim_key(message.service, message.key)
    return await task.serialize(
        key,
        lambda: task.booking_claims.rebind(
            key, message.failed, message.proposed
        ),
    )


@HANDLERS.on(DescribeTask)
def describe(task: ClaimsTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the number of cached claims for the daemon's status."""
    return {'claims': {'cached': len(task.booking_claims.cached_by_key)}}


@PLUGINS.register('claims')
def create_claims(context: Context) -> ClaimsTask:
    """Create the claims task."""
    return ClaimsTask(context)
