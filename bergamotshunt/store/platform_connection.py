"""HTTP client of the store task for the platform's URLs."""

from asyncio import get_running_loop, timeout, timeout_at
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, Final, NamedTuple

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
)
from msgspec.json import encode
from returns.result import Failure, Result, Success

from bergamotshunt.decoding import convert_malformed, decode_json
from bergamotshunt.messages import StoreFailure
from bergamotshunt.settings import PlatformSettings
from bergamotshunt.store.store_codec import read_revision

MS_PER_S: Final = 1000
MAX_CONNECTIONS_PER_URL: Final = 16
CONTENT_TYPE: Final = {'content-type': 'application/json'}
NOT_SENT_ERRORS: Final = (ClientConnectorError, ConnectionTimeoutError)
RESPONSE_LOST_ERRORS: Final = (ClientError, TimeoutError, OSError, ValueError)


class PlatformError(NamedTuple):
    """A failed call to the platform.

    Attributes:
        failure: Failure to return to the requester.
        is_refusal: Whether the platform itself refused the call, which
            shows that it is up.
        code: gRPC status code of the refusal, or 0.
    """

    failure: StoreFailure
    is_refusal: bool = False
    code: int = 0


CallResult = Result[dict[str, Any], PlatformError]


class PlatformConnection:
    """Client of the platform's URLs; uses one URL until it fails.

    Args:
        settings: Section ``platform``.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        """Create the session; requires a running event loop."""
        self._settings = settings
        self._url_index = 0
        self._newest_revision = 0
        self._session = ClientSession(
            connector=TCPConnector(limit_per_host=MAX_CONNECTIONS_PER_URL),
            headers=CONTENT_TYPE,
        )
        # By default, aiohttp resends a call when a pooled connection was
        # closed, which could run it twice.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def call(
        self,
        path: str,
        body: dict[str, Any],
        writes: bool,
    ) -> CallResult:
        """Send a call; try the next URL as long as it cannot run twice.

        Args:
            path: URL path of the call.
            body: Request document.
            writes: Whether the call changes the platform's data.
        """
        timeout_s = self._settings.timeout_ms / MS_PER_S
        deadline_s = get_running_loop().time() + timeout_s
        outcome: CallResult = Failure(
            PlatformError(StoreFailure(False, 'platform.urls is empty')),
        )
        for _ in self._settings.urls:
            outcome = await self._call_url(path, body, writes, deadline_s)
            if not self._may_try_next(outcome):
                break
            self._url_index += 1
        return outcome

    async def watch(self, path: str, body: Any) -> AsyncIterator[Any]:
        """Start a watch and yield its messages until it ends.

        Raises:
            aiohttp.ClientError: The connection failed or was lost.
            ConnectionError: The platform did not start the watch in time.
            MalformedInputError: A message is no JSON object.
        """
        timeout_s = self._settings.timeout_ms / MS_PER_S
        try:
            # asyncio.wait_for of Python 3.11 may swallow a cancellation.
            async with timeout(timeout_s):
                response = await self._start_watch(path, body)
        except TimeoutError as error:
            raise ConnectionError(
                f'the platform did not start the watch within {timeout_s} s',
            ) from error
        try:
            async for line in response.content:
                message = decode_json(
                    line, 'message of a watch', dict[str, Any]
                )
                yield message.get('result', {})
        finally:
            response.close()

    def use_next_url(self) -> None:
        """Use the next URL from now on."""
        self._url_index += 1

    def _url(self, path: str) -> str:
        urls = self._settings.urls
        return urls[self._url_index % len(urls)] + path

    def _may_try_next(self, outcome: CallResult) -> bool:
        match outcome:
            case Failure(error):
                return not (error.is_refusal or error.failure.may_have_run)
        return False

    async def _call_url(
        self,
        path: str,
        body: dict[str, Any],
        writes: bool,
        deadline_s: float,
    ) -> CallResult:
        newest_before = self._newest_revision
        try:
            async with timeout_at(deadline_s):
                status, document = await self._exchange(path, body)
            revision = read_revision(document)
        except NOT_SENT_ERRORS as error:
            return create_failure(str(error), may_have_run=False)
        except RESPONSE_LOST_ERRORS as error:
            # A read without a response changed nothing.
            return create_failure(
                f'no usable response of the platform to {path} within '
                f'{self._settings.timeout_ms} ms: {error!r}',
                writes,
            )
        if status != HTTPStatus.OK:
            return read_refusal(status, document, writes)
        self._newest_revision = max(self._newest_revision, revision)
        if not writes and 0 < revision < newest_before:
            # From a replica that lags behind; the data may be outdated.
            return create_failure(
                f'stale response of the platform: revision {revision}, '
                f'expected {newest_before} or later',
                False,
            )
        return Success(document)

    async def _start_watch(self, path: str, body: Any) -> ClientResponse:
        response = await self._session.post(
            self._url(path),
            data=encode(body),
            timeout=ClientTimeout(total=None),
        )
        response.raise_for_status()
        return response

    async def _exchange(
        self,
        path: str,
        body: dict[str, Any],
    ) -> tuple[int, dict[str, Any]]:
        async with self._session.post(
            self._url(path),
            data=encode(body),
            allow_redirects=False,
        ) as response:
            content = await response.read()
            if response.status == HTTPStatus.OK or content.startswith(b'{'):
                return response.status, parse_response(content)
            return response.status, {}


def parse_response(content: bytes) -> dict[str, Any]:
    """Decode the document of a response.

    Raises:
        MalformedInputError: The content is no JSON object, or its error code
            is no number.
    """
    subject = 'response of the platform'
    document: dict[str, Any] = decode_json(content, subject, dict[str, Any])
    with convert_malformed(subject):
        document['code'] = int(document.get('code', 0))
    return document


def create_failure(detail: str, may_have_run: bool) -> CallResult:
    """Create the result of a call without a usable response."""
    return Failure(PlatformError(StoreFailure(may_have_run, detail)))


def read_refusal(
    status: int,
    document: dict[str, Any],
    writes: bool,
) -> CallResult:
    """Create the result of a call with an error status.

    Status 4xx means that the call was refused; with 5xx, a write may have
    been applied before the error occurred. Status 429 counts as a failed call
    and not as a refusal: the next URL is tried, and the circuit breaker counts
    the failure.
    """
    message = document.get('message', document.get('error', ''))
    is_server_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return Failure(
        PlatformError(
            StoreFailure(
                may_have_run=writes and is_server_error,
                detail=f'the platform returned status {status}: {message}',
            ),
            is_refusal=not is_server_error
            and status != HTTPStatus.TOO_MANY_REQUESTS,
            code=int(document.get('code', 0)),
        ),
    )
