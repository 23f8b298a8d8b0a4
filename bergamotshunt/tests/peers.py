"""Scripted peers on real sockets, and a harness for calls to them."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from random import Random
from time import monotonic

from returns.result import Failure

from bergamotshunt.choice.caller import Caller, CallerEnvironment
from bergamotshunt.choice.calls import CallHead
from bergamotshunt.choice.idempotent_calls import Outcome
from bergamotshunt.http.transport import HttpClient
from bergamotshunt.ingress.booking_calls import BookingOwnerResolver, Ownership
from bergamotshunt.ingress.call_types import CallBody
from bergamotshunt.messages import Ticket
from bergamotshunt.operators.targets import ServiceTargets, Target, TargetSet
from bergamotshunt.peers.members import Member, ServerState
from bergamotshunt.settings import CallsSettings
from bergamotshunt.verdicts import create_refusal

SERVICE = 'jar-ledger'
BALANCE = Target('balance', ('GET', 'HEAD'), '/balances', idempotent=True)
REFUND = Target('refund', ('POST',), '/refunds')
TARGETS = TargetSet(
    1, {SERVICE: ServiceTargets(SERVICE, (BALANCE, REFUND), revision=1)}
)
SETTINGS = CallsSettings(chooser='round-robin', body_buffer_bytes=65_536)
EVENT_TIMEOUT_S = 10

Script = Callable[
    ['Peer', 'ReceivedRequest', asyncio.StreamWriter],
    Coroutine[None, None, None],
]


class ReceivedRequest:
    """A request as received by a peer."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode().split('\r\n')
        self.line = lines[0]
        self.headers = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines[1:])
            if name
        }
        self.body = body
        self.request_id = self.headers.get('bergamotshunt-request-id', '')


class Peer:
    """A daemon with a script for each request; the last one repeats."""

    def __init__(self, name: str, *scripts: Script) -> None:
        self.name = name
        self.scripts = list(scripts)
        self.received: list[ReceivedRequest] = []
        self.got_request = asyncio.Event()
        self.disconnected = asyncio.Event()
        self.connections = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> 'Peer':
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def close(self) -> None:
        self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def member(self, **changes: object) -> Member:
        member = Member(
            self.name,
            7,
            '127.0.0.1',
            self.port,
            1,
            'region-1',
            'zone-1',
            SERVICE,
            ServerState.SERVING,
            process_id=7,
            era=3,
        )
        return member._replace(**changes)  # type: ignore[arg-type]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                received = await read_request(reader)
                self.received.append(received)
                self.got_request.set()
                script = self.scripts[
                    min(len(self.received), len(self.scripts)) - 1
                ]
                script_task = asyncio.create_task(
                    script(self, received, writer)
                )
                if script is hang:
                    await reader.read(1)
                    script_task.cancel()
                    break
                await script_task
                if writer.is_closing():
                    break
        self.disconnected.set()
        writer.close()
        self.tasks.discard(task)


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b'\r\n\r\n'))[:-4]
    received = ReceivedRequest(head, b'')
    if received.headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
            chunk = (await reader.readexactly(size + 2))[:-2]
            received.body += chunk
            if not size:
                return received
    length = int(received.headers.get('content-length', '0'))
    received.body = await reader.readexactly(length)
    return received


async def hang(
    peer: Peer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send no response."""


async def reset(
    peer: Peer, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection after the request was read."""
    writer.transport.abort()


def reply(
    body: bytes = b'ok',
    status: int = 200,
    verdict: str = 'ran',
    length: int | None = None,
    request_id: str = '',
    headers: str = '',
    close: bool | None = None,
) -> Script:
    """Return a script that responds.

    A ``length`` above the size of the body yields a truncated response; a
    negative one omits the Content-Length header. Both close the connection
    unless ``close`` is False.
    """

    async def script(
        peer: Peer, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        size = len(body) if length is None else length
        writer.write(
            (
                f'HTTP/1.1 {status} X\r\n'
                f'bergamotshunt-request-id: {request_id or request.request_id}\r\n'
                f'bergamotshunt-verdict: {verdict}\r\n'
                f'bergamotshunt-server: {peer.name}\r\n'
                f'{headers}'
                + (f'content-length: {size}\r\n' if size >= 0 else '')
                + '\r\n'
            ).encode()
            + body
        )
        await writer.drain()
        if close or (close is None and size != len(body)):
            writer.close()

    return script


def refuse(headers: str = '', reason: str = 'shed') -> Script:
    """Return a script that refuses with the verdict 'not-run'."""
    body = (
        f'{{"type":"urn:bergamotshunt:problem:{reason}","title":"t",'
        '"status":503,"detail":"full","verdict":"not-run","request_id":""}'
    )
    return reply(body.encode(), 503, 'not-run', headers=headers)


class UnavailableOwnerResolver:
    """Resolver without access to booking claims: refuses every key."""

    async def resolve(
        self, service: str, key: str, proposed: Ticket
    ) -> Ownership:
        return Failure(create_refusal('bookings-unavailable', 'none'))

    async def rebind(
        self, service: str, key: str, failed: Ticket, proposed: Ticket
    ) -> Ownership:
        return Failure(create_refusal('bookings-unavailable', 'none'))


def now_ms() -> float:
    return monotonic() * 1000


class CallHarness:
    """Runs a caller with scripted peers."""

    def __init__(
        self,
        *peers: Peer,
        owners: BookingOwnerResolver | None = None,
        settings: CallsSettings = SETTINGS,
    ) -> None:
        self.peers = peers
        self.owners = owners or UnavailableOwnerResolver()
        self.settings = settings

    async def __aenter__(self) -> 'CallHarness':
        for peer in self.peers:
            await peer.open()
        self.http_client = HttpClient(10)
        environment = CallerEnvironment(
            self.settings, 'zone-1', Random(1), now_ms
        )
        self.caller = Caller(environment, self.http_client, self.owners)
        self.caller.update_members(
            {peer.name: peer.member() for peer in self.peers}
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.http_client.close()
        for peer in self.peers:
            await peer.close()

    def head(
        self,
        target: Target = BALANCE,
        deadline_ms: float = 5000,
        depth: int = 0,
        key: str = '',
    ) -> CallHead:
        return CallHead(
            SERVICE,
            target.methods[0],
            f'{target.path_prefix}/1',
            (),
            'r1',
            now_ms() + deadline_ms,
            target,
            depth,
            booking_key=key,
        )

    async def call(self, head: CallHead, body: bytes = b'') -> Outcome:
        return await self.caller.call(head, CallBody(body))
