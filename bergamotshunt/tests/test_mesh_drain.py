"""State machine test of leaving and deregistered servers, without network."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshunt.backend.own_server import OwnServer
from bergamotshunt.backend.slot_queue import RefusedError
from bergamotshunt.decisions.announcements import LatestAnnouncement
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.routing import AnnouncedState, ServerEntry

# A host runs one server at a time, so no two start at the same moment.
INCARNATIONS = st.sampled_from(
    [('i-a', 1), ('i-b', 2), ('i-a', 3), ('i-b', 4), ('i-c', 5)],
)


def announcement(
    instance: str,
    born_ms: int,
    sequence: int,
    state: AnnouncedState,
) -> ServerEntry:
    return ServerEntry(
        instance, born_ms, sequence, 's', 'z', '10.0.0.1', 1, 9, state
    )


class DrainMachine(RuleBasedStateMachine):
    """Delivers announcements of servers late, repeatedly and in any order.

    Guards against requests for an incarnation whose leaving announcement or
    deregistration was acknowledged, and against an incarnation that is
    replaced by an earlier one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.announcements = LatestAnnouncement()
        self.server = OwnServer(lambda: 1000.0, lambda: None)
        self.sequences: dict[tuple[str, int], int] = {}
        self.sent: list[ServerEntry] = []
        self.leaving: set[tuple[str, int]] = set()
        self.newest_ms = 0

    def deliver(self, entry: ServerEntry) -> None:
        if self.announcements.record(entry, 0):
            latest = self.announcements.latest
            assert latest is not None
            self.server.apply_announcement(latest)
            self.newest_ms = max(self.newest_ms, latest.born_ms)
        if entry.state is AnnouncedState.LEAVING:
            self.leaving.add((entry.instance, entry.born_ms))

    @rule(incarnation=INCARNATIONS)
    def send(self, incarnation: tuple[str, int]) -> None:
        """Create an announcement, which may be delivered later."""
        if incarnation in self.leaving:
            return
        self.sequences[incarnation] = self.sequences.get(incarnation, 0) + 1
        sequence = self.sequences[incarnation]
        self.sent.append(
            announcement(*incarnation, sequence, AnnouncedState.READY)
        )

    @rule(index=st.integers(0, 1000))
    def deliver_ready(self, index: int) -> None:
        if self.sent:
            self.deliver(self.sent[index % len(self.sent)])

    @rule(incarnation=INCARNATIONS)
    def deliver_leaving(self, incarnation: tuple[str, int]) -> None:
        sequence = self.sequences.get(incarnation, 0) + 1
        self.sequences[incarnation] = sequence
        self.deliver(
            announcement(*incarnation, sequence, AnnouncedState.LEAVING)
        )

    @rule()
    def deregister(self) -> None:
        known = self.announcements.latest
        if known is None:
            return
        assert self.announcements.record_deregistration(known.instance)
        deregistered = self.announcements.latest
        assert deregistered is not None
        self.server.apply_announcement(deregistered)
        self.leaving.add((known.instance, known.born_ms))

    @invariant()
    def no_request_for_leaving_incarnations(self) -> None:
        entry = self.server.entry
        if entry is None:
            return
        assert entry.born_ms == self.newest_ms
        call = PeerCall('r', entry.instance, 'c', 1000, 500, 1)
        try:
            self.server.check_acceptance(call)
        except RefusedError:
            return
        assert (entry.instance, entry.born_ms) not in self.leaving


DrainMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
TestDrainMachine = DrainMachine.TestCase


def test_late_announcement_does_not_undo_deregistration() -> None:
    """Guards against a late heartbeat that revives a deregistered server.

    This happens when a server is deregistered without announcing that it is
    leaving, while one of its heartbeats is delayed.
    """
    announcements = LatestAnnouncement()
    assert announcements.record(
        announcement('i', 5, 1, AnnouncedState.READY), 0
    )
    assert announcements.record_deregistration('i')
    assert not announcements.record(
        announcement('i', 5, 2, AnnouncedState.READY), 0
    )
    known = announcements.latest
    assert known is not None
    assert known.state is AnnouncedState.DEREGISTERED
    assert known.is_leaving
    assert announcements.record(
        announcement('i', 6, 1, AnnouncedState.READY), 0
    )


def test_deregistration_of_a_stored_server_is_recorded() -> None:
    """Guards against a deregistration that a new process does not record.

    The process has heard nothing of the server, which deregisters before its
    next heartbeat. A heartbeat from before arrives late.
    """
    announcements = LatestAnnouncement()
    stored = announcement('i', 5, 1, AnnouncedState.READY)
    assert not announcements.restore(stored, 0)
    assert announcements.record_deregistration('i')
    assert not announcements.record(
        announcement('i', 5, 2, AnnouncedState.READY), 0
    )
    assert announcements.record(
        announcement('i', 6, 1, AnnouncedState.READY), 0
    )
