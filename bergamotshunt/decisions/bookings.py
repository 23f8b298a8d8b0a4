"""Booking table: at most one run per idempotency key in this process.

The table holds the state of each booking key. Keys expire by era, a fixed
time bucket; a key of an expired era is refused from then on, so that its
removal never lets it run a second time. All methods are synchronous, so no
other task can run between a look-up and the action that follows from it.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import Final, NamedTuple

from bergamotshunt.choice.calls import CompleteResponse
from bergamotshunt.decisions.tickets import ProcessName, owner_of
from bergamotshunt.messages import Ticket

# Approximate memory of a stored response beyond its body and headers.
RESPONSE_OVERHEAD_BYTES: Final = 512
# Bounds the memory for the lowest accepted eras of other owners, whose
# bookings are handed over to this process.
MAX_TRACKED_OWNERS: Final = 16_384


class BookingState(StrEnum):
    """State of a booking key in this process.

    ``UNKNOWN`` means that it may have run, and that whether it did can no
    longer be determined.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'
    HANDED_OVER = 'handed-over'


class Booking(NamedTuple):
    """State of one booking key.

    Attributes:
        ticket: Ticket of the first request with this key.
        state: State of its run.
        successor: Process that took the key over, when handed over.
        local_era: Era of this process with which the key expires.
    """

    ticket: Ticket
    state: BookingState
    successor: ProcessName | None
    local_era: int


class BookingAction(StrEnum):
    """What the guard does with a request for a booking key.

    ``RUN`` starts a run, ``JOIN`` waits for the one in progress, ``REPLAY``
    repeats the stored response and ``FOLLOW`` forwards the request to the
    successor. The other members are reasons why none of these is possible:

    - ``RESPONSE_GONE``: it ran, and its response is not stored any more.
    - ``UNKNOWN``: whether it ran can no longer be determined.
    - ``OTHER_TICKET``: the key is bound to another ticket.
    - ``NOT_OWNER``: this process is not the owner and no complete chain of
      handovers leads to it, or the era of the ticket has not begun.
    - ``TOO_OLD``: the era of the ticket has expired.
    - ``TABLE_FULL``: the limit of keys or of tracked owners is reached.
    """

    RUN = 'run'
    JOIN = 'join'
    REPLAY = 'replay'
    RESPONSE_GONE = 'answer-gone'
    UNKNOWN = 'outcome-unknown'
    FOLLOW = 'handed-over'
    OTHER_TICKET = 'other-ticket'
    NOT_OWNER = 'not-owner'
    TOO_OLD = 'too-old'
    TABLE_FULL = 'booking-table-full'


class BookingLimits(NamedTuple):
    """Bounds of the booking table's memory; see ``BookingsSettings``.

    Attributes:
        eras_kept: Past eras whose keys are still accepted.
        max_response_bytes: Largest body of a response that is stored.
        max_total_response_bytes: Memory for all stored responses.
        max_keys: Most keys in the table.
    """

    eras_kept: int
    max_response_bytes: int
    max_total_response_bytes: int
    max_keys: int


class BookingTable:
    """Booking keys of one process and the responses of finished ones.

    Args:
        own_process: This process.
        limits: Bounds of the table's memory.

    Attributes:
        era: Current era of this process.
        oldest_era: Oldest era whose keys are accepted.
    """

    def __init__(self, own_process: ProcessName, limits: BookingLimits) -> None:
        """Create an empty table in era 0."""
        self.own_process = own_process
        self.limits = limits
        self.era = 0
        self.oldest_era = 0
        self.by_key: dict[str, Booking] = {}
        self.responses_by_key: OrderedDict[str, CompleteResponse] = (
            OrderedDict()
        )
        self.total_response_bytes = 0
        self._keys_by_era: dict[int, set[str]] = {}
        # Lowest accepted (process id, era) of other owners, by daemon id.
        self._min_accepted_by_owner: dict[str, tuple[int, int]] = {}

    def advance(self, era: int) -> None:
        """Enter an era and remove the keys of expired eras."""
        self.era = max(self.era, era)
        while self.oldest_era < self.era - self.limits.eras_kept:
            self._close_oldest_era()

    def look_up(
        self,
        key: str,
        ticket: Ticket,
        chain: tuple[ProcessName, ...] = (),
    ) -> BookingAction:
        """Return what to do with a request, without changing the table.

        Args:
            key: Booking key.
            ticket: Ticket that the sender bound to the key.
            chain: Processes that handed the booking over, from the owner
                to this process; empty when it was sent to the owner.
        """
        booking = self.by_key.get(key)
        if booking is not None:
            return self._action_for_known(key, booking, ticket)
        if chain:
            return self._action_for_handover(ticket, chain)
        if owner_of(ticket) != self.own_process or ticket.era > self.era:
            return BookingAction.NOT_OWNER
        is_accepted = ticket.era >= self.oldest_era
        return self._action_for_new(is_accepted, ticket.era)

    def start(self, key: str, ticket: Ticket) -> None:
        """Record that the key is admitted and will run.

        A full table closes its oldest eras early: a late repeat is then
        refused, which is better than to refuse all new bookings.
        Call only after ``look_up`` returned ``BookingAction.RUN``.
        """
        while len(self.by_key) >= self.limits.max_keys:
            self._close_oldest_era()
        self._add(key, ticket, BookingState.RUNNING, None)

    def finish(self, key: str, response: CompleteResponse | None) -> None:
        """Record that the key ran; store its response if it is small."""
        booking = self.by_key.get(key)
        if booking is None:
            return
        self.by_key[key] = booking._replace(state=BookingState.FINISHED)
        if response is not None:
            self._keep_response(key, response)

    def mark_unknown(self, key: str) -> None:
        """Record that the outcome of the run will never be known."""
        booking = self.by_key.get(key)
        if booking is not None:
            self.by_key[key] = booking._replace(state=BookingState.UNKNOWN)

    def cancel(self, key: str) -> None:
        """Remove a key that was admitted and certainly did not run."""
        booking = self.by_key.get(key)
        if booking is not None and booking.state is BookingState.RUNNING:
            self._remove(key)

    def hand_over(self, key: str, successor: ProcessName) -> None:
        """Record that a key that did not run here belongs to a successor.

        Call only for a key that ``start`` recorded.
        """
        booking = self.by_key.get(key)
        if booking is not None and booking.state is BookingState.RUNNING:
            self.by_key[key] = booking._replace(
                state=BookingState.HANDED_OVER,
                successor=successor,
            )

    def _action_for_known(
        self, key: str, booking: Booking, ticket: Ticket
    ) -> BookingAction:
        if booking.ticket != ticket:
            return BookingAction.OTHER_TICKET
        if booking.state is BookingState.RUNNING:
            return BookingAction.JOIN
        if booking.state is BookingState.HANDED_OVER:
            return BookingAction.FOLLOW
        if booking.state is BookingState.UNKNOWN:
            return BookingAction.UNKNOWN
        return (
            BookingAction.REPLAY
            if key in self.responses_by_key
            else BookingAction.RESPONSE_GONE
        )

    def _action_for_handover(
        self,
        ticket: Ticket,
        chain: tuple[ProcessName, ...],
    ) -> BookingAction:
        daemon_ids = {process.daemon_id for process in chain}
        is_complete = (
            len(daemon_ids) == len(chain)
            and len(chain) > 1
            and chain[0] == owner_of(ticket)
            and chain[-1] == self.own_process
        )
        if not is_complete:
            return BookingAction.NOT_OWNER
        is_known_owner = ticket.daemon_id in self._min_accepted_by_owner
        if (
            not is_known_owner
            and len(self._min_accepted_by_owner) >= MAX_TRACKED_OWNERS
        ):
            return BookingAction.TABLE_FULL
        min_accepted = self._min_accepted_by_owner.get(ticket.daemon_id, (0, 0))
        is_accepted = (ticket.process_id, ticket.era) >= min_accepted
        return self._action_for_new(is_accepted, self.era)

    def _action_for_new(
        self, is_accepted: bool, local_era: int
    ) -> BookingAction:
        if not is_accepted:
            return BookingAction.TOO_OLD
        if len(self.by_key) < self.limits.max_keys:
            return BookingAction.RUN
        has_older = any(
            keys and era < local_era for era, keys in self._keys_by_era.items()
        )
        return BookingAction.RUN if has_older else BookingAction.TABLE_FULL

    def _add(
        self,
        key: str,
        ticket: Ticket,
        state: BookingState,
        successor: ProcessName | None,
    ) -> None:
        local_era = self.era
        if owner_of(ticket) == self.own_process:
            local_era = ticket.era
        else:
            self._min_accepted_by_owner.setdefault(ticket.daemon_id, (0, 0))
        self.by_key[key] = Booking(ticket, state, successor, local_era)
        self._keys_by_era.setdefault(local_era, set()).add(key)

    def _keep_response(self, key: str, response: CompleteResponse) -> None:
        size_bytes = estimate_size_bytes(response)
        if (
            size_bytes
            > self.limits.max_response_bytes + RESPONSE_OVERHEAD_BYTES
        ):
            return
        self.responses_by_key[key] = response
        self.total_response_bytes += size_bytes
        while self.total_response_bytes > self.limits.max_total_response_bytes:
            _, oldest = self.responses_by_key.popitem(last=False)
            self.total_response_bytes -= estimate_size_bytes(oldest)

    def _close_oldest_era(self) -> None:
        for key in self._keys_by_era.pop(self.oldest_era, set()):
            self._raise_min_accepted(self.by_key[key].ticket)
            self._remove(key)
        self.oldest_era += 1

    def _raise_min_accepted(self, ticket: Ticket) -> None:
        # A key that was handed over and has expired must not run here
        # again, so this process accepts no new key of that era or an earlier
        # one of its owner.
        if owner_of(ticket) == self.own_process:
            return
        next_accepted = (ticket.process_id, ticket.era + 1)
        min_accepted = self._min_accepted_by_owner.get(ticket.daemon_id, (0, 0))
        self._min_accepted_by_owner[ticket.daemon_id] = max(
            min_accepted, next_accepted
        )

    def _remove(self, key: str) -> None:
        booking = self.by_key.pop(key)
        self._keys_by_era.get(booking.local_era, set()).discard(key)
        response = self.responses_by_key.pop(key, None)
        if response is not None:
            self.total_response_bytes -= estimate_size_bytes(response)


def estimate_size_bytes(response: CompleteResponse) -> int:
    """Return the approximate memory of a stored response in bytes."""
    header_bytes = sum(len(name) + len(text) for name, text in response.headers)
    return len(response.body) + header_bytes + RESPONSE_OVERHEAD_BYTES
