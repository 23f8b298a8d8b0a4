"""Requests of clients and responses of backend servers on the wire."""

from http import HTTPStatus
from typing import Final, NamedTuple

from bergamotshunt.backend.loads import USUAL_PACE
from bergamotshunt.http.heads import (
    ResponseHead,
    Header,
    RequestHead,
    end_to_end_headers,
)
from bergamotshunt.peers.peer_calls import (
    CALL_HEADER,
    RESULT_HEADER,
    PeerCall,
    encode_call,
)
from bergamotshunt.platform.names import (
    CALLER_SERVICE,
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_LOAD,
    SIGNATURE,
    TARGET_INSTANCE,
    TIMEOUT_MS,
)

# The fourth figure of a server's load is in percent of the usual time.
PACE_UNIT: Final = 100.0
PACE_POSITION: Final = 3

# Headers that only the system sets.
OWN_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        TIMEOUT_MS,
        TARGET_INSTANCE,
        CALLER_SERVICE,
        CALL_HEADER,
        RESULT_HEADER,
    )
)
RESULT_NAMES: Final = frozenset((RESULT_HEADER.lower(), CALL_HEADER.lower()))


class ClientCall(NamedTuple):
    """What a client says of its request.

    Attributes:
        request_id: Identity of the client's attempt; empty when missing.
        host: Host without its port; empty when missing.
        path: Path with its query.
        patience_ms: How long the client waits; None when not stated.
    """

    request_id: str
    host: str
    path: str
    patience_ms: float | None


class ServerSaid(NamedTuple):
    """What a backend server says beside its response.

    Attributes:
        refused: It states that the request did not run.
        misdirected: Another server answers at this address.
        request_id: Identity of the request it answers; empty if missing.
        instance: Its lifetime, where it states it.
        signed: Whether the response bears the server's signature.
        pace: How long work takes now; None when it does not say.
        healthy: Whether its status is one of success.
    """

    refused: bool
    misdirected: bool
    request_id: str
    instance: str
    signed: bool
    pace: float | None
    healthy: bool


def read_client_call(head: RequestHead) -> ClientCall:
    """Read what a client says of its request."""
    by_name = head.by_name
    patience = by_name.get(TIMEOUT_MS.lower(), b'')
    host = by_name.get(b'host', b'').decode('latin-1')
    return ClientCall(
        request_id=by_name.get(REQUEST_ID.lower(), b'').decode('latin-1'),
        host=host.partition(':')[0],
        path=head.target.decode('latin-1'),
        patience_ms=float(patience) if patience.isdigit() else None,
    )


def parent_id(request_id: str) -> str:
    """Return the identity of the request that may have made this call.

    A server that calls others builds the identity of a call from that of
    the request that it runs, a dot and a suffix.
    """
    return request_id.rpartition('.')[0]


def peer_headers(head: RequestHead, call: PeerCall) -> list[Header]:
    """Return the headers for the daemon beside the server."""
    headers = [
        header
        for header in end_to_end_headers(head)
        if header[0].lower() not in OWN_HEADERS
    ]
    headers.append((CALL_HEADER, encode_call(call)))
    return headers


def server_headers(
    head: RequestHead,
    call: PeerCall,
    left_ms: float,
) -> list[Header]:
    """Return the headers for the backend server.

    Args:
        head: Head that the other daemon sent.
        call: What that daemon says of the request.
        left_ms: Time until the final response is due.
    """
    headers = [
        header
        for header in end_to_end_headers(head)
        if header[0].lower() not in OWN_HEADERS
    ]
    headers.append((TIMEOUT_MS, b'%d' % max(int(left_ms), 1)))
    headers.append((TARGET_INSTANCE, call.instance.encode('latin-1')))
    headers.append((CALLER_SERVICE, call.caller.encode('latin-1')))
    return headers


def client_headers(head: ResponseHead) -> list[Header]:
    """Return the headers of a response for the client."""
    return [
        header
        for header in end_to_end_headers(head)
        if header[0].lower() not in RESULT_NAMES
    ]


def read_server_response(head: ResponseHead) -> ServerSaid:
    """Read what a backend server says beside its response."""
    by_name = head.by_name
    misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
    return ServerSaid(
        refused=misdirected or NOT_EXECUTED.lower() in by_name,
        misdirected=misdirected,
        request_id=by_name.get(REQUEST_ID.lower(), b'').decode('latin-1'),
        instance=by_name.get(INSTANCE_ID.lower(), b'').decode('latin-1'),
        signed=SIGNATURE.lower() in by_name,
        pace=_read_pace(by_name.get(SERVER_LOAD.lower(), b'')),
        healthy=head.status == HTTPStatus.OK,
    )


def _read_pace(figures: bytes) -> float | None:
    parts = figures.split(b',')
    if len(parts) <= PACE_POSITION:
        return USUAL_PACE if figures else None
    try:
        return float(parts[PACE_POSITION]) / PACE_UNIT
    except ValueError:
        return None
