"""Stand-in for a backend server beside a daemon in mesh mode."""

from asyncio import Event, get_running_loop, sleep
from collections.abc import Callable, Coroutine
from typing import Any, Final

from msgspec.json import encode

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header
from bergamotshunt.http.listeners import Listener
from bergamotshunt.platform.names import (
    COLD_REMAINING_MS,
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_LOAD,
    SIGNATURE,
    TARGET_INSTANCE,
)

HEALTH_PATH: Final = b'/healthz'
Behaviour = Callable[['MeshServer', Exchange], Coroutine[Any, Any, None]]


class MeshServer:
    """Executes requests and records them; a behaviour sends the response.

    Attributes:
        instance: Instance id of the server.
        runs: Ids of the executed requests, in their order.
        request_heads: Header values by name of each of these requests.
        load: Value of the load header of its responses; the fourth number is
            the pace in percent.
        cancelled: Number of requests without a complete response.
        may_respond: Responses wait until it is set.
        healthy: Whether health probes get status 200, else 503.
        probes: Number of health probes.
        cold_ms: Time that it states as still cold in health probes; None for
            no statement.
        may_respond_to_probes: Health probes wait until it is set.
        started_s: Loop time at which each executed request arrived.
        arrivals: ``probe`` or ``run`` for each of them, in their order.
    """

    def __init__(self, instance: str, behaviour: Behaviour) -> None:
        """Create a server that responds by means of the behaviour."""
        self.instance = instance
        self.port = 0
        self.runs: list[bytes] = []
        self.request_heads: list[dict[bytes, bytes]] = []
        self.load = b'0,0,8,100'
        self.cancelled = 0
        self.healthy = True
        self.probes = 0
        self.cold_ms: int | None = None
        self.may_respond_to_probes = Event()
        self.may_respond_to_probes.set()
        self.started_s: list[float] = []
        self.arrivals: list[str] = []
        self.may_respond = Event()
        self.may_respond.set()
        self._respond = behaviour
        self._listener = Listener(self._serve)

    async def open(self, ip: str) -> None:
        """Listen on a port that the operating system assigns."""
        self.port = await self._listener.open(ip, 0)

    async def close(self) -> None:
        """Stop listening."""
        await self._listener.close()

    def announcement(self, service: str, zone: str, **changes: Any) -> bytes:
        """Return the announcement of the server, with changed fields."""
        fields = {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': zone,
            'version': 'v1',
            'slots': 10,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': 1000,
        }
        return encode(fields | changes)

    def headers(self, exchange: Exchange) -> list[Header]:
        """Return the headers of a response to a request."""
        request_id = exchange.head.by_name.get(REQUEST_ID.lower(), b'')
        return [
            (REQUEST_ID, request_id),
            (SIGNATURE, b'signed'),
            (SERVER_LOAD, self.load),
        ]

    def _health_headers(self) -> list[Header]:
        headers = [
            (INSTANCE_ID, self.instance.encode()),
            (SERVER_LOAD, self.load),
        ]
        if self.cold_ms is not None:
            headers.append((COLD_REMAINING_MS, b'%d' % self.cold_ms))
        return headers

    async def _serve(self, exchange: Exchange) -> None:
        head = exchange.head
        if head.target == HEALTH_PATH:
            self.probes += 1
            self.arrivals.append('probe')
            await self.may_respond_to_probes.wait()
            exchange.respond(
                200 if self.healthy else 503, self._health_headers()
            )
            return
        if head.by_name.get(TARGET_INSTANCE.lower()) != self.instance.encode():
            exchange.respond(
                421,
                [
                    *self.headers(exchange),
                    (INSTANCE_ID, self.instance.encode()),
                ],
            )
            return
        self.runs.append(head.by_name[REQUEST_ID.lower()])
        self.request_heads.append(head.by_name)
        self.arrivals.append('run')
        self.started_s.append(get_running_loop().time())
        try:
            await self.may_respond.wait()
            await self._respond(self, exchange)
        finally:
            self.cancelled += not exchange.finished


async def respond_with_echo(server: MeshServer, exchange: Exchange) -> None:
    """Respond with the instance id and the body of the request."""
    body = await exchange.body.read_up_to(1 << 20)
    exchange.respond(
        200, server.headers(exchange), server.instance.encode() + b':' + body
    )


async def respond_error(server: MeshServer, exchange: Exchange) -> None:
    """Execute the request and respond with status 500."""
    exchange.respond(500, server.headers(exchange), b'failed')


async def refuse_unexecuted(server: MeshServer, exchange: Exchange) -> None:
    """Refuse the request as not executed and remove it from the runs."""
    server.runs.pop()
    exchange.respond(503, [*server.headers(exchange), (NOT_EXECUTED, b'1')])


async def abort_mid_response(server: MeshServer, exchange: Exchange) -> None:
    """Close the connection in the middle of the response."""
    exchange.start(200, server.headers(exchange), 100)
    exchange.write(b'half')
    await sleep(0)
    exchange.abort()


async def drop_response(_server: MeshServer, exchange: Exchange) -> None:
    """Execute the request and close the connection without a response."""
    exchange.abort()
