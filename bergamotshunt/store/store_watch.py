"""Follows the items below a prefix of the store."""

from asyncio import FIRST_COMPLETED, Event, create_task, sleep, wait
from asyncio import Task as AsyncioTask
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, Final, NamedTuple

from bergamotshunt.decisions.store_contact import StoreContact, is_watch_lost
from bergamotshunt.log import log_event
from bergamotshunt.platform.store import StoreClient
from bergamotshunt.platform.store_errors import (
    HistoryGoneError,
    StaleEraError,
    StoreError,
)
from bergamotshunt.stored_items import Listing, StorePosition
from bergamotshunt.task_metrics import TaskMetrics

# While the store does not answer, the renewals of the lease tell of its return.
MAX_WAIT_MS: Final = 20_000
# A watch after a lost answer has news to tell, or is answered soon: a second
# loss is noticed early.
RETRY_WAIT_MS: Final = 200
# Range of the random factor that spreads the retries of the daemons.
RETRY_JITTER: Final = (0.7, 1.3)
# After a call that waited for its timeout.
MIN_RETRY_DELAY_S: Final = 0.1


class WatchTiming(NamedTuple):
    """Delays of a watch.

    Attributes:
        wait_ms: How long the store holds a watch without changes, in
            milliseconds. Only a missing answer shows that an answer was
            lost, so it is short.
        retry_delay_s: Mean delay after a failed call, in seconds.
        batch_delay_s: Delay after a response, in seconds; changes that
            follow each other arrive with one call.
    """

    wait_ms: int
    retry_delay_s: float
    batch_delay_s: float


class WatchObserver(NamedTuple):
    """Functions that a watch calls.

    Attributes:
        on_listing: Takes all items below the prefix.
        on_changes: Takes the items that changed since the last call, and
            the revision up to which these are all changes.
        on_failure: Takes the error of a failed call.
    """

    on_listing: Callable[[Listing], None]
    on_changes: Callable[[Listing], None]
    on_failure: Callable[[StoreError], None]


class StoreWatch:
    """Lists the items below a prefix, then watches their changes.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        observer: Functions that take the items and the errors.
        timing: Delays between calls.
        clock: Returns the monotonic time in seconds.
        rng: Random source of the retry delays.

    Attributes:
        answered_s: Monotonic time of the last answer; before the first, of
            the creation.
        abandoned: Number of pending watches that were asked again.
    """

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        observer: WatchObserver,
        timing: WatchTiming,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        """Create a watch that has asked nothing."""
        self.answered_s = clock()
        self.abandoned = 0
        self._store = store
        self._prefix = prefix
        self._observer = observer
        self._timing = timing
        self._clock = clock
        self._rng = rng
        self._revision: int | None = None
        # Era that gave out the revision.
        self._era = 0
        self._asked_s = inf
        self._wait_ms = timing.wait_ms
        self._store_is_away = False
        self._abandon_requested = Event()
        self._enabled = Event()
        self._enabled.set()

    async def run(self) -> None:
        """Follow the items until the task is cancelled."""
        while True:
            await self._enabled.wait()
            await self.step()

    async def step(self) -> None:
        """Make the next call, and wait until another one may follow."""
        started_s = self._clock()
        try:
            await self._ask()
        except HistoryGoneError:
            self._revision = None
        except StaleEraError:
            self._revision = None
            await sleep(self._timing.batch_delay_s)
        except StoreError as error:
            self._wait_ms = self._next_wait_ms()
            self._observer.on_failure(error)
            await sleep(self._retry_delay_s(self._clock() - started_s))

    def resume_after(self, position: StorePosition) -> None:
        """Watch the changes after a position that is known otherwise."""
        self._era = position.era
        self._revision = position.revision

    def handle_era(self, era: int) -> None:
        """List the items anew if the store has been restored since."""
        if era > self._era and self._revision is not None:
            self._revision = None
            self.abandon('store-restored')

    def pause(self) -> None:
        """Make no call from now on, and give up the pending one."""
        self._enabled.clear()
        self._abandon_requested.set()

    def resume(self) -> None:
        """Make calls again, from the last known revision."""
        self._enabled.set()

    def update_contact(self, contact: StoreContact) -> None:
        """Ask again if other calls show that the pending watch is lost."""
        self._store_is_away = contact.failing
        if is_watch_lost(self._asked_s, contact):
            self._wait_ms = self._timing.wait_ms
            self.abandon('store-was-away')

    def abandon(self, reason: str) -> None:
        """Ask a pending watch again from its last revision.

        Args:
            reason: Why the pending watch is taken for lost, for the log.
        """
        if self._asked_s == inf or self._abandon_requested.is_set():
            return
        self.abandoned += 1
        log_event(
            'store:watch-abandoned',
            prefix=self._prefix,
            reason=reason,
            pending_s=round(self._clock() - self._asked_s, 2),
            revision=self._revision,
        )
        self._abandon_requested.set()

    def update_gauges(self, metrics: TaskMetrics, subject: str) -> None:
        """Update the gauges of the watch.

        Args:
            metrics: Metrics of the task that owns it.
            subject: What it watches; the gauges' names start with it.
        """
        metrics.set_gauge(f'{subject}_watches_abandoned', self.abandoned)
        age_s = self._clock() - self.answered_s
        metrics.set_gauge(f'{subject}_watch_age_seconds', age_s)

    async def _ask(self) -> None:
        if self._revision is None:
            listing = await self._store.list_items(self._prefix)
            self._observer.on_listing(listing)
        else:
            answer = await self._wait_for_changes(self._revision)
            if answer is None:
                return
            if self._revision is None or answer.era != self._era:
                self._revision = None
                return
            # A store that is about to drop its history may have told nothing
            # of a change. Asked for what came after the last one that it did
            # tell of, it answers that the items have to be listed again.
            listing = answer
            if not answer.items:
                listing = answer._replace(revision=self._revision)
            self._observer.on_changes(listing)
        self._wait_ms = self._timing.wait_ms
        self._era = listing.era
        self._revision = listing.revision
        self.answered_s = self._clock()
        await sleep(self._timing.batch_delay_s)

    def _next_wait_ms(self) -> int:
        """Return the wait of the watch that follows a failure.

        One answer may have been lost. Watches become rare only if other
        calls fail, too.
        """
        if not self._store_is_away:
            return RETRY_WAIT_MS
        doubled_ms = max(2 * self._wait_ms, self._timing.wait_ms)
        return min(doubled_ms, MAX_WAIT_MS)

    def _retry_delay_s(self, took_s: float) -> float:
        """Return the time until the next call after one that failed.

        Args:
            took_s: Time that the failed call took.
        """
        delay_s = max(self._timing.retry_delay_s - took_s, MIN_RETRY_DELAY_S)
        return delay_s * self._rng.uniform(*RETRY_JITTER)

    async def _wait_for_changes(self, revision: int) -> Listing | None:
        """Return the next changes; None if the watch was abandoned.

        Raises:
            HistoryGoneError: The items have to be listed again.
            StoreError: The call failed.
        """
        self._abandon_requested.clear()
        self._asked_s = self._clock()
        watching = create_task(
            self._store.watch(self._prefix, revision, self._wait_ms)
        )
        abandoning = create_task(self._abandon_requested.wait())
        try:
            await wait((watching, abandoning), return_when=FIRST_COMPLETED)
            return watching.result() if watching.done() else None
        finally:
            self._asked_s = inf
            _cancel(watching, abandoning)


def _cancel(*tasks: 'AsyncioTask[Any]') -> None:
    for task in tasks:
        task.cancel()
