"""Tests gossip tasks that receive odd records of members."""

import asyncio
import socket
from typing import Any

import pytest
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode as encode_msgpack

from bench.gossip_daemons import IP, GossipDaemon
from bergamotshunt.decoding import MalformedInputError
from bergamotshunt.http.web import HttpServer, read_request_body, send_whole
from bergamotshunt.kernel import MessageBus, load_plugins
from bergamotshunt.messages import PeerReached
from bergamotshunt.peers.datagrams import Datagram, DatagramKind
from bergamotshunt.peers.members import (
    EraUpdate,
    Member,
    MemberEvent,
    MemberStatus,
    create_event,
)
from bergamotshunt.peers.peer_api import PEER_ENDPOINTS
from bergamotshunt.tests.test_gossip import SHORT_INTERVALS, fleet

NESTED = b'{"x": ' + b'[' * 100_000
MAX_MSGPACK_INTEGER = 2**64 - 1
ODD = Member('odd', 1, IP, 1, 1, 'r', 'z', 'jar-ledger')
ODD_FIELDS: list[dict[str, Any]] = [
    {'gossip_port': 70_000},
    {'gossip_port': -1},
    {'gossip_port': MAX_MSGPACK_INTEGER},
    {'peers_port': 70_000},
    {'peers_port': -1},
    {'ip': 'x y'},
    {'ip': 'a\0b'},
    {'ip': ''},
    {'daemon_id': ''},
    {'incarnation': MAX_MSGPACK_INTEGER},
    {'incarnation': -1},
    {'process_id': MAX_MSGPACK_INTEGER},
    {'era': MAX_MSGPACK_INTEGER},
]


def send(port: int, datagram: Datagram) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(encode_msgpack(datagram), (IP, port))


async def wait_for_contacts(daemon: GossipDaemon, count: int) -> None:
    """Wait until other members have acknowledged probes of a daemon."""
    reached = daemon.subscribe(PeerReached)
    async with asyncio.timeout(20):
        for _ in range(count):
            await reached.get()


@pytest.mark.parametrize('fields', ODD_FIELDS, ids=str)
def test_odd_record_in_a_datagram_is_ignored(fields: dict[str, Any]) -> None:
    """Guards against a record that closes the gossip port or is passed on.

    The probe of such a member would use an address that does not exist.
    """
    record = ODD._replace(**fields)

    async def scenario() -> None:
        async with fleet(2) as daemons:
            news = Datagram(
                DatagramKind.NEWS, 'eve', 1, events=(create_event(record),)
            )
            send(daemons[0].gossip.udp.port, news)
            await wait_for_contacts(daemons[0], 5)
            for daemon in daemons:
                assert daemon.has_live_members({'d0', 'd1'})

    asyncio.run(scenario())


@pytest.mark.parametrize('status', [MemberStatus.SUSPECT, MemberStatus.DEAD])
def test_odd_event_about_a_daemon_does_not_silence_it(
    status: MemberStatus,
) -> None:
    """Guards against a daemon that can't encode its own record any more.

    It refutes the event with a higher incarnation than the stated one, and
    MessagePack has no higher one.
    """

    async def scenario() -> None:
        async with fleet(2) as daemons:
            event = MemberEvent('d0', MAX_MSGPACK_INTEGER, status, 'eve')
            era = EraUpdate('d1', MAX_MSGPACK_INTEGER, MAX_MSGPACK_INTEGER)
            news = Datagram(
                DatagramKind.NEWS, 'eve', 1, events=(event,), eras=(era,)
            )
            send(daemons[0].gossip.udp.port, news)
            await wait_for_contacts(daemons[1], 5)
            for daemon in daemons:
                assert daemon.has_live_members({'d0', 'd1'})

    asyncio.run(scenario())


def sync_reply(**fields: Any) -> bytes:
    return encode_json(
        {
            'responder': 'eve',
            'about_sender': None,
            'members': [],
            'wanted': [],
            'next_bucket': 1_000_000,
            **fields,
        }
    )


ODD_REPLIES = {
    'nested': NESTED,
    'no JSON': b'\xff',
    'odd members': sync_reply(
        members=[ODD._replace(**fields) for fields in ODD_FIELDS]
    ),
    'odd sender': sync_reply(about_sender=ODD._replace(gossip_port=70_000)),
}


@pytest.mark.parametrize('odd', ODD_REPLIES.values(), ids=ODD_REPLIES.keys())
def test_daemon_syncs_again_after_an_odd_reply(odd: bytes) -> None:
    """Guards against a daemon that never compares its member table again."""

    async def scenario() -> None:
        requests = asyncio.Queue[bytes]()

        async def serve(_scope: Any, receive: Any, send_message: Any) -> None:
            requests.put_nowait(await read_request_body(receive, 1 << 20))
            await send_whole(send_message, 200, [], odd)

        peer = HttpServer(serve, IP, 0)
        await peer.open()
        intervals = SHORT_INTERVALS._replace(sync_interval_s=1)
        daemon = GossipDaemon('d0', intervals, (f'{IP}:{peer.port}',))
        await daemon.open()
        async with asyncio.timeout(20):
            for _ in range(2):
                await requests.get()
        assert daemon.has_live_members({'d0'})
        await daemon.close()
        await peer.close()

    asyncio.run(scenario())


def test_odd_requests_of_peers_are_refused() -> None:
    """Guards against status 500 for a request that cannot be decoded."""
    load_plugins()

    async def scenario() -> None:
        for path in PEER_ENDPOINTS.names():
            for odd in (NESTED, b'\xff', b'[]'):
                with pytest.raises(MalformedInputError):
                    await PEER_ENDPOINTS.get(path)(MessageBus(), odd)

    asyncio.run(scenario())
