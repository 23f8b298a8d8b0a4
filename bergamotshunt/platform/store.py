"""Calls to the platform's key-value store."""

from asyncio import timeout
from base64 import b64decode, b64encode
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from msgspec import MsgspecError
from msgspec.json import decode, encode

from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import ResponseLostError, NotSentError
from bergamotshunt.http.heads import Header, encode_request_head
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.mesh_settings import Address

MAX_RESPONSE_BYTES: Final = 4_194_304
CALL_TIMEOUT_S: Final = 1.0
MS_PER_S: Final = 1000


class StoreError(Exception):
    """A call without a useful response."""


class StoreUnavailableError(StoreError):
    """The store did nothing."""


class OutcomeUnknownError(StoreError):
    """The call may have been executed, or may be executed later."""


class HistoryGoneError(StoreError):
    """The changes since that revision are no longer available."""


class LeaseEndedError(StoreError):
    """There is no such lease."""


# Errors of reading fields that are missing or of another type.
UNREADABLE: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
ERRORS_BY_STATUS: Final[dict[int, type[StoreError]]] = {
    HTTPStatus.GONE: HistoryGoneError,
    HTTPStatus.NOT_FOUND: LeaseEndedError,
}


class ConflictError(StoreError):
    """A condition of a change does not hold.

    Attributes:
        items: The items of the conditions as they are now.
    """

    def __init__(self, items: 'tuple[Item, ...]') -> None:
        """Create the error with the current items."""
        super().__init__('a condition does not hold')
        self.items = items


class Item(NamedTuple):
    """A key and what is stored under it.

    Attributes:
        key: The key.
        content: Stored bytes; None when the key was removed.
        revision: Revision of its last change.
        lease: Lease that it ends with; 0 for none.
    """

    key: str
    content: bytes | None
    revision: int
    lease: int = 0


class Listing(NamedTuple):
    """Items and the revision of the store that they belong to."""

    items: tuple[Item, ...]
    revision: int


class Lease(NamedTuple):
    """A lease and how long it runs without renewal."""

    id: int
    ttl_ms: int


class Write(NamedTuple):
    """A change of one key under a condition.

    Attributes:
        key: The key.
        content: Bytes to store.
        revision: Revision that the key must have; 0 for no such key.
        lease: Lease that the key ends with.
    """

    key: str
    content: bytes
    revision: int
    lease: int


class StoreClient:
    """Makes calls to the store, each on a connection of its own.

    Args:
        address: Address of the store.
    """

    def __init__(self, address: Address) -> None:
        """Create a client without connections."""
        self._pool = ClientPool(address.ip, address.port)
        self._host = str(address).encode()
        self.calls = 0

    async def list_items(self, prefix: str) -> Listing:
        """Return all items whose key begins with the prefix.

        Raises:
            StoreError: No useful response.
        """
        items: list[Item] = []
        after = ''
        revision = 0
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = await self._call('GET', f'/-/kv-range?{urlencode(query)}')
            with _reading():
                found = [_read_item(entry) for entry in page['items']]
                # Changes during the listing are seen again by the watch.
                revision = revision or int(page['as_of'])
                more = bool(page.get('more_pages'))
            items += found
            if not more or not found:
                return Listing(tuple(items), revision)
            after = items[-1].key

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> Listing:
        """Wait for changes after a revision.

        Raises:
            HistoryGoneError: List the items again.
            StoreError: No useful response.
        """
        query = urlencode(
            {'prefix': prefix, 'after': revision, 'wait_ms': wait_ms},
        )
        response = await self._call(
            'GET',
            f'/-/kv-watch?{query}',
            timeout_s=wait_ms / MS_PER_S + CALL_TIMEOUT_S,
        )
        with _reading():
            items = tuple(_read_item(event) for event in response['events'])
            return Listing(items, int(response['as_of']))

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease.

        Raises:
            StoreError: No useful response.
        """
        response = await self._call('POST', '/-/kv-lease', {'ttl_ms': ttl_ms})
        with _reading():
            return Lease(int(response['lease']), int(response['ttl_ms']))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseEndedError: It has ended.
            StoreError: No useful response.
        """
        await self._call('POST', f'/-/kv-keep/{lease}')

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys.

        Raises:
            StoreError: No useful response.
        """
        await self._call('DELETE', f'/-/kv-lease-end/{lease}')

    async def write(self, change: Write) -> int:
        """Store a key if its revision is the expected one.

        Returns:
            The new revision.

        Raises:
            ConflictError: The key has another revision.
            LeaseEndedError: The lease has ended.
            StoreError: No useful response.
        """
        response = await self._call(
            'POST',
            '/-/kv-txn',
            {
                'expect': [{'key': change.key, 'revision': change.revision}],
                'writes': [
                    {
                        'key': change.key,
                        'value': b64encode(change.content).decode(),
                        'lease': change.lease,
                    },
                ],
                'remove': [],
            },
        )
        with _reading():
            return int(response['revision'])

    def close(self) -> None:
        """Close all kept connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        self.calls += 1
        try:
            async with timeout(timeout_s):
                status, content = await self._send(method, path, document)
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except (ResponseLostError, IncompleteBodyError, TimeoutError) as error:
            raise OutcomeUnknownError(repr(error)) from error
        return _read_response(status, content)

    async def _send(
        self,
        method: str,
        path: str,
        document: dict[str, Any] | None,
    ) -> tuple[int, bytes]:
        headers: list[Header] = [(b'Host', self._host)]
        body = b''
        if document is not None:
            body = encode(document)
            headers.append((b'Content-Type', b'application/json'))
        head = encode_request_head(
            method.encode(),
            path.encode(),
            headers,
            len(body),
        )
        response = await self._pool.fetch(head + body, MAX_RESPONSE_BYTES)
        return response.head.status, response.content


def _read_response(status: int, content: bytes) -> Any:
    if status == HTTPStatus.OK:
        return _decode(content)
    if status == HTTPStatus.PRECONDITION_FAILED:
        with _reading():
            entries = _decode(content)['items']
            items = tuple(_read_item(entry) for entry in entries)
        raise ConflictError(items)
    kind = ERRORS_BY_STATUS.get(status, StoreUnavailableError)
    raise kind(f'status {status}')


def _decode(content: bytes) -> Any:
    try:
        return decode(content) if content else {}
    except MsgspecError as error:
        raise OutcomeUnknownError(str(error)) from error


@contextmanager
def _reading() -> Iterator[None]:
    """Turn a response of another form into an error of the call."""
    try:
        yield
    except UNREADABLE as error:
        raise OutcomeUnknownError(f'unreadable answer: {error!r}') from error


def _read_item(entry: dict[str, Any]) -> Item:
    # An event without "value" is the removal of its key.
    stored = entry.get('value')
    gone = entry.get('tombstone') or not isinstance(stored, str)
    key = entry['key']
    if not isinstance(key, str):
        raise TypeError(f'a key that is no text: {key!r}')
    return Item(
        key=key,
        content=None if gone else _read_content(str(stored)),
        revision=int(entry.get('revision', 0)),
        lease=int(entry.get('lease') or 0),
    )


def _read_content(stored: str) -> bytes:
    """Decode what is stored; another writer's bytes may be no base64."""
    try:
        return b64decode(stored)
    except ValueError:
        return b''
