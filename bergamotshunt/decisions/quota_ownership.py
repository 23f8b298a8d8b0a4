"""Times from which a daemon may grant tokens of the shards that it owns.

Daemons learn of a change of the members at different times, and one without
contact does not learn of it at all. A new owner therefore waits until every
earlier one has stopped.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from bergamotshunt.decisions.quota_shards import (
    Shard,
    choose_owner,
    list_candidates,
)

# Largest difference between the views of daemons in contact.
VIEW_LAG_S: Final = 1.0
# An owner grants for this time after the last confirmation of its contact.
CONTACT_LIMIT_S: Final = 2.5
# The earlier owner may have seen the members ``VIEW_LAG_S`` late and lost
# contact just then. The last term is for a change that was taken back so soon
# that the earlier owner never saw it.
START_DELAY_S: Final = VIEW_LAG_S + CONTACT_LIMIT_S + VIEW_LAG_S
# While the fleet starts for the first time, no daemon has granted any tokens
# before; only the views of daemons in contact differ.
FIRST_START_DELAY_S: Final = 1.5
FIRST_START_S: Final = 10.0
MAX_VIEWS: Final = 128


class MemberView(NamedTuple):
    """Members from some time on.

    Attributes:
        since_s: Boot time of the change.
        delay_s: Time for which a daemon waits that owns a shard since then.
        ips_by_zone: Addresses of the members of each zone.
    """

    since_s: float
    delay_s: float
    ips_by_zone: Mapping[str, Sequence[str]]


class Ownership:
    """Shards that a daemon owns, by its own view of the members.

    Args:
        own_ip: Address of the daemon.
        is_first_start: Whether the whole fleet starts for the first time.
        started_s: Boot time of the start of this process.

    Attributes:
        ips_by_zone: Addresses of the members of each zone.
        revision: Increases with each change of the members.
    """

    def __init__(
        self,
        own_ip: str,
        started_s: float,
        *,
        is_first_start: bool = False,
    ) -> None:
        """Create the ownership of a daemon that knows no member."""
        self._own_ip = own_ip
        self._first_start_end_s = (
            started_s + FIRST_START_S if is_first_start else started_s
        )
        self._views: deque[MemberView] = deque(maxlen=MAX_VIEWS)
        self._leaving = False
        self.ips_by_zone: Mapping[str, Sequence[str]] = {}
        self.revision = 0

    def update(
        self,
        ips_by_zone: Mapping[str, Sequence[str]],
        now_s: float,
        *,
        own_since_s: float | None = None,
    ) -> bool:
        """Apply a view of the members.

        Args:
            ips_by_zone: Addresses of the members of each zone.
            now_s: Boot time.
            own_since_s: Boot time since which this host has been a member;
                None when unknown. The previous process on it cannot grant
                any more, and the owner before that one has had this time to
                stop, so that only the rest of the delay is waited for.

        Returns:
            Whether the members changed.
        """
        self.ips_by_zone = ips_by_zone
        if not self._leaving:
            return self._append(now_s, own_since_s=own_since_s)
        return False

    def update_leaving(self, now_s: float, *, leaving: bool) -> None:
        """Own nothing from the moment at which the own server leaves.

        Other daemons appoint new owners as soon as they learn of it.
        """
        if leaving != self._leaving:
            self._leaving = leaving
            self._append(now_s)

    @property
    def delay_s(self) -> float:
        """Time for which a daemon waits that owns a shard since now."""
        return self._views[-1].delay_s if self._views else 0

    def owner(self, account: str, shard: Shard) -> str:
        """Return the address of the owner of a shard; empty for none."""
        return choose_owner(account, shard, self.ips_by_zone)

    def grants_from_s(self, account: str, shard: Shard) -> float | None:
        """Return the boot time from which this daemon may grant tokens.

        Returns:
            The time; None if it does not own the shard.
        """
        from_s = None
        candidates: Sequence[str] = ()
        for view in reversed(self._views):
            view_candidates = list_candidates(shard, view.ips_by_zone)
            if from_s is None or view_candidates != candidates:
                candidates = view_candidates
                if (
                    choose_owner(account, shard, view.ips_by_zone)
                    != self._own_ip
                ):
                    break
            from_s = view.since_s + view.delay_s
        return from_s

    def _append(
        self, now_s: float, *, own_since_s: float | None = None
    ) -> bool:
        ips_by_zone = {} if self._leaving else self.ips_by_zone
        if self._views and self._views[-1].ips_by_zone == ips_by_zone:
            return False
        delay_s = START_DELAY_S
        if now_s < self._first_start_end_s:
            delay_s = FIRST_START_DELAY_S
        if own_since_s is not None and not self._views:
            # The boot time of a host starts anew with the host: a record of
            # before may lie in the future.
            age_s = max(now_s - own_since_s, 0)
            delay_s = max(delay_s - age_s, 0)
        self._views.append(MemberView(now_s, delay_s, ips_by_zone))
        self.revision += 1
        return True
