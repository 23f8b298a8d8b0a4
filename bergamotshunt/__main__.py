"""Entry point of ``python -m bergamotshunt``."""

from signal import SIG_IGN, SIGHUP, signal
from sys import argv
from sys import exit as exit_process
from typing import Final

MESH_COMMAND: Final = ['daemon', '--platform']


def main() -> None:
    """Run the command line.

    The mesh daemon does not import the other commands: memory is scarce on
    its hosts.
    """
    if argv[1:] == MESH_COMMAND:
        # The default action would end a daemon that is still starting.
        signal(SIGHUP, SIG_IGN)
        from bergamotshunt.mesh_daemon import run_mesh_daemon

        exit_process(run_mesh_daemon())
    from bergamotshunt.cli import main as run_command_line

    run_command_line()


if __name__ == '__main__':
    main()
