"""Messages between the tasks of a daemon."""

from typing import NamedTuple

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.operators.targets import Change, ServiceTargets, TargetSet
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.peers.sync_documents import SyncRequest


class MembersChanged(NamedTuple):
    """The members that this daemon knows, by daemon id.

    Attributes:
        members_by_id: All members; nobody changes this mapping any more.
        changed_ids: Members that changed or went since the last message.
    """

    members_by_id: dict[str, Member]
    changed_ids: frozenset[str] = frozenset()


class TargetsChanged(NamedTuple):
    """A newer revision of the targets is in force here."""

    target_set: TargetSet


class ConfirmationChanged(NamedTuple):
    """Whether this daemon may serve with the targets it holds.

    Attributes:
        confirmed: False while new work has to be refused.
        detail: Reason for the operator.
    """

    confirmed: bool
    detail: str


class ServeUntil(NamedTuple):
    """Until when new work may be accepted without further contact.

    A process that was stopped for a while finds this time passed when it
    wakes, before any timer of its own has run.

    Attributes:
        until_ms: Monotonic time in milliseconds; infinite for no limit.
    """

    until_ms: float


class PortBound(NamedTuple):
    """A task listens on a port.

    Attributes:
        kind: ``callers``, ``peers``, ``admin`` or ``gossip``.
        port: Number of the port.
    """

    kind: str
    port: int


class ServerStateChanged(NamedTuple):
    """State of the backend server beside this daemon."""

    server_state: ServerState


class DrainRequested(NamedTuple):
    """The backend server and its daemon leave the fleet."""


class EraChanged(NamedTuple):
    """A new booking era began at the guard."""

    era: int


class ChangeReceived(NamedTuple):
    """A change of targets that a peer pushed.

    Attributes:
        change: The change.
        daemon_id: The peer, which has all changes up to this one.
    """

    change: Change
    daemon_id: str = ''


class PeerRevisionReceived(NamedTuple):
    """A peer's revision, from a gossip datagram.

    Attributes:
        revision: Newest revision that the peer has in force.
        daemon_id: The peer.
        age_ms: Time since the peer's revision was last confirmed.
    """

    revision: int
    daemon_id: str
    age_ms: int


class RevisionInForce(NamedTuple):
    """This daemon's own revision, for its gossip datagrams."""

    revision: int
    age_ms: int


class PeerReached(NamedTuple):
    """A peer answered this daemon directly."""

    daemon_id: str


class DaemonReplaced(NamedTuple):
    """Whether another process holds this daemon's id.

    Attributes:
        replaced: True while this process must not serve.
        detail: Which process holds the id, for the operator.
    """

    replaced: bool
    detail: str


class SyncMembers(NamedTuple):
    """Question to gossip: compare members; the reply is a ``SyncReply``."""

    request: SyncRequest


class SeedsLearned(NamedTuple):
    """Peers ports (``IP:port``) from the seed lists in the platform."""

    peers: tuple[str, ...]


class StoreGet(NamedTuple):
    """Question to the store: the values under a key or a prefix.

    Attributes:
        key: Key, or prefix when ``prefix`` is set.
        prefix: Whether all keys below ``key`` are meant.
        after: Skip keys up to this one (exclusive); empty for none.
        limit: Most entries wanted; 0 for all.
    """

    key: str
    prefix: bool = False
    after: str = ''
    limit: int = 0


class StoreEntry(NamedTuple):
    """A key with its value and the store's revision of its last write."""

    key: str
    content: bytes
    mod_revision: int


class StorePut(NamedTuple):
    """One write of a commit."""

    key: str
    content: bytes


class StoreCommit(NamedTuple):
    """Question to the store: write all puts if all revisions still hold.

    The reply is a ``Result[StoreCommitted, StoreFailure]``.

    Attributes:
        expected: Pairs of key and mod_revision; 0 means absent.
        puts: Keys to write.
        deletes: Keys to remove.
        delete_ranges: Pairs of first key and end (exclusive) to remove.
    """

    expected: tuple[tuple[str, int], ...]
    puts: tuple[StorePut, ...]
    deletes: tuple[str, ...] = ()
    delete_ranges: tuple[tuple[str, str], ...] = ()


class StoreCommitted(NamedTuple):
    """The platform decided a commit; see ``StoreFailure`` for unknown.

    Attributes:
        won: Whether all revisions held and the puts are written.
        revision: The store's revision after the commit.
        present: When lost, the entries of the expected keys that are
            there now; absent keys are left out.
    """

    succeeded: bool
    revision: int
    present: tuple[StoreEntry, ...] = ()


class StoreWatch(NamedTuple):
    """Question to the store: wait until a key passes a revision.

    The reply is a ``Result[StoreEntry | None, StoreFailure]``; a deletion
    is an entry without content.

    Attributes:
        key: Key to wait for.
        after_revision: Return once its mod_revision is larger.
        timeout_ms: Return None after this time without a change.
    """

    key: str
    after_revision: int
    timeout_ms: int


class StoreFailure(NamedTuple):
    """The store did not answer.

    Attributes:
        may_have_run: Whether a write may have taken effect.
        detail: What went wrong.
    """

    may_have_run: bool
    detail: str


class SubmitChange(NamedTuple):
    """Question to the keeper: accept new targets for a service.

    The reply is a ``Result[Change, SubmitFailure]``; a repeat of an
    accepted submission gets the change that it made the first time.

    Attributes:
        service: Service that changes.
        after: Wanted targets, or None to remove them.
        expected_revision: The service's revision that the operator saw.
        operator: Name of the operator.
        reason: Why.
        submission_id: Identity of the submission.
    """

    service: str
    after: ServiceTargets | None
    expected_revision: int
    operator: str
    reason: str
    submission_id: str


class HealthObserved(NamedTuple):
    """The prober saw the health of the local backend server.

    Attributes:
        healthy: Whether the server is healthy.
        answered: Whether the server itself said so.
    """

    healthy: bool
    answered: bool = True


class DescribeLoad(NamedTuple):
    """Question to the guard: the ``LoadReport`` of this moment."""


class QueryLoad(NamedTuple):
    """Request to gossip: ask these daemons for their load by datagram."""

    daemon_ids: tuple[str, ...]


class LoadReceived(NamedTuple):
    """A daemon answered a load query.

    Attributes:
        daemon_id: The daemon.
        report: Load of its backend server.
        age_ms: Time since the query was sent.
    """

    daemon_id: str
    report: LoadReport
    age_ms: float


class Ticket(NamedTuple):
    """Owner of a booking key.

    Attributes:
        daemon_id: Daemon that owns the key.
        process_id: Process of that daemon; no other one may run the key.
        era: Booking era of the owner when the ticket was made.
        nonce: Random part, which makes the ticket unique.
    """

    daemon_id: str
    process_id: int
    era: int
    nonce: str


class ResolveBooking(NamedTuple):
    """Question to the claims task: who owns the booking key of a call.

    The reply is a ``Result[Ticket, CallFailure]``. A key that is a
    ticket itself is only parsed; any other key is claimed in the
    platform, with ``proposed`` as its owner when the claim is new.
    """

    service: str
    key: str
    proposed: Ticket


class RebindBooking(NamedTuple):
    """Question to the claims task: bind a key to another owner.

    Only valid while nothing was sent to the owner of ``failed``; the
    reply is a ``Result[Ticket, CallFailure]``, a failure when another
    daemon may have sent the booking there.
    """

    service: str
    key: str
    failed: Ticket
    proposed: Ticket


class DescribeTask(NamedTuple):
    """Question to every task: its part of the daemon's status."""


class DescribeService(NamedTuple):
    """Question to the directory: servers and targets of a service.

    The reply is a ``DirectoryReply``.

    Attributes:
        service: Name of the service.
        version: Version that the client holds, or empty.
        wait_ms: How long to wait for a newer version.
    """

    service: str
    version: str
    wait_ms: int
