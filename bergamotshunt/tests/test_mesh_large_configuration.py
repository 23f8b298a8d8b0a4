"""Large configurations reach all daemons in time."""

import asyncio
import zlib
from random import Random

import pytest

from bergamotshunt.http.heads import ResponseHead
from bergamotshunt.mesh_messages import PeerVersionReceived
from bergamotshunt.mesh_settings import Address
from bergamotshunt.peers.configuration_documents import (
    CODING,
    MAX_DOCUMENT_BYTES,
    DocumentError,
    decode_document,
)
from bergamotshunt.peers.peer_calls import CONFIGURATION_PATH
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    LOOPBACK_PREFIX,
    READ_ROUTE,
    Mesh,
    configuration,
    outbound_of,
    send_request,
)
from standins.mesh_server import respond_with_echo

ROUTES = 1400
# Share of the size that a compressed configuration may have.
MAX_SHARE = 0.25


def large_configuration(version: int) -> str:
    rng = Random(version)
    routes = [
        {
            'prefix': f'/{rng.randrange(1 << 30):x}/',
            'host': f'{rng.randrange(1 << 30):x}.example',
            'kind': 'safe',
            'service': 'shop',
        }
        for _ in range(ROUTES)
    ]
    return configuration(version, READ_ROUTE, BOOKING_ROUTE, *routes)


def create_head(coding: bytes) -> ResponseHead:
    return ResponseHead(200, (), {b'content-encoding': coding})


def test_large_configuration_is_compressed_between_daemons() -> None:
    """Guards against a large configuration that keeps a slow link busy.

    The daemons of a zone fetch it from one peer at the same time. With 1,400
    routes and a link of 9 Mbit/s they all ran into their timeout, again and
    again. A daemon of an earlier version accepts it only uncompressed.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            await mesh.store.put('op/config', large_configuration(2))
            await mesh.wait_until(
                lambda: all(mesh.version(number) == 2 for number in (0, 1))
            )
            host = mesh.hosts[0]
            path = CONFIGURATION_PATH.decode()
            plain = await send_request(host.settings.inbound, b'GET', path)
            short = await send_request(
                host.settings.inbound,
                b'GET',
                path,
                headers=[(b'Accept-Encoding', CODING)],
            )
            routing = outbound_of(host)._routing
            assert routing is not None
            assert plain.content == routing.document
            assert len(short.content) < len(plain.content) * MAX_SHARE
            head = create_head(short.by_name[b'content-encoding'])
            assert decode_document(head, short.content) == plain.content

    asyncio.run(run_scenario())


def test_configuration_is_read_from_the_store_after_a_slow_peer() -> None:
    """Guards against daemons that ask slow peers one after the other.

    The store has the version that the peer told of.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_with_echo, respond_with_echo]) as mesh:
            accepted = asyncio.Event()

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await reader.readuntil(b'\r\n\r\n')
                accepted.set()
                # The daemon closes the connection after its timeout.
                await reader.read()
                writer.close()

            slow = Address(
                f'{LOOPBACK_PREFIX}.99', mesh.hosts[0].settings.inbound.port
            )
            server = await asyncio.start_server(accept, *slow)
            # No watch tells of the new version.
            mesh.store.forget_pending()
            listings = mesh.store.calls.count('/-/kv-range')
            await mesh.store.put('op/config', configuration(2, READ_ROUTE))
            for host in mesh.hosts:
                host.kernel.context.bus.publish(PeerVersionReceived(2, slow.ip))
            await accepted.wait()
            async with asyncio.timeout(5):
                await mesh.wait_until(
                    lambda: all(mesh.version(number) == 2 for number in (0, 1))
                )
            assert mesh.store.calls.count('/-/kv-range') > listings
            server.close()

    asyncio.run(run_scenario())


@pytest.mark.parametrize(
    'content',
    [
        b'no deflate',
        zlib.compress(b'x' * 1000)[:-1],
        zlib.compress(b'x' * (MAX_DOCUMENT_BYTES + 1)),
    ],
    ids=['corrupt', 'cut', 'too long'],
)
def test_corrupt_document_is_rejected(content: bytes) -> None:
    """Guards against a peer whose document fills the memory or is cut."""
    with pytest.raises(DocumentError):
        decode_document(create_head(CODING), content)
