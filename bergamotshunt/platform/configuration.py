"""Decodes the operator's configuration into the project's routing."""

from typing import Any, Final

from bergamotshunt.decoding import convert_malformed, decode_json
from bergamotshunt.routing import (
    ClientLimits,
    RequestKind,
    Route,
    Routing,
    ServiceConfig,
    WeightedService,
    check_routing,
)

CONFIGURATION_KEY: Final = 'op/config'
DEFAULT_TIMEOUT_MS: Final = 1000
DEFAULT_PRIORITY: Final = 9


class ConfigurationError(ValueError):
    """A configuration is malformed."""


def decode_configuration(document: bytes) -> Routing:
    """Decode one version of the configuration.

    Raises:
        ConfigurationError: The document is malformed.
    """
    with convert_malformed('malformed configuration', ConfigurationError):
        return check_routing(_decode(document))


def _decode(document: bytes) -> Routing:
    content = decode_json(document, 'value')
    routes: dict[str, list[Route]] = {}
    services_by_name = {}
    limits = ClientLimits()
    for entry in content['resources']:
        # "metadata" only holds the name; "spec" has the content.
        name = entry['metadata'].get('name', '')
        spec = entry['spec']
        match entry['entry_kind']:
            case 'routes':
                route = _decode_route(name, spec)
                routes.setdefault(route.host, []).append(route)
            case 'services':
                services_by_name[name] = ServiceConfig(
                    name=name,
                    health_path=spec.get('health_path', '/'),
                    connections=int(spec.get('max_conns', 0)),
                )
            case 'limits':
                limits = _decode_limits(spec)
    return Routing(
        version=int(content['version']),
        routes_by_host={
            host: tuple(sorted(entries, key=_longest_prefix_first))
            for host, entries in routes.items()
        },
        services_by_name=services_by_name,
        limits=limits,
        document=document,
    )


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    split = spec.get('traffic_split')
    weighted_services = tuple(
        WeightedService(part['service'], float(part['weight']))
        for part in split or ()
    ) or (WeightedService(spec['service']),)
    timeout_ms = float(spec.get('timeout_ms', DEFAULT_TIMEOUT_MS))
    return Route(
        name=name,
        host=spec['host'].lower(),
        prefix=spec['prefix'],
        kind=RequestKind(spec['kind']),
        timeout_ms=timeout_ms,
        latency_objective_ms=float(spec.get('latency_goal_ms', timeout_ms)),
        priority=int(spec.get('priority', DEFAULT_PRIORITY)),
        attempts=int(spec.get('attempts', 1)),
        weighted_services=weighted_services,
    )


def _decode_limits(spec: dict[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        head_bytes=int(spec.get('max_header_bytes', default.head_bytes)),
        body_bytes=int(spec.get('max_body_bytes', default.body_bytes)),
        head_timeout_ms=int(
            spec.get('header_timeout_ms', default.head_timeout_ms),
        ),
        idle_timeout_ms=int(
            spec.get('idle_timeout_ms', default.idle_timeout_ms),
        ),
    )
