"""HTTP client of the daemon: one request to one server, with a verdict."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from returns.result import Failure, Result, Success
from yarl import URL

from bergamotshunt.headers import CONTENT_LENGTH, HOP_BY_HOP, REQUEST_ID
from bergamotshunt.verdicts import (
    CallFailure,
    create_refusal,
    create_unknown_outcome,
)

MS_PER_S: Final = 1000
KEEP_ALIVE_S: Final = 60


class HttpRequest(NamedTuple):
    """One HTTP request to one server.

    Attributes:
        method: HTTP method.
        url: Base URL and path, already encoded.
        headers: Headers to send.
        body: The whole body.
        timeout_ms: Time until the whole answer has to be there.
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes
    timeout_ms: float


class HttpAnswer(NamedTuple):
    """Whole answer to a request, names of headers in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Sender:
    """Connections from one task to servers.

    A connection whose request was cancelled, timed out or cut short is
    closed and never used again.

    Args:
        connections_per_server: Most connections to one server.
    """

    def __init__(self, connections_per_server: int) -> None:
        """Create the session; a running event loop is needed."""
        self._session = ClientSession(
            connector=TCPConnector(
                limit=0,
                limit_per_host=connections_per_server,
                keepalive_timeout=KEEP_ALIVE_S,
                use_dns_cache=False,
            ),
            cookie_jar=DummyCookieJar(),
            auto_decompress=False,
            raise_for_status=False,
        )
        # aiohttp resends PUT and DELETE on a kept connection that the
        # server closed, which can run a booking twice.
        self._session._retry_connection = False

    async def send(
        self, request: HttpRequest
    ) -> Result[HttpAnswer, CallFailure]:
        """Send a request and read the whole answer.

        Returns:
            The answer, or a failure whose verdict tells whether the
            server may have run the request.
        """
        try:
            return Success(await self._exchange(request))
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return Failure(create_refusal('unreachable', str(error)))
        except TimeoutError:
            return Failure(
                create_unknown_outcome(
                    'timeout',
                    f'no whole answer within {request.timeout_ms:.0f} ms',
                    HTTPStatus.GATEWAY_TIMEOUT,
                ),
            )
        except (ClientError, OSError) as error:
            detail = f'{type(error).__name__}: {error}'
            return Failure(create_unknown_outcome('connection-lost', detail))

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(self, request: HttpRequest) -> HttpAnswer:
        async with self._session.request(
            request.method,
            URL(request.url, encoded=True),
            headers=request.headers,
            data=request.body,
            allow_redirects=False,
            timeout=ClientTimeout(total=request.timeout_ms / MS_PER_S),
            skip_auto_headers=('User-Agent', 'Content-Type', 'Accept'),
        ) as response:
            body = await response.read()
            headers = {
                name.lower(): text for name, text in response.headers.items()
            }
            return HttpAnswer(response.status, headers, body)


def check_request_id(
    answer: HttpAnswer,
    request_id: str,
) -> Result[HttpAnswer, CallFailure]:
    """Check that the answer belongs to the request."""
    if answer.headers.get(REQUEST_ID) == request_id:
        return Success(answer)
    return Failure(
        create_unknown_outcome(
            'foreign-answer',
            'the answer does not carry the id of this request',
        ),
    )


def end_to_end(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Drop hop-by-hop headers and the length."""
    return tuple(
        (name, text)
        for name, text in headers.items()
        if name not in HOP_BY_HOP and name != CONTENT_LENGTH
    )
