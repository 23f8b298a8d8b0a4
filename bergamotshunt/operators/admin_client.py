"""Client of the administration API, for the command line."""

from asyncio import run
from os import environ
from pathlib import Path
from typing import Any, Final, NamedTuple

from msgspec import DecodeError
from msgspec.json import decode
from returns.result import Failure, Result, Success

from bergamotshunt.http.transport import HttpRequest, HttpClient
from bergamotshunt.verdicts import Verdict

TOKEN_VARIABLE: Final = 'BERGAMOTSHUNT_TOKEN'
TIMEOUT_MS: Final = 40_000
# Repeats carry the same submission id, so a change is not made twice.
ATTEMPTS: Final = 3
ERROR_STATUS: Final = 400
EXIT_FAILED: Final = 1
EXIT_BAD_INPUT: Final = 2
# The request itself has to be corrected; nothing is wrong with the system.
INPUT_STATUSES: Final = frozenset((400, 401, 413, 422, 428, 431))


class CommandError(Exception):
    """A command that failed.

    Args:
        line: One line that says what to do.
        exit_code: Exit code of the process.
    """

    def __init__(self, line: str, exit_code: int) -> None:
        """Keep the line and the exit code."""
        super().__init__(line)
        self.exit_code = exit_code


class Connection(NamedTuple):
    """Where and as whom a command talks to a daemon.

    Attributes:
        admin: URL of a daemon's admin port.
        token_file: File with the token; the environment variable
            ``BERGAMOTSHUNT_TOKEN`` is used without one.
    """

    admin: str
    token_file: Path | None


class AdminResponse(NamedTuple):
    """Response of the administration API."""

    status: int
    document: dict[str, Any]


def read_token(token_file: Path | None) -> str:
    """Read the operator's token.

    Raises:
        CommandError: There is none.
    """
    if token_file is None:
        token = environ.get(TOKEN_VARIABLE, '')
    else:
        try:
            token = token_file.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            raise CommandError(
                f'the token file cannot be read: {error}',
                EXIT_BAD_INPUT,
            ) from error
    if token.strip():
        return token.strip()
    raise CommandError(
        f'no token: state --token-file or set {TOKEN_VARIABLE}',
        EXIT_BAD_INPUT,
    )


def call_admin(
    connection: Connection,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> AdminResponse:
    """Send one request; repeat it while its outcome is unknown.

    Raises:
        CommandError: No daemon answered, or it refused the request.
    """
    url = connection.admin.rstrip('/') + path
    if not url.startswith('http://'):
        raise CommandError(
            f'--admin {connection.admin!r} must be http://IP:PORT',
            EXIT_BAD_INPUT,
        )
    token = read_token(connection.token_file)
    request = HttpRequest(
        method,
        url,
        {'authorization': f'Bearer {token}', **(headers or {})},
        body,
        TIMEOUT_MS,
    )
    response = run(send_until_known(request))
    if response.status >= ERROR_STATUS:
        raise CommandError(
            describe_problem(response),
            EXIT_BAD_INPUT
            if response.status in INPUT_STATUSES
            else EXIT_FAILED,
        )
    return response


async def send_until_known(request: HttpRequest) -> AdminResponse:
    """Send a request, again while it may or may not have run.

    Raises:
        CommandError: No daemon answered.
    """
    sender = HttpClient(1)
    try:
        for _ in range(ATTEMPTS):
            outcome = await send_once(sender, request)
            if isinstance(outcome, Success):
                return outcome.unwrap()
    finally:
        await sender.close()
    raise CommandError(
        f'{outcome.failure()}; check --admin, then run the same command again',
        EXIT_FAILED,
    )


async def send_once(
    sender: HttpClient,
    request: HttpRequest,
) -> Result[AdminResponse, str]:
    """Send a request once.

    Returns:
        The response, or why the outcome is not known.
    """
    outcome = await sender.send(request)
    if not isinstance(outcome, Success):
        if outcome.failure().verdict is Verdict.NOT_RUN:
            return Failure(f'nothing listens at {request.url}')
        return Failure(outcome.failure().detail)
    whole = outcome.unwrap()
    try:
        document = decode(whole.body)
    except DecodeError:
        document = None
    if not isinstance(document, dict):
        return Failure(
            f'status {whole.status} without a JSON document; '
            'is this the admin port of a daemon?',
        )
    response = AdminResponse(whole.status, document)
    if is_unknown(response):
        return Failure(describe_problem(response))
    return Success(response)


def is_unknown(response: AdminResponse) -> bool:
    """Return whether the request may have run without a known outcome."""
    return response.document.get('verdict') == Verdict.MAY_HAVE_RUN.value


def describe_problem(response: AdminResponse) -> str:
    """Return one line for each error of a problem document."""
    document = response.document
    lines = [str(document.get('detail', f'status {response.status}'))]
    lines += [
        f'{error["field"]}: {error["detail"]}'
        for error in document.get('errors', ())
    ]
    return '\n'.join(lines)
