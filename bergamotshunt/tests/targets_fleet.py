"""A small fleet of daemons for tests of targets over loopback.

Gossip is replaced by a fake: the fleet publishes the members to each daemon
and passes revisions between them, so that a test can partition the fleet.
"""

from asyncio import Task as AsyncioTask
from asyncio import create_task, gather, sleep
from collections.abc import Callable
from random import Random
from time import time
from typing import Any, Self

from bergamotshunt.kernel import Context, Kernel, MessageBus
from bergamotshunt.message_listener import MessageListener
from bergamotshunt.messages import (
    ConfirmationChanged,
    MembersChanged,
    PeerRevisionReceived,
    RevisionInForce,
    TargetsChanged,
)
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.peers.members import Member
from bergamotshunt.settings import (
    DaemonSettings,
    PlatformSettings,
    Settings,
    TargetsSettings,
)
from standins.platform import PlatformServer, PlatformStandIn

PLUGIN_NAMES = (
    'admin',
    'changes',
    'exchange',
    'guard',
    'keeper',
    'reader',
    'store',
)
TOKENS_BY_NAME = {
    'ana': 'token-of-ana-0000001',
    'ben': 'token-of-ben-0000002',
}
WAIT_TIMEOUT_S = 20


class Node:
    """One daemon and the messages that it published."""

    def __init__(self, settings: Settings, seed: int) -> None:
        bus = MessageBus()
        process_id = int(time() * 1000)
        context = Context(settings, bus, Random(seed), process_id)
        self.id = settings.daemon.id
        self.settings = settings
        self.bus = bus
        self.kernel = Kernel(context, PLUGIN_NAMES)
        self.targets = MessageListener(bus, TargetsChanged)
        self.confirmations = MessageListener(bus, ConfirmationChanged)
        self.revisions: Any = MessageListener(bus, RevisionInForce).mailbox
        self.in_force: RevisionInForce | None = None
        self.seen_revisions: list[int] = []
        self.is_partitioned = False

    @property
    def admin(self) -> str:
        return f'http://127.0.0.1:{self.kernel.ports_by_kind["admin"]}'

    def member(self) -> Member:
        daemon = self.settings.daemon
        return Member(
            daemon.id,
            1,
            daemon.ip,
            self.kernel.ports_by_kind['peers'],
            0,
            daemon.region,
            daemon.availability_zone,
            's',
        )

    async def wait_for_targets(
        self, is_wanted: Callable[[TargetSet], bool]
    ) -> TargetSet:
        def check(message: TargetsChanged) -> bool:
            self.seen_revisions.append(message.target_set.revision)
            return is_wanted(message.target_set)

        found = await self.targets.wait_for(check, WAIT_TIMEOUT_S)
        return found.target_set

    async def wait_for_revision(self, revision: int) -> TargetSet:
        return await self.wait_for_targets(
            lambda target_set: target_set.revision >= revision
        )

    async def wait_for_confirmation(self, confirmed: bool) -> str:
        found = await self.confirmations.wait_for(
            lambda message: message.confirmed is confirmed, WAIT_TIMEOUT_S
        )
        return found.detail


class Fleet:
    """Daemons, their platform stand-in, and a fake of their gossip."""

    def __init__(
        self, count: int, gossip_interval_s: float = 0.05, **targets: Any
    ) -> None:
        self.count = count
        self.gossip_interval_s = gossip_interval_s
        self.targets = TargetsSettings(**targets)
        self.stand_in = PlatformStandIn()
        self.platform = PlatformServer(self.stand_in)
        self.nodes: list[Node] = []
        self.rng = Random(7)
        self.gossip: AsyncioTask[None] | None = None

    async def __aenter__(self) -> Self:
        await self.platform.open()
        for _ in range(self.count):
            await self.add()
        self.gossip = create_task(self.run_gossip())
        return self

    async def __aexit__(self, *_error: object) -> None:
        assert self.gossip is not None
        self.gossip.cancel()
        await gather(self.gossip, return_exceptions=True)
        await gather(*(node.kernel.stop() for node in self.nodes))
        await self.platform.close()

    async def add(self, known_peers: tuple[str, ...] = ()) -> Node:
        """Start one daemon; each zone has up to ten daemons."""
        number = len(self.nodes)
        settings = Settings(
            daemon=DaemonSettings(
                id=f'd{number}',
                availability_zone=f'z{number // 10}',
                known_peers=known_peers,
            ),
            platform=PlatformSettings(
                (self.platform.url,), calls_per_s=100, timeout_ms=500
            ),
            targets=self.targets,
            operators=TOKENS_BY_NAME,
        )
        node = Node(settings, number)
        await node.kernel.start()
        self.nodes.append(node)
        self.publish_members()
        return node

    async def remove(self, node: Node) -> None:
        """Stop one daemon."""
        self.nodes.remove(node)
        await node.kernel.stop()

    def partition(self, node: Node, is_partitioned: bool = True) -> None:
        """Partition a daemon from the others, or end the partition.

        Both sides keep the records of each other's members, but with a peers
        port on which nothing listens.
        """
        node.is_partitioned = is_partitioned
        self.publish_members()

    def publish_members(self) -> None:
        """Publish all members to each daemon."""
        for receiver in self.nodes:
            members_by_id = {}
            for node in self.nodes:
                member = node.member()
                if receiver is not node and (
                    node.is_partitioned or receiver.is_partitioned
                ):
                    member = member._replace(peers_port=1)
                members_by_id[node.id] = member
            receiver.bus.publish(MembersChanged(members_by_id))

    async def run_gossip(self) -> None:
        """Periodically pass a random daemon's revision to each daemon."""
        while True:
            for node in self.nodes:
                while not node.revisions.empty():
                    node.in_force = node.revisions.get_nowait().message
            for receiver in self.nodes:
                sender = self.rng.choice(self.nodes)
                if (
                    sender is receiver
                    or sender.is_partitioned
                    or receiver.is_partitioned
                ):
                    continue
                if sender.in_force is not None:
                    received = PeerRevisionReceived(
                        sender.in_force.revision,
                        sender.id,
                        sender.in_force.age_ms,
                    )
                    receiver.bus.publish(received)
            await sleep(self.gossip_interval_s)
