"""Decision how long a closing connection waits for its peer."""

from typing import Final

# A peer that takes no byte of a response for this time is treated as lost.
STALL_TIMEOUT_S: Final = 1.5
# Time for a peer to close its side once all responses are sent. Closing with
# unread bytes resets the connection, which can destroy the end of a response
# on its way, so received bytes are read and discarded meanwhile.
LINGER_TIMEOUT_S: Final = 0.5


def closing_deadline_s(unsent_bytes: int, progress_s: float) -> float:
    """Return when a closing connection is closed without the peer's help.

    Args:
        unsent_bytes: Response bytes that the system has not accepted yet.
        progress_s: Time at which the system last accepted some, in seconds.
    """
    if unsent_bytes:
        return progress_s + STALL_TIMEOUT_S
    return progress_s + LINGER_TIMEOUT_S
