"""Publishes what the fleet task knows, in the order in which it is needed."""

from collections.abc import Callable
from typing import Any, Final

from bergamotshunt.decisions.configuration_confirmation import Confirmation
from bergamotshunt.decisions.evacuations import Evacuations
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.kernel import MessageBus
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (
    EvacuationsChanged,
    PeerConfirmationReceived,
    ServersChanged,
)
from bergamotshunt.store.entry_feed import EntryFeed
from bergamotshunt.store.server_entries import ServerEntries
from bergamotshunt.task_metrics import TaskMetrics

# A daemon that starts while the store does not answer serves without the
# evacuations after this time; the daemons of the zone refuse requests, too.
EVACUATIONS_WAIT_S: Final = 1.5


class FleetPublisher:
    """Publishes evacuated zones, then servers, then members.

    Args:
        bus: Message bus of the daemon.
        entries: The servers and members.
        feed: Feed of the followers; it has the evacuated zones.
        clock: Returns the monotonic time in seconds.
        boot_clock: Returns the boot time in seconds.

    Attributes:
        is_complete: Whether a source has told the evacuated zones.
        zones: Evacuated zones that were published last.
    """

    def __init__(
        self,
        bus: MessageBus,
        entries: ServerEntries,
        feed: EntryFeed,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        """Create a publisher that has published nothing."""
        self.is_complete = False
        self.zones: frozenset[str] = frozenset()
        self._bus = bus
        self._entries = entries
        self._feed = feed
        self._evacuations = feed.evacuations
        self._clock = clock
        self._boot_clock = boot_clock
        self._started_s = clock()

    def apply_evacuations(self, evacuations: Evacuations | None) -> None:
        """Apply what the store or the peer that is followed told.

        Args:
            evacuations: The evacuated zones; None if the peer knows of none.
        """
        before = self._evacuations.position
        if evacuations is not None:
            self._evacuations.apply(evacuations, self._boot_clock())
        self.is_complete = True
        self.publish()
        if self._evacuations.position > before:
            self._feed.notify()

    def publish(self) -> None:
        """Publish what has changed."""
        self._evacuations.expire(self._boot_clock())
        self._publish_evacuations()
        waited_s = self._clock() - self._started_s
        if self.is_complete or waited_s > EVACUATIONS_WAIT_S:
            self._publish_servers()
            self._publish_members()

    def publish_confirmation(
        self, confirmation: Confirmation, peer: FeedPeer
    ) -> None:
        """Publish that a followed peer confirms its configuration."""
        self._bus.publish(PeerConfirmationReceived(confirmation, peer.ip))

    def describe_state(self) -> dict[str, Any]:
        """Return the evacuated zones and the number of members."""
        return {
            'evacuated_zones': sorted(self.zones),
            'evacuations': self._evacuations.describe(self._boot_clock()),
            'evacuations_known': self.is_complete,
            'members': self._entries.count_members(),
        }

    def update_gauges(self, metrics: TaskMetrics) -> None:
        """Update the gauges of the fleet."""
        metrics.set_gauge('evacuated_zones', len(self.zones))
        metrics.set_gauge('members_known', self._entries.count_members())
        metrics.set_gauge('store_era', self._feed.cache.era)

    def _publish_evacuations(self) -> None:
        zones = self._evacuations.zones
        if zones == self.zones:
            return
        log_event(
            'fleet:evacuations-changed',
            zones=sorted(zones),
            before=sorted(self.zones),
            position=self._evacuations.position,
            stored=self._evacuations.describe(self._boot_clock()).zones,
        )
        self.zones = zones
        self._bus.publish(EvacuationsChanged(zones))

    def _publish_servers(self) -> None:
        servers = self._entries.take_changed_servers()
        if servers is not None:
            log_event('fleet:servers-changed', count=len(servers))
            self._bus.publish(ServersChanged(servers))

    def _publish_members(self) -> None:
        members = self._entries.take_changed_members()
        if members is not None:
            log_event('fleet:members-changed', count=len(members.members))
            self._bus.publish(members)
