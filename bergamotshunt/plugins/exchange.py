"""Exchange: fetches targets from peers and pushes changes to them."""

from asyncio import Event, sleep
from typing import Final

from bergamotshunt.decisions.readers import choose_peers, list_present
from bergamotshunt.http.transport import Sender
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import (
    MembersChanged,
    PeerReached,
    RevisionInForce,
)
from bergamotshunt.operators.targets import Change
from bergamotshunt.operators.targets_catch_up import fetch_from_platform
from bergamotshunt.operators.targets_initial_fetch import fetch_initial_targets
from bergamotshunt.operators.targets_messages import (
    MissingChangesDetected,
    PulledTargets,
    PushChange,
    TargetsFetched,
)
from bergamotshunt.operators.targets_peer_api import (
    TargetsPeerClient,
    peers_port_address,
)
from bergamotshunt.peers.members import Member

HANDLERS: Final = HandlerTable()
CONNECTIONS_PER_PEER: Final = 2
FIRST_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 2
START_PEERS: Final = 3


class ExchangeTask(Task):
    """Owns the connections for pushes and for the first fetch."""

    name = 'exchange'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without members."""
        super().__init__(context)
        self.own_id = context.settings.daemon.id
        self.members_by_id: dict[str, Member] = {}
        self.revision = 0
        self.wanted = MissingChangesDetected(0, '')
        self.behind = Event()

    async def open(self) -> None:
        """Create the connections to peers."""
        self.sender = Sender(CONNECTIONS_PER_PEER)
        timeout_ms = self.settings.platform.timeout_ms
        self.peers = TargetsPeerClient(self.sender, timeout_ms)

    async def start(self) -> None:
        """Start to learn the targets and to fetch what is missing."""
        self.spawn(self.learn())
        self.spawn(self.catch_up())

    async def close(self) -> None:
        """Close the connections to peers."""
        await super().close()
        await self.sender.close()

    async def learn(self) -> None:
        """Ask the platform and peers until the targets are known."""
        pause_s = FIRST_PAUSE_S
        learned = None
        while learned is None:
            learned = await fetch_initial_targets(
                self.post,
                self.peers,
                self.choose_addresses(),
                self.now_ms(),
            )
            if learned is None:
                await sleep(self.context.rng.uniform(pause_s / 2, pause_s))
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
        self.post.publish(learned)

    async def catch_up(self) -> None:
        """Fetch what is missing whenever the keeper asks for it."""
        while True:
            await self.behind.wait()
            self.behind.clear()
            # A push usually brings the change sooner than a pull.
            pause_s = self.context.rng.uniform(0, FIRST_PAUSE_S)
            await sleep(pause_s)
            await self.ask_sources((self.wanted.daemon_id,))
            while self.revision < self.wanted.revision:
                await sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_PAUSE_S)
                others = [member.daemon_id for member in self.choose_peers(1)]
                sources = (self.wanted.daemon_id, *others, '')
                await self.ask_sources(sources)

    async def ask_sources(self, daemon_ids: tuple[str, ...]) -> None:
        """Ask members, or the platform (empty), until nothing is missing."""
        for daemon_id in daemon_ids:
            if self.revision < self.wanted.revision:
                await self.fetch_from(daemon_id)

    async def fetch_from(self, daemon_id: str) -> None:
        """Fetch what is missing from a member, or the platform (empty)."""
        requested_ms = self.now_ms()
        if daemon_id:
            pulled = await self.pull(daemon_id)
        else:
            pulled = await fetch_from_platform(self.post, self.revision)
        if pulled is not None:
            fetched = TargetsFetched(pulled, daemon_id, requested_ms)
            self.revision = await self.post.ask(fetched)

    async def pull(self, daemon_id: str) -> PulledTargets | None:
        """Ask a member for what is missing."""
        member = self.members_by_id.get(daemon_id)
        if member is None:
            return None
        return await self.peers.pull(peers_port_address(member), self.revision)

    def choose_addresses(self) -> list[str]:
        """Choose peers to ask after the start."""
        rng = self.context.rng
        chosen = self.choose_peers(START_PEERS)
        addresses = [peers_port_address(member) for member in chosen]
        known = self.settings.daemon.known_peers
        wanted = min(START_PEERS - len(addresses), len(known))
        return addresses + rng.sample(known, wanted)

    def choose_peers(self, wanted: int) -> list[Member]:
        """Choose random members that can be reached."""
        present = list_present(self.members_by_id.values(), self.own_id)
        return choose_peers(present, wanted, self.context.rng)

    async def push_to(self, member: Member, change: Change) -> None:
        """Push a change to one member."""
        if await self.peers.push(
            peers_port_address(member), self.own_id, change
        ):
            self.post.publish(PeerReached(member.daemon_id))


@HANDLERS.on(MembersChanged)
def note_members(task: ExchangeTask, message: MembersChanged) -> None:
    """Take over the members."""
    task.members_by_id = message.members_by_id


@HANDLERS.on(RevisionInForce)
def note_revision(task: ExchangeTask, message: RevisionInForce) -> None:
    """Take over the revision in force."""
    task.revision = max(task.revision, message.revision)


@HANDLERS.on(MissingChangesDetected)
def note_behind(task: ExchangeTask, message: MissingChangesDetected) -> None:
    """Fetch what is missing soon."""
    task.wanted = message
    task.behind.set()


@HANDLERS.on(PushChange)
def push(task: ExchangeTask, message: PushChange) -> None:
    """Push a change to random members."""
    for member in task.choose_peers(task.settings.targets.push_fanout):
        task.spawn(task.push_to(member, message.change))


@PLUGINS.register('exchange')
def create_exchange(context: Context) -> ExchangeTask:
    """Create the exchange task."""
    return ExchangeTask(context)
