"""Keeps the confirmation that the configuration in force is the newest."""

from asyncio import Event, sleep
from collections.abc import Callable
from math import inf, isfinite
from random import Random
from typing import Any, NamedTuple

from bergamotshunt.decisions.configuration_confirmation import (
    Confirmation,
    ConfigurationConfirmation,
    StoredVersion,
)
from bergamotshunt.decisions.store_eras import EraClock
from bergamotshunt.log import log_event
from bergamotshunt.platform.store import StoreClient
from bergamotshunt.store.configuration_checks import (
    CheckObserver,
    ConfigurationChecks,
)
from bergamotshunt.stored_items import Item, KeyState, StorePosition


class ConfirmationObserver(NamedTuple):
    """Functions that a confirmation keeper calls.

    Attributes:
        on_item: Takes an item of the configuration that the store returned;
            returns its version, or None if it is not readable.
        on_confirmed: Takes each later confirmation of the version in force.
        on_failing: Called when the store ceases to answer this daemon's
            checks, and when it answers them for the first time or again.
    """

    on_item: Callable[[Item], int | None]
    on_confirmed: Callable[[Confirmation], None]
    on_failing: Callable[[bool], None]


class ConfirmationKeeper:
    """Takes confirmations from the store and from the peer that is followed.

    Args:
        store: Client of the store.
        observer: Functions that take the outcomes.
        lost_after_s: Age of a confirmation from which it counts as lost.
        boot_clock: Returns the boot time in seconds.
        rng: Random source of the intervals.

    Attributes:
        source: Where the last confirmation came from.
    """

    def __init__(
        self,
        store: StoreClient,
        observer: ConfirmationObserver,
        lost_after_s: float,
        boot_clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Create a keeper without a configuration."""
        self.source = ''
        self._observer = observer
        self._lost_after_s = lost_after_s
        self._boot_clock = boot_clock
        self._confirmation = ConfigurationConfirmation()
        self._checks = ConfigurationChecks(
            store,
            CheckObserver(
                self._handle_unchanged,
                self._handle_changed,
                observer.on_failing,
            ),
            boot_clock,
            rng,
        )
        self._era = EraClock()
        self._reading = False
        self._needed = False
        self._lost = False
        self._in_force_s = -inf
        self._log_due = Event()

    @property
    def failures(self) -> int:
        """Number of checks that the store did not answer."""
        return self._checks.failures

    @property
    def age_s(self) -> float:
        """Age of the confirmation; infinite without one."""
        return self._confirmation.age_s(self._boot_clock())

    def apply_version(self, version: int, *, needed: bool) -> None:
        """Record the version that is in force from now on.

        Args:
            version: The version.
            needed: Whether its use depends on its confirmation.
        """
        self._needed = needed
        self._lost = self._lost and needed
        self._in_force_s = self._boot_clock()
        self._log_due.set()
        is_advanced = self._confirmation.apply_version(version)
        self._update_checks()
        self._checks.request()
        if is_advanced:
            self._publish(self.source)

    def record_stored(self, stored: StoredVersion) -> None:
        """Record the revision of the item in the store."""
        self._checks.stored = stored

    def record_peer(self, confirmation: Confirmation, ip: str) -> None:
        """Record a confirmation that the peer that is followed passed on."""
        # A check that expects a version whose document has not arrived would
        # confirm it without returning it.
        is_in_force = confirmation.version == self._confirmation.version
        is_known = is_in_force and confirmation.position.revision
        if is_known and not self._reading:
            self.record_stored(
                StoredVersion(confirmation.position, confirmation.version)
            )
        self._record(confirmation, ip)

    def handle_era(self, era: int) -> None:
        """Record the era of the store.

        At the start of an era, the store may lack a version that it had
        acknowledged.
        """
        self._era.record(era, self._boot_clock())

    def update_reading(self, *, reading: bool) -> None:
        """Ask the store from now on, or leave it to the peer."""
        self._reading = reading
        self._update_checks()

    async def check(self) -> None:
        """Ask the store at once, as it has just been away."""
        await self._checks.check()

    async def run_checks(self) -> None:
        """Ask the store again and again, until cancelled."""
        await self._checks.run()

    async def run_log(self) -> None:
        """Log the loss and the return of the confirmation, until cancelled."""
        while True:
            self._log_due.clear()
            confirmed_s = max(self._confirmation.confirmed_s, self._in_force_s)
            left_s = confirmed_s + self._lost_after_s - self._boot_clock()
            if left_s > 0:
                await sleep(left_s)
                continue
            if self._confirmation.version and self._needed:
                self._lost = True
                self._log('routes:confirmation-lost')
            await self._log_due.wait()

    def describe_state(self) -> dict[str, Any]:
        """Return the age and the source of the confirmation."""
        age_s = self.age_s
        return {
            'age_s': round(age_s, 2) if isfinite(age_s) else None,
            'source': self.source,
            'needed': self._needed,
            'store_position': self._checks.stored.position,
            'store_version': self._checks.stored.version,
        }

    def _update_checks(self) -> None:
        self._checks.update_enabled(enabled=self._reading and self._needed)

    def _handle_unchanged(self, stored: StoredVersion, sent_s: float) -> None:
        if not self._era.is_settled(sent_s):
            return
        if stored.version is not None:
            self._record(Confirmation(stored.version, sent_s), 'store')
        elif self._confirmation.record_unreadable(sent_s):
            self._publish('store')

    def _handle_changed(self, state: KeyState, sent_s: float) -> None:
        item = state.item
        if item is None:
            stored = StoredVersion(StorePosition(state.era))
        else:
            stored = StoredVersion(
                StorePosition(state.era, item.revision),
                self._observer.on_item(item),
            )
        self.record_stored(stored)
        self._handle_unchanged(stored, sent_s)

    def _record(self, confirmation: Confirmation, source: str) -> None:
        if self._confirmation.record(confirmation):
            self._publish(source)

    def _publish(self, source: str) -> None:
        self.source = source
        self._log_due.set()
        if self._lost:
            self._lost = False
            self._log('routes:confirmed')
        version = self._confirmation.version
        stored = self._checks.stored
        self._observer.on_confirmed(
            Confirmation(
                version,
                self._confirmation.confirmed_s,
                stored.position
                if stored.version == version
                else StorePosition(),
            )
        )

    def _log(self, name: str) -> None:
        log_event(
            name,
            version=self._confirmation.version,
            reading=self._reading,
            failures=self.failures,
            **self.describe_state(),
        )
