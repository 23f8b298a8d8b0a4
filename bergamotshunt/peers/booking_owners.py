"""Owners of booking keys, as the tasks that make calls find them."""

from returns.result import Failure

from bergamotshunt.entry.booking_calls import Ownership
from bergamotshunt.kernel import NoHandlerError, MessageBus
from bergamotshunt.messages import RebindBooking, ResolveBooking, Ticket
from bergamotshunt.verdicts import create_refusal


class AskedOwners:
    """Asks the claims task of the daemon.

    Args:
        bus: Carries the requests to other tasks.
    """

    def __init__(self, bus: MessageBus) -> None:
        """Create the client of the claims task."""
        self.bus = bus

    async def resolve(
        self, service: str, key: str, proposed: Ticket
    ) -> Ownership:
        """Return the ticket that the key is bound to."""
        return await self._ask(ResolveBooking(service, key, proposed))

    async def rebind(
        self, service: str, key: str, failed: Ticket, proposed: Ticket
    ) -> Ownership:
        """Bind the key to another owner; nothing was sent to the first."""
        return await self._ask(RebindBooking(service, key, failed, proposed))

    async def _ask(self, question: ResolveBooking | RebindBooking) -> Ownership:
        try:
            return await self.bus.ask(question)
        except NoHandlerError:
            detail = 'bookings are not available at this daemon'
        except TimeoutError:
            detail = 'the owner of the booking key was not found in time'
        return Failure(create_refusal('bookings-unavailable', detail))
