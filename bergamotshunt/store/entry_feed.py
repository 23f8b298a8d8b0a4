"""Serves the entries that this daemon knows to daemons that follow it."""

from asyncio import Event, timeout
from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import Final

from bergamotshunt.decisions.configuration_confirmation import (
    STALE_CONFIRMATION_S,
    Confirmation,
    is_wanted_at_once,
)
from bergamotshunt.decisions.evacuations import (
    Evacuations,
    KnownEvacuations,
)
from bergamotshunt.decisions.watch_cache import WatchCache
from bergamotshunt.decisions.watch_sources import FOLLOWER_DEPTH, READER_DEPTH
from bergamotshunt.peers.entry_feed import (
    MAX_AGE_MS,
    MS_PER_S,
    FeedConfirmation,
    FeedRequest,
    FeedUpdate,
)
from bergamotshunt.stored_items import Item

# A silent peer is noticed this long after its last answer, and a little more.
FEED_WAIT_MS: Final = 600


class EntryFeed:
    """Entries of all servers, and the followers that wait for changes.

    Args:
        boot_clock: Returns the boot time in seconds.

    Attributes:
        cache: The entries as the store has them.
        evacuations: The evacuated zones.
        version: Version of the configuration in force; 0 without one.
        depth: Number of daemons between the store and this one;
            ``FOLLOWER_DEPTH`` if nobody may follow it.
        needs_confirmation: Whether the use of the configuration in force
            depends on its confirmation.
    """

    def __init__(self, boot_clock: Callable[[], float]) -> None:
        """Create a feed that knows nothing and refuses followers."""
        self.cache = WatchCache()
        self.evacuations = KnownEvacuations()
        self.version = 0
        self.depth = FOLLOWER_DEPTH
        self._boot_clock = boot_clock
        self.needs_confirmation = False
        self._confirmation: Confirmation | None = None
        self._changed = Event()

    @property
    def confirmation_age_ms(self) -> int | None:
        """Age of the own confirmation, to ask for one; None if not needed."""
        if not self.needs_confirmation:
            return None
        return int(min(self._confirmation_age_s() * MS_PER_S, MAX_AGE_MS))

    def update_version(
        self, version: int, *, needs_confirmation: bool = False
    ) -> None:
        """Tell followers of a configuration that is in force here."""
        self.version = version
        self.needs_confirmation = needs_confirmation
        self._confirmation = None
        self.notify()

    def update_confirmation(self, confirmation: Confirmation) -> None:
        """Pass on a confirmation of the version in force.

        Followers that wait have to know it at once if they had none.
        """
        if confirmation.version != self.version:
            return
        was_stale = self._confirmation_age_s() > STALE_CONFIRMATION_S
        self._confirmation = confirmation
        if was_stale:
            self.notify()

    def update_depth(self, depth: int) -> None:
        """Serve followers from now on, or refuse them and end their waits."""
        if depth != self.depth:
            self.depth = depth
            self.notify()

    def notify(self) -> None:
        """Wake the followers that wait for a change."""
        self._changed.set()
        self._changed = Event()

    def create_request(self, version: int, max_depth: int) -> FeedRequest:
        """Create a request for what this daemon does not know.

        Args:
            version: Version of the configuration that it has heard of.
            max_depth: Largest depth of the peer that is asked.
        """
        request = FeedRequest(
            self.cache.revision,
            version,
            FEED_WAIT_MS,
            max_depth,
            self.confirmation_age_ms,
            era=self.cache.era or None,
        )
        if not self.evacuations.position.revision:
            return request
        return request._replace(
            evacuations_era=self.evacuations.position.era,
            evacuations_revision=self.evacuations.position.revision,
        )

    async def serve(self, request: FeedRequest) -> FeedUpdate | None:
        """Return what a follower does not know, or wait for a change.

        Returns:
            The update, without items after the longest wait; None if this
            daemon is too far from the store.
        """
        asked_s = self._boot_clock()
        with suppress(TimeoutError):
            async with timeout(request.wait_ms / MS_PER_S):
                while self._is_near(request) and not (
                    self._has_changes(request)
                    or self._has_confirmation(request, asked_s)
                ):
                    await self._changed.wait()
        if not self._is_near(request):
            return None
        return self._create_update(request, asked_s)

    def _is_near(self, request: FeedRequest) -> bool:
        # A follower that knows a later era needs a peer that does.
        is_current = (request.era or 0) <= self.cache.era
        return is_current and self.depth <= min(request.max_depth, READER_DEPTH)

    def _has_changes(self, request: FeedRequest) -> bool:
        if self.version > request.version or self._has_evacuations(request):
            return True
        changes = self._list_changes(request)
        return changes is None or bool(changes)

    def _list_changes(self, request: FeedRequest) -> tuple[Item, ...] | None:
        return self.cache.changes_after(request.revision, request.era or 0)

    def _has_evacuations(self, request: FeedRequest) -> bool:
        """Return whether the follower does not know the evacuations."""
        if request.evacuations_revision is None:
            return bool(self.evacuations.zones)
        return self.evacuations.position > request.evacuations

    def _describe_evacuations(self, request: FeedRequest) -> Evacuations | None:
        is_stated = request.evacuations_revision is not None
        if is_stated or self.evacuations.zones:
            return self.evacuations.describe(self._boot_clock())
        return None

    def _has_confirmation(self, request: FeedRequest, asked_s: float) -> bool:
        """Return whether the follower needs the confirmation at once."""
        if request.confirmation_age_ms is None:
            return False
        if self.version < request.version:
            return False
        held_s = self._boot_clock() - asked_s
        return is_wanted_at_once(
            request.confirmation_age_ms / MS_PER_S + held_s,
            self._confirmation_age_s(),
        )

    def _confirmation_age_s(self) -> float:
        if self._confirmation is None:
            return inf
        return self._boot_clock() - self._confirmation.confirmed_s

    def _describe_confirmation(self, asked_s: float) -> FeedConfirmation | None:
        confirmation = self._confirmation
        if confirmation is None:
            return None
        now_s = self._boot_clock()
        return FeedConfirmation(
            age_ms=(now_s - confirmation.confirmed_s) * MS_PER_S,
            held_ms=(now_s - asked_s) * MS_PER_S,
            position=confirmation.position,
        )

    def _create_update(
        self, request: FeedRequest, asked_s: float
    ) -> FeedUpdate:
        changes = self._list_changes(request)
        is_listing = not request.revision or changes is None
        return FeedUpdate(
            self.cache.revision,
            self.version,
            self.depth,
            is_listing,
            self.cache.items if is_listing else changes or (),
            self._describe_confirmation(asked_s),
            self._describe_evacuations(request),
            self.cache.era,
        )
