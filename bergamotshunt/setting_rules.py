"""Rules for single settings: how each is parsed and what is allowed."""

from collections.abc import Callable
from ipaddress import ip_address
from re import fullmatch
from typing import Any, Final, NamedTuple
from urllib.parse import urlsplit


class BadSetting(NamedTuple):
    """A value that is not allowed.

    Attributes:
        section: Section of the INI file, or empty for the whole file.
        key: Key, or empty for the whole section.
        text: The value as it was written.
        allowed: What is allowed, in words.
    """

    section: str
    key: str
    text: str
    allowed: str

    def __str__(self) -> str:
        """Return one line for the operator."""
        if not self.section:
            return f'{self.text}: wanted is {self.allowed}'
        place = f'[{self.section}] {self.key}'.strip()
        return f'{place} = {self.text!r}: allowed is {self.allowed}'


class Limit(NamedTuple):
    """What is allowed for one setting; ``check`` None allows all."""

    allowed: str
    check: Callable[[Any], bool] | None


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no``.

    Raises:
        ValueError: Neither of both.
    """
    if text not in {'yes', 'no'}:
        raise ValueError(text)
    return text == 'yes'


def parse_list(text: str) -> tuple[str, ...]:
    """Parse a list with commas; blanks and empty entries are dropped."""
    entries = (entry.strip() for entry in text.split(','))
    return tuple(entry for entry in entries if entry)


def is_ip(text: str) -> bool:
    """Return whether the text is an IP number."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def is_name(text: str) -> bool:
    """Return whether the text is a name of letters, digits, ``-`` and ``_``."""
    return fullmatch(r'[A-Za-z0-9_-]{1,64}', text) is not None


def is_endpoint(text: str) -> bool:
    """Return whether the text is ``IP:port``."""
    ip, _, port = text.rpartition(':')
    return is_ip(ip.strip('[]')) and port.isdecimal() and 0 < int(port) < 2**16


def is_ip_url(text: str) -> bool:
    """Return whether the text is an HTTP URL of an IP number and a port."""
    try:
        parts = urlsplit(text)
        has_port = parts.port is not None
    except ValueError:
        return False
    return parts.scheme == 'http' and has_port and is_ip(parts.hostname or '')


def between(low: float, high: float) -> Limit:
    """Allow numbers from ``low`` to ``high``."""
    return Limit(
        f'a number from {low} to {high}',
        lambda number: low <= number <= high,
    )


def all_of(allowed: str, check: Callable[[str], bool]) -> Limit:
    """Allow lists in which each entry passes the check."""
    return Limit(allowed, lambda entries: all(map(check, entries)))


PARSERS: Final[dict[type, tuple[Callable[[str], Any], str]]] = {
    str: (str, 'text'),
    int: (int, 'a whole number'),
    float: (float, 'a number'),
    bool: (parse_flag, 'yes or no'),
    tuple: (parse_list, 'a list with commas'),
}

_NAME = Limit('a name of up to 64 letters, digits, - and _', is_name)
_PORT = between(0, 65_535)
_SHARE = between(0, 1)

LIMITS: Final[dict[str, Limit]] = {
    'daemon.id': _NAME,
    'daemon.ip': Limit('an IP number', is_ip),
    'daemon.region': _NAME,
    'daemon.availability_zone': _NAME,
    'daemon.callers_port': _PORT,
    'daemon.peers_port': _PORT,
    'daemon.admin_port': _PORT,
    'daemon.gossip_port': _PORT,
    'daemon.known_peers': all_of(
        'a list of IP:port (peers ports)', is_endpoint
    ),
    'daemon.drain_timeout_s': between(1, 3600),
    'daemon.log_level': Limit(
        'debug, info or error',
        {'debug', 'info', 'error'}.__contains__,
    ),
    'backend_server.service': _NAME,
    'backend_server.url': Limit('http://IP:port', is_ip_url),
    'backend_server.slots': between(1, 10_000),
    'backend_server.connections': between(1, 100_000),
    'platform.urls': all_of('a list of http://IP:port', is_ip_url),
    'platform.timeout_ms': between(10, 60_000),
    'platform.calls_per_s': between(1, 1000),
    'calls.max_in_flight': between(1, 10_000),
    'calls.body_buffer_bytes': between(1024, 16_777_216),
    'calls.max_body_bytes': between(1024, 2**40),
    'calls.max_head_bytes': between(1024, 1_048_576),
    'calls.default_deadline_ms': between(1, 3_600_000),
    'calls.max_deadline_ms': between(1, 3_600_000),
    'calls.retry_share': _SHARE,
    'calls.hedge_share': _SHARE,
    'calls.max_ejected_share': between(0, 0.5),
    'bookings.era_s': between(1, 86_400),
    'bookings.eras_kept': between(1, 1000),
    'bookings.answer_bytes': between(0, 1_048_576),
    'bookings.answers_bytes': between(0, 2**30),
    'membership.probe_interval_ms': between(20, 60_000),
    'membership.probe_timeout_ms': between(5, 30_000),
    'membership.suspicion_factor': between(1, 100),
    'membership.sync_interval_s': between(1, 86_400),
    'membership.peer_probe_per_s': between(0, 1000),
    'targets.confirm_within_s': between(0.1, 3600),
    'targets.readers_per_zone': between(1, 100),
    'targets.push_fanout': between(1, 100),
    'targets.audit_records': between(10, 1_000_000),
    'measuring.probe_cost_ms': between(0.1, 10_000),
    'measuring.health_interval_ms': between(10, 600_000),
}
