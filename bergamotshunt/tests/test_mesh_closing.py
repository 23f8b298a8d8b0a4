"""Tests of connections that close while their peer still uses them."""

import asyncio

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.tests.mesh import Mesh
from standins.mesh_server import MeshServer


async def respond_at_once(server: MeshServer, exchange: Exchange) -> None:
    exchange.respond(200, server.headers(exchange), b'done')


def test_refusal_of_a_stopping_daemon_states_when_to_return() -> None:
    """Guards against clients that return at once to a daemon that stops."""

    async def run_scenario() -> None:
        async with Mesh([respond_at_once]) as mesh:
            mesh.refuse_clients(0)
            response = await mesh.fetch(0, '/read/1', 'r1')
            assert response.status == 503
            assert float(response.by_name[b'retry-after']) > 0

    asyncio.run(run_scenario())
