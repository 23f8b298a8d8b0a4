"""The operator's configuration: the newest version that can be learned."""

from asyncio import sleep, timeout
from http import HTTPStatus
from typing import Any, Final

from bergamotshunt.http.heads import write_request
from bergamotshunt.http.pools import ClientPool
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (
    DescribeBeliefs,
    RoutingChanged,
    VersionHeard,
)
from bergamotshunt.mesh_task import MeshTask
from bergamotshunt.peers.peer_calls import CONFIGURATION_PATH
from bergamotshunt.platform.configuration import (
    CONFIGURATION_KEY,
    ConfigurationError,
    decode_configuration,
)
from bergamotshunt.platform.store import (
    HistoryGoneError,
    Item,
    StoreClient,
    StoreError,
)

WATCH_MS: Final = 20_000
RETRY_S: Final = 0.4
WATCH_PAUSE_S: Final = 0.2
# The own watch is about to tell what a peer knows already.
PEER_HEAD_START_S: Final = 0.15
PEER_TIMEOUT_S: Final = 1.0
MAX_BYTES: Final = 4_194_304


class RoutesTask(MeshTask):
    """Keeps the newest configuration and never goes back."""

    name = 'routes'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task of a daemon without a configuration."""
        super().__init__(context)
        self._store = StoreClient(self.mesh.store)
        self._version = 0
        self._changed_s = self.context.clock()
        self._wanted = 0
        self._fetching = False

    async def start(self) -> None:
        """Start to watch."""
        self.spawn(self._keep_watching())

    async def close(self) -> None:
        """Close the connections to the store."""
        self._store.close()
        await super().close()

    @handlers.on(VersionHeard)
    async def note_version(self, message: VersionHeard) -> None:
        """Fetch what a peer has and the own watch did not tell."""
        self._wanted = max(self._wanted, message.version)
        if self._fetching:
            return
        self._fetching = True
        try:
            await sleep(PEER_HEAD_START_S)
            if self._version < self._wanted:
                await self._fetch(message.ip)
        finally:
            self._fetching = False

    def note_gauges(self) -> None:
        """Bring version and age of the configuration up to date."""
        age_s = self.context.clock() - self._changed_s
        self.counts.set_gauge('configuration_version', self._version)
        self.counts.set_gauge('configuration_age_seconds', age_s)
        self.counts.set_gauge('configuration_store_calls', self._store.calls)

    def describe_beliefs(self, _message: DescribeBeliefs) -> dict[str, Any]:
        """Return which configuration is in force, and since when."""
        age_s = self.context.clock() - self._changed_s
        return {
            'configuration': {
                'version': self._version,
                'age_s': round(age_s, 1),
                'wanted': self._wanted,
            },
        }

    async def _keep_watching(self) -> None:
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    listing = await self._store.list_items(CONFIGURATION_KEY)
                else:
                    listing = await self._store.watch(
                        CONFIGURATION_KEY, revision, WATCH_MS
                    )
            except HistoryGoneError:
                revision = None
                continue
            except StoreError as error:
                log_event('routes:store-failed', 'debug', detail=repr(error))
                await sleep(RETRY_S * self.context.rng.uniform(0.7, 1.3))
                continue
            revision = listing.revision
            self._note_items(listing.items)
            # Changes that come together are learned with one call.
            await sleep(WATCH_PAUSE_S)

    def _note_items(self, items: tuple[Item, ...]) -> None:
        for found in items:
            if found.key == CONFIGURATION_KEY and found.content is not None:
                self._apply(found.content, 'store')

    def _apply(self, document: bytes, source: str) -> None:
        try:
            routing = decode_configuration(document)
        except ConfigurationError as error:
            log_event('routes:unreadable', source=source, detail=str(error))
            return
        if routing.version <= self._version:
            return
        log_event(
            'routes:in-force',
            version=routing.version,
            before=self._version,
            source=source,
        )
        self._version = routing.version
        self._changed_s = self.context.clock()
        self.counts.increment('configurations_applied')
        self.post.publish(RoutingChanged(routing))

    async def _fetch(self, ip: str) -> None:
        pool = ClientPool(ip, self.mesh.inbound.port)
        request = write_request(
            b'GET',
            CONFIGURATION_PATH,
            [(b'Host', ip.encode())],
            0,
        )
        try:
            async with timeout(PEER_TIMEOUT_S):
                response = await pool.ask(request, MAX_BYTES)
        except (ConnectionError, TimeoutError) as error:
            log_event('routes:peer-failed', ip=ip, detail=repr(error))
            return
        finally:
            pool.close()
        if response.head.status == HTTPStatus.OK:
            self._apply(response.content, ip)


@MESH_PLUGINS.register('routes')
def create_routes(context: Context) -> RoutesTask:
    """Create the task."""
    return RoutesTask(context)
