"""Clients of a mesh soak: each keeps a connection to its host's daemon."""

from asyncio import get_running_loop, sleep, timeout
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_RCVBUF,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_MAXSEG,
    socket,
)
from time import monotonic
from typing import Any, Final

from bench.mesh_checks import REQUEST_LIMIT_S
from bench.mesh_fleet import SoakFleet
from bench.mesh_host import MeshHost
from bench.mesh_records import ClientRequest, Outcome, RequestRecord
from bench.mesh_responses import ResponseReader, find_mismatch
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.platform.names import REQUEST_ID, TIMEOUT_MS
from bergamotshunt.registries import Registry
from bergamotshunt.tests.mesh import HOST

# A client leaves this long after its limit.
OVERDUE_S: Final = 1.5
RECONNECT_S: Final = 0.05
CONNECT_TIMEOUT_S: Final = 1.0
MAX_THINK_S: Final = 0.2
MAX_REFUSED_THINK_S: Final = 0.6
# A slow client has small buffers, as a link with a small window has.
NARROW_BUFFER_BYTES: Final = 4096
NARROW_SEGMENT_BYTES: Final = 536
MS_PER_S: Final = 1000


class RequestMaker:
    """Creates the requests of one client.

    Args:
        fleet: The fleet.
        name: Name of the client, the start of its request ids.
        rng: Random source of the client.
    """

    def __init__(self, fleet: SoakFleet, name: str, rng: Random) -> None:
        """Create a maker that has made no request."""
        self.fleet = fleet
        self.rng = rng
        self._name = name
        self._count = 0

    def create(
        self,
        kind: str,
        prefix: str,
        work_ms: int,
        size: int,
        **fields: Any,
    ) -> ClientRequest:
        """Return a request with the next id."""
        self._count += 1
        request_id = f'{self._name}-{self._count}'
        path = f'/{prefix}/{work_ms}/{size}'
        return ClientRequest(request_id, kind, path, size, **fields)


CreateBatch = Callable[[RequestMaker], list[ClientRequest]]
CLIENT_KINDS: Final[Registry[CreateBatch]] = Registry('kind of client')


@CLIENT_KINDS.register('reader')
def create_read(maker: RequestMaker) -> list[ClientRequest]:
    """Read a small response."""
    rng = maker.rng
    work_ms, size = rng.randint(1, 600), rng.randint(0, 20_000)
    return [maker.create('safe', 'read', work_ms, size)]


@CLIENT_KINDS.register('booker')
def create_booking(maker: RequestMaker) -> list[ClientRequest]:
    """Send an unsafe request with a body."""
    rng = maker.rng
    work_ms, size = rng.randint(1, 400), rng.randint(10, 2000)
    sent_bytes = rng.choice((100, 1000, 100_000))
    return [
        maker.create('unsafe', 'book', work_ms, size, sent_bytes=sent_bytes)
    ]


@CLIENT_KINDS.register('downloader')
def create_download(maker: RequestMaker) -> list[ClientRequest]:
    """Read a large response slowly."""
    rng = maker.rng
    work_ms, size = rng.randint(1, 200), rng.randint(30_000, 400_000)
    read_s = rng.uniform(0.5, 2.1)
    return [maker.create('safe', 'download', work_ms, size, read_s=read_s)]


@CLIENT_KINDS.register('pipeliner')
def create_pipeline(maker: RequestMaker) -> list[ClientRequest]:
    """Send several safe requests before the first response."""
    rng = maker.rng
    return [
        maker.create(
            'safe', 'read', rng.randint(1, 300), rng.randint(0, 90_000)
        )
        for _ in range(rng.randint(2, 4))
    ]


@CLIENT_KINDS.register('leaver')
def create_abandoned(maker: RequestMaker) -> list[ClientRequest]:
    """Leave before the response at times."""
    rng = maker.rng
    prefix, kind = rng.choice((('read', 'safe'), ('book', 'unsafe')))
    leave_s = rng.choice((0, rng.uniform(0, 0.5)))
    work_ms, size = rng.randint(1, 800), rng.randint(0, 100_000)
    return [maker.create(kind, prefix, work_ms, size, leave_s=leave_s)]


@CLIENT_KINDS.register('version')
def create_version_probe(maker: RequestMaker) -> list[ClientRequest]:
    """Request the route that one of the last configurations added."""
    version = maker.rng.choice(maker.fleet.versions[-3:])
    return [maker.create('version', f'added-{version}', 1, 10)]


class SoakClient:
    """A client that sends requests until the soak ends."""

    def __init__(
        self, fleet: SoakFleet, host: MeshHost, kind: str, number: int
    ) -> None:
        """Create a client of a host."""
        self._fleet = fleet
        self._host = host
        self._create_batch = CLIENT_KINDS.get(kind)
        self._narrow = kind == 'downloader'
        name = f'{host.name}-{kind}{number}'
        self._rng = Random(f'{fleet.seed}-{name}')
        self._maker = RequestMaker(fleet, name, self._rng)

    async def run(self) -> None:
        """Send requests until the fleet is stopped."""
        while not self._fleet.stopped.is_set():
            connection = await self._connect()
            if connection is None:
                await sleep(RECONNECT_S)
                continue
            lifetime = self._host.lifetime
            try:
                await self._use(connection, lifetime)
            finally:
                connection.close()

    async def _connect(self) -> socket | None:
        connection = socket(AF_INET, SOCK_STREAM)
        connection.setblocking(False)
        if self._narrow:
            connection.setsockopt(SOL_SOCKET, SO_RCVBUF, NARROW_BUFFER_BYTES)
            connection.setsockopt(IPPROTO_TCP, TCP_MAXSEG, NARROW_SEGMENT_BYTES)
        try:
            async with timeout(CONNECT_TIMEOUT_S):
                await get_running_loop().sock_connect(
                    connection, self._host.outbound
                )
        except OSError:
            connection.close()
            return None
        return connection

    async def _use(self, connection: socket, lifetime: int) -> None:
        reader = ResponseReader(connection)
        while not self._fleet.stopped.is_set():
            batch = self._create_batch(self._maker)
            sent_s = monotonic()
            try:
                await get_running_loop().sock_sendall(
                    connection, b''.join(map(_encode_request, batch))
                )
            except OSError:
                # The responses, if any, are read below.
                pass
            is_open = True
            for request in batch:
                if is_open:
                    is_open = await self._read(
                        reader, request, lifetime, sent_s
                    )
                else:
                    self._record(
                        request, lifetime, sent_s, Outcome.NOT_READ, reader
                    )
            if not is_open:
                return
            is_refused = reader.status != HTTPStatus.OK
            max_think_s = MAX_REFUSED_THINK_S if is_refused else MAX_THINK_S
            await sleep(self._rng.uniform(0, max_think_s))

    async def _read(
        self,
        reader: ResponseReader,
        request: ClientRequest,
        lifetime: int,
        sent_s: float,
    ) -> bool:
        """Read a response; return whether the connection stays open."""
        reader.reset()
        end_s = sent_s + (request.leave_s or REQUEST_LIMIT_S + OVERDUE_S)
        try:
            async with timeout(end_s - monotonic()):
                await reader.read_response(request.size, request.read_s)
        except TimeoutError:
            outcome = Outcome.LEFT if request.leave_s else Outcome.OVERDUE
        except (ConnectionError, ValueError):
            is_truncated = bool(reader.status)
            outcome = Outcome.TRUNCATED if is_truncated else Outcome.CLOSED
        else:
            outcome = Outcome.COMPLETE
        self._record(request, lifetime, sent_s, outcome, reader)
        return outcome is Outcome.COMPLETE and not reader.closing

    def _record(
        self,
        request: ClientRequest,
        lifetime: int,
        sent_s: float,
        outcome: Outcome,
        reader: ResponseReader,
    ) -> None:
        is_read = outcome is not Outcome.NOT_READ
        mismatch = ''
        if outcome is Outcome.COMPLETE:
            mismatch = find_mismatch(reader, request)
        record = RequestRecord(
            request=request,
            host=self._host.name,
            lifetime=lifetime,
            sent_s=sent_s,
            ended_s=monotonic(),
            outcome=outcome,
            status=reader.status if is_read else 0,
            received_bytes=len(reader.body) if is_read else 0,
            mismatch=mismatch,
        )
        self._fleet.history.requests.append(record)


def _encode_request(request: ClientRequest) -> bytes:
    method = b'POST' if request.kind == 'unsafe' else b'GET'
    limit_ms = int(REQUEST_LIMIT_S * MS_PER_S)
    headers = [
        (b'Host', HOST),
        (REQUEST_ID, request.request_id.encode()),
        (TIMEOUT_MS, b'%d' % limit_ms),
    ]
    head = encode_request_head(
        method, request.path.encode(), headers, request.sent_bytes
    )
    return head + bytes(request.sent_bytes)
