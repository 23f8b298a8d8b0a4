"""Slots of the backend server under arrivals, cancellations and ends."""

import asyncio
from random import Random

from returns.result import Success

from bergamotshunt.backend.admission import Admission, Slot
from bergamotshunt.decisions.queueing import SlotRequest
from bergamotshunt.settings import (
    BackendServerSettings,
    CallsSettings,
    Settings,
)

SLOTS = 3
QUEUE = 4
SETTINGS = Settings(
    backend_server=BackendServerSettings('s', 'http://127.0.0.1:1', SLOTS),
    calls=CallsSettings(limiter='fixed', max_in_flight=2 * QUEUE),
)


class Crowd:
    """Requests that arrive, leave and end in a random order."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.admission = Admission(SETTINGS, lambda: self.now_ms)
        self.tasks: list[asyncio.Task[None]] = []
        self.held: list[Slot] = []
        self.started: list[tuple[float, float]] = []

    async def arrive(self, work: SlotRequest) -> None:
        match await self.admission.acquire(work):
            case Success(slot):
                self.started.append((slot.started_ms, work.deadline_ms))
                self.held.append(slot)

    async def take_step(self) -> None:
        kind = self.rng.choice(('arrive', 'arrive', 'leave', 'end', 'time'))
        if kind == 'arrive':
            work = SlotRequest(
                0,
                self.now_ms + self.rng.choice((5, 5000)),
                internal=self.rng.random() < 0.3,
                depth=self.rng.randrange(3),
            )
            self.tasks.append(asyncio.create_task(self.arrive(work)))
        elif kind == 'leave' and self.tasks:
            self.rng.choice(self.tasks).cancel()
        elif kind == 'end' and self.held:
            slot = self.held.pop(self.rng.randrange(len(self.held)))
            self.admission.finish(slot, 'a', overloaded=False)
        else:
            self.now_ms += 3
        # Without a turn of the loop, several events fall into one.
        if self.rng.random() < 0.6:
            await asyncio.sleep(0)

    async def walk(self) -> None:
        for _ in range(150):
            await self.take_step()
            load = self.admission.load_report()
            assert 0 <= load.in_flight <= SLOTS
            assert load.queued <= QUEUE
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for slot in self.held:
            self.admission.release(slot)
        assert self.admission.load_report()[:3] == (0, SLOTS, 0)
        assert not self.admission._given_by_id
        assert all(start < deadline for start, deadline in self.started)
        for task in self.tasks:
            assert task.cancelled() or task.exception() is None


def test_no_slot_is_lost_or_given_twice() -> None:
    """Guards against a limit that is exceeded or shrinks with each leak."""
    for seed in range(150):
        print('seed', seed)
        asyncio.run(Crowd(seed).walk())
