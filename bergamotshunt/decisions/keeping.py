"""State of the keeper, and how it changes by what the daemon hears.

Times are monotonic, in ms. ``asked_ms`` is when a question was sent: what
the response tells was true then or later.
"""

from typing import NamedTuple

from bergamotshunt.decisions.confirmation import (
    Contacts,
    confirmation_age_ms,
)
from bergamotshunt.decisions.revisions import (
    TargetLog,
    changes_since,
    hear_change,
    hear_snapshot,
)
from bergamotshunt.messages import (
    RevisionHeard,
)
from bergamotshunt.operators.targets import Change, TargetSet
from bergamotshunt.operators.targets_messages import (
    PulledTargets,
    TargetsFetched,
    InitialTargetsFetched,
)


class Wanted(NamedTuple):
    """Newest revision that was heard of.

    Attributes:
        revision: The revision.
        daemon_id: Member that has it; empty for the platform.
    """

    revision: int = 0
    daemon_id: str = ''


class KeeperState(NamedTuple):
    """All that the keeper knows.

    Attributes:
        log: Targets in force.
        contacts: Last contacts, for the confirmation.
        wanted: Newest revision that was heard of.
        revisions_by_id: Last revision heard of each member.
    """

    log: TargetLog = TargetLog()
    contacts: Contacts = Contacts()
    wanted: Wanted = Wanted()
    revisions_by_id: dict[str, int] = {}

    @property
    def is_behind(self) -> bool:
        """Return whether a newer revision was heard of than is in force."""
        known = self.contacts.loaded
        return known and self.log.revision < self.wanted.revision

    def count_behind(self, member_ids: frozenset[str]) -> int:
        """Count the members last heard with an older revision."""
        return sum(
            revision < self.log.revision
            for daemon_id, revision in self.revisions_by_id.items()
            if daemon_id in member_ids
        )


def take_change(
    state: KeeperState,
    change: Change,
    daemon_id: str,
    now_ms: float,
) -> KeeperState:
    """Take a single change; ``daemon_id`` is empty for the platform.

    Before the targets are learned it may be an old one, so it is not put
    in force then.
    """
    if daemon_id:
        state = note_peer(state, daemon_id, change.revision, now_ms)
    if state.contacts.loaded:
        state = state._replace(log=hear_change(state.log, change))
    return want(state, change.revision, daemon_id)


def take_head(
    state: KeeperState,
    change: Change | None,
    requested_ms: float,
) -> KeeperState:
    """Take the newest change as the platform answered it.

    A response older than the revision in force is stale: it neither changes
    nor confirms anything, and is no contact.
    """
    revision = 0 if change is None else change.revision
    if revision < state.log.revision:
        return state
    if change is not None:
        state = take_change(state, change, '', requested_ms)
    state = note_platform(state, requested_ms)
    if revision == state.log.revision:
        return confirm(state, requested_ms)
    return state


def take_fetched(state: KeeperState, message: TargetsFetched) -> KeeperState:
    """Take what was fetched from a peer or the platform.

    Only a peer's response confirms: it tells for how long its revision was
    not known to be the newest. The changes read from the platform need not
    be all; the next read of the head confirms them.
    """
    pulled = message.pulled
    if message.daemon_id:
        state = note_peer(
            state, message.daemon_id, pulled.revision, message.requested_ms
        )
    if not pulled.loaded or pulled.revision < state.log.revision:
        return state
    log = state.log
    if pulled.snapshot is not None:
        by_service = {service.service: service for service in pulled.snapshot}
        log = hear_snapshot(log, TargetSet(pulled.revision, by_service))
    for change in pulled.changes:
        log = hear_change(log, change)
    state = state._replace(log=log)
    if not message.daemon_id:
        return note_platform(state, message.requested_ms)
    if pulled.revision == log.revision:
        return confirm(state, message.requested_ms - pulled.age_ms)
    return state


def take_revision(
    state: KeeperState,
    message: RevisionHeard,
    now_ms: float,
) -> KeeperState:
    """Take a peer's revision from a gossip datagram."""
    state = note_peer(state, message.daemon_id, message.revision, now_ms)
    if message.revision == state.log.revision:
        return confirm(state, now_ms - message.age_ms)
    return want(state, message.revision, message.daemon_id)


def take_learned(
    state: KeeperState, message: InitialTargetsFetched
) -> KeeperState:
    """Take the targets learned after the start."""
    log = hear_snapshot(state.log, message.target_set)
    contacts = state.contacts._replace(loaded=True)
    state = state._replace(log=log, contacts=contacts)
    if message.reached_platform:
        state = note_platform(state, message.requested_ms)
    if message.reached_peer:
        state = note_contact(state, message.requested_ms)
    return confirm(state, message.confirmed_ms)


def create_pull_response(
    state: KeeperState,
    after_revision: int,
    now_ms: float,
) -> PulledTargets:
    """Build what a peer at ``after_revision`` is missing."""
    log = state.log
    age_ms = int(confirmation_age_ms(state.contacts, now_ms))
    pulled = PulledTargets(state.contacts.loaded, log.revision, age_ms)
    if not pulled.loaded:
        return pulled
    changes = changes_since(log, after_revision)
    if changes is None:
        services = tuple(log.target_set.by_service.values())
        return pulled._replace(snapshot=services)
    return pulled._replace(changes=changes)


def note_platform(state: KeeperState, requested_ms: float) -> KeeperState:
    """Note a valid response of the platform."""
    contacts = state.contacts
    newest = max(contacts.platform_ms or 0, requested_ms)
    return state._replace(contacts=contacts._replace(platform_ms=newest))


def note_contact(state: KeeperState, now_ms: float) -> KeeperState:
    """Note a contact with any other member."""
    contacts = state.contacts
    newest = max(contacts.peer_ms or 0, now_ms)
    return state._replace(contacts=contacts._replace(peer_ms=newest))


def note_peer(
    state: KeeperState,
    daemon_id: str,
    revision: int,
    now_ms: float,
) -> KeeperState:
    """Note a contact with a member and the revision that it has."""
    if revision != state.revisions_by_id.get(daemon_id):
        revisions = {**state.revisions_by_id, daemon_id: revision}
        state = state._replace(revisions_by_id=revisions)
    return note_contact(state, now_ms)


def want(state: KeeperState, revision: int, daemon_id: str) -> KeeperState:
    """Note the newest revision that was heard of."""
    if revision <= max(state.wanted.revision, state.log.revision):
        return state
    return state._replace(wanted=Wanted(revision, daemon_id))


def confirm(state: KeeperState, confirmed_ms: float) -> KeeperState:
    """Note that the revision in force was the newest at a time."""
    contacts = state.contacts
    newest = max(contacts.confirmed_ms or 0, confirmed_ms)
    return state._replace(contacts=contacts._replace(confirmed_ms=newest))
