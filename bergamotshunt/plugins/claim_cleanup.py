"""Removes claims whose booking keys are too old to be accepted.

Claims are not kept under a lease: a lease that expires early would remove
claims whose keys are still accepted, and a repeated request would run twice.
"""

from asyncio import Event, sleep
from time import time
from typing import Final

from returns.result import Failure, Result

from bergamotshunt.decisions.booking_keys import expired_claims_range
from bergamotshunt.kernel import (
    PLUGINS,
    Context,
    HandlerTable,
    NoHandlerError,
    Task,
)
from bergamotshunt.log import log_event
from bergamotshunt.messages import StoreCommit, StoreCommitted, StoreFailure
from bergamotshunt.operators.targets_messages import ReaderElected

HANDLERS: Final = HandlerTable()
MEAN_INTERVAL_S: Final = 3600
MS_PER_S: Final = 1000


class ClaimCleanupTask(Task):
    """Removes old claims while this daemon is a reader of the platform."""

    name = 'claim-cleanup'
    handlers = HANDLERS

    def __init__(self, context: Context) -> None:
        """Create the task; it waits until this daemon is a reader."""
        super().__init__(context)
        self.elected = Event()

    async def start(self) -> None:
        """Start the periodic clean-up."""
        self.spawn(self.run_cleanups())

    async def run_cleanups(self) -> None:
        """Remove old claims about every hour."""
        while True:
            await self.elected.wait()
            # Jitter keeps the readers of all zones from running together.
            await sleep(MEAN_INTERVAL_S * self.context.rng.uniform(0.5, 1.5))
            if self.elected.is_set():
                await self.remove_expired(time() * MS_PER_S)

    async def remove_expired(self, now_ms: float) -> None:
        """Remove expired claims; after a failure, the next round retries."""
        commit = StoreCommit(
            (), (), delete_ranges=(expired_claims_range(now_ms),)
        )
        outcome: Result[StoreCommitted, StoreFailure]
        try:
            outcome = await self.bus.ask(commit)
        except (TimeoutError, NoHandlerError) as error:
            log_event('claims:cleanup-failed', detail=repr(error))
            return
        match outcome:
            case Failure(failure):
                log_event('claims:cleanup-failed', detail=failure.detail)


@HANDLERS.on(ReaderElected)
def handle_reader_elected(
    task: ClaimCleanupTask, message: ReaderElected
) -> None:
    """Enable the clean-up only while this daemon is a reader."""
    if message.is_reader:
        task.elected.set()
    else:
        task.elected.clear()


@PLUGINS.register('claim-cleanup')
def create_claim_cleanup(context: Context) -> ClaimCleanupTask:
    """Create the clean-up task."""
    return ClaimCleanupTask(context)
