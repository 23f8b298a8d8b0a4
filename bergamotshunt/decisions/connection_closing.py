"""Decision how long a closing connection waits for its peer."""

from typing import Final, NamedTuple

# While the daemon stops, a peer that takes no byte of a response for this time
# is treated as lost, so that it does not delay the next start.
DRAIN_STALL_TIMEOUT_S: Final = 1.5
# Time for a peer to close its side once all responses are sent. Closing with
# unread bytes resets the connection, which can destroy the end of a response
# on its way, so received bytes are read and discarded meanwhile.
LINGER_TIMEOUT_S: Final = 0.5


def stall_timeout_s(idle_timeout_s: float, *, draining: bool) -> float:
    """Return how long a peer may take no bytes of a response, in seconds.

    Args:
        idle_timeout_s: Time without a request after which a connection is
            closed, in seconds.
        draining: Whether the daemon stops.
    """
    return DRAIN_STALL_TIMEOUT_S if draining else idle_timeout_s


def closing_deadline_s(
    undelivered_bytes: int,
    progress_s: float,
    stall_s: float,
) -> float:
    """Return when a closing connection is closed without the peer's help.

    Args:
        undelivered_bytes: Response bytes that the peer has not acknowledged.
        progress_s: Time at which it last acknowledged some, in seconds.
        stall_s: How long the peer may take no bytes, in seconds.
    """
    if undelivered_bytes:
        return progress_s + stall_s
    return progress_s + LINGER_TIMEOUT_S


class ClientProgress(NamedTuple):
    """What a connection awaits from its client, and what has moved.

    Attributes:
        is_awaited: Whether the client has to take or to send bytes.
        moved_bytes: Response bytes taken by the client; while the rest of a
            body is due, also body bytes received.
        draining: Whether the daemon stops.
        since_s: Time of the last change in seconds.
    """

    is_awaited: bool
    moved_bytes: int
    draining: bool
    since_s: float


def update_progress(
    previous: ClientProgress, current: ClientProgress
) -> ClientProgress:
    """Return the previous progress unless something has changed."""
    is_unchanged = current._replace(since_s=previous.since_s) == previous
    return previous if is_unchanged else current


def is_stalled(progress: ClientProgress, now_s: float, stall_s: float) -> bool:
    """Return whether a client has made no progress for too long.

    Args:
        progress: Progress of the client.
        now_s: Time in seconds.
        stall_s: How long the client may make no progress, in seconds.
    """
    return progress.is_awaited and now_s >= progress.since_s + stall_s
