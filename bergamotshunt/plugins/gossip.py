"""Gossip: the members that this daemon knows."""

from asyncio import sleep
from typing import Any, Final

from msgspec.json import decode, encode
from returns.result import Success

from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Post, Task
from bergamotshunt.members import Member
from bergamotshunt.messages import (
    DescribeTask,
    MembersChanged,
    PortBound,
    ServerStateChanged,
    SyncMembers,
)
from bergamotshunt.peer_api import PEER_ENDPOINTS
from bergamotshunt.transport import HttpRequest, Sender

HANDLERS: Final = HandlerTable()
SYNC_PATH: Final = '/bergamotshunt/sync'
CONNECTIONS_PER_PEER: Final = 2
Members = tuple[Member, ...]


class GossipTask(Task):
    """Owns the known members."""

    name = 'gossip'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; this daemon is its first member."""
        super().__init__(context)
        daemon = context.settings.daemon
        self.own = Member(
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
        self.members_by_id = {daemon.id: self.own}

    async def open(self) -> None:
        """Create the connections to peers."""
        self.sender = Sender(CONNECTIONS_PER_PEER)

    async def start(self) -> None:
        """Start to synchronize with peers."""
        self.spawn(self.synchronize())

    async def close(self) -> None:
        """Close the connections to peers."""
        await super().close()
        await self.sender.close()

    async def synchronize(self) -> None:
        """Exchange members with the known peers, again and again."""
        while True:
            for peer in self.settings.daemon.known_peers:
                await self.synchronize_with(peer)
            await sleep(self.settings.membership.sync_interval_s)

    async def synchronize_with(self, peer: str) -> None:
        """Exchange members with one peer (``IP:port``)."""
        outcome = await self.sender.send(
            HttpRequest(
                'POST',
                f'http://{peer}{SYNC_PATH}',
                {},
                encode(tuple(self.members_by_id.values())),
                self.settings.platform.timeout_ms,
            ),
        )
        match outcome:
            case Success(answer):
                self.merge(decode(answer.body, type=Members))

    def merge(self, members: Members) -> None:
        """Take over what is newer."""
        for member in members:
            known = self.members_by_id.get(member.daemon_id)
            if known is None or member.incarnation > known.incarnation:
                self.members_by_id[member.daemon_id] = member
        self.post.publish(MembersChanged(dict(self.members_by_id)))

    def replace_own(self, **fields: Any) -> None:
        """Change the record of this daemon."""
        newer = self.own.incarnation + 1
        self.own = self.own._replace(incarnation=newer, **fields)
        self.merge((self.own,))


@HANDLERS.on(SyncMembers)
def merge_from_peer(task: GossipTask, message: SyncMembers) -> Members:
    """Merge the members of a peer."""
    task.merge(message.members)
    return tuple(task.members_by_id.values())


@HANDLERS.on(PortBound)
def note_port(task: GossipTask, message: PortBound) -> None:
    """Announce a port of this daemon."""
    if message.kind == 'peers':
        task.replace_own(peers_port=message.port)


@HANDLERS.on(ServerStateChanged)
def note_server_state(task: GossipTask, message: ServerStateChanged) -> None:
    """Announce the state of the local backend server."""
    task.replace_own(server_state=message.server_state)


@HANDLERS.on(DescribeTask)
def describe(task: GossipTask, _message: DescribeTask) -> dict[str, Any]:
    """Describe the members for the daemon's status."""
    return {
        'members': [member._asdict() for member in task.members_by_id.values()],
    }


@PEER_ENDPOINTS.register(SYNC_PATH)
async def serve_sync(post: Post, body: bytes) -> bytes:
    """Answer a peer's exchange of members."""
    members = decode(body, type=Members)
    return encode(await post.ask(SyncMembers(members)))


@PLUGINS.register('gossip')
def create_gossip(context: Context) -> GossipTask:
    """Create the gossip task."""
    return GossipTask(context)
