"""Faults that a backend stand-in injects on demand."""

from typing import NamedTuple


class Faults(NamedTuple):
    """Faults in force; shares are probabilities from 0 to 1.

    Attributes:
        straggle: Factor on service times.
        freeze: Whether requests wait until the fault ends.
        fail_fast: Share that is answered 500 at once.
        cut_short: Share whose response ends after half of the body.
        late_ms: Time between the end of a run and its response.
        refuse: Whether new connections are refused.
        foreign: Share answered with another request's response.
        shed: Share that is refused as not run.
        health: ``true``, ``lie`` (always healthy) or ``lag`` (one behind).
        run_twice: Whether each run is done twice; must fail the judge.
        deny_run: Share refused as not run after the run; must fail it.
    """

    straggle: float = 1
    freeze: bool = False
    fail_fast: float = 0
    cut_short: float = 0
    late_ms: float = 0
    refuse: bool = False
    foreign: float = 0
    shed: float = 0
    health: str = 'true'
    run_twice: bool = False
    deny_run: float = 0
