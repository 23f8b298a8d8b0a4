"""Which announcement of a backend server is the newest."""

from bergamotshunt.routing import ServerEntry, ServerState


def is_newer(entry: ServerEntry, latest: ServerEntry | None) -> bool:
    """Return whether an announcement replaces what is known.

    A lifetime replaces an earlier one; within a lifetime the sequence
    decides, since announcements can arrive late.
    """
    if latest is None:
        return True
    if entry.born_ms != latest.born_ms:
        return entry.born_ms > latest.born_ms
    if entry.instance != latest.instance:
        return True
    return entry.sequence > latest.sequence


class LatestAnnouncement:
    """What the backend server on a host said of itself, in any order.

    Attributes:
        known: Its newest announcement; None before.
    """

    def __init__(self) -> None:
        """Create announcements of a server that was not heard."""
        self.latest: ServerEntry | None = None
        self._ended_incarnation: tuple[str, int] | None = None

    def record(self, entry: ServerEntry) -> bool:
        """Take over an announcement.

        One that was sent before the end of its lifetime may arrive after
        it, and doesn't bring the lifetime back.

        Returns:
            Whether it is newer than what was known.
        """
        incarnation = (entry.instance, entry.born_ms)
        if (
            incarnation == self._ended_incarnation
            and entry.state is ServerState.READY
        ):
            return False
        if not is_newer(entry, self.latest):
            return False
        self.latest = entry
        return True

    def record_shutdown(self, instance: str) -> bool:
        """Take over that a server ends its lifetime.

        Returns:
            Whether it is the lifetime that is known.
        """
        latest = self.latest
        if latest is None or latest.instance != instance:
            return False
        # Without its begin a lifetime can't be told from the next one.
        if latest.born_ms:
            self._ended_incarnation = (latest.instance, latest.born_ms)
        self.latest = latest._replace(state=ServerState.LEAVING)
        return True
