"""Discrete-event simulation of a load pattern under a policy."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Final, NamedTuple

from bench.model.policies import POLICIES, PRODUCT_POLICIES, phase_start_wait_ms
from bench.model.servers import ModelServer, Request
from bench.model.shapes import Pattern
from bergamotshunt.decisions.queueing import SlotUsage, expected_wait_ms
from bergamotshunt.decisions.slot_waits import TimeLeft, is_wait_worthwhile

# Standard deviation of the logarithm of the work of a request.
WORK_LOG_SIGMA: Final = 0.3
# Delay of a message in one direction.
NETWORK_DELAY_MS: Final = 1.0
MS_PER_S: Final = 1000


class Tally(NamedTuple):
    """Outcomes of the requests of a run, as counts.

    Attributes:
        arrived: Requests that arrived.
        in_goal: Answered within the latency objective.
        late: Answered later, before the client timed out.
        refused: Refused without running.
        left: Requests whose client timed out.
    """

    arrived: int
    in_goal: int
    late: int
    refused: int
    left: int


class Simulation:
    """One simulated run.

    With the same seed all policies get the same arrivals.

    Args:
        pattern: Fleet and load.
        policy: Name of the policy.
        seed: Seed of arrivals, choices and server phases.
    """

    def __init__(self, pattern: Pattern, policy: str, seed: int) -> None:
        self.pattern = pattern
        self.policy = policy
        self._arrival_rng = Random(f'arrivals {seed}')
        self._choice_rng = Random(f'choices {seed}')
        self.servers = [
            ModelServer(number, pattern, Random(f'server {number} {seed}'))
            for number in range(pattern.servers)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        # Breaks ties between events at the same time.
        self._order = count()
        self._counts = {'in_goal': 0, 'late': 0, 'refused': 0, 'left': 0}
        self._arrived = 0

    def run(self) -> Tally:
        """Process all events in order of time and return the outcomes."""
        self._schedule(0, self._arrive)
        for server in self.servers:
            self._schedule(0, self._create_reporter(server))
        while self._events:
            now_ms, _, action = heappop(self._events)
            action(now_ms)
        return Tally(self._arrived, **self._counts)

    def _schedule(
        self, when_ms: float, action: Callable[[float], None]
    ) -> None:
        heappush(self._events, (when_ms, next(self._order), action))

    def _create_reporter(self, server: ModelServer) -> Callable[[float], None]:
        def report(now_ms: float) -> None:
            server.report(now_ms)
            if now_ms < self.pattern.run_ms:
                # A server also reports at the start of each phase.
                pause_ms = min(
                    self.pattern.report_ms, server.phase_left_ms(now_ms)
                )
                self._schedule(now_ms + pause_ms + NETWORK_DELAY_MS, report)

        return report

    def _arrive(self, now_ms: float) -> None:
        pattern = self.pattern
        third_ms = pattern.run_ms / 3
        load = pattern.load
        if third_ms <= now_ms <= 2 * third_ms:
            load *= pattern.burst
        slots = pattern.servers * pattern.slots
        interarrival_ms = pattern.work_ms / (load * slots)
        # With this location parameter the mean of the factor is 1.
        work_ms = pattern.work_ms * self._arrival_rng.lognormvariate(
            -(WORK_LOG_SIGMA**2) / 2, WORK_LOG_SIGMA
        )
        request = Request(self._arrived, now_ms, work_ms)
        self._arrived += 1
        wait_ms: float = 0
        if self.policy in PRODUCT_POLICIES:
            wait_ms = phase_start_wait_ms(
                self.servers, now_ms, self._choice_rng
            )
        self._schedule(
            now_ms + wait_ms, lambda at_ms: self._choose(request, at_ms)
        )
        next_ms = now_ms + self._arrival_rng.expovariate(1 / interarrival_ms)
        if next_ms < pattern.run_ms:
            self._schedule(next_ms, self._arrive)

    def _choose(self, request: Request, now_ms: float) -> None:
        choose = POLICIES.get(self.policy)
        number = choose(self.servers, request, now_ms, self._choice_rng)
        if number is None:
            self._counts['refused'] += 1
            return
        server = self.servers[number]
        server.unseen += 1
        self._schedule(
            now_ms + NETWORK_DELAY_MS,
            lambda at_ms: self._dispatch(server, request, at_ms),
        )

    def _dispatch(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> None:
        if len(server.running) < self._limit(server):
            self._start(server, request, now_ms)
        elif self._is_queueable(server, request, now_ms):
            server.waiting.append(request)
        else:
            self._counts['refused'] += 1

    def _limit(self, server: ModelServer) -> int:
        if self.policy in PRODUCT_POLICIES:
            return server.limit()
        return self.pattern.slots

    def _is_queueable(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> bool:
        if self.policy not in PRODUCT_POLICIES:
            return True
        run_ms = self.pattern.work_ms * server.pace(now_ms)
        slot_usage = SlotUsage(len(server.running), server.limit(), run_ms)
        passed_ms = now_ms - request.arrived_ms
        return is_wait_worthwhile(
            expected_wait_ms(len(server.waiting), slot_usage),
            run_ms,
            TimeLeft(
                self.pattern.latency_objective_ms - passed_ms,
                self.pattern.client_timeout_ms - passed_ms,
            ),
        )

    def _start(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> None:
        running = len(server.running) + 1
        end_ms = server.end_ms(now_ms, request.work_ms, running)
        timeout_at_ms = request.arrived_ms + self.pattern.client_timeout_ms
        end_ms = min(end_ms, max(timeout_at_ms, now_ms))
        server.running[request.number] = end_ms
        self._schedule(end_ms, lambda at_ms: self._end(server, request, at_ms))

    def _end(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> None:
        server.running.pop(request.number)
        took_ms = now_ms + NETWORK_DELAY_MS - request.arrived_ms
        if took_ms <= self.pattern.latency_objective_ms:
            self._counts['in_goal'] += 1
        elif took_ms < self.pattern.client_timeout_ms:
            self._counts['late'] += 1
        else:
            self._counts['left'] += 1
        while server.waiting and len(server.running) < self._limit(server):
            waiting = server.waiting.pop(0)
            if now_ms - waiting.arrived_ms < self.pattern.client_timeout_ms:
                self._start(server, waiting, now_ms)
            else:
                self._counts['left'] += 1
