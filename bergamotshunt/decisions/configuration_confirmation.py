"""When the configuration in force was last known to be the newest one.

All times are boot times, as a confirmation also ages while the process or its
host is suspended. A confirmation counts from the moment at which the read of
the store was sent that started its chain.
"""

from math import inf
from typing import Final, NamedTuple

from bergamotshunt.stored_items import StorePosition

# A daemon that reads the store compares its version this often.
CONFIRM_INTERVAL_S: Final = 0.5
# In steady state, a confirmation is at most 1.2 s old when it arrives at the
# last daemon of a chain; with an older one, contact has been lost.
STALE_CONFIRMATION_S: Final = 1.5
# Smaller gains are not worth an answer before the end of the wait; without a
# limit, two daemons with stale confirmations would exchange them ceaselessly.
MIN_GAIN_S: Final = 0.25


class Confirmation(NamedTuple):
    """A version of the configuration was the newest at a moment.

    Attributes:
        version: The version.
        confirmed_s: Boot time at which the confirming read was sent.
        position: Era and revision of its item; revision 0 when unknown.
    """

    version: int
    confirmed_s: float
    position: StorePosition = StorePosition()


class StoredVersion(NamedTuple):
    """What is known of the item of the configuration in the store.

    Attributes:
        position: Era and revision of the item; revision 0 when unknown or
            without an item.
        version: Version of the configuration; None when its document is not
            readable, or unknown.
    """

    position: StorePosition = StorePosition()
    version: int | None = None


class ConfigurationConfirmation:
    """Newest confirmation of the version in force.

    Attributes:
        version: Version in force; 0 without one.
        confirmed_s: Boot time of its confirmation; minus infinity for none.
    """

    def __init__(self) -> None:
        """Create the state of a daemon without a configuration."""
        self.version = 0
        self.confirmed_s = -inf
        # A version may be confirmed before it is in force here.
        self._newer: Confirmation | None = None

    def apply_version(self, version: int) -> bool:
        """Record the version that is in force from now on.

        Returns:
            Whether it has been confirmed before.
        """
        self.version = version
        self.confirmed_s = -inf
        newer = self._newer
        self._newer = None
        return newer is not None and self.record(newer)

    def record(self, confirmation: Confirmation) -> bool:
        """Record a confirmation of any version.

        One of an older version says nothing of the version in force.

        Returns:
            Whether the version in force is confirmed for a later moment than
            before.
        """
        if confirmation.version > self.version:
            self._record_newer(confirmation)
            return False
        if confirmation.version < self.version:
            return False
        if confirmation.confirmed_s <= self.confirmed_s:
            return False
        self.confirmed_s = confirmation.confirmed_s
        return True

    def record_unreadable(self, confirmed_s: float) -> bool:
        """Record that the newest document in the store is not readable.

        The version in force remains the newest configuration, if it was
        confirmed so shortly before that no daemon can have missed another.

        Returns:
            Whether it is confirmed for a later moment than before.
        """
        if confirmed_s - self.confirmed_s > STALE_CONFIRMATION_S:
            return False
        return self.record(Confirmation(self.version, confirmed_s))

    def age_s(self, now_s: float) -> float:
        """Return the age of the confirmation; infinite without one."""
        return now_s - self.confirmed_s

    def _record_newer(self, confirmation: Confirmation) -> None:
        if self._newer is None or self._newer < confirmation:
            self._newer = confirmation


def confirmed_by_peer_s(asked_s: float, held_s: float, age_s: float) -> float:
    """Return the time of a confirmation that a peer passed on.

    The peer stated the age after it had held the request, and the request
    reached it after it had been sent. So the result is never too late, no
    matter how long the request and the response took.

    Args:
        asked_s: Boot time here when the peer was asked.
        held_s: Time for which the peer held the request.
        age_s: Age of the confirmation when the peer answered.
    """
    return asked_s + max(held_s, 0) - max(age_s, 0)


def is_wanted_at_once(own_age_s: float, peer_age_s: float) -> bool:
    """Return whether a peer should answer at once with its confirmation.

    Args:
        own_age_s: Age of the confirmation of the daemon that asks.
        peer_age_s: Age of the confirmation at the peer.
    """
    is_fresher = own_age_s - peer_age_s >= MIN_GAIN_S
    return own_age_s > STALE_CONFIRMATION_S and is_fresher
