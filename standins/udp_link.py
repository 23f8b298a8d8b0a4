"""Stand-in for a network link that relays datagrams."""

from asyncio import (
    DatagramProtocol,
    DatagramTransport,
    get_running_loop,
)
from typing import Any

from standins.link import MS_PER_S, LinkFaults

Address = tuple[str, int]


class UdpLink(DatagramProtocol):
    """Relays datagrams to one target port and the replies back.

    Each source address gets its own socket towards the target, so that a
    reply is relayed to the right source. Datagrams on a cut link are lost.

    Attributes:
        dropped: Number of datagrams towards the target that were lost.
    """

    def __init__(self, target_port: int, ip: str = '127.0.0.1') -> None:
        """Create a link that is not bound yet."""
        self.ip = ip
        self.target_port = target_port
        self.port = 0
        self.dropped = 0
        self.faults = LinkFaults()
        self.transports_by_source: dict[Address, DatagramTransport] = {}
        self.transport: Any = None

    async def open(self) -> None:
        """Bind the port."""
        self.transport, _ = await get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, 0)
        )
        self.port = self.transport.get_extra_info('sockname')[1]

    def close(self) -> None:
        """Close all sockets."""
        self.transport.close()
        for transport in self.transports_by_source.values():
            transport.close()

    def change_faults(self, **changes: Any) -> None:
        """Set the given faults and keep the others."""
        self.faults = self.faults._replace(**changes)

    def datagram_received(self, datagram: bytes, source: Address) -> None:
        """Relay a datagram towards the target, or drop it on a cut link."""
        if self.faults.cut_to:
            self.dropped += 1
        else:
            get_running_loop().create_task(self.forward(datagram, source))

    async def forward(self, datagram: bytes, source: Address) -> None:
        """Send a datagram from the socket that belongs to its source."""
        if source not in self.transports_by_source:
            loop = get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: ReplyRelay(self, source),
                remote_addr=(self.ip, self.target_port),
            )
            self.transports_by_source[source] = transport
        self.send(self.transports_by_source[source], datagram, None)

    def send(
        self,
        transport: DatagramTransport,
        datagram: bytes,
        address: Address | None,
    ) -> None:
        """Send a datagram after the delay, twice if ``duplicate`` is set.

        Args:
            transport: Socket to send from.
            datagram: Content of the datagram.
            address: Address to send to; None if the socket is connected.
        """
        for _ in range(1 + self.faults.duplicate):
            get_running_loop().call_later(
                self.faults.delay_ms / MS_PER_S,
                transport.sendto,
                datagram,
                address,
            )


class ReplyRelay(DatagramProtocol):
    """Relays replies of the target to one source address."""

    def __init__(self, link: UdpLink, source: Address) -> None:
        """Create the relay for a source address."""
        self.link = link
        self.source = source

    def datagram_received(self, datagram: bytes, _addr: Address) -> None:
        """Relay a reply, or drop it on a cut link."""
        if not self.link.faults.cut_from:
            self.link.send(self.link.transport, datagram, self.source)
