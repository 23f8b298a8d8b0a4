"""What a new process takes for certain of what was acknowledged before it."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.decisions.leaving_records import (
    RETENTION_S,
    choose_witnesses,
)
from bergamotshunt.decisions.past_knowledge import (
    PastKnowledge,
    RecentDaemons,
    WitnessAnswer,
    confirmations_needed,
    judge_past,
    list_witnesses,
    remembers_all,
)
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.mesh_messages import ServerFoundRunning, StoredServerRead
from bergamotshunt.peers import leaving_records
from bergamotshunt.peers.leaving_records import WitnessError
from bergamotshunt.platform.announcements import decode_entry, entry_key
from bergamotshunt.store import leaving_witnesses
from bergamotshunt.store.leaving_witnesses import LeavingWitnesses
from bergamotshunt.tests.mesh import Mesh, send_request
from bergamotshunt.tests.test_mesh_leaving_witnesses import (
    BORN_MS,
    HOSTS,
    LEAVER,
    LEAVING,
    assert_unused,
    deregister,
    leave,
)
from standins.mesh_server import respond_with_echo

WAIT_S = 15.0
# Time in which the response to a health check arrives.
CHECK_WAIT_S = 0.5
# Time for which the other daemons do not write their entries again.
WRITE_DELAY_S = 1.0
OWN_IP = LEAVING.ip
PEERS = tuple(FeedPeer(f'127.0.1.{n}', 80, 'zone-1') for n in range(1, 9))


# Decisions


def test_silence_of_an_empty_fleet_is_not_certain() -> None:
    """Guards against certainty because nobody was there to be asked."""
    assert judge_past((), ()) is PastKnowledge.UNOPPOSED
    failed = [WitnessAnswer(peer, failure='no answer') for peer in PEERS[:3]]
    assert judge_past(PEERS[:3], failed) is PastKnowledge.UNKNOWN


def test_daemons_that_were_not_there_do_not_make_certain() -> None:
    """Guards against certainty when the witnesses have restarted as well."""
    young = [WitnessAnswer(peer) for peer in PEERS[:3]]
    assert judge_past(PEERS[:3], young) is PastKnowledge.UNOPPOSED
    lasting = [answer._replace(remembers_all=True) for answer in young]
    assert judge_past(PEERS[:3], lasting[:2]) is PastKnowledge.CERTAIN
    assert judge_past(PEERS[:3], lasting[:1]) is PastKnowledge.UNKNOWN
    # They were there, but nobody has told them.
    assert judge_past(PEERS[3:6], lasting) is PastKnowledge.UNOPPOSED


def test_daemon_remembers_all_once_older_records_have_expired() -> None:
    """Guards against a new daemon whose silence counts for the time before."""
    assert remembers_all(5, 5, is_first_start=True)
    assert not remembers_all(5, 4 + RETENTION_S, is_first_start=False)
    assert remembers_all(5, 5 + RETENTION_S, is_first_start=False)


def test_daemons_that_are_gone_are_named_as_long_as_records_last() -> None:
    """Guards against witnesses that are forgotten when their leases lapse."""
    recent = RecentDaemons()
    recent.update(PEERS[:3], 0)
    recent.update(PEERS[:1], 10)
    recent.update(PEERS[1:2], 20)
    assert recent.list_known(9 + RETENTION_S) == set(PEERS[:3])
    assert recent.list_known(10 + RETENTION_S) == set(PEERS[:2])
    assert recent.list_known(20 + RETENTION_S) == set(PEERS[1:2])


class Fleet(NamedTuple):
    """A fleet at the start of the next process of a host.

    Attributes:
        size: Number of other daemons.
        silent: Daemons that do not answer.
        restarted: Those that have restarted since the server left.
        known: Daemons that the new process knows.
        known_to_restarted: Daemons that the restarted ones know.
        unrecorded: Witnesses, by their rank, that did not get the record,
            though not so many that too few were left.
    """

    size: int
    silent: frozenset[int]
    restarted: frozenset[int]
    known: frozenset[int]
    known_to_restarted: frozenset[int]
    unrecorded: int

    def peers(self, numbers: frozenset[int]) -> tuple[FeedPeer, ...]:
        return tuple(
            peer
            for number, peer in enumerate(PEERS[: self.size])
            if number in numbers
        )

    def recorders(self) -> set[FeedPeer]:
        """Return the witnesses that have recorded that the server leaves."""
        witnesses = choose_witnesses(OWN_IP, PEERS[: self.size])
        missing = min(
            self.unrecorded, len(witnesses) - confirmations_needed(witnesses)
        )
        return set(witnesses[missing:])

    def answer(self, peer: FeedPeer) -> WitnessAnswer:
        number = PEERS.index(peer)
        if number in self.silent or number >= self.size:
            raise WitnessError('no answer')
        if number in self.restarted:
            known = self.peers(self.known_to_restarted)
            return WitnessAnswer(
                peer, witnesses=choose_witnesses(OWN_IP, known)
            )
        return WitnessAnswer(
            peer,
            entry=LEAVING if peer in self.recorders() else None,
            remembers_all=True,
            witnesses=choose_witnesses(OWN_IP, PEERS[: self.size]),
        )


NUMBERS = st.frozensets(st.integers(0, len(PEERS) - 1))


@given(
    st.builds(
        Fleet,
        size=st.integers(0, len(PEERS)),
        silent=NUMBERS,
        restarted=NUMBERS,
        known=NUMBERS,
        known_to_restarted=NUMBERS,
        unrecorded=st.integers(0, 2),
    )
)
@settings(derandomize=True, deadline=None, max_examples=2000)
def test_recorded_leaving_is_found_or_nothing_is_certain(fleet: Fleet) -> None:
    """Guards against certainty while some witness remembers a leaving server.

    The new process may know a part of the fleet only, and others may have
    restarted or not answer.
    """

    async def fetch(peer: FeedPeer, _ip: str) -> WitnessAnswer:
        return fleet.answer(peer)

    async def write(_entry: object) -> bool:
        return False

    async def run_scenario() -> None:
        witnesses = LeavingWitnesses(OWN_IP, write, asyncio.create_task)
        newest = await witnesses.find_newest(None, fleet.peers(fleet.known))
        if newest.past is PastKnowledge.CERTAIN:
            assert newest.entry == LEAVING

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(leaving_witnesses, 'fetch_record', fetch)
        asyncio.run(run_scenario())


def test_witnesses_named_by_others_are_asked() -> None:
    """Guards against other witnesses because the store lacks most entries."""
    right = choose_witnesses(OWN_IP, PEERS)
    other = next(peer for peer in PEERS if peer not in right)
    answer = WitnessAnswer(other, remembers_all=True, witnesses=right)
    assert list_witnesses(OWN_IP, [other], [answer]) == right


# Daemons


def delay_writes(mesh: Mesh) -> None:
    """Let the other daemons write their entries again some time later."""
    for number in range(HOSTS):
        if number != LEAVER:
            keeper = mesh.fleet(number)._keeper
            keeper._due_s = keeper._clock() + WRITE_DELAY_S


@pytest.mark.parametrize('end', [deregister, leave])
def test_leaving_outlasts_an_outage_in_which_all_entries_lapse(
    end: Callable[[Mesh], Coroutine[Any, Any, None]],
) -> None:
    """Guards against a new process that knows no witness and is certain.

    It starts when the store is back and no other daemon has written its entry
    again. A late heartbeat arrives.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.unavailable = True
            await end(mesh)
            mesh.hosts[LEAVER].server.healthy = False
            await mesh.hosts[LEAVER].kernel.stop()
            await mesh.store.expire_leases()
            delay_writes(mesh)
            mesh.store.unavailable = False
            messages = await mesh.start_again(LEAVER, StoredServerRead)
            read = (await messages.get()).message
            assert read.entry is None
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            assert not mesh.is_serving(LEAVER)
            async with asyncio.timeout(WAIT_S):
                while read.entry is None:
                    read = (await messages.get()).message
            assert read.entry.is_leaving
            await mesh.wait_until(lambda: mesh.stored_servers(LEAVER) == HOSTS)
            await assert_unused(mesh)

    asyncio.run(run_scenario())


async def restart_all(mesh: Mesh) -> None:
    for number in range(HOSTS):
        await mesh.hosts[number].kernel.stop()
    for number in range(HOSTS):
        await mesh.restart(number)


def test_late_heartbeat_is_held_after_a_restart_of_all_daemons() -> None:
    """Guards against witnesses that have restarted and know nothing."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            mesh.store.unavailable = True
            await deregister(mesh)
            mesh.hosts[LEAVER].server.healthy = False
            mesh.store.unavailable = False
            await restart_all(mesh)
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            for number in range(1, HOSTS):
                await mesh.announce(number, seq=8)
            await mesh.wait_until(
                lambda: all(map(mesh.is_serving, range(1, HOSTS)))
            )
            await assert_unused(mesh)

    asyncio.run(run_scenario())


def test_running_servers_are_used_after_one_heartbeat_in_an_empty_store() -> (
    None
):
    """Guards against a slow recovery when all daemons have lost power.

    Nobody can tell of the past, and the servers tell that they run.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            for host in mesh.hosts:
                await host.kernel.stop()
            await mesh.store.expire_leases()
            for number in range(HOSTS):
                await mesh.restart(number)
            for number in range(HOSTS):
                assert await mesh.announce(number, seq=8) == 200
            await mesh.wait_until(
                lambda: all(map(mesh.is_serving, range(HOSTS)))
            )

    asyncio.run(run_scenario())


def test_deregistration_counts_while_the_health_of_a_held_server_is_checked() -> (
    None
):
    """Guards against a check that was answered before the server left.

    Nobody is there to ask, so that the server itself has to tell that it runs;
    it deregisters while its response is on its way.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo] * HOSTS) as mesh:
            for host in mesh.hosts:
                await host.kernel.stop()
            await mesh.store.expire_leases()
            server = mesh.hosts[LEAVER].server
            server.may_respond_to_probes.clear()
            probes = server.probes
            messages = await mesh.start_again(LEAVER, ServerFoundRunning)
            assert await mesh.announce(LEAVER, seq=8, born=BORN_MS) == 200
            await mesh.wait_until(lambda: server.probes > probes)
            await deregister(mesh)
            server.may_respond_to_probes.set()
            # The response arrives, or is no longer of interest.
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_WAIT_S):
                    await messages.get()
            assert await mesh.announce(LEAVER, seq=9, born=BORN_MS) == 200
            assert not mesh.is_serving(LEAVER)
            # The store has it for the next process.
            key = entry_key(mesh.hosts[LEAVER].settings.ip)
            await mesh.wait_until(lambda: bool(mesh.store.read_values(key)))
            (content,) = mesh.store.read_values(key).values()
            assert decode_entry(content).is_leaving

    asyncio.run(run_scenario())


def test_unusable_witnesses_of_a_peer_count_as_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a new process that malformed names stop."""

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo]) as mesh:
            inbound = mesh.hosts[0].settings.inbound
            peer = FeedPeer(inbound.ip, inbound.port, 'zone-1')
            answer = await leaving_records.fetch_record(peer, OWN_IP)
            assert answer.remembers_all
            assert answer.witnesses == (peer,)
            for content in (b'[["no address",80,"z"]]', b'{', b'[[1]]'):
                monkeypatch.setattr(
                    leaving_records, 'encode', lambda _names: content
                )
                with pytest.raises(WitnessError):
                    await leaving_records.fetch_record(peer, OWN_IP)
            path = f'{leaving_records.LEAVING_PATH.decode()}?ip={OWN_IP}'
            assert (await send_request(inbound, b'GET', path)).status == 204

    asyncio.run(run_scenario())
