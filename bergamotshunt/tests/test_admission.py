"""Tests admission with random arrivals, cancellations and completions."""

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
QUEUE_LIMIT = 4
SETTINGS = Settings(
    backend_server=BackendServerSettings('s', 'http://127.0.0.1:1', SLOTS),
    calls=CallsSettings(limiter='fixed', max_in_flight=2 * QUEUE_LIMIT),
)


class RandomRequests:
    """Requests that arrive, are cancelled and complete in random order."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.admission = Admission(SETTINGS, lambda: self.now_ms)
        self.tasks: list[asyncio.Task[None]] = []
        self.held_slots: list[Slot] = []
        # Start and deadline of each request that got a slot.
        self.started: list[tuple[float, float]] = []

    async def arrive(self, request: SlotRequest) -> None:
        match await self.admission.acquire(request):
            case Success(slot):
                self.started.append((slot.started_ms, request.deadline_ms))
                self.held_slots.append(slot)

    async def take_step(self) -> None:
        event = self.rng.choice(
            ('arrive', 'arrive', 'cancel', 'finish', 'advance')
        )
        if event == 'arrive':
            request = SlotRequest(
                0,
                self.now_ms + self.rng.choice((5, 5000)),
                internal=self.rng.random() < 0.3,
                depth=self.rng.randrange(3),
            )
            self.tasks.append(asyncio.create_task(self.arrive(request)))
        elif event == 'cancel' and self.tasks:
            self.rng.choice(self.tasks).cancel()
        elif event == 'finish' and self.held_slots:
            slot = self.held_slots.pop(self.rng.randrange(len(self.held_slots)))
            self.admission.finish(slot, 'a', overloaded=False)
        else:
            self.now_ms += 3
        # Otherwise, several events happen in one iteration of the loop.
        if self.rng.random() < 0.6:
            await asyncio.sleep(0)

    async def run_steps(self) -> None:
        for _ in range(150):
            await self.take_step()
            load = self.admission.load_report()
            assert 0 <= load.in_flight <= SLOTS
            assert load.queued <= QUEUE_LIMIT
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for slot in self.held_slots:
            self.admission.release(slot)
        assert self.admission.load_report()[:3] == (0, SLOTS, 0)
        assert not self.admission._grants_by_arrival_number
        assert all(start < deadline for start, deadline in self.started)
        for task in self.tasks:
            assert task.cancelled() or task.exception() is None


def test_no_slot_is_leaked_or_granted_twice() -> None:
    """Guards against slots granted twice or never returned.

    The concurrency limit would be exceeded, or shrink with each lost slot. A
    request may be cancelled in the same iteration of the event loop in which
    it gets its slot.
    """
    for seed in range(150):
        print('seed', seed)
        asyncio.run(RandomRequests(seed).run_steps())
