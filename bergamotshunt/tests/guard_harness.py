"""Runs a guard in front of a backend server that the test controls."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from time import monotonic
from types import MappingProxyType
from typing import Any

from bergamotshunt.decisions.tickets import ProcessName, format_ticket
from bergamotshunt.http.transport import HttpClient, HttpRequest, HttpResponse
from bergamotshunt.kernel import Context, Kernel, Mailbox, MessageBus
from bergamotshunt.messages import MembersChanged, TargetsChanged
from bergamotshunt.operators.targets import ServiceTargets, Target, TargetSet
from bergamotshunt.peers.headers import BOOKING_KEY, REQUEST_ID, TICKET
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.plugins.guard import GuardTask
from bergamotshunt.settings import (
    BackendServerSettings,
    CallsSettings,
    DaemonSettings,
    MeasuringSettings,
    Settings,
)
from bergamotshunt.tests.tickets import create_ticket

SERVICE = 'jar-ledger'
PROCESS_ID = 1700
BUFFER_BYTES = 4096
TARGETS = ServiceTargets(
    SERVICE,
    (
        Target('balance', ('GET',), '/balances', idempotent=True),
        Target('refund', ('POST',), '/refunds'),
    ),
)


class Exchange:
    """One request at the backend server, which the test responds to."""

    def __init__(
        self,
        head: str,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.head = head
        self.body = body
        self.reader = reader
        self.writer = writer
        # Set when the guard has closed the connection.
        self.closed = asyncio.Event()

    def header(self, name: str) -> str:
        for line in self.head.split('\r\n')[1:]:
            key, _, text = line.partition(': ')
            if key.lower() == name:
                return text
        return ''

    async def send(
        self,
        body: bytes,
        status: str = '200 OK',
        headers: str = '',
        length: int | None = None,
    ) -> None:
        size = len(body) if length is None else length
        head = f'HTTP/1.1 {status}\r\ncontent-length: {size}\r\n{headers}\r\n'
        self.writer.write(head.encode() + body)
        await self.writer.drain()

    def reset_connection(self) -> None:
        self.writer.transport.abort()


async def read_exchange_body(exchange: Exchange) -> bytes:
    reader = exchange.reader
    if not exchange.header('transfer-encoding'):
        length = int(exchange.header('content-length') or 0)
        return await reader.readexactly(length)
    body = b''
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


class Backend:
    """Raw HTTP server; the test responds to each request."""

    def __init__(self) -> None:
        self.arrived: asyncio.Queue[Exchange] = asyncio.Queue()
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self) -> int:
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        closed = asyncio.Event()
        try:
            while True:
                raw = await reader.readuntil(b'\r\n\r\n')
                exchange = Exchange(raw.decode(), b'', reader, writer)
                exchange.closed = closed
                exchange.body = await read_exchange_body(exchange)
                self.arrived.put_nowait(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            closed.set()

    async def next(self) -> Exchange:
        return await asyncio.wait_for(self.arrived.get(), 10)

    async def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


class Clock:
    """Monotonic clock that a test can advance."""

    def __init__(self) -> None:
        self.ahead_s = 0.0

    def __call__(self) -> float:
        return monotonic() + self.ahead_s


class GuardHarness:
    """A running guard with its backend server and an HTTP client."""

    def __init__(self, plugins: tuple[str, ...], **changes: Any) -> None:
        self.plugins = plugins
        self.changes = changes
        self.backend = Backend()
        self.clock = Clock()
        self.http_client = HttpClient(50)
        self.bus = MessageBus()

    async def open(self) -> None:
        port = await self.backend.open()
        server = BackendServerSettings(SERVICE, f'http://127.0.0.1:{port}')
        calls = CallsSettings(limiter='fixed', body_buffer_bytes=BUFFER_BYTES)
        settings = Settings(
            daemon=DaemonSettings(id='d1'),
            backend_server=server._replace(**self.changes),
            calls=calls,
            measuring=MeasuringSettings(health_interval_ms=20),
        )
        context = Context(settings, self.bus, Random(1), PROCESS_ID, self.clock)
        self.kernel = Kernel(context, self.plugins)
        task = self.kernel.tasks_by_name['guard']
        assert isinstance(task, GuardTask)
        self.guard = task
        await self.kernel.start()
        self.port = self.kernel.ports_by_kind['peers']
        self.bus.publish(TargetsChanged(TargetSet(1, {SERVICE: TARGETS})))
        await asyncio.sleep(0)

    def subscribe(self, message_type: type) -> Mailbox:
        mailbox: Mailbox = asyncio.Queue()
        self.bus.subscribe(message_type, mailbox)
        return mailbox

    async def publish_members(self, *names: str) -> None:
        """Publish serving members of the guard's service."""
        members = {
            name: Member(
                name, 1, '127.0.0.1', 1, 1, 'r', 'z', SERVICE,
                ServerState.SERVING, process_id=PROCESS_ID + number,
            )
            for number, name in enumerate(('d1', *names))
        }  # fmt: skip
        self.bus.publish(MembersChanged(members))
        await asyncio.sleep(0)

    async def request(
        self,
        path: str = '/balances/7',
        method: str = 'GET',
        body: bytes = b'',
        timeout_ms: float = 20_000,
        headers: Mapping[str, str] = MappingProxyType({}),
    ) -> HttpResponse:
        """Send a request to the guard and return its response."""
        outcome = await self.http_client.send(
            HttpRequest(
                method,
                f'http://127.0.0.1:{self.port}{path}',
                {REQUEST_ID: 'r1', **headers},
                body,
                timeout_ms,
            )
        )
        return outcome.unwrap()

    async def request_booking(
        self,
        key: str,
        timeout_ms: float = 20_000,
        headers: Mapping[str, str] = MappingProxyType({}),
    ) -> HttpResponse:
        """Send a booking whose ticket is derived from its key."""
        booking_headers = {BOOKING_KEY: key, TICKET: ticket_for(key), **headers}
        return await self.request(
            '/refunds', 'POST', b'{}', timeout_ms, booking_headers
        )

    async def close(self) -> None:
        await self.http_client.close()
        await self.kernel.stop()
        await self.backend.close()


def ticket_for(key: str, daemon_id: str = 'd1') -> str:
    owner = ProcessName(daemon_id, PROCESS_ID)
    return format_ticket(create_ticket(owner, 0, Random(key)))


def with_guard(
    scenario: Callable[[GuardHarness], Awaitable[None]],
    plugins: tuple[str, ...] = ('guard',),
    **changes: Any,
) -> None:
    """Run a scenario with a guard; ``changes`` are settings of its server."""

    async def main() -> None:
        harness = GuardHarness(plugins, **changes)
        await harness.open()
        try:
            async with asyncio.timeout(30):
                await scenario(harness)
        finally:
            await harness.close()

    asyncio.run(main())
