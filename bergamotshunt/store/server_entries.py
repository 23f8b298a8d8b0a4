"""View of all backend servers, from their entries and their daemons."""

from collections.abc import Callable, Iterable
from typing import Final

from bergamotshunt.decisions.fleet_members import (
    FleetMembers,
    MemberPublication,
)
from bergamotshunt.decisions.known_servers import KnownServers
from bergamotshunt.decisions.watch_cache import WatchCache
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.mesh_messages import MembersChanged
from bergamotshunt.platform.announcements import (
    ENTRY_KEY_PREFIX,
    decode_entry,
    entry_key,
)
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.routing import ServerEntry
from bergamotshunt.store.own_entry import is_changed
from bergamotshunt.stored_items import Item, Listing

# The members are published without what the store had of this host when it
# has not told for this time.
OWN_ENTRY_WAIT_S: Final = 1.5


class ServerEntries:
    """Applies what the store and other daemons tell of the servers.

    Args:
        cache: The entries as the store has them.
        rejected: Log of entries that cannot be used.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        cache: WatchCache,
        rejected: RejectedInputLog,
        clock: Callable[[], float],
    ) -> None:
        """Create a view without servers."""
        self._cache = cache
        self._rejected = rejected
        self._clock = clock
        self._known_servers = KnownServers()
        self._published_by_instance: dict[str, ServerEntry] = {}
        self._members = FleetMembers()
        self._member_publication = MemberPublication()
        self._started_s = clock()

    def apply_listing(self, listing: Listing) -> bool:
        """Apply all entries of the store.

        Returns:
            Whether they were applied; an old listing is ignored.
        """
        if not self._cache.apply_listing(listing):
            return False
        entries = list(filter(None, map(self._decode, listing.items)))
        self._known_servers.apply_listing(entries, self._clock())
        self._members.apply_listing(entries, self._clock())
        return True

    def apply_changes(self, changes: Listing) -> tuple[Item, ...]:
        """Apply the entries that changed in the store.

        Returns:
            Those that were not known before.
        """
        changed_items = self._cache.apply_changes(changes)
        for item in changed_items:
            with self._rejected.contain('fleet:entry-failed', item.key):
                self._apply_change(item)
        return changed_items

    def apply_report(self, entry: ServerEntry) -> None:
        """Apply an entry that the daemon of the server sent."""
        self._known_servers.apply_report(entry, self._clock())

    def expire(self) -> None:
        """Drop servers that neither the store nor their daemon confirms."""
        self._known_servers.expire(self._clock())
        self._members.expire(self._clock())

    def record_own(self, since_s: float | None) -> None:
        """Record since when the host has been a member, or None."""
        self._member_publication.record_own(since_s)

    def list_peers(self) -> tuple[FeedPeer, ...]:
        """Return the daemons that may be followed."""
        return _ready_peers(self._known_servers.stored_entries())

    def list_peers_of(self, items: Iterable[Item]) -> tuple[FeedPeer, ...]:
        """Return the daemons that may be followed, by items of the store."""
        return _ready_peers(filter(None, map(self._decode, items)))

    def take_changed_servers(self) -> dict[str, ServerEntry] | None:
        """Return the servers by instance; None if they were taken before.

        Sequence numbers and remaining warm-up times are no changes.
        """
        servers = self._known_servers.servers_by_instance()
        if servers.keys() == self._published_by_instance.keys() and not any(
            is_changed(entry, self._published_by_instance[instance])
            for instance, entry in servers.items()
        ):
            return None
        self._published_by_instance = servers
        return servers

    def take_changed_members(self) -> MembersChanged | None:
        """Return the members; None if they were taken before, or unknown."""
        if not self._cache.revision:
            return None
        waited_s = self._clock() - self._started_s
        return self._member_publication.take_changed(
            self._members.members(), wait=waited_s < OWN_ENTRY_WAIT_S
        )

    def count_members(self) -> int:
        """Return the number of members of the fleet."""
        return len(self._members.members())

    def count_stored(self) -> int:
        """Return how many servers have an entry in the store."""
        return len(self._known_servers.stored_entries())

    def _apply_change(self, item: Item) -> None:
        if item.content is None:
            ip = item.key.removeprefix(ENTRY_KEY_PREFIX)
            self._known_servers.apply_removed(ip, self._clock())
            self._members.apply_removed(ip, self._clock())
            return
        entry = self._decode(item)
        if entry is not None:
            self._known_servers.apply_stored(entry, self._clock())
            self._members.apply_stored(entry)

    def _decode(self, item: Item) -> ServerEntry | None:
        """Decode an entry; log it and return None when it is unusable."""
        with self._rejected.contain('fleet:entry-unreadable', item.key):
            entry = decode_entry(item.content or b'')
            if entry_key(entry.ip) == item.key:
                return entry
            self._rejected.write(
                'fleet:entry-misplaced',
                item.key,
                f'the entry is of the host {entry.ip}',
            )
        return None


def _ready_peers(entries: Iterable[ServerEntry]) -> tuple[FeedPeer, ...]:
    """Return the daemons beside servers that do not leave."""
    return tuple(
        FeedPeer(entry.ip, entry.inbound_port, entry.zone)
        for entry in entries
        if not entry.is_leaving
    )
