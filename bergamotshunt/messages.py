"""Messages between the tasks of a daemon."""

from typing import NamedTuple

from bergamotshunt.choice.calls import LoadReport
from bergamotshunt.operators.targets import Change, ServiceTargets, TargetSet
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.peers.sync_documents import SyncRequest


class MembersChanged(NamedTuple):
    """The members that this daemon knows, by daemon id.

    Attributes:
        members_by_id: All members; no task modifies this mapping.
        changed_ids: Members changed or removed since the last message.
    """

    members_by_id: dict[str, Member]
    changed_ids: frozenset[str] = frozenset()


class TargetsChanged(NamedTuple):
    """A newer revision of the targets is in force here."""

    target_set: TargetSet


class ConfirmationChanged(NamedTuple):
    """Whether this daemon may serve with the targets that it has.

    It may not before it has loaded targets, nor after it has reached neither
    the platform nor a peer for too long (``targets.confirm_within_s``).

    Attributes:
        confirmed: False while new requests must be refused.
        detail: Reason, for the operator.
    """

    confirmed: bool
    detail: str


class ServeUntil(NamedTuple):
    """Time until which requests may be accepted without a new confirmation.

    A process that was suspended for a while finds this time passed when it
    resumes, before any of its timers has run.

    Attributes:
        until_ms: Monotonic time in milliseconds; infinite for no limit.
    """

    until_ms: float


class PortBound(NamedTuple):
    """A task bound a port.

    Attributes:
        kind: ``callers``, ``peers``, ``admin`` or ``gossip``.
        port: Number of the port.
    """

    kind: str
    port: int


class LoopFailed(NamedTuple):
    """A loop of a task ended with an error and is started again.

    Attributes:
        task: Name of the task.
        loop: Name of the loop.
    """

    task: str
    loop: str


class ServerStateChanged(NamedTuple):
    """The state of the backend server beside this daemon changed."""

    server_state: ServerState


class DrainRequested(NamedTuple):
    """Request to drain the backend server and its daemon."""


class EraChanged(NamedTuple):
    """A new booking era, a time bucket of booking keys, began."""

    era: int


class ChangeReceived(NamedTuple):
    """A change of targets arrived from a peer, the platform or a submission.

    Attributes:
        change: The change.
        daemon_id: Daemon that sent it, which has all changes up to this one;
            empty for the platform.
    """

    change: Change
    daemon_id: str = ''


class PeerRevisionReceived(NamedTuple):
    """A gossip datagram reported a peer's revision of the targets.

    Attributes:
        revision: Newest revision that the peer has in force.
        daemon_id: The peer.
        age_ms: Time since the peer's revision was last confirmed.
    """

    revision: int
    daemon_id: str
    age_ms: int


class RevisionInForce(NamedTuple):
    """Revision of the targets in force here, for gossip datagrams.

    Attributes:
        revision: Revision in force.
        age_ms: Time since the revision was last confirmed.
    """

    revision: int
    age_ms: int


class PeerReached(NamedTuple):
    """A peer responded to this daemon directly."""

    daemon_id: str


class DaemonReplaced(NamedTuple):
    """Whether another process has this daemon's id.

    Attributes:
        replaced: True while this process must not serve.
        detail: Which process has the id, for the operator.
    """

    replaced: bool
    detail: str


class SyncMembers(NamedTuple):
    """Request to gossip to compare members; the reply is a ``SyncReply``."""

    request: SyncRequest


class SeedsLearned(NamedTuple):
    """Peers ports from the seed lists in the platform.

    Attributes:
        peers: Addresses (``IP:port``).
    """

    peers: tuple[str, ...]


class StoreGet(NamedTuple):
    """Request to the store for the entries of a key or a prefix.

    The reply is a ``Result[tuple[StoreEntry, ...], StoreFailure]``.

    Attributes:
        key: Key, or prefix when ``prefix`` is set.
        prefix: Whether to return all keys that start with ``key``.
        after: Return only keys after this one; empty for all.
        limit: Maximum number of entries; 0 for all.
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
    """Request to the store to write if all expected revisions still hold.

    The reply is a ``Result[StoreCommitted, StoreFailure]``.

    Attributes:
        expected: Pairs of key and mod_revision; 0 means absent.
        puts: Keys to write.
        deletes: Keys to remove.
        delete_ranges: Key ranges to remove: first key and exclusive end.
    """

    expected: tuple[tuple[str, int], ...]
    puts: tuple[StorePut, ...]
    deletes: tuple[str, ...] = ()
    delete_ranges: tuple[tuple[str, str], ...] = ()


class StoreCommitted(NamedTuple):
    """Outcome of a commit; ``StoreFailure`` if the outcome is unknown.

    Attributes:
        succeeded: Whether all revisions held and the puts are written.
        revision: The store's revision after the commit.
        present: If it did not succeed, the current entries of the expected
            keys; absent keys are omitted.
    """

    succeeded: bool
    revision: int
    present: tuple[StoreEntry, ...] = ()


class StoreWatch(NamedTuple):
    """Request to the store to wait until a key is written.

    The reply is a ``Result[StoreEntry | None, StoreFailure]``; a deletion
    is an entry without content.

    Attributes:
        key: Key to watch.
        after_revision: Return once its mod_revision is larger.
        timeout_ms: Return None after this time without a change.
    """

    key: str
    after_revision: int
    timeout_ms: int


class StoreFailure(NamedTuple):
    """A call to the store failed.

    Attributes:
        may_have_run: Whether a write may have taken effect.
        detail: Description of the error.
    """

    may_have_run: bool
    detail: str


class SubmitChange(NamedTuple):
    """Request to the changes task to commit new targets of a service.

    The reply is a ``Result[Change, SubmitFailure]``; a repeat of an
    accepted submission returns the change that it made the first time.

    Attributes:
        service: Service whose targets change.
        after: New targets, or None to remove them.
        expected_revision: Revision of the service that the operator saw.
        operator: Name of the operator.
        reason: The operator's reason for the change.
        submission_id: Idempotency key of the submission.
    """

    service: str
    after: ServiceTargets | None
    expected_revision: int
    operator: str
    reason: str
    submission_id: str


class HealthObserved(NamedTuple):
    """Result of a health probe of the local backend server.

    Attributes:
        healthy: Whether the server is healthy.
        responded: Whether the server responded to the probe.
    """

    healthy: bool
    responded: bool = True


class DescribeLoad(NamedTuple):
    """Request to the guard for the current ``LoadReport``."""


class QueryLoad(NamedTuple):
    """Request to gossip to query daemons for their load by datagram."""

    daemon_ids: tuple[str, ...]


class LoadResponseReceived(NamedTuple):
    """A daemon responded to a load query.

    Attributes:
        daemon_id: The daemon that responded.
        report: Load of its backend server.
        age_ms: Time since the query was sent.
    """

    daemon_id: str
    report: LoadReport
    age_ms: float


class Ticket(NamedTuple):
    """Owner of a booking key, the idempotency key of a booking.

    Attributes:
        daemon_id: Daemon that owns the key.
        process_id: Process of that daemon; only it may run the booking.
        era: Booking era of the owner when the ticket was issued.
        nonce: Random part that makes the ticket unique.
    """

    daemon_id: str
    process_id: int
    era: int
    nonce: str


class ResolveBooking(NamedTuple):
    """Request to the claims task for the owner of a call's booking key.

    The reply is a ``Result[Ticket, CallFailure]``. A key that is itself a
    ticket is only parsed; any other key is claimed in the platform's store,
    with ``proposed`` as its owner if it was not claimed before.

    Attributes:
        service: Service of the call.
        key: Booking key of the call.
        proposed: Owner of the key if the claim is new.
    """

    service: str
    key: str
    proposed: Ticket


class RebindBooking(NamedTuple):
    """Request to the claims task to bind a booking key to another owner.

    Only valid while no request was sent to the owner of ``failed``. The
    reply is a ``Result[Ticket, CallFailure]``: a failure if another daemon
    may have sent the booking to that owner.

    Attributes:
        service: Service of the call.
        key: Booking key of the call.
        failed: Present owner, which could not be used.
        proposed: New owner.
    """

    service: str
    key: str
    failed: Ticket
    proposed: Ticket


class DescribeTask(NamedTuple):
    """Request to every task for its part of the daemon's status."""


class DescribeService(NamedTuple):
    """Request to the directory for the servers and targets of a service.

    The reply is a ``DirectoryReply``.

    Attributes:
        service: Name of the service.
        version: Version that the client has; empty for none.
        wait_ms: Maximum time to wait for a newer version.
    """

    service: str
    version: str
    wait_ms: int
