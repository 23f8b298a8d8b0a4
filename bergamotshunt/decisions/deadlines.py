"""Deadlines of calls and of their attempts, in monotonic milliseconds."""

from typing import Final

# With less time left, an attempt is not started: one hop takes 0.5-0.7 ms at
# p99.
MIN_ATTEMPT_MS: Final = 1.0
# A host that accepts no connection within this time counts as unreachable,
# and another server is tried. A new connection takes about 1 ms.
MAX_CONNECT_MS: Final = 500.0
MAX_DIGITS: Final = 12


def parse_timeout_ms(
    text: str | None,
    default_ms: int,
    max_ms: int,
) -> int | None:
    """Parse the time that a caller grants for a call.

    Args:
        text: Decimal number of milliseconds, or None when not stated.
        default_ms: Time when the caller states none.
        max_ms: Upper bound.

    Returns:
        Time in ms, or None when the text is malformed.
    """
    if text is None:
        return default_ms
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return min(int(text), max_ms)


def attempt_timeout_ms(deadline_ms: float, now_ms: float) -> float | None:
    """Return the timeout of the next attempt, or None when it is too late."""
    remaining_ms = deadline_ms - now_ms
    return remaining_ms if remaining_ms >= MIN_ATTEMPT_MS else None


def connect_timeout_ms(timeout_ms: float) -> float:
    """Return the timeout for opening a connection of an attempt.

    Half of the time is reserved for another server.
    """
    return min(timeout_ms / 2, MAX_CONNECT_MS)
