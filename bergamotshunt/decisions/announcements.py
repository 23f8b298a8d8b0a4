"""Ordering of the announcements of a backend server."""

from bergamotshunt.routing import AnnouncedState, ServerEntry


def is_newer_announcement(
    entry: ServerEntry, latest: ServerEntry | None
) -> bool:
    """Return whether an announcement replaces the latest one.

    A later incarnation replaces an earlier one. Within an incarnation the
    sequence number decides, since announcements can arrive late. Two
    instances with the same start time cannot be ordered, so the one whose
    announcement arrives last is taken.
    """
    if latest is None:
        return True
    if entry.born_ms != latest.born_ms:
        return entry.born_ms > latest.born_ms
    if entry.instance != latest.instance:
        return True
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
        self._deregistered_incarnation: tuple[str, int] | None = None

    def record(self, entry: ServerEntry) -> bool:
        """Record an announcement.

        An announcement that was sent before the deregistration of its
        incarnation may arrive after it; it does not revive the incarnation.

        Returns:
            Whether it is newer than the latest one.
        """
        incarnation = (entry.instance, entry.born_ms)
        if (
            incarnation == self._deregistered_incarnation
            and entry.state is AnnouncedState.READY
        ):
            return False
        if not is_newer_announcement(entry, self.latest):
            return False
        self.latest = entry
        return True

    def record_deregistration(self, instance: str) -> bool:
        """Record the deregistration of an instance of the server.

        Returns:
            Whether the latest announcement is of this instance.
        """
        latest = self.latest
        if latest is None or latest.instance != instance:
            return False
        # Without its start time, an incarnation cannot be distinguished
        # from the next one of the same instance.
        if latest.born_ms:
            self._deregistered_incarnation = (latest.instance, latest.born_ms)
        self.latest = latest._replace(state=AnnouncedState.LEAVING)
        return True
