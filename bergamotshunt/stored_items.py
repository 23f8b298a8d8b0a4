"""Items of the store, as its clients and the daemons exchange them."""

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


class Listing(NamedTuple):
    """Items and the store revision at which they were read."""

    items: tuple[Item, ...]
    revision: int
