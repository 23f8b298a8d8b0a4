"""Announcements of backend servers, and the daemons' store entries."""

from reprlib import repr as short_repr
from typing import Any, Final

from msgspec.json import encode

from bergamotshunt.decoding import convert_malformed, decode_json
from bergamotshunt.mesh_settings import MeshSettings
from bergamotshunt.routing import (
    AnnouncedState,
    ServerEntry,
    check_server_entry,
)

ANNOUNCEMENT_PATH_PREFIX: Final = '/-/instances/'
READY_PATH: Final = '/-/readyz'
ENTRY_KEY_PREFIX: Final = 'bergamotshunt/servers/'
ACKNOWLEDGEMENT_BODY: Final = b'{}'

# The platform calls a server that is about to leave "draining".
STATE_BY_NAME: Final = {
    'ready': AnnouncedState.READY,
    'draining': AnnouncedState.LEAVING,
}


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
        AnnouncementError: A field is missing or has an invalid value.
    """
    with convert_malformed('malformed announcement', AnnouncementError):
        fields = decode_json(body, 'body')
        entry = ServerEntry(
            instance=instance,
            # "born" is the start of this incarnation, not the time at which
            # the instance id was created.
            born_ms=fields.get('born', 0),
            sequence=fields['seq'],
            service=fields['service'],
            zone=fields['zone'],
            ip=settings.ip,
            inbound_port=settings.inbound.port,
            slots=fields['slots'],
            state=_check_state(fields['state']),
            cold_ms=max(fields.get('cold_left_ms', 0), 0),
        )
        return check_server_entry(entry)


def decode_entry(content: bytes) -> ServerEntry:
    """Decode an entry that a daemon wrote to the store.

    Raises:
        AnnouncementError: The entry is malformed, or not of a daemon.
    """
    with convert_malformed('malformed entry', AnnouncementError):
        entry: ServerEntry = decode_json(content, 'value', ServerEntry)
        return check_server_entry(entry)


def encode_entry(entry: ServerEntry) -> bytes:
    """Encode an entry for the store."""
    return encode(entry)


def entry_key(ip: str) -> str:
    """Return the store key for the backend server of a host."""
    return ENTRY_KEY_PREFIX + ip


def _check_state(name: Any) -> AnnouncedState:
    if not isinstance(name, str) or name not in STATE_BY_NAME:
        expected = ' or '.join(map(repr, STATE_BY_NAME))
        raise ValueError(f'state = {short_repr(name)}: expected {expected}')
    return STATE_BY_NAME[name]
