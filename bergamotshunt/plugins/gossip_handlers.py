"""Handlers of the gossip task for messages of other tasks and peers."""

from collections import Counter
from typing import Any, Final

from msgspec.json import encode

from bergamotshunt.decisions.membership import era_stride
from bergamotshunt.decisions.table_sync import create_sync_reply
from bergamotshunt.kernel import MessageBus
from bergamotshunt.messages import (
    DescribeTask,
    EraChanged,
    PortBound,
    RevisionInForce,
    SeedsLearned,
    ServerStateChanged,
    SyncMembers,
)
from bergamotshunt.peers.member_sync import SYNC_PATH
from bergamotshunt.peers.members import Member, MemberStatus, ServerState
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS
from bergamotshunt.peers.sync_documents import (
    SyncReply,
    decode_sync_request,
)
from bergamotshunt.plugins.gossip import HANDLERS, GossipTask

# A status document of all 7,200 members would be about 2 MB.
MAX_LISTED_MEMBERS: Final = 500
# Seeds that the task syncs with at the same time.
MAX_SEED_SYNCS: Final = 3


@HANDLERS.on(SyncMembers)
def handle_sync(task: GossipTask, message: SyncMembers) -> SyncReply:
    """Compare the member table with a peer's."""
    reply = create_sync_reply(task.members, message.request, task.now_ms())
    task.swim.composer.add_joined_members()
    task.publish_changes()
    if not task.members.has_synced:
        # The peer may know an earlier process with this daemon's id.
        task.sync_requested.set()
    return reply


@HANDLERS.on(SeedsLearned)
def handle_seeds(task: GossipTask, message: SeedsLearned) -> None:
    """Sync with daemons of the seed lists that are no known live members.

    This lets a daemon join, and merges partitions that started apart.
    """
    task.seeds = message.peers
    unknown_peers = set(task.unknown_peers())
    found = [peer for peer in message.peers if peer in unknown_peers]
    for peer in found[:MAX_SEED_SYNCS]:
        task.spawn(task.synchronize_with(peer))


@HANDLERS.on(PortBound)
def handle_port_bound(task: GossipTask, message: PortBound) -> None:
    """Announce a port of this daemon."""
    if message.kind == 'peers':
        task.update_own_record(peers_port=message.port)


@HANDLERS.on(ServerStateChanged)
def update_server_state(task: GossipTask, message: ServerStateChanged) -> None:
    """Announce the state of the local backend server."""
    if message.server_state is not task.members.own_record.server_state:
        task.update_own_record(server_state=message.server_state)


@HANDLERS.on(EraChanged)
def update_era(task: GossipTask, message: EraChanged) -> None:
    """Announce the booking era of this daemon."""
    bookings = task.settings.bookings
    stride = era_stride(
        task.members.table.live_count,
        bookings.era_s,
        bookings.eras_kept,
    )
    task.members.announce_era(message.era, stride)
    task.publish_changes()


@HANDLERS.on(RevisionInForce)
def update_revision(task: GossipTask, message: RevisionInForce) -> None:
    """Attach this daemon's targets revision to all datagrams."""
    task.swim.composer.revision = message.revision
    task.swim.composer.confirmed_ms = task.now_ms() - message.age_ms


@HANDLERS.on(DescribeTask)
def describe(task: GossipTask, _message: DescribeTask) -> dict[str, Any]:
    """Return members and gossip statistics for the daemon's status.

    Members that are not alive or not serving are listed first.
    """
    by_id = task.members.table.by_id
    described = sorted(by_id.values(), key=is_alive_and_serving)[
        :MAX_LISTED_MEMBERS
    ]
    replaced_by = task.members.replaced_by
    now_ms = task.now_ms()
    return {
        'members': [member._asdict() for member in described],
        'membership': {
            'own': task.members.own_record._asdict(),
            'count_by_status': Counter(
                member.status.name for member in by_id.values()
            ),
            'health': task.members.degradation_score,
            'replaced_by': replaced_by and replaced_by._asdict(),
            'duplicate_ids': {
                daemon_id: {
                    'older_process_at': f'{source[0]}:{source[1]}',
                    'seen_ms_ago': int(now_ms - seen_ms),
                }
                for daemon_id, (
                    source,
                    seen_ms,
                ) in task.swim.id_conflicts_by_id.items()
            },
            'datagrams': task.udp.traffic._asdict(),
            'sync_sent_bytes': task.sync.sent_bytes,
            'sync_received_bytes': task.sync.received_bytes,
        },
    }


def is_alive_and_serving(member: Member) -> bool:
    """Return whether a member is alive and its server serves."""
    return (
        member.status is MemberStatus.ALIVE
        and member.server_state is ServerState.SERVING
    )


@PEER_ENDPOINTS.register(SYNC_PATH)
async def serve_sync(bus: MessageBus, body: bytes) -> bytes:
    """Serve a peer's request to compare member tables."""
    request = decode_sync_request(body)
    return encode(await bus.ask(SyncMembers(request)))
