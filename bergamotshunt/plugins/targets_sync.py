"""Fetches missing targets from peers and pushes changes to them."""

from asyncio import Event, sleep
from typing import Final

from bergamotshunt.decisions.reader_election import (
    choose_random_peers,
    list_reachable,
)
from bergamotshunt.http.transport import HttpClient
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
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2
MAX_STARTUP_PEERS: Final = 3


class TargetsSyncTask(Task):
    """Owns the connections to peers for pushing and pulling targets."""

    name = 'exchange'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without members."""
        super().__init__(context)
        self.own_id = context.settings.daemon.id
        self.members_by_id: dict[str, Member] = {}
        self.revision = 0
        self.newest_known = MissingChangesDetected(0, '')
        self.behind = Event()

    async def open(self) -> None:
        """Create the connections to peers."""
        self.http_client = HttpClient(CONNECTIONS_PER_PEER)
        timeout_ms = self.settings.platform.timeout_ms
        self.peers = TargetsPeerClient(self.http_client, timeout_ms)

    async def start(self) -> None:
        """Start to fetch the initial targets and missing changes."""
        self.spawn(self.run_initial_fetch())
        self.spawn(self.catch_up())

    async def close(self) -> None:
        """Close the connections to peers."""
        await super().close()
        await self.http_client.close()

    async def run_initial_fetch(self) -> None:
        """Query the platform and peers until the targets are known."""
        backoff_s = INITIAL_BACKOFF_S
        initial_targets = None
        while initial_targets is None:
            initial_targets = await fetch_initial_targets(
                self.bus,
                self.peers,
                self.choose_startup_addresses(),
                self.now_ms(),
            )
            if initial_targets is None:
                await sleep(self.context.rng.uniform(backoff_s / 2, backoff_s))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        self.bus.publish(initial_targets)

    async def catch_up(self) -> None:
        """Fetch missing changes whenever the targets task is behind."""
        while True:
            await self.behind.wait()
            self.behind.clear()
            # A push usually brings the change sooner than a pull.
            backoff_s = self.context.rng.uniform(0, INITIAL_BACKOFF_S)
            await sleep(backoff_s)
            await self.fetch_from_sources((self.newest_known.daemon_id,))
            while self.revision < self.newest_known.revision:
                await sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                random_ids = [
                    member.daemon_id for member in self.choose_peers(1)
                ]
                sources = (self.newest_known.daemon_id, *random_ids, '')
                await self.fetch_from_sources(sources)

    async def fetch_from_sources(self, daemon_ids: tuple[str, ...]) -> None:
        """Fetch from sources in order until no change is missing.

        Args:
            daemon_ids: Members to pull from; empty stands for the platform.
        """
        for daemon_id in daemon_ids:
            if self.revision < self.newest_known.revision:
                await self.fetch_from(daemon_id)

    async def fetch_from(self, daemon_id: str) -> None:
        """Fetch missing changes.

        Args:
            daemon_id: Member to pull from; empty for the platform.
        """
        requested_ms = self.now_ms()
        if daemon_id:
            pulled = await self.pull(daemon_id)
        else:
            pulled = await fetch_from_platform(self.bus, self.revision)
        if pulled is not None:
            fetched = TargetsFetched(pulled, daemon_id, requested_ms)
            self.revision = await self.bus.ask(fetched)

    async def pull(self, daemon_id: str) -> PulledTargets | None:
        """Pull missing changes from a member; None if that failed."""
        member = self.members_by_id.get(daemon_id)
        if member is None:
            return None
        return await self.peers.pull(peers_port_address(member), self.revision)

    def choose_startup_addresses(self) -> list[str]:
        """Choose random peers (``IP:port``) to query at the start."""
        rng = self.context.rng
        chosen = self.choose_peers(MAX_STARTUP_PEERS)
        addresses = [peers_port_address(member) for member in chosen]
        known = self.settings.daemon.known_peers
        count = min(MAX_STARTUP_PEERS - len(addresses), len(known))
        return addresses + rng.sample(known, count)

    def choose_peers(self, count: int) -> list[Member]:
        """Choose random reachable members."""
        reachable = list_reachable(self.members_by_id.values(), self.own_id)
        return choose_random_peers(reachable, count, self.context.rng)

    async def push_to(self, member: Member, change: Change) -> None:
        """Push a change to one member."""
        if await self.peers.push(
            peers_port_address(member), self.own_id, change
        ):
            self.bus.publish(PeerReached(member.daemon_id))


@HANDLERS.on(MembersChanged)
def update_members(task: TargetsSyncTask, message: MembersChanged) -> None:
    """Store the known members."""
    task.members_by_id = message.members_by_id


@HANDLERS.on(RevisionInForce)
def update_revision(task: TargetsSyncTask, message: RevisionInForce) -> None:
    """Raise the known revision to the one in force."""
    task.revision = max(task.revision, message.revision)


@HANDLERS.on(MissingChangesDetected)
def handle_missing_changes(
    task: TargetsSyncTask, message: MissingChangesDetected
) -> None:
    """Schedule a fetch of missing changes."""
    task.newest_known = message
    task.behind.set()


@HANDLERS.on(PushChange)
def push(task: TargetsSyncTask, message: PushChange) -> None:
    """Push a change to random members."""
    for member in task.choose_peers(task.settings.targets.push_fanout):
        task.spawn(task.push_to(member, message.change))


@PLUGINS.register('exchange')
def create_targets_sync(context: Context) -> TargetsSyncTask:
    """Create the targets sync task."""
    return TargetsSyncTask(context)
