"""Fleet: stores this server's entry under a lease and watches all others."""

from asyncio import Event, sleep, timeout
from contextlib import suppress
from typing import Any, Final

from bergamotshunt.decisions.known_servers import KnownServers
from bergamotshunt.decisions.store_contact import StoreContact, record_call
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (  # noqa: WPS235
    ConfigurationMissed,
    DescribeState,
    OwnServerChanged,
    ServerEntryReceived,
    ServersChanged,
    SlotShareEstimated,
    StopRequested,
    StoreContactChanged,
    StoredServerFound,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.platform.announcements import (
    ENTRY_KEY_PREFIX,
    decode_entry,
    entry_key,
)
from bergamotshunt.platform.store import Item, StoreClient, StoreError
from bergamotshunt.rejected_input import RejectedInputLog
from bergamotshunt.routing import AnnouncedState, ServerEntry
from bergamotshunt.store.own_entry import (
    LEASE_MS,
    RENEW_INTERVAL_S,
    OwnEntry,
    is_changed,
)
from bergamotshunt.store.store_watch import (
    RETRY_JITTER,
    StoreWatch,
    WatchObserver,
    WatchTiming,
)

RETRY_DELAY_S: Final = 0.6
# After a call that waited for its timeout; the entry of a server whose lease
# has expired is missing until the next call.
MIN_RETRY_DELAY_S: Final = 0.2
WATCH_TIMING: Final = WatchTiming(
    retry_delay_s=RETRY_DELAY_S,
    batch_delay_s=0.5,
)
EXPIRY_INTERVAL_S: Final = 0.5


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
        self._own_server: ServerEntry | None = None
        self._slot_share: float = 0
        self._own_entry = OwnEntry(
            self._store,
            self.mesh.ip,
            max(LEASE_MS, self.mesh.min_lease_ms),
            context.clock,
        )
        self._watch = StoreWatch(
            self._store,
            ENTRY_KEY_PREFIX,
            WatchObserver(
                self._apply_listing,
                self._apply_changes,
                self._set_store_state,
            ),
            WATCH_TIMING,
            context.clock,
            context.rng,
        )
        self._contact = StoreContact()
        self._entry_changed = Event()
        self._revoking = False
        self._connected = True

    async def start(self) -> None:
        """Start to write this server's entry and to watch and expire all."""
        self.spawn_loop(self._run_own_entry)
        self.spawn_loop(self._watch.run)
        self.spawn_loop(self._run_expiry)

    async def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()
        await super().close()

    @handlers.on(OwnServerChanged)
    def handle_own_server(self, message: OwnServerChanged) -> None:
        """Update this server's entry; write it to the store if it differs."""
        entry = message.entry._replace(slot_share=self._slot_share)
        self._own_server = entry
        self._known_servers.apply_report(entry, self.context.clock())
        self._publish()
        if is_changed(entry, self._own_entry.written):
            self._entry_changed.set()

    @handlers.on(SlotShareEstimated)
    def update_slot_share(self, message: SlotShareEstimated) -> None:
        """Store the slot share for the next process of this daemon."""
        self._slot_share = message.share
        if self._own_server is not None:
            self._own_server = self._own_server._replace(
                slot_share=message.share
            )
            self._entry_changed.set()

    @handlers.on(ServerEntryReceived)
    def handle_server_entry(self, message: ServerEntryReceived) -> None:
        """Apply the entry that another daemon sent of its server."""
        self._known_servers.apply_report(message.entry, self.context.clock())
        self._publish()

    @handlers.on(ConfigurationMissed)
    def handle_missed_configuration(
        self, _message: ConfigurationMissed
    ) -> None:
        """Ask the pending watch again: it may be lost as well."""
        self._watch.abandon('configuration-missed')

    @handlers.on(StopRequested)
    def handle_stop(self, _message: StopRequested) -> None:
        """Revoke the lease of a leaving or deregistered server.

        The entry of a server that still runs is kept, so that the next
        process of this daemon finds it and serves at once.
        """
        own = self._own_server
        self._revoking = own is None or own.state is AnnouncedState.LEAVING
        self._entry_changed.set()

    def update_gauges(self) -> None:
        """Update the gauges of the lease and the store."""
        age_s = self.context.clock() - self._own_entry.renewed_s
        self.metrics.set_gauge('lease_age_seconds', age_s)
        self.metrics.set_gauge('store_connected', float(self._connected))
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
            },
        }

    # This server's entry

    async def _run_own_entry(self) -> None:
        while True:
            wait_s = await self._renew_own_entry()
            # asyncio.wait_for of Python 3.11 can swallow a cancellation that
            # arrives with the event, and the task would never close.
            with suppress(TimeoutError):
                async with timeout(wait_s):
                    await self._entry_changed.wait()
                    self._entry_changed.clear()

    async def _renew_own_entry(self) -> float:
        """Renew the lease and write the entry.

        Returns:
            The time until the next renewal, in seconds.
        """
        started_s = self.context.clock()
        own = self._own_entry
        renewed_s, ended_leases = own.renewed_s, own.ended_leases
        try:
            await self._update_own_entry()
        except StoreError as error:
            self._set_store_state(error)
            self._record_call(started_s, failed=True)
            return self._retry_delay_s(started_s)
        self._set_store_state(None)
        if own.ended_leases > ended_leases:
            # The store has not heard of this daemon for the whole lease.
            self._record_call(started_s, failed=True)
        if own.renewed_s > renewed_s:
            self._record_call(own.renewed_s, failed=False)
        return RENEW_INTERVAL_S

    def _retry_delay_s(self, started_s: float) -> float:
        """Return the delay after a failed call that started at a time."""
        took_s = self.context.clock() - started_s
        delay_s = max(RETRY_DELAY_S - took_s, MIN_RETRY_DELAY_S)
        return delay_s * self.context.rng.uniform(*RETRY_JITTER)

    def _record_call(self, sent_s: float, *, failed: bool) -> None:
        """Record a renewal of the lease; watches may have to be asked again."""
        before = self._contact
        self._contact = record_call(
            before, sent_s, self.context.clock(), failed=failed
        )
        if self._contact.recovered_s > before.recovered_s:
            self._watch.update_contact(self._contact)
            self.bus.publish(StoreContactChanged(self._contact))

    async def _update_own_entry(self) -> None:
        if self._revoking:
            await self._own_entry.revoke()
        elif self._own_server is not None:
            await self._own_entry.renew_and_write(self._own_server)

    # Entries of all servers

    def _apply_listing(self, items: tuple[Item, ...]) -> None:
        entries = list(filter(None, map(self._decode, items)))
        self._known_servers.apply_listing(entries, self.context.clock())
        self._publish_stored_own(entries)
        self._own_entry.apply_listing(items)
        self._publish()

    def _apply_changes(self, items: tuple[Item, ...]) -> None:
        for item in items:
            with self._rejected.contain('fleet:entry-failed', item.key):
                self._apply_change(item)
        self._publish()

    def _publish_stored_own(self, entries: list[ServerEntry]) -> None:
        """Publish this host's entry that an earlier process wrote.

        Its server may still run, and the estimates in the entry then still
        hold.
        """
        for entry in entries:
            if entry.ip == self.mesh.ip:
                self.bus.publish(StoredServerFound(entry))

    def _apply_change(self, item: Item) -> None:
        now_s = self.context.clock()
        if item.content is None:
            self._known_servers.apply_removed(
                item.key.removeprefix(ENTRY_KEY_PREFIX),
                now_s,
            )
            if item.key == self._own_entry.key:
                self._rewrite_expired_entry()
            return
        entry = self._decode(item)
        if entry is not None:
            self._known_servers.apply_stored(entry, now_s)

    def _rewrite_expired_entry(self) -> None:
        if self._own_entry.written is None:
            return
        log_event('fleet:own-entry-lapsed', lease=self._own_entry.lease)
        self._own_entry.mark_expired()
        self._entry_changed.set()

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
