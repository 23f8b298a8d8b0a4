"""Claims in the platform's store: which ticket owns a UUIDv7 booking key.

A claim is written by create-if-absent. Its creator may rebind it to another
ticket while no other daemon has used it; every other daemon marks it as
shared by compare-and-swap before using it. Both compare the revision of
the claim, so only one of them succeeds.
"""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode, encode
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from bergamotshunt.messages import (
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreFailure,
    StoreGet,
    StorePut,
    Ticket,
)
from bergamotshunt.verdicts import (
    CallFailure,
    create_refusal,
    create_unknown_outcome,
)

MAX_CACHED_CLAIMS: Final = 20_000
# A claim changes under a reader when its creator rebinds it or another
# daemon marks it as shared. Further attempts only help when a response of
# the store was lost.
MAX_ATTEMPTS: Final = 4

Ask = Callable[[Any], Awaitable[Any]]
Ownership = Result[Ticket, CallFailure]


class Claim(NamedTuple):
    """A claim as stored in the platform's store.

    Attributes:
        ticket: Ticket that owns the booking key.
        nonce: Random string of the daemon that created the claim.
        shared: Whether a daemon other than its creator has used it.
    """

    ticket: Ticket
    nonce: str
    shared: bool = False


class CachedClaim(NamedTuple):
    """A claim whose ticket no other daemon can change.

    Attributes:
        claim: The claim.
        uses: How often this daemon has returned its ticket.
    """

    claim: Claim
    uses: int = 1


class BookingClaims:
    """Cache of the claims that one daemon has created or shared.

    Calls for the same key must not overlap.

    Args:
        ask: Sends a message to the store task and returns its result.
        create_nonce: Returns a random string.
        max_cached: Maximum number of cached claims; an evicted claim is
            read again and treated like a claim of another daemon.
    """

    def __init__(
        self,
        ask: Ask,
        create_nonce: Callable[[], str],
        max_cached: int = MAX_CACHED_CLAIMS,
    ) -> None:
        """Create an empty cache."""
        self.ask = ask
        self.create_nonce = create_nonce
        self.max_cached = max_cached
        self.cached_by_key: OrderedDict[str, CachedClaim] = OrderedDict()

    async def resolve(self, key: str, proposed: Ticket) -> Ownership:
        """Return the ticket of a booking key; claim the key if it is new.

        Args:
            key: Key of the claim in the store.
            proposed: Ticket for a new claim.
        """
        cached = self.cached_by_key.get(key)
        if cached is not None:
            self._cache(key, cached._replace(uses=cached.uses + 1))
            return Success(cached.claim.ticket)
        claim = Claim(proposed, self.create_nonce())
        created = await self._write(key, 0, claim)
        if created == Success(True):
            return self._cache_and_return(key, claim)
        if not is_successful(created) and not created.failure().may_have_run:
            return refuse_unresolved(created.failure())
        return await self._share(key, claim)

    async def rebind(
        self,
        key: str,
        failed_ticket: Ticket,
        proposed: Ticket,
    ) -> Ownership:
        """Bind a claim of this daemon to another ticket.

        Allowed only if nothing was sent to the owner of ``failed_ticket``.
        """
        cached = self.cached_by_key.get(key)
        if cached is None or not is_rebindable(cached, failed_ticket):
            return refuse_rebind('other calls may have received its ticket')
        # Removed from the cache first: if the outcome stays unknown, the
        # next call reads the claim and marks it shared. That changes its
        # revision, so that a late write of this one fails.
        self.cached_by_key.pop(key)
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._rebind_once(key, cached.claim, proposed)
            if outcome is not None:
                return outcome
        return refuse_rebind(
            f'the platform did not confirm the change in {MAX_ATTEMPTS} '
            'attempts'
        )

    async def _rebind_once(
        self,
        key: str,
        before: Claim,
        proposed: Ticket,
    ) -> Ownership | None:
        """Read and rebind the claim; None when the outcome is unknown."""
        entry = await self._read(key)
        if not is_successful(entry):
            return refuse_rebind(entry.failure().detail)
        found = decode_claim(entry.unwrap())
        after = before._replace(ticket=proposed)
        if found is not None and found._replace(shared=False) == after:
            return self._cache_and_return(key, found)
        if found != before:
            return refuse_rebind('another daemon has used the claim')
        revision = entry.unwrap().mod_revision
        written = await self._write(key, revision, after)
        return (
            self._cache_and_return(key, after)
            if written == Success(True)
            else None
        )

    async def _share(self, key: str, own_claim: Claim) -> Ownership:
        """Use an existing claim; mark it as shared unless it is this daemon's.

        The claim is this daemon's if the response to its creation was lost.
        """
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._share_once(key, own_claim)
            if outcome is not None:
                return outcome
        return refuse_unresolved(
            StoreFailure(
                True,
                f'the claim could not be confirmed in {MAX_ATTEMPTS} attempts',
            )
        )

    async def _share_once(self, key: str, own_claim: Claim) -> Ownership | None:
        """Read and mark as shared; None when the outcome is unknown."""
        entry = await self._read(key)
        if not is_successful(entry):
            return refuse_unresolved(entry.failure())
        found = decode_claim(entry.unwrap())
        if found is None:
            return refuse_unresolved(
                StoreFailure(True, 'the claim is absent or malformed')
            )
        if found.shared or found == own_claim:
            return self._cache_and_return(key, found)
        shared = found._replace(shared=True)
        revision = entry.unwrap().mod_revision
        written = await self._write(key, revision, shared)
        return (
            self._cache_and_return(key, shared)
            if written == Success(True)
            else None
        )

    async def _read(self, key: str) -> Result[StoreEntry, StoreFailure]:
        result: Result[tuple[StoreEntry, ...], StoreFailure]
        result = await self.ask(StoreGet(key))
        absent = StoreEntry(key, b'', 0)
        return result.map(lambda entries: (*entries, absent)[0])

    async def _write(
        self,
        key: str,
        expected_revision: int,
        claim: Claim,
    ) -> Result[bool, StoreFailure]:
        put = StorePut(key, encode(claim))
        written: Result[StoreCommitted, StoreFailure]
        written = await self.ask(
            StoreCommit(((key, expected_revision),), (put,)),
        )
        return written.map(lambda committed: committed.succeeded)

    def _cache_and_return(self, key: str, claim: Claim) -> Ownership:
        self._cache(key, CachedClaim(claim))
        return Success(claim.ticket)

    def _cache(self, key: str, cached: CachedClaim) -> None:
        self.cached_by_key[key] = cached
        self.cached_by_key.move_to_end(key)
        if len(self.cached_by_key) > self.max_cached:
            self.cached_by_key.popitem(last=False)


def is_rebindable(cached: CachedClaim, failed_ticket: Ticket) -> bool:
    """Return whether only the current call has received the failed ticket."""
    return (
        not cached.claim.shared
        and cached.uses == 1
        and cached.claim.ticket == failed_ticket
    )


def decode_claim(entry: StoreEntry) -> Claim | None:
    """Decode a claim; None if absent or malformed."""
    if not entry.mod_revision:
        return None
    try:
        return decode(entry.content, type=Claim)
    except DecodeError:
        return None


def refuse_unresolved(failure: StoreFailure) -> Ownership:
    """Refuse a booking that was not sent to any server."""
    return Failure(
        create_refusal(
            'platform-down',
            'the owner of this booking key could not be determined: '
            f'{failure.detail}; repeat the request with the same key, or use '
            'a ticket as the key, which works without the platform',
            retry_after_ms=1000,
        ),
    )


def refuse_rebind(detail: str) -> Ownership:
    """Refuse to rebind a key that another call may have used."""
    return Failure(
        create_unknown_outcome(
            'booking-owner-unreachable',
            'the owner of this booking key does not respond, and the key '
            f'cannot be rebound: {detail}',
        ),
    )
