"""Members by service, kept up to date from changes."""

from collections import defaultdict
from collections.abc import Collection, Mapping

from bergamotshunt.peers.members import Member


class ServiceIndex:
    """All known members, and the ids of the members of each service."""

    def __init__(self) -> None:
        """Create an index without members."""
        self.members_by_id: Mapping[str, Member] = {}
        self._ids_by_service: dict[str, set[str]] = defaultdict(set)

    def update(
        self,
        members_by_id: Mapping[str, Member],
        changed_ids: Collection[str] = (),
    ) -> set[str]:
        """Replace the known members.

        Args:
            members_by_id: All members.
            changed_ids: Members that may have changed since the last update;
                empty when all may have.

        Returns:
            The services whose members changed.
        """
        before = self.members_by_id
        changed = changed_ids or before.keys() | members_by_id.keys()
        self.members_by_id = members_by_id
        services = set()
        for daemon_id in changed:
            known = before.get(daemon_id)
            member = members_by_id.get(daemon_id)
            if known == member:
                continue
            if known is not None:
                services.add(known.service)
                self._ids_by_service[known.service].discard(daemon_id)
            if member is not None:
                services.add(member.service)
                self._ids_by_service[member.service].add(daemon_id)
        return services

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service, sorted by daemon id."""
        return [
            self.members_by_id[daemon_id]
            for daemon_id in sorted(self._ids_by_service.get(service, ()))
        ]
