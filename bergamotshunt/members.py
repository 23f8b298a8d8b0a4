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


def is_routable(member: Member) -> bool:
    """Tell whether new work may be sent to the member."""
    return (
        member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        and member.server_state is ServerState.SERVING
    )
