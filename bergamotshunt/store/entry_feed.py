"""Serves the entries that this daemon knows to daemons that follow it."""

from asyncio import Event, timeout
from contextlib import suppress

from bergamotshunt.decisions.watch_cache import WatchCache
from bergamotshunt.decisions.watch_sources import FOLLOWER_DEPTH, READER_DEPTH
from bergamotshunt.peers.entry_feed import MS_PER_S, FeedRequest, FeedUpdate


class EntryFeed:
    """Entries of all servers, and the followers that wait for changes.

    Attributes:
        cache: The entries as the store has them.
        version: Version of the configuration in force; 0 without one.
        depth: Number of daemons between the store and this one;
            ``FOLLOWER_DEPTH`` if nobody may follow it.
    """

    def __init__(self) -> None:
        """Create a feed that knows nothing and refuses followers."""
        self.cache = WatchCache()
        self.version = 0
        self.depth = FOLLOWER_DEPTH
        self._changed = Event()

    def update_version(self, version: int) -> None:
        """Tell followers of a configuration that is in force here."""
        self.version = version
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

    async def serve(self, request: FeedRequest) -> FeedUpdate | None:
        """Return what a follower does not know, or wait for a change.

        Returns:
            The update, without items after the longest wait; None if this
            daemon is too far from the store.
        """
        with suppress(TimeoutError):
            async with timeout(request.wait_ms / MS_PER_S):
                while self._is_near(request) and not self._has_news(request):
                    await self._changed.wait()
        return self._create_update(request) if self._is_near(request) else None

    def _is_near(self, request: FeedRequest) -> bool:
        return self.depth <= min(request.max_depth, READER_DEPTH)

    def _has_news(self, request: FeedRequest) -> bool:
        if self.version > request.version:
            return True
        changes = self.cache.changes_after(request.revision)
        return changes is None or bool(changes)

    def _create_update(self, request: FeedRequest) -> FeedUpdate:
        changes = self.cache.changes_after(request.revision)
        is_listing = not request.revision or changes is None
        return FeedUpdate(
            self.cache.revision,
            self.version,
            self.depth,
            is_listing,
            self.cache.items if is_listing else changes or (),
        )
