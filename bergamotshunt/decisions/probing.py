"""Order of the SWIM probes, and state of pending ones."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.peers.datagrams import Endpoint

# Sampling attempts per requested member; until the next shuffle, the order
# may contain members that are gone.
SAMPLE_ATTEMPTS: Final = 8


class Probe(NamedTuple):
    """A probe of this daemon that waits for its ack; times are monotonic.

    Attributes:
        target: Daemon id of the probed member.
        incarnation: Incarnation of the target when the probe was sent.
        indirect_ms: When indirect probes are requested.
        deadline_ms: When the probe has failed.
        indirect_requested: Whether indirect probes were requested.
        has_intermediaries: Whether there was a member to request them from.
        nacks: Number of intermediaries whose own probe failed too.
        is_dead_probe: Whether the target was dead, so that a failure has no
            consequence.
    """

    target: str
    incarnation: int
    indirect_ms: float
    deadline_ms: float
    indirect_requested: bool = False
    has_intermediaries: bool = False
    nacks: int = 0
    is_dead_probe: bool = False


class RelayedProbe(NamedTuple):
    """A probe that this daemon sent for another member; times are monotonic.

    Attributes:
        requester: Address that the ack or nack goes to.
        sequence: Sequence number of the requester's probe.
        target: Daemon id of the probed member.
        deadline_ms: When a nack is sent to the requester.
    """

    requester: Endpoint
    sequence: int
    target: str
    deadline_ms: float


class ProbeOrder:
    """Members in the shuffled order in which they are probed.

    Each member is probed once per pass. Unlike with a random choice, the
    time to the first probe of a failed member is bounded.
    """

    def __init__(self, rng: Random) -> None:
        """Create an order without members."""
        self.rng = rng
        self.ids: list[str] = []
        self.position = 0

    def add(self, daemon_id: str) -> None:
        """Insert a member at a random position."""
        self.ids.insert(self.rng.randint(0, len(self.ids)), daemon_id)

    def next_id(
        self,
        is_wanted: Callable[[str], bool],
        live_ids: Callable[[], Iterable[str]],
    ) -> str | None:
        """Return the next member to probe, or None if there is none.

        Args:
            is_wanted: Returns whether a member may be probed.
            live_ids: Returns the ids of all members, for the next pass.
        """
        while self.position < len(self.ids):
            candidate = self.ids[self.position]
            self.position += 1
            if is_wanted(candidate):
                return candidate
        self.ids = sorted(set(filter(is_wanted, live_ids())))
        self.rng.shuffle(self.ids)
        self.position = 0
        if not self.ids:
            return None
        self.position = 1
        return self.ids[0]

    def sample(
        self,
        count: int,
        is_wanted: Callable[[str], bool],
    ) -> list[str]:
        """Return up to ``count`` distinct random members."""
        sampled: list[str] = []
        attempts = count * SAMPLE_ATTEMPTS if self.ids else 0
        while attempts and len(sampled) < count:
            attempts -= 1
            candidate = self.rng.choice(self.ids)
            if candidate not in sampled and is_wanted(candidate):
                sampled.append(candidate)
        return sampled
