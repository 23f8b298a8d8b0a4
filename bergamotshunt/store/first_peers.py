"""Finds the daemons that a new process may follow."""

from asyncio import Event, sleep
from collections.abc import Callable
from typing import Final

from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.platform.announcements import ENTRY_KEY_PREFIX
from bergamotshunt.platform.store import StoreClient
from bergamotshunt.platform.store_errors import StoreError
from bergamotshunt.store.server_entries import ServerEntries

# When all hosts start at once, most servers have announced themselves after
# this time, and only one daemon of each zone has to read the store.
FIRST_ANNOUNCEMENTS_S: Final = 2.0


class FirstPeers:
    """Lists peers by the entries of the store.

    The listing may be some seconds old. It is not applied: a server in it may
    have left since.

    Args:
        store: Client of the store.
        entries: Reads the entries.
        on_failure: Takes the error of a failed call.
    """

    def __init__(
        self,
        store: StoreClient,
        entries: ServerEntries,
        on_failure: Callable[[StoreError], None],
    ) -> None:
        """Create the search."""
        self._store = store
        self._entries = entries
        self._on_failure = on_failure
        self._searched = Event()
        self._found: tuple[FeedPeer, ...] = ()
        self._is_listed_again = False

    async def find(self, *, is_first_start: bool) -> tuple[FeedPeer, ...]:
        """Return daemons that may pass on what the store tells.

        Args:
            is_first_start: Whether the whole fleet starts for the first time.
        """
        try:
            self._found = await self._find(is_first_start=is_first_start)
        finally:
            self._searched.set()
        return self._found

    async def list_known(self) -> tuple[FeedPeer, ...]:
        """Return all peers, once the search for those to follow has ended.

        Without any, the store is listed once more; later calls rely on what
        the daemon hears of the entries.
        """
        await self._searched.wait()
        known = self._entries.list_peers() or self._found
        if not known and not self._is_listed_again:
            self._is_listed_again = True
            self._found = await self._list_peers()
        return known or self._found

    async def _find(self, *, is_first_start: bool) -> tuple[FeedPeer, ...]:
        peers = await self._list_peers()
        if is_first_start and not peers:
            await sleep(FIRST_ANNOUNCEMENTS_S)
            peers = await self._list_peers()
        return peers

    async def _list_peers(self) -> tuple[FeedPeer, ...]:
        try:
            listing = await self._store.list_items(
                ENTRY_KEY_PREFIX, allow_stale=True
            )
        except StoreError as error:
            self._on_failure(error)
            return ()
        return self._entries.list_peers_of(listing.items)
