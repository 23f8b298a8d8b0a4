"""Handlers of received SWIM datagrams, by kind."""

from typing import Final, NamedTuple, Protocol

from bergamotshunt.decisions.membership_updates import apply_era, apply_event
from bergamotshunt.decisions.probing import RelayedProbe
from bergamotshunt.decisions.swim import Swim
from bergamotshunt.peers.datagrams import (
    Datagram,
    DatagramKind,
    Endpoint,
    Packet,
)
from bergamotshunt.peers.members import MemberEvent, MemberStatus, is_live
from bergamotshunt.registries import Registry

# Further requests for indirect probes are dropped.
MAX_RELAYS: Final = 256
# Beyond this, the oldest conflict is dropped.
MAX_ID_CONFLICTS: Final = 64


class ReceivedDatagram(NamedTuple):
    """A received datagram with its context.

    Attributes:
        datagram: The datagram.
        source: Address that it came from.
        corrections: Events that correct the sender's view of itself.
        now_ms: Monotonic time of the arrival.
    """

    datagram: Datagram
    source: Endpoint
    corrections: tuple[MemberEvent, ...]
    now_ms: float


class HandlingResult(NamedTuple):
    """Result of handling a datagram.

    Attributes:
        packets: Packets to send.
        reached_id: Daemon id of a member that acknowledged a direct probe,
            or empty.
        revived_id: Daemon id of a sender that is dead in the table, or
            empty.
    """

    packets: tuple[Packet, ...] = ()
    reached_id: str = ''
    revived_id: str = ''


class SwimHandler(Protocol):
    """Handler of one kind of datagram."""

    def __call__(
        self, swim: Swim, incoming: ReceivedDatagram
    ) -> HandlingResult:
        """Handle the datagram."""


SWIM_HANDLERS: Final[Registry[SwimHandler]] = Registry('SWIM handler')


def handle_datagram(
    swim: Swim,
    datagram: Datagram,
    source: Endpoint,
    now_ms: float,
) -> HandlingResult:
    """Apply the updates in a datagram and handle it by its kind.

    Args:
        swim: State of the protocol; it is changed.
        datagram: The datagram.
        source: Address that it came from.
        now_ms: Monotonic time of its arrival.
    """
    members = swim.members
    record_id_conflict(swim, datagram, source, now_ms)
    corrections = members.corrections_for(datagram.sender, datagram.process_id)
    for event in datagram.events:
        apply_event(members, event, now_ms)
    for era in datagram.eras:
        apply_era(members, era)
    swim.composer.add_joined_members()
    incoming = ReceivedDatagram(datagram, source, corrections, now_ms)
    handled = SWIM_HANDLERS.get(datagram.kind.name)(swim, incoming)
    if corrections and corrections[0].status is MemberStatus.DEAD:
        return handled._replace(revived_id=datagram.sender)
    return handled


@SWIM_HANDLERS.register(DatagramKind.PING.name)
def handle_ping(swim: Swim, incoming: ReceivedDatagram) -> HandlingResult:
    """Acknowledge a probe of this daemon."""
    members = swim.members
    own = members.own_record
    if incoming.datagram.target != own.daemon_id or members.is_leaving:
        return HandlingResult()
    kind = DatagramKind.ACK
    corrections = incoming.corrections
    if members.replaced_by is not None:
        # The sender still has the record of this process. An ACK would be
        # taken for one of the process that holds the id now.
        kind = DatagramKind.NEWS
        corrections += members.corrections_for(own.daemon_id, own.process_id)
    reply = swim.composer.compose(
        kind,
        incoming.now_ms,
        incoming.datagram.sequence,
        own.daemon_id,
        corrections,
    )
    return HandlingResult((Packet(incoming.source, reply),))


@SWIM_HANDLERS.register(DatagramKind.PING_REQUEST.name)
def handle_ping_request(
    swim: Swim, incoming: ReceivedDatagram
) -> HandlingResult:
    """Send an indirect probe on behalf of another member."""
    target = incoming.datagram.target
    is_known = target in swim.members.table.by_id
    if not is_known or len(swim.relays_by_sequence) >= MAX_RELAYS:
        return HandlingResult()
    composer = swim.composer
    sequence = composer.next_sequence()
    swim.relays_by_sequence[sequence] = RelayedProbe(
        incoming.source,
        incoming.datagram.sequence,
        target,
        incoming.now_ms + swim.rules.probe_timeout_ms,
    )
    packet = composer.compose_packet(
        target,
        DatagramKind.PING,
        incoming.now_ms,
        sequence,
        target,
    )
    return HandlingResult((packet,))


@SWIM_HANDLERS.register(DatagramKind.ACK.name)
def handle_ack(swim: Swim, incoming: ReceivedDatagram) -> HandlingResult:
    """Complete an own probe, or forward the ack to its requester."""
    datagram = incoming.datagram
    probe = swim.probes_by_sequence.get(datagram.sequence)
    if probe is not None and probe.target == datagram.target:
        swim.probes_by_sequence.pop(datagram.sequence)
        swim.members.lower_degradation_score()
        is_direct = datagram.sender == probe.target
        return HandlingResult(reached_id=probe.target if is_direct else '')
    relay = swim.relays_by_sequence.get(datagram.sequence)
    if relay is None or relay.target != datagram.sender:
        return HandlingResult()
    swim.relays_by_sequence.pop(datagram.sequence)
    relayed_ack = swim.composer.compose(
        DatagramKind.ACK,
        incoming.now_ms,
        relay.sequence,
        relay.target,
    )
    return HandlingResult((Packet(relay.requester, relayed_ack),))


@SWIM_HANDLERS.register(DatagramKind.NACK.name)
def handle_nack(swim: Swim, incoming: ReceivedDatagram) -> HandlingResult:
    """Record that an indirect probe failed but its intermediary replied."""
    sequence = incoming.datagram.sequence
    probe = swim.probes_by_sequence.get(sequence)
    if probe is not None:
        nacked = probe._replace(nacks=probe.nacks + 1)
        swim.probes_by_sequence[sequence] = nacked
    return HandlingResult()


@SWIM_HANDLERS.register(DatagramKind.NEWS.name)
@SWIM_HANDLERS.register(DatagramKind.LOAD_QUERY.name)
@SWIM_HANDLERS.register(DatagramKind.LOAD_ANSWER.name)
def send_corrections(swim: Swim, incoming: ReceivedDatagram) -> HandlingResult:
    """Send the corrections for the sender, if there are any."""
    if not incoming.corrections:
        return HandlingResult()
    reply = swim.composer.compose(
        DatagramKind.NEWS,
        incoming.now_ms,
        corrections=incoming.corrections,
    )
    return HandlingResult((Packet(incoming.source, reply),))


def record_id_conflict(
    swim: Swim,
    datagram: Datagram,
    source: Endpoint,
    now_ms: float,
) -> None:
    """Record a datagram of an older process of a live member.

    Its sender was frozen and replaced, or two daemons have the same id in
    their settings.
    """
    known = swim.members.table.by_id.get(datagram.sender)
    if known is None or not is_live(known):
        return
    if datagram.process_id < known.process_id:
        swim.id_conflicts_by_id[datagram.sender] = (source, now_ms)
        if len(swim.id_conflicts_by_id) > MAX_ID_CONFLICTS:
            oldest = next(iter(swim.id_conflicts_by_id))
            swim.id_conflicts_by_id.pop(oldest)
