"""Resolves owners of booking keys by messages to the claims task."""

from returns.result import Failure

from bergamotshunt.ingress.booking_calls import Ownership
from bergamotshunt.kernel import MessageBus, NoHandlerError
from bergamotshunt.messages import RebindBooking, ResolveBooking, Ticket
from bergamotshunt.verdicts import create_refusal


class ClaimsOwnerResolver:
    """Resolves owners of booking keys through the daemon's claims task.

    Args:
        bus: Delivers messages between the tasks of the daemon.
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
        """Bind the key to another owner.

        Only allowed while nothing was sent to the owner of ``failed``.
        """
        return await self._ask(RebindBooking(service, key, failed, proposed))

    async def _ask(self, request: ResolveBooking | RebindBooking) -> Ownership:
        try:
            return await self.bus.ask(request)
        except NoHandlerError:
            detail = (
                'bookings are not available at this daemon: its claims task '
                'is not configured or has stopped'
            )
        except TimeoutError:
            detail = (
                'the claims task of this daemon did not return the owner of '
                f'the booking key of {len(request.key)} characters in time'
            )
        return Failure(create_refusal('bookings-unavailable', detail))
