"""From where a starting daemon fetches the targets."""

from typing import NamedTuple


class PeerRevision(NamedTuple):
    """Revision of the targets at a peer.

    Attributes:
        address: ``IP:port`` of the peer.
        revision: Revision in force there.
        age_ms: Time since it was last confirmed to be the newest.
    """

    address: str
    revision: int
    age_ms: float


class FetchPlan(NamedTuple):
    """Sources from which to fetch the targets.

    Attributes:
        revision: Lowest revision that may come into force: the newest one
            that any source reported.
        addresses: Peers that have this revision.
        from_platform: Whether the platform has this revision.
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
    ahead of a peer that was disconnected. Peers are asked before the
    platform, so that a restart of the fleet does not overload it.

    Args:
        head_revision: Newest revision of the platform; None when it did not
            respond.
        peers: Peers that have the targets.

    Returns:
        The plan, or None when no source has the targets.
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
