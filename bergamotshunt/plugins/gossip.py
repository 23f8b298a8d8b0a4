"""Gossip: fleet membership by SWIM over UDP, with anti-entropy over HTTP."""

from asyncio import Event, sleep, timeout
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any, Final

from bergamotshunt.decisions.load_queries import LoadQueries
from bergamotshunt.decisions.membership import Membership, MembershipRules
from bergamotshunt.decisions.swim import Swim
from bergamotshunt.decisions.swim_handlers import handle_datagram
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    Task,
)
from bergamotshunt.log import log_error, log_event
from bergamotshunt.messages import (
    ConfirmationChanged,
    DaemonReplaced,
    MembersChanged,
    PeerReached,
    PeerRevisionReceived,
    PortBound,
)
from bergamotshunt.peers.datagrams import Datagram, Endpoint, Packet
from bergamotshunt.peers.gossip_codec import (
    OversizeError,
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from bergamotshunt.peers.member_sync import SyncClient
from bergamotshunt.peers.members import Member
from bergamotshunt.peers.udp import UdpPort
from bergamotshunt.registries import Registry

HANDLERS: Final = HandlerTable()
MS_PER_S: Final = 1000
# Other tasks get a copy of the table at most this often: a single event is
# published at once, a burst of events in batches.
PUBLISH_INTERVAL_MS: Final = 50
# Eras are accepted for an hour, so updates of them can wait for a batch.
ERA_PUBLISH_INTERVAL_MS: Final = 5000
# Handlers of datagrams that are not part of SWIM, by the name of the kind.
DATAGRAM_HANDLERS: Final[
    Registry[Callable[[Any, Datagram, Endpoint], None]]
] = Registry(
    'datagram handler',
)


class GossipTask(Task):
    """Owns the known members and the gossip port."""

    name = 'gossip'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; this daemon is its first member."""
        super().__init__(context)
        daemon = context.settings.daemon
        rules = context.settings.membership
        own = Member(
            daemon_id=daemon.id,
            incarnation=context.process_id,
            ip=daemon.ip,
            peers_port=daemon.peers_port,
            gossip_port=daemon.gossip_port,
            region=daemon.region,
            availability_zone=daemon.availability_zone,
            service=context.settings.backend_server.service,
            process_id=context.process_id,
        )
        self.members = Membership(
            own,
            MembershipRules(
                rules.probe_interval_ms,
                rules.probe_timeout_ms,
                rules.suspicion_factor,
            ),
            encoded_size,
        )
        self.swim = Swim(self.members, context.rng, self.now_ms())
        self.queries = LoadQueries(rules.peer_probe_per_s)
        self.pending_load_responses = 0
        self.published_ms = -float(ERA_PUBLISH_INTERVAL_MS)
        self.replaced = False
        self.refusal: ConfirmationChanged | None = None
        self.confirmation: ConfirmationChanged | None = None
        self.reported_id_conflicts: set[str] = set()
        self.seeds: tuple[str, ...] = ()
        self.sync_requested = Event()
        self.udp = UdpPort(self.handle_datagram, daemon.ip, daemon.gossip_port)
        self.sync = SyncClient(self.members, self.now_ms)

    async def open(self) -> None:
        """Bind the gossip port and create the connections to peers."""
        self.sync.open()
        await self.udp.open()
        self.members.announce(self.now_ms(), gossip_port=self.udp.port)
        self.bus.publish(PortBound('gossip', self.udp.port))

    async def start(self) -> None:
        """Start to probe and to synchronize."""
        self.spawn(self.run_timers())
        self.spawn(self.run_syncs())

    async def close(self) -> None:
        """Announce to peers that this daemon leaves, and close."""
        await super().close()
        self.members.leave(self.now_ms())
        self.send_packets(
            self.swim.composer.compose_urgent_gossip(self.now_ms())
        )
        self.udp.close()
        await self.sync.close()

    # Timers.

    async def run_timers(self) -> None:
        """Probe members and send pending updates in each protocol period."""
        while True:
            await sleep(self.swim.tick_ms / MS_PER_S)
            try:
                self.send_packets(self.swim.tick(self.now_ms()))
                self.publish_changes()
            except Exception as error:
                # Without its timers a daemon would never detect a failure
                # again, which is worse than one failed round.
                log_error('gossip:round-failed', error)

    async def run_syncs(self) -> None:
        """Join the fleet, then exchange member tables periodically."""
        attempt = 0
        while True:
            attempt = 0 if await self.synchronize() else attempt + 1
            pause_s = self.sync.pause_s(
                attempt,
                self.settings.membership.sync_interval_s,
                self.context.rng,
            )
            self.sync_requested.clear()
            # asyncio.wait_for of Python 3.11 can swallow a cancellation.
            with suppress(TimeoutError):
                async with timeout(pause_s):
                    await self.sync_requested.wait()

    async def synchronize(self) -> bool:
        """Exchange tables with a live member and with an unknown peer.

        Partitions of the fleet that do not know each other's members at
        their present addresses merge through the configured known peers.

        Returns:
            Whether a peer responded, or there was no peer at all.
        """
        composer = self.swim.composer
        live = composer.probe_order.sample(1, composer.is_live_peer)
        peers = [self.sync.address_of(daemon_id) for daemon_id in live]
        unknown_peers = self.unknown_peers()
        peers += unknown_peers[:1] if peers else unknown_peers
        reached = False
        for peer in peers:
            reached = await self.synchronize_with(peer) or reached
            if reached and not live:
                break
        return reached or not peers

    def unknown_peers(self) -> list[str]:
        """Return the configured peers and seeds that are no live members."""
        live = {
            self.sync.address_of(daemon_id)
            for daemon_id in self.members.table.by_id
            if self.members.table.is_live(daemon_id)
        }
        peers = {*self.settings.daemon.known_peers, *self.seeds}
        unknown_peers = sorted(peers - live)
        self.context.rng.shuffle(unknown_peers)
        return unknown_peers

    async def synchronize_with(self, peer: str) -> bool:
        """Exchange tables with a peer.

        Args:
            peer: Address of the peer's peers port, ``IP:port``.

        Returns:
            Whether the peer responded.
        """
        reached = await self.sync.synchronize_with(peer)
        if reached is None:
            return False
        self.swim.composer.add_joined_members()
        self.bus.publish(PeerReached(reached))
        self.publish_changes()
        return True

    # Datagrams.

    def handle_datagram(self, content: bytes, source: Endpoint) -> None:
        """Process a datagram from the network."""
        datagram = decode_datagram(content)
        if datagram is None:
            self.udp.count_malformed()
            return
        now_ms = self.now_ms()
        received = handle_datagram(self.swim, datagram, source, now_ms)
        self.send_packets(received.packets)
        self.bus.publish(
            PeerRevisionReceived(
                datagram.revision,
                datagram.sender,
                datagram.age_ms,
            ),
        )
        if received.reached_id:
            self.bus.publish(PeerReached(received.reached_id))
        if received.revived_id and self.sync.may_sync_with_recovered(now_ms):
            peer = self.sync.address_of(received.revived_id)
            self.spawn(self.synchronize_with(peer))
        handler = DATAGRAM_HANDLERS.by_name.get(datagram.kind.name)
        if handler is not None:
            handler(self, datagram, source)
        self.publish_changes()

    def send_packets(self, packets: Iterable[Packet]) -> None:
        """Send datagrams."""
        for packet in packets:
            self.send_datagram(packet.endpoint, packet.datagram)

    def send_datagram(self, endpoint: Endpoint, datagram: Datagram) -> None:
        """Send a datagram; omit its updates if it is too large."""
        try:
            content = encode_datagram(datagram)
        except OversizeError as error:
            log_error('gossip:oversize', error, kind=datagram.kind.name)
            content = encode_datagram(datagram._replace(events=(), eras=()))
        self.udp.send(content, endpoint)

    # Other tasks.

    def update_own_record(self, **fields: object) -> None:
        """Change the record of this daemon and send it to peers at once."""
        self.members.announce(self.now_ms(), **fields)
        self.send_packets(
            self.swim.composer.compose_urgent_gossip(self.now_ms())
        )
        self.publish_changes()

    def publish_changes(self) -> None:
        """Publish changed members; log replacements and duplicate ids."""
        self.publish_members()
        replaced_by = self.members.replaced_by
        if self.replaced != (replaced_by is not None):
            self.replaced = replaced_by is not None
            self.report_replacement(replaced_by)
        for daemon_id in self.swim.id_conflicts_by_id:
            if daemon_id not in self.reported_id_conflicts:
                self.reported_id_conflicts.add(daemon_id)
                source, _received_ms = self.swim.id_conflicts_by_id[daemon_id]
                log_event(
                    'gossip:duplicate-daemon-id',
                    level='error',
                    duplicate=daemon_id,
                    older_process_at=f'{source[0]}:{source[1]}',
                )

    def publish_members(self) -> None:
        """Publish the members if any changed and the interval has passed."""
        table = self.members.table
        now_ms = self.now_ms()
        waited_ms = now_ms - self.published_ms
        is_due = bool(table.changed_ids) and waited_ms >= PUBLISH_INTERVAL_MS
        if table.changed_era_ids and waited_ms >= ERA_PUBLISH_INTERVAL_MS:
            is_due = True
        if is_due:
            self.published_ms = now_ms
            changed_ids = table.pop_changed_ids()
            self.bus.publish(MembersChanged(dict(table.by_id), changed_ids))

    def report_replacement(self, id_holder: Member | None) -> None:
        """Stop serving when replaced, and resume when no longer replaced.

        Args:
            id_holder: Process that has this daemon's id; None for this one.
        """
        detail = 'this process has its daemon id again'
        if id_holder is not None:
            detail = (
                f'process {id_holder.process_id} at {id_holder.ip}:'
                f'{id_holder.peers_port} took over the daemon id '
                f'{id_holder.daemon_id}; stop this process or change its id'
            )
            self.refusal = ConfirmationChanged(False, detail)
            self.bus.publish(self.refusal)
        elif self.confirmation is not None:
            self.bus.publish(self.confirmation)
        self.bus.publish(DaemonReplaced(id_holder is not None, detail))
        log_event('gossip:replaced', level='error', detail=detail)


@HANDLERS.on(ConfirmationChanged)
def handle_confirmation(task: GossipTask, message: ConfirmationChanged) -> None:
    """Keep a replaced process from serving even with confirmed targets."""
    if message == task.refusal:
        return
    task.confirmation = message
    if task.replaced and task.refusal is not None and message.confirmed:
        task.bus.publish(task.refusal)


@PLUGINS.register('gossip')
def create_gossip(context: Context) -> GossipTask:
    """Create the gossip task."""
    return GossipTask(context)
