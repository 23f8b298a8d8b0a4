"""Tests a mesh of daemons with odd configurations."""

from base64 import b64encode
from http import HTTPStatus
from typing import Any

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.mesh_messages import PeerVersionReceived
from bergamotshunt.platform.configuration import CONFIGURATION_KEY
from bergamotshunt.tests.mesh import (
    BOOKING_ROUTE,
    READ_ROUTE,
    Mesh,
    configuration,
)
from bergamotshunt.tests.odd_input import (
    HUGE,
    NESTED,
    OTHER_IP,
    counter,
    encode_any,
    run_in_mesh,
)


ROUTE = {
    'host': 'shop.example',
    'prefix': '/',
    'kind': 'safe',
    'service': 'shop',
}
ODD_ROUTES: tuple[dict[str, Any], ...] = (
    {'timeout_ms': 1e300},
    {'timeout_ms': 'nan'},
    {'timeout_ms': -1},
    {'timeout_ms': []},
    {'latency_goal_ms': 'inf'},
    {'priority': HUGE},
    {'attempts': HUGE},
    {'attempts': 1e300},
    {'service': ['x']},
    {'service': ''},
    {'prefix': 5},
    {'host': 5},
    {'traffic_split': [{'service': 'shop', 'weight': 'nan'}]},
    {'traffic_split': [{'service': 'shop', 'weight': -1}]},
    {'traffic_split': [{'service': [], 'weight': 1}]},
)
ODD_LIMITS: tuple[Any, ...] = (
    {'max_header_bytes': 1e300},
    {'max_body_bytes': -1},
    {'header_timeout_ms': 1e18},
    {'idle_timeout_ms': 'x'},
    [],
)
ODD_SERVICES: tuple[Any, ...] = (
    {'health_path': 5},
    {'health_path': '/a\r\nb: c'},
    {'health_path': 'a'},
    {'max_conns': -1},
    [],
)
ODD_DOCUMENTS: tuple[Any, ...] = (
    {'version': 9, 'resources': [None]},
    {'version': 9, 'resources': [{'metadata': []}]},
    {'version': 1e300, 'resources': []},
    {'version': HUGE, 'resources': []},
    {'version': -1, 'resources': []},
    {'version': 9, 'resources': 5},
    [],
)


def odd_configurations() -> list[bytes]:
    documents: list[Any] = [
        *(resource('routes', ROUTE | odd) for odd in ODD_ROUTES),
        *(resource('limits', odd) for odd in ODD_LIMITS),
        *(resource('services', odd) for odd in ODD_SERVICES),
        *ODD_DOCUMENTS,
    ]
    encoded = [encode_any(document) for document in documents]
    return [NESTED, b'\xff', b'', b'{"version":' + b'9' * 5000, *encoded]


def resource(kind: str, spec: Any) -> dict[str, Any]:
    entry = {'entry_kind': kind, 'metadata': {'name': 'a'}, 'spec': spec}
    return {'version': 9, 'resources': [entry]}


def test_odd_configurations_do_not_hide_later_ones() -> None:
    """Guards against a daemon that stops following the configuration."""

    async def scenario(mesh: Mesh) -> None:
        for document in odd_configurations():
            await mesh.store.put(
                CONFIGURATION_KEY, b64encode(document).decode()
            )
        good = configuration(10, READ_ROUTE, BOOKING_ROUTE)
        await mesh.store.put(CONFIGURATION_KEY, good)
        await mesh.wait_until(lambda: mesh.version(0) == 10)
        assert counter(mesh, 'routes', 'configurations_applied') == 2

    run_in_mesh(scenario)


def test_odd_configuration_of_a_peer_is_not_applied() -> None:
    """Guards against a fetch from a peer that fails without a reason."""

    async def scenario(mesh: Mesh) -> None:
        documents = [configuration(20, READ_ROUTE).encode(), NESTED]

        async def serve(exchange: Exchange) -> None:
            exchange.respond(HTTPStatus.OK, [], documents.pop())

        host = mesh.hosts[0]
        listener = Listener(serve)
        await listener.open(OTHER_IP, host.settings.inbound.port)
        for _ in range(2):
            await host.kernel.context.bus.ask(PeerVersionReceived(20, OTHER_IP))
        await listener.close()
        assert documents == []

    run_in_mesh(scenario)
