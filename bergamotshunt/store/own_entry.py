"""Store entry of the local backend server, bound to a lease."""

from collections.abc import Callable
from contextlib import suppress
from typing import Final

from bergamotshunt.mesh_settings import MeshSettings
from bergamotshunt.platform.announcements import (
    AnnouncementError,
    decode_entry,
    encode_entry,
    entry_key,
)
from bergamotshunt.platform.store import StoreClient, Write
from bergamotshunt.platform.store_errors import (
    ConflictError,
    LeaseEndedError,
    OutcomeUnknownError,
)
from bergamotshunt.routing import ServerEntry
from bergamotshunt.store.member_record import MemberRecord
from bergamotshunt.stored_items import Item, find_item

LEASE_MS: Final = 5000
# The entry of a server that leaves outlasts a slow restart of its daemon: the
# next process has to know that late announcements of the server are void.
LEAVING_LEASE_MS: Final = 30_000
# Three renewals fall into one lease, so a failed one does not end it.
RENEW_INTERVAL_S: Final = 1.6
# The root notices with its renewals that the store does not answer, and its
# followers have to turn elsewhere before a change has to be in force.
ROOT_RENEW_INTERVAL_S: Final = 0.5
# A lease is renewed early once this share of the interval has passed.
RENEWAL_DUE_SHARE: Final = 0.9
# One attempt finds the lease ended, the next one may find a conflict.
MAX_ATTEMPTS: Final = 3


class OwnEntry:
    """Writes the entry of the local server and renews its lease.

    Args:
        store: Client of the store.
        ip: Address of the host, which the key is derived from.
        lease_ms: Time to live of the lease of a ready server, in
            milliseconds.
        clock: Returns the monotonic time in seconds.
        boot_clock: Returns the boot time in seconds.

    Attributes:
        key: Key of the entry.
        lease: Id of the lease; 0 without one.
        renewed_s: Monotonic time of the last renewal, in seconds.
        written: Entry known to be in the store; None when unknown.
        ended_leases: Number of leases that ended.
        renew_interval_s: Time between two renewals, in seconds.
        member_since_s: Boot time since which the store has had the entry of
            a ready server of this host without a gap; None when unknown.
        is_age_recorded: Whether the next process needs to know it.
    """

    def __init__(
        self,
        store: StoreClient,
        ip: str,
        lease_ms: int,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        """Create an entry that is not written yet."""
        self.key = entry_key(ip)
        self.lease = 0
        self.renewed_s: float = 0
        self.written: ServerEntry | None = None
        self.ended_leases = 0
        self.renew_interval_s = RENEW_INTERVAL_S
        self.member_since_s: float | None = None
        self.is_age_recorded = False
        self._store = store
        self._lease_ms = lease_ms
        # Whether the lease is one for a server that leaves.
        self._granted_leaving = False
        self._clock = clock
        self._boot_clock = boot_clock
        self._record = MemberRecord(store, ip)
        self._revision: int | None = 0

    async def renew_and_write(self, entry: ServerEntry) -> None:
        """Renew the lease if due, and write a changed entry.

        An ended lease and a conflict are answers of a store that works, so
        the next attempt follows at once: the entry is missing meanwhile.

        Raises:
            StoreError: A call to the store failed.
        """
        for attempts_left in reversed(range(MAX_ATTEMPTS)):
            try:
                await self._try_renew_and_write(entry)
            except (LeaseEndedError, ConflictError):
                if not attempts_left:
                    raise
            else:
                return

    async def read(self) -> ServerEntry | None:
        """Return the entry that an earlier process wrote, if there is one.

        That of a ready server stays under its lease: nobody else renews it,
        and the record of the membership lies under it, too.

        Raises:
            StoreError: The call to the store failed.
        """
        listing = await self._store.list_items(self.key)
        self.apply_listing(listing.items)
        stored = find_item(listing.items, self.key)
        if stored is None or stored.content is None:
            return None
        with suppress(AnnouncementError):
            entry = decode_entry(stored.content)
            if not entry.is_leaving:
                self.member_since_s = await self._record.read(stored.lease)
                self.lease = stored.lease
                self.written = entry
            return entry
        return None

    async def record_age(self) -> None:
        """Write since when the host has been a member, if it is one.

        Raises:
            StoreError: A call to the store failed.
        """
        since_s = self.member_since_s
        is_written = self.written is not None and since_s is not None
        if self.is_age_recorded and is_written:
            await self._record.write(self.lease, since_s or 0)

    def apply_listing(self, items: tuple[Item, ...]) -> None:
        """Read the revision from a listing if the entry is unknown."""
        if self.written is None:
            self._revision = _revision_of(items, self.key)

    def is_ended_by(self, removal: Item) -> bool:
        """Return whether the removal of an item deleted the written entry.

        News of an earlier removal may arrive after the entry was written
        again.
        """
        if removal.key != self.key or self.written is None:
            return False
        return self._revision is None or removal.revision > self._revision

    def mark_expired(self) -> None:
        """Record that the lease expired and the entry was deleted."""
        self.lease = 0
        self._revision = 0
        self.written = None
        self.member_since_s = None

    def mark_lost(self) -> None:
        """Record that the store was restored from a copy.

        It may have an earlier entry, and may have given the id of the lease
        to another daemon.
        """
        self.lease = 0
        self._revision = None
        self.written = None
        self.member_since_s = None

    async def _try_renew_and_write(self, entry: ServerEntry) -> None:
        try:
            await self._renew_or_grant_lease(entry)
            if is_changed(entry, self.written):
                await self._write(entry)
        except LeaseEndedError:
            # The store has removed the entry together with its lease.
            self.mark_expired()
            self.ended_leases += 1
            raise

    def _lease_ms_of(self, entry: ServerEntry) -> int:
        if entry.is_leaving:
            return max(self._lease_ms, LEAVING_LEASE_MS)
        return self._lease_ms

    async def _renew_or_grant_lease(self, entry: ServerEntry) -> None:
        """Renew the lease if due; grant one if none is for this state."""
        now_s = self._clock()
        if self.lease and self._granted_leaving == entry.is_leaving:
            min_age_s = self.renew_interval_s * RENEWAL_DUE_SHARE
            if now_s - self.renewed_s < min_age_s:
                return
            await self._store.renew_lease(self.lease)
        else:
            # The entry moves to the new lease; an old one ends by itself.
            lease_ms = self._lease_ms_of(entry)
            self.lease = (await self._store.grant_lease(lease_ms)).id
            self._granted_leaving = entry.is_leaving
            self.written = None
        self.renewed_s = now_s

    async def _write(self, entry: ServerEntry) -> None:
        """Write the entry by compare-and-swap on its known revision.

        A write whose response was lost may be executed much later. Its
        condition fails then, as the entry has another revision by then.
        """
        content = encode_entry(entry)
        if self._revision is None:
            await self._read_revision(content)
            if self.written is not None:
                self._record_written(entry)
                return
        try:
            self._revision = await self._store.write(
                Write(self.key, content, self._revision or 0, self.lease),
            )
        except ConflictError as error:
            self._revision = _revision_of(error.items, self.key)
            self.member_since_s = None
            raise
        except OutcomeUnknownError:
            self._revision = None
            self.member_since_s = None
            raise
        self.written = entry
        self._record_written(entry)

    def _record_written(self, entry: ServerEntry) -> None:
        """Record that the store has the entry: its age counts from now."""
        if entry.is_leaving:
            self.member_since_s = None
        elif self.member_since_s is None:
            self.member_since_s = self._boot_clock()

    async def _read_revision(self, content: bytes) -> None:
        listing = await self._store.list_items(self.key)
        self._revision = _revision_of(listing.items, self.key)
        for found in listing.items:
            if found.key == self.key and (found.content, found.lease) == (
                content,
                self.lease,
            ):
                self.written = decode_entry(content)


def create_own_entry(
    store: StoreClient,
    settings: MeshSettings,
    clock: Callable[[], float],
    boot_clock: Callable[[], float],
) -> OwnEntry:
    """Create the entry of the server on this host."""
    lease_ms = max(LEASE_MS, settings.min_lease_ms)
    return OwnEntry(store, settings.ip, lease_ms, clock, boot_clock)


def is_changed(entry: ServerEntry, written: ServerEntry | None) -> bool:
    """Return whether more changed than sequence and remaining warm-up."""
    if written is None:
        return True
    return entry._replace(sequence=0, cold_ms=0) != written._replace(
        sequence=0,
        cold_ms=0,
    )


def _revision_of(items: tuple[Item, ...], key: str) -> int:
    for found in items:
        if found.key == key and found.content is not None:
            return found.revision
    return 0
