"""Availability zones that the operator evacuates."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from bergamotshunt.stored_items import StorePosition

# A restored store may lack the key of an evacuated zone until the operator
# writes it again. Without a limit, a zone whose key was removed shortly
# before the restore would never be used again.
RETENTION_S: Final = 20.0


class RetainedZone(NamedTuple):
    """A zone that was evacuated before the store was restored.

    Attributes:
        zone: Name of the zone.
        left_s: Time for which it counts as evacuated, in seconds.
    """

    zone: str
    left_s: float


class Evacuations(NamedTuple):
    """Evacuated zones, as one daemon tells another.

    Attributes:
        position: Position of the store at which these were the zones.
        zones: Zones that have a key in the store.
        retained: Further zones that had one before the store was restored.
    """

    position: StorePosition
    zones: tuple[str, ...] = ()
    retained: tuple[RetainedZone, ...] = ()


class KnownEvacuations:
    """Newest known evacuations; updates may be lost, late or out of order.

    Attributes:
        position: Position of the store at which they were read; zero before.
    """

    def __init__(self) -> None:
        """Create the state of a daemon that knows none."""
        self.position = StorePosition()
        self._zones: frozenset[str] = frozenset()
        # Zones that had a key in the current era: their keys decide.
        self._seen_zones: frozenset[str] = frozenset()
        self._expiry_s_by_retained: dict[str, float] = {}

    @property
    def zones(self) -> frozenset[str]:
        """All zones whose backend servers must get no new request."""
        return self._zones | self._expiry_s_by_retained.keys()

    def apply(self, evacuations: Evacuations, now_s: float) -> None:
        """Apply what the store or a peer tells, unless it is older.

        Args:
            evacuations: The zones.
            now_s: Monotonic time.
        """
        position = evacuations.position
        if position.era > self.position.era:
            self._retain(self.zones, now_s)
        if position > self.position:
            self.position = position
            self._zones = frozenset(evacuations.zones)
            self._seen_zones |= self._zones
        if position.era == self.position.era:
            self._retain_reported(evacuations.retained, now_s)
        for zone in self._seen_zones:
            self._expiry_s_by_retained.pop(zone, None)

    def expire(self, now_s: float) -> None:
        """Release zones whose key is missing since the store was restored."""
        self._expiry_s_by_retained = {
            zone: expiry_s
            for zone, expiry_s in self._expiry_s_by_retained.items()
            if now_s < expiry_s
        }

    def describe(self, now_s: float) -> Evacuations:
        """Return what to tell a peer."""
        retained = tuple(
            RetainedZone(zone, expiry_s - now_s)
            for zone, expiry_s in sorted(self._expiry_s_by_retained.items())
            if expiry_s > now_s
        )
        return Evacuations(self.position, tuple(sorted(self._zones)), retained)

    def _retain(self, zones: Iterable[str], now_s: float) -> None:
        self._seen_zones = frozenset()
        expiry_s = now_s + RETENTION_S
        self._expiry_s_by_retained = dict.fromkeys(zones, expiry_s)

    def _retain_reported(
        self, retained: Iterable[RetainedZone], now_s: float
    ) -> None:
        for zone, left_s in retained:
            if left_s > 0:
                expiry_s = now_s + min(left_s, RETENTION_S)
                self._expiry_s_by_retained.setdefault(zone, expiry_s)
