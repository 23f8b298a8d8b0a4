"""Trials of choosers: ``python -m bench.chooser_trials``.

A seeded simulation on a clock of its own. Several choosers, each with its
own view as an entry has it, send to the same servers; a view learns only
from answers. There are no retries, so that the choice alone is judged.
Figures are trials of the model below, not of a running system.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random
from time import monotonic
from typing import NamedTuple

from cyclopts import App
from hdrh.histogram import HdrHistogram

from bergamotshunt.calls import LoadReport
from bergamotshunt.decisions.choosing import CHOOSERS
from bergamotshunt.latencies import AttemptEnd
from bergamotshunt.members import Member, ServerState
from bergamotshunt.views import ServiceView, ViewRules

SLOTS = 10
MEAN_MS = 5.0
SIGMA = 0.6
NEAR_MS = 0.2
FAR_MS = 0.7
FAIL_MS = 0.2
FAULT_AT_MS = 300.0
BURST_MS = 150.0

app = App(name='bench.chooser_trials', help='Compare choosers.')


class Trial(NamedTuple):
    """A scenario; ``fault`` is one of the names in ``Server``."""

    name: str
    load: float = 0.7
    servers: int = 6
    choosers: int = 12
    zones: int = 1
    home_share: float = 0
    fault: str = ''


TRIALS = (
    Trial('steady'),
    Trial('many choosers', choosers=150),
    Trial('bursts', fault='bursts'),
    Trial('straggler x5', load=0.6, fault='straggler'),
    Trial('fails fast', load=0.6, fault='fails'),
    Trial('freezes', load=0.6, fault='freezes'),
    Trial('zones, even', zones=3),
    Trial('zones, skewed', zones=3, load=0.6, home_share=0.6),
)


class Server:
    """Slots, a queue and a fault."""

    def __init__(self, number: int, trial: Trial, rng: Random) -> None:
        """Create an idle server; the first one has the fault."""
        self.zone = f'zone-{number % trial.zones}'
        self.rng = rng
        self.fault = trial.fault
        self.is_first = number == 0
        self.running = 0
        self.queue: list[tuple[int, float]] = []
        self.burst_until_ms = 0.0

    def service_ms(self, now_ms: float) -> float:
        """Draw a service time."""
        time_ms = MEAN_MS * self.rng.lognormvariate(-(SIGMA**2) / 2, SIGMA)
        is_faulty = self.is_first and now_ms > FAULT_AT_MS
        if is_faulty and self.fault == 'straggler':
            return time_ms * 5
        if is_faulty and self.fault == 'freezes' and now_ms < 900:
            return time_ms + 900 - now_ms
        if self.fault == 'bursts':
            if now_ms > self.burst_until_ms and self.rng.random() < 0.002:
                self.burst_until_ms = now_ms + BURST_MS
            if now_ms < self.burst_until_ms:
                return time_ms * 4
        return time_ms

    def fails(self, now_ms: float) -> bool:
        """Tell whether a request fails at once."""
        is_faulty = self.is_first and now_ms > FAULT_AT_MS
        return is_faulty and self.fault == 'fails'

    def report(self) -> LoadReport:
        """Return the load as the guard would."""
        return LoadReport(self.running, SLOTS, len(self.queue), 0)


class Run:
    """One trial of one chooser."""

    def __init__(self, trial: Trial, chooser: str, seed: int) -> None:
        """Create servers, choosers and their views."""
        self.trial = trial
        self.rng = Random(seed)
        self.servers = [
            Server(number, trial, self.rng) for number in range(trial.servers)
        ]
        members = [
            Member(
                str(number),
                1,
                '',
                0,
                0,
                'r',
                server.zone,
                's',
                ServerState.SERVING,
                process_id=1,
            )
            for number, server in enumerate(self.servers)
        ]
        self.views = []
        for number in range(trial.choosers):
            zone = f'zone-{number % trial.zones}'
            if self.rng.random() < trial.home_share:
                zone = 'zone-0'
            view = ServiceView(ViewRules(chooser, zone), self.rng, 0)
            view.replace_members(members, 0)
            self.views.append(view)
        self.events: list = []
        self.order = count()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.failed = 0
        self.request_by_id: dict[int, tuple] = {}

    def push(self, at_ms: float, kind: str, request_id: int) -> None:
        """Plan an event."""
        heappush(self.events, (at_ms, next(self.order), kind, request_id))

    def run(self, requests: int) -> None:
        """Simulate until all requests have been answered."""
        rate = self.trial.load * self.trial.servers * SLOTS / MEAN_MS
        at_ms = 0.0
        for request_id in range(requests):
            at_ms += self.rng.expovariate(rate)
            self.push(at_ms, 'send', request_id)
        while self.events:
            now_ms, _, kind, request_id = heappop(self.events)
            getattr(self, kind)(now_ms, request_id)

    def send(self, now_ms: float, request_id: int) -> None:
        """Choose a server."""
        view = self.rng.choice(self.views)
        choice = view.choose(now_ms, (), 0)
        assert choice is not None
        daemon_id = choice.candidate.member.daemon_id
        view.begin(daemon_id, now_ms)
        way_ms = NEAR_MS if choice.candidate.near else FAR_MS
        self.request_by_id[request_id] = (
            view,
            daemon_id,
            now_ms,
            way_ms,
            choice.is_trial,
        )
        self.push(now_ms + way_ms, 'arrive', request_id)

    def arrive(self, now_ms: float, request_id: int) -> None:
        """Take a slot, or wait for one."""
        server = self.server_of(request_id)
        if server.fails(now_ms):
            self.push(now_ms + FAIL_MS, 'fail', request_id)
        elif server.running < SLOTS:
            server.running += 1
            end_ms = now_ms + server.service_ms(now_ms)
            self.push(end_ms, 'leave', request_id)
        else:
            server.queue.append((request_id, now_ms))

    def leave(self, now_ms: float, request_id: int) -> None:
        """Give the slot to the next in the queue, and answer."""
        server = self.server_of(request_id)
        if server.queue:
            waiting, _ = server.queue.pop(0)
            end_ms = now_ms + server.service_ms(now_ms)
            self.push(end_ms, 'leave', waiting)
        else:
            server.running -= 1
        self.answer(now_ms, request_id, failed=False)

    def fail(self, now_ms: float, request_id: int) -> None:
        """Answer with an error."""
        self.answer(now_ms, request_id, failed=True)

    def answer(self, now_ms: float, request_id: int, failed: bool) -> None:
        """Answer with the load of this moment, which arrives later."""
        entry = (*self.request_by_id[request_id], failed)
        report = self.server_of(request_id).report()
        self.request_by_id[request_id] = (*entry, report)
        self.push(now_ms + entry[3], 'hear', request_id)

    def hear(self, now_ms: float, request_id: int) -> None:
        """Tell the view."""
        request = self.request_by_id.pop(request_id)
        view, daemon_id, begun_ms, _, is_trial, failed, report = request
        took_ms = now_ms - begun_ms
        end = AttemptEnd('t', took_ms, failed, report=report)
        view.finish(daemon_id, end, now_ms, is_trial)
        if failed:
            self.failed += 1
        else:
            self.histogram.record_value(int(took_ms * 1000))

    def server_of(self, request_id: int) -> Server:
        """Return the server of a request."""
        return self.servers[int(self.request_by_id[request_id][1])]


@app.default
def main(requests: int = 15_000, seeds: int = 3, only: str = '') -> None:
    """Print p50, p99 and p99.9 in ms, and the share of failed requests."""
    begun = monotonic()
    names = [name for name in CHOOSERS.names() if only in name]
    for trial in TRIALS:
        print(f'{trial.name}: load {trial.load}, {trial.choosers} choosers')
        for name in names:
            runs = [Run(trial, name, seed) for seed in range(seeds)]
            merged = HdrHistogram(1, 60_000_000, 3)
            for run in runs:
                run.run(requests)
                merged.add(run.histogram)
            p50, p99, p999 = (
                merged.get_value_at_percentile(share) / 1000
                for share in (50, 99, 99.9)
            )
            failed = sum(run.failed for run in runs) / requests / seeds
            print(
                f'  {name:<17}{p50:>8.1f}{p99:>9.1f}{p999:>9.1f}{failed:>9.2%}',
                flush=True,
            )
    print(f'{requests} requests, {seeds} seeds, {monotonic() - begun:.0f} s')


if __name__ == '__main__':
    app()
