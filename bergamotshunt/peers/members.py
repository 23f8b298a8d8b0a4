"""Members of the fleet: daemons, each with the backend server beside it."""

from enum import IntEnum
from typing import NamedTuple


class MemberStatus(IntEnum):
    """Status of a member; at equal incarnations the higher value wins."""

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
        daemon_id: Stable id of the daemon, from its settings.
        incarnation: Start time of the process in milliseconds; increases
            with each restart and each refutation of a suspicion.
        ip: IP address of the host.
        peers_port: TCP port for requests from other daemons.
        gossip_port: UDP port for membership.
        region: Region of the host.
        availability_zone: Availability zone of the host.
        service: Service of the backend server.
        server_state: State of the backend server.
        status: Status of the daemon.
        process_id: Start time in milliseconds that identifies the process.
            Booking tickets name it, because a refutation changes the
            incarnation but not this.
        era: Current booking era of the daemon: the time bucket that its
            new booking keys belong to.
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
    """Update about one member, as gossip spreads it.

    Attributes:
        daemon_id: The member.
        incarnation: Incarnation that the update is about.
        status: Status of the member in that incarnation.
        reporter: Daemon that got no response, for SUSPECT and DEAD.
        record: The member's own record, for ALIVE and LEFT.
    """

    daemon_id: str
    incarnation: int
    status: MemberStatus
    reporter: str = ''
    record: Member | None = None


class EraUpdate(NamedTuple):
    """Update of the booking era of one process.

    The era of a process only increases, so updates of it need no new
    incarnation to be ordered.
    """

    daemon_id: str
    process_id: int
    era: int


def is_live(member: Member) -> bool:
    """Return whether the member's daemon is considered to be running."""
    return member.status <= MemberStatus.SUSPECT


def is_newer(candidate: Member, known: Member) -> bool:
    """Return whether a record replaces a known one.

    The order is total, so all daemons converge on the same record. The
    later fields of the key matter only when two processes share a daemon
    id and started in the same millisecond.
    """
    return order_key(candidate) > order_key(known)


def order_key(member: Member) -> tuple[int, int, int, str, int]:
    """Return the key that orders the records of one daemon id."""
    return (
        member.incarnation,
        member.status,
        member.process_id,
        member.ip,
        member.gossip_port,
    )


def create_event(member: Member, reporter: str = '') -> MemberEvent:
    """Return the update that spreads a record.

    A suspicion or death carries no record: receivers hold the record
    already, and bursts of such updates are three times smaller without it.
    """
    has_record = member.status in {MemberStatus.ALIVE, MemberStatus.LEFT}
    return MemberEvent(
        member.daemon_id,
        member.incarnation,
        member.status,
        reporter,
        member if has_record else None,
    )


def is_routable(member: Member) -> bool:
    """Return whether new requests may be sent to the member."""
    return (
        member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        and member.server_state is ServerState.SERVING
    )
