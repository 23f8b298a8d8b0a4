"""What backend servers say of themselves, and the daemons' entries."""

from typing import Any, Final

from msgspec import DecodeError, MsgspecError
from msgspec.json import decode, encode

from bergamotshunt.mesh_settings import MeshSettings
from bergamotshunt.routing import ServerEntry, ServerState

PATH: Final = '/-/instances/'
READY_PATH: Final = '/-/readyz'
ENTRY_PREFIX: Final = 'bergamotshunt/servers/'
ACKNOWLEDGED: Final = b'{}'

# The platform's word for a server that is about to leave.
STATES_BY_WORD: Final = {
    'ready': ServerState.READY,
    'draining': ServerState.LEAVING,
}


UNREADABLE: Final = (
    DecodeError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
)


class AnnouncementError(ValueError):
    """An announcement or an entry that cannot be read."""


def decode_announcement(
    instance: str,
    body: bytes,
    settings: MeshSettings,
) -> ServerEntry:
    """Decode a heartbeat of the backend server on this host.

    Raises:
        AnnouncementError: A field is missing or has a wrong type.
    """
    try:
        fields = decode(body)
        return ServerEntry(
            instance=instance,
            # "born" is the start of this lifetime, not of the identity.
            born_ms=_whole(fields.get('born', 0)),
            sequence=_whole(fields['seq']),
            service=_text(fields['service']),
            zone=_text(fields['zone']),
            ip=settings.ip,
            inbound_port=settings.inbound.port,
            slots=_whole(fields['slots']),
            state=STATES_BY_WORD[fields['state']],
            cold_ms=float(fields.get('cold_left_ms', 0)),
        )
    except UNREADABLE as error:
        raise AnnouncementError(repr(error)) from error


def decode_entry(content: bytes) -> ServerEntry:
    """Decode an entry that a daemon wrote to the store.

    Raises:
        AnnouncementError: Another writer's entry, or damaged bytes.
    """
    try:
        return decode(content, type=ServerEntry)
    except MsgspecError as error:
        raise AnnouncementError(str(error)) from error


def encode_entry(entry: ServerEntry) -> bytes:
    """Encode an entry for the store."""
    return encode(entry)


def entry_key(ip: str) -> str:
    """Return the key of the entry of a host's backend server."""
    return ENTRY_PREFIX + ip


def _whole(number: Any) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'{number!r} is no whole number')
    return number


def _text(text: Any) -> str:
    if not isinstance(text, str) or not text:
        raise TypeError(f'{text!r} is no text')
    return text
