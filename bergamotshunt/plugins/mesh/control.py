"""Control: receives announcements of the backend server on this host."""

from asyncio import Event, timeout
from http import HTTPStatus
from math import inf
from typing import Final

from bergamotshunt.decisions.announcements import LatestAnnouncement
from bergamotshunt.decisions.past_knowledge import PastKnowledge
from bergamotshunt.decisions.unconfirmed_servers import UnconfirmedServer
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header
from bergamotshunt.kernel import MESH_PLUGINS, Context, HandlerTable
from bergamotshunt.log import log_event
from bergamotshunt.mesh_messages import (
    AnnouncementHeld,
    OwnServerChanged,
    ServerFoundRunning,
    StoredServerRead,
)
from bergamotshunt.mesh_task import ListeningTask, settings_of
from bergamotshunt.platform.announcements import (
    ACKNOWLEDGEMENT_BODY,
    ANNOUNCEMENT_PATH_PREFIX,
    AnnouncementError,
    decode_announcement,
)
from bergamotshunt.routing import ServerEntry

MAX_BODY_BYTES: Final = 4096
# A server counts an announcement as lost after a second without a response.
STORED_SERVER_TIMEOUT_S: Final = 0.4
JSON_CONTENT_TYPE: Final[Header] = (b'Content-Type', b'application/json')


class ControlTask(ListeningTask):
    """Listens for announcements and acknowledges them."""

    name = 'control'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task; ``open`` binds the socket."""
        super().__init__(context, settings_of(context).control)
        self._announcements = LatestAnnouncement()
        self._unconfirmed = UnconfirmedServer()
        self._past = PastKnowledge.UNKNOWN
        if self.mesh.is_first_start:
            self._past = PastKnowledge.CERTAIN
        self._stored_server_read = Event()
        # Start of the latest server that this process has heard to run. What
        # has started since, no earlier process can have known.
        self._running_born_ms = inf

    @handlers.on(OwnServerChanged)
    def handle_own_server(self, message: OwnServerChanged) -> None:
        """Store the server's entry, to compare later announcements with."""
        entry = message.entry
        self._announcements.record(entry, self.context.clock())
        if not entry.is_leaving:
            self._running_born_ms = entry.born_ms

    @handlers.on(StoredServerRead)
    def handle_stored_server(self, message: StoredServerRead) -> None:
        """Apply that the server leaves, as an earlier process has heard."""
        stored = message.entry
        now_s = self.context.clock()
        if stored is not None and self._restore(stored, now_s):
            leaving = self._announcements.latest or stored
            self._log_server('control:leaving-restored', leaving)
            self.bus.publish(OwnServerChanged(leaving))
        self._stored_server_read.set()
        self._past = max(self._past, message.past)
        if self._past is not PastKnowledge.CERTAIN:
            self._publish_held()
            return
        held = self._unconfirmed.take_held(now_s)
        if held is not None and self._announcements.record(held, now_s):
            self._log_server('control:server-changed', held)
            self.bus.publish(OwnServerChanged(held))

    @handlers.on(ServerFoundRunning)
    def handle_running_server(self, message: ServerFoundRunning) -> None:
        """Use a server before it announces itself again.

        It may have been deregistered while its health was checked.
        """
        entry, now_s = message.entry, self.context.clock()
        if self._unconfirmed.is_deregistered(entry.instance):
            return
        if self._unconfirmed.is_outdated(entry, now_s):
            return
        if self._announcements.record(entry, now_s):
            self.bus.publish(OwnServerChanged(entry))

    async def serve(self, exchange: Exchange) -> None:
        """Serve an announcement or a deregistration."""
        path = exchange.head.target.decode('latin-1').partition('?')[0]
        instance = path.removeprefix(ANNOUNCEMENT_PATH_PREFIX)
        if not path.startswith(ANNOUNCEMENT_PATH_PREFIX) or not instance:
            exchange.respond(HTTPStatus.NOT_FOUND, [])
            return
        try:
            body = await exchange.body.read_up_to(MAX_BODY_BYTES)
        except IncompleteBodyError:
            return
        await self._wait_for_stored_server()
        match exchange.head.method:
            case b'PUT':
                status = await self._handle_announcement(instance, body)
            case b'DELETE':
                status = await self._handle_deregistration(instance)
            case _:
                status = HTTPStatus.METHOD_NOT_ALLOWED
        exchange.respond(status, [JSON_CONTENT_TYPE], ACKNOWLEDGEMENT_BODY)

    async def _wait_for_stored_server(self) -> None:
        """Wait for what an earlier process has heard, but not for long.

        An announcement may be older than that. While the store does not
        answer, the server still needs an acknowledgement.
        """
        try:
            async with timeout(STORED_SERVER_TIMEOUT_S):
                await self._stored_server_read.wait()
        except TimeoutError:
            log_event('control:stored-server-unknown')
            self._stored_server_read.set()

    async def _handle_announcement(
        self,
        instance: str,
        body: bytes,
    ) -> HTTPStatus:
        try:
            entry = decode_announcement(instance, body, self.mesh)
        except AnnouncementError as error:
            log_event(
                'control:announcement-unreadable',
                instance=instance,
                detail=str(error),
            )
            return HTTPStatus.BAD_REQUEST
        if not self._may_accept(entry):
            self._log_server('control:announcement-held', entry)
            self.metrics.increment('announcements_held')
            self._publish_held()
            return HTTPStatus.OK
        before = self._announcements.latest
        is_newer = self._announcements.record(entry, self.context.clock())
        latest = self._announcements.latest
        if is_newer and latest is not None:
            await self._accept(latest, before)
        return HTTPStatus.OK

    async def _handle_deregistration(self, instance: str) -> HTTPStatus:
        before = self._announcements.latest
        self._take_up_held(instance)
        is_known = self._announcements.record_deregistration(instance)
        entry = self._announcements.latest
        if is_known and entry is not None:
            await self._accept(entry, before)
        else:
            self._unconfirmed.record_deregistration(instance)
            log_event('control:unknown-instance-left', instance=instance)
        return HTTPStatus.OK

    def _take_up_held(self, instance: str) -> None:
        """Take a held announcement for known, as its instance leaves."""
        now_s = self.context.clock()
        held = self._unconfirmed.find_held(now_s)
        if held is not None and held.instance == instance:
            self._announcements.record(held, now_s)

    def _restore(self, stored: ServerEntry, now_s: float) -> bool:
        """Apply an earlier entry; return whether its server leaves."""
        is_leaving = self._announcements.restore(stored, now_s)
        if self._unconfirmed.is_deregistered(stored.instance):
            return self._announcements.record_deregistration(stored.instance)
        return is_leaving

    def _may_accept(self, entry: ServerEntry) -> bool:
        """Return whether an announcement may be compared with the latest.

        That of a server that may have left, as far as this process knows,
        waits for a second one.
        """
        latest = self._announcements.latest
        is_known = latest is not None and (
            (latest.instance, latest.born_ms) == (entry.instance, entry.born_ms)
        )
        if entry.is_leaving or is_known:
            return True
        is_deregistered = self._unconfirmed.is_deregistered(entry.instance)
        is_new = entry.born_ms > self._running_born_ms
        is_certain = is_new or self._past is PastKnowledge.CERTAIN
        if is_certain and not is_deregistered:
            return True
        return self._unconfirmed.confirm(entry, self.context.clock())

    def _publish_held(self) -> None:
        """Let the server be asked whether it runs, if that is enough."""
        held = self._unconfirmed.find_held(self.context.clock())
        if held is not None and self._past is PastKnowledge.UNOPPOSED:
            self.bus.publish(AnnouncementHeld(held))

    async def _accept(
        self,
        entry: ServerEntry,
        before: ServerEntry | None,
    ) -> None:
        """Apply an announcement in all tasks before it is acknowledged.

        All requests reach the server through the daemon on this host, so
        once this daemon refuses new requests, none of another daemon
        reaches the server.
        """
        if before is None or (before.instance, before.state) != (
            entry.instance,
            entry.state,
        ):
            self._log_server('control:server-changed', entry)
        if not entry.is_leaving:
            self._running_born_ms = entry.born_ms
        await self.bus.ask_all(OwnServerChanged(entry))

    def _log_server(self, name: str, entry: ServerEntry) -> None:
        log_event(
            name,
            instance=entry.instance,
            state=entry.state.value,
            service=entry.service,
            born_ms=entry.born_ms,
            sequence=entry.sequence,
        )


@MESH_PLUGINS.register('control')
def create_control(context: Context) -> ControlTask:
    """Create the control task."""
    return ControlTask(context)
