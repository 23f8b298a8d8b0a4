"""Tests joining through seed lists and the number of platform calls."""

import asyncio
from random import Random

from msgspec.json import decode, encode
from returns.result import Failure, Result, Success

from bergamotshunt.daemon import create_kernel
from bergamotshunt.decisions.seed_lists import (
    MAINTAINERS_PER_ZONE,
    MAX_SEEDS,
    Seed,
    SeedIntervals,
    is_maintainer,
    update_seeds,
)
from bergamotshunt.http.web import HttpServer
from bergamotshunt.kernel import Context, Envelope, Mailbox, MessageBus
from bergamotshunt.messages import (
    MembersChanged,
    SeedsLearned,
    StoreCommit,
    StoreCommitted,
    StoreEntry,
    StoreFailure,
    StoreGet,
)
from bergamotshunt.peers.members import Member, MemberStatus
from bergamotshunt.plugins.seeds import SeedsTask
from bergamotshunt.settings import (
    DaemonSettings,
    PlatformSettings,
    Settings,
)
from bergamotshunt.tests.virtual_time import run_in_virtual_time
from standins.platform import PlatformStandIn

ZONES = ('zone-1', 'zone-2', 'zone-3')
# The default intervals divided by 20.
SHORT_INTERVALS = SeedIntervals(0.2, 1, 0.1, 1.5, 15)


def member(number: int, **fields: object) -> Member:
    zone = ZONES[number % len(ZONES)]
    record = Member(f'd{number}', 1, '10.0.0.1', number + 1, 1, 'r', zone, 's')
    return record._replace(**fields)  # type: ignore[arg-type]


class FakePlatform:
    """Fake store of seed lists with compare-and-swap and an outage switch."""

    def __init__(self) -> None:
        self.entries_by_key: dict[str, StoreEntry] = {}
        self.is_down = False
        self.delay_s = 0.0
        self.reads = 0
        self.writes = 0
        self.expected_reads = 0
        self.all_have_read = asyncio.Event()

    async def respond(self, envelope: Envelope) -> None:
        await asyncio.sleep(self.delay_s)
        assert envelope.reply is not None
        if not envelope.reply.done():
            envelope.reply.set_result(self.reply(envelope.message))

    def reply(self, message: StoreGet | StoreCommit) -> Result:
        if isinstance(message, StoreGet):
            self.reads += 1
            if self.reads >= self.expected_reads:
                self.all_have_read.set()
        else:
            self.writes += 1
        if self.is_down:
            return Failure(StoreFailure(False, 'down'))
        if isinstance(message, StoreGet):
            return Success(tuple(self.entries_by_key.values()))
        ((key, revision),) = message.expected
        stored = self.entries_by_key.get(key)
        if (stored.mod_revision if stored else 0) != revision:
            return Success(StoreCommitted(succeeded=False, revision=revision))
        (put,) = message.puts
        self.entries_by_key[key] = StoreEntry(key, put.content, revision + 1)
        return Success(StoreCommitted(succeeded=True, revision=revision + 1))

    def seeds(self) -> list[Seed]:
        return [
            seed
            for entry in self.entries_by_key.values()
            for seed in decode(entry.content, type=tuple[Seed, ...])
        ]


class FakeHost:
    """A seeds task with a fake of the gossip task of the same daemon."""

    def __init__(self, number: int, platform: FakePlatform) -> None:
        self.own = member(number)
        self.platform = platform
        settings = Settings(
            daemon=DaemonSettings(
                id=self.own.daemon_id,
                availability_zone=self.own.availability_zone,
            )
        )
        context = Context(settings, MessageBus(), Random(number), 1)
        self.seeds_task = SeedsTask(context)
        self.seeds_task.intervals = SHORT_INTERVALS
        self.mailbox: Mailbox = asyncio.Queue()
        for kind in (StoreGet, StoreCommit, SeedsLearned):
            context.bus.subscribe(kind, self.mailbox)

    async def start(self, fleet: 'FakeFleet') -> None:
        self.fleet = fleet
        self.publish_members({self.own.daemon_id: self.own})
        self.seeds_task.spawn(self.seeds_task.run())
        self.seeds_task.spawn(self.serve())
        await self.seeds_task.start()

    async def serve(self) -> None:
        while True:
            envelope = await self.mailbox.get()
            if isinstance(envelope.message, SeedsLearned):
                self.fleet.join(self, envelope.message.peers)
            else:
                self.seeds_task.spawn(self.platform.respond(envelope))

    def publish_members(self, members_by_id: dict[str, Member]) -> None:
        self.seeds_task.context.bus.publish(MembersChanged(members_by_id))


class FakeFleet:
    """Hosts that join a peer's group at once and then know all its members."""

    def __init__(self, size: int, platform: FakePlatform) -> None:
        self.hosts = [FakeHost(number, platform) for number in range(size)]
        self.groups_by_id = {
            host.own.daemon_id: {host.own.daemon_id} for host in self.hosts
        }
        self.joined = asyncio.Event()

    def join(self, host: FakeHost, peers: tuple[str, ...]) -> None:
        host_by_address = {
            f'{peer_host.own.ip}:{peer_host.own.peers_port}': peer_host
            for peer_host in self.hosts
        }
        peer_hosts = [
            host_by_address[peer] for peer in peers if peer in host_by_address
        ][:3]
        for peer_host in peer_hosts:
            own_group = self.groups_by_id[host.own.daemon_id]
            peer_group = self.groups_by_id[peer_host.own.daemon_id]
            if own_group is peer_group:
                continue
            own_group |= peer_group
            for daemon_id in peer_group:
                self.groups_by_id[daemon_id] = own_group
        own_group = self.groups_by_id[host.own.daemon_id]
        if peer_hosts:
            members = {
                known_host.own.daemon_id: known_host.own
                for known_host in self.hosts
                if known_host.own.daemon_id in own_group
            }
            for known_host in self.hosts:
                if known_host.own.daemon_id in own_group:
                    known_host.publish_members(members)
        if all(len(group) > 1 for group in self.groups_by_id.values()):
            self.joined.set()

    async def start(self) -> None:
        for host in self.hosts:
            await host.start(self)

    async def close(self) -> None:
        for host in self.hosts:
            await host.seeds_task.close()


def test_two_daemons_maintain_the_list_of_a_zone() -> None:
    """Guards against platform calls that grow with the size of the fleet.

    They would if more than a fixed number of daemons maintained a list.
    """
    for size in (1, 2, 50, 514):
        ids = [f'd{number}' for number in range(size)]
        maintainers = [
            daemon_id
            for daemon_id in ids
            if is_maintainer(daemon_id, ids, 'zone-1')
        ]
        assert len(maintainers) == min(size, MAINTAINERS_PER_ZONE)


def test_revised_list_drops_dead_members_and_keeps_unmet_seeds() -> None:
    """Guards against lists that keep dead seeds or drop unmet daemons.

    A seed that no daemon has met yet may belong to another partition of the
    fleet, which can only merge through it.
    """
    members = {
        f'd{number}': member(number, availability_zone='zone-1')
        for number in range(12)
    }
    members['d1'] = members['d1']._replace(status=MemberStatus.DEAD)
    unmet = Seed('x', '10.0.0.9', 9)
    stored = (
        Seed('d1', '10.0.0.1', 2),
        Seed('d2', '10.0.0.1', 3),
        unmet,
    )
    seeds = update_seeds(stored, members, members['d0'], tried=())
    assert len(seeds) == MAX_SEEDS
    assert unmet in seeds
    assert stored[1] in seeds
    assert stored[0] not in seeds
    assert set(update_seeds(seeds, members, members['d0'], ())) == set(seeds)
    assert unmet not in update_seeds(stored, members, members['d0'], {unmet})


def run_start(platform: FakePlatform, size: int, down_first: bool) -> None:
    async def scenario() -> None:
        fleet = FakeFleet(size, platform)
        platform.is_down = down_first
        platform.expected_reads = size
        await fleet.start()
        if down_first:
            async with asyncio.timeout(20):
                await platform.all_have_read.wait()
            platform.is_down = False
        async with asyncio.timeout(20):
            await fleet.joined.wait()
        await fleet.close()

    run_in_virtual_time(scenario())


def test_all_hosts_start_at_once() -> None:
    """Guards against a burst of platform writes when a whole fleet starts.

    All hosts then read empty lists at the same time and all want to write.
    """
    platform = FakePlatform()
    platform.delay_s = 0.002
    run_start(platform, 90, down_first=False)
    print(f'reads {platform.reads}, writes {platform.writes}')
    assert platform.reads <= 2 * 90
    assert platform.writes <= 20


def test_all_hosts_start_while_the_platform_is_down() -> None:
    """Guards against hosts that give up or retry too often in an outage.

    All reads fail at first, so that every host has to retry with backoff.
    """
    platform = FakePlatform()
    platform.delay_s = 0.002
    run_start(platform, 60, down_first=True)
    print(f'reads {platform.reads}, writes {platform.writes}')
    assert platform.reads <= 5 * 60
    assert platform.writes <= 20


def test_stale_list_of_dead_seeds_is_replaced() -> None:
    """Guards against a list full of dead seeds that prevents every join.

    Such lists, or malformed ones, remain when an earlier fleet is gone.
    """
    platform = FakePlatform()
    for zone in ZONES:
        key = f'seeds/{zone}'
        stale = [
            Seed(f'{zone}-{number}', '10.0.0.7', number)
            for number in range(MAX_SEEDS)
        ]
        platform.entries_by_key[key] = StoreEntry(key, encode(stale), 5)
    platform.entries_by_key['seeds/zone-9'] = StoreEntry(
        'seeds/zone-9', b'{', 3
    )
    run_start(platform, 30, down_first=False)
    print(f'reads {platform.reads}, writes {platform.writes}')
    assert platform.writes <= 20


async def join_through_the_platform() -> None:
    stand_in = PlatformStandIn()
    platform = HttpServer(stand_in.app, '127.0.0.1', 0)
    await platform.open()
    url = f'http://127.0.0.1:{platform.port}'
    kernels = []
    received: Mailbox = asyncio.Queue()
    for number in (1, 2):
        settings = Settings(
            daemon=DaemonSettings(id=f'd{number}'),
            platform=PlatformSettings((url,)),
        )
        kernel = create_kernel(settings, seed=number)
        kernel.context.bus.subscribe(MembersChanged, received)
        await kernel.start()
        kernels.append(kernel)
    async with asyncio.timeout(30):
        while len((await received.get()).message.members_by_id) < 2:
            pass
    for kernel in kernels:
        await kernel.stop()
    await platform.close()


def test_daemons_without_known_peers_join_through_the_platform() -> None:
    """Guards against seed lists that the real store task cannot handle.

    The other tests of this file replace the store task by a fake.
    """
    asyncio.run(join_through_the_platform())
