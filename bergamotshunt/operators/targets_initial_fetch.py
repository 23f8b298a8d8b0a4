"""Fetches the targets from the platform or peers after a start."""

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
    InitialTargetsFetched,
    PulledTargets,
)
from bergamotshunt.operators.targets_peer_api import TargetsPeerClient
from bergamotshunt.store.platform_targets import (
    Head,
    fetch_head,
    fetch_snapshot,
)

# A pull after this revision returns all targets.
PULL_ALL_REVISION: Final = -1
# A pull after this revision returns the revision in force without changes.
PULL_NO_CHANGES_REVISION: Final = 2**62


async def fetch_initial_targets(
    bus: MessageBus,
    peers: TargetsPeerClient,
    addresses: Iterable[str],
    requested_ms: float,
) -> InitialTargetsFetched | None:
    """Fetch the newest targets that the platform or some peers have.

    Args:
        bus: Message bus of the daemon.
        peers: Client for the peer API.
        addresses: Peers to ask, as ``IP:port``.
        requested_ms: Current time, monotonic, in ms.

    Returns:
        The targets, or None when no source could provide them.
    """
    head, peer_revisions = await gather(
        fetch_platform_head(bus),
        fetch_peer_revisions(peers, addresses),
    )
    plan = plan_fetch(None if head is None else head.revision, peer_revisions)
    if plan is None:
        return None
    target_set = await fetch_by_plan(bus, peers, plan)
    if target_set is None or target_set.revision < plan.revision:
        return None
    age_ms = min(
        (
            peer_revision.age_ms
            for peer_revision in peer_revisions
            if peer_revision.revision == plan.revision
        ),
        default=0,
    )
    if plan.from_platform:
        age_ms = 0
    return InitialTargetsFetched(
        target_set=target_set,
        requested_ms=requested_ms,
        confirmed_ms=requested_ms - age_ms,
        reached_platform=plan.from_platform,
        reached_peer=bool(peer_revisions),
    )


async def fetch_platform_head(bus: MessageBus) -> Head | None:
    """Return the platform's newest change; None without a response."""
    match await fetch_head(bus):
        case Success(head):
            return head
    return None


async def fetch_peer_revisions(
    peers: TargetsPeerClient,
    addresses: Iterable[str],
) -> tuple[PeerRevision, ...]:
    """Return the revisions of the peers that have the targets."""
    replies = await gather(
        *(fetch_peer_revision(peers, address) for address in addresses),
    )
    return tuple(
        peer_revision for peer_revision in replies if peer_revision is not None
    )


async def fetch_peer_revision(
    peers: TargetsPeerClient, address: str
) -> PeerRevision | None:
    """Return a peer's revision; None when it does not have the targets."""
    pulled = await peers.pull(address, PULL_NO_CHANGES_REVISION)
    if pulled is None or not pulled.loaded:
        return None
    return PeerRevision(address, pulled.revision, pulled.age_ms)


async def fetch_by_plan(
    bus: MessageBus,
    peers: TargetsPeerClient,
    plan: FetchPlan,
) -> TargetSet | None:
    """Fetch the targets from the planned peers, else from the platform.

    Returns:
        The targets, or None when no source provided them.
    """
    if not plan.revision:
        return TargetSet(0, {})
    for address in plan.addresses:
        pulled = await peers.pull(address, PULL_ALL_REVISION)
        if pulled is not None and pulled.snapshot is not None:
            return target_set_from_snapshot(pulled)
    match await fetch_snapshot(bus):
        case Success(target_set):
            return target_set
        case Failure(_):
            return None
    return None


def target_set_from_snapshot(pulled: PulledTargets) -> TargetSet:
    """Convert the snapshot in a peer's response to a target set."""
    services = pulled.snapshot or ()
    return TargetSet(
        pulled.revision,
        {service.service: service for service in services},
    )
