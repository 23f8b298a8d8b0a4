"""Stand-in for the network between two processes in mesh mode.

A link listens on one address and relays to another, so that the address
that a daemon announces can lead through it.
"""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    open_connection,
    sleep,
    start_server,
    wait,
)
from asyncio import Task as AsyncioTask
from typing import Any, Final, NamedTuple

from bergamotshunt.mesh_settings import Address

CHUNK_BYTES: Final = 8192
MS_PER_S: Final = 1000


class LinkState(NamedTuple):
    """How a link treats bytes; ``to`` is the direction towards the target.

    Bytes on a cut link wait until the cut ends, as TCP retransmits them.

    Attributes:
        cut_to: Whether nothing passes towards the target.
        cut_from: Whether nothing passes back.
        delay_ms: Delay of each chunk, in both directions.
        bytes_per_s: Rate of each direction; 0 for no limit.
    """

    cut_to: bool = False
    cut_from: bool = False
    delay_ms: float = 0
    bytes_per_s: float = 0


class MeshLink:
    """Relays TCP connections from one address to another.

    Args:
        address: Address to listen on.
        target: Address to relay to.
    """

    def __init__(self, address: Address, target: Address) -> None:
        """Create a link that does not listen yet."""
        self.address = address
        self.target = target
        self.state = LinkState()
        self._state_changed = Event()
        self._writers: set[StreamWriter] = set()
        self._silenced: set[StreamWriter] = set()
        self._relay_tasks: set[AsyncioTask[None]] = set()
        self._server: Any = None

    async def open(self) -> None:
        """Start to listen."""
        self._server = await start_server(
            self._relay, self.address.ip, self.address.port, limit=CHUNK_BYTES
        )

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()
        for relay_task in tuple(self._relay_tasks):
            relay_task.cancel()
        await gather(*self._relay_tasks, return_exceptions=True)

    def change(self, **changes: Any) -> None:
        """Change the given fields of the state and keep the others."""
        self.state = self.state._replace(**changes)
        self._state_changed.set()
        self._state_changed = Event()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Stop relaying on the open connections for good, without a reset."""
        self._silenced.update(self._writers)

    async def _relay(self, reader: StreamReader, writer: StreamWriter) -> None:
        try:
            target_reader, target_writer = await open_connection(
                *self.target, limit=CHUNK_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        self._writers |= ends
        relay_tasks = {
            create_task(self._relay_bytes('to', reader, target_writer)),
            create_task(self._relay_bytes('from', target_reader, writer)),
        }
        self._relay_tasks |= relay_tasks
        await wait(relay_tasks, return_when=FIRST_COMPLETED)
        for relay_task in relay_tasks:
            relay_task.cancel()
        self._relay_tasks -= relay_tasks
        self._writers -= ends
        self._silenced -= ends
        for end in ends:
            end.close()

    async def _relay_bytes(
        self, direction: str, reader: StreamReader, writer: StreamWriter
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_until_passed(direction, len(chunk))
                if writer in self._silenced:
                    await Event().wait()
                if writer.is_closing():
                    return
                writer.write(chunk)
                await writer.drain()
        except OSError:
            return
        if writer in self._silenced:
            await Event().wait()

    async def _wait_until_passed(self, direction: str, size: int) -> None:
        while getattr(self.state, f'cut_{direction}'):
            await self._state_changed.wait()
        if self.state.delay_ms:
            await sleep(self.state.delay_ms / MS_PER_S)
        if self.state.bytes_per_s:
            await sleep(size / self.state.bytes_per_s)
