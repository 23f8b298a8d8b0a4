"""Stand-in for the platform's key-value store in mesh mode."""

from asyncio import Condition, Event, sleep, timeout
from base64 import b64decode
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qsl

from msgspec.json import decode, encode

from bergamotshunt.http.connection_ends import CloseReason
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header
from bergamotshunt.http.listeners import Listener
from bergamotshunt.platform.names import STORE_ERA

JSON_HEADERS: Final = [(b'Content-Type', b'application/json')]
MS_PER_S: Final = 1000


class KeyChange(NamedTuple):
    """One write of a key.

    Attributes:
        key: The key.
        content: Value as base64 text; None for a deletion.
        revision: Revision of the store after the write.
        lease: Id of the lease; 0 for none.
    """

    key: str
    content: str | None
    revision: int
    lease: int


class StoreCopy(NamedTuple):
    """A copy of the store, to restore it from.

    Attributes:
        changes_by_key: Last change of each existing key.
        changes: All changes.
        revision: Revision of the store.
        lease_ids: Ids of the leases.
        last_lease_id: Id of the newest lease.
    """

    changes_by_key: dict[str, KeyChange]
    changes: list[KeyChange]
    revision: int
    lease_ids: set[int]
    last_lease_id: int


class MeshStore:
    """Holds items and leases; leases expire only when a test expires them.

    Attributes:
        port: Port that it listens on.
        unavailable: Whether all calls get status 503.
        compacted_revision: Watches from an older revision get status 410.
        calls: Paths of all calls, in their order.
        responses_to_drop: Number of next transactions that are executed
            and whose connection closes without a response.
        deaf: Whether watches hear of no change. Those that are made meanwhile
            are in listings only.
        era: Number of restores that all responses state; None for a store
            without eras.
        delay_s: Time between the execution of a call and its response, in
            seconds; responses of two eras cross if it is lowered.
        refuses_comparisons: Whether transactions without writes get 400.
        silent: Whether calls get no response. Those that arrive meanwhile or
            are pending at its begin never get one; connections stay open.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.port = 0
        self.unavailable = False
        self.compacted_revision = 0
        self.calls: list[str] = []
        self.responses_to_drop = 0
        self.deaf = False
        self.era: int | None = None
        self.delay_s = 0.0
        self.refuses_comparisons = False
        self.silent = False
        self._silences = 0
        self._revision = 1
        self._last_lease_id = 100
        self._lease_ids: set[int] = set()
        self._by_key: dict[str, KeyChange] = {}
        self._changes: list[KeyChange] = []
        self._changed = Condition()
        self._listener = Listener(self._serve)

    async def open(self) -> None:
        """Listen on a port that the operating system assigns."""
        self.port = await self._listener.open('127.0.0.1', 0)

    async def close(self) -> None:
        """Stop listening."""
        await self._listener.close()

    def fall_silent(self) -> None:
        """Answer none of the pending calls, and no call until the return."""
        self.silent = True
        self.forget_pending()

    def forget_pending(self) -> None:
        """Answer none of the pending calls; their connections stay open."""
        self._silences += 1

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in tuple(self._listener.connections):
            connection.abort(CloseReason.SHUTDOWN)

    def compact(self) -> None:
        """Drop the history up to the current revision."""
        self.compacted_revision = self._revision

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(
            dict(self._by_key),
            list(self._changes),
            self._revision,
            set(self._lease_ids),
            self._last_lease_id,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy and start a new era.

        What was written since is lost, leases as well, and revisions and ids
        of leases are given out again.
        """
        self.era = (self.era or 0) + 1
        self._by_key = dict(copy.changes_by_key)
        self._changes = list(copy.changes)
        self._revision = copy.revision
        self._lease_ids = set(copy.lease_ids)
        self._last_lease_id = copy.last_lease_id
        async with self._changed:
            self._changed.notify_all()

    async def put(self, key: str, content: str, lease: int = 0) -> int:
        """Write a value, given as base64 text, and return its revision."""
        self._revision += 1
        change = KeyChange(key, content, self._revision, lease)
        self._by_key[key] = change
        await self._publish(change)
        return self._revision

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self._revision += 1
        self._by_key.pop(key, None)
        await self._publish(KeyChange(key, None, self._revision, 0))

    async def expire_leases(self) -> None:
        """Expire all leases and remove their keys."""
        self._lease_ids.clear()
        for change in tuple(self._by_key.values()):
            if change.lease:
                await self.remove(change.key)

    def lease_ids_in_use(self) -> set[int]:
        """Return the ids of the leases that keys are bound to."""
        return {
            change.lease
            for change in self._by_key.values()
            if change.lease in self._lease_ids
        }

    def read_values(self, prefix: str) -> dict[str, bytes]:
        """Return the decoded values by key below a prefix."""
        return {
            key: b64decode(change.content or '')
            for key, change in self._by_key.items()
            if key.startswith(prefix)
        }

    def read_history(self, key: str) -> list[bytes]:
        """Return the decoded values that a key has had, in their order."""
        return [
            b64decode(change.content)
            for change in self._changes
            if change.key == key and change.content is not None
        ]

    async def _publish(self, change: KeyChange) -> None:
        if self.deaf:
            return
        self._changes.append(change)
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, exchange: Exchange) -> None:
        path, _, query = exchange.head.target.decode().partition('?')
        self.calls.append(path)
        body = await exchange.body.read_up_to(1 << 20)
        if self.unavailable:
            exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, self._headers())
            return
        parameters = dict(parse_qsl(query))
        silences = self._silences
        if not self.silent:
            status, document = await self._dispatch(path, parameters, body)
            headers = self._headers()
            await sleep(self.delay_s)
        if self.silent or self._silences != silences:
            # The connection stays open until the daemon closes it.
            await Event().wait()
        if self.responses_to_drop and path == '/-/kv-txn':
            self.responses_to_drop -= 1
            exchange.abort()
            return
        exchange.respond(status, headers, encode(document))

    def _headers(self) -> list[Header]:
        if self.era is None:
            return [*JSON_HEADERS]
        return [*JSON_HEADERS, (STORE_ERA, b'%d' % self.era)]

    async def _dispatch(
        self, path: str, parameters: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        name, _, lease_id = path.removeprefix('/-/').partition('/')
        match name:
            case 'kv-range':
                return HTTPStatus.OK, self._range(parameters['prefix'])
            case 'kv-watch':
                return await self._watch(parameters)
            case 'kv-lease':
                self._last_lease_id += 1
                self._lease_ids.add(self._last_lease_id)
                ttl_ms = decode(body)['ttl_ms']
                return HTTPStatus.OK, {
                    'lease': self._last_lease_id,
                    'ttl_ms': ttl_ms,
                }
            case 'kv-keep':
                is_granted = int(lease_id) in self._lease_ids
                status = HTTPStatus.OK if is_granted else HTTPStatus.NOT_FOUND
                return status, {}
            case 'kv-lease-end':
                return await self._end_lease(int(lease_id))
            case 'kv-txn':
                return await self._commit(decode(body))
        return HTTPStatus.NOT_FOUND, {}

    def _range(self, prefix: str) -> dict[str, Any]:
        items = [
            _describe_change(change)
            for key, change in self._by_key.items()
            if key.startswith(prefix)
        ]
        return {'items': items, 'more_pages': False, 'as_of': self._revision}

    async def _watch(self, parameters: dict[str, str]) -> tuple[int, Any]:
        after = int(parameters['after'])
        era = self.era
        if not self.compacted_revision <= after <= self._revision:
            return HTTPStatus.GONE, {}

        def find_events() -> list[dict[str, Any]]:
            return [
                _describe_change(change)
                for change in self._changes
                if change.revision > after
                and change.key.startswith(parameters['prefix'])
            ]

        try:
            async with timeout(int(parameters['wait_ms']) / MS_PER_S):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self.era != era or find_events()
                    )
        except TimeoutError:
            return HTTPStatus.OK, {'events': [], 'as_of': self._revision}
        if after > self._revision:
            return HTTPStatus.GONE, {}
        return HTTPStatus.OK, {'events': find_events(), 'as_of': self._revision}

    async def _end_lease(self, lease_id: int) -> tuple[int, Any]:
        self._lease_ids.discard(lease_id)
        for change in tuple(self._by_key.values()):
            if change.lease == lease_id:
                await self.remove(change.key)
        return HTTPStatus.OK, {}

    async def _commit(self, transaction: dict[str, Any]) -> tuple[int, Any]:
        if self.refuses_comparisons and not transaction['writes']:
            return HTTPStatus.BAD_REQUEST, {}
        for condition in transaction['expect']:
            current = self._by_key.get(condition['key'])
            if condition['revision'] != (current.revision if current else 0):
                items = [_describe_change(current)] if current else []
                return HTTPStatus.PRECONDITION_FAILED, {'items': items}
        for write in transaction['writes']:
            lease = write['lease']
            if lease and lease not in self._lease_ids:
                return HTTPStatus.NOT_FOUND, {}
            await self.put(write['key'], write['value'], lease)
        return HTTPStatus.OK, {'revision': self._revision}


def _describe_change(change: KeyChange) -> dict[str, Any]:
    if change.content is None:
        return {
            'key': change.key,
            'revision': change.revision,
            'tombstone': True,
        }
    return {
        'key': change.key,
        'value': change.content,
        'revision': change.revision,
        'created': change.revision,
        'lease': change.lease,
    }
