"""First fetch of the targets, from the platform or peers."""

from asyncio import gather
from collections.abc import Iterable
from typing import Final

from returns.result import Failure, Success

from bergamotshunt.decisions.target_sources import (
    FetchPlan,
    PeerRevision,
    plan_fetch,
)
from bergamotshunt.kernel import MessageBus
from bergamotshunt.operators.targets import TargetSet
from bergamotshunt.operators.targets_messages import (
    PulledTargets,
    TargetsLearned,
)
from bergamotshunt.operators.targets_peers import TargetsPeers
from bergamotshunt.store.platform_targets import (
    Head,
    fetch_head,
    fetch_snapshot,
)

EVERYTHING: Final = -1
# A pull after this revision tells the peer's revision and nothing else.
NOTHING: Final = 2**62


async def learn_targets(
    bus: MessageBus,
    peers: TargetsPeers,
    addresses: Iterable[str],
    asked_ms: float,
) -> TargetsLearned | None:
    """Ask the platform and some peers, and fetch the newest targets.

    Args:
        bus: Message bus of the daemon.
        peers: Client for peers.
        addresses: Peers to ask.
        asked_ms: The time now, monotonic.

    Returns:
        The targets, or None when they could not be learned now.
    """
    head, usable = await gather(
        ask_platform(bus),
        ask_peers(peers, addresses),
    )
    plan = plan_fetch(None if head is None else head.revision, usable)
    if plan is None:
        return None
    target_set = await fetch_planned(bus, peers, plan)
    if target_set is None or target_set.revision < plan.revision:
        return None
    age_ms = min(
        (offer.age_ms for offer in usable if offer.revision == plan.revision),
        default=0,
    )
    if plan.from_platform:
        age_ms = 0
    return TargetsLearned(
        target_set=target_set,
        asked_ms=asked_ms,
        confirmed_ms=asked_ms - age_ms,
        reached_platform=plan.from_platform,
        reached_peer=bool(usable),
    )


async def ask_platform(bus: MessageBus) -> Head | None:
    """Return the platform's newest change, None without a response."""
    match await fetch_head(bus):
        case Success(head):
            return head
    return None


async def ask_peers(
    peers: TargetsPeers,
    addresses: Iterable[str],
) -> tuple[PeerRevision, ...]:
    """Return what the peers have that know the targets."""
    offers = await gather(
        *(ask_peer(peers, address) for address in addresses),
    )
    return tuple(offer for offer in offers if offer is not None)


async def ask_peer(peers: TargetsPeers, address: str) -> PeerRevision | None:
    """Return what a peer has, None when it knows no targets."""
    pulled = await peers.pull(address, NOTHING)
    if pulled is None or not pulled.loaded:
        return None
    return PeerRevision(address, pulled.revision, pulled.age_ms)


async def fetch_planned(
    bus: MessageBus,
    peers: TargetsPeers,
    plan: FetchPlan,
) -> TargetSet | None:
    """Fetch the targets from the first source that gives them."""
    if not plan.revision:
        return TargetSet(0, {})
    for address in plan.addresses:
        pulled = await peers.pull(address, EVERYTHING)
        if pulled is not None and pulled.snapshot is not None:
            return read_pulled_snapshot(pulled)
    match await fetch_snapshot(bus):
        case Success(target_set):
            return target_set
        case Failure(_):
            return None
    return None


def read_pulled_snapshot(pulled: PulledTargets) -> TargetSet:
    """Return the targets in a peer's response."""
    services = pulled.snapshot or ()
    return TargetSet(
        pulled.revision,
        {service.service: service for service in services},
    )
