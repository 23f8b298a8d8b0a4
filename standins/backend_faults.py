"""Faults that a backend stand-in injects on request."""

from typing import NamedTuple


class BackendFaults(NamedTuple):
    """Faults that are active; shares are probabilities from 0 to 1.

    Attributes:
        straggle: Factor on service times; 1 is no fault.
        freeze: Whether new requests wait until the fault ends.
        fail_fast: Share of requests that get status 500 without execution.
        cut_short: Share whose connection closes after half of the body.
        late_ms: Time from the end of the execution to the response.
        refuse: Whether new connections are refused.
        foreign: Share that gets the response of an earlier request.
        shed: Share that is refused with the verdict ``not-run``.
        health: What health probes report: ``true`` (the real state), ``lie``
            (always healthy) or ``lag`` (the state at the previous probe).
        run_twice: Whether each request counts as two executions. It shows
            that a check on duplicate executions detects them.
        deny_run: Share that is executed and then refused as ``not-run``.
            It shows that a check of verdicts detects a false one.
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
