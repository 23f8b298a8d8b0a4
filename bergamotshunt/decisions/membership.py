"""Membership: which record of each member holds, and who spreads it.

The records of one daemon id are totally ordered (``is_newer``), so daemons
that exchange their news settle on the same table in any order of arrival.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bergamotshunt.decisions.dissemination import NewsQueue
from bergamotshunt.decisions.member_table import MemberTable
from bergamotshunt.decisions.suspicion import (
    Suspicion,
    SuspicionRules,
    postpone,
)
from bergamotshunt.peers.members import (
    EraUpdate,
    Member,
    MemberEvent,
    MemberStatus,
    create_event,
    is_live,
)

# One piece of news in a thousand misses one member, which then learns it
# from the next exchange of tables. With three transmissions per decimal
# digit, one of 50 daemons usually missed one of the others.
EVENT_MARGIN: Final = 7
# Every era is announced again within the hour for which tickets of an
# older era are accepted, so an era needs less repetition than an event.
ERA_MARGIN: Final = 0
MAX_DOUBTS: Final = 64
MAX_HEALTH: Final = 8
# 7,200 daemons begin 12 eras a second, which alone would take more than the
# 4 KB/s for control; tickets of several older eras are accepted as well.
MAX_ERAS_PER_S: Final = 1


class MembershipRules(NamedTuple):
    """Times of the protocol.

    Attributes:
        probe_interval_ms: Time between two probes.
        probe_timeout_ms: Time until other members are asked to probe.
        suspicion_factor: See ``wait_ms``.
        dead_kept_ms: How long dead members are remembered.
        left_kept_ms: How long members that left are remembered.
        dead_contact_ms: Time between two contacts to a dead member.
    """

    probe_interval_ms: float = 1000
    probe_timeout_ms: float = 300
    suspicion_factor: int = 4
    dead_kept_ms: float = 86_400_000
    left_kept_ms: float = 600_000
    dead_contact_ms: float = 30_000


def era_stride(live_count: int, era_s: float, eras_kept: int) -> int:
    """Return of how many eras one is spread."""
    if live_count <= MAX_ERAS_PER_S * era_s:
        return 1
    return max(1, eras_kept // 2)


class Membership:
    """The members as one daemon knows them.

    Attributes:
        own: Record of this daemon; not in the table while replaced.
        replaced_by: Record of a later process with the same daemon id.
        settled: Whether this daemon compared its own record with a peer.
        leaving: Whether this daemon announced that it leaves.
        health: Doubt in this daemon's own timers, 0 to ``MAX_HEALTH``.
        doubts: Members that a peer holds for dead; probed next.
        joined_ids: Members that appeared since the last look.
    """

    def __init__(
        self,
        own: Member,
        rules: MembershipRules,
        measure: Callable[[Any], int],
    ) -> None:
        """Create the state of a daemon that knows only itself."""
        self.own = own
        self.rules = rules
        self.table = MemberTable()
        self.events = NewsQueue[MemberEvent](measure, EVENT_MARGIN)
        self.eras = NewsQueue[EraUpdate](measure, ERA_MARGIN)
        self.suspicions: dict[str, Suspicion] = {}
        self.replaced_by: Member | None = None
        self.settled = False
        self.leaving = False
        self.announced_era = own.era
        self.health = 0
        self.doubts: deque[str] = deque(maxlen=MAX_DOUBTS)
        self.joined_ids: list[str] = []
        self.table.put(own, 0)

    def announce(self, now_ms: float, **fields: Any) -> None:
        """Change the own record and spread it."""
        newer = self.own.incarnation + 1
        self.own = self.own._replace(incarnation=newer, **fields)
        if self.replaced_by is None:
            self.table.put(self.own, now_ms)
            self.events.push(create_event(self.own))

    def announce_era(self, era: int, stride: int = 1) -> None:
        """Note the own booking era; spread every ``stride``-th one."""
        self.own = self.own._replace(era=era)
        if self.replaced_by is not None:
            return
        self.table.put_era(self.own.daemon_id, era)
        if era - self.announced_era >= stride:
            self.announced_era = era
            news = EraUpdate(self.own.daemon_id, self.own.process_id, era)
            self.eras.push(news)

    def leave(self, now_ms: float) -> None:
        """Announce that this daemon ends."""
        self.leaving = True
        self.announce(now_ms, status=MemberStatus.LEFT)

    def forget_gone(self, now_ms: float) -> None:
        """Forget dead and left members after their time."""
        self.table.forget_gone(
            now_ms,
            {
                MemberStatus.DEAD: self.rules.dead_kept_ms,
                MemberStatus.LEFT: self.rules.left_kept_ms,
            },
        )

    def allow_for_pause(self, pause_ms: float) -> None:
        """Extend all waits by a pause of this daemon."""
        self.worsen_health()
        self.suspicions = {
            daemon_id: postpone(suspicion, pause_ms)
            for daemon_id, suspicion in self.suspicions.items()
        }

    def worsen_health(self) -> None:
        """Trust the own timers less."""
        self.health = min(MAX_HEALTH, self.health + 1)

    def improve_health(self) -> None:
        """Trust the own timers more."""
        self.health = max(0, self.health - 1)

    def interval_ms(self) -> float:
        """Return the time between two probes, longer in bad health."""
        return self.rules.probe_interval_ms * (1 + self.health)

    def timeout_ms(self) -> float:
        """Return the time for a direct answer, longer in bad health."""
        return self.rules.probe_timeout_ms * (1 + self.health)

    def own_event(self) -> MemberEvent:
        """Return the event that spreads the own record."""
        return create_event(self.own)

    def suspicion_rules(self) -> SuspicionRules:
        """Return what the wait of a suspicion depends on now."""
        return SuspicionRules(
            self.rules.suspicion_factor,
            self.rules.probe_interval_ms,
            self.table.live_count,
        )

    def claim_about(
        self,
        daemon_id: str,
        process_id: int,
    ) -> tuple[MemberEvent, ...]:
        """Return what a sender should know about itself.

        A member that is held for suspect or dead can refute that only
        when it hears it, and a process that was replaced has to learn it.
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
                    self.own.daemon_id,
                    known,
                ),
            )
        if known.status is MemberStatus.ALIVE:
            return ()
        return (create_event(known, self.own.daemon_id),)

    def store(self, record: Member, now_ms: float, accuser: str = '') -> None:
        """Put a newer record into the table and spread it."""
        if not self.table.is_live(record.daemon_id) and is_live(record):
            self.joined_ids.append(record.daemon_id)
        self.suspicions.pop(record.daemon_id, None)
        known = self.table.by_id.get(record.daemon_id)
        if known is not None and known.process_id == record.process_id:
            record = record._replace(era=max(known.era, record.era))
        self.table.put(record, now_ms)
        self.events.push(create_event(record, accuser))

    def outbid(self, incarnation: int, now_ms: float) -> None:
        """Announce the own record above a given incarnation."""
        highest = max(self.own.incarnation, incarnation)
        self.own = self.own._replace(incarnation=highest)
        self.announce(now_ms)
