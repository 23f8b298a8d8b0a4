"""How received events and records change the membership state."""

from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.suspicion import confirm_suspicion, start_suspicion
from bergamotshunt.peers.members import (
    EraUpdate,
    Member,
    MemberEvent,
    MemberStatus,
    create_event,
    is_live,
    is_newer,
)


def apply_event(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Apply an event that a peer has forwarded."""
    if event.daemon_id == members.own_record.daemon_id:
        apply_own_event(members, event, now_ms, event.record)
    else:
        apply_member_event(members, event, now_ms)


def apply_era(members: Membership, update: EraUpdate) -> None:
    """Apply a member's booking era, if it is newer."""
    known = members.table.by_id.get(update.daemon_id)
    if known is None or update.daemon_id == members.own_record.daemon_id:
        return
    if known.process_id == update.process_id and update.era > known.era:
        members.table.put_era(update.daemon_id, update.era)
        members.era_queue.push(update)


def apply_record(members: Membership, record: Member, now_ms: float) -> None:
    """Apply a record from a table sync.

    A member that is dead in the peer's table may just be unreachable for
    that peer, so the record triggers a probe and not a suspicion.
    """
    if record.status is MemberStatus.SUSPECT:
        record = record._replace(status=MemberStatus.ALIVE)
    if record.daemon_id == members.own_record.daemon_id:
        if members.replaced_by is None or is_live(record):
            apply_own_event(members, create_event(record), now_ms, record)
    elif record.status is MemberStatus.DEAD:
        schedule_probe(members, record)
    else:
        apply_event(members, create_event(record), now_ms)
        apply_era(
            members,
            EraUpdate(record.daemon_id, record.process_id, record.era),
        )


def apply_member_event(
    members: Membership,
    event: MemberEvent,
    now_ms: float,
) -> None:
    """Apply an event about another process than this one."""
    match event.status:
        case MemberStatus.SUSPECT:
            apply_suspicion(members, event, now_ms)
        case MemberStatus.DEAD:
            apply_death(members, event, now_ms)
        case _:
            apply_announcement(members, event, now_ms)


def apply_death(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Mark a member dead whose suspicion expired at a peer.

    Without the record of that incarnation there is nothing to mark; the
    next table sync delivers it.
    """
    known = members.table.by_id.get(event.daemon_id)
    if known is not None and known.incarnation == event.incarnation:
        dead = known._replace(status=MemberStatus.DEAD)
        if is_newer(dead, known):
            members.store_record(dead, now_ms, event.reporter)


def apply_announcement(
    members: Membership,
    event: MemberEvent,
    now_ms: float,
) -> None:
    """Apply a record that the member itself has announced."""
    record = event.record
    if record is None or not is_consistent(event, record):
        return
    known = members.table.by_id.get(event.daemon_id)
    if known is None:
        if is_live(record):
            members.store_record(record, now_ms)
    elif is_newer(record, known):
        members.store_record(record, now_ms)


def apply_suspicion(
    members: Membership, event: MemberEvent, now_ms: float
) -> None:
    """Start a suspicion, or confirm it if the reporter is a new one."""
    known = members.table.by_id.get(event.daemon_id)
    if known is None or known.incarnation != event.incarnation:
        return
    current = members.suspicions.get(event.daemon_id)
    rules = members.suspicion_rules()
    if known.status is MemberStatus.ALIVE:
        suspected = known._replace(status=MemberStatus.SUSPECT)
        members.table.put(suspected, now_ms)
        members.suspicions[event.daemon_id] = start_suspicion(
            rules,
            event.incarnation,
            event.reporter,
            now_ms,
        )
        members.event_queue.push(event)
    elif current is not None and event.reporter not in current.reporters:
        members.suspicions[event.daemon_id] = confirm_suspicion(
            rules,
            current,
            event.reporter,
        )
        members.event_queue.push(event)


def expire_suspicions(members: Membership, now_ms: float) -> None:
    """Mark the members dead whose suspicion has reached its deadline."""
    expired = [
        daemon_id
        for daemon_id, suspicion in members.suspicions.items()
        if suspicion.deadline_ms <= now_ms
    ]
    for daemon_id in expired:
        dead = members.table.by_id[daemon_id]._replace(
            status=MemberStatus.DEAD,
        )
        members.store_record(dead, now_ms, members.own_record.daemon_id)
    if members.replaced_by is not None:
        reclaim_id(members, now_ms)


def schedule_probe(members: Membership, record: Member) -> None:
    """Schedule a priority probe of a member that is dead at a peer."""
    known = members.table.by_id.get(record.daemon_id)
    if known is None or not is_live(known):
        return
    is_older = known.incarnation > record.incarnation
    if not is_older and record.daemon_id not in members.priority_probes:
        members.priority_probes.append(record.daemon_id)


def apply_own_event(
    members: Membership,
    event: MemberEvent,
    now_ms: float,
    record: Member | None,
) -> None:
    """Apply an event about this daemon's id."""
    if members.replaced_by is not None:
        apply_member_event(members, event, now_ms)
        reclaim_id(members, now_ms)
    elif record is not None and not is_own_record(members, record):
        resolve_id_conflict(members, record, now_ms)
    elif event.incarnation >= members.own_record.incarnation:
        refute(members, event, now_ms)


def is_own_record(members: Membership, record: Member) -> bool:
    """Return whether a record of this daemon's id describes this process.

    With gossip port 0 in the settings, the system chooses the port; a
    record from before it was known has port 0.
    """
    own = members.own_record
    return (
        record.process_id == own.process_id
        and record.ip == own.ip
        and record.gossip_port in {0, own.gossip_port}
    )


def refute(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Refute a suspicion by announcing a higher incarnation."""
    is_same_incarnation = event.incarnation == members.own_record.incarnation
    if members.is_leaving or (
        is_same_incarnation and event.status is MemberStatus.ALIVE
    ):
        return
    members.raise_degradation_score()
    members.raise_incarnation_above(event.incarnation, now_ms)


def resolve_id_conflict(
    members: Membership, record: Member, now_ms: float
) -> None:
    """Decide which of two processes with this daemon's id keeps it.

    A starting process takes the id over from any earlier one. A process
    that has already synced and receives a newer record was replaced, for
    example while it was frozen.
    """
    if not is_newer(record, members.own_record):
        return
    if is_live(record) and members.has_synced and not members.is_leaving:
        members.replaced_by = record
        members.store_record(record, now_ms)
    else:
        members.raise_incarnation_above(record.incarnation, now_ms)


def reclaim_id(members: Membership, now_ms: float) -> None:
    """Take the daemon id back once the process that holds it is gone."""
    holder = members.table.by_id[members.own_record.daemon_id]
    if is_live(holder):
        members.replaced_by = holder
        return
    members.replaced_by = None
    members.raise_incarnation_above(holder.incarnation, now_ms)


def is_consistent(event: MemberEvent, record: Member) -> bool:
    """Return whether an event agrees with the record that it carries."""
    return (
        record.daemon_id == event.daemon_id
        and record.incarnation == event.incarnation
        and record.status == event.status
    )
