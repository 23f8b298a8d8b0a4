"""Finds out what the process before this one has acknowledged."""

from asyncio import sleep
from collections.abc import Callable, Iterator
from typing import Final

from bergamotshunt.decisions.leaving_records import RETENTION_S
from bergamotshunt.decisions.past_knowledge import PastKnowledge
from bergamotshunt.mesh_messages import StoredServerRead
from bergamotshunt.routing import ServerEntry
from bergamotshunt.store.first_peers import FirstPeers
from bergamotshunt.store.leaving_witnesses import LeavingWitnesses, NewestEntry

# While many daemons start at once, their witnesses do, too. Later, what is
# missing comes from daemons whose entries return to the store.
FIRST_INTERVAL_S: Final = 0.2
MAX_INTERVAL_S: Final = 2.0
INTERVAL_FACTOR: Final = 1.5


class PastInquiry:
    """Asks the witnesses of this host again and again until enough is known.

    Args:
        witnesses: Asks the witnesses.
        first_peers: Lists the daemons that may be witnesses.
        is_server_known: Returns whether the server of this host is known to
            run, so that nobody needs to be asked.
        publish: Takes what has been learned, whenever it is more.
    """

    def __init__(
        self,
        witnesses: LeavingWitnesses,
        first_peers: FirstPeers,
        is_server_known: Callable[[], bool],
        publish: Callable[[StoredServerRead], None],
    ) -> None:
        """Create an inquiry that has asked nobody."""
        self._witnesses = witnesses
        self._first_peers = first_peers
        self._is_server_known = is_server_known
        self._publish = publish
        self._published: StoredServerRead | None = None

    async def run(self, stored: ServerEntry | None) -> None:
        """Ask until enough is known or nobody remembers what came before.

        Args:
            stored: The entry of the server in the store; None without one.
        """
        newest = NewestEntry(stored, PastKnowledge.UNKNOWN)
        for interval_s in _list_intervals_s():
            if not self._is_server_known():
                peers = await self._first_peers.list_known()
                newest = await self._witnesses.find_newest(stored, peers)
                self._publish_more(StoredServerRead(*newest))
            if newest.past is PastKnowledge.CERTAIN:
                return
            await sleep(interval_s)
        # What was acknowledged before the start is no longer kept anywhere.
        self._publish_more(
            StoredServerRead(newest.entry, PastKnowledge.CERTAIN)
        )

    def _publish_more(self, read: StoredServerRead) -> None:
        published = self._published
        if published is not None and read.entry == published.entry:
            if read.past <= published.past:
                return
        self._published = read
        self._publish(read)


def _list_intervals_s() -> Iterator[float]:
    """Yield the times between two rounds; all together ``RETENTION_S``."""
    interval_s = FIRST_INTERVAL_S
    left_s = RETENTION_S
    while left_s > 0:
        yield interval_s
        left_s -= interval_s
        interval_s = min(interval_s * INTERVAL_FACTOR, MAX_INTERVAL_S)
