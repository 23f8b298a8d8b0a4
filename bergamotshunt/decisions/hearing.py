"""Hearing: what news of members changes in the membership."""

from bergamotshunt.decisions.membership import Membership
from bergamotshunt.decisions.suspicion import confirm, start_suspicion
from bergamotshunt.peers.members import (
    EraUpdate,
    Member,
    MemberEvent,
    MemberStatus,
    create_event,
    is_live,
    is_newer,
)


def hear(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Take in an event that a peer passed on."""
    if event.daemon_id == members.own.daemon_id:
        hear_of_self(members, event, now_ms, event.record)
    else:
        hear_of_member(members, event, now_ms)


def hear_era(members: Membership, news: EraUpdate) -> None:
    """Take in a member's era, if it is newer."""
    known = members.table.by_id.get(news.daemon_id)
    if known is None or news.daemon_id == members.own.daemon_id:
        return
    if known.process_id == news.process_id and news.era > known.era:
        members.table.put_era(news.daemon_id, news.era)
        members.eras.push(news)


def hear_record(members: Membership, record: Member, now_ms: float) -> None:
    """Take in a record from an exchange of whole tables.

    The peer may hold a member for dead that only the peer cannot reach,
    so its word leads to a probe and not to an accusation.
    """
    if record.status is MemberStatus.SUSPECT:
        record = record._replace(status=MemberStatus.ALIVE)
    if record.daemon_id == members.own.daemon_id:
        if members.replaced_by is None or is_live(record):
            hear_of_self(members, create_event(record), now_ms, record)
    elif record.status is MemberStatus.DEAD:
        doubt(members, record)
    else:
        hear(members, create_event(record), now_ms)
        hear_era(
            members,
            EraUpdate(record.daemon_id, record.process_id, record.era),
        )


def hear_of_member(
    members: Membership,
    event: MemberEvent,
    now_ms: float,
) -> None:
    """Take in an event about another process than this one."""
    match event.status:
        case MemberStatus.SUSPECT:
            suspect(members, event, now_ms)
        case MemberStatus.DEAD:
            hear_death(members, event, now_ms)
        case _:
            hear_own_news(members, event, now_ms)


def hear_death(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Take in that the wait for a refutation ended at a peer.

    Without the record of that incarnation there is nothing to mark; the
    next exchange of tables brings it.
    """
    known = members.table.by_id.get(event.daemon_id)
    if known is not None and known.incarnation == event.incarnation:
        dead = known._replace(status=MemberStatus.DEAD)
        if is_newer(dead, known):
            members.store(dead, now_ms, event.reporter)


def hear_own_news(
    members: Membership,
    event: MemberEvent,
    now_ms: float,
) -> None:
    """Take in a record that the member itself announced."""
    record = event.record
    if record is None or not is_consistent(event, record):
        return
    known = members.table.by_id.get(event.daemon_id)
    if known is None:
        if is_live(record):
            members.store(record, now_ms)
    elif is_newer(record, known):
        members.store(record, now_ms)


def suspect(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Start or confirm a suspicion."""
    known = members.table.by_id.get(event.daemon_id)
    if known is None or known.incarnation != event.incarnation:
        return
    held = members.suspicions.get(event.daemon_id)
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
        members.events.push(event)
    elif held is not None and event.reporter not in held.accusers:
        members.suspicions[event.daemon_id] = confirm(
            rules,
            held,
            event.reporter,
        )
        members.events.push(event)


def expire(members: Membership, now_ms: float) -> None:
    """Declare the suspected members dead whose wait is over."""
    expired = [
        daemon_id
        for daemon_id, suspicion in members.suspicions.items()
        if suspicion.deadline_ms <= now_ms
    ]
    for daemon_id in expired:
        dead = members.table.by_id[daemon_id]._replace(
            status=MemberStatus.DEAD,
        )
        members.store(dead, now_ms, members.own.daemon_id)
    if members.replaced_by is not None:
        reclaim(members, now_ms)


def doubt(members: Membership, record: Member) -> None:
    """Probe a member next that a peer holds for dead."""
    known = members.table.by_id.get(record.daemon_id)
    if known is None or not is_live(known):
        return
    is_older = known.incarnation > record.incarnation
    if not is_older and record.daemon_id not in members.doubts:
        members.doubts.append(record.daemon_id)


def hear_of_self(
    members: Membership,
    event: MemberEvent,
    now_ms: float,
    record: Member | None,
) -> None:
    """Take in an event about this daemon's id."""
    if members.replaced_by is not None:
        hear_of_member(members, event, now_ms)
        reclaim(members, now_ms)
    elif record is not None and not is_own(members, record):
        meet_namesake(members, record, now_ms)
    elif event.incarnation >= members.own.incarnation:
        refute(members, event, now_ms)


def is_own(members: Membership, record: Member) -> bool:
    """Return whether a record of this daemon's id is of this process."""
    own = members.own
    return (
        record.process_id == own.process_id
        and record.ip == own.ip
        and record.gossip_port in {0, own.gossip_port}
    )


def refute(members: Membership, event: MemberEvent, now_ms: float) -> None:
    """Answer an accusation with a higher incarnation."""
    same = event.incarnation == members.own.incarnation
    if members.leaving or (same and event.status is MemberStatus.ALIVE):
        return
    members.worsen_health()
    members.outbid(event.incarnation, now_ms)


def meet_namesake(members: Membership, record: Member, now_ms: float) -> None:
    """Settle which of two processes with this daemon's id holds it.

    A process that starts takes over from whatever was there before. One
    that was settled already and meets a newer record was replaced, for
    example while it was frozen.
    """
    if not is_newer(record, members.own):
        return
    if is_live(record) and members.settled and not members.leaving:
        members.replaced_by = record
        members.store(record, now_ms)
    else:
        members.outbid(record.incarnation, now_ms)


def reclaim(members: Membership, now_ms: float) -> None:
    """Take the daemon id back once the process that held it is gone."""
    holder = members.table.by_id[members.own.daemon_id]
    if is_live(holder):
        members.replaced_by = holder
        return
    members.replaced_by = None
    members.outbid(holder.incarnation, now_ms)


def is_consistent(event: MemberEvent, record: Member) -> bool:
    """Return whether an event and the record in it say the same."""
    return (
        record.daemon_id == event.daemon_id
        and record.incarnation == event.incarnation
        and record.status == event.status
    )
