"""Model check of the ack of a leaving server, without a network."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bergamotshunt.backend.own_server import OwnServer
from bergamotshunt.backend.slot_queue import RefusedError
from bergamotshunt.decisions.announcing import Announcements
from bergamotshunt.peers.peer_calls import PeerCall
from bergamotshunt.routing import ServerEntry, ServerState

# One host runs one server at a time, so no two begin at the same moment.
LIFETIMES = st.sampled_from(
    [('i-a', 1), ('i-b', 2), ('i-a', 3), ('i-b', 4), ('i-c', 5)],
)


def announcement(
    instance: str,
    born_ms: int,
    sequence: int,
    state: ServerState,
) -> ServerEntry:
    return ServerEntry(
        instance, born_ms, sequence, 's', 'z', '10.0.0.1', 1, 9, state
    )


class DrainMachine(RuleBasedStateMachine):
    """Announcements of a server arrive late, again and in any order.

    Guards against a request for a lifetime whose leaving or end was
    acknowledged, and against a lifetime that gives way to an earlier one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.announcements = Announcements()
        self.server = OwnServer(lambda: 1000.0, lambda: None)
        self.sequences: dict[tuple[str, int], int] = {}
        self.sent: list[ServerEntry] = []
        self.left: set[tuple[str, int]] = set()
        self.newest_ms = 0

    def deliver(self, entry: ServerEntry) -> None:
        if self.announcements.note(entry):
            self.server.apply_announcement(entry)
            self.newest_ms = max(self.newest_ms, entry.born_ms)
        if entry.state is ServerState.LEAVING:
            self.left.add((entry.instance, entry.born_ms))

    @rule(lifetime=LIFETIMES)
    def send(self, lifetime: tuple[str, int]) -> None:
        """A running server reports; the report may be delivered later."""
        if lifetime in self.left:
            return
        self.sequences[lifetime] = self.sequences.get(lifetime, 0) + 1
        sequence = self.sequences[lifetime]
        self.sent.append(announcement(*lifetime, sequence, ServerState.READY))

    @rule(place=st.integers(0, 1000))
    def deliver_ready(self, place: int) -> None:
        if self.sent:
            self.deliver(self.sent[place % len(self.sent)])

    @rule(lifetime=LIFETIMES)
    def leave(self, lifetime: tuple[str, int]) -> None:
        sequence = self.sequences.get(lifetime, 0) + 1
        self.sequences[lifetime] = sequence
        self.deliver(announcement(*lifetime, sequence, ServerState.LEAVING))

    @rule()
    def end(self) -> None:
        known = self.announcements.known
        if known is None:
            return
        assert self.announcements.note_end(known.instance)
        ended = self.announcements.known
        assert ended is not None
        self.server.apply_announcement(ended)
        self.left.add((known.instance, known.born_ms))

    @invariant()
    def no_request_for_what_has_left(self) -> None:
        entry = self.server.entry
        if entry is None:
            return
        assert entry.born_ms == self.newest_ms
        call = PeerCall('r', entry.instance, 'c', 1000, 500, 1)
        try:
            self.server.check_acceptance(call)
        except RefusedError:
            return
        assert (entry.instance, entry.born_ms) not in self.left


DrainMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)
TestDrainMachine = DrainMachine.TestCase


def test_late_announcement_does_not_undo_an_end() -> None:
    """Pattern: a server that ends without notice, and a slow heartbeat."""
    announcements = Announcements()
    assert announcements.note(announcement('i', 5, 1, ServerState.READY))
    assert announcements.note_end('i')
    assert not announcements.note(announcement('i', 5, 2, ServerState.READY))
    known = announcements.known
    assert known is not None
    assert known.state is ServerState.LEAVING
    assert announcements.note(announcement('i', 6, 1, ServerState.READY))
