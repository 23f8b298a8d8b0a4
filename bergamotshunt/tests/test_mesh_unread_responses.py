"""Tests of responses that a daemon does not read to their end."""

import asyncio

from bergamotshunt.backend.loads import Load
from bergamotshunt.choice.peer_attempts import send_attempt
from bergamotshunt.choice.server_records import ServerRecord
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import Header, RequestHead
from bergamotshunt.http.listeners import Listener
from bergamotshunt.http.server_connection import ServerConnection
from bergamotshunt.peers.peer_calls import (
    RESULT_HEADER,
    PeerCall,
    PeerResult,
    encode_result,
)
from bergamotshunt.routing import AnnouncedState, ServerEntry
from bergamotshunt.verdicts import Verdict

IP = '127.0.0.1'
CHUNK_BYTES = 65_536
LONG_BYTES = 256 * CHUNK_BYTES
CLOSE_TIMEOUT_S = 1.0


def test_long_refusal_closes_its_connection() -> None:
    """Guards against a refusal with a long body that keeps its connection.

    The process at the address of the daemon is of another version.
    """
    refusal = PeerResult(Verdict.NOT_RUN, Load(limit=1), 'stopping')

    async def refuse_at_length(exchange: Exchange) -> None:
        headers: list[Header] = [(RESULT_HEADER, encode_result(refusal))]
        exchange.start(503, headers, LONG_BYTES)
        while True:
            exchange.write(bytes(CHUNK_BYTES))
            await exchange.drain()

    async def run_scenario() -> None:
        listener = Listener(refuse_at_length)
        port = await listener.open(IP, 0)
        entry = ServerEntry(
            'i-0', 1, 1, 's', 'z', IP, port, 9, AnnouncedState.READY
        )
        exchange = Exchange(ServerConnection(listener))
        exchange.head = RequestHead(b'GET', b'/', (), {})
        outcome = await send_attempt(
            ServerRecord(entry, 'z'),
            exchange,
            PeerCall('r1', 'i-0', 's', 5000, 5000, 1),
            b'',
        )
        assert outcome.verdict is Verdict.NOT_RUN
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while listener.connections:
                await asyncio.sleep(0.01)
        await listener.close()

    asyncio.run(run_scenario())
