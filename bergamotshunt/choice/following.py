"""Follows the servers and targets of services at any daemon."""

from asyncio import Event, create_task, gather, sleep, timeout
from asyncio import Task as AsyncioTask
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Final

from msgspec import DecodeError
from msgspec.json import decode, encode
from returns.result import Success

from bergamotshunt.choice.caller import Caller
from bergamotshunt.http.transport import HttpRequest, HttpClient
from bergamotshunt.operators.targets import ServiceTargets
from bergamotshunt.peers.directory_documents import (
    DIRECTORY_PATH,
    DirectoryReply,
    DirectoryRequest,
)
from bergamotshunt.peers.members import Member, is_live

MS_PER_S: Final = 1000
WAIT_MS: Final = 3000
TIMEOUT_MS: Final = 5000
# Daemons refuse new work once their targets are unconfirmed for 6 s.
STALE_MS: Final = 6000
FIRST_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 2.0


class FollowedService:
    """What a client knows of one service."""

    def __init__(self) -> None:
        """Create the state before the first response."""
        self.version = ''
        self.refusal = 'no daemon told the servers of the service yet'
        self.targets: ServiceTargets | None = None
        self.heard_at_ms: float | None = None
        self.heard = Event()


class Follower:
    """Follows each service that is called, one long poll at a time.

    Args:
        caller: Gets the members.
        sender: Connections to daemons.
        peers: Peers ports (``IP:port``) of some daemons.
        rng: Random source.
        clock_ms: Monotonic time in milliseconds.
    """

    def __init__(
        self,
        caller: Caller,
        sender: HttpClient,
        peers: tuple[str, ...],
        rng: Random,
        clock_ms: Callable[[], float],
    ) -> None:
        """Follow nothing yet."""
        self.caller = caller
        self.sender = sender
        self.peers = peers
        self.rng = rng
        self.clock_ms = clock_ms
        self.by_service: dict[str, FollowedService] = {}
        self.members_by_id: dict[str, Member] = {}
        self._polls: list[AsyncioTask[None]] = []

    async def get(self, service: str, wait_ms: float) -> FollowedService:
        """Return what is known of a service; wait for the first response."""
        followed = self.by_service.get(service)
        if followed is None:
            followed = FollowedService()
            self.by_service[service] = followed
            self._polls.append(create_task(self._follow(service, followed)))
        if followed.heard_at_ms is None:
            with suppress(TimeoutError):
                async with timeout(wait_ms / MS_PER_S):
                    await followed.heard.wait()
        return followed

    def refusal_of(self, followed: FollowedService) -> str:
        """Tell why a service cannot be called directly; empty if it can."""
        heard_at_ms = followed.heard_at_ms
        if heard_at_ms is None or followed.refusal:
            return followed.refusal
        if self.clock_ms() - heard_at_ms > STALE_MS:
            return 'no daemon confirmed the servers of the service lately'
        return ''

    async def close(self) -> None:
        """End all polls."""
        for poll in self._polls:
            poll.cancel()
        await gather(*self._polls, return_exceptions=True)

    async def _follow(self, service: str, followed: FollowedService) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            asked_at_ms = self.clock_ms()
            reply = await self._ask(service, followed.version)
            if reply is None:
                await sleep(self.rng.uniform(0, pause_s))
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
                continue
            pause_s = FIRST_PAUSE_S
            self._take(service, followed, reply)
            followed.heard_at_ms = self.clock_ms()
            followed.heard.set()
            if reply['refusal']:
                # Another daemon may serve; the poll must not spin.
                followed.version = ''
                await sleep(self.rng.uniform(FIRST_PAUSE_S, 1))
            elif self.clock_ms() - asked_at_ms < MS_PER_S * FIRST_PAUSE_S:
                await sleep(FIRST_PAUSE_S)

    async def _ask(self, service: str, version: str) -> DirectoryReply | None:
        peer = self.rng.choice(self._list_peers(service))
        request = DirectoryRequest(
            service=service, version=version, wait_ms=WAIT_MS
        )
        outcome = await self.sender.send(
            HttpRequest(
                'POST',
                f'http://{peer}{DIRECTORY_PATH}',
                {},
                encode(request),
                TIMEOUT_MS,
            ),
        )
        if not isinstance(outcome, Success):
            return None
        try:
            return decode(outcome.unwrap().body, type=DirectoryReply)
        except DecodeError:
            return None

    def _list_peers(self, service: str) -> list[str]:
        known = [
            f'{member.ip}:{member.peers_port}'
            for member in self.caller.index.members_of(service)
            if is_live(member)
        ]
        return [*self.peers, *known]

    def _take(
        self, service: str, followed: FollowedService, reply: DirectoryReply
    ) -> None:
        """Take over a response unless it is older than what is known."""
        targets = reply['targets']
        before = followed.targets
        followed.refusal = reply['refusal']
        if before and targets and targets.revision < before.revision:
            return
        followed.version = reply['version']
        followed.targets = targets
        members = dict(self.members_by_id)
        for known in self.caller.index.members_of(service):
            members.pop(known.daemon_id)
        members.update({one.daemon_id: one for one in reply['members']})
        changed = members.keys() | self.members_by_id.keys()
        self.members_by_id = members
        self.caller.update_members(members, changed)
