"""Items below a prefix of the store, kept to serve the watches of peers."""

from collections.abc import Iterable
from typing import Final

from bergamotshunt.stored_items import Item, Listing, StorePosition

# Removed keys that are remembered. A peer that is behind all of them has to
# read the items anew.
MAX_REMOVED_KEYS: Final = 1024


class WatchCache:
    """Newest known items, and their changes since a revision.

    Changes may arrive late, repeatedly and in any order; no key goes back to
    an earlier revision.

    Attributes:
        era: Era of the store.
        revision: Store revision up to which all changes are known; 0 before
            the first listing.
    """

    def __init__(self) -> None:
        """Create a cache that knows nothing."""
        self.era = 0
        self.revision = 0
        # Peers that are behind this revision may have missed removals.
        self._oldest_revision = 0
        self._items_by_key: dict[str, Item] = {}
        self._removals_by_key: dict[str, Item] = {}

    @property
    def position(self) -> StorePosition:
        """Position of the store up to which all changes are known."""
        return StorePosition(self.era, self.revision)

    @property
    def items(self) -> tuple[Item, ...]:
        """All items that exist."""
        return tuple(self._items_by_key.values())

    def apply_listing(self, listing: Listing) -> bool:
        """Replace all items by those of a complete listing.

        Returns:
            Whether it was applied; a listing of an earlier position than the
            known one is ignored.
        """
        if listing.position < self.position:
            return False
        if listing.era > self.era:
            self._start_era(listing.era)
        if not self.revision:
            self._oldest_revision = listing.revision
        listed_keys = {item.key for item in listing.items}
        for key in self._items_by_key.keys() - listed_keys:
            self._apply(Item(key, None, listing.revision))
        for item in listing.items:
            self._apply(item)
        self.revision = listing.revision
        return True

    def apply_changes(self, changes: Listing) -> tuple[Item, ...]:
        """Apply the changes up to a revision.

        Changes of another era are ignored: those of an earlier one are no
        longer valid, and a later one starts with a listing.

        Returns:
            Those that were not known before.
        """
        if changes.era != self.era:
            return ()
        changed_items = tuple(filter(self._apply, changes.items))
        self.revision = max(self.revision, changes.revision)
        return changed_items

    def changes_after(
        self, revision: int, era: int = 0
    ) -> tuple[Item, ...] | None:
        """Return what changed after a revision, removals included.

        Args:
            revision: Store revision.
            era: Era of the store that gave it out.

        Returns:
            The changed items; None if removals since then are forgotten, or
            the revision is of another era.
        """
        if era != self.era:
            return None
        if revision >= self.revision:
            return ()
        if revision < self._oldest_revision:
            return None
        return (
            *_changed_after(self._items_by_key.values(), revision),
            *_changed_after(self._removals_by_key.values(), revision),
        )

    def _start_era(self, era: int) -> None:
        """Forget all revisions: the new era gives them out again."""
        self.era = era
        self.revision = 0
        self._items_by_key.clear()
        self._removals_by_key.clear()

    def _apply(self, item: Item) -> bool:
        known = self._items_by_key.get(item.key)
        known = known or self._removals_by_key.get(item.key)
        if known is not None and item.revision <= known.revision:
            return False
        self._items_by_key.pop(item.key, None)
        self._removals_by_key.pop(item.key, None)
        if item.content is None:
            self._removals_by_key[item.key] = item
            self._forget_removals()
        else:
            self._items_by_key[item.key] = item
        return True

    def _forget_removals(self) -> None:
        if len(self._removals_by_key) <= MAX_REMOVED_KEYS:
            return
        oldest = min(
            self._removals_by_key.values(), key=lambda item: item.revision
        )
        self._removals_by_key.pop(oldest.key)
        self._oldest_revision = max(self._oldest_revision, oldest.revision)


def _changed_after(items: Iterable[Item], revision: int) -> list[Item]:
    return [item for item in items if item.revision > revision]
