"""Command line."""

from pathlib import Path
from sys import exit as exit_process
from sys import stderr
from typing import Final

from cyclopts import App
from returns.result import Failure, Success

from bergamotshunt.daemon import run_daemon
from bergamotshunt.settings import Settings, read_settings

EXIT_BAD_INPUT: Final = 2

app = App(
    name='bergamotshunt',
    help="Load balancer that meets operators' targets.",
)


def load_settings(path: Path) -> Settings:
    """Read the settings or end the process with all errors."""
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

    Args:
        settings: INI file with the settings.
    """
    return run_daemon(load_settings(settings))


@app.command
def check(settings: Path) -> int:
    """Check a settings file; all errors are shown at once.

    Args:
        settings: INI file with the settings.
    """
    load_settings(settings)
    return 0


def main() -> None:
    """Run the command line."""
    exit_process(app() or 0)
