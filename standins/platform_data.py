"""Data of the platform stand-in: keys, transactions, leases and events.

Implements the parts of the published etcd v3 protocol that the daemon uses,
in memory and without I/O.
"""

from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from itertools import count
from time import monotonic
from typing import Any, Final, NamedTuple

MAX_VALUE_BYTES: Final = 1_000_000
# Watches that start before the oldest retained event are cancelled as
# compacted; their client has to read the range again.
MAX_EVENTS: Final = 10_000


class RejectedCallError(ValueError):
    """A call that the service rejects.

    Args:
        status: HTTP status of the response.
        code: gRPC status code: 3 (INVALID_ARGUMENT), 5 (NOT_FOUND) or 8
            (RESOURCE_EXHAUSTED).
        detail: Error message of the response.
    """

    def __init__(self, status: int, code: int, detail: str) -> None:
        """Create the error from the parts of its response."""
        super().__init__(detail)
        self.status = status
        self.code = code


class Stored(NamedTuple):
    """One value with its revisions and its lease id (0 for none)."""

    content: bytes
    create_revision: int
    mod_revision: int
    version: int = 1
    lease: int = 0


class Event(NamedTuple):
    """One write; ``stored`` is None for a deletion."""

    revision: int
    key: str
    stored: Stored | None


class GrantedLease(NamedTuple):
    """A granted lease; it expires at a time of the clock, in seconds."""

    ttl_s: int
    expires_s: float


def decode_key(text: str) -> str:
    """Decode a key from base64 text."""
    return b64decode(text).decode()


def encode_text(content: bytes) -> str:
    """Encode a key or a value as base64 text."""
    return b64encode(content).decode()


def describe_entry(key: str, stored: Stored) -> dict[str, str]:
    """Return an entry as a ``KeyValue`` of the protocol."""
    entry = {
        'key': encode_text(key.encode()),
        'value': encode_text(stored.content),
        'create_revision': str(stored.create_revision),
        'mod_revision': str(stored.mod_revision),
        'version': str(stored.version),
    }
    if stored.lease:
        entry['lease'] = str(stored.lease)
    return entry


def describe_event(event: Event) -> dict[str, Any]:
    """Return a write as an ``Event`` of the protocol."""
    if event.stored is None:
        return {
            'type': 'DELETE',
            'kv': {
                'key': encode_text(event.key.encode()),
                'mod_revision': str(event.revision),
            },
        }
    return {'kv': describe_entry(event.key, event.stored)}


class KeyValueData:
    """Keys, leases and recent events of the service.

    Args:
        clock: Monotonic time in seconds, for the leases.
    """

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        """Create empty data at revision 1."""
        self.clock = clock
        self.revision = 1
        self.by_key: dict[str, Stored] = {}
        self.leases_by_id: dict[int, GrantedLease] = {}
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.listeners: set[Callable[[Event], None]] = set()
        self._lease_ids = count(7001)

    def copy(self) -> 'KeyValueData':
        """Return a snapshot of keys and revision, for stale reads."""
        snapshot = KeyValueData(self.clock)
        snapshot.revision = self.revision
        snapshot.by_key = dict(self.by_key)
        return snapshot

    def header(self) -> dict[str, str]:
        """Return the header that each response contains."""
        return {'revision': str(self.revision)}

    def read_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the response to a range request."""
        keys = sorted(self.keys_in_range(body))
        limit = int(body.get('limit', 0)) or len(keys)
        entries = [
            describe_entry(key, self.by_key[key]) for key in keys[:limit]
        ]
        response: dict[str, Any] = {
            'header': self.header(),
            'count': str(len(keys)),
        }
        if entries:
            response['kvs'] = entries
        if len(keys) > limit:
            response['more'] = True
        return response

    def keys_in_range(self, body: dict[str, Any]) -> list[str]:
        """Return the keys that a range request selects."""
        start_key = decode_key(body['key'])
        if not body.get('range_end'):
            return [start_key] if start_key in self.by_key else []
        end_key = decode_key(body['range_end'])
        # In the protocol, this range end selects all keys from the start on.
        if end_key == '\0':
            return [key for key in self.by_key if key >= start_key]
        return [key for key in self.by_key if start_key <= key < end_key]

    def run_transaction(self, body: dict[str, Any]) -> dict[str, Any]:
        """Run a transaction; all its writes get the same revision.

        Returns:
            The response to the transaction.

        Raises:
            RejectedCallError: An operation is not valid.
        """
        conditions_met = all(
            map(self.is_condition_met, body.get('compare', ()))
        )
        operations = body.get('success' if conditions_met else 'failure', ())
        self.validate_puts(operations)
        if any('request_range' not in operation for operation in operations):
            self.revision += 1
        responses = [self.run_operation(operation) for operation in operations]
        response: dict[str, Any] = {
            'header': self.header(),
            'responses': responses,
        }
        if conditions_met:
            response['succeeded'] = True
        return response

    def validate_puts(self, operations: Any) -> None:
        """Reject large values, unknown leases and duplicate keys.

        Raises:
            RejectedCallError: A write is not valid.
        """
        keys = []
        for operation in operations:
            put = operation.get('request_put')
            if put is None:
                continue
            keys.append(put['key'])
            if len(b64decode(put.get('value', ''))) > MAX_VALUE_BYTES:
                raise RejectedCallError(
                    400, 3, 'etcdserver: request is too large'
                )
            lease = int(put.get('lease', 0))
            if lease and lease not in self.leases_by_id:
                raise RejectedCallError(
                    404, 5, 'etcdserver: requested lease not found'
                )
        if len(keys) != len(set(keys)):
            raise RejectedCallError(
                400, 3, 'etcdserver: duplicate key given in txn request'
            )

    def is_condition_met(self, condition: dict[str, Any]) -> bool:
        """Return whether a condition of a transaction is met."""
        stored = self.by_key.get(decode_key(condition['key']))
        target = condition.get('target', 'VERSION')
        actual: Any
        if target == 'VALUE':
            if stored is None:
                return False
            actual = stored.content
            expected: Any = b64decode(condition.get('value', ''))
        else:
            field = {
                'MOD': 'mod_revision',
                'CREATE': 'create_revision',
                'VERSION': 'version',
                'LEASE': 'lease',
            }[target]
            actual = getattr(stored, field) if stored else 0
            expected = int(condition.get(field, 0))
        return {
            'EQUAL': actual == expected,
            'NOT_EQUAL': actual != expected,
            'GREATER': actual > expected,
            'LESS': actual < expected,
        }[condition.get('result', 'EQUAL')]

    def run_operation(self, operation: dict[str, Any]) -> dict[str, Any]:
        """Run one operation of a transaction and return its response."""
        if 'request_put' in operation:
            put = operation['request_put']
            self.put(
                decode_key(put['key']),
                b64decode(put.get('value', '')),
                int(put.get('lease', 0)),
            )
            return {'response_put': {'header': self.header()}}
        if 'request_delete_range' in operation:
            keys = self.keys_in_range(operation['request_delete_range'])
            for key in keys:
                self.delete(key)
            return {'response_delete_range': {'deleted': str(len(keys))}}
        return {'response_range': self.read_range(operation['request_range'])}

    def put(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write a key at the current revision."""
        previous = self.by_key.get(key)
        stored = Stored(
            content,
            previous.create_revision if previous else self.revision,
            self.revision,
            previous.version + 1 if previous else 1,
            lease,
        )
        self.by_key[key] = stored
        self.publish(Event(self.revision, key, stored))

    def delete(self, key: str) -> None:
        """Remove a key at the current revision."""
        self.by_key.pop(key)
        self.publish(Event(self.revision, key, None))

    def publish(self, event: Event) -> None:
        """Record an event and notify the listeners."""
        self.events.append(event)
        for listener in tuple(self.listeners):
            listener(event)

    def grant_lease(self, ttl_s: int) -> int:
        """Grant a lease and return its id.

        Raises:
            RejectedCallError: The time to live is not positive.
        """
        if ttl_s <= 0:
            raise RejectedCallError(400, 3, 'etcdserver: too small lease TTL')
        lease_id = next(self._lease_ids)
        self.leases_by_id[lease_id] = GrantedLease(ttl_s, self.clock() + ttl_s)
        return lease_id

    def renew_lease(self, lease_id: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 if unknown."""
        lease = self.leases_by_id.get(lease_id)
        if lease is None:
            return 0
        expires_s = self.clock() + lease.ttl_s
        self.leases_by_id[lease_id] = GrantedLease(lease.ttl_s, expires_s)
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and remove its keys.

        Raises:
            RejectedCallError: The lease is unknown.
        """
        if self.leases_by_id.pop(lease_id, None) is None:
            raise RejectedCallError(
                404, 5, 'etcdserver: requested lease not found'
            )
        keys = [
            key
            for key, stored in self.by_key.items()
            if stored.lease == lease_id
        ]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)

    def expire_leases(self, all_leases: bool = False) -> None:
        """Revoke the leases that have expired, or all of them."""
        now_s = self.clock()
        for lease_id, lease in tuple(self.leases_by_id.items()):
            if all_leases or lease.expires_s <= now_s:
                self.revoke_lease(lease_id)
