"""Announcements of backend servers, and the daemons' store entries."""

from typing import Any, Final

from msgspec import DecodeError, MsgspecError
from msgspec.json import decode, encode

from bergamotshunt.mesh_settings import MeshSettings
from bergamotshunt.routing import AnnouncedState, ServerEntry

ANNOUNCEMENT_PATH_PREFIX: Final = '/-/instances/'
READY_PATH: Final = '/-/readyz'
ENTRY_KEY_PREFIX: Final = 'bergamotshunt/servers/'
ACKNOWLEDGEMENT_BODY: Final = b'{}'

# The platform calls a server that is about to leave "draining".
STATE_BY_NAME: Final = {
    'ready': AnnouncedState.READY,
    'draining': AnnouncedState.LEAVING,
}


MALFORMED_ERRORS: Final = (
    DecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)


class AnnouncementError(ValueError):
    """An announcement or a store entry is malformed."""


def decode_announcement(
    instance: str,
    body: bytes,
    settings: MeshSettings,
) -> ServerEntry:
    """Decode a heartbeat of the backend server on this host.

    Args:
        instance: Instance id of the server, from the path of the request.
        body: Body of the request.
        settings: Settings of the daemon.

    Raises:
        AnnouncementError: A field is missing or has a wrong type.
    """
    try:
        fields = decode(body)
        return ServerEntry(
            instance=instance,
            # "born" is the start of this incarnation, not the time at which
            # the instance id was created.
            born_ms=_check_int('born', fields.get('born', 0)),
            sequence=_check_int('seq', fields['seq']),
            service=_check_text('service', fields['service']),
            zone=_check_text('zone', fields['zone']),
            ip=settings.ip,
            inbound_port=settings.inbound.port,
            slots=_check_int('slots', fields['slots']),
            state=_check_state(fields['state']),
            cold_ms=float(fields.get('cold_left_ms', 0)),
        )
    except MALFORMED_ERRORS as error:
        raise AnnouncementError(
            f'a field is missing or invalid: {error!r}'
        ) from error


def decode_entry(content: bytes) -> ServerEntry:
    """Decode an entry that a daemon wrote to the store.

    Raises:
        AnnouncementError: The entry is malformed, or not of a daemon.
    """
    try:
        return decode(content, type=ServerEntry)
    except MsgspecError as error:
        raise AnnouncementError(str(error)) from error


def encode_entry(entry: ServerEntry) -> bytes:
    """Encode an entry for the store."""
    return encode(entry)


def entry_key(ip: str) -> str:
    """Return the store key for the backend server of a host."""
    return ENTRY_KEY_PREFIX + ip


def _check_int(name: str, number: Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'{name} = {number!r}: expected an integer')
    return number


def _check_text(name: str, text: Any) -> str:
    if not isinstance(text, str) or not text:
        raise TypeError(f'{name} = {text!r}: expected a non-empty string')
    return text


def _check_state(name: Any) -> AnnouncedState:
    if name not in STATE_BY_NAME:
        expected = ' or '.join(map(repr, STATE_BY_NAME))
        raise ValueError(f'state = {name!r}: expected {expected}')
    return STATE_BY_NAME[name]
