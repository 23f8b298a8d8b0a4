"""Rate limit and circuit breaker of the calls to the platform."""

from random import Random
from typing import Final, NamedTuple

# A single lost response does not open the circuit; an outage loses them all.
TOLERATED_FAILURES: Final = 1
MIN_OPEN_MS: Final = 100
# Bounds the time until a daemon notices that the platform is back.
MAX_OPEN_MS: Final = 5000
# Keeps the power of two small after many failures; the open time reaches
# MAX_OPEN_MS at exponent 6.
MAX_BACKOFF_EXPONENT: Final = 10
MS_PER_S: Final = 1000


class CallRate(NamedTuple):
    """Token bucket of the calls to the platform.

    Attributes:
        tokens: Calls that may be sent now; negative when calls wait.
        updated_ms: When ``tokens`` was computed.
    """

    tokens: float
    updated_ms: float


def reserve_call(
    rate: CallRate,
    calls_per_s: float,
    max_wait_ms: float,
    now_ms: float,
) -> tuple[CallRate, float | None]:
    """Take one token, in advance if the bucket is empty.

    Args:
        rate: Token bucket.
        calls_per_s: Rate of the refill; also the capacity.
        max_wait_ms: Longest wait before the call.
        now_ms: Monotonic time.

    Returns:
        The new bucket, and the time in ms to wait before the call; None
        when the wait would be too long and no token was taken.
    """
    refilled = (now_ms - rate.updated_ms) * calls_per_s / MS_PER_S
    tokens = min(calls_per_s, rate.tokens + refilled)
    wait_ms = max(0, (1 - tokens) * MS_PER_S / calls_per_s)
    if wait_ms > max_wait_ms:
        return CallRate(tokens, now_ms), None
    return CallRate(tokens - 1, now_ms), wait_ms


class Circuit(NamedTuple):
    """Circuit breaker; while it is open, calls fail immediately.

    Attributes:
        failures: Calls that failed since the last one that succeeded.
        open_until_ms: Monotonic time until which calls fail immediately.
    """

    failures: int = 0
    open_until_ms: float = 0


def admit_call(
    circuit: Circuit,
    trial_ms: float,
    now_ms: float,
) -> tuple[Circuit, bool]:
    """Return whether a call may be sent.

    When the circuit becomes half-open, a single call is sent as a trial;
    until it ends, at most ``trial_ms``, further calls fail immediately.

    Args:
        circuit: Circuit breaker.
        trial_ms: Time for which a trial blocks further calls.
        now_ms: Monotonic time.

    Returns:
        The new state, and whether the call may be sent.
    """
    if circuit.failures <= TOLERATED_FAILURES:
        return circuit, True
    if now_ms < circuit.open_until_ms:
        return circuit, False
    return circuit._replace(open_until_ms=now_ms + trial_ms), True


def record_failed_call(
    circuit: Circuit,
    rng: Random,
    now_ms: float,
) -> Circuit:
    """Count a failure; open times grow exponentially, with jitter."""
    failures = circuit.failures + 1
    exponent = min(failures - TOLERATED_FAILURES - 1, MAX_BACKOFF_EXPONENT)
    if exponent < 0:
        return Circuit(failures, 0)
    max_open_ms = min(MIN_OPEN_MS * 2**exponent, MAX_OPEN_MS)
    open_ms = rng.uniform(max_open_ms / 2, max_open_ms)
    return Circuit(failures, now_ms + open_ms)
