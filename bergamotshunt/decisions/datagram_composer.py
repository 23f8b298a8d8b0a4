"""Composition of gossip datagrams and choice of the peers they go to."""

from random import Random
from typing import Final

from bergamotshunt.decisions.dissemination import SendBudget, refill_send_budget
from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.probing import ProbeOrder
from bergamotshunt.peers.datagrams import (
    MAX_UPDATES_BYTES,
    Datagram,
    DatagramKind,
    Packet,
    endpoint_of,
)
from bergamotshunt.peers.members import MemberEvent

GOSSIP_FANOUT: Final = 3
# Peers that are sent a drain or a leave at once.
URGENT_FANOUT: Final = 8
# Part of the 4 KB/s for a daemon's control traffic that goes to datagrams
# with updates only; probes, load queries and table syncs need the rest. The
# burst allows about 30 s at the full rate of 18 KB/s, so that the loss of a
# rack or the start of many daemons spreads without delay.
GOSSIP_BYTES_PER_S: Final = 1536
GOSSIP_BURST_BYTES: Final = 524_288
# Encoded header of a datagram with names of typical length.
HEADER_BYTES: Final = 80
SEQUENCE_MODULUS: Final = 2**32


class DatagramComposer:
    """Composes the datagrams of one daemon.

    Args:
        members: Membership state of this daemon.
        rng: Random source.
        now_ms: Monotonic time of the start.

    Attributes:
        probe_order: Members in probe order; gossip peers are sampled from
            it.
        revision: Targets revision in force at this daemon.
        confirmed_ms: Monotonic time when that revision was last confirmed.
    """

    def __init__(
        self,
        members: Membership,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Create a composer with a random first sequence number."""
        self.members = members
        self.probe_order = ProbeOrder(rng)
        self.sequence = rng.randrange(SEQUENCE_MODULUS)
        self.revision = 0
        self.confirmed_ms = now_ms
        self.send_budget = SendBudget(
            GOSSIP_BYTES_PER_S,
            GOSSIP_BURST_BYTES,
            GOSSIP_BURST_BYTES,
            now_ms,
        )

    def next_sequence(self) -> int:
        """Return a new sequence number for a request."""
        self.sequence = (self.sequence + 1) % SEQUENCE_MODULUS
        return self.sequence

    def compose_without_updates(
        self,
        kind: DatagramKind,
        now_ms: float,
        sequence: int = 0,
        target: str = '',
    ) -> Datagram:
        """Build a datagram without updates."""
        return Datagram(
            kind,
            self.members.own_record.daemon_id,
            self.members.own_record.process_id,
            sequence,
            target,
            self.revision,
            int(now_ms - self.confirmed_ms),
        )

    def compose(
        self,
        kind: DatagramKind,
        now_ms: float,
        sequence: int = 0,
        target: str = '',
        corrections: tuple[MemberEvent, ...] = (),
    ) -> Datagram:
        """Build a datagram with corrections and as many updates as fit."""
        members = self.members
        free_bytes = MAX_UPDATES_BYTES - sum(
            map(members.event_queue.encoded_size, corrections)
        )
        live_count = members.table.live_count
        events, used_bytes = members.event_queue.take(free_bytes, live_count)
        eras, _used_bytes = members.era_queue.take(
            free_bytes - used_bytes, live_count
        )
        datagram = self.compose_without_updates(kind, now_ms, sequence, target)
        return datagram._replace(events=corrections + events, eras=eras)

    def compose_packet(
        self,
        peer: str,
        kind: DatagramKind,
        now_ms: float,
        sequence: int = 0,
        target: str = '',
    ) -> Packet:
        """Build a datagram for a known member, with its corrections."""
        member = self.members.table.by_id[peer]
        corrections = self.members.corrections_for(peer, member.process_id)
        datagram = self.compose(kind, now_ms, sequence, target, corrections)
        return Packet(endpoint_of(member), datagram)

    def compose_gossip(self, now_ms: float) -> list[Packet]:
        """Build datagrams with updates for a few peers, within the budget."""
        self.send_budget = refill_send_budget(self.send_budget, now_ms)
        packets = []
        for peer in self.probe_order.sample(GOSSIP_FANOUT, self.is_live_peer):
            if (
                self.send_budget.tokens <= 0
                or not self.members.event_queue.by_id
            ):
                break
            packet = self.compose_packet(peer, DatagramKind.NEWS, now_ms)
            events = packet.datagram.events
            size_bytes = HEADER_BYTES + sum(
                map(self.members.event_queue.encoded_size, events)
            )
            tokens = self.send_budget.tokens - size_bytes
            self.send_budget = self.send_budget._replace(tokens=tokens)
            packets.append(packet)
        return packets

    def compose_urgent_gossip(self, now_ms: float) -> list[Packet]:
        """Build datagrams that send the own record to several peers now."""
        self.add_joined_members()
        if self.members.replaced_by is not None:
            return []
        packets = []
        for peer in self.probe_order.sample(URGENT_FANOUT, self.is_live_peer):
            datagram = self.compose_without_updates(DatagramKind.NEWS, now_ms)
            endpoint = endpoint_of(self.members.table.by_id[peer])
            events = (self.members.own_event(),)
            packets.append(Packet(endpoint, datagram._replace(events=events)))
        return packets

    def add_joined_members(self) -> None:
        """Insert the members that have joined into the probe order."""
        for daemon_id in self.members.joined_ids:
            self.probe_order.add(daemon_id)
        self.members.joined_ids.clear()

    def is_live_peer(self, daemon_id: str) -> bool:
        """Return whether the id is of a live member other than this one."""
        own_id = self.members.own_record.daemon_id
        return daemon_id != own_id and self.members.table.is_live(daemon_id)
