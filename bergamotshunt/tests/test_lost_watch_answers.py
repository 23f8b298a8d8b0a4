"""Tests of a watch whose answers are lost, in virtual time.

A lost answer leaves the connection open; all other calls are answered.
"""

import asyncio
from random import Random
from typing import Any

import pytest

from bergamotshunt.decisions.store_contact import StoreContact
from bergamotshunt.platform.store import CALL_TIMEOUT_S
from bergamotshunt.platform.store_errors import OutcomeUnknownError, StoreError
from bergamotshunt.plugins.mesh.routes import WATCH_TIMING
from bergamotshunt.store.store_watch import StoreWatch, WatchObserver
from bergamotshunt.stored_items import Item, Listing
from bergamotshunt.tests.virtual_time import run_in_virtual_time

KEY = 'op/config'
CHANGE_REVISION = 7
# The users' figure for the time after the end of the losses from which a
# version has to be in force everywhere, and what passing it on may take.
CONTACT_S = 3.0
PASS_ON_S = 0.5
# Longest time for which the users' store loses answers.
LOSSES_S = (0.001, 1.0, 2.0, 4.5, 5.5)
# Times of the change within the wait of a watch.
PHASES_S = tuple(0.1 * step for step in range(12))


class LossyStore:
    """Store with one change, which loses all answers for a while.

    Attributes:
        changed_s: Time of the change.
        loses_until_s: End of the losses, which begin with the change.
        watches: Number of watches so far.
    """

    era = 0

    def __init__(self, changed_s: float, losses_s: float) -> None:
        self.changed_s = changed_s
        self.loses_until_s = changed_s + losses_s
        self.watches = 0

    async def list_items(self, _prefix: str) -> Listing:
        return Listing((), CHANGE_REVISION - 1)

    async def watch(self, _prefix: str, revision: int, wait_ms: int) -> Listing:
        self.watches += 1
        asked_s = now_s()
        end_s = asked_s + wait_ms / 1000
        has_news = revision < CHANGE_REVISION and self.changed_s <= end_s
        if has_news:
            end_s = max(asked_s, self.changed_s)
        await sleep_until(end_s)
        if self.changed_s <= end_s < self.loses_until_s:
            await sleep_until(asked_s + wait_ms / 1000 + CALL_TIMEOUT_S)
            raise OutcomeUnknownError('the answer was lost')
        if not has_news:
            return Listing((), revision)
        return Listing((Item(KEY, b'{}', CHANGE_REVISION),), CHANGE_REVISION)


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def sleep_until(end_s: float) -> None:
    await asyncio.sleep(max(end_s - now_s(), 0))


class Heard:
    """Records when the watch tells of the change."""

    def __init__(self) -> None:
        self.at_s: float | None = None
        self.event = asyncio.Event()

    def apply(self, listing: Listing) -> None:
        if listing.items and self.at_s is None:
            self.at_s = now_s()
            self.event.set()


def ignore_failure(_error: StoreError) -> None:
    """Ignore a failed call."""


def create_watch(store: Any, heard: Heard, seed: int) -> StoreWatch:
    return StoreWatch(
        store,
        'op/',
        WatchObserver(heard.apply, heard.apply, ignore_failure),
        WATCH_TIMING,
        now_s,
        Random(seed),
    )


@pytest.mark.parametrize('losses_s', LOSSES_S)
@pytest.mark.parametrize('phase_s', PHASES_S)
def test_change_is_heard_in_time_after_lost_answers(
    phase_s: float, losses_s: float
) -> None:
    """Guards against a version that is late after its answer was lost.

    The answer is lost at any moment of a watch, and so are those that follow
    while the losses last.
    """

    async def run_scenario() -> None:
        for seed in range(5):
            heard = Heard()
            store = LossyStore(now_s() + 10 + phase_s, losses_s)
            running = asyncio.create_task(
                create_watch(store, heard, seed).run()
            )
            async with asyncio.timeout(60):
                await heard.event.wait()
            running.cancel()
            assert heard.at_s is not None
            delay_s = heard.at_s - store.loses_until_s
            assert delay_s <= CONTACT_S - PASS_ON_S

    run_in_virtual_time(run_scenario())


def test_watches_become_rare_while_other_calls_fail() -> None:
    """Guards against watches that load a store which answers nobody."""

    async def run_scenario() -> None:
        heard = Heard()
        store = LossyStore(now_s() + 1, 60)
        watch = create_watch(store, heard, 1)
        running = asyncio.create_task(watch.run())
        await asyncio.sleep(1.5)
        watch.update_contact(StoreContact(failing=True))
        store.watches = 0
        await asyncio.sleep(30)
        running.cancel()
        # They wait for 2, 4, 8 and 16 s, and 1 s for their answer.
        assert store.watches <= 5

    run_in_virtual_time(run_scenario())
