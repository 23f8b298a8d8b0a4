"""Membership states of a fleet on a simulated network and clock.

No sockets or tasks are involved, so that a seed reproduces a run exactly.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from bergamotshunt.decisions.member_table import BUCKET_COUNT
from bergamotshunt.decisions.membership import Membership, MembershipRules
from bergamotshunt.decisions.swim import Swim
from bergamotshunt.decisions.swim_handlers import handle_datagram
from bergamotshunt.decisions.table_sync import (
    apply_sync_reply,
    create_sync_reply,
    create_sync_request,
)
from bergamotshunt.peers.datagrams import Endpoint, Packet
from bergamotshunt.peers.gossip_codec import (
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from bergamotshunt.peers.members import (
    Member,
    MemberStatus,
    ServerState,
    is_live,
)

RULES = MembershipRules(dead_probe_interval_ms=5000)
TICK_MS = 100
SYNC_INTERVAL_MS = 10_000


class SimulatedNode:
    """The membership state of one daemon, which may be paused."""

    def __init__(
        self, name: str, port: int, process_id: int, rng: Random, now_ms: float
    ) -> None:
        self.name = name
        self.endpoint: Endpoint = ('10.0.0.1', port)
        own = Member(
            name,
            process_id,
            '10.0.0.1',
            port,
            port,
            'r',
            'z',
            's',
            ServerState.SERVING,
            process_id=process_id,
        )
        self.members = Membership(own, RULES, encoded_size)
        self.swim = Swim(self.members, rng, now_ms)
        self.is_paused = False
        self.inbox: list[tuple[bytes, Endpoint]] = []

    def status_of(self, name: str) -> MemberStatus | None:
        record = self.members.table.by_id.get(name)
        return record.status if record else None


class SimulatedFleet:
    """Running daemons, the network between them, and the clock."""

    def __init__(self, seed: int, loss_probability: float = 0) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.loss_probability = loss_probability
        self.max_delay_ms = 20.0
        # Daemon that all others have as a known peer in their settings; empty
        # for none.
        self.configured_peer = 'd0'
        self.nodes: list[SimulatedNode] = []
        self.blocked_links: set[frozenset[Endpoint]] = set()
        # Heap of (arrival in ms, sequence number, source, target, content).
        self.packets_in_flight: list[
            tuple[float, int, Endpoint, Endpoint, bytes]
        ] = []
        self.packet_sequence = count()
        self.ports = count(1000)

    def add_node(
        self,
        name: str,
        sync_peer: SimulatedNode | None = None,
        process_id: int = 0,
        port: int = 0,
    ) -> SimulatedNode:
        node = SimulatedNode(
            name,
            port or next(self.ports),
            process_id or 1_000_000 + int(self.now_ms),
            self.rng,
            self.now_ms,
        )
        self.nodes.append(node)
        if sync_peer is not None:
            self.sync(node, sync_peer)
        return node

    def add_nodes(self, size: int) -> None:
        for number in range(size):
            self.add_node(f'd{number}', self.nodes[0] if self.nodes else None)

    def kill(self, node: SimulatedNode) -> None:
        self.nodes.remove(node)

    def is_reachable(self, source: Endpoint, target: Endpoint) -> bool:
        return frozenset((source, target)) not in self.blocked_links

    def partition(self, names: set[str]) -> None:
        self.blocked_links = {
            frozenset((node.endpoint, peer.endpoint))
            for node in self.nodes
            for peer in self.nodes
            if (node.name in names) != (peer.name in names)
        }

    def sync(self, node: SimulatedNode, peer: SimulatedNode) -> bool:
        if peer is node or peer.is_paused:
            return False
        if not self.is_reachable(node.endpoint, peer.endpoint):
            return False
        is_joining = node.members.table.live_count <= 1
        bucket = 0
        while bucket < BUCKET_COUNT:
            request = create_sync_request(node.members, bucket)
            reply = create_sync_reply(peer.members, request, self.now_ms)
            missing_records = apply_sync_reply(
                node.members, reply, self.now_ms, is_joining=is_joining
            )
            if missing_records:
                delivery = create_sync_request(
                    node.members, records=missing_records
                )
                create_sync_reply(peer.members, delivery, self.now_ms)
            bucket = reply['next_bucket']
        node.swim.composer.add_joined_members()
        peer.swim.composer.add_joined_members()
        return True

    def send(self, node: SimulatedNode, packets: list[Packet]) -> None:
        for packet in packets:
            if self.rng.random() < self.loss_probability:
                continue
            if not self.is_reachable(node.endpoint, packet.endpoint):
                continue
            content = encode_datagram(packet.datagram)
            arrival_ms = self.now_ms + self.rng.uniform(0.5, self.max_delay_ms)
            heappush(
                self.packets_in_flight,
                (
                    arrival_ms,
                    next(self.packet_sequence),
                    node.endpoint,
                    packet.endpoint,
                    content,
                ),
            )

    def deliver(
        self, node: SimulatedNode, content: bytes, source: Endpoint
    ) -> None:
        datagram = decode_datagram(content)
        assert datagram is not None
        received = handle_datagram(node.swim, datagram, source, self.now_ms)
        self.send(node, list(received.packets))
        if received.revived_id:
            self.sync_with(node, received.revived_id)

    def sync_with(self, node: SimulatedNode, name: str) -> None:
        record = node.members.table.by_id[name]
        for peer in self.nodes:
            if peer.endpoint == (record.ip, record.gossip_port):
                self.sync(node, peer)

    def step(self) -> None:
        """Advance the clock by one tick of all daemons that are not paused."""
        end_ms = self.now_ms + TICK_MS
        while self.packets_in_flight and self.packets_in_flight[0][0] <= end_ms:
            self.now_ms, _, source, target, content = heappop(
                self.packets_in_flight
            )
            for node in tuple(self.nodes):
                if node.endpoint == target and node.is_paused:
                    node.inbox.append((content, source))
                elif node.endpoint == target:
                    self.deliver(node, content, source)
        self.now_ms = end_ms
        for node in tuple(self.nodes):
            if not node.is_paused:
                self.send(node, node.swim.tick(self.now_ms))
                if self.rng.random() < TICK_MS / SYNC_INTERVAL_MS:
                    self.run_periodic_sync(node)

    def run_periodic_sync(self, node: SimulatedNode) -> None:
        """Sync with a live member, and with the configured peer if it is not live."""
        composer = node.swim.composer
        for name in composer.probe_order.sample(1, composer.is_live_peer):
            self.sync_with(node, name)
        live_endpoints = {
            (member.ip, member.gossip_port)
            for member in node.members.table.by_id.values()
            if is_live(member)
        }
        for peer in self.nodes:
            if (
                peer.name == self.configured_peer
                and peer.endpoint not in live_endpoints
            ):
                self.sync(node, peer)

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.step()

    def run_until_converged(self, limit_ms: float) -> float:
        """Run until all daemons agree; return the simulated time in ms."""
        start_ms = self.now_ms
        while not self.is_converged():
            assert self.now_ms - start_ms < limit_ms, self.describe()
            self.step()
        return self.now_ms - start_ms

    def is_converged(self) -> bool:
        """Return whether the live members of each table are the running daemons."""
        own_records = {
            node.name: node.members.own_record for node in self.nodes
        }
        return all(
            own_records
            == {
                name: member
                for name, member in node.members.table.by_id.items()
                if is_live(member)
            }
            for node in self.nodes
        )

    def describe(self) -> str:
        return '\n'.join(
            f'{node.name} {node.members.own_record.incarnation}: '
            + ' '.join(
                f'{name}={member.status.name}/{member.incarnation}'
                for name, member in sorted(node.members.table.by_id.items())
            )
            for node in self.nodes
        )
