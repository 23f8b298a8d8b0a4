"""Load balancing policies of the simulation.

Each chooses a server for a request, or refuses it.
"""

from random import Random
from typing import Final

from bench.model.servers import Chooser, ModelServer, Request
from bergamotshunt.decisions.server_choice import (
    TypicalWork,
    choose_server,
    phase_start_delay_ms,
)
from bergamotshunt.decisions.slot_waits import TimeLeft, is_wait_worthwhile
from bergamotshunt.registries import Registry

POLICIES: Final = Registry[Chooser]('policy')
# Policies with the concurrency limit and the admission control of the
# daemon; all others fill every slot and queue without bound.
PRODUCT_POLICIES: Final = ('product',)


@POLICIES.register('random')
def choose_at_random(
    servers: list[ModelServer],
    _request: Request,
    _now_ms: float,
    rng: Random,
) -> int | None:
    """Choose a server uniformly at random."""
    return rng.randrange(len(servers))


@POLICIES.register('round-robin')
def choose_round_robin(
    servers: list[ModelServer],
    request: Request,
    _now_ms: float,
    _rng: Random,
) -> int | None:
    """Choose the servers in rotation."""
    return request.number % len(servers)


@POLICIES.register('two-choices')
def choose_of_two(
    servers: list[ModelServer],
    _request: Request,
    now_ms: float,
    rng: Random,
) -> int | None:
    """Choose the less loaded of two random servers, by last reports."""
    pair = rng.sample(servers, min(2, len(servers)))
    return min(pair, key=lambda server: _reported_load(server, now_ms)).number


@POLICIES.register('least-loaded')
def choose_least_loaded(
    servers: list[ModelServer],
    _request: Request,
    now_ms: float,
    _rng: Random,
) -> int | None:
    """Choose the server with the least load in its last report."""
    return min(
        servers, key=lambda server: _reported_load(server, now_ms)
    ).number


@POLICIES.register('product')
def choose_like_daemon(
    servers: list[ModelServer],
    request: Request,
    now_ms: float,
    rng: Random,
) -> int | None:
    """Choose or refuse with the decision functions of the daemon."""
    pattern = servers[0].pattern
    choice = choose_server(
        [server.last_report(now_ms) for server in servers],
        TypicalWork(pattern.work_ms),
        rng,
    )
    if choice is None:
        return None
    estimate = choice.estimate
    passed_ms = now_ms - request.arrived_ms
    left = TimeLeft(
        pattern.latency_objective_ms - passed_ms,
        pattern.client_timeout_ms - passed_ms,
    )
    if not is_wait_worthwhile(estimate.wait_ms, estimate.run_ms, left):
        return None
    return int(choice.instance)


@POLICIES.register('omniscient')
def choose_omniscient(
    servers: list[ModelServer],
    request: Request,
    now_ms: float,
    _rng: Random,
) -> int | None:
    """Choose the server whose response is first, knowing the future.

    A request that would miss its latency objective everywhere is refused.
    """
    ends_by_number = {
        server.number: server.true_end_ms(request, now_ms) for server in servers
    }
    best = min(ends_by_number, key=ends_by_number.__getitem__)
    latency_objective_ms = (
        request.arrived_ms + servers[0].pattern.latency_objective_ms
    )
    return best if ends_by_number[best] <= latency_objective_ms else None


def phase_start_wait_ms(
    servers: list[ModelServer],
    now_ms: float,
    rng: Random,
) -> float:
    """Return how long the daemon delays a request, in milliseconds.

    A run that extends past the end of a phase may become slow, so that it
    can pay off to wait for the next phase of a server.
    """
    pattern = servers[0].pattern
    views = [server.last_report(now_ms) for server in servers]
    typical_work = TypicalWork(pattern.work_ms)
    choice = choose_server(views, typical_work, rng)
    if choice is None:
        return 0
    return phase_start_delay_ms(
        views,
        typical_work,
        choice.estimate.total_ms,
        pattern.latency_objective_ms,
    )


def _reported_load(server: ModelServer, now_ms: float) -> float:
    view = server.last_report(now_ms)
    return view.load.running + view.load.waiting + view.unseen
