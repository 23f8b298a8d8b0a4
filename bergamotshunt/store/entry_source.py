"""Follows the entries of all servers, at the store or at a peer."""

from asyncio import timeout
from collections.abc import Callable, Iterable
from contextlib import suppress
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.decisions.configuration_confirmation import (
    Confirmation,
    confirmed_by_peer_s,
)
from bergamotshunt.decisions.watch_sources import (
    FAILURE_HOLD_S,
    READER_DEPTH,
    REFUSAL_HOLD_S,
    FeedPeer,
    Source,
    choose_source,
    list_sources,
)
from bergamotshunt.log import log_event
from bergamotshunt.peers.entry_feed import (
    MS_PER_S,
    FeedClient,
    FeedError,
    FeedRefusedError,
    FeedUpdate,
)
from bergamotshunt.store.entry_feed import EntryFeed
from bergamotshunt.store.store_watch import StoreWatch

# Shortest time for a call to a store that did not answer before.
MIN_STORE_TIME_S: Final = 0.5


class SourceObserver(NamedTuple):
    """Functions that an entry source calls.

    Attributes:
        on_update: Takes the update of a peer that is followed.
        on_confirmation: Takes the confirmation of the peer's configuration.
        on_reading: Called when this daemon starts or ceases to watch the
            store.
    """

    on_update: Callable[[FeedUpdate, FeedPeer], None]
    on_confirmation: Callable[[Confirmation, FeedPeer], None]
    on_reading: Callable[[bool], None]


class EntrySource:
    """Follows a peer, or reads the store itself.

    Args:
        own: This daemon, as peers see it.
        watch: Watch of the entries in the store.
        feed: What this daemon knows; its revision is where to continue.
        observer: Functions that take what is learned.
        clock: Returns the monotonic time in seconds.
        boot_clock: Returns the boot time in seconds.

    Attributes:
        reading: Whether this daemon watches the store.
        version: Newest version of the configuration that a peer told of.
    """

    def __init__(
        self,
        own: FeedPeer,
        watch: StoreWatch,
        feed: EntryFeed,
        observer: SourceObserver,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
    ) -> None:
        """Create a source that has asked nothing."""
        self.reading = False
        self.version = 0
        self._own = own
        self._watch = watch
        self._feed = feed
        self._observer = observer
        self._clock = clock
        self._boot_clock = boot_clock
        self._client = FeedClient()
        self._source_ip = ''
        self._sources: list[Source] = []
        self._held_until_s_by_ip: dict[str, float] = {}

    def update_peers(self, peers: Iterable[FeedPeer]) -> None:
        """Set the daemons that may be followed."""
        self._sources = list_sources(peers, self._own)

    async def run(self) -> None:
        """Follow the entries until the task is cancelled."""
        if not self._feed.cache.revision:
            await self._learn_from_peers()
        while True:
            source = choose_source(
                self._sources,
                self._own.ip,
                self._held_until_s_by_ip,
                self._clock(),
            )
            if source is None:
                self._record_source(None)
                await self._read_store()
            else:
                await self._follow(source)

    def hold_store(self) -> None:
        """Prefer peers for a while: the store does not answer this daemon."""
        self._held_until_s_by_ip[self._own.ip] = self._clock() + FAILURE_HOLD_S

    def close(self) -> None:
        """Close the connection to the peer."""
        self._client.close()

    async def _learn_from_peers(self) -> None:
        """Ask peers before the store.

        A store that was just restored has less than they know, and a new
        process has nothing to compare it with.
        """
        for source in self._sources:
            is_other = source.peer.ip != self._own.ip
            nearest = source._replace(max_depth=READER_DEPTH)
            if is_other and await self._follow(nearest):
                return

    async def _read_store(self) -> None:
        """Make the next call to the store.

        If the store does not answer this daemon, and the configuration has to
        be confirmed, the call ends once a peer may be asked again.
        """
        with suppress(TimeoutError):
            async with timeout(self._time_until_peer_s()):
                await self._watch.step()

    def _time_until_peer_s(self) -> float | None:
        now_s = self._clock()
        held_until_s = self._held_until_s_by_ip
        is_held = held_until_s.get(self._own.ip, -inf) > now_s
        peer_ips = {source.peer.ip for source in self._sources}
        peer_ips.discard(self._own.ip)
        if not is_held or not peer_ips or not self._feed.needs_confirmation:
            return None
        due_s = min(held_until_s.get(ip, -inf) for ip in peer_ips)
        return max(due_s - now_s, MIN_STORE_TIME_S)

    async def _follow(self, source: Source) -> bool:
        """Ask a peer once; return whether it answered."""
        peer = source.peer
        request = self._feed.create_request(self.version, source.max_depth)
        asked_s = self._boot_clock()
        try:
            update = await self._client.ask(peer, request)
        except FeedRefusedError as refusal:
            self._hold(peer, REFUSAL_HOLD_S, refusal)
        except FeedError as error:
            self._hold(peer, FAILURE_HOLD_S, error)
        else:
            # A daemon that reads goes on until a peer has answered, so that
            # its own followers are not refused for a moment.
            self._record_source(source)
            self.version = max(self.version, update.version)
            self._observer.on_update(update, peer)
            self._handle_confirmation(update, peer, asked_s)
            return True
        return False

    def _handle_confirmation(
        self, update: FeedUpdate, peer: FeedPeer, asked_s: float
    ) -> None:
        found = update.confirmation
        if found is None:
            return
        # A peer cannot have held the request for longer than it took.
        took_s = self._boot_clock() - asked_s
        held_s = min(found.held_ms / MS_PER_S, took_s)
        confirmed_s = confirmed_by_peer_s(
            asked_s, held_s, found.age_ms / MS_PER_S
        )
        self._observer.on_confirmation(
            Confirmation(update.version, confirmed_s, found.position), peer
        )

    def _hold(self, peer: FeedPeer, hold_s: float, error: FeedError) -> None:
        log_event('fleet:source-failed', ip=peer.ip, detail=str(error))
        self._held_until_s_by_ip[peer.ip] = self._clock() + hold_s

    def _record_source(self, source: Source | None) -> None:
        source_ip = self._own.ip if source is None else source.peer.ip
        if source_ip == self._source_ip:
            return
        self._source_ip = source_ip
        log_event(
            'fleet:source-changed',
            source='store' if source is None else source_ip,
            revision=self._feed.cache.revision,
            era=self._feed.cache.era,
        )
        reading = source is None
        if reading and self._feed.cache.revision:
            self._watch.resume_after(self._feed.cache.position)
        if reading is not self.reading:
            self.reading = reading
            self._observer.on_reading(reading)
