"""Eras of the store: each restore from a copy starts a new one.

What was written shortly before a restore is lost, and revisions are given out
again. The writers of the lost items write them again, some time later.
"""

from math import inf
from typing import Final

# Until then, a version that was acknowledged and lost has been written again,
# or the confirmation of the version before has expired.
SETTLING_S: Final = 2.0
# Half of the write calls that the store allows per second, as the owners of
# other data write as well.
REWRITES_PER_S: Final = 600
# A lease and an entry.
WRITES_PER_ENTRY: Final = 2
# Entries have to be back before their hosts count as gone.
MIN_WINDOW_S: Final = 1.0


class EraClock:
    """Knows since when the current era has been seen.

    Attributes:
        era: Latest era that was seen.
    """

    def __init__(self) -> None:
        """Create the state of a daemon that has seen no restore."""
        self.era = 0
        self._seen_s = -inf

    def record(self, era: int, now_s: float) -> None:
        """Record an era that a response or a peer stated.

        A process that starts cannot know how long its first era has lasted.
        """
        if era > self.era:
            self.era = era
            self._seen_s = now_s

    def is_settled(self, sent_s: float) -> bool:
        """Return whether a read tells what is the newest.

        Args:
            sent_s: Time at which the read was sent.
        """
        return sent_s >= self._seen_s + SETTLING_S


def rewrite_window_s(entry_count: int) -> float:
    """Return the time over which owners spread their writes after a restore.

    Args:
        entry_count: Number of entries in the store.
    """
    return max(entry_count * WRITES_PER_ENTRY / REWRITES_PER_S, MIN_WINDOW_S)
