"""Probing: the order of probes and the state of those under way."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final, NamedTuple

from bergamotshunt.peers.datagrams import Endpoint

# Attempts per wanted member when sampling; the order may hold members
# that are gone until the next shuffle.
SAMPLE_ATTEMPTS: Final = 8


class Probe(NamedTuple):
    """A probe of this daemon that waits for its response.

    Attributes:
        target: Daemon id of the probed member.
        incarnation: Incarnation of the target when the probe was sent.
        indirect_ms: When other members are asked to probe.
        deadline_ms: When the probe has failed.
        asked: Whether other members had to be asked to probe.
        helped: Whether there was any other member to ask.
        nacks: Members that were asked and answered that they failed too.
        contact: Whether the target was dead: no failure is counted.
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
    """A probe that this daemon sent for another member.

    Attributes:
        requester: Where the response goes.
        sequence: Number of the requester's probe.
        target: Daemon id of the probed member.
        deadline_ms: When the requester is told that it failed.
    """

    requester: Endpoint
    sequence: int
    target: str
    deadline_ms: float


class ProbeOrder:
    """Members in the shuffled order in which they are probed.

    Each member is probed once in a pass, so the time to the first probe
    of a failed member is bounded, unlike with random choice.
    """

    def __init__(self, rng: Random) -> None:
        """Create an order without members."""
        self.rng = rng
        self.ids: list[str] = []
        self.position = 0

    def add(self, daemon_id: str) -> None:
        """Insert a member at a random place."""
        self.ids.insert(self.rng.randint(0, len(self.ids)), daemon_id)

    def next_id(
        self,
        is_wanted: Callable[[str], bool],
        live_ids: Callable[[], Iterable[str]],
    ) -> str | None:
        """Return the next member to probe, or None.

        Args:
            is_wanted: Whether a member may be probed.
            live_ids: All members for the next pass.
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
        """Return up to ``count`` different random members."""
        sampled: list[str] = []
        attempts = count * SAMPLE_ATTEMPTS if self.ids else 0
        while attempts and len(sampled) < count:
            attempts -= 1
            candidate = self.rng.choice(self.ids)
            if candidate not in sampled and is_wanted(candidate):
                sampled.append(candidate)
        return sampled
