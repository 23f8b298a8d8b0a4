"""Fleet: stores this server's entry under a lease and follows all others."""

from asyncio import sleep
from typing import Any, Final

from bergamotshunt.decisions.store_contact import StoreContact
from bergamotshunt.decisions.store_eras import rewrite_window_s
from bergamotshunt.decisions.watch_sources import (
    FeedPeer,
    FeedState,
    feed_depth,
)
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    ConfigurationMissed,
    ConfirmationFailing,
    DescribeState,
    EvacuationsRead,
    OwnConfirmationAdvanced,
    OwnServerChanged,
    PeerVersionReceived,
    RoutingChanged,
    ServerEntryReceived,
    SlotShareEstimated,
    StopRequested,
    StoreContactChanged,
    StoredServerRead,
    StoreEraSeen,
    StoreReadingChanged,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.peers.entry_feed import FeedRequest, FeedUpdate
from bergamotshunt.platform.announcements import ENTRY_KEY_PREFIX
from bergamotshunt.platform.store import StoreClient
from bergamotshunt.platform.store_errors import StoreError
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.routing import ServerEntry
from bergamotshunt.store.entry_feed import EntryFeed
from bergamotshunt.store.entry_source import EntrySource, SourceObserver
from bergamotshunt.store.first_peers import FirstPeers
from bergamotshunt.store.fleet_publisher import FleetPublisher
from bergamotshunt.store.leaving_witnesses import LeavingWitnesses
from bergamotshunt.store.own_entry import create_own_entry
from bergamotshunt.store.own_entry_keeper import EntryObserver, OwnEntryKeeper
from bergamotshunt.store.past_inquiry import PastInquiry
from bergamotshunt.store.server_entries import ServerEntries
from bergamotshunt.store.store_watch import (
    StoreWatch,
    WatchObserver,
    WatchTiming,
)
from bergamotshunt.stored_items import Listing

WATCH_TIMING: Final = WatchTiming(
    wait_ms=1500, retry_delay_s=0.6, batch_delay_s=0.5
)
EXPIRY_INTERVAL_S: Final = 0.5


class FleetTask(MeshTask):
    """Owns the daemon's lease and its view of the fleet."""

    name = 'fleet'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon that knows no server."""
        super().__init__(context)
        self._store = StoreClient(self.mesh.store, self._handle_era)
        self._era: int | None = None
        self._own_entry = create_own_entry(
            self._store, self.mesh, context.clock, context.boot_clock
        )
        self._keeper = OwnEntryKeeper(
            self._own_entry,
            EntryObserver(
                self._set_store_state,
                self._handle_contact,
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
        self._feed = EntryFeed(context.boot_clock)
        self._entries = ServerEntries(
            self._feed.cache,
            RejectedInputLog(context.clock, self.metrics),
            context.clock,
        )
        self._publisher = FleetPublisher(
            context.bus,
            self._entries,
            self._feed,
            context.clock,
            context.boot_clock,
        )
        self._source = EntrySource(
            FeedPeer(self.mesh.ip, self.mesh.inbound.port, self.mesh.zone),
            self._watch,
            self._feed,
            SourceObserver(
                self._apply_update,
                self._publisher.publish_confirmation,
                self._handle_reading,
            ),
            context.clock,
            context.boot_clock,
        )
        self._first_peers = FirstPeers(
            self._store, self._entries, self._set_store_state
        )
        self._witnesses = LeavingWitnesses(
            self.mesh.ip, self._keeper.wait_until_written, self.spawn
        )
        self._past_inquiry = PastInquiry(
            self._witnesses,
            self._first_peers,
            self._is_server_known,
            context.bus.publish,
        )
        self._connected = True
        self._state = FeedState()

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
        self._update_state(stopping=True)

    @handlers.on(OwnServerChanged)
    async def handle_own_server(self, message: OwnServerChanged) -> None:
        """Update this server's entry; write it to the store if it differs.

        That the server leaves is recorded before the reply: the next process
        of this daemon has to know what was acknowledged.
        """
        self._keeper.update_server(message.entry)
        entry = self._keeper.server or message.entry
        self._entries.apply_report(entry)
        self._publisher.publish()
        if entry.is_leaving:
            await self._witnesses.record(entry, self._entries.list_peers())

    @handlers.on(SlotShareEstimated)
    def update_slot_share(self, message: SlotShareEstimated) -> None:
        """Store the slot share for the next process of this daemon."""
        self._keeper.update_slot_share(message.share)

    @handlers.on(ServerEntryReceived)
    def handle_server_entry(self, message: ServerEntryReceived) -> None:
        """Apply the entry that another daemon sent of its server."""
        self._entries.apply_report(message.entry)
        self._publisher.publish()

    @handlers.on(RoutingChanged)
    def update_version(self, message: RoutingChanged) -> None:
        """Tell followers of the version of the configuration in force."""
        self._feed.update_version(
            message.routing.version,
            needs_confirmation=message.routing.needs_keys,
        )
        self._keeper.update_age_recording(needed=message.routing.has_quotas)
        if not message.routing.needs_keys:
            # No check is made that could end an earlier failure.
            self._update_state(checks_failed=False)

    @handlers.on(OwnConfirmationAdvanced)
    def update_confirmation(self, message: OwnConfirmationAdvanced) -> None:
        """Tell followers that the configuration in force is the newest."""
        self._feed.update_confirmation(message.confirmation)

    @handlers.on(EvacuationsRead)
    def handle_evacuations(self, message: EvacuationsRead) -> None:
        """Apply the evacuated zones that the store told of."""
        self._publisher.apply_evacuations(message.evacuations)
        self._update_state()

    @handlers.on(ConfirmationFailing)
    def handle_failing_confirmation(self, message: ConfirmationFailing) -> None:
        """Prefer peers while the store does not answer the checks."""
        if message.failing:
            self._source.hold_store()
            self._watch.abandon('checks-failed')
        self._update_state(checks_failed=message.failing)

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

    @handlers.on(StoreEraSeen)
    def handle_era_seen(self, message: StoreEraSeen) -> None:
        """Take no response of an earlier era from now on."""
        self._store.note_era(message.era)

    @handlers.on(StopRequested)
    def handle_stop(self, _message: StopRequested) -> None:
        """Refuse followers from now on.

        The entry of the server is kept: the next process of this daemon
        finds there whether the server serves or leaves.
        """
        self._update_state(stopping=True)

    def update_gauges(self) -> None:
        """Update the gauges of the lease, the store and the fleet."""
        self._publisher.update_gauges(self.metrics)
        age_s = self.context.clock() - self._own_entry.renewed_s
        self.metrics.set_gauge('lease_age_seconds', age_s)
        self.metrics.set_gauge('store_connected', float(self._connected))
        self.metrics.set_gauge('store_reading', float(self._source.reading))
        self.metrics.set_gauge('membership_store_calls', self._store.calls)
        self._watch.update_gauges(self.metrics, 'membership')

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
                'era': self._feed.cache.era,
            },
            'fleet': self._publisher.describe_state(),
        }

    # Entries of all servers

    async def _run_source(self) -> None:
        if not self._feed.cache.revision:
            peers = await self._first_peers.find(
                is_first_start=self.mesh.is_first_start
            )
            self._source.update_peers(peers)
        await self._source.run()

    def _handle_era(self, era: int) -> None:
        """Write and read again what a store that was restored has lost."""
        self.bus.publish(StoreEraSeen(era))
        before = self._era
        self._era = era
        if before is None:
            return
        self.metrics.increment('store_restores')
        window_s = rewrite_window_s(self._entries.count_stored())
        log_event(
            'fleet:store-restored',
            era=era,
            before=before,
            window_s=window_s,
            revision=self._feed.cache.revision,
        )
        self._watch.handle_era(era)
        self._keeper.handle_restore(window_s)

    def _handle_reading(self, reading: bool) -> None:
        self._keeper.update_reading(reading=reading)
        self._update_state(
            reading=reading,
            watch_failed=False,
            # Until the first check is answered, other sources may be better.
            checks_failed=self._feed.needs_confirmation,
        )
        self.bus.publish(StoreReadingChanged(reading))

    def _handle_contact(self, contact: StoreContact) -> None:
        self._watch.update_contact(contact)
        self.bus.publish(StoreContactChanged(contact))

    def _handle_watch_failure(self, error: StoreError) -> None:
        self._source.hold_store()
        self._update_state(watch_failed=True)
        self._set_store_state(error)

    def _update_state(self, **changes: Any) -> None:
        """Serve followers only with what the store confirms."""
        self._state = self._state._replace(
            calls_failed=self._keeper.contact.failing, **changes
        )
        is_complete = self._publisher.is_complete and self._feed.cache.revision
        self._feed.update_depth(
            feed_depth(self._state, complete=bool(is_complete))
        )

    def _apply_update(self, update: FeedUpdate, peer: FeedPeer) -> None:
        self._update_state(source_depth=update.depth)
        self._publisher.apply_evacuations(update.evacuations)
        self._store.note_era(update.era)
        changes = Listing(update.items, update.revision, update.era)
        if update.is_listing:
            self._apply_listing(changes)
        else:
            self._apply_changes(changes)
        if update.version > self._feed.version:
            self.bus.publish(PeerVersionReceived(update.version, peer.ip))

    def _apply_listing(self, listing: Listing) -> None:
        if not self._entries.apply_listing(listing):
            return
        if listing.era == self._store.era:
            self._own_entry.apply_listing(listing.items)
        self._handle_changed_entries()
        self._update_state(watch_failed=False)

    def _apply_changes(self, changes: Listing) -> None:
        changed_items = self._entries.apply_changes(changes)
        removals = [item for item in changed_items if item.content is None]
        if any(map(self._own_entry.is_ended_by, removals)):
            log_event('fleet:own-entry-lapsed', lease=self._own_entry.lease)
            self._keeper.rewrite()
        self._update_state(watch_failed=False)
        if changed_items:
            self._handle_changed_entries()

    def _handle_changed_entries(self) -> None:
        """Act on entries that changed in the store."""
        self._source.update_peers(self._entries.list_peers())
        self._publisher.publish()
        self._feed.notify()

    def _publish_stored_own(self, entry: ServerEntry | None) -> None:
        """Publish this host's entry that an earlier process wrote."""
        self._entries.record_own(self._own_entry.member_since_s)
        self._publisher.publish()
        if self.mesh.is_first_start:
            self.bus.publish(StoredServerRead(entry))
        else:
            # The store lacks what was acknowledged while it was unreachable,
            # or just before it was restored from a copy.
            self.spawn(self._past_inquiry.run(entry))

    def _is_server_known(self) -> bool:
        """Return whether the server of this host is known to run."""
        server = self._keeper.server
        return server is not None and not server.is_leaving

    async def _run_expiry(self) -> None:
        while True:
            await sleep(EXPIRY_INTERVAL_S)
            self._entries.expire()
            self._publisher.publish()

    def _set_store_state(self, error: StoreError | None) -> None:
        self._update_state()
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
    """Create the fleet task."""
    return FleetTask(context)
