"""Fleet: stores this server's entry under a lease and follows all others."""

from asyncio import sleep
from collections.abc import Iterable
from typing import Any, Final

from bergamotshunt.decisions.known_servers import KnownServers
from bergamotshunt.decisions.store_contact import StoreContact
from bergamotshunt.decisions.watch_sources import (
    FOLLOWER_DEPTH,
    READER_DEPTH,
    ROOT_DEPTH,
    FeedPeer,
)
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    ConfigurationMissed,
    DescribeState,
    OwnServerChanged,
    PeerVersionReceived,
    RoutingChanged,
    ServerEntryReceived,
    ServersChanged,
    SlotShareEstimated,
    StopRequested,
    StoreContactChanged,
    StoredServerRead,
    StoreReadingChanged,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.peers.entry_feed import FeedRequest, FeedUpdate
from bergamotshunt.platform.announcements import (
    ENTRY_KEY_PREFIX,
    decode_entry,
    entry_key,
)
from bergamotshunt.platform.store import StoreClient, StoreError
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.routing import ServerEntry
from bergamotshunt.store.entry_feed import EntryFeed
from bergamotshunt.store.entry_source import EntrySource, SourceObserver
from bergamotshunt.store.own_entry import LEASE_MS, OwnEntry, is_changed
from bergamotshunt.store.own_entry_keeper import EntryObserver, OwnEntryKeeper
from bergamotshunt.store.store_watch import (
    StoreWatch,
    WatchObserver,
    WatchTiming,
)
from bergamotshunt.stored_items import Item, Listing

WATCH_TIMING: Final = WatchTiming(retry_delay_s=0.6, batch_delay_s=0.5)
EXPIRY_INTERVAL_S: Final = 0.5
# When all hosts start at once, most servers have announced themselves after
# this time, and only one daemon of each zone has to read the store.
FIRST_ANNOUNCEMENTS_S: Final = 2.0


class FleetTask(MeshTask):
    """Owns the daemon's lease and its view of the fleet."""

    name = 'fleet'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon that knows no server."""
        super().__init__(context)
        self._store = StoreClient(self.mesh.store)
        self._known_servers = KnownServers()
        self._rejected = RejectedInputLog(context.clock, self.metrics)
        self._published_by_instance: dict[str, ServerEntry] = {}
        self._own_entry = OwnEntry(
            self._store,
            self.mesh.ip,
            max(LEASE_MS, self.mesh.min_lease_ms),
            context.clock,
        )
        self._keeper = OwnEntryKeeper(
            self._own_entry,
            EntryObserver(
                self._set_store_state,
                self._handle_recovery,
                self._publish_stored_own,
            ),
            context.clock,
            context.rng,
        )
        self._watch = StoreWatch(
            self._store,
            ENTRY_KEY_PREFIX,
            WatchObserver(
                self._apply_listing,
                self._apply_changes,
                self._handle_watch_failure,
            ),
            WATCH_TIMING,
            context.clock,
            context.rng,
        )
        self._feed = EntryFeed()
        self._source = EntrySource(
            FeedPeer(self.mesh.ip, self.mesh.inbound.port, self.mesh.zone),
            self._watch,
            self._feed,
            SourceObserver(self._apply_update, self._handle_reading),
            context.clock,
        )
        self._connected = True
        self._watch_failed = False
        self._source_depth = READER_DEPTH
        self._stopping = False

    async def start(self) -> None:
        """Start to write this server's entry and to follow and expire all."""
        self.spawn_loop(self._keeper.run)
        self.spawn_loop(self._run_source)
        self.spawn_loop(self._run_expiry)

    async def close(self) -> None:
        """Close the connections to the store and to the followed peer."""
        self._store.close()
        self._source.close()
        await super().close()

    async def drain(self) -> None:
        """Refuse followers: they have to find another daemon."""
        self._stopping = True
        self._update_serving()

    @handlers.on(OwnServerChanged)
    async def handle_own_server(self, message: OwnServerChanged) -> None:
        """Update this server's entry; write it to the store if it differs.

        That the server leaves is written before the reply: the next process
        of this daemon has to know what was acknowledged.
        """
        self._keeper.update_server(message.entry)
        entry = self._keeper.server or message.entry
        self._known_servers.apply_report(entry, self.context.clock())
        self._publish()
        if entry.is_leaving:
            await self._keeper.wait_until_written(entry)

    @handlers.on(SlotShareEstimated)
    def update_slot_share(self, message: SlotShareEstimated) -> None:
        """Store the slot share for the next process of this daemon."""
        self._keeper.update_slot_share(message.share)

    @handlers.on(ServerEntryReceived)
    def handle_server_entry(self, message: ServerEntryReceived) -> None:
        """Apply the entry that another daemon sent of its server."""
        self._known_servers.apply_report(message.entry, self.context.clock())
        self._publish()

    @handlers.on(RoutingChanged)
    def update_version(self, message: RoutingChanged) -> None:
        """Tell followers of the version of the configuration in force."""
        self._feed.update_version(message.routing.version)

    @handlers.on(ConfigurationMissed)
    def handle_missed_configuration(
        self, _message: ConfigurationMissed
    ) -> None:
        """Ask the pending watch again: it may be lost as well."""
        self._watch.abandon('configuration-missed')

    @handlers.on(FeedRequest)
    async def serve_feed(self, request: FeedRequest) -> FeedUpdate | None:
        """Return the entries that a peer does not know, once there are any."""
        self.metrics.increment('feed_requests')
        return await self._feed.serve(request)

    @handlers.on(StopRequested)
    def handle_stop(self, _message: StopRequested) -> None:
        """Refuse followers from now on.

        The entry of the server is kept: the next process of this daemon
        finds there whether the server serves or leaves.
        """
        self._stopping = True
        self._update_serving()

    def update_gauges(self) -> None:
        """Update the gauges of the lease and the store."""
        age_s = self.context.clock() - self._own_entry.renewed_s
        self.metrics.set_gauge('lease_age_seconds', age_s)
        self.metrics.set_gauge('store_connected', float(self._connected))
        self.metrics.set_gauge('store_reading', float(self._source.reading))
        self.metrics.set_gauge('membership_store_calls', self._store.calls)
        self.metrics.set_gauge(
            'membership_watches_abandoned', self._watch.abandoned
        )
        self.metrics.set_gauge(
            'membership_watch_age_seconds',
            self.context.clock() - self._watch.answered_s,
        )

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return the state of the store and of this server's entry."""
        own = self._own_entry
        return {
            'store': {
                'connected': self._connected,
                'lease': own.lease,
                'lease_age_s': round(self.context.clock() - own.renewed_s, 1),
                'entry_written': own.written is not None,
                'reading': self._source.reading,
                'revision': self._feed.cache.revision,
            },
        }

    # Entries of all servers

    async def _run_source(self) -> None:
        if not self._feed.cache.revision:
            await self._find_first_peers()
        await self._source.run()

    async def _find_first_peers(self) -> None:
        peers = await self._list_first_peers()
        if self.mesh.is_first_start and not peers:
            await sleep(FIRST_ANNOUNCEMENTS_S)
            peers = await self._list_first_peers()
        self._source.update_peers(peers)

    async def _list_first_peers(self) -> tuple[FeedPeer, ...]:
        """List daemons that may be able to pass on what the store tells.

        The listing may be some seconds old. It is not applied: a server in
        it may have left since.
        """
        try:
            listing = await self._store.list_items(
                ENTRY_KEY_PREFIX, allow_stale=True
            )
        except StoreError as error:
            self._set_store_state(error)
            return ()
        entries = map(self._decode, listing.items)
        return _ready_peers(filter(None, entries))

    def _handle_reading(self, reading: bool) -> None:
        self._watch_failed = False
        self._keeper.update_reading(reading=reading)
        self._update_serving()
        self.bus.publish(StoreReadingChanged(reading))

    def _handle_recovery(self, contact: StoreContact) -> None:
        self._watch.update_contact(contact)
        self.bus.publish(StoreContactChanged(contact))

    def _handle_watch_failure(self, error: StoreError) -> None:
        self._watch_failed = True
        self._source.hold_store()
        self._set_store_state(error)

    def _update_serving(self) -> None:
        """Serve followers only with what the store confirms."""
        depth = self._source_depth + 1
        if self._source.reading:
            is_failing = self._watch_failed or self._keeper.contact.failing
            depth = FOLLOWER_DEPTH if is_failing else ROOT_DEPTH
        if self._stopping or not self._feed.cache.revision:
            depth = FOLLOWER_DEPTH
        self._feed.update_depth(depth)

    def _apply_update(self, update: FeedUpdate, peer: FeedPeer) -> None:
        self._source_depth = update.depth
        changes = Listing(update.items, update.revision)
        if update.is_listing:
            self._apply_listing(changes)
        else:
            self._apply_changes(changes)
        if update.version > self._feed.version:
            self.bus.publish(PeerVersionReceived(update.version, peer.ip))

    def _apply_listing(self, listing: Listing) -> None:
        self._watch_failed = False
        if not self._feed.cache.apply_listing(listing):
            return
        entries = list(filter(None, map(self._decode, listing.items)))
        self._known_servers.apply_listing(entries, self.context.clock())
        self._own_entry.apply_listing(listing.items)
        self._handle_news()
        self._update_serving()

    def _apply_changes(self, changes: Listing) -> None:
        self._watch_failed = False
        news = self._feed.cache.apply_changes(changes)
        for item in news:
            with self._rejected.contain('fleet:entry-failed', item.key):
                self._apply_change(item)
        self._update_serving()
        if news:
            self._handle_news()

    def _handle_news(self) -> None:
        """Act on entries that changed in the store."""
        self._source.update_peers(
            _ready_peers(self._known_servers.stored_entries())
        )
        self._publish()
        self._feed.notify()

    def _publish_stored_own(self, entry: ServerEntry | None) -> None:
        """Publish this host's entry that an earlier process wrote."""
        self.bus.publish(StoredServerRead(entry))

    def _apply_change(self, item: Item) -> None:
        now_s = self.context.clock()
        if item.content is None:
            self._known_servers.apply_removed(
                item.key.removeprefix(ENTRY_KEY_PREFIX),
                now_s,
            )
            if self._own_entry.is_ended_by(item):
                log_event('fleet:own-entry-lapsed', lease=self._own_entry.lease)
                self._keeper.rewrite()
            return
        entry = self._decode(item)
        if entry is not None:
            self._known_servers.apply_stored(entry, now_s)

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

    async def _run_expiry(self) -> None:
        while True:
            await sleep(EXPIRY_INTERVAL_S)
            self._known_servers.expire(self.context.clock())
            self._publish()

    def _publish(self) -> None:
        servers = self._known_servers.servers_by_instance()
        if servers.keys() == self._published_by_instance.keys() and not any(
            is_changed(entry, self._published_by_instance[instance])
            for instance, entry in servers.items()
        ):
            return
        self._published_by_instance = servers
        log_event('fleet:servers-changed', count=len(servers))
        self.bus.publish(ServersChanged(servers))

    def _set_store_state(self, error: StoreError | None) -> None:
        self._update_serving()
        connected = error is None
        if connected == self._connected:
            return
        self._connected = connected
        log_event(
            'fleet:store-changed',
            connected=connected,
            detail=repr(error),
        )


def _ready_peers(entries: Iterable[ServerEntry]) -> tuple[FeedPeer, ...]:
    """Return the daemons beside servers that do not leave."""
    return tuple(
        FeedPeer(entry.ip, entry.inbound_port, entry.zone)
        for entry in entries
        if not entry.is_leaving
    )


@MESH_PLUGINS.register('fleet')
def create_fleet(context: Context) -> FleetTask:
    """Create the fleet task."""
    return FleetTask(context)
