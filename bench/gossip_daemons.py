"""Run many gossip tasks, each with its own peers port, in one process."""

from asyncio import Queue, create_task, gather, timeout
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any

from bergamotshunt.http.web import HttpServer, read_request_body, send_whole
from bergamotshunt.kernel import (
    Context,
    Envelope,
    Mailbox,
    MessageBus,
    load_plugins,
)
from bergamotshunt.messages import PortBound, ServerStateChanged
from bergamotshunt.peers.members import ServerState
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS
from bergamotshunt.plugins.gossip import GossipTask
from bergamotshunt.settings import (
    BackendServerSettings,
    DaemonSettings,
    MembershipSettings,
    Settings,
)

IP = '127.0.0.1'
MAX_BODY_BYTES = 16_000_000
SETTLE_TIMEOUT_S = 60


class GossipDaemon:
    """A gossip task with a peers port, without the rest of a daemon.

    Args:
        name: Daemon id.
        membership: Intervals and timeouts of the protocol.
        known_peers: Peers ports (``IP:port``) to join the fleet through.
        process_id: Process id of the member: its start time in ms.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        membership: MembershipSettings,
        known_peers: tuple[str, ...] = (),
        process_id: int = 1_700_000_000_000,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        """Create the task; ``open`` binds its ports."""
        load_plugins()
        self.name = name
        self.context = Context(
            Settings(
                daemon=DaemonSettings(
                    id=name,
                    ip=IP,
                    availability_zone=f'zone-{len(name) % 3}',
                    known_peers=known_peers,
                ),
                backend_server=BackendServerSettings('jar-ledger', 'x'),
                membership=membership,
            ),
            MessageBus(),
            Random(name),
            process_id,
            clock,
        )
        self.gossip = GossipTask(self.context)
        self.http = HttpServer(self.serve, IP, 0)

    @property
    def peer(self) -> str:
        """The peers port as ``IP:port``."""
        return f'{IP}:{self.http.port}'

    def subscribe(self, *message_types: type) -> Mailbox:
        """Return a new mailbox that receives messages of these types."""
        mailbox: Mailbox = Queue()
        for message_type in message_types:
            self.context.bus.subscribe(message_type, mailbox)
        return mailbox

    async def open(self) -> None:
        """Open the ports, start the task and report the server as serving."""
        await self.http.open()
        await self.gossip.open()
        self.run_task = create_task(self.gossip.run())
        self.context.bus.publish(PortBound('peers', self.http.port))
        self.context.bus.publish(ServerStateChanged(ServerState.SERVING))
        await self.gossip.start()

    async def serve(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve a request of a peer with its endpoint (ASGI)."""
        body = await read_request_body(receive, MAX_BODY_BYTES)
        endpoint = PEER_ENDPOINTS.get(scope['path'])
        response = await endpoint(self.context.bus, body)
        await send_whole(send, 200, [], response)

    async def close(self) -> None:
        """Leave the fleet and close the ports."""
        await self.gossip.close()
        self.run_task.cancel()
        await gather(self.run_task, return_exceptions=True)
        await self.http.close()

    async def crash(self) -> None:
        """Stop without notifying the peers."""
        self.gossip.udp.close()
        await self.close()

    def has_live_members(self, names: set[str]) -> bool:
        """Return whether exactly these members are live in its table."""
        table = self.gossip.members.table
        return table.live_count == len(names) and all(
            map(table.is_live, names),
        )


async def wait_until(
    mailbox: Mailbox,
    is_met: Callable[[Any], bool],
    limit_s: float = SETTLE_TIMEOUT_S,
) -> Any:
    """Read messages until one meets the condition, and return it.

    Raises:
        TimeoutError: No message met it within the time limit.
    """
    async with timeout(limit_s):
        while True:
            envelope: Envelope = await mailbox.get()
            if is_met(envelope.message):
                return envelope.message
