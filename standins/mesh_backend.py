"""Stand-in for a backend server that leaves, crashes and comes back.

The path of a request states the work in milliseconds and the size of the
response; the body of the response is a function of the request id.
"""

from asyncio import sleep
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from time import monotonic
from typing import Final, NamedTuple

from msgspec.json import encode

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.mesh_settings import Address
from bergamotshunt.platform.names import (
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_LOAD,
    SIGNATURE,
    TARGET_INSTANCE,
)
from bergamotshunt.registries import Registry

HEALTH_PATH: Final = b'/healthz'
LOAD: Final = b'0,0,8,100'
SLOTS: Final = 8
MAX_BODY_BYTES: Final = 1 << 20
CHUNK_BYTES: Final = 16_384
MS_PER_S: Final = 1000

Respond = Callable[[Exchange, bytes, list[tuple[bytes, bytes]]], None]
RESPONSE_FAULTS: Final[Registry[Respond]] = Registry('response fault')


class ServerRun(NamedTuple):
    """A request that a server began to run.

    Attributes:
        request_id: Id of the client's attempt.
        instance: Instance id of the server.
        born_ms: Start of the server's incarnation.
        at_s: Monotonic time in seconds.
    """

    request_id: str
    instance: str
    born_ms: int
    at_s: float


class ResponseFault(NamedTuple):
    """Fault of a server's responses.

    Attributes:
        name: Name in ``RESPONSE_FAULTS``, or ``refuse``.
        share: Share of the requests with the fault.
    """

    name: str
    share: float


def create_body(request_id: str, size: int) -> bytes:
    """Return the body of the response to a request."""
    return Random(request_id).randbytes(size)


def create_signature(request_id: str, body: bytes) -> bytes:
    """Return the signature of a response."""
    key = request_id.encode()
    return blake2b(body, digest_size=8, key=key).hexdigest().encode()


class MeshBackend:
    """A backend server: one incarnation after the other at one address.

    Args:
        address: Address to listen on.
        runs: Receives each run.
        rng: Chooses the requests with a fault.

    Attributes:
        instance: Instance id of this incarnation.
        born_ms: Start of this incarnation; Unix time in milliseconds.
        leaving: Whether it announces that it is leaving.
        fault: Fault of its responses; None for no fault.
    """

    def __init__(
        self, address: Address, runs: list[ServerRun], rng: Random
    ) -> None:
        """Create a server that does not run yet."""
        self.address = address
        self.instance = ''
        self.born_ms = 0
        self.leaving = False
        self.fault: ResponseFault | None = None
        self._runs = runs
        self._rng = rng
        self._sequence = 0
        self._listener: Listener | None = None

    @property
    def running(self) -> bool:
        """Whether the server runs."""
        return self._listener is not None

    async def start(self, instance: str, born_ms: int) -> None:
        """Start an incarnation."""
        self.instance, self.born_ms = instance, born_ms
        self.leaving = False
        self._sequence = 0
        self._listener = Listener(self._serve)
        await self._listener.open(*self.address)

    async def stop(self) -> None:
        """End the incarnation and reset its connections."""
        listener, self._listener = self._listener, None
        if listener is not None:
            await listener.close()

    def announcement(self, service: str, zone: str) -> bytes:
        """Return the next announcement of the server."""
        self._sequence += 1
        return encode(
            {
                'service': service,
                'address': str(self.address),
                'zone': zone,
                'version': 'v1',
                'slots': SLOTS,
                'state': 'draining' if self.leaving else 'ready',
                'cold_left_ms': 0,
                'seq': self._sequence,
                'born': self.born_ms,
            }
        )

    async def _serve(self, exchange: Exchange) -> None:
        by_name = exchange.head.by_name
        instance = self.instance.encode()
        if exchange.head.target == HEALTH_PATH:
            status = 503 if self.leaving else 200
            headers = [(INSTANCE_ID, instance), (SERVER_LOAD, LOAD)]
            exchange.respond(status, headers)
            return
        if by_name.get(TARGET_INSTANCE.lower(), instance) != instance:
            exchange.respond(421, [(INSTANCE_ID, instance)])
            return
        fault = self.fault
        if fault is not None and self._rng.random() >= fault.share:
            fault = None
        if fault is not None and fault.name == 'refuse':
            exchange.respond(503, [(NOT_EXECUTED, b'1')])
            return
        await self._run(exchange, fault.name if fault else 'none')

    async def _run(self, exchange: Exchange, fault_name: str) -> None:
        request_id = exchange.head.by_name[REQUEST_ID.lower()].decode()
        run = ServerRun(request_id, self.instance, self.born_ms, monotonic())
        self._runs.append(run)
        work_ms, size = exchange.head.target.decode().split('/')[-2:]
        await exchange.body.read_up_to(MAX_BODY_BYTES)
        await sleep(int(work_ms) / MS_PER_S)
        body = create_body(request_id, int(size))
        headers = [
            (REQUEST_ID, request_id.encode()),
            (SIGNATURE, create_signature(request_id, body)),
            (SERVER_LOAD, LOAD),
        ]
        RESPONSE_FAULTS.get(fault_name)(exchange, body, headers)


@RESPONSE_FAULTS.register('none')
def respond(
    exchange: Exchange, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Respond completely, with a length or in chunks."""
    is_chunked = bool(body) and body[0] % 2 == 0
    exchange.start(200, headers, None if is_chunked else len(body))
    for start in range(0, len(body), CHUNK_BYTES):
        end = start + CHUNK_BYTES
        exchange.write(body[start:end])
    exchange.finish()


@RESPONSE_FAULTS.register('drop')
def drop(
    exchange: Exchange, _body: bytes, _headers: list[tuple[bytes, bytes]]
) -> None:
    """Close the connection without a response."""
    exchange.abort()


@RESPONSE_FAULTS.register('truncate')
def truncate(
    exchange: Exchange, body: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Close the connection in the middle of the response."""
    exchange.start(200, headers, len(body) + 1)
    exchange.write(body)
    exchange.abort()
