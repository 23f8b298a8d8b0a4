"""Client of the anti-entropy sync of member tables between two daemons."""

from collections.abc import Callable
from random import Random
from typing import Final

from msgspec.json import encode
from returns.result import Failure, Success

from bergamotshunt.decisions.member_table import BUCKET_COUNT
from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.table_sync import (
    MAX_RECORDS,
    apply_sync_reply,
    create_sync_request,
)
from bergamotshunt.decoding import MalformedInputError
from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.log import log_event
from bergamotshunt.peers.members import Member
from bergamotshunt.peers.sync_documents import (
    SyncReply,
    SyncRequest,
    decode_sync_reply,
)

SYNC_PATH: Final = '/bergamotshunt/sync'
CONNECTIONS_PER_PEER: Final = 2
SYNC_TIMEOUT_MS: Final = 5000
# Limit for the pages of records in one sync; a full table of 7,200 members
# takes four.
MAX_PAGES: Final = 32
# After a network partition has healed, hundreds of members respond again at
# once. One sync brings the records of most of them.
MIN_RECOVERY_SYNC_INTERVAL_MS: Final = 10_000
BASE_BACKOFF_S: Final = 1
MAX_BACKOFF_S: Final = 30
FIRST_SYNC_PAUSE_S: Final = 4
# Bounds the exponent, because the number of syncs grows without limit.
MAX_DOUBLINGS: Final = 16


class SyncClient:
    """Synchronizes the member table of one daemon with peers.

    Args:
        members: Membership state of this daemon.
        now_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        members: Membership,
        now_ms: Callable[[], float],
    ) -> None:
        """Create the client; ``open`` creates its HTTP client."""
        self.members = members
        self.now_ms = now_ms
        self.last_recovery_sync_ms = -float(MIN_RECOVERY_SYNC_INTERVAL_MS)
        self.completed_syncs = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def open(self) -> None:
        """Create the HTTP client; a running event loop is needed."""
        self.http_client = HttpClient(CONNECTIONS_PER_PEER)

    async def close(self) -> None:
        """Close the connections."""
        await self.http_client.close()

    def address_of(self, daemon_id: str) -> str:
        """Return the peers port of a known member as ``IP:port``."""
        member = self.members.table.by_id[daemon_id]
        return f'{member.ip}:{member.peers_port}'

    def may_sync_with_recovered(self, now_ms: float) -> bool:
        """Return whether to sync with a member that responds again.

        Allows one such sync per ``MIN_RECOVERY_SYNC_INTERVAL_MS``.
        """
        if now_ms - self.last_recovery_sync_ms < MIN_RECOVERY_SYNC_INTERVAL_MS:
            return False
        self.last_recovery_sync_ms = now_ms
        return True

    def pause_s(
        self, failed_syncs: int, interval_s: float, rng: Random
    ) -> float:
        """Return the time until the next sync in seconds.

        The first syncs after a start follow each other faster, because
        daemons that start at the same moment may miss each other's updates.

        Args:
            failed_syncs: Number of consecutive failed syncs.
            interval_s: Time between successful syncs.
            rng: Random source; the jitter keeps daemons that started
                together from contacting the same peer together.
        """
        if failed_syncs:
            max_pause_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**failed_syncs)
            return max_pause_s * rng.uniform(0.5, 1)
        startup_pause_s = FIRST_SYNC_PAUSE_S * 2 ** min(
            self.completed_syncs, MAX_DOUBLINGS
        )
        self.completed_syncs += 1
        return min(startup_pause_s, interval_s) * rng.uniform(0.5, 1.5)

    async def synchronize_with(self, peer: str) -> str | None:
        """Synchronize the member table with a peer (``IP:port``).

        Returns:
            The daemon id of the peer, or None when it did not respond.
        """
        is_joining = self.members.table.live_count <= 1
        bucket = 0
        pages = 0
        responder = None
        while bucket < BUCKET_COUNT and pages < MAX_PAGES:
            pages += 1
            request = create_sync_request(self.members, bucket)
            reply = await self.send_request(peer, request)
            if reply is None:
                return None
            requested = apply_sync_reply(
                self.members,
                reply,
                self.now_ms(),
                is_joining=is_joining,
            )
            await self.send_records(peer, requested)
            bucket = reply['next_bucket']
            responder = reply['responder']
        return responder

    async def send_records(self, peer: str, records: list[Member]) -> None:
        """Send the records that a peer requested, in pages."""
        while records:
            page = records[:MAX_RECORDS]
            records = records[MAX_RECORDS:]
            await self.send_request(
                peer, create_sync_request(self.members, records=page)
            )

    async def send_request(
        self, peer: str, request: SyncRequest
    ) -> SyncReply | None:
        """Send one request of a sync; return None when it failed."""
        body = encode(request)
        self.sent_bytes += len(body)
        url = f'http://{peer}{SYNC_PATH}'
        outcome = await self.http_client.send(
            HttpRequest('POST', url, {}, body, SYNC_TIMEOUT_MS),
        )
        match outcome:
            case Success(response) if response.status == 200:
                self.received_bytes += len(response.body)
                return read_reply(response.body, peer)
            case Failure(failure):
                log_event(
                    'gossip:sync-failed',
                    level='debug',
                    peer=peer,
                    detail=failure.detail,
                )
        return None


def read_reply(body: bytes, peer: str) -> SyncReply | None:
    """Decode a reply; log it and return None when it is malformed."""
    try:
        return decode_sync_reply(body)
    except MalformedInputError as error:
        log_event('gossip:sync-malformed', peer=peer, detail=str(error))
        return None
