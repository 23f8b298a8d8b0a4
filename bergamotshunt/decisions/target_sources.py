"""How a daemon that starts learns the targets."""

from typing import NamedTuple


class PeerRevision(NamedTuple):
    """What a peer has.

    Attributes:
        address: ``IP:port`` of the peer.
        revision: Revision in force there.
        age_ms: Time since it was known to be the newest.
    """

    address: str
    revision: int
    age_ms: float


class FetchPlan(NamedTuple):
    """Where to fetch the targets from.

    Attributes:
        revision: Lowest revision that may come into force, the newest
            that any of the sources told.
        addresses: Peers that have it.
        from_platform: Whether the platform has it.
    """

    revision: int
    addresses: tuple[str, ...]
    from_platform: bool


def plan_fetch(
    head_revision: int | None,
    peers: tuple[PeerRevision, ...],
) -> FetchPlan | None:
    """Choose the sources of the newest revision.

    A peer may be ahead of a stale response of the platform, and the platform
    ahead of a peer that was cut off. Peers are asked before the platform,
    so that a restart of the fleet does not read everything from it.

    Args:
        head_revision: The platform's newest revision; None without response.
        offers: Peers that know the targets.

    Returns:
        The plan, or None when nobody knows the targets.
    """
    if head_revision is None and not peers:
        return None
    revisions = [peer.revision for peer in peers]
    if head_revision is not None:
        revisions.append(head_revision)
    newest = max(revisions)
    return FetchPlan(
        newest,
        tuple(peer.address for peer in peers if peer.revision == newest),
        head_revision == newest,
    )
