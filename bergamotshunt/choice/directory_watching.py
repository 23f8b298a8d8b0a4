"""Watches the servers and targets of services through any daemon."""

from asyncio import Event, create_task, gather, sleep, timeout
from asyncio import Task as AsyncioTask
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Final

from msgspec.json import encode
from returns.result import Success

from bergamotshunt.choice.caller import Caller
from bergamotshunt.decoding import MalformedInputError
from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.operators.targets import ServiceTargets
from bergamotshunt.peers.directory_documents import (
    DIRECTORY_PATH,
    DirectoryReply,
    DirectoryRequest,
    decode_directory_reply,
)
from bergamotshunt.peers.members import Member, is_live

MS_PER_S: Final = 1000
LONG_POLL_MS: Final = 3000
# Exceeds LONG_POLL_MS, for which a daemon may hold a request.
REQUEST_TIMEOUT_MS: Final = 5000
# By default, daemons refuse new work when their targets have been unconfirmed
# for 6 s; a client stops its direct calls after the same time.
CONFIRMATION_LIFETIME_MS: Final = 6000
# Bounds of the backoff after failed polls. The minimum is also the pause after
# a reply that arrives at once.
MIN_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 2.0


class WatchedService:
    """Servers and targets of one service, as last reported by a daemon.

    Attributes:
        version: Version of the last reply; empty before the first one.
        refusal: Why the service cannot be called; empty when it can.
        targets: Targets of the service.
        updated_at_ms: Monotonic time of the last reply in milliseconds; None
            before the first one.
        updated: Set with the first reply.
    """

    def __init__(self) -> None:
        """Create the state before the first reply."""
        self.version = ''
        self.refusal = 'no daemon has reported the servers of the service yet'
        self.targets: ServiceTargets | None = None
        self.updated_at_ms: float | None = None
        self.updated = Event()


class DirectoryWatcher:
    """Watches each service that is called, with one long poll at a time.

    Args:
        caller: Receives the members.
        http_client: HTTP client with the connections to daemons.
        peers: Peers ports (``IP:port``) of some daemons.
        rng: Random source.
        clock_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        caller: Caller,
        http_client: HttpClient,
        peers: tuple[str, ...],
        rng: Random,
        clock_ms: Callable[[], float],
    ) -> None:
        """Create a watcher without services."""
        self.caller = caller
        self.http_client = http_client
        self.peers = peers
        self.rng = rng
        self.clock_ms = clock_ms
        self.by_service: dict[str, WatchedService] = {}
        self.members_by_id: dict[str, Member] = {}
        self._polls: list[AsyncioTask[None]] = []

    async def get(self, service: str, wait_ms: float) -> WatchedService:
        """Return the state of a service; wait for the first reply.

        Args:
            service: The service; it is watched from the first call on.
            wait_ms: Longest wait for the first reply, in milliseconds.
        """
        watched = self.by_service.get(service)
        if watched is None:
            watched = WatchedService()
            self.by_service[service] = watched
            self._polls.append(create_task(self._watch(service, watched)))
        if watched.updated_at_ms is None:
            with suppress(TimeoutError):
                async with timeout(wait_ms / MS_PER_S):
                    await watched.updated.wait()
        return watched

    def refusal_of(self, watched: WatchedService) -> str:
        """Return why a service cannot be called directly; empty if it can."""
        updated_at_ms = watched.updated_at_ms
        if updated_at_ms is None or watched.refusal:
            return watched.refusal
        if self.clock_ms() - updated_at_ms > CONFIRMATION_LIFETIME_MS:
            return (
                'no daemon has confirmed the servers of the service'
                f' within {CONFIRMATION_LIFETIME_MS} ms'
            )
        return ''

    async def close(self) -> None:
        """Cancel all polls."""
        for poll in self._polls:
            poll.cancel()
        await gather(*self._polls, return_exceptions=True)

    async def _watch(self, service: str, watched: WatchedService) -> None:
        pause_s = MIN_PAUSE_S
        while True:
            requested_at_ms = self.clock_ms()
            reply = await self._poll(service, watched.version)
            if reply is None:
                await sleep(self.rng.uniform(0, pause_s))
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
                continue
            pause_s = MIN_PAUSE_S
            self._apply(service, watched, reply)
            watched.updated_at_ms = self.clock_ms()
            watched.updated.set()
            if reply['refusal']:
                # Another daemon may have confirmed targets. A request without
                # a version is answered at once, so a pause limits the rate of
                # the polls.
                watched.version = ''
                await sleep(self.rng.uniform(MIN_PAUSE_S, 1))
            elif self.clock_ms() - requested_at_ms < MS_PER_S * MIN_PAUSE_S:
                await sleep(MIN_PAUSE_S)

    async def _poll(self, service: str, version: str) -> DirectoryReply | None:
        peer = self.rng.choice(self._list_peers(service))
        request = DirectoryRequest(
            service=service, version=version, wait_ms=LONG_POLL_MS
        )
        outcome = await self.http_client.send(
            HttpRequest(
                'POST',
                f'http://{peer}{DIRECTORY_PATH}',
                {},
                encode(request),
                REQUEST_TIMEOUT_MS,
            ),
        )
        if not isinstance(outcome, Success):
            return None
        try:
            return decode_directory_reply(outcome.unwrap().body)
        except MalformedInputError:
            return None

    def _list_peers(self, service: str) -> list[str]:
        known = [
            f'{member.ip}:{member.peers_port}'
            for member in self.caller.index.members_of(service)
            if is_live(member)
        ]
        return [*self.peers, *known]

    def _apply(
        self, service: str, watched: WatchedService, reply: DirectoryReply
    ) -> None:
        """Apply a reply.

        Its servers and targets are ignored if the targets are older than the
        known ones; its refusal is applied in any case.
        """
        targets = reply['targets']
        before = watched.targets
        watched.refusal = reply['refusal']
        if before and targets and targets.revision < before.revision:
            return
        watched.version = reply['version']
        watched.targets = targets
        members = dict(self.members_by_id)
        for known in self.caller.index.members_of(service):
            members.pop(known.daemon_id)
        members.update(
            {member.daemon_id: member for member in reply['members']}
        )
        changed = members.keys() | self.members_by_id.keys()
        self.members_by_id = members
        self.caller.update_members(members, changed)
