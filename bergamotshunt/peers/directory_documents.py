"""Documents of the directory: clients query the servers of a service."""

from typing import Final, TypedDict

from bergamotshunt.decoding import decode_json
from bergamotshunt.operators.targets import ServiceTargets
from bergamotshunt.peers.member_checks import keep_usable
from bergamotshunt.peers.members import Member

DIRECTORY_PATH: Final = '/bergamotshunt/directory'


class DirectoryRequest(TypedDict):
    """Query for the servers of one service (long polling).

    Attributes:
        service: Name of the service.
        version: Version that the client holds, or empty.
        wait_ms: How long the daemon may wait for a newer version, in
            milliseconds.
    """

    service: str
    version: str
    wait_ms: int


class DirectoryReply(TypedDict):
    """Servers and targets of one service.

    Attributes:
        version: Opaque version of the other fields; only compared for
            equality.
        refusal: Why this daemon does not serve calls, or empty.
        revision: Revision of the targets in force.
        targets: Targets of the service, or None when there are none.
        members: Members of the service, in any state.
    """

    version: str
    refusal: str
    revision: int
    targets: ServiceTargets | None
    members: list[Member]


def decode_directory_reply(content: bytes) -> DirectoryReply:
    """Decode a reply; records that cannot be used are left out.

    Raises:
        MalformedInputError: The content is no reply.
    """
    reply: DirectoryReply = decode_json(
        content, 'reply of a directory', DirectoryReply
    )
    reply['members'] = keep_usable(reply['members'])
    return reply
