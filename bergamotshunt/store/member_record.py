"""Record in the store since when this host has been a member of the fleet.

The entry of a host does not state its age, and the next process of its daemon
has to know it: the owner of shared state before this host may still grant.
"""

from typing import Final

from msgspec.json import encode

from bergamotshunt.decoding import MalformedInputError, decode_json
from bergamotshunt.platform.store import StoreClient, Write
from bergamotshunt.platform.store_errors import ConflictError
from bergamotshunt.stored_items import find_item
from bergamotshunt.value_checks import check_number

RECORD_KEY_PREFIX: Final = 'bergamotshunt/member-since/'


class MemberRecord:
    """The record of this host; it lies under the lease of the host's entry.

    An entry moves to another lease when its server leaves or stays, and when
    its lease has ended. A record under the lease of the entry therefore holds
    for the entry, without a gap.

    Args:
        store: Client of the store.
        ip: Address of the host.
    """

    def __init__(self, store: StoreClient, ip: str) -> None:
        """Create a record that is not written yet."""
        self.key = f'{RECORD_KEY_PREFIX}{ip}'
        self._store = store
        self._revision = 0
        self._written: tuple[int, float] | None = None

    async def read(self, entry_lease: int) -> float | None:
        """Return since when the entry under a lease has been stored.

        Args:
            entry_lease: Lease of the entry of this host.

        Returns:
            The boot time in seconds; None when unknown.

        Raises:
            StoreError: The call to the store failed.
        """
        listing = await self._store.list_items(self.key)
        item = find_item(listing.items, self.key)
        if item is None or item.content is None:
            return None
        self._revision = item.revision
        if item.lease != entry_lease:
            return None
        try:
            since_s: float = decode_json(item.content, 'value', float)
            check_number('time', since_s)
        except (MalformedInputError, ValueError):
            return None
        self._written = (entry_lease, since_s)
        return since_s

    async def write(self, lease: int, since_s: float) -> None:
        """Write the record unless the store has it.

        Args:
            lease: Lease of the entry.
            since_s: Boot time in seconds at which the store was known to
                have the entry.

        Raises:
            StoreError: A call to the store failed.
        """
        if self._written == (lease, since_s):
            return
        try:
            await self._write(lease, since_s)
        except ConflictError as error:
            item = find_item(error.items, self.key)
            self._revision = item.revision if item else 0
            await self._write(lease, since_s)

    async def _write(self, lease: int, since_s: float) -> None:
        content = encode(since_s)
        change = Write(self.key, content, self._revision, lease)
        self._revision = await self._store.write(change)
        self._written = (lease, since_s)
