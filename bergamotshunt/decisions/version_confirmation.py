"""When the configuration in force was last known to be the newest."""


class VersionConfirmation:
    """Confirmation of the version in force; times are boot time in seconds."""

    def __init__(self) -> None:
        """Create the state of a daemon without a configuration."""
        self._version = 0
        self._confirmed_s: float | None = None

    def put_in_force(self, version: int) -> None:
        """Replace the version in force.

        The confirmation of an older version stays valid for a newer one: what
        replaces the newer one was written even later after that moment.
        """
        if version < self._version:
            self._confirmed_s = None
        self._version = version

    def confirm(self, version: int, confirmed_s: float, now_s: float) -> None:
        """Record that a version was the newest at a moment.

        Confirmations of other versions are ignored: that of an older one may
        come from a store that has lost newer ones.
        """
        if version != self._version:
            return
        known_s = self._confirmed_s
        if known_s is None or confirmed_s > known_s:
            self._confirmed_s = min(confirmed_s, now_s)

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the confirmation; None for never."""
        if self._confirmed_s is None:
            return None
        return now_s - self._confirmed_s
