"""Seeds: a short list of daemons per availability zone in the platform.

A daemon without known peers joins the fleet through these lists.
"""

from asyncio import sleep
from collections.abc import Set as AbstractSet
from typing import Any, Final

from msgspec import DecodeError
from msgspec.json import Decoder, encode
from returns.result import Result, Success

from bergamotshunt.decisions.seed_lists import (
    Seed,
    SeedIntervals,
    first_read_delay_s,
    is_maintainer,
    live_ids_of_zone,
    refresh_delay_s,
    retry_delay_s,
    update_seeds,
)
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    NoHandlerError,
    Task,
)
from bergamotshunt.log import log_event
from bergamotshunt.messages import (
    DescribeTask,
    MembersChanged,
    SeedsLearned,
    StoreCommit,
    StoreEntry,
    StoreFailure,
    StoreGet,
    StorePut,
)
from bergamotshunt.peers.members import Member, is_live

HANDLERS: Final = HandlerTable()
SEEDS_PREFIX: Final = 'seeds/'
SEED_LIST_DECODER: Final = Decoder(tuple[Seed, ...])


class SeedsTask(Task):
    """Reads the seed lists and maintains the list of its zone."""

    name = 'seeds'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task without members."""
        super().__init__(context)
        self.intervals = SeedIntervals()
        self.members_by_id: dict[str, Member] = {}
        self.zone = context.settings.daemon.availability_zone
        self.reads = 0
        self.writes = 0
        self.tried_seeds: frozenset[Seed] = frozenset()

    async def start(self) -> None:
        """Start to read the seed lists."""
        self.spawn(self.run_refreshes())

    async def run_refreshes(self) -> None:
        """Read the seed lists until joined; then only maintainers read them."""
        rng = self.context.rng
        has_peers = bool(self.settings.daemon.known_peers)
        await sleep(first_read_delay_s(self.intervals, has_peers, rng))
        attempt = 0
        while True:
            if self.is_alone():
                await self.refresh_lists()
                pause_s = retry_delay_s(self.intervals, attempt, rng)
                attempt += 1
            else:
                attempt = 0
                pause_s = refresh_delay_s(self.intervals, rng)
                if self.maintains_list():
                    await self.refresh_lists()
            await sleep(pause_s)

    def is_alone(self) -> bool:
        """Return whether no other running daemon is known."""
        return sum(map(is_live, self.members_by_id.values())) <= 1

    def maintains_list(self) -> bool:
        """Return whether this daemon maintains its zone's list."""
        ids = live_ids_of_zone(self.members_by_id.values(), self.zone)
        return is_maintainer(self.settings.daemon.id, ids, self.zone)

    async def refresh_lists(self) -> None:
        """Read all seed lists and update this zone's list if needed."""
        self.reads += 1
        outcome = await self.ask_store(StoreGet(SEEDS_PREFIX, prefix=True))
        match outcome:
            case Success(entries):
                await self.handle_lists(entries)

    async def handle_lists(self, entries: tuple[StoreEntry, ...]) -> None:
        """Publish the seeds to gossip and update this zone's list.

        A daemon that knows no other one tries new seeds before it writes.
        When all daemons of a zone start at once, the first that finds no
        seed to try adds itself to the list, and those that read later join
        through it.
        """
        seeds_by_key = {entry.key: decode_seeds(entry) for entry in entries}
        found = {seed for seeds in seeds_by_key.values() for seed in seeds}
        tried = self.tried_seeds
        self.tried_seeds = frozenset(found)
        self.publish_seeds(found, tried)
        own = self.members_by_id.get(self.settings.daemon.id)
        if own is None or not own.peers_port:
            return
        if self.is_alone() and has_untried_peers(found, tried, own):
            return
        key = f'{SEEDS_PREFIX}{self.zone}'
        stored = seeds_by_key.get(key, ())
        wanted = update_seeds(stored, self.members_by_id, own, tried)
        if set(wanted) != set(stored):
            revision = max(
                (entry.mod_revision for entry in entries if entry.key == key),
                default=0,
            )
            await self.write(key, revision, wanted)

    def publish_seeds(
        self,
        found: AbstractSet[Seed],
        tried: AbstractSet[Seed],
    ) -> None:
        """Publish the seeds to gossip: new ones first, else in random order."""
        seeds = sorted(found)
        self.context.rng.shuffle(seeds)
        seeds.sort(key=tried.__contains__)
        own_id = self.settings.daemon.id
        peers = [
            f'{seed.ip}:{seed.peers_port}'
            for seed in seeds
            if seed.daemon_id != own_id
        ]
        self.bus.publish(SeedsLearned(tuple(peers)))

    async def write(
        self,
        key: str,
        revision: int,
        seeds: tuple[Seed, ...],
    ) -> None:
        """Write a list unless another daemon wrote it in between.

        A failed compare-and-swap is ignored: the other daemon's list is as
        good, and the next refresh reads it.
        """
        self.writes += 1
        put = StorePut(key, encode(seeds))
        await self.ask_store(StoreCommit(((key, revision),), (put,)))

    async def ask_store(
        self,
        request: StoreGet | StoreCommit,
    ) -> Result[Any, StoreFailure]:
        """Call the store task; a missing reply counts as a failed call."""
        try:
            return await self.bus.ask(request)
        except (NoHandlerError, TimeoutError) as error:
            detail = f'{type(error).__name__}: {error}'
            return Result.from_failure(StoreFailure(True, detail))


def has_untried_peers(
    found: AbstractSet[Seed],
    tried: AbstractSet[Seed],
    own: Member,
) -> bool:
    """Return whether there are untried seeds of other daemons."""
    return any(seed.daemon_id != own.daemon_id for seed in found - tried)


def decode_seeds(entry: StoreEntry) -> tuple[Seed, ...]:
    """Decode a seed list; a malformed one counts as empty."""
    try:
        return SEED_LIST_DECODER.decode(entry.content)
    except DecodeError as error:
        log_event('seeds:malformed', key=entry.key, detail=str(error))
        return ()


@HANDLERS.on(MembersChanged)
def update_members(task: SeedsTask, message: MembersChanged) -> None:
    """Store the known members."""
    task.members_by_id = message.members_by_id


@HANDLERS.on(DescribeTask)
def describe(task: SeedsTask, _message: DescribeTask) -> dict[str, Any]:
    """Return the number of platform calls for the daemon's status."""
    return {'seeds': {'reads': task.reads, 'writes': task.writes}}


@PLUGINS.register('seeds')
def create_seeds(context: Context) -> SeedsTask:
    """Create the seeds task."""
    return SeedsTask(context)
