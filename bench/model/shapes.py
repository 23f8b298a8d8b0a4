"""Fleets and load patterns of the simulation."""

from typing import Final, NamedTuple

from bergamotshunt.registries import Registry


class Pattern(NamedTuple):
    """A fleet of servers and the load on it; times in milliseconds.

    Attributes:
        servers: Number of backend servers of the service.
        slots: Requests that a server runs concurrently.
        work_ms: Mean time that a request takes at a pace of 1.
        latency_objective_ms: Latency within which a response has its full
            utility.
        client_timeout_ms: Latency at which the client gives up.
        load: Offered load as a share of the slots of all servers.
        burst: Factor on the load during the middle third of the run.
        slow_share: Share of phases in which a server is slow because of
            other load on its host.
        slow_pace: Slowdown factor of work in a slow phase.
        phase_ms: Length of a phase.
        saturated_pace: Slowdown factor of work when all slots are busy.
        report_ms: Interval between load reports of a server.
        run_ms: Time during which requests arrive.
    """

    servers: int = 6
    slots: int = 9
    work_ms: float = 240
    latency_objective_ms: float = 600
    client_timeout_ms: float = 1500
    load: float = 0.4
    burst: float = 1
    slow_share: float = 0.25
    slow_pace: float = 7
    phase_ms: float = 500
    saturated_pace: float = 1
    report_ms: float = 40
    run_ms: float = 20_000


PATTERNS: Final = Registry[Pattern]('pattern')
PATTERNS.register('calm')(Pattern())
PATTERNS.register('busy')(Pattern(load=0.65))
PATTERNS.register('burst')(Pattern(load=0.55, burst=1.7))
PATTERNS.register('overload')(Pattern(load=1.2))
PATTERNS.register('crowding')(
    Pattern(
        servers=7,
        slots=13,
        work_ms=90,
        latency_objective_ms=200,
        client_timeout_ms=500,
        load=0.7,
        slow_share=0.35,
        saturated_pace=1.7,
    )
)
PATTERNS.register('few')(Pattern(servers=2, load=0.4))
