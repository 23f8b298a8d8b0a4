"""State of the targets at one daemon, and its updates by messages.

Times are monotonic, in ms. ``requested_ms`` is when a request was sent: what
its response states was true then or later. The head is the newest change
in the platform.
"""

from typing import NamedTuple

from bergamotshunt.decisions.confirmation import (
    Contacts,
    confirmation_age_ms,
)
from bergamotshunt.decisions.target_log import (
    TargetLog,
    add_change,
    add_snapshot,
    changes_since,
)
from bergamotshunt.messages import (
    PeerRevisionReceived,
)
from bergamotshunt.operators.targets import Change, TargetSet
from bergamotshunt.operators.targets_messages import (
    InitialTargetsFetched,
    PulledTargets,
    TargetsFetched,
)


class NewestRevision(NamedTuple):
    """Newest revision that this daemon has learned of.

    Attributes:
        revision: The revision.
        daemon_id: Member that has it; empty for the platform.
    """

    revision: int = 0
    daemon_id: str = ''


class TargetsState(NamedTuple):
    """Targets in force and what is known of other members' revisions.

    Attributes:
        log: Targets in force.
        contacts: Times of the last contacts, for the confirmation.
        newest: Newest revision that this daemon has learned of.
        revisions_by_id: Last revision received from each member.
    """

    log: TargetLog = TargetLog()
    contacts: Contacts = Contacts()
    newest: NewestRevision = NewestRevision()
    revisions_by_id: dict[str, int] = {}

    @property
    def is_behind(self) -> bool:
        """Return whether a newer revision is known than the one in force."""
        is_loaded = self.contacts.loaded
        return is_loaded and self.log.revision < self.newest.revision

    def count_behind(self, member_ids: frozenset[str]) -> int:
        """Count the members whose last reported revision is older."""
        return sum(
            revision < self.log.revision
            for daemon_id, revision in self.revisions_by_id.items()
            if daemon_id in member_ids
        )


def update_from_change(
    state: TargetsState,
    change: Change,
    daemon_id: str,
    now_ms: float,
) -> TargetsState:
    """Update the state from a single change.

    Before the first targets are loaded, a change may be an old one, so it
    does not come into force then.

    Args:
        state: State before.
        change: The change.
        daemon_id: Member that sent it; empty for the platform.
        now_ms: Time of its arrival.
    """
    if daemon_id:
        state = record_peer_revision(state, daemon_id, change.revision, now_ms)
    if state.contacts.loaded:
        state = state._replace(log=add_change(state.log, change))
    return record_newest(state, change.revision, daemon_id)


def update_from_head(
    state: TargetsState,
    change: Change | None,
    requested_ms: float,
) -> TargetsState:
    """Update the state from the newest change that the platform returned.

    A response older than the revision in force is stale: it neither changes
    nor confirms anything, and does not count as a contact.
    """
    revision = 0 if change is None else change.revision
    if revision < state.log.revision:
        return state
    if change is not None:
        state = update_from_change(state, change, '', requested_ms)
    state = record_platform_contact(state, requested_ms)
    if revision == state.log.revision:
        return record_confirmation(state, requested_ms)
    return state


def update_from_fetched(
    state: TargetsState, message: TargetsFetched
) -> TargetsState:
    """Update the state from what was fetched from a peer or the platform.

    Only a peer's response confirms the targets, as it states the age of the
    peer's own confirmation. The changes read from the platform may be
    incomplete; the next read of the head confirms them.
    """
    pulled = message.pulled
    if message.daemon_id:
        state = record_peer_revision(
            state, message.daemon_id, pulled.revision, message.requested_ms
        )
    if not pulled.loaded or pulled.revision < state.log.revision:
        return state
    log = state.log
    if pulled.snapshot is not None:
        by_service = {service.service: service for service in pulled.snapshot}
        log = add_snapshot(log, TargetSet(pulled.revision, by_service))
    for change in pulled.changes:
        log = add_change(log, change)
    state = state._replace(log=log)
    if not message.daemon_id:
        return record_platform_contact(state, message.requested_ms)
    if pulled.revision == log.revision:
        return record_confirmation(state, message.requested_ms - pulled.age_ms)
    return state


def update_from_revision(
    state: TargetsState,
    message: PeerRevisionReceived,
    now_ms: float,
) -> TargetsState:
    """Update the state from a peer's revision in a gossip datagram."""
    state = record_peer_revision(
        state, message.daemon_id, message.revision, now_ms
    )
    if message.revision == state.log.revision:
        return record_confirmation(state, now_ms - message.age_ms)
    return record_newest(state, message.revision, message.daemon_id)


def update_from_initial_fetch(
    state: TargetsState, message: InitialTargetsFetched
) -> TargetsState:
    """Update the state from the targets that were fetched after the start."""
    log = add_snapshot(state.log, message.target_set)
    contacts = state.contacts._replace(loaded=True)
    state = state._replace(log=log, contacts=contacts)
    if message.reached_platform:
        state = record_platform_contact(state, message.requested_ms)
    if message.reached_peer:
        state = record_peer_contact(state, message.requested_ms)
    return record_confirmation(state, message.confirmed_ms)


def create_pull_response(
    state: TargetsState,
    after_revision: int,
    now_ms: float,
) -> PulledTargets:
    """Return the changes that a peer at ``after_revision`` is missing.

    A peer that is too far behind gets a snapshot.
    """
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


def record_platform_contact(
    state: TargetsState, requested_ms: float
) -> TargetsState:
    """Record a valid response of the platform."""
    contacts = state.contacts
    newest = max(contacts.platform_ms or 0, requested_ms)
    return state._replace(contacts=contacts._replace(platform_ms=newest))


def record_peer_contact(state: TargetsState, now_ms: float) -> TargetsState:
    """Record a contact with any other member."""
    contacts = state.contacts
    newest = max(contacts.peer_ms or 0, now_ms)
    return state._replace(contacts=contacts._replace(peer_ms=newest))


def record_peer_revision(
    state: TargetsState,
    daemon_id: str,
    revision: int,
    now_ms: float,
) -> TargetsState:
    """Record a contact with a member and the member's revision."""
    if revision != state.revisions_by_id.get(daemon_id):
        revisions = {**state.revisions_by_id, daemon_id: revision}
        state = state._replace(revisions_by_id=revisions)
    return record_peer_contact(state, now_ms)


def record_newest(
    state: TargetsState, revision: int, daemon_id: str
) -> TargetsState:
    """Record a revision if it is the newest known one."""
    if revision <= max(state.newest.revision, state.log.revision):
        return state
    return state._replace(newest=NewestRevision(revision, daemon_id))


def record_confirmation(
    state: TargetsState, confirmed_ms: float
) -> TargetsState:
    """Record a time at which the revision in force was the newest."""
    contacts = state.contacts
    newest = max(contacts.confirmed_ms or 0, confirmed_ms)
    return state._replace(contacts=contacts._replace(confirmed_ms=newest))
