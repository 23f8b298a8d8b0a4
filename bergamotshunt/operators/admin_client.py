"""Client of the administration API, for the command line."""

from asyncio import run
from os import environ
from pathlib import Path
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode
from returns.result import Failure, Result, Success

from bergamotshunt.http.transport import HttpClient, HttpRequest
from bergamotshunt.verdicts import Verdict

TOKEN_ENV_VAR: Final = 'BERGAMOTSHUNT_TOKEN'
# Longer than the 30 s after which a daemon reports the outcome of a
# submission as unknown.
REQUEST_TIMEOUT_MS: Final = 40_000
# Every attempt carries the same submission id, so that a change is applied
# at most once.
MAX_ATTEMPTS: Final = 3
MIN_ERROR_STATUS: Final = 400
EXIT_FAILED: Final = 1
EXIT_BAD_INPUT: Final = 2
# Statuses of an invalid request: the operator has to correct the input.
BAD_INPUT_STATUSES: Final = frozenset((400, 401, 413, 422, 428, 431))


class CommandError(Exception):
    """A command failed.

    Args:
        message: What failed and what to do, for the operator.
        exit_code: Exit code of the process.
    """

    def __init__(self, message: str, exit_code: int) -> None:
        """Create the error."""
        super().__init__(message)
        self.exit_code = exit_code


class AdminEndpoint(NamedTuple):
    """Address of a daemon's admin port and the credentials for it.

    Attributes:
        url: URL of the admin port, ``http://IP:PORT``.
        token_file: File with the operator's token; None to read it from the
            environment variable ``BERGAMOTSHUNT_TOKEN``.
    """

    url: str
    token_file: Path | None


class AdminResponse(NamedTuple):
    """Response of the administration API.

    Attributes:
        status: HTTP status.
        document: Decoded JSON body.
    """

    status: int
    document: dict[str, Any]


def read_token(token_file: Path | None) -> str:
    """Return the operator's token from the file or the environment.

    Raises:
        CommandError: The file cannot be read, or there is no token.
    """
    if token_file is None:
        token = environ.get(TOKEN_ENV_VAR, '')
    else:
        try:
            token = token_file.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            raise CommandError(
                f'cannot read the token file {token_file}: {error}',
                EXIT_BAD_INPUT,
            ) from error
    if token.strip():
        return token.strip()
    raise CommandError(
        f'no operator token: pass --token-file or set {TOKEN_ENV_VAR}',
        EXIT_BAD_INPUT,
    )


def call_admin(
    endpoint: AdminEndpoint,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> AdminResponse:
    """Send a request; retry it while its outcome is unknown.

    Args:
        endpoint: Admin port and credentials.
        method: HTTP method.
        path: Percent-encoded path with query string.
        headers: Headers besides the authorization.
        body: The complete body.

    Returns:
        The response, with a status below 400.

    Raises:
        CommandError: The URL or the token is missing or invalid, no attempt
            had a known outcome, or the daemon rejected the request.
    """
    url = endpoint.url.rstrip('/') + path
    if not url.startswith('http://'):
        raise CommandError(
            f'invalid --admin {endpoint.url!r}: expected http://IP:PORT',
            EXIT_BAD_INPUT,
        )
    token = read_token(endpoint.token_file)
    request = HttpRequest(
        method,
        url,
        {'authorization': f'Bearer {token}', **(headers or {})},
        body,
        REQUEST_TIMEOUT_MS,
    )
    response = run(send_until_outcome_known(request))
    if response.status >= MIN_ERROR_STATUS:
        raise CommandError(
            describe_problem(response),
            EXIT_BAD_INPUT
            if response.status in BAD_INPUT_STATUSES
            else EXIT_FAILED,
        )
    return response


async def send_until_outcome_known(request: HttpRequest) -> AdminResponse:
    """Send a request; retry it while it may or may not have been executed.

    Raises:
        CommandError: No attempt had a known outcome.
    """
    http_client = HttpClient(1)
    try:
        for _ in range(MAX_ATTEMPTS):
            outcome = await send_once(http_client, request)
            if isinstance(outcome, Success):
                return outcome.unwrap()
    finally:
        await http_client.close()
    raise CommandError(
        f'{outcome.failure()}; check --admin, then run the same command again',
        EXIT_FAILED,
    )


async def send_once(
    http_client: HttpClient,
    request: HttpRequest,
) -> Result[AdminResponse, str]:
    """Send a request once.

    Returns:
        The response, or a description of why the outcome is unknown.
    """
    outcome = await http_client.send(request)
    if not isinstance(outcome, Success):
        if outcome.failure().verdict is Verdict.NOT_RUN:
            return Failure(f'cannot connect to {request.url}')
        return Failure(outcome.failure().detail)
    http_response = outcome.unwrap()
    try:
        document = decode(http_response.body)
    except DecodeError:
        document = None
    if not isinstance(document, dict):
        return Failure(
            f'{request.url} responded with status {http_response.status} '
            'and without a JSON object; expected the admin port of a daemon',
        )
    response = AdminResponse(http_response.status, document)
    if is_outcome_unknown(response):
        return Failure(describe_problem(response))
    return Success(response)


def is_outcome_unknown(response: AdminResponse) -> bool:
    """Return whether the request may have been executed."""
    return response.document.get('verdict') == Verdict.MAY_HAVE_RUN.value


def describe_problem(response: AdminResponse) -> str:
    """Return a problem document as text: its detail, then a line per error."""
    document = response.document
    lines = [str(document.get('detail', f'status {response.status}'))]
    lines += [
        f'{error["field"]}: {error["detail"]}'
        for error in document.get('errors', ())
    ]
    return '\n'.join(lines)
