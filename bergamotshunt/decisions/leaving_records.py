"""Leaving servers that daemons remember for the daemons of other hosts.

A daemon that acknowledges that its server leaves is bound by that after a
restart, too. It keeps nothing itself, and the store may be unreachable just
then or lose its last writes, so that a few other daemons, the witnesses,
remember it as well.
"""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh64_intdigest

from bergamotshunt.decisions.announcements import is_newer_announcement
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.routing import ServerEntry

# Two may stop, or be missing in the view of the next process.
WITNESS_COUNT: Final = 3
# A leaving server may serve on for many seconds; as long as its entry in the
# store would last.
RETENTION_S: Final = 30.0


class LeavingRecords:
    """Entries of leaving servers, by the address of their host."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_ip: dict[str, tuple[ServerEntry, float]] = {}

    def record(self, entry: ServerEntry, now_s: float) -> None:
        """Record the entry of a leaving server unless a newer one is known.

        Args:
            entry: Its entry.
            now_s: Monotonic time.
        """
        known = self.find(entry.ip, now_s)
        if known is None or not is_newer_announcement(known, entry):
            self._by_ip[entry.ip] = (entry, now_s + RETENTION_S)

    def find(self, ip: str, now_s: float) -> ServerEntry | None:
        """Return the entry of a host; None without one."""
        self._by_ip = {
            known_ip: record
            for known_ip, record in self._by_ip.items()
            if record[1] > now_s
        }
        record = self._by_ip.get(ip)
        return None if record is None else record[0]


def choose_witnesses(
    own_ip: str, peers: Iterable[FeedPeer]
) -> tuple[FeedPeer, ...]:
    """Choose the daemons that remember what a host's daemon acknowledges.

    Rendezvous hashing: the next process on the host chooses the same ones,
    but for those that have joined or left since.
    """
    others = {peer for peer in peers if peer.ip != own_ip}
    ranked = sorted(
        others,
        key=lambda peer: xxh64_intdigest(
            f'witness {own_ip} {peer.ip}'.encode()
        ),
    )
    return tuple(ranked[:WITNESS_COUNT])


def newest_entry(
    entries: Iterable[ServerEntry | None],
) -> ServerEntry | None:
    """Return the newest of several entries of one host."""
    newest: ServerEntry | None = None
    for entry in entries:
        if entry is not None and is_newer_announcement(entry, newest):
            newest = entry
    return newest
