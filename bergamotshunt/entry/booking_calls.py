"""Calls that may run only once: each goes to the owner of its key."""

from asyncio import sleep
from collections.abc import Mapping
from http import HTTPStatus
from secrets import token_hex
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from bergamotshunt.choice.idempotent_calls import (
    MS_PER_S,
    CallContext,
    Outcome,
    create_no_server_refusal,
)
from bergamotshunt.choice.calls import CallHead, HeaderItems
from bergamotshunt.choice.service_views import ServiceView
from bergamotshunt.decisions.deadlines import attempt_timeout_ms
from bergamotshunt.decisions.retries import (
    MAX_ATTEMPTS,
    backoff_ms,
    combine_failures,
)
from bergamotshunt.decisions.tickets import (
    ProcessName,
    format_process,
    format_ticket,
    owner_of,
    parse_process,
)
from bergamotshunt.entry.call_parts import Attempt, CallBody
from bergamotshunt.messages import Ticket
from bergamotshunt.metrics import EXTRA_ATTEMPTS
from bergamotshunt.peers.headers import BOOKING_KEY, HANDOVER, TICKET
from bergamotshunt.peers.members import Member, is_live
from bergamotshunt.verdicts import (
    CallFailure,
    Verdict,
    create_refusal,
    create_unknown_outcome,
)

MAX_SUCCESSORS: Final = 3
# A service may have no calls that can be repeated; a booking is the trial
# request for an ejected server after this time.
TRIAL_AFTER_MS: Final = 10_000.0
MAX_REBINDS: Final = 2
NONCE_BYTES: Final = 16
# Reasons that prove that nothing reached the owning process.
NOT_REACHED: Final = frozenset(('unreachable', 'other-incarnation'))

Ownership = Result[Ticket, CallFailure]


class BookingOwners(Protocol):
    """Finds the owner of a booking key."""

    async def resolve(
        self, service: str, key: str, proposed: Ticket
    ) -> Ownership:
        """Return the ticket that the key is bound to."""

    async def rebind(
        self, service: str, key: str, failed: Ticket, proposed: Ticket
    ) -> Ownership:
        """Bind the key to another owner; nothing was sent to the first."""


class BookingCall:
    """One call of a target that is not idempotent.

    Args:
        tools: What all calls share.
        view: Servers of the called service.
        members_by_id: All known members; owners may be draining.
        owners: Finds the owner of the key.
        head: The call, with its booking key.
        body: Its body; a streamed one is sent only once.
    """

    def __init__(
        self,
        tools: CallContext,
        view: ServiceView,
        members_by_id: Mapping[str, Member],
        owners: BookingOwners,
        head: CallHead,
        body: CallBody,
    ) -> None:
        """Create a call without attempts."""
        self.tools = tools
        self.view = view
        self.members_by_id = members_by_id
        self.owners = owners
        self.head = head
        self.body = body
        self.failures: list[CallFailure] = []
        self.tried: set[str] = set()
        self.rebinds = 0
        self.reached = False
        self.trial_id = ''

    async def run(self, is_new_key: bool = False) -> Outcome:
        """Send the booking to the owner of its key.

        Args:
            is_new_key: Whether the key was made for this call, so that
                no earlier request can have carried it.
        """
        try:
            return await self._run(is_new_key)
        finally:
            if self.trial_id:
                self.view.drop_trial(self.trial_id)

    async def _run(self, is_new_key: bool) -> Outcome:
        proposed = self._propose()
        if proposed is None:
            return Failure(create_no_server_refusal(self.head.service))
        owned = await self.owners.resolve(
            self.head.service, self.head.booking_key, proposed
        )
        if isinstance(owned, Failure):
            return Failure(owned.failure())
        ticket = owned.unwrap()
        is_new_key = is_new_key or ticket == proposed
        while True:
            outcome = await self._send_to_owner(ticket)
            if isinstance(outcome, Success):
                return outcome
            rebound = await self._rebind(ticket)
            if rebound is None:
                return Failure(self._conclude(is_new_key))
            ticket = rebound

    def _propose(self) -> Ticket | None:
        """Make a ticket for a chosen server."""
        choice = self.view.choose(
            self.tools.clock_ms(), self.tried, TRIAL_AFTER_MS
        )
        if choice is None:
            return None
        if choice.is_trial:
            self.trial_id = choice.candidate.member.daemon_id
        return make_ticket(choice.candidate.member)

    async def _send_to_owner(self, ticket: Ticket) -> Outcome:
        """Send to the owner, or along the chain of its successors."""
        chain = [owner_of(ticket)]
        while True:
            outcome = await self._send(ticket, chain)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            self.failures.append(failure)
            if failure.successor:
                if not follow(failure.successor, chain):
                    return outcome
            elif not await self._may_repeat(failure):
                return outcome

    async def _send(self, ticket: Ticket, chain: list[ProcessName]) -> Outcome:
        owner = chain[-1]
        member = self.members_by_id.get(owner.daemon_id)
        if member is None or not is_owner(member, owner):
            return Failure(create_owner_gone(owner))
        self.tried.add(owner.daemon_id)
        outcome = await self.tools.runner.run(
            self.view,
            Attempt(
                self.head,
                self.body,
                member,
                len(self.failures) + 1,
                name_owner(ticket, chain),
                is_trial=self._take_trial(owner.daemon_id),
            ),
        )
        if not is_unreached(outcome):
            self.reached = True
        return outcome

    def _take_trial(self, daemon_id: str) -> bool:
        if self.trial_id != daemon_id:
            return False
        self.trial_id = ''
        return True

    async def _may_repeat(self, failure: CallFailure) -> bool:
        """Decide on the same owner once more, and wait for its time."""
        if not is_repeatable(failure) or self.body.stream is not None:
            return False
        if len(self.failures) >= MAX_ATTEMPTS:
            return False
        pause_ms = max(
            backoff_ms(len(self.failures), False, self.tools.rng),
            failure.retry_after_ms,
        )
        starts_at_ms = self.tools.clock_ms() + pause_ms
        if attempt_timeout_ms(self.head.deadline_ms, starts_at_ms) is None:
            return False
        if not self.view.retry_budgets.pay_retry():
            EXTRA_ATTEMPTS.labels(self.head.service, 'over-budget').inc()
            return False
        EXTRA_ATTEMPTS.labels(self.head.service, 'retry').inc()
        await sleep(pause_ms / MS_PER_S)
        return True

    async def _rebind(self, failed: Ticket) -> Ticket | None:
        """Move the key away from an owner that nothing was sent to."""
        if self.reached or self.rebinds >= MAX_REBINDS:
            return None
        if self.body.stream is not None:
            return None
        self.rebinds += 1
        self.tried.add(failed.daemon_id)
        proposed = self._propose()
        if proposed is None or not self.view.retry_budgets.pay_retry():
            return None
        outcome = await self.owners.rebind(
            self.head.service, self.head.booking_key, failed, proposed
        )
        return outcome.value_or(None)

    def _conclude(self, is_new_key: bool) -> CallFailure:
        """Build the failure for the caller.

        An owner that was not reached may have run the key for an earlier
        request, unless the key was new.
        """
        failure = combine_failures(self.failures)
        if self.reached:
            return failure
        if is_new_key:
            return failure._replace(verdict=Verdict.NOT_RUN)
        return failure._replace(
            verdict=Verdict.MAY_HAVE_RUN,
            status=HTTPStatus.BAD_GATEWAY,
        )


def follow(successor: str, chain: list[ProcessName]) -> bool:
    """Add a successor to a chain; False when that leads nowhere."""
    process = parse_process(successor)
    if process is None or len(chain) > MAX_SUCCESSORS:
        return False
    chain.append(process)
    return True


def name_owner(ticket: Ticket, chain: list[ProcessName]) -> HeaderItems:
    """Return the headers that name the owner of a key to its guard."""
    owner = (TICKET, format_ticket(ticket))
    if len(chain) == 1:
        return (owner,)
    names = ','.join(format_process(process) for process in chain)
    return (owner, (HANDOVER, names))


def is_unreached(outcome: Outcome) -> bool:
    """Return whether an attempt proves that its owner got nothing."""
    return (
        isinstance(outcome, Failure) and outcome.failure().reason in NOT_REACHED
    )


def is_repeatable(failure: CallFailure) -> bool:
    """Return whether the same owner may take the booking later."""
    return (
        failure.verdict is Verdict.NOT_RUN and failure.reason not in NOT_REACHED
    )


def make_ticket(owner: Member) -> Ticket:
    """Make a ticket that names a member as its owner.

    The nonce comes from the operating system: two processes with equal
    random sources would give the same key to different bookings.
    """
    return Ticket(
        owner.daemon_id,
        owner.process_id,
        owner.era,
        token_hex(NONCE_BYTES),
    )


def is_owner(member: Member, owner: ProcessName) -> bool:
    """Return whether the member is the owning process and may be alive."""
    return member.process_id == owner.process_id and is_live(member)


def create_owner_gone(owner: ProcessName) -> CallFailure:
    """Build the failure of a booking whose owner has ended."""
    return create_unknown_outcome(
        'owner-gone',
        f'the process {format_process(owner)} that owns the booking key '
        'is not known to be running',
    )


def create_keyless(head: CallHead) -> CallFailure:
    """Build the refusal of a booking without a key."""
    return create_refusal(
        'no-booking-key',
        f'{head.target.name} may run only once: send the header '
        f'{BOOKING_KEY} with a UUIDv7 or a ticket',
        HTTPStatus.BAD_REQUEST,
    )
