"""Membership state of one daemon: the member table and pending gossip.

The records of one daemon id are totally ordered (``is_newer``), so daemons
that exchange their updates converge on the same table for any order of
arrival.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bergamotshunt.decisions.dissemination import UpdateQueue
from bergamotshunt.decisions.member_table import MemberTable
from bergamotshunt.decisions.suspicion import (
    Suspicion,
    SuspicionRules,
    postpone_deadline,
)
from bergamotshunt.peers.members import (
    EraUpdate,
    Member,
    MemberEvent,
    MemberStatus,
    create_event,
    is_live,
)

# With this margin, one update in a thousand misses one member, which gets it
# from the next table sync. With three transmissions per decimal digit of the
# fleet's size, one of 50 daemons usually missed one of the others.
EXTRA_EVENT_TRANSMISSIONS: Final = 7
# A newer era is announced within the hour for which tickets of an older era
# are accepted, so an era needs fewer transmissions than an event.
EXTRA_ERA_TRANSMISSIONS: Final = 0
# Beyond this, the oldest are dropped; the regular probes reach them later.
MAX_PRIORITY_PROBES: Final = 64
MAX_DEGRADATION_SCORE: Final = 8
# 7,200 daemons begin 12 eras a second; gossip of all of them alone would
# exceed the 4 KB/s for control traffic. Skipping some is safe, as tickets of
# several older eras are accepted too.
MAX_ERAS_PER_S: Final = 1


class MembershipRules(NamedTuple):
    """Intervals and timeouts of the protocol.

    Attributes:
        probe_interval_ms: Time between two probes.
        probe_timeout_ms: Time until indirect probes are requested.
        suspicion_factor: See ``suspicion_timeout_ms``.
        dead_kept_ms: How long dead members stay in the table.
        left_kept_ms: How long members that left stay in the table.
        dead_probe_interval_ms: Time between two probes of a dead member.
    """

    probe_interval_ms: float = 1000
    probe_timeout_ms: float = 300
    suspicion_factor: int = 4
    dead_kept_ms: float = 86_400_000
    left_kept_ms: float = 600_000
    dead_probe_interval_ms: float = 30_000


def era_stride(live_count: int, era_s: float, eras_kept: int) -> int:
    """Return n such that each n-th era of a daemon is gossiped.

    Args:
        live_count: Members that are alive or suspected.
        era_s: Length of an era in seconds.
        eras_kept: Past eras whose tickets are accepted.
    """
    if live_count <= MAX_ERAS_PER_S * era_s:
        return 1
    return max(1, eras_kept // 2)


class Membership:
    """Members of the fleet as one daemon knows them.

    Args:
        own_record: Record of this daemon.
        rules: Intervals and timeouts.
        encoded_size: Returns the encoded size of an update in bytes.

    Attributes:
        own_record: Record of this daemon; not in the table while replaced.
        replaced_by: Record of a later process with the same daemon id.
        has_synced: Whether this daemon has synced its table with a peer.
        is_leaving: Whether this daemon has announced that it leaves.
        degradation_score: How unreliable this daemon's own timers or network
            are, from 0 (reliable) to ``MAX_DEGRADATION_SCORE``. It prolongs
            the daemon's probe interval and timeout.
        priority_probes: Members that are dead at a peer; probed next.
        joined_ids: Members that joined since they were last added to the
            probe order.
    """

    def __init__(
        self,
        own_record: Member,
        rules: MembershipRules,
        encoded_size: Callable[[Any], int],
    ) -> None:
        """Create the state of a daemon that knows no other member."""
        self.own_record = own_record
        self.rules = rules
        self.table = MemberTable()
        self.event_queue = UpdateQueue[MemberEvent](
            encoded_size, EXTRA_EVENT_TRANSMISSIONS
        )
        self.era_queue = UpdateQueue[EraUpdate](
            encoded_size, EXTRA_ERA_TRANSMISSIONS
        )
        self.suspicions: dict[str, Suspicion] = {}
        self.replaced_by: Member | None = None
        self.has_synced = False
        self.is_leaving = False
        self.announced_era = own_record.era
        self.degradation_score = 0
        self.priority_probes: deque[str] = deque(maxlen=MAX_PRIORITY_PROBES)
        self.joined_ids: list[str] = []
        self.table.put(own_record, 0)

    def announce(self, now_ms: float, **fields: Any) -> None:
        """Change fields of the own record and gossip it."""
        incarnation = self.own_record.incarnation + 1
        self.own_record = self.own_record._replace(
            incarnation=incarnation, **fields
        )
        if self.replaced_by is None:
            self.table.put(self.own_record, now_ms)
            self.event_queue.push(create_event(self.own_record))

    def announce_era(self, era: int, stride: int = 1) -> None:
        """Set the own booking era; gossip each ``stride``-th one."""
        self.own_record = self.own_record._replace(era=era)
        if self.replaced_by is not None:
            return
        self.table.put_era(self.own_record.daemon_id, era)
        if era - self.announced_era >= stride:
            self.announced_era = era
            update = EraUpdate(
                self.own_record.daemon_id, self.own_record.process_id, era
            )
            self.era_queue.push(update)

    def leave(self, now_ms: float) -> None:
        """Announce that this daemon leaves the fleet."""
        self.is_leaving = True
        self.announce(now_ms, status=MemberStatus.LEFT)

    def remove_expired(self, now_ms: float) -> None:
        """Remove dead and left members after their retention times."""
        self.table.remove_expired(
            now_ms,
            {
                MemberStatus.DEAD: self.rules.dead_kept_ms,
                MemberStatus.LEFT: self.rules.left_kept_ms,
            },
        )

    def compensate_for_pause(self, pause_ms: float) -> None:
        """Extend all suspicions by a pause of this process."""
        self.raise_degradation_score()
        self.suspicions = {
            daemon_id: postpone_deadline(suspicion, pause_ms)
            for daemon_id, suspicion in self.suspicions.items()
        }

    def raise_degradation_score(self) -> None:
        """Record a sign that this daemon itself is slow or cut off."""
        self.degradation_score = min(
            MAX_DEGRADATION_SCORE, self.degradation_score + 1
        )

    def lower_degradation_score(self) -> None:
        """Record a sign that this daemon itself works well."""
        self.degradation_score = max(0, self.degradation_score - 1)

    def probe_interval_ms(self) -> float:
        """Return the time between two probes, by the degradation score."""
        return self.rules.probe_interval_ms * (1 + self.degradation_score)

    def probe_timeout_ms(self) -> float:
        """Return the timeout of a direct probe, by the degradation score."""
        return self.rules.probe_timeout_ms * (1 + self.degradation_score)

    def own_event(self) -> MemberEvent:
        """Return the event that carries the own record."""
        return create_event(self.own_record)

    def suspicion_rules(self) -> SuspicionRules:
        """Return the current inputs of the suspicion timeout."""
        return SuspicionRules(
            self.rules.suspicion_factor,
            self.rules.probe_interval_ms,
            self.table.live_count,
        )

    def corrections_for(
        self,
        daemon_id: str,
        process_id: int,
    ) -> tuple[MemberEvent, ...]:
        """Return the event that corrects a sender's view of itself.

        A member that is suspected or dead here can refute that only if it
        is notified. A replaced process is notified of its replacement.

        Returns:
            One event; none if the sender is unknown or alive here.
        """
        known = self.table.by_id.get(daemon_id)
        if known is None:
            return ()
        if known.process_id != process_id:
            return (
                MemberEvent(
                    daemon_id,
                    known.incarnation,
                    known.status,
                    self.own_record.daemon_id,
                    known,
                ),
            )
        if known.status is MemberStatus.ALIVE:
            return ()
        return (create_event(known, self.own_record.daemon_id),)

    def store_record(
        self, record: Member, now_ms: float, reporter: str = ''
    ) -> None:
        """Store a newer record in the table and gossip it."""
        if not self.table.is_live(record.daemon_id) and is_live(record):
            self.joined_ids.append(record.daemon_id)
        self.suspicions.pop(record.daemon_id, None)
        known = self.table.by_id.get(record.daemon_id)
        if known is not None and known.process_id == record.process_id:
            record = record._replace(era=max(known.era, record.era))
        self.table.put(record, now_ms)
        self.event_queue.push(create_event(record, reporter))

    def raise_incarnation_above(self, incarnation: int, now_ms: float) -> None:
        """Announce the own record with a higher incarnation than given."""
        highest = max(self.own_record.incarnation, incarnation)
        self.own_record = self.own_record._replace(incarnation=highest)
        self.announce(now_ms)
