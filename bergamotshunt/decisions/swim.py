"""SWIM: one probe a round, indirect probes, and what is due when.

A pure state: ``tick`` takes the time and returns the packets to send; the
gossip task owns the socket and the encoding. ``answering.receive`` takes in
datagrams.
"""

from random import Random
from typing import Final

from bergamotshunt.decisions.composing import Composer
from bergamotshunt.decisions.hearing import expire, suspect
from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.probing import Probe, Relay
from bergamotshunt.peers.datagrams import Endpoint, DatagramKind, Packet
from bergamotshunt.peers.members import MemberEvent, MemberStatus

INDIRECT_PROBES: Final = 3
# Rounds of news in one probe interval while there is news to pass on.
NEWS_ROUNDS: Final = 5
TICKS: Final = 10


class Swim:
    """State of the protocol at one daemon.

    Args:
        members: What this daemon knows.
        rng: Random source.
        now_ms: Time of the start.

    Attributes:
        namesakes_by_id: Where datagrams of an older process of a live
            member came from, and when.
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
        self.composer = Composer(members, rng, now_ms)
        self.probes_by_sequence: dict[int, Probe] = {}
        self.relays_by_sequence: dict[int, Relay] = {}
        self.tick_ms = self.rules.probe_interval_ms / TICKS
        self.last_tick_ms = now_ms
        self.next_probe_ms = now_ms + rng.random() * members.interval_ms()
        self.next_news_ms = now_ms
        self.next_contact_ms = now_ms + self.rules.dead_contact_ms
        self.namesakes_by_id: dict[str, tuple[Endpoint, float]] = {}

    def tick(self, now_ms: float) -> list[Packet]:
        """Do what is due."""
        self._allow_for_lateness(now_ms)
        packets = self._check_relays(now_ms)
        packets += self._check_probes(now_ms)
        expire(self.members, now_ms)
        self.composer.take_joined()
        if now_ms >= self.next_probe_ms:
            self.next_probe_ms = now_ms + self.members.interval_ms()
            packets += self._probe_next(now_ms)
        if now_ms >= self.next_contact_ms:
            self.next_contact_ms = now_ms + self.rules.dead_contact_ms
            self.members.forget_gone(now_ms)
            packets += self._contact_dead(now_ms)
        if self.members.events.by_id and now_ms >= self.next_news_ms:
            step_ms = self.rules.probe_interval_ms / NEWS_ROUNDS
            self.next_news_ms = now_ms + step_ms
            packets += self.composer.spread(now_ms)
        return packets

    def _allow_for_lateness(self, now_ms: float) -> None:
        late_ms = now_ms - self.last_tick_ms - self.tick_ms
        self.last_tick_ms = now_ms
        if late_ms > self.rules.probe_timeout_ms:
            # Responses may wait unread in the socket: no probe of before the
            # pause may accuse anybody.
            self.probes_by_sequence.clear()
            self.relays_by_sequence.clear()
            self.members.allow_for_pause(late_ms)
        elif late_ms > self.tick_ms:
            self.probes_by_sequence = {
                sequence: probe._replace(
                    indirect_ms=probe.indirect_ms + late_ms,
                    deadline_ms=probe.deadline_ms + late_ms,
                )
                for sequence, probe in self.probes_by_sequence.items()
            }

    def _check_probes(self, now_ms: float) -> list[Packet]:
        packets: list[Packet] = []
        for sequence, probe in tuple(self.probes_by_sequence.items()):
            if now_ms >= probe.deadline_ms:
                self.probes_by_sequence.pop(sequence)
                self._fail(probe, now_ms)
            elif now_ms >= probe.indirect_ms and not probe.asked:
                packets += self._ask_others(sequence, probe, now_ms)
        return packets

    def _fail(self, probe: Probe, now_ms: float) -> None:
        if probe.contact:
            return
        if probe.helped and not probe.nacks:
            # None of those who were asked answered either, so this
            # daemon's own network or its timers may be at fault.
            self.members.worsen_health()
        accusation = MemberEvent(
            probe.target,
            probe.incarnation,
            MemberStatus.SUSPECT,
            self.members.own.daemon_id,
        )
        suspect(self.members, accusation, now_ms)

    def _ask_others(
        self,
        sequence: int,
        probe: Probe,
        now_ms: float,
    ) -> list[Packet]:
        composer = self.composer
        helpers = composer.order.sample(
            INDIRECT_PROBES,
            lambda peer: peer != probe.target and composer.is_peer(peer),
        )
        self.probes_by_sequence[sequence] = probe._replace(
            asked=True,
            helped=bool(helpers),
        )
        return [
            composer.packet_to(
                helper,
                DatagramKind.PING_REQUEST,
                now_ms,
                sequence,
                probe.target,
            )
            for helper in helpers
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
        return [self._probe(target, now_ms, contact=False)]

    def _next_target(self) -> str | None:
        composer = self.composer
        while self.members.doubts:
            doubted = self.members.doubts.popleft()
            if composer.is_peer(doubted):
                return doubted
        return composer.order.next_id(composer.is_peer, self._known_ids)

    def _known_ids(self) -> list[str]:
        return list(self.members.table.by_id)

    def _contact_dead(self, now_ms: float) -> list[Packet]:
        dead = self.members.table.dead_ids()
        if not dead:
            return []
        return [self._probe(self.rng.choice(dead), now_ms, contact=True)]

    def _probe(self, target: str, now_ms: float, *, contact: bool) -> Packet:
        sequence = self.composer.next_sequence()
        timeout_ms = self.members.timeout_ms()
        deadline_ms = max(self.members.interval_ms(), timeout_ms)
        known = self.members.table.by_id[target]
        # A member held for dead is not worth the effort of others.
        indirect_ms = deadline_ms if contact else timeout_ms
        self.probes_by_sequence[sequence] = Probe(
            target,
            known.incarnation,
            now_ms + indirect_ms,
            now_ms + deadline_ms,
            contact=contact,
        )
        return self.composer.packet_to(
            target,
            DatagramKind.PING,
            now_ms,
            sequence,
            target,
        )
