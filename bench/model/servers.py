"""Simulated backend servers.

A server has slots, phases in which other load on its host slows it down,
and a slowdown near saturation.
"""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from bench.model.shapes import Pattern
from bergamotshunt.backend.loads import Load
from bergamotshunt.decisions.pace_forecasts import PaceForecast
from bergamotshunt.decisions.server_choice import ServerView
from bergamotshunt.decisions.slot_limit import UNSATURATED_SHARE

# Share of busy slots above which a server slows down.
SATURATION_START_SHARE: Final = 0.8


class Request(NamedTuple):
    """A simulated request; times in milliseconds.

    Attributes:
        number: Sequence number, in the order of arrival.
        arrived_ms: Time of arrival since the start of the run.
        work_ms: Time that it takes at a pace of 1.
    """

    number: int
    arrived_ms: float
    work_ms: float


class ModelServer:
    """A server whose phases are all drawn in advance.

    Args:
        number: Index of the server in the fleet.
        pattern: Fleet and load of the run.
        rng: Random source of its phases.

    Attributes:
        running: End time in milliseconds of each running request, by number.
        waiting: Requests without a slot, in the order of arrival.
        unseen: Requests dispatched to the server since its last report.
    """

    def __init__(self, number: int, pattern: Pattern, rng: Random) -> None:
        self.number = number
        self.pattern = pattern
        self.running: dict[int, float] = {}
        self.waiting: list[Request] = []
        self.unseen = 0
        self._phase_offset_ms = rng.random() * pattern.phase_ms
        # Requests still run after the last arrival, in the further phases.
        phase_count = int(pattern.run_ms / pattern.phase_ms) + 40
        self._paces = [
            pattern.slow_pace if rng.random() < pattern.slow_share else 1.0
            for _ in range(phase_count)
        ]
        self._last_report = self.view(0)
        self._last_report_ms = 0.0

    def pace(self, now_ms: float) -> float:
        """Return the slowdown factor of work at a time; 1 is usual."""
        return self._paces[self._phase_index(now_ms)]

    def phase_left_ms(self, now_ms: float) -> float:
        """Return the time left in the current phase, in milliseconds."""
        passed_ms = (now_ms + self._phase_offset_ms) % self.pattern.phase_ms
        return self.pattern.phase_ms - passed_ms

    def end_ms(self, begin_ms: float, work_ms: float, running: int) -> float:
        """Return the end time of work, in milliseconds.

        Args:
            begin_ms: Start time.
            work_ms: Time that the work takes at a pace of 1.
            running: Requests that run meanwhile, this one included.
        """
        work_ms *= self._saturation_factor(running)
        now_ms = begin_ms
        while work_ms > 0:
            pace, phase_left_ms = self.pace(now_ms), self.phase_left_ms(now_ms)
            if work_ms * pace <= phase_left_ms:
                return now_ms + work_ms * pace
            work_ms -= phase_left_ms / pace
            # Without the added time, rounding may leave it in this phase.
            now_ms += phase_left_ms + 1e-6
        return now_ms

    def true_end_ms(self, request: Request, now_ms: float) -> float:
        """Return when a request would end here, from the drawn phases."""
        slots = self.pattern.slots
        ends = sorted(self.running.values())
        for waiting in [*self.waiting, request]:
            begin_ms = now_ms
            if len(ends) >= slots:
                begin_ms = max(ends.pop(0), now_ms)
            end_ms = self.end_ms(begin_ms, waiting.work_ms, len(ends) + 1)
            ends.append(end_ms)
            ends.sort()
        return end_ms

    def view(self, now_ms: float) -> ServerView:
        """Return the load report that the server would send at a time."""
        pattern = self.pattern
        return ServerView(
            instance=str(self.number),
            near=True,
            load=Load(
                running=len(self.running),
                waiting=len(self.waiting),
                limit=self.limit(),
                pace=self.pace(now_ms),
                work_ms=pattern.work_ms,
                outlook=PaceForecast(
                    phase_left_ms=self.phase_left_ms(now_ms),
                    phase_ms=pattern.phase_ms,
                    slow_share=pattern.slow_share,
                    normal_pace=1,
                    slow_pace=pattern.slow_pace,
                ),
            ),
            age_ms=0,
        )

    def limit(self) -> int:
        """Return the concurrency limit that the daemon would converge to."""
        slots = self.pattern.slots
        return (
            int(slots * UNSATURATED_SHARE)
            if self._slows_when_saturated()
            else slots
        )

    def report(self, now_ms: float) -> None:
        """Publish the current load to the policies."""
        self._last_report = self.view(now_ms)
        self._last_report_ms = now_ms
        self.unseen = 0

    def last_report(self, now_ms: float) -> ServerView:
        """Return the last published report, with its age."""
        age_ms = now_ms - self._last_report_ms
        return self._last_report._replace(age_ms=age_ms, unseen=self.unseen)

    def _slows_when_saturated(self) -> bool:
        # Leaving slots unused raises the throughput only if saturation slows
        # the work by more than these slots contribute.
        return self.pattern.saturated_pace > 1 / UNSATURATED_SHARE

    def _saturation_factor(self, running: int) -> float:
        share = running / self.pattern.slots
        excess = max(share - SATURATION_START_SHARE, 0) / (
            1 - SATURATION_START_SHARE
        )
        return 1 + (self.pattern.saturated_pace - 1) * excess

    def _phase_index(self, now_ms: float) -> int:
        index = int((now_ms + self._phase_offset_ms) / self.pattern.phase_ms)
        return min(index, len(self._paces) - 1)


Chooser = Callable[[list[ModelServer], Request, float, Random], int | None]
