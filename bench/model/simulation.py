"""Plays a pattern under a policy, event by event."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Final, NamedTuple

from bench.model.policies import POLICIES, PRODUCT, delay_ms
from bench.model.servers import ModelServer, Request
from bench.model.shapes import Pattern
from bergamotshunt.decisions.queueing import ServerThroughput, expected_wait_ms
from bergamotshunt.decisions.slot_waits import TimeLeft, is_wait_worthwhile

WORK_SPREAD: Final = 0.3
HOP_MS: Final = 1.0
MS_PER_S: Final = 1000


class Tally(NamedTuple):
    """What became of the requests of a run.

    Attributes:
        asked: Requests that arrived.
        in_goal: Answered within the goal.
        late: Answered later, while the client waited.
        refused: Refused at once.
        left: Answered when the client had left.
    """

    asked: int
    in_goal: int
    late: int
    refused: int
    left: int


class Simulation:
    """One run; the same seed gives all policies the same arrivals."""

    def __init__(self, pattern: Pattern, policy: str, seed: int) -> None:
        self.pattern = pattern
        self.policy = policy
        self._arrivals = Random(f'arrivals {seed}')
        self._choices = Random(f'choices {seed}')
        self.servers = [
            ModelServer(number, pattern, Random(f'server {number} {seed}'))
            for number in range(pattern.servers)
        ]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()
        self._counts = {'in_goal': 0, 'late': 0, 'refused': 0, 'left': 0}
        self._asked = 0

    def run(self) -> Tally:
        """Play all events."""
        self._at(0, self._arrive)
        for server in self.servers:
            self._at(0, self._reporter(server))
        while self._events:
            now_ms, _, action = heappop(self._events)
            action(now_ms)
        return Tally(self._asked, **self._counts)

    def _at(self, when_ms: float, action: Callable[[float], None]) -> None:
        heappush(self._events, (when_ms, next(self._order), action))

    def _reporter(self, server: ModelServer) -> Callable[[float], None]:
        def report(now_ms: float) -> None:
            server.report(now_ms)
            if now_ms < self.pattern.run_ms:
                pause_ms = min(self.pattern.report_ms, server.left_ms(now_ms))
                self._at(now_ms + pause_ms + HOP_MS, report)

        return report

    def _arrive(self, now_ms: float) -> None:
        pattern = self.pattern
        third_ms = pattern.run_ms / 3
        load = pattern.load
        if third_ms <= now_ms <= 2 * third_ms:
            load *= pattern.burst
        slots = pattern.servers * pattern.slots
        pause_ms = pattern.work_ms / (load * slots)
        work_ms = pattern.work_ms * self._arrivals.lognormvariate(
            -(WORK_SPREAD**2) / 2, WORK_SPREAD
        )
        request = Request(self._asked, now_ms, work_ms)
        self._asked += 1
        wait_ms: float = 0
        if self.policy in PRODUCT:
            wait_ms = delay_ms(self.servers, now_ms, self._choices)
        self._at(now_ms + wait_ms, lambda at_ms: self._choose(request, at_ms))
        next_ms = now_ms + self._arrivals.expovariate(1 / pause_ms)
        if next_ms < pattern.run_ms:
            self._at(next_ms, self._arrive)

    def _choose(self, request: Request, now_ms: float) -> None:
        choose = POLICIES.get(self.policy)
        number = choose(self.servers, request, now_ms, self._choices)
        if number is None:
            self._counts['refused'] += 1
            return
        server = self.servers[number]
        server.unseen += 1
        self._at(
            now_ms + HOP_MS, lambda at_ms: self._offer(server, request, at_ms)
        )

    def _offer(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> None:
        if len(server.running) < self._limit(server):
            self._start(server, request, now_ms)
        elif self._may_wait(server, request, now_ms):
            server.waiting.append(request)
        else:
            self._counts['refused'] += 1

    def _limit(self, server: ModelServer) -> int:
        if self.policy in PRODUCT:
            return server.limit()
        return self.pattern.slots

    def _may_wait(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> bool:
        if self.policy not in PRODUCT:
            return True
        run_ms = self.pattern.work_ms * server.pace(now_ms)
        pace = ServerThroughput(len(server.running), server.limit(), run_ms)
        passed_ms = now_ms - request.arrived_ms
        return is_wait_worthwhile(
            expected_wait_ms(len(server.waiting), pace),
            run_ms,
            TimeLeft(
                self.pattern.goal_ms - passed_ms,
                self.pattern.patience_ms - passed_ms,
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
        leaves_ms = request.arrived_ms + self.pattern.patience_ms
        end_ms = min(end_ms, max(leaves_ms, now_ms))
        server.running[request.number] = end_ms
        self._at(end_ms, lambda at_ms: self._end(server, request, at_ms))

    def _end(
        self,
        server: ModelServer,
        request: Request,
        now_ms: float,
    ) -> None:
        server.running.pop(request.number)
        took_ms = now_ms + HOP_MS - request.arrived_ms
        if took_ms <= self.pattern.goal_ms:
            self._counts['in_goal'] += 1
        elif took_ms < self.pattern.patience_ms:
            self._counts['late'] += 1
        else:
            self._counts['left'] += 1
        while server.waiting and len(server.running) < self._limit(server):
            waiting = server.waiting.pop(0)
            if now_ms - waiting.arrived_ms < self.pattern.patience_ms:
                self._start(server, waiting, now_ms)
            else:
                self._counts['left'] += 1
