"""Parsers of setting values, and the rule of each setting."""

from collections.abc import Callable
from ipaddress import ip_address
from re import fullmatch
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit


class InvalidSetting(NamedTuple):
    """A setting that is invalid.

    Attributes:
        section: Section of the INI file, or empty for the whole file.
        key: Key, or empty for the whole section.
        text: The value as written in the file, or the path or parser error for
            the whole file.
        allowed: Description of the allowed values.
    """

    section: str
    key: str
    text: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as one line for the operator."""
        if not self.section:
            return f'{self.text}: expected {self.allowed}'
        location = f'[{self.section}] {self.key}'.strip()
        return f'{location} = {self.text!r}: expected {self.allowed}'


class SettingRule(NamedTuple):
    """The allowed values of one setting.

    Attributes:
        allowed: Description for error messages and the settings page.
        is_allowed: Returns whether a parsed value is allowed; None allows
            all values.
    """

    allowed: str
    is_allowed: Callable[[Any], bool] | None


def parse_yes_or_no(text: str) -> bool:
    """Parse ``yes`` or ``no``.

    Raises:
        ValueError: The text is neither of the two.
    """
    if text not in {'yes', 'no'}:
        raise ValueError(f'expected yes or no, got {text!r}')
    return text == 'yes'


def parse_list(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list; surrounding blanks are removed.

    Empty entries are skipped.
    """
    entries = (entry.strip() for entry in text.split(','))
    return tuple(entry for entry in entries if entry)


def is_ip(text: str) -> bool:
    """Return whether the text is an IP address."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def is_name(text: str) -> bool:
    """Return whether the text is 1 to 64 letters, digits, ``-`` or ``_``."""
    return fullmatch(r'[A-Za-z0-9_-]{1,64}', text) is not None


def is_endpoint(text: str) -> bool:
    """Return whether the text is ``IP:port``."""
    ip, _, port = text.rpartition(':')
    return is_ip(ip.strip('[]')) and port.isdecimal() and 0 < int(port) < 2**16


def is_ip_url(text: str) -> bool:
    """Return whether the text is an HTTP URL with an IP address and a port."""
    try:
        parts = urlsplit(text)
        has_port = parts.port is not None
    except ValueError:
        return False
    return parts.scheme == 'http' and has_port and is_ip(parts.hostname or '')


def create_range_rule(low: float, high: float) -> SettingRule:
    """Create a rule for numbers from ``low`` to ``high``, both included."""
    return SettingRule(
        f'a number from {low} to {high}',
        lambda number: low <= number <= high,
    )


def create_list_rule(
    allowed: str, is_allowed: Callable[[str], bool]
) -> SettingRule:
    """Create a rule for lists of which each entry is allowed.

    Args:
        allowed: Description of the allowed lists.
        is_allowed: Returns whether an entry is allowed.
    """
    return SettingRule(allowed, lambda entries: all(map(is_allowed, entries)))


PARSERS_BY_TYPE: Final[dict[type, tuple[Callable[[str], Any], str]]] = {
    str: (str, 'text'),
    int: (int, 'a whole number'),
    float: (float, 'a number'),
    bool: (parse_yes_or_no, 'yes or no'),
    tuple: (parse_list, 'a comma-separated list'),
}

_NAME_RULE = SettingRule('a name of up to 64 letters, digits, - and _', is_name)
_PORT_RULE = create_range_rule(0, 65_535)
_SHARE_RULE = create_range_rule(0, 1)

RULES_BY_SETTING: Final[dict[str, SettingRule]] = {
    'daemon.id': _NAME_RULE,
    'daemon.ip': SettingRule('an IP address', is_ip),
    'daemon.region': _NAME_RULE,
    'daemon.availability_zone': _NAME_RULE,
    'daemon.callers_port': _PORT_RULE,
    'daemon.peers_port': _PORT_RULE,
    'daemon.admin_port': _PORT_RULE,
    'daemon.gossip_port': _PORT_RULE,
    'daemon.known_peers': create_list_rule(
        'a list of IP:port (peers ports)', is_endpoint
    ),
    'daemon.drain_timeout_s': create_range_rule(1, 3600),
    'daemon.log_level': SettingRule(
        'debug, info or error',
        {'debug', 'info', 'error'}.__contains__,
    ),
    'backend_server.service': _NAME_RULE,
    'backend_server.url': SettingRule('http://IP:port', is_ip_url),
    'backend_server.slots': create_range_rule(1, 10_000),
    'backend_server.connections': create_range_rule(1, 100_000),
    'platform.urls': create_list_rule('a list of http://IP:port', is_ip_url),
    'platform.timeout_ms': create_range_rule(10, 60_000),
    'platform.calls_per_s': create_range_rule(1, 1000),
    'calls.max_in_flight': create_range_rule(1, 10_000),
    'calls.body_buffer_bytes': create_range_rule(1024, 16_777_216),
    'calls.max_body_bytes': create_range_rule(1024, 2**40),
    'calls.max_head_bytes': create_range_rule(1024, 1_048_576),
    'calls.default_deadline_ms': create_range_rule(1, 3_600_000),
    'calls.max_deadline_ms': create_range_rule(1, 3_600_000),
    'calls.retry_share': _SHARE_RULE,
    'calls.hedge_share': _SHARE_RULE,
    'calls.max_ejected_share': create_range_rule(0, 0.5),
    'bookings.era_s': create_range_rule(1, 86_400),
    'bookings.eras_kept': create_range_rule(1, 1000),
    'bookings.answer_bytes': create_range_rule(0, 1_048_576),
    'bookings.answers_bytes': create_range_rule(0, 2**30),
    'membership.probe_interval_ms': create_range_rule(20, 60_000),
    'membership.probe_timeout_ms': create_range_rule(5, 30_000),
    'membership.suspicion_factor': create_range_rule(1, 100),
    'membership.sync_interval_s': create_range_rule(1, 86_400),
    'membership.peer_probe_per_s': create_range_rule(0, 1000),
    'targets.confirm_within_s': create_range_rule(0.1, 3600),
    'targets.readers_per_zone': create_range_rule(1, 100),
    'targets.push_fanout': create_range_rule(1, 100),
    'targets.audit_records': create_range_rule(10, 1_000_000),
    'measuring.probe_cost_ms': create_range_rule(0.1, 10_000),
    'measuring.health_interval_ms': create_range_rule(10, 600_000),
}
