"""Documents of the anti-entropy sync of member tables."""

from typing import TypedDict

from bergamotshunt.peers.members import Member


class SyncRequest(TypedDict):
    """Digests of the sender's member table, or records for the receiver.

    Attributes:
        sender: The sender's own record.
        digests: Digest of each bucket; empty when only members are sent.
        first_bucket: Buckets below this one were compared already.
        members: Records that the receiver requested.
    """

    sender: Member
    digests: list[int]
    first_bucket: int
    members: list[Member]


class SyncReply(TypedDict):
    """Records of the buckets that differ.

    Attributes:
        responder: Daemon id of the daemon that responds.
        about_sender: The responder's record of the sender, if it has one.
        members: The responder's records of the buckets that differ.
        wanted: Those buckets; the sender is asked for its records of them.
        next_bucket: Bucket to continue with, or the number of buckets when
            all were compared.
    """

    responder: str
    about_sender: Member | None
    members: list[Member]
    wanted: list[int]
    next_bucket: int
