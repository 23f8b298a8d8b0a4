"""Membership: the own server's entry under a lease, and all others."""

from asyncio import Event, sleep, wait_for
from typing import Any, Final

from bergamotshunt.decisions.known_servers import KnownServers
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (
    DescribeBeliefs,
    EntryHeard,
    OwnServerChanged,
    SlotShareLearned,
    ServersChanged,
    StopAnnounced,
    StoredServerFound,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.platform.announcements import (
    ENTRY_KEY_PREFIX,
    AnnouncementError,
    decode_entry,
    entry_key,
)
from bergamotshunt.platform.store import (
    HistoryGoneError,
    Item,
    StoreClient,
    StoreError,
)
from bergamotshunt.routing import ServerEntry, ServerState
from bergamotshunt.store.own_entry import (
    LEASE_MS,
    RENEW_INTERVAL_S,
    OwnEntry,
    is_changed,
)

RETRY_S: Final = 0.6
WATCH_PAUSE_S: Final = 0.5
WATCH_MS: Final = 20_000
EXPIRE_EVERY_S: Final = 0.5


class FleetTask(MeshTask):
    """Owns the daemon's lease and its view of the fleet."""

    name = 'fleet'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon that knows no server."""
        super().__init__(context)
        self._store = StoreClient(self.mesh.store)
        self._fleet = KnownServers()
        self._published: dict[str, ServerEntry] = {}
        self._own: ServerEntry | None = None
        self._slot_share: float = 0
        self._entry = OwnEntry(
            self._store,
            self.mesh.ip,
            max(LEASE_MS, self.mesh.min_lease_ms),
            context.clock,
        )
        self._changed = Event()
        self._stopping = False
        self._connected = True

    async def start(self) -> None:
        """Start to announce, to watch and to expire."""
        self.spawn(self._keep_announced())
        self.spawn(self._keep_watching())
        self.spawn(self._keep_expiring())

    async def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()
        await super().close()

    @handlers.on(OwnServerChanged)
    def note_own_server(self, message: OwnServerChanged) -> None:
        """Write the entry of the own server again if it differs."""
        entry = message.entry._replace(slot_share=self._slot_share)
        self._own = entry
        self._fleet.apply_report(entry, self.context.clock())
        self._publish()
        if is_changed(entry, self._entry.written):
            self._changed.set()

    @handlers.on(SlotShareLearned)
    def note_slot_share(self, message: SlotShareLearned) -> None:
        """Write what was learned, for the next process of this daemon."""
        self._slot_share = message.share
        if self._own is not None:
            self._own = self._own._replace(slot_share=message.share)
            self._changed.set()

    @handlers.on(EntryHeard)
    def note_heard(self, message: EntryHeard) -> None:
        """Take over what another daemon told of its server."""
        self._fleet.apply_report(message.entry, self.context.clock())
        self._publish()

    @handlers.on(StopAnnounced)
    def note_stop(self, _message: StopAnnounced) -> None:
        """End the lease of a server that has left.

        The entry of one that still runs is kept: the next process of this
        daemon finds it there and serves at once.
        """
        own = self._own
        self._stopping = own is None or own.state is ServerState.LEAVING
        self._changed.set()

    def note_gauges(self) -> None:
        """Bring the state of the lease up to date."""
        age_s = self.context.clock() - self._entry.renewed_s
        self.counts.set_gauge('lease_age_seconds', age_s)
        self.counts.set_gauge('store_connected', float(self._connected))
        self.counts.set_gauge('membership_store_calls', self._store.calls)

    def describe_beliefs(self, _message: DescribeBeliefs) -> dict[str, Any]:
        """Return the state of the store and of the own entry."""
        own = self._entry
        return {
            'store': {
                'connected': self._connected,
                'lease': own.lease,
                'lease_age_s': round(self.context.clock() - own.renewed_s, 1),
                'entry_written': own.written is not None,
            },
        }

    # The own entry

    async def _keep_announced(self) -> None:
        while True:
            wait_s = RENEW_INTERVAL_S
            try:
                await self._announce()
            except StoreError as error:
                self._note_store(error)
                wait_s = RETRY_S * self.context.rng.uniform(0.7, 1.3)
            else:
                self._note_store(None)
            try:
                await wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                continue
            self._changed.clear()

    async def _announce(self) -> None:
        if self._stopping:
            await self._entry.end()
        elif self._own is not None:
            await self._entry.renew_and_write(self._own)

    # The others

    async def _keep_watching(self) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await self._watch(revision)
            except HistoryGoneError:
                revision = None
            except StoreError as error:
                self._note_store(error)
                await sleep(RETRY_S * self.context.rng.uniform(0.7, 1.3))
            else:
                # Changes that come together are learned with one call.
                await sleep(WATCH_PAUSE_S)

    async def _watch(self, revision: int | None) -> int:
        now_s = self.context.clock
        if revision is None:
            listing = await self._store.list_items(ENTRY_KEY_PREFIX)
            decoded = map(self._decode, listing.items)
            entries = [entry for entry in decoded if entry is not None]
            self._fleet.apply_listing(entries, now_s())
            self._offer_own(entries)
            self._entry.apply_listing(listing.items)
        else:
            listing = await self._store.watch(
                ENTRY_KEY_PREFIX, revision, WATCH_MS
            )
            for changed in listing.items:
                self._note_change(changed)
        self._publish()
        return listing.revision

    def _offer_own(self, entries: list[ServerEntry]) -> None:
        """Offer the own entry of an earlier process.

        Its server may still run, and what was learned of it holds on.
        """
        for entry in entries:
            if entry.ip == self.mesh.ip:
                self.post.publish(StoredServerFound(entry))

    def _note_change(self, changed: Item) -> None:
        now_s = self.context.clock()
        if changed.content is None:
            self._fleet.apply_removed(
                changed.key.removeprefix(ENTRY_KEY_PREFIX),
                now_s,
            )
            if changed.key == self._entry.key:
                self._rewrite_lapsed()
            return
        entry = self._decode(changed)
        if entry is not None:
            self._fleet.apply_stored(entry, now_s)

    def _rewrite_lapsed(self) -> None:
        if self._entry.written is None:
            return
        log_event('fleet:own-entry-lapsed', lease=self._entry.lease)
        self._entry.mark_expired()
        self._changed.set()

    def _decode(self, found: Item) -> ServerEntry | None:
        try:
            entry = decode_entry(found.content or b'')
        except AnnouncementError as error:
            log_event(
                'fleet:entry-unreadable',
                key=found.key,
                detail=str(error),
            )
            return None
        return entry if entry_key(entry.ip) == found.key else None

    async def _keep_expiring(self) -> None:
        while True:
            await sleep(EXPIRE_EVERY_S)
            self._fleet.expire(self.context.clock())
            self._publish()

    def _publish(self) -> None:
        servers = self._fleet.servers()
        if servers.keys() == self._published.keys() and not any(
            is_changed(entry, self._published[instance])
            for instance, entry in servers.items()
        ):
            return
        self._published = servers
        log_event('fleet:servers-changed', count=len(servers))
        self.post.publish(ServersChanged(servers))

    def _note_store(self, error: StoreError | None) -> None:
        connected = error is None
        if connected == self._connected:
            return
        self._connected = connected
        log_event(
            'fleet:store-changed',
            connected=connected,
            detail=repr(error),
        )


@MESH_PLUGINS.register('fleet')
def create_fleet(context: Context) -> FleetTask:
    """Create the task."""
    return FleetTask(context)
