"""Table of the known members, with digests to compare it with a peer's."""

from sys import intern
from typing import Final

from xxhash import xxh32_intdigest

from bergamotshunt.peers.members import Member, MemberStatus, is_live

# At 7,200 members a bucket holds 28, so one difference transfers 28 records.
BUCKET_COUNT: Final = 256


def bucket_of(daemon_id: str) -> int:
    """Return the number of the bucket that holds a daemon id."""
    return xxh32_intdigest(daemon_id.encode()) % BUCKET_COUNT


def digest_of(member: Member) -> int:
    """Return a member's part of its bucket's digest.

    Dead and left members contribute nothing: daemons remove them at
    different times, which needs no sync. The status ``SUSPECT`` does not
    count either, as gossip resolves suspicions.
    """
    if not is_live(member):
        return 0
    identity = f'{member.daemon_id}|{member.incarnation}|{member.process_id}'
    return xxh32_intdigest(identity.encode())


class MemberTable:
    """Members by daemon id.

    Attributes:
        by_id: Records by daemon id.
        digests: For each bucket the combined digest of its live members.
        live_count: Members that are alive or suspected.
        gone_ms_by_id: Monotonic time when dead and left members were
            marked so.
        changed_ids: Ids that changed since ``pop_changed_ids``.
        changed_era_ids: Ids whose era alone changed since then.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[str, Member] = {}
        self.digests = [0 for _bucket in range(BUCKET_COUNT)]
        self.live_count = 0
        self.gone_ms_by_id: dict[str, float] = {}
        self.changed_ids: set[str] = set()
        self.changed_era_ids: set[str] = set()

    def put(self, member: Member, now_ms: float) -> None:
        """Store a record; it replaces any known one."""
        # A fleet has few regions, zones and services; interning them saves
        # some 200 bytes a member.
        member = member._replace(
            region=intern(member.region),
            availability_zone=intern(member.availability_zone),
            service=intern(member.service),
        )
        self._subtract_from_totals(member.daemon_id)
        self.by_id[member.daemon_id] = member
        self.digests[bucket_of(member.daemon_id)] ^= digest_of(member)
        if is_live(member):
            self.live_count += 1
            self.gone_ms_by_id.pop(member.daemon_id, None)
        else:
            self.gone_ms_by_id[member.daemon_id] = now_ms
        self.changed_ids.add(member.daemon_id)

    def put_era(self, daemon_id: str, era: int) -> None:
        """Store a member's newer era."""
        self.by_id[daemon_id] = self.by_id[daemon_id]._replace(era=era)
        self.changed_era_ids.add(daemon_id)

    def remove(self, daemon_id: str) -> None:
        """Remove a record."""
        self._subtract_from_totals(daemon_id)
        self.by_id.pop(daemon_id, None)
        self.gone_ms_by_id.pop(daemon_id, None)
        self.changed_ids.add(daemon_id)

    def remove_expired(
        self,
        now_ms: float,
        kept_ms_by_status: dict[MemberStatus, float],
    ) -> None:
        """Remove dead and left members after their retention times."""
        expired = [
            daemon_id
            for daemon_id, gone_ms in self.gone_ms_by_id.items()
            if now_ms - gone_ms > kept_ms_by_status[self.status_of(daemon_id)]
        ]
        for daemon_id in expired:
            self.remove(daemon_id)

    def status_of(self, daemon_id: str) -> MemberStatus:
        """Return the status of a known member."""
        return self.by_id[daemon_id].status

    def is_live(self, daemon_id: str) -> bool:
        """Return whether the id is of a member that is alive or suspected."""
        known = self.by_id.get(daemon_id)
        return known is not None and is_live(known)

    def dead_ids(self) -> list[str]:
        """Return the ids of dead members, without those that left."""
        return [
            daemon_id
            for daemon_id in self.gone_ms_by_id
            if self.status_of(daemon_id) is MemberStatus.DEAD
        ]

    def pop_changed_ids(self) -> frozenset[str]:
        """Return the ids that changed since the last call."""
        changed = frozenset(self.changed_ids | self.changed_era_ids)
        self.changed_ids.clear()
        self.changed_era_ids.clear()
        return changed

    def _subtract_from_totals(self, daemon_id: str) -> None:
        known = self.by_id.get(daemon_id)
        if known is None:
            return
        self.digests[bucket_of(daemon_id)] ^= digest_of(known)
        if is_live(known):
            self.live_count -= 1
