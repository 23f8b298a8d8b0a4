"""Headers of client requests and of backend server responses."""

from http import HTTPStatus
from typing import Final, NamedTuple

from bergamotshunt.api_keys import ApiKey
from bergamotshunt.backend.loads import BASELINE_PACE
from bergamotshunt.http.heads import (
    Header,
    RequestHead,
    ResponseHead,
    end_to_end_headers,
)
from bergamotshunt.peers.peer_calls import (
    CALL_HEADER,
    RESULT_HEADER,
    PeerCall,
    encode_call,
)

# Requests and responses have most headers of the platform.
from bergamotshunt.platform.names import (  # noqa: WPS235
    ACCOUNT,
    AUTHORIZATION,
    CALLER_SERVICE,
    COLD_REMAINING_MS,
    INSTANCE_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_LOAD,
    SIGNATURE,
    TARGET_INSTANCE,
    TIMEOUT_MS,
)
from bergamotshunt.value_checks import MAX_PACE, check_number

# The fourth value of the server's load header is the time that work takes
# now, in percent of the time at the baseline pace.
PACE_PERCENT: Final = 100.0
PACE_POSITION: Final = 3

# Headers that are dropped from incoming requests; the daemons set their own.
INTERNAL_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        TIMEOUT_MS,
        TARGET_INSTANCE,
        CALLER_SERVICE,
        ACCOUNT,
        CALL_HEADER,
        RESULT_HEADER,
    )
)
# Clients take these as a promise that the request did not run.
PROMISE_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
AUTHORIZATION_NAME: Final = AUTHORIZATION.lower()
BEARER_SCHEME: Final = b'bearer'
RESULT_HEADERS: Final = frozenset((RESULT_HEADER.lower(), CALL_HEADER.lower()))


class ClientRequestInfo(NamedTuple):
    """Routing data from the head of a client request.

    Attributes:
        request_id: Id of the client's attempt; empty when missing.
        host: Value of the Host header without port; empty when missing.
        path: Path with the query string.
        timeout_ms: Timeout of the client in milliseconds; None when not
            stated.
        key: API key of the client; None when not stated.
    """

    request_id: str
    host: str
    path: str
    timeout_ms: float | None
    key: ApiKey | None = None


class ServerResponseInfo(NamedTuple):
    """Data from the head of a backend server's response.

    Attributes:
        refused: Whether the server states that the request did not run.
        looks_refused: Whether clients take the status as such a statement.
        misdirected: Whether another server responds at this address.
        request_id: Id of the request it belongs to; empty when missing.
        instance: Instance id of the server; empty when missing.
        signed: Whether the response has the server's signature header.
        pace: Slowdown factor of work on the server now, 1 is the
            baseline; None when not stated.
        healthy: Whether the status is 200.
        cold_ms: Time for which the server is still cold, in milliseconds;
            None when not stated.
    """

    refused: bool
    looks_refused: bool
    misdirected: bool
    request_id: str
    instance: str
    signed: bool
    pace: float | None
    healthy: bool
    cold_ms: float | None = None


def read_client_request_info(head: RequestHead) -> ClientRequestInfo:
    """Parse the routing data of a client request."""
    by_name = head.by_name
    timeout_text = by_name.get(TIMEOUT_MS.lower(), b'')
    host = by_name.get(b'host', b'').decode('latin-1')
    return ClientRequestInfo(
        request_id=by_name.get(REQUEST_ID.lower(), b'').decode('latin-1'),
        host=host.partition(':')[0],
        path=head.target.decode('latin-1'),
        timeout_ms=float(timeout_text) if timeout_text.isdigit() else None,
        key=_read_key(by_name.get(AUTHORIZATION_NAME, b'')),
    )


def without_credentials(head: RequestHead) -> RequestHead:
    """Return a head without the API key of the client."""
    if AUTHORIZATION_NAME not in head.by_name:
        return head
    by_name = head.by_name.copy()
    by_name.pop(AUTHORIZATION_NAME)
    headers = tuple(
        header
        for header in head.headers
        if header[0].lower() != AUTHORIZATION_NAME
    )
    return head._replace(headers=headers, by_name=by_name)


def parent_id(request_id: str) -> str:
    """Return the id of the request that may have caused this one.

    A server that calls others builds the id of a call from the id of the
    request that it runs, a dot and a suffix.
    """
    return request_id.rpartition('.')[0]


def peer_headers(head: RequestHead, call: PeerCall) -> list[Header]:
    """Return the headers of a request to the daemon of the server."""
    headers = [
        header
        for header in end_to_end_headers(head)
        if header[0].lower() not in INTERNAL_HEADERS
    ]
    headers.append((CALL_HEADER, encode_call(call)))
    return headers


def server_headers(
    head: RequestHead,
    call: PeerCall,
    left_ms: float,
) -> list[Header]:
    """Return the headers of a request to the backend server.

    Args:
        head: Head of the request that the peer sent.
        call: Metadata of the request, from the peer.
        left_ms: Time until the response is due, in milliseconds.
    """
    headers = [
        header
        for header in end_to_end_headers(head)
        if header[0].lower() not in INTERNAL_HEADERS
    ]
    headers.append((TIMEOUT_MS, b'%d' % max(int(left_ms), 1)))
    headers.append((TARGET_INSTANCE, call.instance.encode('latin-1')))
    headers.append((CALLER_SERVICE, call.caller.encode('latin-1')))
    if call.account:
        headers.append((ACCOUNT, call.account.encode('latin-1')))
    return headers


def client_headers(head: ResponseHead) -> list[Header]:
    """Return the headers of a response to the client."""
    return [
        header
        for header in end_to_end_headers(head)
        if header[0].lower() not in RESULT_HEADERS
    ]


def read_server_response_info(head: ResponseHead) -> ServerResponseInfo:
    """Parse the head of a backend server's response."""
    by_name = head.by_name
    misdirected = head.status == HTTPStatus.MISDIRECTED_REQUEST
    return ServerResponseInfo(
        refused=misdirected or NOT_EXECUTED.lower() in by_name,
        looks_refused=head.status in PROMISE_STATUSES,
        misdirected=misdirected,
        request_id=by_name.get(REQUEST_ID.lower(), b'').decode('latin-1'),
        instance=by_name.get(INSTANCE_ID.lower(), b'').decode('latin-1'),
        signed=SIGNATURE.lower() in by_name,
        pace=_read_pace(by_name.get(SERVER_LOAD.lower(), b'')),
        healthy=head.status == HTTPStatus.OK,
        cold_ms=_read_duration(by_name.get(COLD_REMAINING_MS.lower(), b'')),
    )


def _read_key(authorization: bytes) -> ApiKey | None:
    scheme, _, key = authorization.partition(b' ')
    key = key.strip()
    if not key or scheme.lower() != BEARER_SCHEME:
        return None
    return ApiKey(key.decode('latin-1'))


def _read_duration(text: bytes) -> float | None:
    try:
        return check_number('duration', float(text))
    except ValueError:
        return None


def _read_pace(load_header: bytes) -> float | None:
    parts = load_header.split(b',')
    if len(parts) <= PACE_POSITION:
        return BASELINE_PACE if load_header else None
    try:
        pace = float(parts[PACE_POSITION]) / PACE_PERCENT
        return check_number('pace', pace, maximum=MAX_PACE)
    except ValueError:
        return None
