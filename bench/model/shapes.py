"""Fleets and load patterns that the model plays."""

from typing import Final, NamedTuple

from bergamotshunt.registries import Registry


class Pattern(NamedTuple):
    """A fleet and the load on it; times in milliseconds.

    Attributes:
        servers: Backend servers of the service.
        slots: Requests that one runs at a time.
        work_ms: Mean work of a request at the usual pace.
        latency_objective_ms: Time within which a response counts in full.
        client_timeout_ms: Time after which the client has left.
        load: Work that arrives, as a share of all slots.
        burst: Factor on the load in the middle third of the run.
        slow_share: Share of turns in which neighbours slow a server.
        slow_pace: How much longer work takes then.
        phase_ms: Length of a turn.
        saturated_pace: How much longer work takes with all slots taken.
        report_ms: Pause between load reports of a server.
        run_ms: Length of the run.
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
