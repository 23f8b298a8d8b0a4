"""Ordering of the announcements of a backend server."""

from math import inf
from typing import Final, NamedTuple

from bergamotshunt.routing import AnnouncedState, ServerEntry

# A server that runs announces itself at least twice within this time.
MAX_SILENCE_S: Final = 4.0


def is_newer_announcement(
    entry: ServerEntry, latest: ServerEntry | None
) -> bool:
    """Return whether an announcement replaces the latest one.

    A later incarnation replaces an earlier one. Within an incarnation the
    sequence number decides, since announcements can arrive late, but none
    replaces a deregistration. Two instances with the same start time cannot
    be ordered, so the one whose announcement arrives last is taken.
    """
    if latest is None:
        return True
    if entry.born_ms != latest.born_ms:
        return entry.born_ms > latest.born_ms
    if entry.instance != latest.instance:
        return True
    # Without its start time, an incarnation cannot be distinguished from the
    # next one of the same instance, which may serve again.
    if entry.born_ms and entry.state != latest.state:
        if AnnouncedState.DEREGISTERED in {entry.state, latest.state}:
            return latest.state is not AnnouncedState.DEREGISTERED
    return entry.sequence > latest.sequence


class Renumbering(NamedTuple):
    """Start time that is used in place of the announced one.

    Attributes:
        instance: Instance id of the incarnation.
        announced_ms: Start time that it announces.
        born_ms: Start time in its entry, later than that of the incarnation
            before it.
    """

    instance: str
    announced_ms: int
    born_ms: int


class LatestAnnouncement:
    """Newest announcement of the backend server on this host.

    Announcements may arrive in any order. The clock of the host may be set
    back between two starts of the server, so an incarnation with an earlier
    start time is accepted, too, once it announces itself again and again
    while the latest one is silent. Its entry gets a later start time, as
    other daemons compare entries by it.

    Attributes:
        latest: The newest announcement; None before the first.
    """

    def __init__(self) -> None:
        """Create the state before the first announcement."""
        self.latest: ServerEntry | None = None
        self._stored: ServerEntry | None = None
        self._heard_s = -inf
        self._earlier: ServerEntry | None = None
        self._renumbering: Renumbering | None = None

    def record(self, entry: ServerEntry, now_s: float) -> bool:
        """Record an announcement.

        Args:
            entry: The announcement.
            now_s: Monotonic time.

        Returns:
            Whether it is newer than the latest one.
        """
        if self._is_of_unknown_start(entry):
            return False
        entry = self._renumber(entry)
        latest = self.latest
        if is_newer_announcement(entry, latest):
            self._accept(entry, now_s)
            return True
        if latest is None or entry.born_ms >= latest.born_ms:
            return False
        return self._record_earlier(entry, latest, now_s)

    def restore(self, stored: ServerEntry, now_s: float) -> bool:
        """Record the entry that an earlier process of this daemon stored.

        A server that was ready may have ended since, so its entry is only
        kept for its deregistration.

        Returns:
            Whether the server leaves and the entry is newer than the latest
            announcement.
        """
        self._stored = stored
        return stored.is_leaving and self.record(stored, now_s)

    def record_deregistration(self, instance: str) -> bool:
        """Record the deregistration of an instance of the server.

        Returns:
            Whether the latest announcement is of this instance.
        """
        latest = self.latest or self._stored
        if latest is None or latest.instance != instance:
            return False
        self.latest = latest._replace(state=AnnouncedState.DEREGISTERED)
        return True

    def _is_of_unknown_start(self, entry: ServerEntry) -> bool:
        """Return whether an announcement lacks the start time of its server.

        A server that states it does so always, so that one without it comes
        from another writer. It cannot be told whether its server still runs.
        """
        known = self.latest or self._stored
        return known is not None and bool(known.born_ms) and not entry.born_ms

    def _accept(self, entry: ServerEntry, now_s: float) -> None:
        self.latest = entry
        self._heard_s = now_s
        self._earlier = None

    def _record_earlier(
        self, entry: ServerEntry, latest: ServerEntry, now_s: float
    ) -> bool:
        """Record an announcement of an incarnation that started earlier.

        It may have arrived late. If it says that the instance is leaving, it
        is in force until the latest incarnation announces itself again.
        """
        if self._is_running(entry, now_s):
            born_ms = latest.born_ms + 1
            self._renumbering = Renumbering(
                entry.instance, entry.born_ms, born_ms
            )
            self._accept(entry._replace(born_ms=born_ms), now_s)
            return True
        self._earlier = entry
        if not entry.is_leaving or entry.instance != latest.instance:
            return False
        if latest.is_leaving:
            return False
        self.latest = latest._replace(state=AnnouncedState.LEAVING)
        return True

    def _is_running(self, entry: ServerEntry, now_s: float) -> bool:
        """Return whether an earlier incarnation is the one that runs."""
        earlier = self._earlier
        return (
            earlier is not None
            and _incarnation_of(earlier) == _incarnation_of(entry)
            and entry.sequence > earlier.sequence
            and now_s - self._heard_s > MAX_SILENCE_S
        )

    def _renumber(self, entry: ServerEntry) -> ServerEntry:
        renumbering = self._renumbering
        if renumbering is None:
            return entry
        announced = (renumbering.instance, renumbering.announced_ms)
        if _incarnation_of(entry) != announced:
            return entry
        return entry._replace(born_ms=renumbering.born_ms)


def _incarnation_of(entry: ServerEntry) -> tuple[str, int]:
    return entry.instance, entry.born_ms
