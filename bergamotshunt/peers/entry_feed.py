"""Feed of store entries between daemons: requests, updates and client."""

from asyncio import timeout
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, NamedTuple
from urllib.parse import parse_qsl, urlencode

from msgspec.json import encode

from bergamotshunt.decisions.evacuations import Evacuations
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_json,
)
from bergamotshunt.http.client_pool import ClientPool, WholeResponse
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.stored_items import Item, StorePosition
from bergamotshunt.value_checks import (
    check_integer,
    check_number,
    check_text,
)

FEED_PATH: Final = b'/bergamotshunt/entries'
MAX_UPDATE_BYTES: Final = 16_777_216
MAX_REVISION: Final = 2**64 - 1
MAX_WAIT_MS: Final = 30_000
# Stands for the age of a confirmation that is older, or missing.
MAX_AGE_MS: Final = 10_000_000
MS_PER_S: Final = 1000
# A peer answers this long after the wait at the latest.
RESPONSE_TIMEOUT_S: Final = 0.4


class FeedError(Exception):
    """A peer did not answer a request for its feed."""


class FeedRefusedError(FeedError):
    """The peer is too far from the store at present."""


class FeedRequest(NamedTuple):
    """Request of a daemon for the changes that it does not know.

    Attributes:
        revision: Store revision up to which it knows all changes; 0 if it
            knows none.
        version: Version of the configuration that it has heard of.
        wait_ms: Longest wait for a change, in milliseconds.
        max_depth: Largest number of daemons between the store and the one
            that is asked; it refuses if there are more.
        confirmation_age_ms: Age of the confirmation of its configuration;
            None if it needs none.
        evacuations_era: Era of the store at which it knows the evacuated
            zones; None if it knows of none.
        evacuations_revision: Revision at which it knows them.
        era: Era of the store that gave out ``revision``; None for the first.
    """

    revision: int
    version: int
    wait_ms: int
    max_depth: int
    confirmation_age_ms: int | None = None
    evacuations_era: int | None = None
    evacuations_revision: int | None = None
    era: int | None = None

    @property
    def evacuations(self) -> StorePosition:
        """Position of the store at which the evacuations were read."""
        return StorePosition(
            self.evacuations_era or 0, self.evacuations_revision or 0
        )


class FeedConfirmation(NamedTuple):
    """Confirmation of the configuration that a daemon passes on.

    Attributes:
        age_ms: Its age when the daemon answers, in milliseconds.
        held_ms: Time for which it held the request, in milliseconds.
        position: Era and revision of the configuration in the store;
            revision 0 when unknown.
    """

    age_ms: float
    held_ms: float
    position: StorePosition = StorePosition()


class FeedUpdate(NamedTuple):
    """What a daemon tells one that follows it.

    Attributes:
        revision: Store revision up to which the items are known.
        version: Version of the configuration in force at the daemon.
        depth: Number of daemons between the store and this one.
        is_listing: Whether the items are all that exist; otherwise those
            that changed after the revision of the request.
        items: Entries, as the store has them.
        confirmation: Confirmation of the version; None without one.
        evacuations: Evacuated zones; None if the daemon knows of none.
        era: Era of the store that gave out ``revision``.
    """

    revision: int
    version: int
    depth: int
    is_listing: bool
    items: tuple[Item, ...]
    confirmation: FeedConfirmation | None = None
    evacuations: Evacuations | None = None
    era: int = 0


# Daemons of earlier versions read these fields only.
FIRST_FIELDS: Final = len(FeedUpdate._fields) - len(FeedUpdate._field_defaults)


def encode_feed_target(request: FeedRequest) -> bytes:
    """Encode a request as the target of an HTTP request."""
    fields = {
        name: number
        for name, number in request._asdict().items()
        if number is not None
    }
    query = urlencode(fields).encode()
    return b'%b?%b' % (FEED_PATH, query)


def decode_feed_target(target: bytes) -> FeedRequest:
    """Decode the target of an HTTP request.

    Raises:
        MalformedInputError: It is no request for the feed.
    """
    with convert_malformed('malformed request for entries'):
        fields = dict(parse_qsl(target.partition(b'?')[2].decode()))
        return FeedRequest(
            check_integer('revision', int(fields['revision']), 0, MAX_REVISION),
            check_integer('version', int(fields['version'])),
            check_integer('wait', int(fields['wait_ms']), 0, MAX_WAIT_MS),
            check_integer('depth', int(fields['max_depth'])),
            _decode_optional(fields, 'confirmation_age_ms', MAX_AGE_MS),
            _decode_optional(fields, 'evacuations_era', MAX_REVISION),
            _decode_optional(fields, 'evacuations_revision', MAX_REVISION),
            _decode_optional(fields, 'era', MAX_REVISION),
        )


def encode_feed_update(update: FeedUpdate) -> bytes:
    """Encode an update as JSON.

    Fields that earlier versions do not know are sent if they are in use.
    """
    has_defaults = update[FIRST_FIELDS:] == tuple(
        FeedUpdate._field_defaults.values()
    )
    return encode(update[:FIRST_FIELDS] if has_defaults else update)


def decode_feed_update(content: bytes) -> FeedUpdate:
    """Decode an update.

    Raises:
        MalformedInputError: It is malformed or has values out of range.
    """
    update: FeedUpdate = decode_json(content, 'entries', FeedUpdate)
    with convert_malformed('malformed entries'):
        check_integer('revision', update.revision, 0, MAX_REVISION)
        check_integer('era', update.era, 0, MAX_REVISION)
        check_integer('version', update.version)
        check_integer('depth', update.depth)
        for item in update.items:
            check_integer('item revision', item.revision, 0, MAX_REVISION)
        if update.confirmation is not None:
            _check_confirmation(update.confirmation)
        if update.evacuations is not None:
            _check_evacuations(update.evacuations)
    return update


class FeedClient:
    """Asks peers for their feed, one at a time, on a kept connection."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._pool: ClientPool | None = None

    async def ask(self, peer: FeedPeer, request: FeedRequest) -> FeedUpdate:
        """Ask a peer for the changes that this daemon does not know.

        Raises:
            FeedRefusedError: The peer is too far from the store.
            FeedError: There was no usable answer in time.
        """
        timeout_s = request.wait_ms / MS_PER_S + RESPONSE_TIMEOUT_S
        try:
            async with timeout(timeout_s):
                response = await self._fetch(peer, request)
            return _read_update(response)
        except (ConnectionError, TimeoutError, MalformedInputError) as error:
            raise FeedError(f'no entries from {peer.ip}: {error!r}') from error

    def close(self) -> None:
        """Close the connection."""
        if self._pool is not None:
            self._pool.close()

    async def _fetch(
        self, peer: FeedPeer, request: FeedRequest
    ) -> WholeResponse:
        head = encode_request_head(
            b'GET',
            encode_feed_target(request),
            [(b'Host', peer.ip.encode())],
            0,
        )
        return await self._pool_of(peer).fetch(head, MAX_UPDATE_BYTES)

    def _pool_of(self, peer: FeedPeer) -> ClientPool:
        pool = self._pool
        if pool is None or (pool.ip, pool.port) != (peer.ip, peer.port):
            self.close()
            pool = ClientPool(peer.ip, peer.port)
            self._pool = pool
        return pool


def _decode_optional(
    fields: Mapping[str, str], name: str, maximum: int
) -> int | None:
    text = fields.get(name)
    if text is None:
        return None
    return check_integer(name, int(text), 0, maximum)


def _check_confirmation(confirmation: FeedConfirmation) -> None:
    check_number('confirmation age', confirmation.age_ms)
    check_number('hold time', confirmation.held_ms)
    _check_position(confirmation.position)


def _check_position(position: StorePosition) -> None:
    check_integer('era', position.era, 0, MAX_REVISION)
    check_integer('revision', position.revision, 0, MAX_REVISION)


def _check_evacuations(evacuations: Evacuations) -> None:
    _check_position(evacuations.position)
    for zone in evacuations.zones:
        check_text('zone', zone)
    for retained in evacuations.retained:
        check_text('zone', retained.zone)
        check_number('time left', retained.left_s)


def _read_update(response: WholeResponse) -> FeedUpdate:
    status = response.head.status
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        raise FeedRefusedError('the peer is too far from the store')
    if status != HTTPStatus.OK:
        raise FeedError(f'expected status 200 of the peer, got {status}')
    return decode_feed_update(response.content)
