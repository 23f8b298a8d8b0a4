"""Tests of a daemon process that gets further signals while it stops."""

import asyncio
import os
import sys
from contextlib import closing, suppress
from pathlib import Path
from signal import SIG_DFL, SIG_IGN, SIGHUP, SIGTERM, getsignal, signal

import pytest

from bergamotshunt import __main__ as command
from bergamotshunt import mesh_daemon
from bergamotshunt.platform.boot import FILE_VARIABLE
from bergamotshunt.tests.mesh import LOOPBACK_PREFIX
from standins.ports import Ports

DAEMON = (sys.executable, '-um', 'bergamotshunt', 'daemon', '--platform')
SIGNAL_INTERVAL_S = 0.005
WAIT_TIMEOUT_S = 60.0
IP = f'{LOOPBACK_PREFIX}.90'
SETTINGS = """node_name=h0
ip={ip}
zone=z
service=shop
app_addr={ip}:{ports[0]}
listen.outbound={ip}:{ports[1]}
listen.inbound={ip}:{ports[2]}
listen.ready={ip}:{ports[3]}
listen.control={ip}:{ports[4]}
port_range={first_port},{last_port}
platform.address={ip}:{ports[5]}
platform.min_ttl_ms=1000
bounds=grace_s=6,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=56
"""


async def signal_until_exit(settings: Path) -> int | None:
    """Start a daemon and signal it until it ends; return its exit code."""
    process = await asyncio.create_subprocess_exec(
        *DAEMON,
        env=dict(os.environ, **{FILE_VARIABLE: str(settings)}),
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while b'daemon:started' not in await process.stdout.readline():
            continue
        while process.returncode is None:
            # Process.send_signal would collect the exit code itself when the
            # process has just ended, and the event loop would report 255.
            with suppress(ProcessLookupError):
                os.kill(process.pid, SIGHUP)
                os.kill(process.pid, SIGTERM)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
    return process.returncode


def test_signals_until_the_exit_do_not_change_the_exit_code(
    tmp_path: Path,
) -> None:
    """Guards against a process that a late signal ends before it exits.

    Closing the event loop restores the default action of its signals.
    """
    settings = tmp_path / 'settings.conf'
    with closing(Ports(IP)) as reserved:
        ports = [reserved.reserve() for _ in range(6)]
        # Datagrams, and metrics on the port after them.
        first_port = reserved.reserve(2)
        settings.write_text(
            SETTINGS.format(
                ip=IP,
                ports=ports,
                first_port=first_port,
                last_port=first_port + 1,
            ),
            encoding='utf-8',
        )
        assert asyncio.run(signal_until_exit(settings)) == 0


def test_reload_signal_does_not_end_a_daemon_that_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the default action of SIGHUP while modules load."""
    seen: list[object] = []

    def run_mesh_daemon() -> int:
        seen.append(getsignal(SIGHUP))
        return 0

    monkeypatch.setattr(mesh_daemon, 'run_mesh_daemon', run_mesh_daemon)
    monkeypatch.setattr(command, 'argv', ['daemon', *command.MESH_COMMAND])
    try:
        with pytest.raises(SystemExit):
            command.main()
    finally:
        signal(SIGHUP, SIG_DFL)
    assert seen == [SIG_IGN]
