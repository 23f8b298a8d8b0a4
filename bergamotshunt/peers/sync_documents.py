"""Documents of the anti-entropy sync of member tables."""

from typing import TypedDict

from bergamotshunt.decoding import convert_malformed, decode_json
from bergamotshunt.peers.member_checks import (
    check_record,
    is_usable_record,
    keep_usable,
)
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


def decode_sync_request(content: bytes) -> SyncRequest:
    """Decode a request; records that cannot be used are left out.

    Raises:
        MalformedInputError: The content is no request, or the record of the
            sender cannot be used.
    """
    subject = 'request of a table sync'
    request: SyncRequest = decode_json(content, subject, SyncRequest)
    with convert_malformed(subject):
        check_record(request['sender'])
    request['members'] = keep_usable(request['members'])
    return request


def decode_sync_reply(content: bytes) -> SyncReply:
    """Decode a reply; records that cannot be used are left out.

    Raises:
        MalformedInputError: The content is no reply.
    """
    reply: SyncReply = decode_json(content, 'reply of a table sync', SyncReply)
    about_sender = reply['about_sender']
    if about_sender is not None and not is_usable_record(about_sender):
        reply['about_sender'] = None
    reply['members'] = keep_usable(reply['members'])
    return reply
