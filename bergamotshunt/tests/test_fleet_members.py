"""Members of the fleet, without a network and in a mesh."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshunt.decisions.fleet_members import (
    REMOVAL_DELAY_S,
    FleetMembers,
    MemberPublication,
)
from bergamotshunt.kernel import Envelope
from bergamotshunt.mesh_messages import Member, MembersChanged
from bergamotshunt.routing import AnnouncedState, ServerEntry
from bergamotshunt.tests.mesh import Mesh
from standins.mesh_server import respond_with_echo

IPS = st.sampled_from(['10.0.0.1', '10.0.0.2', '10.0.0.3'])
# The entries of a host that lapsed are back after this time at the latest.
ENTRY_RETURN_S = 2.0
SINCE_S = 7.0


def entry(ip: str, born_ms: int = 1, *, leaving: bool = False) -> ServerEntry:
    return ServerEntry(
        instance=f'{ip}/{born_ms}',
        born_ms=born_ms,
        sequence=2 if leaving else 1,
        service='shop',
        zone='zone-1',
        ip=ip,
        inbound_port=1,
        slots=9,
        state=AnnouncedState.LEAVING if leaving else AnnouncedState.READY,
    )


class MembersMachine(RuleBasedStateMachine):
    """Entries are written, removed and listed in any order.

    Guards against a member without a stored entry for longer than the delay,
    a stored ready server that is none, and a server that leaves and is one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.members = FleetMembers()
        self.now_s = 0.0
        self.stored: dict[str, ServerEntry] = {}
        self.last: dict[str, ServerEntry] = {}
        self.removed_s: dict[str, float] = {}

    @rule(ip=IPS, restarted=st.booleans(), leaving=st.booleans())
    def store_writes(self, ip: str, restarted: bool, leaving: bool) -> None:
        last = self.last.get(ip)
        born_ms = last.born_ms + restarted if last else 1
        if last is not None and last.is_leaving:
            born_ms = last.born_ms + 1
        written = entry(ip, born_ms, leaving=leaving)
        self.stored[ip] = written
        self.last[ip] = written
        self.removed_s.pop(ip, None)
        self.members.apply_stored(written)

    @rule(ip=IPS)
    def store_removes(self, ip: str) -> None:
        if self.stored.pop(ip, None) is not None:
            self.removed_s[ip] = self.now_s
        self.members.apply_removed(ip, self.now_s)

    @rule()
    def store_lists(self) -> None:
        self.members.apply_listing(self.stored.values(), self.now_s)

    @rule(span_s=st.floats(0.1, 4))
    def time_passes(self, span_s: float) -> None:
        self.now_s += span_s
        self.members.expire(self.now_s)
        for ip, removed_s in tuple(self.removed_s.items()):
            if self.now_s - removed_s >= REMOVAL_DELAY_S:
                self.removed_s.pop(ip)

    @invariant()
    def members_are_ready_and_stored_or_just_removed(self) -> None:
        expected = {
            Member(ip, 'zone-1')
            for ip in (*self.stored, *self.removed_s)
            if not self.last[ip].is_leaving
        }
        assert self.members.members() == expected


MembersMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150
)
TestMembersMachine = MembersMachine.TestCase


def test_restored_entry_does_not_bring_back_a_server_that_left() -> None:
    """Guards against an owner of shared state that has left.

    The restored store has the entry of before for a while.
    """
    members = FleetMembers()
    members.apply_stored(entry('10.0.0.1', leaving=True))
    members.apply_listing([entry('10.0.0.1')], 1)
    assert not members.members()
    members.apply_stored(entry('10.0.0.1', born_ms=2))
    assert members.members()


def test_members_wait_for_the_own_entry() -> None:
    """Guards against an owner that grants although its predecessor may.

    It is published once, and does not change afterwards.
    """
    publication = MemberPublication()
    members = frozenset((Member('10.0.0.1', 'zone-1'),))
    assert publication.take_changed(members, wait=True) is None
    publication.record_own(SINCE_S)
    changed = publication.take_changed(members, wait=True)
    assert changed == MembersChanged(members, SINCE_S)
    assert publication.take_changed(members, wait=True) is None


def test_own_entry_that_is_read_late_is_not_believed() -> None:
    """Guards against a process that finds the entry that it wrote itself."""
    publication = MemberPublication()
    assert publication.take_changed(frozenset(), wait=False) is not None
    publication.record_own(SINCE_S)
    changed = publication.take_changed(
        frozenset((Member('10.0.0.1', 'zone-1'),)), wait=False
    )
    assert changed is not None
    assert changed.own_since_s is None


def subscribe(mesh: Mesh, number: int) -> 'asyncio.Queue[Envelope]':
    messages: asyncio.Queue[Envelope] = asyncio.Queue()
    mesh.hosts[number].kernel.context.bus.subscribe(MembersChanged, messages)
    return messages


def test_lapsed_entries_change_no_members() -> None:
    """Guards against shares that move when leases lapse in an outage."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 3) as mesh:
            await mesh.wait_until(
                lambda: all(mesh.stored_servers(host) == 3 for host in range(3))
            )
            await asyncio.sleep(0.2)
            messages = subscribe(mesh, 1)
            await mesh.store.expire_leases()
            await mesh.wait_until(
                lambda: all(mesh.stored_servers(host) == 3 for host in range(3))
            )
            await asyncio.sleep(REMOVAL_DELAY_S)
            assert messages.empty()

    asyncio.run(run_scenario())


def test_server_that_leaves_is_no_member_at_once() -> None:
    """Guards against an owner that is asked after its server has left."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * 3) as mesh:
            await mesh.wait_until(
                lambda: all(mesh.stored_servers(host) == 3 for host in range(3))
            )
            await asyncio.sleep(0.2)
            messages = subscribe(mesh, 1)
            await mesh.announce(0, state='draining', seq=2)
            async with asyncio.timeout(1.5):
                envelope = await messages.get()
            ips = {member.ip for member in envelope.message.members}
            assert mesh.hosts[0].settings.ip not in ips
            assert len(ips) == 2

    asyncio.run(run_scenario())
