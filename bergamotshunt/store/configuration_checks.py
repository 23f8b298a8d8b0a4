"""Asks the store again and again which configuration is the newest."""

from asyncio import Event, timeout
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.decisions.configuration_confirmation import (
    CONFIRM_INTERVAL_S,
    StoredVersion,
)
from bergamotshunt.platform.configuration import CONFIGURATION_KEY
from bergamotshunt.platform.store import StoreClient
from bergamotshunt.platform.store_errors import StaleEraError, StoreError
from bergamotshunt.store.store_watch import RETRY_JITTER
from bergamotshunt.stored_items import KeyState, StorePosition

# Longest mean time between two checks that the store does not answer.
MAX_INTERVAL_S: Final = 2.0


class CheckObserver(NamedTuple):
    """Functions that the checks call.

    Attributes:
        on_unchanged: Takes what is known of the item that has not changed,
            and the boot time at which the check was sent.
        on_changed: Takes the state of an item that has changed, and the boot
            time at which the check was sent.
        on_failing: Called when the store ceases to answer the checks, and
            when it answers them for the first time or again.
    """

    on_unchanged: Callable[[StoredVersion, float], None]
    on_changed: Callable[[KeyState, float], None]
    on_failing: Callable[[bool], None]


class ConfigurationChecks:
    """Compares the revision of the configuration with that in the store.

    Args:
        store: Client of the store.
        observer: Functions that take the outcomes.
        boot_clock: Returns the boot time in seconds.
        rng: Random source of the intervals.

    Attributes:
        stored: What is known of the item in the store.
        failures: Number of failed checks so far.
    """

    def __init__(
        self,
        store: StoreClient,
        observer: CheckObserver,
        boot_clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Create checks that are disabled."""
        self.stored = StoredVersion()
        self.failures = 0
        self._store = store
        self._observer = observer
        self._boot_clock = boot_clock
        self._rng = rng
        self._enabled = Event()
        self._requested = Event()
        # None before the first answer.
        self._failing: bool | None = None
        self._interval_s = CONFIRM_INTERVAL_S

    def update_enabled(self, *, enabled: bool) -> None:
        """Make checks from now on, or none."""
        if enabled:
            self._enabled.set()
        else:
            self._enabled.clear()
            self._failing = None

    def request(self) -> None:
        """Make the next check without delay."""
        self._requested.set()

    async def run(self) -> None:
        """Make checks while they are enabled, until cancelled."""
        while True:
            await self._enabled.wait()
            self._requested.clear()
            started_s = self._boot_clock()
            await self.check()
            await self._wait_until(started_s + self._interval_s)

    async def check(self) -> None:
        """Make one check; others may be pending.

        A store that was silent never answers the calls that were sent
        before, so a check after its return must not wait for them.
        """
        if not self._enabled.is_set():
            return
        sent_s = self._boot_clock()
        stored = self.stored
        try:
            state = await self._store.compare(
                CONFIGURATION_KEY, stored.position.revision
            )
        except StaleEraError:
            # The store has answered; the next check tells.
            return
        except StoreError:
            self._record_failure()
            return
        self._interval_s = CONFIRM_INTERVAL_S
        self._update_failing(failing=False)
        if state.is_unchanged and state.era != stored.position.era:
            # The restored store has given out the revision again.
            self.stored = StoredVersion(StorePosition(state.era))
            self.request()
        elif state.is_unchanged:
            self._observer.on_unchanged(stored, sent_s)
        else:
            self._observer.on_changed(state, sent_s)

    def _record_failure(self) -> None:
        """Record a failed check; the next ones become rarer.

        While the store answers nobody, all daemons make checks. The renewals
        of their leases tell when it is back.
        """
        self.failures += 1
        interval_s = min(2 * self._interval_s, MAX_INTERVAL_S)
        self._interval_s = interval_s * self._rng.uniform(*RETRY_JITTER)
        self._update_failing(failing=True)

    async def _wait_until(self, end_s: float) -> None:
        with suppress(TimeoutError):
            async with timeout(end_s - self._boot_clock()):
                await self._requested.wait()

    def _update_failing(self, *, failing: bool) -> None:
        if self._enabled.is_set() and failing is not self._failing:
            self._failing = failing
            self._observer.on_failing(failing)
