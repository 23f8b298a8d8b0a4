"""Run a daemon whose HTTP ports have small send buffers in the kernel.

Run it with ``python -m bergamotshunt.tests.small_buffer_daemon SETTINGS``.
Otherwise the kernel takes whole responses on loopback connections and sends
them even after the process has ended, unlike on a slow network.
"""

from pathlib import Path
from socket import SO_SNDBUF, SOL_SOCKET, socket
from sys import argv, exit
from typing import Any
from unittest.mock import patch

from bergamotshunt.daemon import run_daemon
from bergamotshunt.http import web
from bergamotshunt.settings import read_settings

SEND_BUFFER_BYTES = 4096


class SmallBufferSocket(socket):
    """Socket with a small send buffer, which accepted sockets inherit."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)


if __name__ == '__main__':
    with patch.object(web, 'socket', SmallBufferSocket):
        exit(run_daemon(read_settings(Path(argv[1])).unwrap()))
