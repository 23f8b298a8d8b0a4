"""Items of the store, as its clients and the daemons exchange them."""

from collections.abc import Iterable
from typing import NamedTuple


class Item(NamedTuple):
    """A key and its value.

    Attributes:
        key: The key.
        content: The value; None when the key was deleted.
        revision: Store revision of its last change.
        lease: Id of the lease it is bound to; 0 for none.
    """

    key: str
    content: bytes | None
    revision: int
    lease: int = 0


class KeyState(NamedTuple):
    """What the comparison of a key with its expected revision shows.

    Attributes:
        is_unchanged: Whether the key has this revision.
        item: The current item otherwise; None if the key does not exist.
        era: Era of the store.
    """

    is_unchanged: bool
    item: Item | None = None
    era: int = 0


class StorePosition(NamedTuple):
    """A point in the history of the store; later ones compare as greater.

    Attributes:
        era: Number of times that the store was restored from a copy. Each
            era gives out revisions anew.
        revision: Store revision within the era.
    """

    era: int = 0
    revision: int = 0


class Listing(NamedTuple):
    """Items and the store revision at which they were read.

    Attributes:
        items: The items.
        revision: Store revision up to which they are known.
        era: Era of the store.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Position of the store up to which the items are known."""
        return StorePosition(self.era, self.revision)


def find_item(items: Iterable[Item], key: str) -> Item | None:
    """Return the existing item of a key; None if there is none."""
    for item in items:
        if item.key == key and item.content is not None:
            return item
    return None
