"""Decodes the platform's settings file into settings of the daemon."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from returns.result import Failure, Result, Success

from bergamotshunt.mesh_settings import Address, Bounds, MeshSettings
from bergamotshunt.value_checks import MAX_PORT, check_number

# Environment variable with the path of the settings file.
FILE_VARIABLE: Final = 'BERGAMOTSHUNT_BOOT'
# Metrics are served on the port after the one for datagrams.
METRICS_PORT_OFFSET: Final = 1
QUOTA_PORT_OFFSET: Final = 2
# Each zone has a line with its region.
ZONE_PREFIX: Final = 'zones.'
# Bounds that are any number, by the field that holds them.
NAMES_BY_BOUND: Final = MappingProxyType(
    {
        'grace_s': 'grace_s',
        'retry_ratio': 'retry_budget_ratio',
        'retry_slack': 'budget_slack',
        'retry_window_s': 'budget_window_s',
        'quota_window_s': 'quota_window_s',
        'quota_overage': 'quota_overage',
        'quota_slack': 'quota_slack',
        'cold_overage': 'cold_overage',
        'cold_slack': 'cold_slack',
    }
)


def read_lines(text: str) -> dict[str, str]:
    """Return the values of a settings file by name."""
    value_by_name = {}
    for line in text.splitlines():
        name, separator, setting = line.partition('=')
        if separator:
            value_by_name[name.strip()] = setting.strip()
    return value_by_name


class SettingsReader:
    """Parses single values and collects errors.

    Attributes:
        errors: One sentence for each missing or invalid value.
    """

    def __init__(self, value_by_name: Mapping[str, str]) -> None:
        """Create a reader for the values of a settings file."""
        self.errors: list[str] = []
        self.value_by_name = value_by_name

    def text(self, name: str) -> str:
        """Return a value that must not be empty."""
        text = self.value_by_name.get(name, '')
        if not text:
            self.errors.append(f'{name} is missing: expected a non-empty value')
        return text

    def address(self, name: str) -> Address:
        """Return an IP address and a port."""
        text = self.value_by_name.get(name, '')
        ip, _, port = text.rpartition(':')
        if ip and is_port(port):
            return Address(ip, int(port))
        self.errors.append(
            f'{name} = {text!r}: expected IP:PORT',
        )
        return Address('', 0)

    def first_port(self, name: str) -> int:
        """Return the first port of a port range."""
        text = self.text(name).partition(',')[0]
        if is_port(text):
            return int(text)
        self.errors.append(f'{name} = {text!r}: expected FIRST_PORT,LAST_PORT')
        return 0


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port."""
    is_short = len(text) <= len(str(MAX_PORT))
    return is_short and text.isdecimal() and 1 <= int(text) <= MAX_PORT


def decode_settings(text: str) -> Result[MeshSettings, tuple[str, ...]]:
    """Decode the settings file.

    Returns:
        The settings, or one sentence for each missing or invalid value.
    """
    value_by_name = read_lines(text)
    reader = SettingsReader(value_by_name)
    ip = reader.text('ip')
    # Daemons communicate with each other on the ports of this range.
    first_port = reader.first_port('port_range')
    settings = MeshSettings(
        daemon_id=reader.text('node_name'),
        ip=ip,
        zone=reader.text('zone'),
        service=reader.text('service'),
        server=reader.address('app_addr'),
        outbound=reader.address('listen.outbound'),
        inbound=reader.address('listen.inbound'),
        control=reader.address('listen.control'),
        ready=reader.address('listen.ready'),
        datagram_port=first_port,
        metrics=Address(ip, first_port + METRICS_PORT_OFFSET),
        quota_port=first_port + QUOTA_PORT_OFFSET,
        zones=_decode_zones(value_by_name),
        store=reader.address('platform.address'),
        min_lease_ms=int(_number(value_by_name, 'platform.min_ttl_ms', 1000)),
        is_first_start=value_by_name.get('bootstrap') == 'true',
        bounds=_decode_bounds(value_by_name.get('bounds', '')),
    )
    if reader.errors:
        return Failure(tuple(reader.errors))
    return Success(settings)


def _decode_zones(value_by_name: Mapping[str, str]) -> tuple[str, ...]:
    zones = (
        name.removeprefix(ZONE_PREFIX)
        for name in value_by_name
        if name.startswith(ZONE_PREFIX)
    )
    return tuple(sorted(filter(None, zones)))


def _decode_bounds(text: str) -> Bounds:
    value_by_name = dict(
        part.strip().partition('=')[::2] for part in text.split(',')
    )
    default = Bounds()
    # The names of the platform differ from the project's for some numbers.
    numbers = {
        field: _number(value_by_name, name, getattr(default, field))
        for field, name in NAMES_BY_BOUND.items()
    }
    return default._replace(
        drain_ms=int(_number(value_by_name, 'drain_ms', default.drain_ms)),
        revoke_ms=int(_number(value_by_name, 'revoke_ms', default.revoke_ms)),
        config_apply_ms=int(
            _number(value_by_name, 'config_apply_ms', default.config_apply_ms)
        ),
        strict_revoke=value_by_name.get('strict_revoke') == 'true',
        **numbers,
    )


def _number(
    value_by_name: Mapping[str, str],
    name: str,
    default: float,
) -> float:
    """Return a number, or the default if it is missing or malformed."""
    try:
        return check_number(name, float(value_by_name[name]))
    except (KeyError, ValueError):
        return default
