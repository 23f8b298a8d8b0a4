"""Permission to send a request, which ends at a moment."""

from collections.abc import Callable
from typing import Final, NamedTuple

MS_PER_S: Final = 1000


class Permit(NamedTuple):
    """Permission to send a request to a backend server.

    Attributes:
        end_s: Boot time of its end.
        boot_clock: Returns the boot time in seconds.
    """

    end_s: float
    boot_clock: Callable[[], float]

    def left_ms(self) -> float:
        """Return the time until its end in milliseconds."""
        return (self.end_s - self.boot_clock()) * MS_PER_S

    def has_ended(self) -> bool:
        """Return whether the request must not be sent any more."""
        return self.left_ms() <= 0


def create_permit(
    left_ms: float | None, boot_clock: Callable[[], float]
) -> Permit | None:
    """Create a permit that ends in some time; None for one without an end."""
    if left_ms is None:
        return None
    return Permit(boot_clock() + left_ms / MS_PER_S, boot_clock)
