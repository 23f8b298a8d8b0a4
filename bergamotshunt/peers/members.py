"""Members of the fleet: daemons with the backend server beside each."""

from enum import IntEnum
from typing import NamedTuple


class MemberStatus(IntEnum):
    """Status of a member; of two equal incarnations the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class ServerState(IntEnum):
    """State of the backend server beside a daemon."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    DOWN = 3


class Member(NamedTuple):
    """One daemon and its backend server.

    Attributes:
        daemon_id: Stable name of the daemon, from its settings.
        incarnation: Start of this process (ms); grows with each restart
            and each refutation.
        ip: IP number of the host.
        peers_port: TCP port for requests from other daemons.
        gossip_port: UDP port for membership.
        region: Region of the host.
        availability_zone: Availability zone of the host.
        service: Service of the backend server.
        server_state: State of the backend server.
        status: Status of the daemon.
        process_id: Start time (ms) that identifies the process; booking
            tickets name it, as a refutation does not change it.
        era: Current booking era of the daemon.
    """

    daemon_id: str
    incarnation: int
    ip: str
    peers_port: int
    gossip_port: int
    region: str
    availability_zone: str
    service: str
    server_state: ServerState = ServerState.STARTING
    status: MemberStatus = MemberStatus.ALIVE
    process_id: int = 0
    era: int = 0


class MemberEvent(NamedTuple):
    """News of one member, as daemons pass it on.

    Attributes:
        daemon_id: The member.
        incarnation: Incarnation that the news is about.
        status: Status of the member in that incarnation.
        accuser: Daemon that got no answer, for SUSPECT and DEAD.
        record: The member's own record, for ALIVE and LEFT.
    """

    daemon_id: str
    incarnation: int
    status: MemberStatus
    reporter: str = ''
    record: Member | None = None


class EraUpdate(NamedTuple):
    """Booking era of one process.

    An era only grows within a process, so it needs no new incarnation.
    """

    daemon_id: str
    process_id: int
    era: int


def is_live(member: Member) -> bool:
    """Return whether the member's daemon counts as running."""
    return member.status <= MemberStatus.SUSPECT


def is_newer(candidate: Member, known: Member) -> bool:
    """Return whether a record takes the place of a known one.

    The order is total, so all daemons settle on the same record. The
    later fields matter only when two processes share a daemon id and
    started in the same millisecond.
    """
    return order_key(candidate) > order_key(known)


def order_key(member: Member) -> tuple[int, int, int, str, int]:
    """Return what orders the records of one daemon id."""
    return (
        member.incarnation,
        member.status,
        member.process_id,
        member.ip,
        member.gossip_port,
    )


def create_event(member: Member, reporter: str = '') -> MemberEvent:
    """Return the event that spreads a record.

    A suspicion or death carries no record: the receiver holds it already
    and storms of such events are three times smaller that way.
    """
    own_news = member.status in {MemberStatus.ALIVE, MemberStatus.LEFT}
    return MemberEvent(
        member.daemon_id,
        member.incarnation,
        member.status,
        reporter,
        member if own_news else None,
    )


def is_routable(member: Member) -> bool:
    """Return whether new work may be sent to the member."""
    return (
        member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        and member.server_state is ServerState.SERVING
    )
