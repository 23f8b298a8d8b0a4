"""Decodes the operator's configuration into the project's routing."""

from collections.abc import Callable, Mapping
from reprlib import repr as short_repr
from typing import Any, Final

from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_json,
)
from bergamotshunt.registries import Registry

# Each kind of entry has its type and its check.
from bergamotshunt.routing import (  # noqa: WPS235
    ClientAccount,
    ClientLimits,
    RequestKind,
    Route,
    Routing,
    ServiceConfig,
    WeightedService,
    check_account,
    check_limits,
    check_route,
    check_service,
)
from bergamotshunt.value_checks import check_header_text, check_integer

# All keys that the operator writes.
OPERATOR_KEY_PREFIX: Final = 'op/'
CONFIGURATION_KEY: Final = 'op/config'
# The platform calls a client account a tenant.
ACCOUNT_KIND: Final = 'tenants'
EVACUATION_KEY_PREFIX: Final = 'op/evacuate/'
DEFAULT_TIMEOUT_MS: Final = 1000
DEFAULT_PRIORITY: Final = 9


class ConfigurationError(ValueError):
    """A configuration is malformed."""


class ConfigurationEntries:
    """Entries of one version that could be read.

    Attributes:
        routes_by_host: Routes of each host, in the order of the document.
        services_by_name: Services by name.
        accounts_by_name: Client accounts by name.
        accounts_by_key: The account of each API key.
        limits: Limits of clients' requests.
        needs_keys: Whether the version has accounts, readable or not.
        left_out: Kind and name of each entry that could not be read.
    """

    def __init__(self) -> None:
        """Create a collection without entries."""
        self.routes_by_host: dict[str, list[Route]] = {}
        self.services_by_name: dict[str, ServiceConfig] = {}
        self.accounts_by_name: dict[str, ClientAccount] = {}
        self.accounts_by_key: dict[str, ClientAccount] = {}
        self.limits = ClientLimits()
        self.needs_keys = False
        self.left_out: list[str] = []

    def add(self, entry: Any) -> None:
        """Add an entry; record one that cannot be read as left out."""
        try:
            with convert_malformed('malformed entry'):
                kind = str(entry['entry_kind'])
                # An account that cannot be read must not open the routes.
                self.needs_keys = self.needs_keys or kind == ACCOUNT_KIND
                # "metadata" only holds the name; "spec" has the content.
                name = str(entry['metadata'].get('name', ''))
                add_entry = ENTRY_KINDS.by_name.get(kind)
                if add_entry is None:
                    self.left_out.append(short_repr(f'{kind} {name}'))
                else:
                    add_entry(self, name, entry['spec'])
        except MalformedInputError:
            self.left_out.append(_describe(entry))


AddEntry = Callable[[ConfigurationEntries, str, Mapping[str, Any]], None]
# Each function adds the entries of one kind.
ENTRY_KINDS: Final[Registry[AddEntry]] = Registry('kind of entry')


def decode_configuration(document: bytes) -> Routing:
    """Decode one version of the configuration.

    Entries that cannot be read are left out, the others are in force.

    Raises:
        ConfigurationError: The document has no version or no list of
            entries.
    """
    with convert_malformed('malformed configuration', ConfigurationError):
        return _decode(document)


def _decode(document: bytes) -> Routing:
    content = decode_json(document, 'value')
    version = check_integer('version', int(content['version']))
    resources = content['resources']
    if not isinstance(resources, list):
        # The value is not shown, as it may contain API keys.
        raise TypeError(
            f'resources is a {type(resources).__name__}: expected a list'
        )
    entries = ConfigurationEntries()
    for entry in resources:
        entries.add(entry)
    return Routing(
        version=version,
        routes_by_host={
            host: tuple(sorted(routes, key=_longest_prefix_first))
            for host, routes in entries.routes_by_host.items()
        },
        services_by_name=entries.services_by_name,
        limits=entries.limits,
        document=document,
        accounts_by_name=entries.accounts_by_name,
        accounts_by_key=entries.accounts_by_key,
        needs_keys=entries.needs_keys,
        left_out=tuple(entries.left_out),
    )


def _describe(entry: Any) -> str:
    """Return the kind and name of an entry, which may be anything.

    The rest of the entry is not shown, as it may contain API keys.
    """
    if not isinstance(entry, dict):
        return f'an entry of type {type(entry).__name__}'
    metadata = entry.get('metadata')
    name = metadata.get('name', '') if isinstance(metadata, dict) else ''
    return short_repr(f'{entry.get("entry_kind", "")} {name}')


def _longest_prefix_first(route: Route) -> int:
    return -len(route.prefix)


@ENTRY_KINDS.register('routes')
def _add_route(
    entries: ConfigurationEntries, name: str, spec: Mapping[str, Any]
) -> None:
    route = check_route(_decode_route(name, spec))
    entries.routes_by_host.setdefault(route.host, []).append(route)


@ENTRY_KINDS.register('services')
def _add_service(
    entries: ConfigurationEntries, name: str, spec: Mapping[str, Any]
) -> None:
    entries.services_by_name[name] = check_service(
        ServiceConfig(
            name=name,
            health_path=spec.get('health_path', '/'),
            connections=int(spec.get('max_conns', 0)),
            cold_rate=float(spec.get('cold_per_s', 0)),
        )
    )


@ENTRY_KINDS.register(ACCOUNT_KIND)
def _add_account(
    entries: ConfigurationEntries, name: str, spec: Mapping[str, Any]
) -> None:
    priority = spec.get('priority')
    account = check_account(
        ClientAccount(
            name=name,
            priority=None if priority is None else int(priority),
            rate_per_s=float(spec.get('rate_per_s', 0)),
            burst=float(spec.get('burst', 0)),
        )
    )
    entries.accounts_by_name[name] = account
    keys = spec.get('api_keys', [])
    if not isinstance(keys, list):
        # The characters of a text are no keys.
        entries.left_out.append(f'the keys of {short_repr(name)}')
        return
    for key in keys:
        _add_key(entries, key, account)


def _add_key(
    entries: ConfigurationEntries, key: Any, account: ClientAccount
) -> None:
    """Add an API key; one that no header can hold is left out."""
    try:
        entries.accounts_by_key[check_header_text('key', key)] = account
    except ValueError:
        entries.left_out.append(f'a key of {short_repr(account.name)}')


@ENTRY_KINDS.register('limits')
def _set_limits(
    entries: ConfigurationEntries, _name: str, spec: Mapping[str, Any]
) -> None:
    entries.limits = check_limits(_decode_limits(spec))


def _decode_route(name: str, spec: Mapping[str, Any]) -> Route:
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
        kind=_decode_kind(spec['kind']),
        timeout_ms=timeout_ms,
        latency_objective_ms=float(spec.get('latency_goal_ms', timeout_ms)),
        priority=int(spec.get('priority', DEFAULT_PRIORITY)),
        attempts=int(spec.get('attempts', 1)),
        weighted_services=weighted_services,
        requires_key=not spec.get('no_auth', False),
    )


def _decode_kind(kind: str) -> RequestKind:
    """Return the kind of a route; an unknown one must not run twice."""
    if kind in set(RequestKind):
        return RequestKind(kind)
    return RequestKind.UNSAFE


def _decode_limits(spec: Mapping[str, Any]) -> ClientLimits:
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
