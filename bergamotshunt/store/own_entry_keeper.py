"""Keeps the entry of the local server in the store: lease, writes, contact."""

from asyncio import Condition, Event, sleep, timeout
from collections.abc import Callable
from contextlib import suppress
from math import inf
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.decisions.announcements import is_newer_announcement
from bergamotshunt.decisions.store_contact import StoreContact, record_call
from bergamotshunt.platform.store_errors import StoreError
from bergamotshunt.routing import ServerEntry
from bergamotshunt.store.own_entry import (
    RENEW_INTERVAL_S,
    ROOT_RENEW_INTERVAL_S,
    OwnEntry,
    is_changed,
)
from bergamotshunt.store.store_watch import RETRY_JITTER

RETRY_DELAY_S: Final = 0.6
# After a call that waited for its timeout; the entry of a server whose lease
# has expired is missing until the next call.
MIN_RETRY_DELAY_S: Final = 0.2
# The slot share is only read after a restart. Each write of it costs a call,
# and one more at each reader of the store.
SLOT_SHARE_INTERVAL_S: Final = 15.0
# A server counts an announcement as lost after a second without a response.
WRITE_WAIT_TIMEOUT_S: Final = 0.5


class EntryObserver(NamedTuple):
    """Functions that a keeper calls.

    Attributes:
        on_result: Takes the error of a failed update; None after success.
        on_contact: Takes the contact when the store ceases to answer, and
            when it answers again.
        on_stored: Takes the entry that an earlier process wrote, or None,
            once the store has told.
    """

    on_result: Callable[[StoreError | None], None]
    on_contact: Callable[[StoreContact], None]
    on_stored: Callable[[ServerEntry | None], None]


class OwnEntryKeeper:
    """Renews the lease of an entry and writes what changes.

    Args:
        own_entry: The entry in the store.
        observer: Functions that take the outcomes.
        clock: Returns the monotonic time in seconds.
        rng: Random source of the retry delays.

    Attributes:
        contact: What the calls tell of the store.
    """

    def __init__(
        self,
        own_entry: OwnEntry,
        observer: EntryObserver,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Create a keeper without a server."""
        self.contact = StoreContact()
        self._own_entry = own_entry
        self._observer = observer
        self._clock = clock
        self._rng = rng
        self._server: ServerEntry | None = None
        self._slot_share: float = 0
        self._slot_share_due_s = -inf
        self._retry_delay_s = RETRY_DELAY_S
        self._due_s = -inf
        self._changed = Event()
        self._written = Condition()

    @property
    def server(self) -> ServerEntry | None:
        """The server on this host, with its estimated slot share."""
        if self._server is None:
            return None
        return self._server._replace(slot_share=self._slot_share)

    def update_server(self, entry: ServerEntry) -> None:
        """Write the entry of the server unless the store has it."""
        self._server = entry
        self._write_if_changed()

    def update_slot_share(self, share: float) -> None:
        """Keep the slot share for the next process of this daemon."""
        self._slot_share = share
        self._write_if_changed()

    def update_reading(self, *, reading: bool) -> None:
        """Renew more often while this daemon watches the store for others."""
        self._own_entry.renew_interval_s = (
            ROOT_RENEW_INTERVAL_S if reading else RENEW_INTERVAL_S
        )
        self._changed.set()

    def update_age_recording(self, *, needed: bool) -> None:
        """Record for the next process since when this host is a member."""
        if needed and not self._own_entry.is_age_recorded:
            self._changed.set()
        self._own_entry.is_age_recorded = needed

    def rewrite(self) -> None:
        """Write the entry again: its lease has ended."""
        self._own_entry.mark_expired()
        self._changed.set()

    def handle_restore(self, window_s: float) -> None:
        """Write the entry again, as the store was restored from a copy.

        Args:
            window_s: Time over which all daemons spread their writes. That
                a server leaves is written at once.
        """
        self._own_entry.mark_lost()
        self._due_s = self._clock() + self._rng.uniform(0, window_s)
        self._changed.set()

    async def wait_until_written(self, entry: ServerEntry) -> bool:
        """Wait until the store has a server's announced state, but not long.

        Returns:
            Whether the store has it.
        """
        with suppress(TimeoutError):
            async with timeout(WRITE_WAIT_TIMEOUT_S), self._written:
                await self._written.wait_for(lambda: self._is_written(entry))
        return self._is_written(entry)

    async def run(self) -> None:
        """Keep the entry until the task is cancelled.

        It is read first: what an earlier process wrote may tell that the
        server has left, and must not be overwritten before.
        """
        while not await self._read():
            await sleep(self._retry_delay_s)
        while True:
            wait_s = await self._update()
            # asyncio.wait_for of Python 3.11 can swallow a cancellation that
            # arrives with the event, and the task would never close.
            with suppress(TimeoutError):
                async with timeout(wait_s):
                    await self._changed.wait()
                    self._changed.clear()

    async def _read(self) -> bool:
        """Read the entry that an earlier process wrote.

        Returns:
            Whether the store has told.
        """
        started_s = self._clock()
        try:
            stored = await self._own_entry.read()
        except StoreError as error:
            self._handle_failure(started_s, error)
            return False
        self._record_call(started_s, failed=False)
        self._observer.on_result(None)
        if stored is not None:
            self._slot_share = self._slot_share or stored.slot_share
            if stored.is_leaving:
                self._keep_leaving(stored)
        self._observer.on_stored(stored)
        return True

    def _keep_leaving(self, stored: ServerEntry) -> None:
        """Keep an entry that an older announcement must not overwrite."""
        if is_newer_announcement(stored, self._server):
            self._server = stored

    def _is_leaving(self) -> bool:
        return self._server is not None and self._server.is_leaving

    def _is_written(self, entry: ServerEntry) -> bool:
        written = self._own_entry.written
        return written is not None and (
            (written.instance, written.born_ms, written.state)
            == (entry.instance, entry.born_ms, entry.state)
        )

    def _write_if_changed(self) -> None:
        entry = self._entry_to_write()
        if entry is not None and is_changed(entry, self._own_entry.written):
            self._changed.set()

    def _entry_to_write(self) -> ServerEntry | None:
        """Return the entry; a new slot share has to wait for its interval."""
        written = self._own_entry.written
        entry = self.server
        if entry is None or written is None:
            return entry
        if self._clock() < self._slot_share_due_s:
            return entry._replace(slot_share=written.slot_share)
        return entry

    async def _update(self) -> float:
        """Renew the lease and write the entry.

        Returns:
            The time until the next renewal, in seconds.
        """
        started_s = self._clock()
        if started_s < self._due_s and not self._is_leaving():
            return self._due_s - started_s
        own = self._own_entry
        renewed_s, ended_leases = own.renewed_s, own.ended_leases
        try:
            await self._renew_and_write()
            await own.record_age()
        except StoreError as error:
            self._handle_failure(started_s, error)
            return self._retry_delay_s
        async with self._written:
            self._written.notify_all()
        if own.ended_leases > ended_leases:
            # The store has not heard of this daemon for the whole lease.
            self._record_call(started_s, failed=True)
        if own.renewed_s > renewed_s:
            self._record_call(own.renewed_s, failed=False)
        self._observer.on_result(None)
        return own.renew_interval_s

    async def _renew_and_write(self) -> None:
        entry = self._entry_to_write()
        if entry is None:
            return
        written = self._own_entry.written
        await self._own_entry.renew_and_write(entry)
        before = written.slot_share if written else 0
        if entry.slot_share != before:
            self._slot_share_due_s = self._clock() + SLOT_SHARE_INTERVAL_S

    def _handle_failure(self, started_s: float, error: StoreError) -> None:
        """Record a failed call and set the delay of the next attempt."""
        self._record_call(started_s, failed=True)
        self._observer.on_result(error)
        took_s = self._clock() - started_s
        delay_s = max(RETRY_DELAY_S - took_s, MIN_RETRY_DELAY_S)
        self._retry_delay_s = delay_s * self._rng.uniform(*RETRY_JITTER)

    def _record_call(self, sent_s: float, *, failed: bool) -> None:
        """Record a renewal of the lease; watches may have to be asked again."""
        before = self.contact
        self.contact = record_call(before, sent_s, self._clock(), failed=failed)
        has_recovered = self.contact.recovered_s > before.recovered_s
        if has_recovered or self.contact.failing is not before.failing:
            self._observer.on_contact(self.contact)
