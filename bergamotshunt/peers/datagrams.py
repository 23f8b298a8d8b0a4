"""Datagrams between the gossip tasks, independent of their encoding."""

from enum import IntEnum
from typing import Final, NamedTuple

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.peers.members import EraUpdate, Member, MemberEvent

# Fits the path MTU of any network without fragmentation.
MAX_DATAGRAM_BYTES: Final = 1200
# The rest holds the header: two names of up to 64 letters and a load report.
MAX_UPDATES_BYTES: Final = 900

Endpoint = tuple[str, int]


class DatagramKind(IntEnum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    NACK = 3
    NEWS = 4
    LOAD_QUERY = 5
    LOAD_ANSWER = 6


class Datagram(NamedTuple):
    """One datagram.

    Attributes:
        kind: What it asks or answers.
        sender: Daemon id of the sender.
        process_id: Process of the sender.
        sequence: Number that the answer repeats.
        target: Daemon id that is to answer or that answered.
        revision: Targets revision in force at the sender.
        age_ms: Time since that revision was confirmed.
        load: Load of the sender, in a ``LOAD_ANSWER``.
        events: News of members.
        eras: News of booking eras.
    """

    kind: DatagramKind
    sender: str
    process_id: int
    sequence: int = 0
    target: str = ''
    revision: int = 0
    age_ms: int = 0
    load: LoadReport | None = None
    events: tuple[MemberEvent, ...] = ()
    eras: tuple[EraUpdate, ...] = ()


class Packet(NamedTuple):
    """A datagram and where it goes."""

    endpoint: Endpoint
    datagram: Datagram


def endpoint_of(member: Member) -> Endpoint:
    """Return where datagrams to the member go."""
    return (member.ip, member.gossip_port)
