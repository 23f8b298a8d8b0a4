"""Composing: datagrams with as much news as fits, and whom to send it."""

from random import Random
from typing import Final

from bergamotshunt.decisions.dissemination import SendBudget, refill
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

NEWS_FANOUT: Final = 3
# Peers that hear of a drain or a leave at once.
URGENT_FANOUT: Final = 8
# Of the 4 KB/s that a daemon may spend on control, this part carries news
# only; probes, load queries and table exchanges need the rest. The burst
# allows about 30 s at the full rate of 18 KB/s, so that the loss of a rack
# or the start of many daemons is known at once.
NEWS_BYTES_PER_S: Final = 1536
NEWS_BURST_BYTES: Final = 524_288
# Encoded header of a datagram with names of usual length.
HEADER_BYTES: Final = 80
SEQUENCE_LIMIT: Final = 2**32


class Composer:
    """Builds the datagrams of one daemon.

    Attributes:
        order: Members in the order of probes, also sampled for news.
        revision: Targets revision in force at this daemon.
        confirmed_ms: When that revision was last confirmed.
    """

    def __init__(
        self,
        members: Membership,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Create the composer of a daemon."""
        self.members = members
        self.order = ProbeOrder(rng)
        self.sequence = rng.randrange(SEQUENCE_LIMIT)
        self.revision = 0
        self.confirmed_ms = now_ms
        self.budget = SendBudget(
            NEWS_BYTES_PER_S,
            NEWS_BURST_BYTES,
            NEWS_BURST_BYTES,
            now_ms,
        )

    def next_sequence(self) -> int:
        """Return a new number for a question."""
        self.sequence = (self.sequence + 1) % SEQUENCE_LIMIT
        return self.sequence

    def compose_plain(
        self,
        kind: DatagramKind,
        now_ms: float,
        sequence: int = 0,
        target: str = '',
    ) -> Datagram:
        """Build a datagram without news."""
        return Datagram(
            kind,
            self.members.own.daemon_id,
            self.members.own.process_id,
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
        claim: tuple[MemberEvent, ...] = (),
    ) -> Datagram:
        """Build a datagram with as much news as fits after ``claim``."""
        members = self.members
        room = MAX_UPDATES_BYTES - sum(map(members.events.measure, claim))
        live_count = members.table.live_count
        events, used = members.events.take(room, live_count)
        eras, _used = members.eras.take(room - used, live_count)
        datagram = self.compose_plain(kind, now_ms, sequence, target)
        return datagram._replace(events=claim + events, eras=eras)

    def packet_to(
        self,
        peer: str,
        kind: DatagramKind,
        now_ms: float,
        sequence: int = 0,
        target: str = '',
    ) -> Packet:
        """Build a datagram for a known member."""
        member = self.members.table.by_id[peer]
        claim = self.members.claim_about(peer, member.process_id)
        datagram = self.compose(kind, now_ms, sequence, target, claim)
        return Packet(endpoint_of(member), datagram)

    def spread(self, now_ms: float) -> list[Packet]:
        """Send news to a few peers, within the budget of bytes."""
        self.budget = refill(self.budget, now_ms)
        packets = []
        for peer in self.order.sample(NEWS_FANOUT, self.is_peer):
            if self.budget.tokens <= 0 or not self.members.events.by_id:
                break
            packet = self.packet_to(peer, DatagramKind.NEWS, now_ms)
            events = packet.datagram.events
            size = HEADER_BYTES + sum(map(self.members.events.measure, events))
            tokens = self.budget.tokens - size
            self.budget = self.budget._replace(tokens=tokens)
            packets.append(packet)
        return packets

    def spread_at_once(self, now_ms: float) -> list[Packet]:
        """Send the own record to several peers now, beside other news."""
        self.take_joined()
        if self.members.replaced_by is not None:
            return []
        packets = []
        for peer in self.order.sample(URGENT_FANOUT, self.is_peer):
            datagram = self.compose_plain(DatagramKind.NEWS, now_ms)
            endpoint = endpoint_of(self.members.table.by_id[peer])
            events = (self.members.own_event(),)
            packets.append(Packet(endpoint, datagram._replace(events=events)))
        return packets

    def take_joined(self) -> None:
        """Add the members that appeared to the order of probes."""
        for daemon_id in self.members.joined_ids:
            self.order.add(daemon_id)
        self.members.joined_ids.clear()

    def is_peer(self, daemon_id: str) -> bool:
        """Return whether the id is of another member that counts as running."""
        own_id = self.members.own.daemon_id
        return daemon_id != own_id and self.members.table.is_live(daemon_id)
