"""Ordering of the announcements of a backend server."""

from bergamotshunt.routing import AnnouncedState, ServerEntry


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


class LatestAnnouncement:
    """Newest announcement of the backend server on this host.

    Announcements may arrive in any order.

    Attributes:
        latest: The newest announcement; None before the first.
    """

    def __init__(self) -> None:
        """Create the state before the first announcement."""
        self.latest: ServerEntry | None = None
        self._stored: ServerEntry | None = None

    def record(self, entry: ServerEntry) -> bool:
        """Record an announcement.

        Returns:
            Whether it is newer than the latest one.
        """
        if not is_newer_announcement(entry, self.latest):
            return False
        self.latest = entry
        return True

    def restore(self, stored: ServerEntry) -> bool:
        """Record the entry that an earlier process of this daemon stored.

        A server that was ready may have ended since, so its entry is only
        kept for its deregistration.

        Returns:
            Whether the server leaves and the entry is newer than the latest
            announcement.
        """
        self._stored = stored
        return stored.is_leaving and self.record(stored)

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
