"""Non-idempotent calls (bookings): each is sent to the owner of its key."""

from asyncio import sleep
from collections.abc import Mapping
from http import HTTPStatus
from secrets import token_hex
from typing import Final, Protocol

from returns.result import Failure, Result, Success

from bergamotshunt.choice.calls import CallHead, HeaderItems
from bergamotshunt.choice.idempotent_calls import (
    MS_PER_S,
    CallContext,
    Outcome,
    create_no_server_refusal,
)
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
from bergamotshunt.ingress.call_types import Attempt, CallBody
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
# Trial requests for ejected servers are normally idempotent calls. A service
# may have none, so after this time a booking serves as the trial request.
TRIAL_AFTER_MS: Final = 10_000.0
MAX_REBINDS: Final = 2
NONCE_BYTES: Final = 16
# Failure reasons which prove that nothing reached the owning process.
UNREACHED_REASONS: Final = frozenset(('unreachable', 'other-incarnation'))

Ownership = Result[Ticket, CallFailure]


class BookingOwnerResolver(Protocol):
    """Finds the process that owns a booking key, and changes the owner."""

    async def resolve(
        self, service: str, key: str, proposed: Ticket
    ) -> Ownership:
        """Return the ticket that the key is bound to.

        A key without an owner is bound to the proposed ticket.
        """

    async def rebind(
        self, service: str, key: str, failed: Ticket, proposed: Ticket
    ) -> Ownership:
        """Bind the key to another owner.

        Only allowed while nothing was sent to the owner of ``failed``.
        """


class BookingCall:
    """One call of a target that is not idempotent.

    Args:
        context: Clock, random source and attempt runner of all calls.
        view: Servers of the called service.
        members_by_id: All known members, including draining ones, which
            may own the key.
        owners: Resolves the owner of the key.
        head: The call, with its booking key.
        body: Body of the call; a streamed body can be sent only once.
    """

    def __init__(
        self,
        context: CallContext,
        view: ServiceView,
        members_by_id: Mapping[str, Member],
        owners: BookingOwnerResolver,
        head: CallHead,
        body: CallBody,
    ) -> None:
        """Create a call without attempts."""
        self.context = context
        self.view = view
        self.members_by_id = members_by_id
        self.owners = owners
        self.head = head
        self.body = body
        self.failures: list[CallFailure] = []
        self.tried_ids: set[str] = set()
        self.rebind_count = 0
        self.may_have_reached_owner = False
        self.trial_id = ''

    async def run(self, is_new_key: bool = False) -> Outcome:
        """Send the booking to the owner of its key.

        Args:
            is_new_key: Whether the key was generated for this call, so
                that no earlier request can have used it.

        Returns:
            The response, or a failure with the verdict on all attempts.
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
                return Failure(self._build_failure(is_new_key))
            ticket = rebound

    def _propose(self) -> Ticket | None:
        """Choose a server and return a ticket that names it as the owner."""
        choice = self.view.choose(
            self.context.clock_ms(), self.tried_ids, TRIAL_AFTER_MS
        )
        if choice is None:
            return None
        if choice.is_trial:
            self.trial_id = choice.candidate.member.daemon_id
        return create_ticket(choice.candidate.member)

    async def _send_to_owner(self, ticket: Ticket) -> Outcome:
        """Send to the owner, and follow its handovers to successors."""
        chain = [owner_of(ticket)]
        while True:
            outcome = await self._send(ticket, chain)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            self.failures.append(failure)
            if failure.successor:
                if not append_successor(failure.successor, chain):
                    return outcome
            elif not await self._prepare_retry(failure):
                return outcome

    async def _send(self, ticket: Ticket, chain: list[ProcessName]) -> Outcome:
        owner = chain[-1]
        member = self.members_by_id.get(owner.daemon_id)
        if member is None or not is_owner(member, owner):
            return Failure(create_owner_gone(owner))
        self.tried_ids.add(owner.daemon_id)
        outcome = await self.context.runner.run(
            self.view,
            Attempt(
                self.head,
                self.body,
                member,
                len(self.failures) + 1,
                owner_headers(ticket, chain),
                is_trial=self._take_trial(owner.daemon_id),
            ),
        )
        if not proves_unreached(outcome):
            self.may_have_reached_owner = True
        return outcome

    def _take_trial(self, daemon_id: str) -> bool:
        if self.trial_id != daemon_id:
            return False
        self.trial_id = ''
        return True

    async def _prepare_retry(self, failure: CallFailure) -> bool:
        """Wait before a retry on the same owner.

        Returns:
            False if no retry is permitted.
        """
        if not may_retry_on_owner(failure) or self.body.stream is not None:
            return False
        if len(self.failures) >= MAX_ATTEMPTS:
            return False
        pause_ms = max(
            backoff_ms(len(self.failures), False, self.context.rng),
            failure.retry_after_ms,
        )
        starts_at_ms = self.context.clock_ms() + pause_ms
        if attempt_timeout_ms(self.head.deadline_ms, starts_at_ms) is None:
            return False
        if not self.view.retry_budgets.take_retry_token():
            EXTRA_ATTEMPTS.labels(self.head.service, 'over-budget').inc()
            return False
        EXTRA_ATTEMPTS.labels(self.head.service, 'retry').inc()
        await sleep(pause_ms / MS_PER_S)
        return True

    async def _rebind(self, failed: Ticket) -> Ticket | None:
        """Bind the key to another owner if nothing reached the owner so far.

        Returns:
            The new ticket, or None when the key has to stay bound.
        """
        if self.may_have_reached_owner or self.rebind_count >= MAX_REBINDS:
            return None
        if self.body.stream is not None:
            return None
        self.rebind_count += 1
        self.tried_ids.add(failed.daemon_id)
        proposed = self._propose()
        if proposed is None or not self.view.retry_budgets.take_retry_token():
            return None
        outcome = await self.owners.rebind(
            self.head.service, self.head.booking_key, failed, proposed
        )
        return outcome.value_or(None)

    def _build_failure(self, is_new_key: bool) -> CallFailure:
        """Build the failure for the caller.

        If no owner was reached, an earlier request with the same key may
        still have run; a new key proves that none has.
        """
        failure = combine_failures(self.failures)
        if self.may_have_reached_owner:
            return failure
        if is_new_key:
            return failure._replace(verdict=Verdict.NOT_RUN)
        return failure._replace(
            verdict=Verdict.MAY_HAVE_RUN,
            status=HTTPStatus.BAD_GATEWAY,
        )


def append_successor(successor: str, chain: list[ProcessName]) -> bool:
    """Append a successor to the chain of owners.

    Returns:
        False when the name is malformed or the chain is too long.
    """
    process = parse_process(successor)
    if process is None or len(chain) > MAX_SUCCESSORS:
        return False
    chain.append(process)
    return True


def owner_headers(ticket: Ticket, chain: list[ProcessName]) -> HeaderItems:
    """Return the request headers that state the owner of the key."""
    owner = (TICKET, format_ticket(ticket))
    if len(chain) == 1:
        return (owner,)
    names = ','.join(format_process(process) for process in chain)
    return (owner, (HANDOVER, names))


def proves_unreached(outcome: Outcome) -> bool:
    """Return whether the failure proves that the owner received nothing."""
    return (
        isinstance(outcome, Failure)
        and outcome.failure().reason in UNREACHED_REASONS
    )


def may_retry_on_owner(failure: CallFailure) -> bool:
    """Return whether the same owner may accept the booking later."""
    return (
        failure.verdict is Verdict.NOT_RUN
        and failure.reason not in UNREACHED_REASONS
    )


def create_ticket(owner: Member) -> Ticket:
    """Create a ticket that names a member as its owner.

    The nonce comes from the operating system: two processes with equally
    seeded generators would give the same key to different bookings.
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
    """Build the failure of a booking whose owning process is gone."""
    return create_unknown_outcome(
        'owner-gone',
        f'the process {format_process(owner)} that owns the booking key '
        'is not known to be running',
    )


def create_missing_key_refusal(head: CallHead) -> CallFailure:
    """Build the refusal of a booking without an idempotency key."""
    return create_refusal(
        'no-booking-key',
        f'target {head.target.name!r} is not idempotent: the header '
        f'{BOOKING_KEY} with a UUIDv7 or a ticket is required',
        HTTPStatus.BAD_REQUEST,
    )
