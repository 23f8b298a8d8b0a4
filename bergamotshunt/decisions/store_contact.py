"""Whether a pending watch of the store can still deliver changes."""

from math import inf
from typing import Final, NamedTuple

# A daemon renews its lease more often than this. A longer time without a call
# means that the process was suspended.
MAX_CALL_GAP_S: Final = 5.0


class StoreContact(NamedTuple):
    """What the calls of a daemon, apart from watches, tell of the store.

    Attributes:
        failing: Whether the last call failed.
        called_s: Monotonic time at which the last call ended.
        recovered_s: Monotonic time at which the first call was sent that
            was answered after a failure or a suspension.
    """

    failing: bool = False
    called_s: float = inf
    recovered_s: float = -inf


def record_call(
    contact: StoreContact,
    sent_s: float,
    ended_s: float,
    *,
    failed: bool,
) -> StoreContact:
    """Record the outcome of a call that is not a watch.

    Args:
        contact: What was known before.
        sent_s: Monotonic time at which the call was sent.
        ended_s: Monotonic time at which it was answered or failed.
        failed: Whether it failed.
    """
    if failed:
        return contact._replace(failing=True, called_s=ended_s)
    was_suspended = sent_s - contact.called_s > MAX_CALL_GAP_S
    if contact.failing or was_suspended:
        return StoreContact(called_s=ended_s, recovered_s=sent_s)
    return contact._replace(called_s=ended_s)


def is_watch_lost(asked_s: float, contact: StoreContact) -> bool:
    """Return whether a pending watch has to be asked again.

    A store that fell silent never answers the watches that it had accepted,
    not even after its return, and their connections stay open. Only watches
    that were asked after the first answered call are known to be served.

    Args:
        asked_s: Monotonic time at which the watch was asked.
        contact: What other calls tell of the store.
    """
    return asked_s < contact.recovered_s
