"""Stand-in for a network link that cuts, delays, holds and duplicates.

``TcpLink`` here and ``UdpLink`` in ``udp_link`` relay to one target port.
As a process: ``python -m standins.link --target-port N``; ``POST /control``
sets the fields of ``LinkFaults``.
"""

from argparse import ArgumentParser
from asyncio import (
    CancelledError,
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    open_connection,
    run,
    sleep,
    start_server,
    wait,
)
from asyncio import Task as AsyncioTask
from json import dumps
from typing import Any, Final, NamedTuple

from httptools import HttpParserError, HttpRequestParser
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from bergamotshunt.http.web import HttpServer

CHUNK_BYTES: Final = 65_536
MS_PER_S: Final = 1000


class LinkFaults(NamedTuple):
    """Faults of a link; ``to`` is the direction towards the target.

    Bytes on a cut TCP link wait until the cut ends, since TCP would
    retransmit them.

    Attributes:
        cut_to: Whether nothing passes towards the target.
        cut_from: Whether nothing passes back.
        delay_ms: Delay of each chunk or datagram, in both directions.
        duplicate: Whether each HTTP request or datagram is sent twice.
    """

    cut_to: bool = False
    cut_from: bool = False
    delay_ms: float = 0
    duplicate: bool = False


class Gate:
    """Holds each chunk that contains a marker until the gate is released.

    Attributes:
        direction: ``to`` or ``from``, as in ``LinkFaults``.
        marker: Bytes to look for in a chunk.
        half: Whether the first half of the chunk passes at once.
        held: Set once a chunk is held.
        released: Set to let held and later chunks pass.
    """

    def __init__(self, direction: str, marker: bytes, *, half: bool) -> None:
        """Create a gate that is not released."""
        self.direction = direction
        self.marker = marker
        self.half = half
        self.held = Event()
        self.released = Event()


class RequestRecorder:
    """Collects the bytes of the current HTTP request of a connection."""

    def __init__(self) -> None:
        """Create a recorder that expects the first byte of a request."""
        self.recorded = b''
        self.complete = False
        self.parser: Any = HttpRequestParser(self)

    def on_message_complete(self) -> None:
        """Handle the end of a request (called by the parser)."""
        self.complete = True

    def feed(self, chunk: bytes) -> bytes:
        """Add bytes; return the request once it is complete, else ``b''``."""
        self.recorded += chunk
        try:
            self.parser.feed_data(chunk)
        except HttpParserError:
            return b''
        if not self.complete:
            return b''
        request, self.recorded, self.complete = self.recorded, b'', False
        return request


class TcpLink:
    """Relays TCP connections to one target port.

    Args:
        target_port: Port on ``ip``.
        ip: IP address of the link and the target.
        port: Port to listen on; 0 asks the operating system for one.

    Attributes:
        faults_changed: Set when the faults change, and replaced by a new event.
        duplicated: Number of requests that were sent twice.
    """

    def __init__(
        self, target_port: int, ip: str = '127.0.0.1', port: int = 0
    ) -> None:
        """Create a link that does not listen yet."""
        self.ip = ip
        self.target_port = target_port
        self.port = port
        self.faults = LinkFaults()
        self.gates: list[Gate] = []
        self.faults_changed = Event()
        self.duplicated = 0
        self._writers: set[StreamWriter] = set()
        self._tasks: set[AsyncioTask[Any]] = set()

    async def open(self) -> None:
        """Start listening."""
        self._server = await start_server(self.relay, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        self.abort_connections()
        await gather(*self._tasks, return_exceptions=True)

    def change_faults(self, **changes: Any) -> None:
        """Set the given faults and keep the others."""
        self.faults = self.faults._replace(**changes)
        self.faults_changed.set()
        self.faults_changed = Event()

    def abort_connections(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def add_gate(
        self, direction: str, marker: bytes, *, half: bool = False
    ) -> Gate:
        """Add a gate that holds chunks with a marker; see ``Gate``."""
        gate = Gate(direction, marker, half=half)
        self.gates.append(gate)
        return gate

    def open_gates(self) -> None:
        """Release and remove all gates."""
        for gate in self.gates:
            gate.released.set()
        self.gates.clear()

    async def relay(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Relay one connection until either end closes it."""
        self._writers.add(writer)
        try:
            target = await open_connection(self.ip, self.target_port)
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target[1])
        relay_tasks = (
            create_task(self.relay_direction('to', reader, target[1])),
            create_task(self.relay_direction('from', target[0], writer)),
        )
        self._tasks.update(relay_tasks)
        try:
            await wait(relay_tasks, return_when='FIRST_COMPLETED')
        except CancelledError:
            # The event loop is stopping; asyncio would log the cancellation
            # of a connection callback as an error.
            return
        finally:
            for relay_task in relay_tasks:
                relay_task.cancel()
            self._tasks.difference_update(relay_tasks)
            for end in (writer, target[1]):
                end.close()
                self._writers.discard(end)

    async def relay_direction(
        self, direction: str, reader: StreamReader, writer: StreamWriter
    ) -> None:
        """Relay one direction of a connection until it ends."""
        recorder = RequestRecorder()
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self.apply_faults(direction)
                chunk = await self.wait_at_gates(direction, chunk, writer)
                writer.write(chunk)
                await writer.drain()
                if direction == 'to':
                    self.duplicate_request(recorder.feed(chunk))
        except OSError:
            return

    async def apply_faults(self, direction: str) -> None:
        """Wait until the direction is not cut, then for the delay."""
        while getattr(self.faults, f'cut_{direction}'):
            await self.faults_changed.wait()
        if self.faults.delay_ms:
            await sleep(self.faults.delay_ms / MS_PER_S)

    async def wait_at_gates(
        self, direction: str, chunk: bytes, writer: StreamWriter
    ) -> bytes:
        """Wait at each gate that matches the chunk.

        Returns:
            The part of the chunk that is still to be written.
        """
        for gate in tuple(self.gates):
            if gate.direction == direction and gate.marker in chunk:
                if gate.half:
                    middle = len(chunk) // 2
                    writer.write(chunk[:middle])
                    await writer.drain()
                    chunk = chunk[middle:]
                gate.held.set()
                await gate.released.wait()
        return chunk

    def duplicate_request(self, request: bytes) -> None:
        """Send a request again on a new connection under ``duplicate``.

        Args:
            request: The complete request; empty while bytes of it are missing.
        """
        if request and self.faults.duplicate:
            self.duplicated += 1
            task = create_task(self.send_duplicate(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def send_duplicate(self, request: bytes) -> None:
        """Send a recorded request and close after the start of its response."""
        try:
            reader, writer = await open_connection(self.ip, self.target_port)
        except OSError:
            return
        self._writers.add(writer)
        try:
            writer.write(request)
            await reader.read(CHUNK_BYTES)
        except OSError:
            return
        finally:
            writer.close()
            self._writers.discard(writer)


async def serve(target_port: int, port: int, control_port: int) -> None:
    """Print the ports as JSON and relay until the process is killed."""
    link = TcpLink(target_port, port=port)

    async def control(request: Request) -> JSONResponse:
        link.change_faults(**await request.json())
        return JSONResponse(link.faults._asdict())

    routes = [Route('/control', control, methods=['POST'])]
    server = HttpServer(Starlette(routes=routes), link.ip, control_port)
    await link.open()
    await server.open()
    print(dumps({'port': link.port, 'control': server.port}), flush=True)
    await Event().wait()


if __name__ == '__main__':
    parser = ArgumentParser(prog='python -m standins.link')
    parser.add_argument('--target-port', type=int, required=True)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument('--control-port', type=int, default=0)
    options = parser.parse_args()
    run(serve(options.target_port, options.port, options.control_port))
