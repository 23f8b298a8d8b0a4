"""Settings of a daemon: defaults, parsing of INI files and validation."""

from configparser import ConfigParser, Error
from pathlib import Path
from typing import Any, Final, NamedTuple

from returns.result import Failure, Result, Success

from bergamotshunt.setting_rules import (
    PARSERS_BY_TYPE,
    RULES_BY_SETTING,
    InvalidSetting,
    SettingRule,
)


class DaemonSettings(NamedTuple):
    """Section ``daemon``: identity, location and ports of the daemon."""

    id: str = ''
    ip: str = '127.0.0.1'
    region: str = 'region-1'
    availability_zone: str = 'zone-1'
    callers_port: int = 0
    peers_port: int = 0
    admin_port: int = 0
    gossip_port: int = 0
    known_peers: tuple[str, ...] = ()
    drain_timeout_s: int = 30
    log_level: str = 'info'


class BackendServerSettings(NamedTuple):
    """Section ``backend_server``: the server beside the daemon."""

    service: str = ''
    url: str = ''
    slots: int = 10
    connections: int = 200
    health_path: str = '/health'
    load_path: str = '/load'
    drain_path: str = ''


class PlatformSettings(NamedTuple):
    """Section ``platform``: access to the platform's key-value store."""

    urls: tuple[str, ...] = ()
    prefix: str = 'bergamotshunt/'
    timeout_ms: int = 1000
    calls_per_s: int = 20


class CallsSettings(NamedTuple):
    """Section ``calls``: forwarding of requests."""

    max_in_flight: int = 256
    body_buffer_bytes: int = 262_144
    max_body_bytes: int = 67_108_864
    max_head_bytes: int = 16_384
    default_deadline_ms: int = 5000
    max_deadline_ms: int = 60_000
    chooser: str = 'expected-wait'
    limiter: str = 'gradient'
    retry_share: float = 0.1
    hedge_share: float = 0.02
    max_ejected_share: float = 1 / 3


class BookingsSettings(NamedTuple):
    """Section ``bookings``: retention of booking keys and responses."""

    era_s: int = 600
    eras_kept: int = 6
    answer_bytes: int = 8192
    answers_bytes: int = 33_554_432


class MembershipSettings(NamedTuple):
    """Section ``membership``: failure detection by gossip."""

    probe_interval_ms: int = 1000
    probe_timeout_ms: int = 300
    suspicion_factor: int = 4
    sync_interval_s: int = 120
    peer_probe_per_s: int = 8


class TargetsSettings(NamedTuple):
    """Section ``targets``: distribution of the operators' targets."""

    confirm_within_s: float = 6
    refuse_unconfirmed: bool = False
    readers_per_zone: int = 2
    push_fanout: int = 4
    audit_records: int = 10_000


class MeasuringSettings(NamedTuple):
    """Section ``measuring``: cost of load measurement."""

    probe_cost_ms: float = 5
    health_interval_ms: int = 1000


class Settings(NamedTuple):
    """All settings of a daemon.

    ``operators`` maps the name of each operator to the token that
    identifies the operator at the administration API.
    """

    daemon: DaemonSettings = DaemonSettings()
    backend_server: BackendServerSettings = BackendServerSettings()
    platform: PlatformSettings = PlatformSettings()
    calls: CallsSettings = CallsSettings()
    bookings: BookingsSettings = BookingsSettings()
    membership: MembershipSettings = MembershipSettings()
    targets: TargetsSettings = TargetsSettings()
    measuring: MeasuringSettings = MeasuringSettings()
    operators: dict[str, str] = {}


OPERATORS_SECTION: Final = 'operators'
MIN_TOKEN_LENGTH: Final = 16


def read_settings(path: Path) -> Result[Settings, tuple[InvalidSetting, ...]]:
    """Read and validate an INI file.

    Returns:
        The settings, or all invalid values.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure(
            (InvalidSetting('', '', str(path), f'a readable file ({error})'),)
        )
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, tuple[InvalidSetting, ...]]:
    """Parse and validate the text of an INI file; see ``read_settings``."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except Error as error:
        return Failure((InvalidSetting('', '', str(error), 'INI syntax'),))
    errors: list[InvalidSetting] = []
    settings = Settings()
    for section in parser.sections():
        entries = dict(parser[section])
        if section == OPERATORS_SECTION:
            errors.extend(check_operators(entries))
            settings = settings._replace(operators=entries)
        elif section in Settings._fields:
            section_settings = read_section(section, entries, errors)
            settings = settings._replace(**{section: section_settings})
        else:
            allowed = ', '.join(Settings._fields)
            errors.append(
                InvalidSetting(
                    section, '', '', f'one of the sections {allowed}'
                )
            )
    errors.extend(check_required_settings(settings))
    return Failure(tuple(errors)) if errors else Success(settings)


def read_section(
    section: str,
    entries: dict[str, str],
    errors: list[InvalidSetting],
) -> Any:
    """Parse one section into its tuple.

    Args:
        section: Name of the section.
        entries: Texts of the file by key.
        errors: Receives the invalid values.

    Returns:
        The section; invalid values keep their defaults.
    """
    defaults = Settings._field_defaults[section]
    value_by_key: dict[str, Any] = {}
    for key, text in entries.items():
        if key not in defaults._fields:
            allowed = ', '.join(defaults._fields)
            errors.append(
                InvalidSetting(section, key, text, f'one of the keys {allowed}')
            )
            continue
        outcome = parse_value(section, key, text, type(getattr(defaults, key)))
        if isinstance(outcome, InvalidSetting):
            errors.append(outcome)
        else:
            value_by_key[key] = outcome
    return defaults._replace(**value_by_key)


def parse_value(section: str, key: str, text: str, value_type: type) -> Any:
    """Parse and validate one value.

    Returns:
        The value, or an ``InvalidSetting``.
    """
    parser, type_description = PARSERS_BY_TYPE[value_type]
    rule = RULES_BY_SETTING.get(
        f'{section}.{key}', SettingRule(type_description, None)
    )
    try:
        parsed = parser(text)
    except ValueError:
        return InvalidSetting(section, key, text, rule.allowed)
    if rule.is_allowed is not None and not rule.is_allowed(parsed):
        return InvalidSetting(section, key, text, rule.allowed)
    return parsed


def check_operators(tokens_by_name: dict[str, str]) -> list[InvalidSetting]:
    """Validate the operators' tokens; no error contains a token."""
    return [
        InvalidSetting(
            OPERATORS_SECTION,
            name,
            '(hidden)',
            f'a token of at least {MIN_TOKEN_LENGTH} characters',
        )
        for name, token in tokens_by_name.items()
        if len(token) < MIN_TOKEN_LENGTH
    ]


def check_required_settings(settings: Settings) -> list[InvalidSetting]:
    """Check required settings and those that depend on each other."""
    errors = []
    if not settings.daemon.id:
        errors.append(
            InvalidSetting(
                'daemon', 'id', '', 'a name that is unique in the fleet'
            )
        )
    if not settings.platform.urls:
        errors.append(
            InvalidSetting(
                'platform',
                'urls',
                '',
                'at least one URL of the key-value service',
            )
        )
    server = settings.backend_server
    if bool(server.service) != bool(server.url):
        errors.append(
            InvalidSetting(
                'backend_server',
                'url',
                server.url,
                'service and url together, or neither',
            ),
        )
    return errors
