"""Decisions which connections close, and how long they wait for their peers."""

from collections.abc import Mapping
from typing import Final, NamedTuple, TypeVar

# While the daemon stops, a peer that takes no byte of a response for this time
# is treated as lost, so that it does not delay the next start; but not before
# the time is over that its request had.
DRAIN_STALL_TIMEOUT_S: Final = 1.5
# Time for a peer to close its side once all responses are sent. Closing with
# unread bytes resets the connection, which can destroy the end of a response
# on its way, so received bytes are read and discarded meanwhile.
LINGER_TIMEOUT_S: Final = 0.5
# Longest part of a response that is kept while it is not whole and others
# depend on its connection. Whole ones of a connection may keep four times as
# much in memory.
MAX_HELD_BYTES: Final = 1_048_576

Connection = TypeVar('Connection')


def may_begin_sending(
    held_bytes: int, *, is_whole: bool, others_depend: bool
) -> bool:
    """Return whether the first byte of the next response may be sent.

    A response that breaks off before can be replaced. Afterwards only the end
    of the connection tells that it broke off, and ends the responses behind
    it as well.

    Args:
        held_bytes: Bytes of the response that are kept.
        is_whole: Whether these are all.
        others_depend: Whether requests behind it were passed on.
    """
    return is_whole or not others_depend or held_bytes > MAX_HELD_BYTES


def stall_deadline_s(
    progress_s: float,
    idle_timeout_s: float,
    request_deadline_s: float,
    *,
    draining: bool,
) -> float:
    """Return until when a peer may take no bytes of a response.

    Args:
        progress_s: Time at which it last took some, in seconds.
        idle_timeout_s: Time without a request after which a connection is
            closed, in seconds.
        request_deadline_s: Time until which the client waits for the
            response, in seconds.
        draining: Whether the daemon stops.
    """
    if draining:
        return max(progress_s + DRAIN_STALL_TIMEOUT_S, request_deadline_s)
    return progress_s + idle_timeout_s


def closing_deadline_s(
    undelivered_bytes: int,
    progress_s: float,
    stall_end_s: float,
) -> float:
    """Return when a closing connection is closed without the peer's help.

    Args:
        undelivered_bytes: Response bytes that the peer has not acknowledged.
        progress_s: Time at which it last acknowledged some, in seconds.
        stall_end_s: Until when the peer may take no bytes, in seconds.
    """
    if undelivered_bytes:
        return stall_end_s
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


def is_stalled(
    progress: ClientProgress, now_s: float, stall_end_s: float
) -> bool:
    """Return whether a client has made no progress for too long.

    Args:
        progress: Progress of the client.
        now_s: Time in seconds.
        stall_end_s: Until when the client may make no progress, in seconds.
    """
    return progress.is_awaited and now_s >= stall_end_s


def choose_largest(
    sizes: Mapping[Connection, int], max_bytes: int
) -> list[Connection]:
    """Choose the connections to close so that the rest keep a limit.

    Args:
        sizes: Bytes that each connection holds.
        max_bytes: Limit for all together.

    Returns:
        Those that hold most; none while the limit is kept.
    """
    excess_bytes = sum(sizes.values()) - max_bytes
    chosen = []
    for connection in sorted(sizes, key=sizes.__getitem__, reverse=True):
        if excess_bytes <= 0:
            break
        chosen.append(connection)
        excess_bytes -= sizes[connection]
    return chosen
