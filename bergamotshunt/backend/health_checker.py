"""Checks the health of the server on this host, more often while it is used."""

from asyncio import Event, timeout
from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import Final, NamedTuple

from bergamotshunt.backend.own_server import OwnServer
from bergamotshunt.backend.server_client import ServerClient
from bergamotshunt.backend.slot_queue import RefusedError
from bergamotshunt.decisions.health_checks import is_check_due, is_idle
from bergamotshunt.platform.requests import ServerResponseInfo
from bergamotshunt.task_metrics import TaskMetrics

MS_PER_S: Final = 1000
CHECK_TIMEOUT_S: Final = 0.5


class CheckObserver(NamedTuple):
    """Functions that a checker calls.

    Attributes:
        find_health_path: Returns the health path; None while the server or
            its service is not known.
        on_response: Takes the data of the response, and the monotonic time
            in milliseconds at which the check was sent.
    """

    find_health_path: Callable[[], str | None]
    on_response: Callable[[ServerResponseInfo, float], None]


class HealthChecker:
    """Sends health checks to the server when they are due.

    Args:
        server: State of the server.
        client: Client of the server.
        observer: Functions that give the path and take the responses.
        metrics: Metrics of the task that owns the checker.
    """

    def __init__(
        self,
        server: OwnServer,
        client: ServerClient,
        observer: CheckObserver,
        metrics: TaskMetrics,
    ) -> None:
        """Create a checker that has sent no check."""
        self._server = server
        self._client = client
        self._observer = observer
        self._metrics = metrics
        self._wanted = Event()
        self._sent_ms = -inf

    def record_use(self) -> None:
        """Record that a request is sent, or may be sent to the server soon.

        A server that was not in use is checked at once.
        """
        server = self._server
        if is_idle(server.unused_ms()):
            self._wanted.set()
        server.used_ms = server.now_ms()

    def wake_if_needed(self) -> None:
        """Check the server at once if requests have to wait for that."""
        if self._server.cold_starts.needs_check:
            self._wanted.set()

    async def run(self) -> None:
        """Check the server until the task is cancelled."""
        while True:
            interval_ms = self._server.check_interval_ms()
            if await self._wait_until_woken(interval_ms):
                interval_ms = min(interval_ms, self._server.check_interval_ms())
            state = self._server.checked_server(self._sent_ms)
            if is_check_due(state, interval_ms):
                await self._check()
            elif state.has_no_place:
                self._metrics.increment('server_probes_skipped', reason='full')

    async def _wait_until_woken(self, interval_ms: float) -> bool:
        """Wait for an interval; return whether a check is wanted earlier."""
        with suppress(TimeoutError):
            async with timeout(interval_ms / MS_PER_S):
                await self._wanted.wait()
        is_woken = self._wanted.is_set()
        self._wanted.clear()
        return is_woken

    async def _check(self) -> None:
        """Check the server; a check without a response is no evidence."""
        path = self._observer.find_health_path()
        if path is None:
            return
        self._metrics.increment('server_probes')
        sent_ms = self._server.now_ms()
        self._sent_ms = sent_ms
        self._server.check_place.begin()
        info = await self._fetch(path)
        self._server.end_check(is_answered=info is not None)
        if info is not None:
            self._observer.on_response(info, sent_ms)

    async def _fetch(self, path: str) -> ServerResponseInfo | None:
        try:
            async with timeout(CHECK_TIMEOUT_S):
                return await self._client.probe(path)
        except (RefusedError, ConnectionError, TimeoutError):
            return None
