"""Anti-entropy sync: comparison of two member tables bucket by bucket.

Two daemons exchange digests (about 3 KB) and then only the records of the
buckets that differ, so that equal tables cost the same at any size.
"""

from collections.abc import Collection
from typing import Final

from bergamotshunt.decisions.member_table import (
    BUCKET_COUNT,
    MemberTable,
    bucket_of,
)
from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.membership_updates import apply_record
from bergamotshunt.peers.members import Member, is_newer
from bergamotshunt.peers.sync_documents import SyncReply, SyncRequest

# Page size: about 350 KB of JSON, encoded in about a millisecond.
MAX_RECORDS: Final = 2000


def create_sync_request(
    members: Membership,
    first_bucket: int = 0,
    records: Collection[Member] = (),
) -> SyncRequest:
    """Return a request that compares tables or delivers records.

    Args:
        members: Membership state of this daemon.
        first_bucket: First bucket to compare, for later pages.
        records: Records to deliver; no tables are compared then.
    """
    return SyncRequest(
        sender=members.own_record,
        digests=[] if records else list(members.table.digests),
        first_bucket=first_bucket,
        members=list(records),
    )


def create_sync_reply(
    members: Membership,
    request: SyncRequest,
    now_ms: float,
) -> SyncReply:
    """Apply a peer's records and return the records that differ."""
    sender = request['sender']
    apply_record(members, sender, now_ms)
    for record in request['members']:
        apply_record(members, record, now_ms)
    differing: list[int] = []
    if len(request['digests']) == BUCKET_COUNT:
        differing = [
            bucket
            for bucket in range(max(0, request['first_bucket']), BUCKET_COUNT)
            if members.table.digests[bucket] != request['digests'][bucket]
        ]
    wanted, records = select_records(members.table, differing)
    is_complete = len(wanted) == len(differing)
    return SyncReply(
        responder=members.own_record.daemon_id,
        about_sender=members.table.by_id.get(sender.daemon_id),
        members=records,
        wanted=wanted,
        next_bucket=BUCKET_COUNT if is_complete else differing[len(wanted)],
    )


def apply_sync_reply(
    members: Membership,
    reply: SyncReply,
    now_ms: float,
    *,
    is_joining: bool = False,
) -> list[Member]:
    """Apply a peer's reply.

    Args:
        members: Membership state of this daemon.
        reply: The peer's reply.
        now_ms: Monotonic time.
        is_joining: Whether this daemon knew no other one before. The fleet
            already has the records that it receives then, so they are not
            gossiped; at 7,200 members that would be some 20 MB of
            datagrams.

    Returns:
        The records that the peer lacks.
    """
    if reply['about_sender'] is not None:
        apply_record(members, reply['about_sender'], now_ms)
    # Updates that have arrived by datagram are new and stay queued.
    kept_ids = {members.own_record.daemon_id, *members.event_queue.by_id}
    for record in reply['members']:
        apply_record(members, record, now_ms)
        if is_joining and record.daemon_id not in kept_ids:
            members.event_queue.discard(record.daemon_id)
            members.era_queue.discard(record.daemon_id)
    members.has_synced = True
    sent_by_id = {
        sent_record.daemon_id: sent_record for sent_record in reply['members']
    }
    _buckets, candidates = select_records(members.table, reply['wanted'])
    return [
        candidate
        for candidate in candidates
        if is_missing_at_peer(candidate, sent_by_id.get(candidate.daemon_id))
    ]


def is_missing_at_peer(candidate: Member, sent_record: Member | None) -> bool:
    """Return whether a peer that sent ``sent_record`` lacks the candidate."""
    return sent_record is None or is_newer(candidate, sent_record)


def select_records(
    table: MemberTable,
    buckets: Collection[int],
) -> tuple[list[int], list[Member]]:
    """Return the records of as many buckets as ``MAX_RECORDS`` allows.

    Returns:
        The buckets that are covered, and their records.
    """
    if not buckets:
        return [], []
    records_by_bucket: dict[int, list[Member]] = {
        bucket: [] for bucket in buckets
    }
    for record in table.by_id.values():
        bucket_records = records_by_bucket.get(bucket_of(record.daemon_id))
        if bucket_records is not None:
            bucket_records.append(record)
    covered: list[int] = []
    records: list[Member] = []
    for bucket, bucket_records in records_by_bucket.items():
        if covered and len(records) + len(bucket_records) > MAX_RECORDS:
            break
        covered.append(bucket)
        records += bucket_records
    return covered, records
