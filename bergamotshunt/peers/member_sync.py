"""Client of the exchange of member tables between two daemons."""

from collections.abc import Callable
from random import Random
from typing import Final

from msgspec import DecodeError
from msgspec.json import Decoder, encode
from returns.result import Failure, Success

from bergamotshunt.decisions.exchange import (
    MAX_RECORDS,
    create_request,
    take_reply,
)
from bergamotshunt.decisions.member_table import BUCKETS
from bergamotshunt.decisions.membership import Membership
from bergamotshunt.http.transport import HttpRequest, HttpClient
from bergamotshunt.log import log_event
from bergamotshunt.peers.members import Member
from bergamotshunt.peers.sync_documents import SyncReply, SyncRequest

SYNC_PATH: Final = '/bergamotshunt/sync'
CONNECTIONS_PER_PEER: Final = 2
SYNC_TIMEOUT_MS: Final = 5000
# Pages of records in one exchange; a full table of 7,200 takes four.
MAX_PAGES: Final = 32
# Members of a healed part of the fleet answer by hundreds; one exchange
# brings the news of most of them.
MIN_RECOVERY_SYNC_INTERVAL_MS: Final = 10_000
BASE_RETRY_S: Final = 1
MAX_RETRY_S: Final = 30
FIRST_SYNC_PAUSE_S: Final = 4
MAX_DOUBLINGS: Final = 16
REPLY_DECODER: Final = Decoder(SyncReply)


class SyncClient:
    """Exchanges the table of one daemon with peers.

    Args:
        members: What this daemon knows.
        now_ms: Monotonic time.
    """

    def __init__(
        self,
        members: Membership,
        now_ms: Callable[[], float],
    ) -> None:
        """Create the client; ``open`` creates its connections."""
        self.members = members
        self.now_ms = now_ms
        self.recovery_sync_ms = -float(MIN_RECOVERY_SYNC_INTERVAL_MS)
        self.rounds = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    def open(self) -> None:
        """Create the session; a running event loop is needed."""
        self.sender = HttpClient(CONNECTIONS_PER_PEER)

    async def close(self) -> None:
        """Close the connections."""
        await self.sender.close()

    def address_of(self, daemon_id: str) -> str:
        """Return the peers port of a known member as ``IP:port``."""
        member = self.members.table.by_id[daemon_id]
        return f'{member.ip}:{member.peers_port}'

    def may_sync_with_recovered(self, now_ms: float) -> bool:
        """Return whether to exchange tables with a member that woke up."""
        if now_ms - self.recovery_sync_ms < MIN_RECOVERY_SYNC_INTERVAL_MS:
            return False
        self.recovery_sync_ms = now_ms
        return True

    def pause_s(self, attempt: int, interval_s: float, rng: Random) -> float:
        """Return the time until the next exchange.

        The first exchanges after a start follow each other faster: news of
        daemons that start at the same moment may miss each other.

        Args:
            attempt: Exchanges that failed in a row.
            interval_s: Time between exchanges that succeed.
            rng: Random source; the jitter keeps daemons that started
                together from asking the same peer together.
        """
        if attempt:
            longest_s = min(MAX_RETRY_S, BASE_RETRY_S * 2**attempt)
            return longest_s * rng.uniform(0.5, 1)
        early_s = FIRST_SYNC_PAUSE_S * 2 ** min(self.rounds, MAX_DOUBLINGS)
        self.rounds += 1
        return min(early_s, interval_s) * rng.uniform(0.5, 1.5)

    async def synchronize_with(self, peer: str) -> str | None:
        """Exchange tables with a peer (``IP:port``).

        Returns:
            The daemon id of the peer, or None when it did not answer.
        """
        is_joining = self.members.table.live_count <= 1
        bucket = 0
        pages = 0
        responder = None
        while bucket < BUCKETS and pages < MAX_PAGES:
            pages += 1
            request = create_request(self.members, bucket)
            reply = await self.send_request(peer, request)
            if reply is None:
                return None
            requested = take_reply(
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
        """Send the records that a peer lacks, in pages."""
        while records:
            page = records[:MAX_RECORDS]
            records = records[MAX_RECORDS:]
            await self.send_request(
                peer, create_request(self.members, records=page)
            )

    async def send_request(
        self, peer: str, request: SyncRequest
    ) -> SyncReply | None:
        """Send one request of an exchange."""
        body = encode(request)
        self.sent_bytes += len(body)
        url = f'http://{peer}{SYNC_PATH}'
        outcome = await self.sender.send(
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
    """Decode a reply; None when it is malformed."""
    try:
        return REPLY_DECODER.decode(body)
    except DecodeError as error:
        log_event('gossip:sync-malformed', peer=peer, detail=str(error))
        return None
