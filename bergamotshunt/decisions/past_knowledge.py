"""What a new process may take for certain of the time before its start.

The process before it may have acknowledged that the server of the host leaves.
Only daemons that were there at that time can tell that it has not.
"""

from collections.abc import Iterable
from enum import IntEnum
from typing import Final, NamedTuple

from bergamotshunt.decisions.leaving_records import (
    RETENTION_S,
    choose_witnesses,
)
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.routing import ServerEntry

# Two of three that have recorded an entry and two that answer have one in
# common.
MIN_CONFIRMATIONS: Final = 2


class PastKnowledge(IntEnum):
    """How much a process knows of what the one before it acknowledged.

    Attributes:
        UNKNOWN: Those who may know did not answer. A server has to announce
            itself twice.
        UNOPPOSED: Nobody who answered knows that the server leaves, or nobody
            is there to ask, but a record may be lost. The server itself has
            to tell that it runs.
        CERTAIN: What is not known was not acknowledged.
    """

    UNKNOWN = 0
    UNOPPOSED = 1
    CERTAIN = 2


class WitnessAnswer(NamedTuple):
    """Answer of a daemon about the server of another host.

    Attributes:
        peer: The daemon.
        entry: The entry of a leaving server that it remembers, if any.
        remembers_all: Whether it was there for as long as records are kept,
            or since the fleet started for the first time.
        witnesses: Whom it would choose as witnesses of the host, of all
            daemons that it has known for as long as records are kept.
        failure: Why it did not answer; empty if it did.
    """

    peer: FeedPeer
    entry: ServerEntry | None = None
    remembers_all: bool = False
    witnesses: tuple[FeedPeer, ...] = ()
    failure: str = ''


def confirmations_needed(witnesses: tuple[FeedPeer, ...]) -> int:
    """Return how many of the witnesses of a host have to answer."""
    return min(MIN_CONFIRMATIONS, len(witnesses))


def list_witnesses(
    own_ip: str,
    peers: Iterable[FeedPeer],
    answers: Iterable[WitnessAnswer],
) -> tuple[FeedPeer, ...]:
    """Return the witnesses of a host by all that is known of the fleet.

    The store may lack most daemons for a while after their leases have run
    out; those that answer have known them before.

    Args:
        own_ip: Address of the host.
        peers: Daemons that its new process knows.
        answers: Answers to it.
    """
    known = set(peers)
    for answer in answers:
        known.update(answer.witnesses)
    return choose_witnesses(own_ip, known)


def judge_past(
    witnesses: tuple[FeedPeer, ...], answers: Iterable[WitnessAnswer]
) -> PastKnowledge:
    """Return how much is known of the time before the start of a process.

    Args:
        witnesses: The witnesses of its host.
        answers: Answers to it, also of other daemons.
    """
    given = [answer for answer in answers if not answer.failure]
    lasting = [
        answer
        for answer in given
        if answer.remembers_all and answer.peer in witnesses
    ]
    if lasting and len(lasting) >= confirmations_needed(witnesses):
        return PastKnowledge.CERTAIN
    if len(given) >= confirmations_needed(witnesses):
        return PastKnowledge.UNOPPOSED
    return PastKnowledge.UNKNOWN


def remembers_all(
    started_s: float, now_s: float, *, is_first_start: bool
) -> bool:
    """Return whether a daemon has seen all records that still matter.

    Args:
        started_s: Monotonic time of its start.
        now_s: Monotonic time.
        is_first_start: Whether the whole fleet started for the first time.
    """
    return is_first_start or now_s - started_s >= RETENTION_S


class RecentDaemons:
    """Daemons that were known within the time for which records are kept."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._present: frozenset[FeedPeer] = frozenset()
        self._gone_s_by_peer: dict[FeedPeer, float] = {}

    def update(self, present: Iterable[FeedPeer], now_s: float) -> None:
        """Record which daemons are known now.

        Args:
            present: The daemons.
            now_s: Monotonic time.
        """
        now_present = frozenset(present)
        for peer in self._present - now_present:
            self._gone_s_by_peer[peer] = now_s
        self._present = now_present

    def list_known(self, now_s: float) -> frozenset[FeedPeer]:
        """Return the daemons that were known recently.

        Args:
            now_s: Monotonic time.
        """
        self._gone_s_by_peer = {
            peer: gone_s
            for peer, gone_s in self._gone_s_by_peer.items()
            if now_s - gone_s < RETENTION_S
        }
        return self._present | self._gone_s_by_peer.keys()
