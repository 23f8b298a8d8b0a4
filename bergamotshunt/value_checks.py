"""Checks of single values that other writers produced.

Each returns the value, or raises ``ValueError`` that states the name, the
value and what is allowed.
"""

from ipaddress import IPv4Address
from reprlib import repr as short_repr
from typing import Any, Final

NUMBER_TYPES: Final = (float, int)
MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 65_536
# Decoders that use floating-point numbers are exact up to this integer.
MAX_INTEGER: Final = 2**53
# About 116 days; timers and sums of such times cannot overflow.
MAX_DURATION_MS: Final = 1e10
# Slowdown factor of work on a server.
MAX_PACE: Final = 1e4
MAX_TEXT_CHARACTERS: Final = 1024
LAST_HEADER_CHARACTER: Final = '\xff'


def check_integer(
    name: str,
    number: Any,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
) -> int:
    """Check an integer between two bounds, both included.

    Raises:
        ValueError: It is no integer, or out of range.
    """
    is_integer = isinstance(number, int) and not isinstance(number, bool)
    if not is_integer or not minimum <= number <= maximum:
        raise ValueError(
            f'{name} = {short_repr(number)}: '
            f'expected an integer from {minimum} to {maximum}'
        )
    return int(number)


def check_number(
    name: str,
    number: Any,
    minimum: float = 0,
    maximum: float = MAX_DURATION_MS,
) -> float:
    """Check a number between two finite bounds, both included.

    Raises:
        ValueError: It is no number, or out of range.
    """
    is_number = isinstance(number, NUMBER_TYPES)
    # Each comparison with NaN is false.
    if (
        not is_number
        or isinstance(number, bool)
        or not minimum <= number <= maximum
    ):
        raise ValueError(
            f'{name} = {short_repr(number)}: '
            f'expected a number from {minimum:g} to {maximum:g}'
        )
    return float(number)


def check_port(name: str, port: Any) -> int:
    """Check the number of a port.

    Raises:
        ValueError: It is no port.
    """
    return check_integer(name, port, 1, MAX_PORT)


def check_ipv4(name: str, text: Any) -> str:
    """Check the IPv4 address of a host.

    Raises:
        ValueError: It is no IPv4 address, or one that is not of a host.
    """
    if not isinstance(text, str) or not _is_host_address(text):
        raise ValueError(
            f'{name} = {short_repr(text)}: expected the IPv4 address of a host'
        )
    return text


def check_string(name: str, text: Any) -> str:
    """Check that a value is a text, which may be empty.

    Raises:
        ValueError: It is no text.
    """
    if not isinstance(text, str):
        raise ValueError(f'{name} = {short_repr(text)}: expected a text')
    return text


def check_text(name: str, text: Any) -> str:
    """Check a text of one line that must not be empty.

    Raises:
        ValueError: It is no text, empty, too long or not printable.
    """
    is_text = isinstance(text, str) and text.isprintable()
    if not is_text or not 1 <= len(text) <= MAX_TEXT_CHARACTERS:
        raise ValueError(
            f'{name} = {short_repr(text)}: expected 1 to '
            f'{MAX_TEXT_CHARACTERS} printable characters'
        )
    return str(text)


def check_path(name: str, text: Any) -> str:
    """Check the path of a request, or the start of one.

    Raises:
        ValueError: It does not start with a slash, or has spaces, control
            characters or characters beyond ASCII.
    """
    check_text(name, text)
    if not text.startswith('/') or not text.isascii() or ' ' in text:
        raise ValueError(
            f'{name} = {short_repr(text)}: expected an ASCII path without '
            'spaces that starts with "/"'
        )
    return str(text)


def check_header_text(name: str, text: Any) -> str:
    """Check a text that is sent in a header.

    Raises:
        ValueError: ``check_text`` raises it, or the text has characters
            beyond ISO 8859-1.
    """
    check_text(name, text)
    if not text.isascii() and max(text) > LAST_HEADER_CHARACTER:
        raise ValueError(
            f'{name} = {short_repr(text)}: expected ISO 8859-1 characters'
        )
    return str(text)


def _is_host_address(text: str) -> bool:
    try:
        address = IPv4Address(text)
    except ValueError:
        return False
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )
