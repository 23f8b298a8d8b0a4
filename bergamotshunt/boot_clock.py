"""Time that also passes while the process or its host is suspended."""

from time import CLOCK_BOOTTIME, clock_gettime


def boot_time_s() -> float:
    """Return the time since the start of the host, in seconds.

    The monotonic clock stands still during a suspension, so it cannot tell
    how old a confirmation is.
    """
    return clock_gettime(CLOCK_BOOTTIME)
