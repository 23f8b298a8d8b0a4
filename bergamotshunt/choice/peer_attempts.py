"""One attempt of a request at the daemon beside a backend server."""

from asyncio import get_running_loop
from http import HTTPStatus
from typing import Final, NamedTuple

from bergamotshunt.choice.server_records import ServerRecord
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.body_sending import send_body_until_response
from bergamotshunt.http.client_connection import (
    ClientConnection,
    NotSentError,
    Response,
    ResponseLostError,
)
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import encode_request_head
from bergamotshunt.peers.peer_calls import (
    RESULT_HEADER,
    SERVER_REFUSED,
    PeerCall,
    PeerResult,
    decode_result,
)
from bergamotshunt.platform.requests import peer_headers
from bergamotshunt.verdicts import Verdict

# Bodies up to this size are buffered. A buffered request can be sent again,
# and a buffered response is complete before the client receives a byte.
MAX_BUFFERED_BYTES: Final = 65_536
BYTES_PER_KIB: Final = 1024
RESULT_NAME: Final = RESULT_HEADER.lower()


class AttemptOutcome(NamedTuple):
    """How an attempt ended.

    Attributes:
        verdict: Whether the request may have run.
        reason: Why there is no response of the server; empty if there is.
        response: Response of the server; its body yields the rest.
        content: Bytes of the body that were read so far.
        is_complete: Whether these are all bytes of the body.
        result: Result that the daemon beside the server reported.
        connection: Connection over which the rest of the body arrives.
        retry_after_ms: Time until a slot is expected to be free, in
            milliseconds; 0 when unknown.
    """

    verdict: Verdict
    reason: str = ''
    response: Response | None = None
    content: bytes = b''
    is_complete: bool = True
    result: PeerResult | None = None
    connection: ClientConnection | None = None
    retry_after_ms: float = 0

    @property
    def size_kib(self) -> float:
        """Size of the response's body in KiB, as far as it is known."""
        stated = self.response.head.length if self.response else None
        return (stated or len(self.content)) / BYTES_PER_KIB

    @property
    def may_have_arrived(self) -> bool:
        """Whether the request may have reached the server.

        A refusal by the server itself shows that it did.
        """
        if self.verdict is not Verdict.NOT_RUN:
            return True
        return self.reason == SERVER_REFUSED

    @property
    def failed(self) -> bool:
        """Whether there is no response, or one of a failing server."""
        if self.response is None:
            return True
        return self.response.head.status >= HTTPStatus.INTERNAL_SERVER_ERROR


async def send_attempt(
    server: ServerRecord,
    exchange: Exchange,
    call: PeerCall,
    body: bytes | None,
) -> AttemptOutcome:
    """Send a request to the daemon beside a server.

    Args:
        server: The server.
        exchange: The client's request.
        call: Metadata of the request for the daemon beside the server.
        body: Body of the request; None when it is still arriving.

    Returns:
        The response, or the reason why there is none, with the verdict.
    """
    loop = get_running_loop()
    server.record_start(loop.time())
    try:
        connection = await server.pool.acquire()
        return await _exchange(server, connection, exchange, call, body)
    except NotSentError as error:
        server.record_unreachable(loop.time())
        return AttemptOutcome(Verdict.NOT_RUN, f'unreachable: {error}')
    except (ResponseLostError, IncompleteBodyError) as error:
        server.record_result(loop.time(), failed=True)
        return AttemptOutcome(Verdict.MAY_HAVE_RUN, f'answer-lost: {error}')
    finally:
        server.record_end()


async def _exchange(
    server: ServerRecord,
    connection: ClientConnection,
    exchange: Exchange,
    call: PeerCall,
    body: bytes | None,
) -> AttemptOutcome:
    try:
        response = await _send(connection, exchange, call, body)
        return await _read(server, connection, response)
    except BaseException:
        connection.close()
        raise


async def _read(
    server: ServerRecord,
    connection: ClientConnection,
    response: Response,
) -> AttemptOutcome:
    result = decode_result(response.head.by_name.get(RESULT_NAME, b''))
    if result is None:
        raise ResponseLostError(
            'the response of the daemon beside the server has no valid'
            f' {RESULT_HEADER.decode()} header',
        )
    server.apply_report(result.load, get_running_loop().time())
    content = await response.body.read_up_to(MAX_BUFFERED_BYTES)
    is_complete = response.body.at_end
    if is_complete:
        server.pool.release(connection)
    if result.verdict is not Verdict.RAN:
        if not is_complete:
            connection.close()
        return AttemptOutcome(
            result.verdict,
            result.reason,
            result=result,
            retry_after_ms=result.retry_after_ms,
        )
    return AttemptOutcome(
        Verdict.RAN,
        response=response,
        content=content,
        is_complete=is_complete,
        result=result,
        connection=None if is_complete else connection,
    )


async def _send(
    connection: ClientConnection,
    exchange: Exchange,
    call: PeerCall,
    body: bytes | None,
) -> Response:
    head = exchange.head
    length = head.length if body is None else len(body)
    content = encode_request_head(
        head.method,
        head.target,
        peer_headers(head, call),
        length,
    )
    pending_response = connection.send_request(
        content + (body or b''),
        whole=body is not None,
        bodyless=head.method == b'HEAD',
    )
    if body is not None:
        return await pending_response
    return await send_body_until_response(
        connection,
        exchange.body,
        pending_response,
        chunked=length is None,
    )
