"""Members of the fleet, derived from the entries in the store alone.

Daemons that share state need nearly the same view of the members. Reports of
other daemons reach each one at another time, so they are not used here.
"""

from collections.abc import Iterable
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.announcements import is_newer_announcement
from bergamotshunt.mesh_messages import Member, MembersChanged
from bergamotshunt.routing import ServerEntry

# Entries that lapsed while the store was unreachable, or that a restored
# store lacks, are back within 2 s.
REMOVAL_DELAY_S: Final = 3.0


class StoredEntry(NamedTuple):
    """The last entry that the store had of a host.

    Attributes:
        entry: The entry.
        removed_s: Monotonic time since which the store lacks it; infinity
            while it is stored.
    """

    entry: ServerEntry
    removed_s: float = inf


class FleetMembers:
    """Daemons beside a ready server, by the entries in the store."""

    def __init__(self) -> None:
        """Create a fleet without members."""
        self._by_ip: dict[str, StoredEntry] = {}

    def apply_stored(self, entry: ServerEntry) -> None:
        """Apply an entry of the store.

        A restored store has an earlier entry of a host for a while. It does
        not bring back a server that has left since.
        """
        known = self._by_ip.get(entry.ip)
        if known is not None and not is_newer_announcement(entry, known.entry):
            entry = known.entry
        self._by_ip[entry.ip] = StoredEntry(entry)

    def apply_removed(self, ip: str, now_s: float) -> None:
        """Apply the removal of a host's entry from the store."""
        known = self._by_ip.get(ip)
        if known is not None and known.removed_s == inf:
            self._by_ip[ip] = known._replace(removed_s=now_s)

    def apply_listing(
        self, entries: Iterable[ServerEntry], now_s: float
    ) -> None:
        """Apply a complete listing of the store."""
        ips = set()
        for entry in entries:
            ips.add(entry.ip)
            self.apply_stored(entry)
        for ip in self._by_ip.keys() - ips:
            self.apply_removed(ip, now_s)

    def expire(self, now_s: float) -> None:
        """Remove hosts whose entry has been gone for the delay."""
        self._by_ip = {
            ip: known
            for ip, known in self._by_ip.items()
            if now_s - known.removed_s < REMOVAL_DELAY_S
        }

    def members(self) -> frozenset[Member]:
        """Return the members; a server that leaves is none at once."""
        return frozenset(
            Member(ip, known.entry.zone)
            for ip, known in self._by_ip.items()
            if not known.entry.is_leaving
        )


class MemberPublication:
    """Decides when the members of the fleet are published."""

    def __init__(self) -> None:
        """Create the state before the first publication."""
        self._is_own_read = False
        self._own_since_s: float | None = None
        self._published: frozenset[Member] | None = None

    def record_own(self, since_s: float | None) -> None:
        """Record what the store had of this host at the first read.

        Once members were published without it, it stays unknown: owners of
        shared state have already acted on that.

        Args:
            since_s: Boot time since which it has been a member; None when
                unknown.
        """
        if not self._is_own_read:
            self._is_own_read = True
            self._own_since_s = since_s

    def take_changed(
        self, members: frozenset[Member], *, wait: bool
    ) -> MembersChanged | None:
        """Return what is to be published; None if nothing has changed.

        Args:
            members: The current members.
            wait: Whether to wait for the first read of the own entry.
        """
        if wait and not self._is_own_read:
            return None
        self._is_own_read = True
        if members == self._published:
            return None
        self._published = members
        return MembersChanged(members, self._own_since_s)
