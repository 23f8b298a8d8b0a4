"""Deadlines of calls and of their attempts, in monotonic milliseconds."""

from typing import Final

# Less time than this is not enough for one hop (0.5-0.7 ms at p99 in the
# trial that the design page names), so the attempt is not started.
MIN_ATTEMPT_MS: Final = 1.0
# A connection that takes longer than this goes to an unreachable host; a
# new connection costs about 1 ms. Another server is tried instead.
MAX_CONNECT_MS: Final = 500.0
MAX_DIGITS: Final = 12


def parse_deadline_ms(
    text: str | None,
    default_ms: int,
    longest_ms: int,
) -> int | None:
    """Read the time that a caller grants.

    Returns:
        Milliseconds, at most ``longest_ms``; the default when the caller
        states none; None when the text is malformed.
    """
    if text is None:
        return default_ms
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return min(int(text), longest_ms)


def attempt_timeout_ms(deadline_ms: float, now_ms: float) -> float | None:
    """Return the time for the next attempt, or None when it is too late."""
    remaining_ms = deadline_ms - now_ms
    return remaining_ms if remaining_ms >= MIN_ATTEMPT_MS else None


def connect_timeout_ms(timeout_ms: float) -> float:
    """Return the part of an attempt that a new connection may take.

    Half of the time stays for another server.
    """
    return min(timeout_ms / 2, MAX_CONNECT_MS)
