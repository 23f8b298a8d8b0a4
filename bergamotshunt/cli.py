"""Command line of the daemon and of its operators."""

from pathlib import Path
from sys import exit as exit_process
from sys import stderr, stdout
from typing import Final

from cyclopts import App, CycloptsError
from returns.result import Failure, Success

from bergamotshunt.daemon import run_daemon
from bergamotshunt.local_fleet.command import run_local
from bergamotshunt.operators.mesh_commands import explain_request, show_beliefs
from bergamotshunt.operators.operator_commands import status, targets_app
from bergamotshunt.settings import Settings, read_settings
from bergamotshunt.settings_page import create_settings_page

EXIT_BAD_INPUT: Final = 2

app = App(
    name='bergamotshunt',
    help="Load balancer that meets operators' targets.",
)
app.command(targets_app)
app.command(status)


def load_settings(path: Path) -> Settings:
    """Read a settings file; if it is invalid, print all errors and exit."""
    match read_settings(path):
        case Success(settings):
            return settings
        case Failure(errors):
            for error in errors:
                stderr.write(f'{path}: {error}\n')
    exit_process(EXIT_BAD_INPUT)


@app.command
def daemon(settings: Path) -> int:
    """Run the daemon beside a backend server until SIGTERM.

    On the users' platform: ``daemon --platform``, without a file.

    Args:
        settings: INI file with the settings.
    """
    return run_daemon(load_settings(settings))


@app.command
def check(settings: Path) -> int:
    """Validate a settings file and print all errors.

    Args:
        settings: INI file with the settings.
    """
    load_settings(settings)
    return 0


@app.command
def explain(request_id: str, *files: Path) -> int:
    """Print the log lines of a request in order, and the cause of its outcome.

    Args:
        request_id: Id of the request.
        files: Logs of all hosts; by default standard input.
    """
    return explain_request(request_id, files)


@app.command
def beliefs(ip: str, port: int) -> int:
    """Show a mesh daemon's view of the mesh, with the age of each part.

    Args:
        ip: IP address of the daemon's host.
        port: Port on which the daemon serves its metrics.
    """
    return show_beliefs(ip, port)


@app.command
def local(*, calls: int = 0, seed: int = 1) -> int:
    """Run a complete fleet in this process.

    Args:
        calls: Number of mixed calls to make before the fleet stops; 0
            serves until Ctrl-C.
        seed: Seed of the daemons and of the mix of calls.
    """
    return run_local(calls, seed)


@app.command
def settings() -> None:
    """Print the documentation page of all settings as Markdown."""
    stdout.write(create_settings_page())


def main() -> None:
    """Run the command line."""
    try:
        exit_code = app(exit_on_error=False)
    except CycloptsError:
        exit_process(EXIT_BAD_INPUT)
    exit_process(exit_code or 0)
