"""Which announcement of a backend server is the newest."""

from bergamotshunt.routing import ServerEntry, ServerState


def is_newer(entry: ServerEntry, known: ServerEntry | None) -> bool:
    """Return whether an announcement replaces what is known.

    A lifetime replaces an earlier one; within a lifetime the sequence
    decides, since announcements can arrive late.
    """
    if known is None:
        return True
    if entry.born_ms != known.born_ms:
        return entry.born_ms > known.born_ms
    if entry.instance != known.instance:
        return True
    return entry.sequence > known.sequence


class Announcements:
    """What the backend server on a host said of itself, in any order.

    Attributes:
        known: Its newest announcement; None before.
    """

    def __init__(self) -> None:
        """Create announcements of a server that was not heard."""
        self.known: ServerEntry | None = None
        self._ended: tuple[str, int] | None = None

    def note(self, entry: ServerEntry) -> bool:
        """Take over an announcement.

        One that was sent before the end of its lifetime may arrive after
        it, and doesn't bring the lifetime back.

        Returns:
            Whether it is newer than what was known.
        """
        lifetime = (entry.instance, entry.born_ms)
        if lifetime == self._ended and entry.state is ServerState.READY:
            return False
        if not is_newer(entry, self.known):
            return False
        self.known = entry
        return True

    def note_end(self, instance: str) -> bool:
        """Take over that a server ends its lifetime.

        Returns:
            Whether it is the lifetime that is known.
        """
        known = self.known
        if known is None or known.instance != instance:
            return False
        # Without its begin a lifetime can't be told from the next one.
        if known.born_ms:
            self._ended = (known.instance, known.born_ms)
        self.known = known._replace(state=ServerState.LEAVING)
        return True
