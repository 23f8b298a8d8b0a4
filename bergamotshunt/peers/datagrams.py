"""Datagrams between gossip tasks, independent of their encoding."""

from enum import IntEnum
from typing import Final, NamedTuple

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.peers.members import EraUpdate, Member, MemberEvent

# A datagram of this size fits the path MTU of any network, so that it is
# never fragmented.
MAX_DATAGRAM_BYTES: Final = 1200
# The rest of a datagram holds the header: two daemon ids of up to 64
# characters each and a load report.
MAX_UPDATES_BYTES: Final = 900

Endpoint = tuple[str, int]


class DatagramKind(IntEnum):
    """Type of a datagram; the log shows it by its name.

    Attributes:
        PING: Probe of the target.
        ACK: The target of a probe has responded.
        PING_REQUEST: Request to probe the target on behalf of the sender.
        NACK: The target of such a request has not responded yet.
        NEWS: Carries only updates.
        LOAD_QUERY: Request for the load of the target.
        LOAD_ANSWER: The load of the sender.
    """

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    NACK = 3
    NEWS = 4
    LOAD_QUERY = 5
    LOAD_ANSWER = 6


class Datagram(NamedTuple):
    """A gossip message: its kind, its sender and updates about members.

    Attributes:
        kind: Type of the datagram.
        sender: Daemon id of the sender.
        process_id: Process of the sender.
        sequence: Number that the response repeats.
        target: Daemon id that is asked to respond or that responded.
        revision: Targets revision in force at the sender.
        age_ms: Time since that revision was confirmed, in milliseconds.
        load: Load of the sender, in a ``LOAD_ANSWER``.
        events: Updates about members.
        eras: Updates of booking eras.
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
    """A datagram and its destination."""

    endpoint: Endpoint
    datagram: Datagram


def endpoint_of(member: Member) -> Endpoint:
    """Return the IP address and UDP port of the member."""
    return (member.ip, member.gossip_port)
