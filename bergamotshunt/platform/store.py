"""Client of the platform's key-value store."""

from asyncio import timeout
from base64 import b64encode
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple
from urllib.parse import urlencode

from msgspec.json import encode

from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_connection import NotSentError, ResponseLostError
from bergamotshunt.http.client_pool import ClientPool
from bergamotshunt.http.heads import Header, encode_request_head
from bergamotshunt.mesh_settings import Address
from bergamotshunt.platform.store_errors import (
    ConflictError,
    OutcomeUnknownError,
    StaleEraError,
    StoreError,
    StoreUnavailableError,
)
from bergamotshunt.platform.store_responses import (
    convert_malformed_call,
    read_era,
    read_integer,
    read_item,
    read_response,
)
from bergamotshunt.stored_items import KeyState, Listing, find_item

# A configuration with 100,000 keys has about 6 MB in base64.
MAX_RESPONSE_BYTES: Final = 16_777_216
CALL_TIMEOUT_S: Final = 1.0
MS_PER_S: Final = 1000
# Statuses of a store that does not know a call.
UNSUPPORTED_STATUSES: Final = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.GONE,
        HTTPStatus.NOT_IMPLEMENTED,
    )
)


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
        on_era: Takes the first era that is seen, and each later one, before
            the response is used that states it.

    Attributes:
        calls: Number of calls so far.
        era: Latest era of the store that was seen; 0 before the first.
    """

    def __init__(
        self,
        address: Address,
        on_era: Callable[[int], None] | None = None,
    ) -> None:
        """Create a client without connections."""
        self._pool = ClientPool(address.ip, address.port)
        self._host = str(address).encode()
        self._has_comparisons = True
        self.calls = 0
        self.era = 0
        self._has_era = False
        self._on_era = on_era

    def note_era(self, era: int) -> None:
        """Take no response of an earlier era from now on.

        Another client, or a peer, has seen this era.
        """
        if self._has_era and era <= self.era:
            return
        self._has_era = True
        self.era = era
        if self._on_era is not None:
            self._on_era(era)

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
        pages: list[Listing] = []
        after = ''
        while True:
            page, has_more = await self._list_page(prefix, after, allow_stale)
            pages.append(page)
            if not has_more or not page.items:
                return _join_pages(pages)
            after = page.items[-1].key

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
        with convert_malformed_call('kv-watch'):
            items = tuple(read_item(event) for event in response['events'])
            revision = read_integer('as_of', response['as_of'])
            return Listing(items, revision, self.era)

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease.

        Args:
            ttl_ms: Time to live, in milliseconds.

        Raises:
            StoreError: The call failed.
        """
        response = await self._call('POST', '/-/kv-lease', {'ttl_ms': ttl_ms})
        with convert_malformed_call('kv-lease'):
            return Lease(
                read_integer('lease', response['lease']),
                read_integer('ttl_ms', response['ttl_ms']),
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
        with convert_malformed_call('kv-txn'):
            return read_integer('revision', response['revision'])

    async def compare(self, key: str, revision: int) -> KeyState:
        """Compare the revision of a key with the expected one.

        A transaction without writes does so for the price of a small call.
        If the store refuses it, the key is read; if the store does not
        support it, the key is read from then on.

        Args:
            key: The key.
            revision: Expected revision; 0 if the key should not exist.

        Raises:
            StoreError: The call failed.
        """
        if self._has_comparisons:
            try:
                return await self._compare(key, revision)
            except StoreError as error:
                if not error.status:
                    raise
                is_unsupported = error.status in UNSUPPORTED_STATUSES
                self._has_comparisons = not is_unsupported
        listing = await self.list_items(key)
        item = find_item(listing.items, key)
        found = item.revision if item else 0
        return KeyState(found == revision, item, listing.era)

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.close()

    async def _list_page(
        self, prefix: str, after: str, allow_stale: bool
    ) -> tuple[Listing, bool]:
        """Return a page of a listing, and whether more follow."""
        query = {'prefix': prefix}
        if allow_stale:
            query['allow_stale'] = '1'
        if after:
            query['after'] = after
        page = await self._call('GET', f'/-/kv-range?{urlencode(query)}')
        with convert_malformed_call('kv-range'):
            items = tuple(read_item(entry) for entry in page['items'])
            revision = read_integer('as_of', page['as_of'])
            listing = Listing(items, revision, self.era)
            return listing, bool(page.get('more_pages'))

    async def _compare(self, key: str, revision: int) -> KeyState:
        transaction = {
            'expect': [{'key': key, 'revision': revision}],
            'writes': [],
            'remove': [],
        }
        try:
            await self._call('POST', '/-/kv-txn', transaction)
        except ConflictError as conflict:
            item = find_item(conflict.items, key)
            return KeyState(is_unchanged=False, item=item, era=self.era)
        return KeyState(is_unchanged=True, era=self.era)

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
        return read_response(f'{method} {path}', status, content)

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
        era = read_era(response.head)
        if era < self.era:
            raise StaleEraError(
                f'a response to {method} {path} is of era {era} of the store, '
                f'which is in era {self.era}'
            )
        self.note_era(era)
        return response.head.status, response.content


def _join_pages(pages: list[Listing]) -> Listing:
    """Return one listing of all pages.

    Later pages may show later changes. Taking the revision of the first page,
    a watch delivers those changes again.

    Raises:
        StaleEraError: The pages are of different eras.
    """
    if len({page.era for page in pages}) > 1:
        raise StaleEraError('the store was restored between two pages')
    items = tuple(item for page in pages for item in page.items)
    return pages[0]._replace(items=items)
