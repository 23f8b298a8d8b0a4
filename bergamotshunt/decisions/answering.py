"""Answering: what follows from a datagram, by its kind."""

from typing import Final, NamedTuple, Protocol

from bergamotshunt.decisions.hearing import hear, hear_era
from bergamotshunt.decisions.probing import Relay
from bergamotshunt.decisions.swim import Swim
from bergamotshunt.peers.datagrams import (
    Datagram,
    Endpoint,
    DatagramKind,
    Packet,
)
from bergamotshunt.peers.members import MemberEvent, MemberStatus, is_live
from bergamotshunt.registries import Registry

MAX_RELAYS: Final = 256
MAX_NAMESAKES: Final = 64


class Arrival(NamedTuple):
    """A datagram that arrived.

    Attributes:
        datagram: The datagram.
        source: Where it came from.
        claim: What the sender should hear about itself.
        now_ms: Time of the arrival.
    """

    datagram: Datagram
    source: Endpoint
    claim: tuple[MemberEvent, ...]
    now_ms: float


class Received(NamedTuple):
    """What follows from a datagram.

    Attributes:
        packets: Answers to send.
        reached: Daemon id of a member that answered directly, or empty.
        awake: Daemon id of a member held for dead that sent something.
    """

    packets: tuple[Packet, ...] = ()
    reached: str = ''
    awake: str = ''


class Answer(Protocol):
    """Answer to one kind of datagram."""

    def __call__(self, swim: Swim, arrival: Arrival) -> Received:
        """Return what follows from the datagram."""


ANSWERS: Final[Registry[Answer]] = Registry('datagram')


def receive(
    swim: Swim,
    datagram: Datagram,
    source: Endpoint,
    now_ms: float,
) -> Received:
    """Take in a datagram."""
    members = swim.members
    note_namesake(swim, datagram, source, now_ms)
    claim = members.claim_about(datagram.sender, datagram.process_id)
    for event in datagram.events:
        hear(members, event, now_ms)
    for era in datagram.eras:
        hear_era(members, era)
    swim.composer.take_joined()
    arrival = Arrival(datagram, source, claim, now_ms)
    received = ANSWERS.get(datagram.kind.name)(swim, arrival)
    if claim and claim[0].status is MemberStatus.DEAD:
        return received._replace(awake=datagram.sender)
    return received


@ANSWERS.register(DatagramKind.PING.name)
def answer_ping(swim: Swim, arrival: Arrival) -> Received:
    """Acknowledge a probe of this daemon."""
    members = swim.members
    own = members.own
    if arrival.datagram.target != own.daemon_id or members.leaving:
        return Received()
    kind = DatagramKind.ACK
    claim = arrival.claim
    if members.replaced_by is not None:
        # The sender still holds the record of this process, which must
        # not be taken for the process that holds the id now.
        kind = DatagramKind.NEWS
        claim += members.claim_about(own.daemon_id, own.process_id)
    answer = swim.composer.compose(
        kind,
        arrival.now_ms,
        arrival.datagram.sequence,
        own.daemon_id,
        claim,
    )
    return Received((Packet(arrival.source, answer),))


@ANSWERS.register(DatagramKind.PING_REQUEST.name)
def relay_ping(swim: Swim, arrival: Arrival) -> Received:
    """Probe a member for another one."""
    target = arrival.datagram.target
    is_known = target in swim.members.table.by_id
    if not is_known or len(swim.relays_by_sequence) >= MAX_RELAYS:
        return Received()
    composer = swim.composer
    sequence = composer.next_sequence()
    swim.relays_by_sequence[sequence] = Relay(
        arrival.source,
        arrival.datagram.sequence,
        target,
        arrival.now_ms + swim.rules.probe_timeout_ms,
    )
    packet = composer.packet_to(
        target,
        DatagramKind.PING,
        arrival.now_ms,
        sequence,
        target,
    )
    return Received((packet,))


@ANSWERS.register(DatagramKind.ACK.name)
def take_ack(swim: Swim, arrival: Arrival) -> Received:
    """Take in the answer to a probe, or pass it to who asked for it."""
    datagram = arrival.datagram
    probe = swim.probes_by_sequence.get(datagram.sequence)
    if probe is not None and probe.target == datagram.target:
        swim.probes_by_sequence.pop(datagram.sequence)
        swim.members.improve_health()
        direct = datagram.sender == probe.target
        return Received(reached=probe.target if direct else '')
    relay = swim.relays_by_sequence.get(datagram.sequence)
    if relay is None or relay.target != datagram.sender:
        return Received()
    swim.relays_by_sequence.pop(datagram.sequence)
    passed_on = swim.composer.compose(
        DatagramKind.ACK,
        arrival.now_ms,
        relay.sequence,
        relay.target,
    )
    return Received((Packet(relay.requester, passed_on),))


@ANSWERS.register(DatagramKind.NACK.name)
def take_nack(swim: Swim, arrival: Arrival) -> Received:
    """Note that a member that was asked to probe failed, but answered."""
    sequence = arrival.datagram.sequence
    probe = swim.probes_by_sequence.get(sequence)
    if probe is not None:
        nacked = probe._replace(nacks=probe.nacks + 1)
        swim.probes_by_sequence[sequence] = nacked
    return Received()


@ANSWERS.register(DatagramKind.NEWS.name)
@ANSWERS.register(DatagramKind.LOAD_QUERY.name)
@ANSWERS.register(DatagramKind.LOAD_ANSWER.name)
def tell_sender(swim: Swim, arrival: Arrival) -> Received:
    """Tell the sender what it should know about itself, if anything."""
    if not arrival.claim:
        return Received()
    news = swim.composer.compose(
        DatagramKind.NEWS,
        arrival.now_ms,
        claim=arrival.claim,
    )
    return Received((Packet(arrival.source, news),))


def note_namesake(
    swim: Swim,
    datagram: Datagram,
    source: Endpoint,
    now_ms: float,
) -> None:
    """Note a datagram of an older process of a live member.

    It comes from a process that was frozen and replaced, or from two
    daemons that were given the same id.
    """
    known = swim.members.table.by_id.get(datagram.sender)
    if known is None or not is_live(known):
        return
    if datagram.process_id < known.process_id:
        swim.namesakes_by_id[datagram.sender] = (source, now_ms)
        if len(swim.namesakes_by_id) > MAX_NAMESAKES:
            oldest = next(iter(swim.namesakes_by_id))
            swim.namesakes_by_id.pop(oldest)
