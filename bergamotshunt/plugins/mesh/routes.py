"""Routes: keeps the newest version of the operator's configuration."""

from asyncio import sleep
from typing import Any, Final

from bergamotshunt.decisions.configuration_confirmation import (
    Confirmation,
    StoredVersion,
)
from bergamotshunt.http.client_pool import WholeResponse
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    ConfigurationConfirmed,
    ConfigurationMissed,
    ConfirmationFailing,
    DescribeState,
    EvacuationsRead,
    OwnConfirmationAdvanced,
    PeerConfirmationReceived,
    PeerVersionReceived,
    RoutingChanged,
    StoreContactChanged,
    StoreEraSeen,
    StoreReadingChanged,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.peers.configuration_client import fetch_configuration
from bergamotshunt.peers.configuration_documents import decode_document
from bergamotshunt.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_KEY_PREFIX,
    decode_configuration,
)
from bergamotshunt.platform.store import StoreClient
from bergamotshunt.platform.store_errors import StoreError
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.routing import Routing
from bergamotshunt.store.confirmation_keeper import (
    ConfirmationKeeper,
    ConfirmationObserver,
)
from bergamotshunt.store.store_watch import (
    StoreWatch,
    WatchObserver,
    WatchTiming,
)
from bergamotshunt.store.stored_evacuations import StoredEvacuations
from bergamotshunt.stored_items import Item, Listing, StorePosition

# A version whose answer was lost has to be in force in time all the same.
WATCH_TIMING: Final = WatchTiming(
    wait_ms=1000, retry_delay_s=0.4, batch_delay_s=0.2
)
# The watch of the store usually delivers a new version within this time, so
# that the daemon need not fetch it from a peer.
PEER_FETCH_DELAY_S: Final = 0.15
MS_PER_S: Final = 1000
# Bounds the log line of a version that cannot be read.
MAX_LOGGED_ENTRIES: Final = 20


class RoutesTask(MeshTask):
    """Keeps the newest configuration and ignores older versions."""

    name = 'routes'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon without a configuration."""
        super().__init__(context)
        self._store = StoreClient(self.mesh.store, self._handle_era)
        self._watch = StoreWatch(
            self._store,
            OPERATOR_KEY_PREFIX,
            WatchObserver(
                self._apply_listing, self._apply_changes, self._log_failure
            ),
            WATCH_TIMING,
            context.clock,
            context.rng,
        )
        self._keeper = ConfirmationKeeper(
            self._store,
            ConfirmationObserver(
                self._apply_item,
                self._publish_confirmation,
                self._publish_failing,
            ),
            self.mesh.bounds.config_apply_ms / MS_PER_S,
            context.boot_clock,
            context.rng,
        )
        self._rejected = RejectedInputLog(context.clock, self.metrics)
        self._evacuations = StoredEvacuations()
        self._version = 0
        self._applied_s = self.context.clock()
        self._newest_known_version = 0
        self._fetching = False
        self._reading = False

    async def start(self) -> None:
        """Start to watch the store once the fleet task reads it."""
        self._watch.pause()
        self.spawn_loop(self._watch.run)
        self.spawn_loop(self._keeper.run_checks)
        self.spawn_loop(self._keeper.run_log)

    async def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()
        await super().close()

    @handlers.on(PeerVersionReceived)
    async def handle_peer_version(self, message: PeerVersionReceived) -> None:
        """Fetch a newer version from a peer if the watch misses it."""
        self._newest_known_version = max(
            self._newest_known_version, message.version
        )
        if self._fetching:
            return
        self._fetching = True
        try:
            if self._reading:
                await sleep(PEER_FETCH_DELAY_S)
            if self._version < self._newest_known_version:
                await self._fetch(message.ip)
        finally:
            self._fetching = False

    @handlers.on(StoreReadingChanged)
    def handle_reading(self, message: StoreReadingChanged) -> None:
        """Watch the store, or leave it to the peer that is followed."""
        self._reading = message.reading
        self._keeper.update_reading(reading=message.reading)
        if message.reading:
            self._watch.resume()
        else:
            self._watch.pause()

    @handlers.on(PeerConfirmationReceived)
    def handle_peer_confirmation(
        self, message: PeerConfirmationReceived
    ) -> None:
        """Record that the peer's version was the newest at a moment."""
        self._keeper.record_peer(message.confirmation, message.ip)

    @handlers.on(StoreContactChanged)
    async def handle_contact(self, message: StoreContactChanged) -> None:
        """Ask again if the store was away meanwhile."""
        self._watch.update_contact(message.contact)
        if not message.contact.failing:
            await self._keeper.check()

    @handlers.on(StoreEraSeen)
    def handle_era_seen(self, message: StoreEraSeen) -> None:
        """Take no response of an earlier era from now on."""
        self._store.note_era(message.era)

    def update_gauges(self) -> None:
        """Update the gauges of the configuration."""
        age_s = self.context.clock() - self._applied_s
        self.metrics.set_gauge('configuration_version', self._version)
        self.metrics.set_gauge('configuration_age_seconds', age_s)
        self.metrics.set_gauge('configuration_store_calls', self._store.calls)
        self.metrics.set_gauge(
            'configuration_confirmation_age_seconds', self._keeper.age_s
        )
        self.metrics.set_gauge(
            'configuration_checks_failed', self._keeper.failures
        )
        self._watch.update_gauges(self.metrics, 'configuration')

    def describe_state(self, _message: DescribeState) -> dict[str, Any]:
        """Return the version and age of the configuration in force."""
        age_s = self.context.clock() - self._applied_s
        return {
            'configuration': {
                'version': self._version,
                'age_s': round(age_s, 1),
                'wanted': self._newest_known_version,
                'confirmation': self._keeper.describe_state(),
            },
        }

    def _handle_era(self, era: int) -> None:
        self._keeper.handle_era(era)
        self._watch.handle_era(era)
        self.bus.publish(StoreEraSeen(era))

    def _log_failure(self, error: StoreError) -> None:
        log_event('routes:store-failed', 'debug', detail=repr(error))

    def _apply_listing(self, listing: Listing) -> None:
        self._apply_items(listing)
        self.bus.publish(
            EvacuationsRead(self._evacuations.apply_listing(listing))
        )

    def _apply_changes(self, changes: Listing) -> None:
        self._apply_items(changes)
        if changes.items:
            self.bus.publish(
                EvacuationsRead(self._evacuations.apply_changes(changes))
            )

    def _apply_items(self, listing: Listing) -> None:
        for item in listing.items:
            if item.key == CONFIGURATION_KEY:
                version = self._apply_item(item)
                position = StorePosition(listing.era, item.revision)
                self._keeper.record_stored(StoredVersion(position, version))

    def _apply_item(self, item: Item) -> int | None:
        """Apply the configuration of an item; log one that is unusable.

        Returns:
            Its version; None if it is not readable.
        """
        if item.content is None:
            return None
        with self._rejected.contain('routes:unreadable', 'store'):
            return self._apply(item.content, 'store')
        return None

    def _apply(self, document: bytes, source: str) -> int:
        """Put a configuration in force if it is newer.

        Returns:
            Its version.
        """
        routing = decode_configuration(document)
        if routing.version > self._version:
            self._put_in_force(routing, source)
        return routing.version

    def _put_in_force(self, routing: Routing, source: str) -> None:
        log_event(
            'routes:in-force',
            version=routing.version,
            before=self._version,
            source=source,
        )
        if routing.left_out:
            self.metrics.increment(
                'configuration_entries_left_out', len(routing.left_out)
            )
            log_event(
                'routes:entries-left-out',
                version=routing.version,
                count=len(routing.left_out),
                entries=list(routing.left_out[:MAX_LOGGED_ENTRIES]),
            )
        self._version = routing.version
        self._applied_s = self.context.clock()
        self.metrics.increment('configurations_applied')
        self.bus.publish(RoutingChanged(routing))
        self._keeper.apply_version(routing.version, needed=routing.needs_keys)

    def _publish_confirmation(self, confirmation: Confirmation) -> None:
        self.bus.publish(
            ConfigurationConfirmed(
                confirmation.version, confirmation.confirmed_s
            )
        )
        self.bus.publish(OwnConfirmationAdvanced(confirmation))

    def _publish_failing(self, failing: bool) -> None:
        self.bus.publish(ConfirmationFailing(failing))

    async def _fetch(self, ip: str) -> None:
        try:
            response = await fetch_configuration(ip, self.mesh.inbound.port)
        except ConnectionError as error:
            log_event('routes:peer-failed', ip=ip, detail=repr(error))
            return
        except TimeoutError as slow:
            log_event('routes:peer-failed', ip=ip, detail=repr(slow))
            await self._fetch_from_store()
            return
        if response is not None:
            self._apply_response(response, ip)

    async def _fetch_from_store(self) -> None:
        """Read the store: the link of the peer may be too slow for all."""
        try:
            listing = await self._store.list_items(CONFIGURATION_KEY)
        except StoreError as error:
            self._log_failure(error)
        else:
            self._apply_items(listing)

    def _apply_response(self, response: WholeResponse, ip: str) -> None:
        before = self._version
        with self._rejected.contain('routes:unreadable', ip):
            self._apply(decode_document(response.head, response.content), ip)
        if self._version > before:
            # The watch has not delivered a version that a peer already had.
            if self._reading:
                self._watch.abandon('peer-has-newer-version')
                self.bus.publish(ConfigurationMissed())


@MESH_PLUGINS.register('routes')
def create_routes(context: Context) -> RoutesTask:
    """Create the routes task."""
    return RoutesTask(context)
