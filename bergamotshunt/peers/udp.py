"""UDP port of a task, with traffic counters."""

from asyncio import DatagramProtocol, DatagramTransport, get_running_loop
from collections.abc import Callable
from typing import Any, NamedTuple

from bergamotshunt.peers.datagrams import Endpoint

DatagramHandler = Callable[[bytes, Endpoint], None]


class Traffic(NamedTuple):
    """Counters of datagrams and bytes, without IP and UDP headers.

    ``malformed`` counts received datagrams that could not be decoded, and
    ``failed`` counts datagrams that could not be sent.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    malformed: int = 0
    failed: int = 0


class _Protocol(DatagramProtocol):
    """Passes received datagrams to a handler."""

    def __init__(self, handler: DatagramHandler) -> None:
        self.handler = handler

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.handler(data, (addr[0], addr[1]))


class UdpPort:
    """UDP socket bound to one port, with counters of its traffic.

    Args:
        handler: Called for each datagram with its content and source.
        ip: IP address to bind.
        port: UDP port; 0 asks the operating system for one.
    """

    def __init__(self, handler: DatagramHandler, ip: str, port: int) -> None:
        """Create the port; ``open`` binds it."""
        self.handler = handler
        self.ip = ip
        self.port = port
        self.traffic = Traffic()
        self._transport: DatagramTransport | None = None

    async def open(self) -> None:
        """Bind the port."""
        loop = get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive),
            local_addr=(self.ip, self.port),
        )
        self._transport = endpoint[0]
        self.port = self._transport.get_extra_info('sockname')[1]

    def send(self, content: bytes, endpoint: Endpoint) -> None:
        """Send a datagram without a guarantee of its delivery."""
        if self._transport is None or self._transport.is_closing():
            return
        traffic = self.traffic
        try:
            self._transport.sendto(content, endpoint)
        except (OSError, OverflowError, ValueError):
            # The address of the peer is unusable, for example with port 0.
            self.traffic = traffic._replace(failed=traffic.failed + 1)
            return
        self.traffic = traffic._replace(
            sent=traffic.sent + 1,
            sent_bytes=traffic.sent_bytes + len(content),
        )

    def count_malformed(self) -> None:
        """Count a datagram that could not be decoded."""
        malformed = self.traffic.malformed + 1
        self.traffic = self.traffic._replace(malformed=malformed)

    def close(self) -> None:
        """Close the port after the buffered datagrams were sent."""
        if self._transport is not None:
            self._transport.close()

    def _receive(self, content: bytes, source: Endpoint) -> None:
        self.traffic = self.traffic._replace(
            received=self.traffic.received + 1,
            received_bytes=self.traffic.received_bytes + len(content),
        )
        self.handler(content, source)
