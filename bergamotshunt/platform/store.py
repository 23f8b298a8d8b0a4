"""Client of the platform's key-value store."""

from asyncio import timeout
from base64 import b64encode
from contextlib import AbstractContextManager
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from msgspec.json import encode

from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_base64,
    decode_json,
)
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import NotSentError, ResponseLostError
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.http.heads import Header, encode_request_head
from bergamotshunt.mesh_settings import Address
from bergamotshunt.stored_items import Item, Listing
from bergamotshunt.value_checks import check_integer, check_string

MAX_RESPONSE_BYTES: Final = 4_194_304
CALL_TIMEOUT_S: Final = 1.0
MS_PER_S: Final = 1000
MAX_STORE_INTEGER: Final = 2**64 - 1


class StoreError(Exception):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store did not execute the call."""


class OutcomeUnknownError(StoreError):
    """The call may have been executed, or may be executed later."""


class HistoryGoneError(StoreError):
    """The changes after the revision have been compacted."""


class LeaseEndedError(StoreError):
    """The lease does not exist, or has expired."""


ERRORS_BY_STATUS: Final[dict[int, type[StoreError]]] = {
    HTTPStatus.GONE: HistoryGoneError,
    HTTPStatus.NOT_FOUND: LeaseEndedError,
}


class ConflictError(StoreError):
    """The compare-and-swap condition of a change does not hold.

    Attributes:
        items: The current items of the compared keys.
    """

    def __init__(self, items: tuple[Item, ...]) -> None:
        """Create the error."""
        found = {item.key: item.revision for item in items}
        super().__init__(
            f'a compared key has another revision than expected; found {found}'
        )
        self.items = items


class Lease(NamedTuple):
    """Id of a lease, and its time to live without renewal."""

    id: int
    ttl_ms: int


class Write(NamedTuple):
    """A compare-and-swap write of one key.

    Attributes:
        key: The key.
        content: New value.
        revision: Expected revision of the key; 0 if it must not exist.
        lease: Id of the lease to bind the key to.
    """

    key: str
    content: bytes
    revision: int
    lease: int


class StoreClient:
    """Client of the store; concurrent calls use separate connections.

    Args:
        address: Address of the store.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(self, address: Address) -> None:
        """Create a client without connections."""
        self._pool = ClientPool(address.ip, address.port)
        self._host = str(address).encode()
        self.calls = 0

    async def list_items(
        self, prefix: str, *, allow_stale: bool = False
    ) -> Listing:
        """Return all items whose key starts with the prefix.

        Args:
            prefix: Prefix of the keys.
            allow_stale: Whether the items may be some seconds old, which
                costs the store a tenth of the work.

        Raises:
            StoreError: The call failed.
        """
        items: list[Item] = []
        after = ''
        revision = 0
        while True:
            query = {'prefix': prefix}
            if allow_stale:
                query['allow_stale'] = '1'
            if after:
                query['after'] = after
            page = await self._call('GET', f'/-/kv-range?{urlencode(query)}')
            with _convert_malformed('kv-range'):
                found = [_read_item(entry) for entry in page['items']]
                # Later pages may show later changes. Taking the revision of
                # the first page, a watch delivers those changes again.
                revision = revision or _read_integer('as_of', page['as_of'])
                has_more = bool(page.get('more_pages'))
            items += found
            if not has_more or not found:
                return Listing(tuple(items), revision)
            after = items[-1].key

    async def watch(self, prefix: str, revision: int, wait_ms: int) -> Listing:
        """Wait for changes after a revision.

        Args:
            prefix: Prefix of the keys.
            revision: Store revision.
            wait_ms: Maximum time to wait, in milliseconds.

        Raises:
            HistoryGoneError: The items have to be listed again.
            StoreError: The call failed.
        """
        query = urlencode(
            {'prefix': prefix, 'after': revision, 'wait_ms': wait_ms},
        )
        response = await self._call(
            'GET',
            f'/-/kv-watch?{query}',
            timeout_s=wait_ms / MS_PER_S + CALL_TIMEOUT_S,
        )
        with _convert_malformed('kv-watch'):
            items = tuple(_read_item(event) for event in response['events'])
            return Listing(items, _read_integer('as_of', response['as_of']))

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease.

        Args:
            ttl_ms: Time to live, in milliseconds.

        Raises:
            StoreError: The call failed.
        """
        response = await self._call('POST', '/-/kv-lease', {'ttl_ms': ttl_ms})
        with _convert_malformed('kv-lease'):
            return Lease(
                _read_integer('lease', response['lease']),
                _read_integer('ttl_ms', response['ttl_ms']),
            )

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises:
            LeaseEndedError: It has expired.
            StoreError: The call failed.
        """
        await self._call('POST', f'/-/kv-keep/{lease}')

    async def write(self, change: Write) -> int:
        """Write a key if it has the expected revision.

        Returns:
            The new revision.

        Raises:
            ConflictError: The key has another revision.
            LeaseEndedError: The lease has expired.
            StoreError: The call failed.
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
        with _convert_malformed('kv-txn'):
            return _read_integer('revision', response['revision'])

    def close(self) -> None:
        """Close all pooled connections."""
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
            raise StoreUnavailableError(
                f'{method} {path} was not sent to the store: {error}'
            ) from error
        except (ResponseLostError, IncompleteBodyError, TimeoutError) as error:
            raise OutcomeUnknownError(
                f'no complete response of the store to {method} {path} '
                f'within {timeout_s} s: {error!r}'
            ) from error
        return _read_response(f'{method} {path}', status, content)

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


def _read_response(call: str, status: int, content: bytes) -> Any:
    if status == HTTPStatus.OK:
        return _decode(call, content)
    if status == HTTPStatus.PRECONDITION_FAILED:
        with _convert_malformed(call):
            entries = _decode(call, content)['items']
            items = tuple(_read_item(entry) for entry in entries)
        raise ConflictError(items)
    error_type = ERRORS_BY_STATUS.get(status, StoreUnavailableError)
    raise error_type(f'the store returned status {status} to {call}')


def _decode(call: str, content: bytes) -> Any:
    with _convert_malformed(call):
        return decode_json(content, 'body') if content else {}


def _convert_malformed(call: str) -> AbstractContextManager[None]:
    """Convert errors of a malformed response to errors of the call."""
    return convert_malformed(
        f'malformed response of the store to {call}', OutcomeUnknownError
    )


def _read_integer(name: str, number: Any) -> int:
    return check_integer(name, int(number), maximum=MAX_STORE_INTEGER)


def _read_item(entry: dict[str, Any]) -> Item:
    # An event without "value" is the deletion of its key.
    stored = entry.get('value')
    is_removed = entry.get('tombstone') or not isinstance(stored, str)
    return Item(
        key=check_string('key', entry['key']),
        content=None if is_removed else _read_content(str(stored)),
        revision=_read_integer('revision', entry.get('revision', 0)),
        lease=_read_integer('lease', entry.get('lease') or 0),
    )


def _read_content(stored: str) -> bytes:
    """Decode a value; return empty bytes when it is not base64.

    Other writers may store such values.
    """
    try:
        return decode_base64(stored, 'value')
    except MalformedInputError:
        return b''
