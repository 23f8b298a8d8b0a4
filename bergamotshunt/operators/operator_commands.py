"""Commands for operators: ``targets`` and ``status``."""

from collections.abc import Callable
from functools import wraps
from hashlib import sha256
from pathlib import Path
from typing import Annotated, Any, Final, ParamSpec
from urllib.parse import quote

from cyclopts import App, Parameter
from msgspec import DecodeError
from msgspec.json import decode, encode
from msgspec.json import format as format_json
from rich.console import Console

from bergamotshunt.operators.admin_client import (
    EXIT_BAD_INPUT,
    AdminEndpoint,
    CommandError,
    call_admin,
)
from bergamotshunt.operators.operator_tables import (
    create_history_table,
    create_service_table,
    create_services_table,
    create_status_tables,
)

EXIT_OK: Final = 0
SUBMISSION_ID_LENGTH: Final = 32
TARGETS_PATH: Final = '/v1/targets'
REVISION_KEY: Final = 'revision'

Arguments = ParamSpec('Arguments')
AdminUrl = Annotated[
    str,
    Parameter(
        env_var='BERGAMOTSHUNT_ADMIN',
        help='Admin port of any daemon, http://IP:PORT.',
    ),
]
TokenFile = Annotated[
    Path | None,
    Parameter(
        help="File with the operator's token; without it the environment "
        'variable BERGAMOTSHUNT_TOKEN is used.',
    ),
]

targets_app: Final = App(
    name='targets',
    help="Show and change the operators' targets.",
)


def with_exit_code(
    command: Callable[Arguments, None],
) -> Callable[Arguments, int]:
    """Print a ``CommandError`` without a traceback; return its exit code."""

    @wraps(command)
    def wrapper(*args: Arguments.args, **kwargs: Arguments.kwargs) -> int:
        try:
            command(*args, **kwargs)
        except CommandError as error:
            print_plain(str(error), to_stderr=True)
            return error.exit_code
        return EXIT_OK

    return wrapper


def print_tables(*tables: Any) -> None:
    """Print tables; without colours when the output is not a terminal."""
    console = Console()
    for table in tables:
        console.print(table)


def print_plain(text: str, to_stderr: bool = False) -> None:
    """Print text without wrapping or markup."""
    console = Console(stderr=to_stderr, soft_wrap=True)
    console.print(text, markup=False, highlight=False)


def targets_path(service: str) -> str:
    """Return the URL path of a service's targets."""
    return f'{TARGETS_PATH}/{quote(service, safe="")}'


@targets_app.command(name='list')
@with_exit_code
def list_targets(*, admin: AdminUrl, token_file: TokenFile = None) -> None:
    """List all services with the names of their targets."""
    response = call_admin(AdminEndpoint(admin, token_file), 'GET', TARGETS_PATH)
    print_tables(create_services_table(response.document))


@targets_app.command(name='show')
@with_exit_code
def show_targets(
    service: str,
    *,
    admin: AdminUrl,
    token_file: TokenFile = None,
    json: bool = False,
) -> None:
    """Show the targets of a service.

    Args:
        service: Name of the service.
        json: Print the JSON document, as ``targets set`` takes it.
    """
    endpoint = AdminEndpoint(admin, token_file)
    document = call_admin(endpoint, 'GET', targets_path(service)).document
    if json:
        print_plain(format_json(encode(document)).decode())
    else:
        print_tables(create_service_table(document))


@targets_app.command(name='set')
@with_exit_code
def set_targets(
    service: str,
    file: Path,
    *,
    why: str,
    admin: AdminUrl,
    token_file: TokenFile = None,
    revision: int | None = None,
) -> None:
    """Change the targets of a service; repeating the command is safe.

    Args:
        service: Name of the service.
        file: JSON document, as ``targets show --json`` prints it.
        why: Reason for the change, for the audit trail.
        revision: Revision that the change is based on; by default the one
            in the document. Omit it for a new service.
    """
    document = read_document(file)
    document_revision = document.pop(REVISION_KEY, None)
    if revision is None:
        revision = document_revision
    headers = {
        'bergamotshunt-why': why,
        'idempotency-key': create_submission_id(
            service, revision, document, why
        ),
    }
    if revision is not None:
        headers['if-match'] = f'"{revision}"'
    endpoint = AdminEndpoint(admin, token_file)
    path = targets_path(service)
    response = call_admin(endpoint, 'PUT', path, headers, encode(document))
    print_plain(
        f'{service}: accepted as revision {response.document[REVISION_KEY]}, '
        'in force on all daemons within seconds',
    )


@targets_app.command(name='history')
@with_exit_code
def show_history(
    *,
    admin: AdminUrl,
    token_file: TokenFile = None,
    limit: int = 20,
) -> None:
    """Show who changed what, when and why; the newest change is last.

    Args:
        limit: Maximum number of changes.
    """
    endpoint = AdminEndpoint(admin, token_file)
    path = f'/v1/changes?limit={limit}'
    response = call_admin(endpoint, 'GET', path)
    print_tables(create_history_table(response.document))


@with_exit_code
def status(*, admin: AdminUrl, token_file: TokenFile = None) -> None:
    """Show the state of a daemon: targets, platform, members, load."""
    response = call_admin(AdminEndpoint(admin, token_file), 'GET', '/v1/status')
    print_tables(*create_status_tables(response.document))


def read_document(file: Path) -> dict[str, Any]:
    """Read a targets document from a file.

    Raises:
        CommandError: The file cannot be read or holds no JSON object.
    """
    try:
        document = decode(file.read_bytes())
    except (OSError, DecodeError) as error:
        raise CommandError(
            f'cannot read {file} as JSON: {error}',
            EXIT_BAD_INPUT,
        ) from error
    if isinstance(document, dict):
        return document
    raise CommandError(f'{file} does not hold a JSON object', EXIT_BAD_INPUT)


def create_submission_id(
    service: str,
    revision: int | None,
    document: dict[str, Any],
    why: str,
) -> str:
    """Derive a submission id from the arguments of a change.

    Repeating the same command gives the same id, so that the change is
    applied only once.
    """
    inputs = [service, revision, document, why]
    digest = sha256(encode(inputs, order='sorted')).hexdigest()
    return digest[:SUBMISSION_ID_LENGTH]
