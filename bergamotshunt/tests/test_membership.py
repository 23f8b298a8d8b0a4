"""SWIM membership on a simulated network.

Guards failure detection, refutation of suspicions, and the merge of member
tables after a partition.
"""

from random import Random

from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from hypothesis.strategies import floats, integers

from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.membership_updates import apply_event, apply_record
from bergamotshunt.decisions.suspicion import (
    SuspicionRules,
    suspicion_timeout_ms,
)
from bergamotshunt.decisions.table_sync import (
    apply_sync_reply,
    create_sync_reply,
    create_sync_request,
)
from bergamotshunt.peers.gossip_codec import encoded_size
from bergamotshunt.peers.members import (
    Member,
    MemberEvent,
    MemberStatus,
    ServerState,
    create_event,
)
from bergamotshunt.tests.simulated_fleet import (
    RULES,
    SimulatedFleet,
    SimulatedNode,
)

FLEET_SIZE = 5


def member(name: str, incarnation: int, **fields: object) -> Member:
    return Member(
        name,
        incarnation,
        '10.0.0.1',
        1,
        2,
        'r',
        'z',
        's',
        process_id=1,
        **fields,  # type: ignore[arg-type]
    )


def membership() -> Membership:
    members = Membership(member('own', 10), RULES, encoded_size)
    members.has_synced = True
    return members


class FleetMachine(RuleBasedStateMachine):
    """Loss, reordering, partitions, pauses and restarts in any order.

    Guards against incarnations that go back, and against daemons that do not
    agree on the members once all faults are over.
    """

    @initialize(seed=integers(0, 2**16), loss_probability=floats(0, 0.3))
    def start(self, seed: int, loss_probability: float) -> None:
        self.fleet = SimulatedFleet(seed, loss_probability)
        self.fleet.add_nodes(FLEET_SIZE)
        # Last incarnation of each member in each table, by the port of the
        # daemon that holds the table and the name of the member.
        self.incarnations: dict[tuple[int, str], int] = {}

    def node_at(self, number: int) -> SimulatedNode:
        return self.fleet.nodes[number % len(self.fleet.nodes)]

    @rule(seconds=integers(1, 20))
    def run_some_time(self, seconds: int) -> None:
        self.fleet.run(seconds * 1000)

    @rule(delay_ms=floats(1, 600))
    def change_delay(self, delay_ms: float) -> None:
        self.fleet.max_delay_ms = delay_ms

    @rule(bits=integers(1, 2**FLEET_SIZE - 2))
    def partition(self, bits: int) -> None:
        self.fleet.partition(
            {f'd{number}' for number in range(FLEET_SIZE) if bits >> number & 1}
        )

    @rule(number=integers(0, FLEET_SIZE - 1))
    def pause(self, number: int) -> None:
        self.node_at(number).is_paused = True

    @rule(number=integers(0, FLEET_SIZE - 1))
    def resume(self, number: int) -> None:
        resume(self.fleet, self.node_at(number))

    @rule(number=integers(0, FLEET_SIZE - 1), clock_ms=integers(-60_000, 0))
    def restart(self, number: int, clock_ms: int) -> None:
        old = self.node_at(number)
        self.fleet.kill(old)
        peers = [node for node in self.fleet.nodes if not node.is_paused]
        process_id = 1_000_000 + int(self.fleet.now_ms) + clock_ms
        sync_peer = peers[0] if peers else None
        self.fleet.add_node(old.name, sync_peer, process_id, old.endpoint[1])
        self.incarnations = {
            key: incarnation
            for key, incarnation in self.incarnations.items()
            if key[0] != old.endpoint[1]
        }

    @rule(number=integers(0, FLEET_SIZE - 1))
    def drain(self, number: int) -> None:
        node = self.node_at(number)
        if not node.is_paused:
            node.members.announce(
                self.fleet.now_ms, server_state=ServerState.DRAINING
            )

    @invariant()
    def incarnations_never_fall(self) -> None:
        for node in self.fleet.nodes if hasattr(self, 'fleet') else ():
            for name, record in node.members.table.by_id.items():
                key = (node.endpoint[1], name)
                assert record.incarnation >= self.incarnations.get(key, 0)
                self.incarnations[key] = record.incarnation

    def teardown(self) -> None:
        if not hasattr(self, 'fleet'):
            return
        fleet = self.fleet
        fleet.blocked_links = set()
        fleet.loss_probability = 0
        fleet.max_delay_ms = 20
        for node in fleet.nodes:
            resume(fleet, node)
        fleet.run_until_converged(600_000)
        for node in fleet.nodes:
            assert node.members.replaced_by is None


def members_known_to(node: SimulatedNode) -> dict[str, Member]:
    return node.members.table.by_id


def resume(fleet: SimulatedFleet, node: SimulatedNode) -> None:
    if not node.is_paused:
        return
    node.is_paused = False
    # A resumed process may run its timers before it reads its socket; this
    # is the harder case, as acks that wait there are not seen by the timers.
    fleet.send(node, node.swim.tick(fleet.now_ms))
    queued, node.inbox = node.inbox, []
    for content, source in queued:
        fleet.deliver(node, content, source)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=120, stateful_step_count=15, derandomize=True, deadline=None
)


def test_higher_incarnation_is_kept() -> None:
    """Guards against an older event that arrives late and is applied."""
    members = membership()
    apply_event(members, create_event(member('a', 5)), 0)
    for older_event in (
        create_event(member('a', 4, status=MemberStatus.LEFT)),
        MemberEvent('a', 4, MemberStatus.DEAD, 'b'),
        MemberEvent('a', 4, MemberStatus.SUSPECT, 'b'),
    ):
        apply_event(members, older_event, 0)
    assert members.table.by_id['a'] == member('a', 5)


def test_suspected_daemon_refutes() -> None:
    """Guards against a running daemon that stays suspected or dead.

    It must announce a higher incarnation when it receives such an event.
    """
    members = membership()
    suspicion = MemberEvent('own', 10, MemberStatus.DEAD, 'b')
    apply_event(members, suspicion, 0)
    assert members.own_record.incarnation == 11
    assert members.event_queue.by_id['own'].update.incarnation == 11
    assert members.degradation_score == 1


def test_dead_record_in_a_table_sync_only_triggers_a_probe() -> None:
    """Guards against false deaths after a partition has healed.

    The other side's table still lists this side's members as dead; a record
    from a table sync must not overrule this side's own probes.
    """
    members = membership()
    apply_event(members, create_event(member('a', 5)), 0)
    apply_record(members, member('a', 5, status=MemberStatus.DEAD), 0)
    assert members.table.by_id['a'].status is MemberStatus.ALIVE
    assert list(members.priority_probes) == ['a']


def test_restart_with_an_older_clock_takes_over() -> None:
    """Guards against a restarted daemon that its old record outranks.

    With a clock that was set back, the new process starts with a lower
    incarnation than the record of the old one.
    """
    fleet = SimulatedFleet(1)
    fleet.add_nodes(3)
    old = fleet.nodes[2]
    fleet.kill(old)
    restarted = fleet.add_node('d2', fleet.nodes[0], process_id=5)
    assert restarted.members.replaced_by is None
    assert (
        restarted.members.own_record.incarnation
        > old.members.own_record.incarnation
    )
    fleet.run_until_converged(30_000)
    assert restarted.members.replaced_by is None


def test_resumed_process_learns_that_it_was_replaced() -> None:
    """Guards against a frozen process that serves beside its replacement.

    When it resumes, it must learn that a later process holds its daemon id,
    and take the id back only after that process is gone.
    """
    fleet = SimulatedFleet(2)
    fleet.add_nodes(3)
    fleet.run(5000)
    frozen = fleet.nodes[2]
    frozen.is_paused = True
    fleet.run(20_000)
    successor = fleet.add_node('d2', fleet.nodes[0])
    fleet.run(5000)
    resume(fleet, frozen)
    fleet.run(5000)
    replaced_by = frozen.members.replaced_by
    assert replaced_by is not None
    assert replaced_by.process_id == successor.members.own_record.process_id
    running_nodes = (fleet.nodes[0], fleet.nodes[1], successor)
    for node in running_nodes:
        record = members_known_to(node)['d2']
        assert record.process_id == successor.members.own_record.process_id
    assert any('d2' in node.swim.id_conflicts_by_id for node in running_nodes)
    fleet.kill(successor)
    fleet.run_until_converged(120_000)
    assert frozen.members.replaced_by is None


def test_paused_daemon_suspects_nobody() -> None:
    """Guards against false suspicions after a pause of this process.

    Acks that arrived during the pause are unread when its timers run.
    """
    fleet = SimulatedFleet(3)
    fleet.add_nodes(6)
    fleet.run(5000)
    node = fleet.nodes[0]
    node.is_paused = True
    while not node.swim.probes_by_sequence:
        node.is_paused = False
        fleet.step()
        node.is_paused = True
    node.inbox.clear()
    fleet.now_ms += 30_000
    for peer in fleet.nodes[1:]:
        peer.swim.last_tick_ms = fleet.now_ms
    node.is_paused = False
    fleet.send(node, node.swim.tick(fleet.now_ms))
    assert not node.members.suspicions
    assert node.members.degradation_score > 0


def test_late_ticks_extend_the_probe_deadline() -> None:
    """Guards against false suspicions by a daemon whose timers run late."""
    fleet = SimulatedFleet(4)
    fleet.add_nodes(2)
    node = fleet.nodes[0]
    now_ms = 0.0
    while not node.swim.probes_by_sequence:
        now_ms += 100
        node.swim.tick(now_ms)
    (before,) = node.swim.probes_by_sequence.values()
    node.swim.tick(now_ms + 350)
    (after,) = node.swim.probes_by_sequence.values()
    assert after.deadline_ms == before.deadline_ms + 250


def test_failed_member_is_detected_and_others_are_not_suspected() -> None:
    """Guards against missed failures, and false suspicions by packet loss."""
    fleet = SimulatedFleet(5, loss_probability=0.05)
    fleet.add_nodes(12)
    fleet.run(5000)
    fleet.kill(fleet.nodes[7])
    fleet.run_until_converged(40_000)
    assert fleet.nodes[0].status_of('d7') is MemberStatus.DEAD


def test_healed_partition_merges() -> None:
    """Guards against two sides that stay dead to each other.

    After a long partition each side has marked the other dead; probes of
    dead members must merge them.
    """
    fleet = SimulatedFleet(6)
    fleet.configured_peer = ''
    fleet.add_nodes(10)
    fleet.run(5000)
    fleet.partition({'d0', 'd1', 'd2', 'd3'})
    fleet.run(180_000)
    assert fleet.nodes[0].status_of('d9') is MemberStatus.DEAD
    assert fleet.nodes[9].status_of('d0') is MemberStatus.DEAD
    assert fleet.nodes[0].status_of('d1') is MemberStatus.ALIVE
    fleet.blocked_links = set()
    fleet.run_until_converged(60_000)


def test_drain_is_sent_without_waiting_for_a_gossip_round() -> None:
    """Guards against new work for a draining server until the next round."""
    fleet = SimulatedFleet(7)
    fleet.add_nodes(9)
    fleet.run(5000)
    node = fleet.nodes[4]
    node.members.announce(fleet.now_ms, server_state=ServerState.DRAINING)
    fleet.send(node, node.swim.composer.compose_urgent_gossip(fleet.now_ms))
    fleet.run(100)
    states = [members_known_to(peer)['d4'].server_state for peer in fleet.nodes]
    assert states == [ServerState.DRAINING] * 9


def test_member_that_left_is_not_suspected() -> None:
    """Guards against a graceful leave that is taken for a failure."""
    fleet = SimulatedFleet(8)
    fleet.add_nodes(5)
    fleet.run(3000)
    node = fleet.nodes[4]
    node.members.leave(fleet.now_ms)
    fleet.send(node, node.swim.composer.compose_urgent_gossip(fleet.now_ms))
    fleet.kill(node)
    fleet.run(60_000)
    for peer in fleet.nodes:
        assert peer.status_of('d4') is MemberStatus.LEFT
    fleet.run(RULES.left_kept_ms + 10_000)
    assert 'd4' not in members_known_to(fleet.nodes[0])


def test_suspicion_timeout_depends_on_fleet_size_and_reporters() -> None:
    """Guards against a timeout that is too short for a refutation."""
    small = SuspicionRules(4, 1000, 10)
    large = SuspicionRules(4, 1000, 7200)
    assert suspicion_timeout_ms(large, 1) > suspicion_timeout_ms(small, 1)
    timeouts_ms = [
        suspicion_timeout_ms(large, reporters) for reporters in (1, 2, 3, 4, 5)
    ]
    assert timeouts_ms == sorted(timeouts_ms, reverse=True)
    assert (
        timeouts_ms[3] == timeouts_ms[4] == suspicion_timeout_ms(large, 1) / 3
    )
    assert suspicion_timeout_ms(SuspicionRules(4, 1000, 2), 1) == 4000


def test_eras_spread_without_a_new_incarnation() -> None:
    """Guards against peers that issue tickets with an expired era.

    A newer era must reach all members, although it does not raise the
    incarnation of its daemon.
    """
    fleet = SimulatedFleet(9)
    fleet.add_nodes(6)
    fleet.run(3000)
    incarnation = fleet.nodes[0].members.own_record.incarnation
    fleet.nodes[0].members.announce_era(3)
    fleet.run(10_000)
    for node in fleet.nodes:
        record = members_known_to(node)['d0']
        assert (record.era, record.incarnation) == (3, incarnation)


def test_update_is_sent_a_bounded_number_of_times() -> None:
    """Guards against updates that circulate forever."""
    members = membership()
    apply_event(members, create_event(member('a', 5)), 0)
    rounds = 0
    while members.event_queue.by_id:
        members.event_queue.take(900, 100)
        rounds += 1
    assert rounds == members.event_queue.max_transmissions(100) == 12


def test_tables_converge_for_any_order_of_arrival() -> None:
    """Guards against member tables that depend on the order of events."""
    rng = Random(10)
    events = [
        create_event(member('a', rng.randint(1, 4), status=status))
        for status in (MemberStatus.ALIVE, MemberStatus.LEFT)
        for _ in range(6)
    ]
    final_records = set()
    for _ in range(20):
        rng.shuffle(events)
        members = membership()
        apply_event(members, create_event(member('a', 1)), 0)
        for event in events:
            apply_event(members, event, 0)
        final_records.add(members.table.by_id['a'])
    assert len(final_records) == 1


def test_joining_daemon_gossips_only_its_own_record() -> None:
    """Guards against a join that gossips the whole received table again."""
    fleet = SimulatedFleet(12)
    fleet.add_nodes(8)
    fleet.run(20_000)
    joining = SimulatedNode('d8', 2000, 1_020_000, fleet.rng, fleet.now_ms)
    joining.members.announce(fleet.now_ms)
    request = create_sync_request(joining.members)
    reply = create_sync_reply(fleet.nodes[0].members, request, fleet.now_ms)
    apply_sync_reply(joining.members, reply, fleet.now_ms, is_joining=True)
    assert len(members_known_to(joining)) == 9
    assert set(joining.members.event_queue.by_id) == {'d8'}
