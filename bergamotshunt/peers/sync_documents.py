"""Documents of the exchange of whole member tables between two daemons."""

from typing import TypedDict

from bergamotshunt.peers.members import Member


class SyncRequest(TypedDict):
    """What a daemon sends to compare its table.

    Attributes:
        sender: Its own record.
        digests: Digest of each bucket; empty when only members are sent.
        first_bucket: Buckets below this one were compared already.
        members: Records that the receiver asked for.
    """

    sender: Member
    digests: list[int]
    first_bucket: int
    members: list[Member]


class SyncReply(TypedDict):
    """The response.

    Attributes:
        responder: Daemon id of the daemon that answers.
        about_sender: The record that is held for the sender's id, if any.
        members: Records of the buckets that differ.
        wanted: Those buckets; the sender's records of them are asked for.
        next_bucket: Where to go on, or the number of buckets at the end.
    """

    responder: str
    about_sender: Member | None
    members: list[Member]
    wanted: list[int]
    next_bucket: int
