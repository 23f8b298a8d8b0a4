"""Reader: watches the targets in the platform on behalf of its zone.

Only the readers of each availability zone watch the platform, so that the
platform's load grows with the number of zones and not of daemons.
"""

from asyncio import Event, sleep
from typing import Any, Final

from returns.result import Result, Success

from bergamotshunt.decisions.reader_election import choose_readers
from bergamotshunt.kernel import PLUGINS, Context, HandlerTable, Task
from bergamotshunt.messages import (
    ChangeReceived,
    DescribeTask,
    MembersChanged,
    StoreEntry,
    StoreFailure,
    StoreWatch,
)
from bergamotshunt.operators.targets_codec import HEAD_KEY
from bergamotshunt.operators.targets_messages import (
    ReaderElected,
)
from bergamotshunt.peers.members import Member
from bergamotshunt.store.platform_targets import (
    change_of_entry,
    fetch_head,
    try_decode,
)

HANDLERS: Final = HandlerTable()
# A watch that ends without an event costs the platform one call.
WATCH_TIMEOUT_MS: Final = 60_000
# Exceeds the timeout of the watch, whose end is the reply of the store task.
WATCH_REPLY_TIMEOUT_S: Final = 75
MAX_RETRY_DELAY_S: Final = 2
# Bounds the CPU share of elections, which take about 1 us per member.
MAX_SCANNED_MEMBERS_PER_S: Final = 4000


class ReaderTask(Task):
    """Watches the head, the newest change, while this daemon is a reader."""

    name = 'reader'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; it is not a reader before the first election."""
        super().__init__(context)
        self.members_by_id: dict[str, Member] = {}
        self.members_changed = Event()
        self.elected = Event()
        self.head_mod_revision = 0

    async def start(self) -> None:
        """Start the elections and the watch."""
        self.spawn(self.run_elections())
        self.spawn(self.watch_head())

    async def run_elections(self) -> None:
        """Elect the readers of this zone whenever the members change."""
        while True:
            await self.members_changed.wait()
            self.members_changed.clear()
            self.elect()
            await sleep(len(self.members_by_id) / MAX_SCANNED_MEMBERS_PER_S)

    def elect(self) -> None:
        """Determine and publish whether this daemon is a reader."""
        daemon = self.settings.daemon
        readers = choose_readers(
            self.members_by_id.values(),
            daemon.region,
            daemon.availability_zone,
            self.settings.targets.readers_per_zone,
        )
        is_reader = daemon.id in readers
        if is_reader == self.elected.is_set():
            return
        if is_reader:
            self.elected.set()
        else:
            self.elected.clear()
        self.bus.publish(ReaderElected(is_reader))

    async def watch_head(self) -> None:
        """Watch the head from the revision at which it was last read."""
        while True:
            await self.elected.wait()
            if not await self.read_or_watch():
                await sleep(self.context.rng.uniform(0, MAX_RETRY_DELAY_S))

    async def read_or_watch(self) -> bool:
        """Wait for the next change.

        Returns:
            Whether the platform responded.
        """
        if not self.head_mod_revision:
            return await self.read_head()
        outcome: Result[StoreEntry | None, StoreFailure]
        outcome = await self.bus.ask(
            StoreWatch(HEAD_KEY, self.head_mod_revision, WATCH_TIMEOUT_MS),
            WATCH_REPLY_TIMEOUT_S,
        )
        match outcome:
            case Success(entry):
                self.handle_entry(entry)
                return True
        return False

    async def read_head(self) -> bool:
        """Read the head to know the revision from which to watch.

        Returns:
            Whether the platform responded.
        """
        match await fetch_head(self.bus):
            case Success(head):
                # The store has revision 1 before its first write, so that
                # a watch after 1 returns all writes.
                self.head_mod_revision = head.mod_revision or 1
                if head.change is not None:
                    self.bus.publish(ChangeReceived(head.change))
                return True
        return False

    def handle_entry(self, entry: StoreEntry | None) -> None:
        """Publish the change of an entry unless it is an old one."""
        if entry is None or entry.mod_revision <= self.head_mod_revision:
            return
        self.head_mod_revision = entry.mod_revision
        if entry.content:
            change = try_decode(change_of_entry, entry)
            if change is not None:
                self.bus.publish(ChangeReceived(change))


@HANDLERS.on(MembersChanged)
def update_members(task: ReaderTask, message: MembersChanged) -> None:
    """Store the members and schedule an election."""
    task.members_by_id = message.members_by_id
    task.members_changed.set()


@HANDLERS.on(DescribeTask)
def describe(task: ReaderTask, _message: DescribeTask) -> dict[str, Any]:
    """Return whether this daemon is a reader, for the daemon's status."""
    return {'reads_platform': task.elected.is_set()}


@PLUGINS.register('reader')
def create_reader(context: Context) -> ReaderTask:
    """Create the reader task."""
    return ReaderTask(context)
