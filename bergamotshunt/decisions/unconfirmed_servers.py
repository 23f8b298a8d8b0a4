"""Announcements of a server that may have left, held until it is sure to run.

A new process that can't learn what the one before it acknowledged may get an
announcement from before a deregistration. Such a one is single and late; a
server that runs announces itself again and again.
"""

from typing import Final

from bergamotshunt.decisions.announcements import MAX_SILENCE_S
from bergamotshunt.routing import ServerEntry

# Announcements that were delayed together arrive closer to each other.
MIN_SPACING_S: Final = 0.5


class UnconfirmedServer:
    """Holds back the first announcement of a server that may have left."""

    def __init__(self) -> None:
        """Create the state before the first announcement."""
        self._held: ServerEntry | None = None
        self._held_since_s: float = 0
        self._deregistered_instances: set[str] = set()

    def record_deregistration(self, instance: str) -> None:
        """Record that an instance left of which nothing else is known."""
        self._deregistered_instances.add(instance)
        held = self._held
        if held is not None and held.instance == instance:
            self._held = None

    def is_deregistered(self, instance: str) -> bool:
        """Return whether an instance left of which nothing else was known."""
        return instance in self._deregistered_instances

    def confirm(self, entry: ServerEntry, now_s: float) -> bool:
        """Hold an announcement, or confirm the one before it.

        Args:
            entry: The announcement of a server that is ready.
            now_s: Monotonic time.

        Returns:
            Whether the server runs: it has announced itself twice.
        """
        held = self._held
        if held is None or _incarnation_of(held) != _incarnation_of(entry):
            self._held = entry
            self._held_since_s = now_s
            return False
        is_later = entry.sequence > held.sequence
        if not is_later or now_s - self._held_since_s < MIN_SPACING_S:
            return False
        self._held = None
        self._deregistered_instances.discard(entry.instance)
        return True

    def find_held(self, now_s: float) -> ServerEntry | None:
        """Return the held announcement if it may be of a server that runs.

        That of an instance that was deregistered is not, nor one that no
        other has followed for long.

        Args:
            now_s: Monotonic time.
        """
        held = self._held
        if held is None or self.is_deregistered(held.instance):
            return None
        return None if self.is_outdated(held, now_s) else held

    def is_outdated(self, entry: ServerEntry, now_s: float) -> bool:
        """Return whether an entry was held, and no other has followed.

        Args:
            entry: An entry of the server.
            now_s: Monotonic time.
        """
        held = self._held
        if held is None or _incarnation_of(held) != _incarnation_of(entry):
            return False
        return now_s - self._held_since_s > MAX_SILENCE_S

    def take_held(self, now_s: float) -> ServerEntry | None:
        """Return the held announcement, once nothing speaks against it.

        Args:
            now_s: Monotonic time.
        """
        held = self.find_held(now_s)
        if held is not None:
            self._held = None
        return held


def _incarnation_of(entry: ServerEntry) -> tuple[str, int]:
    return entry.instance, entry.born_ms
