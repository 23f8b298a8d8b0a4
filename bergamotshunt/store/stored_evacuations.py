"""Evacuated zones as the operator's keys in the store name them."""

from collections.abc import Iterable

from bergamotshunt.decisions.evacuations import Evacuations
from bergamotshunt.decisions.watch_cache import WatchCache
from bergamotshunt.platform.configuration import EVACUATION_KEY_PREFIX
from bergamotshunt.stored_items import Item, Listing


class StoredEvacuations:
    """Follows the keys of the operator that evacuate zones."""

    def __init__(self) -> None:
        """Create the state before the first listing."""
        self._cache = WatchCache()

    def apply_listing(self, listing: Listing) -> Evacuations:
        """Apply all keys of the operator; return the evacuated zones."""
        self._cache.apply_listing(_select(listing))
        return self._describe()

    def apply_changes(self, changes: Listing) -> Evacuations:
        """Apply changed keys of the operator; return the evacuated zones."""
        self._cache.apply_changes(_select(changes))
        return self._describe()

    def _describe(self) -> Evacuations:
        return Evacuations(
            self._cache.position, tuple(_list_zones(self._cache.items))
        )


def _select(listing: Listing) -> Listing:
    items = tuple(
        item
        for item in listing.items
        if item.key.startswith(EVACUATION_KEY_PREFIX)
    )
    return listing._replace(items=items)


def _list_zones(items: Iterable[Item]) -> Iterable[str]:
    for item in items:
        zone = item.key.removeprefix(EVACUATION_KEY_PREFIX)
        # No host is in a zone whose name cannot be printed.
        if zone.isprintable() and zone:
            yield zone
