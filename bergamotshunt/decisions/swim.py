"""SWIM failure detector: direct and indirect probes, and their timers.

This is state without I/O: ``tick`` takes the time and returns the packets
to send; the gossip task owns the socket and the encoding.
``swim_handlers.handle_datagram`` handles received datagrams.
"""

from random import Random
from typing import Final

from bergamotshunt.decisions.datagram_composer import DatagramComposer
from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.membership_updates import (
    apply_suspicion,
    expire_suspicions,
)
from bergamotshunt.decisions.probing import Probe, RelayedProbe
from bergamotshunt.peers.datagrams import DatagramKind, Endpoint, Packet
from bergamotshunt.peers.members import MemberEvent, MemberStatus

INDIRECT_PROBE_COUNT: Final = 3
# Gossip rounds in one probe interval while updates are queued.
GOSSIP_ROUNDS_PER_INTERVAL: Final = 5
TICKS_PER_INTERVAL: Final = 10


class Swim:
    """State of the SWIM protocol at one daemon.

    Args:
        members: Membership state of this daemon.
        rng: Random source.
        now_ms: Monotonic time of the start.

    Attributes:
        id_conflicts_by_id: For each daemon id that an older process uses
            beside its live member: source of that process's last datagram,
            and when it arrived.
    """

    def __init__(
        self,
        members: Membership,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Create the state; the first probe is due at a random time."""
        self.members = members
        self.rules = members.rules
        self.rng = rng
        self.composer = DatagramComposer(members, rng, now_ms)
        self.probes_by_sequence: dict[int, Probe] = {}
        self.relays_by_sequence: dict[int, RelayedProbe] = {}
        self.tick_ms = self.rules.probe_interval_ms / TICKS_PER_INTERVAL
        self.last_tick_ms = now_ms
        self.next_probe_ms = now_ms + rng.random() * members.probe_interval_ms()
        self.next_gossip_ms = now_ms
        self.next_dead_probe_ms = now_ms + self.rules.dead_probe_interval_ms
        self.id_conflicts_by_id: dict[str, tuple[Endpoint, float]] = {}

    def tick(self, now_ms: float) -> list[Packet]:
        """Run the timers that are due and return the packets to send."""
        self._compensate_for_delay(now_ms)
        packets = self._check_relays(now_ms)
        packets += self._check_probes(now_ms)
        expire_suspicions(self.members, now_ms)
        self.composer.add_joined_members()
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self.members.probe_interval_ms()
            packets += self._probe_next(now_ms)
        if now_ms >= self.next_dead_probe_ms:
            self.next_dead_probe_ms = now_ms + self.rules.dead_probe_interval_ms
            self.members.remove_expired(now_ms)
            packets += self._probe_dead_member(now_ms)
        if self.members.event_queue.by_id and now_ms >= self.next_gossip_ms:
            gossip_interval_ms = (
                self.rules.probe_interval_ms / GOSSIP_ROUNDS_PER_INTERVAL
            )
            self.next_gossip_ms = now_ms + gossip_interval_ms
            packets += self.composer.compose_gossip(now_ms)
        return packets

    def _compensate_for_delay(self, now_ms: float) -> None:
        delay_ms = now_ms - self.last_tick_ms - self.tick_ms
        self.last_tick_ms = now_ms
        if delay_ms > self.rules.probe_timeout_ms:
            # Acks may wait unread in the socket, so a probe that was sent
            # before the pause must not cause a suspicion.
            self.probes_by_sequence.clear()
            self.relays_by_sequence.clear()
            self.members.compensate_for_pause(delay_ms)
        elif delay_ms > self.tick_ms:
            self.probes_by_sequence = {
                sequence: probe._replace(
                    indirect_ms=probe.indirect_ms + delay_ms,
                    deadline_ms=probe.deadline_ms + delay_ms,
                )
                for sequence, probe in self.probes_by_sequence.items()
            }

    def _check_probes(self, now_ms: float) -> list[Packet]:
        packets: list[Packet] = []
        for sequence, probe in tuple(self.probes_by_sequence.items()):
            if now_ms >= probe.deadline_ms:
                self.probes_by_sequence.pop(sequence)
                self._handle_failed_probe(probe, now_ms)
            elif now_ms >= probe.indirect_ms and not probe.indirect_requested:
                packets += self._request_indirect_probes(
                    sequence, probe, now_ms
                )
        return packets

    def _handle_failed_probe(self, probe: Probe, now_ms: float) -> None:
        if probe.is_dead_probe:
            return
        if probe.has_intermediaries and not probe.nacks:
            # No intermediary replied either, so this daemon's own network
            # or its timers may be at fault.
            self.members.raise_degradation_score()
        suspicion = MemberEvent(
            probe.target,
            probe.incarnation,
            MemberStatus.SUSPECT,
            self.members.own_record.daemon_id,
        )
        apply_suspicion(self.members, suspicion, now_ms)

    def _request_indirect_probes(
        self,
        sequence: int,
        probe: Probe,
        now_ms: float,
    ) -> list[Packet]:
        composer = self.composer
        intermediaries = composer.probe_order.sample(
            INDIRECT_PROBE_COUNT,
            lambda peer: peer != probe.target and composer.is_live_peer(peer),
        )
        self.probes_by_sequence[sequence] = probe._replace(
            indirect_requested=True,
            has_intermediaries=bool(intermediaries),
        )
        return [
            composer.compose_packet(
                intermediary,
                DatagramKind.PING_REQUEST,
                now_ms,
                sequence,
                probe.target,
            )
            for intermediary in intermediaries
        ]

    def _check_relays(self, now_ms: float) -> list[Packet]:
        packets = []
        for sequence, relay in tuple(self.relays_by_sequence.items()):
            if now_ms < relay.deadline_ms:
                continue
            self.relays_by_sequence.pop(sequence)
            nack = self.composer.compose(
                DatagramKind.NACK,
                now_ms,
                relay.sequence,
                relay.target,
            )
            packets.append(Packet(relay.requester, nack))
        return packets

    def _probe_next(self, now_ms: float) -> list[Packet]:
        target = self._next_target()
        if target is None:
            return []
        return [self._probe(target, now_ms, is_dead_probe=False)]

    def _next_target(self) -> str | None:
        composer = self.composer
        while self.members.priority_probes:
            daemon_id = self.members.priority_probes.popleft()
            if composer.is_live_peer(daemon_id):
                return daemon_id
        return composer.probe_order.next_id(
            composer.is_live_peer, self._known_ids
        )

    def _known_ids(self) -> list[str]:
        return list(self.members.table.by_id)

    def _probe_dead_member(self, now_ms: float) -> list[Packet]:
        dead_ids = self.members.table.dead_ids()
        if not dead_ids:
            return []
        return [
            self._probe(self.rng.choice(dead_ids), now_ms, is_dead_probe=True)
        ]

    def _probe(
        self, target: str, now_ms: float, *, is_dead_probe: bool
    ) -> Packet:
        sequence = self.composer.next_sequence()
        timeout_ms = self.members.probe_timeout_ms()
        deadline_ms = max(self.members.probe_interval_ms(), timeout_ms)
        known = self.members.table.by_id[target]
        # No indirect probes of a dead member: they would cost other members
        # traffic for little gain.
        indirect_ms = deadline_ms if is_dead_probe else timeout_ms
        self.probes_by_sequence[sequence] = Probe(
            target,
            known.incarnation,
            now_ms + indirect_ms,
            now_ms + deadline_ms,
            is_dead_probe=is_dead_probe,
        )
        return self.composer.compose_packet(
            target,
            DatagramKind.PING,
            now_ms,
            sequence,
            target,
        )
