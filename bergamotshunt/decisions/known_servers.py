"""Backend servers that a daemon knows, from the store and from peers."""

from collections.abc import Iterable
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.announcements import is_newer_announcement
from bergamotshunt.routing import ServerEntry

# Entries that expired while the store was unreachable are written again
# within this time after it is back.
EXPIRY_GRACE_S: Final = 2.5
# A server counts as alive for this time after a report of its daemon, even
# without an entry in the store.
REPORT_LIFETIME_S: Final = 3.5


class KnownServer(NamedTuple):
    """A backend server and the sources that confirm it.

    Attributes:
        entry: Its newest announcement.
        stored: Whether the store has an entry of it.
        expired_s: Monotonic time since which the store has no entry.
        reported_s: Monotonic time of the last report of its daemon.
    """

    entry: ServerEntry
    stored: bool
    expired_s: float
    reported_s: float = -inf


class KnownServers:
    """Known backend servers, one per host."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_ip: dict[str, KnownServer] = {}

    def apply_stored(self, entry: ServerEntry, now_s: float) -> None:
        """Apply an entry of the store."""
        known = self._by_ip.get(entry.ip)
        if known is not None and is_newer_announcement(known.entry, entry):
            # A peer has reported a later announcement than the store's.
            self._by_ip[entry.ip] = known._replace(stored=True)
            return
        reported_s = -inf if known is None else known.reported_s
        self._by_ip[entry.ip] = KnownServer(entry, True, now_s, reported_s)

    def apply_removed(self, ip: str, now_s: float) -> None:
        """Apply the removal of a host's entry from the store."""
        known = self._by_ip.get(ip)
        if known is not None and known.stored:
            self._by_ip[ip] = known._replace(stored=False, expired_s=now_s)

    def apply_listing(
        self,
        entries: Iterable[ServerEntry],
        now_s: float,
    ) -> None:
        """Apply a complete listing of the store."""
        ips = set()
        for entry in entries:
            ips.add(entry.ip)
            self.apply_stored(entry, now_s)
        for ip in self._by_ip.keys() - ips:
            self.apply_removed(ip, now_s)

    def apply_report(self, entry: ServerEntry, now_s: float) -> None:
        """Apply an announcement that a server's daemon sent itself."""
        known = self._by_ip.get(entry.ip)
        if known is None:
            known = KnownServer(entry, False, now_s)
        elif is_newer_announcement(entry, known.entry):
            known = known._replace(entry=entry)
        self._by_ip[entry.ip] = known._replace(reported_s=now_s)

    def expire(self, now_s: float) -> None:
        """Drop servers that neither the store nor their daemon confirms."""
        self._by_ip = {
            ip: known
            for ip, known in self._by_ip.items()
            if known.stored or _is_retained(known, now_s)
        }

    def stored_entries(self) -> tuple[ServerEntry, ...]:
        """Return the servers with an entry in the store."""
        return tuple(
            known.entry for known in self._by_ip.values() if known.stored
        )

    def servers_by_instance(self) -> dict[str, ServerEntry]:
        """Return the servers by instance id."""
        return {
            known.entry.instance: known.entry for known in self._by_ip.values()
        }


def _is_retained(known: KnownServer, now_s: float) -> bool:
    is_expired = now_s - known.expired_s > EXPIRY_GRACE_S
    is_silent = now_s - known.reported_s > REPORT_LIFETIME_S
    return not (is_expired and is_silent)
