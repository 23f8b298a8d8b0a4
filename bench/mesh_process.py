"""A daemon process of a soak, restarted by its supervisor when it ends."""

from asyncio import create_subprocess_exec, open_connection, sleep
from asyncio.subprocess import DEVNULL
from contextlib import suppress
from os import environ, getcwd
from pathlib import Path
from signal import SIGHUP, SIGKILL
from sys import executable
from time import monotonic
from typing import Final

from bench.mesh_records import History, ProcessExit, Stop
from bench.processes import Child, die_with_parent
from bergamotshunt.mesh_settings import Address
from bergamotshunt.platform.boot import FILE_VARIABLE

RESTART_DELAY_S: Final = 0.2
POLL_INTERVAL_S: Final = 0.05


class DaemonProcess(Child):
    """One daemon: a process after the other with the same settings file.

    Args:
        name: Name of the host.
        settings: Path of the settings file.
        ready: Address of the readiness probe.
        folder: Directory of the log file.
        history: Receives stops and ends of processes.

    Attributes:
        lifetime: Number of the process, from 1.
        is_listening: Whether the process has opened its ports.
    """

    def __init__(
        self,
        name: str,
        settings: Path,
        ready: Address,
        folder: Path,
        history: History,
    ) -> None:
        """Create a daemon without a process."""
        super().__init__(
            name, ['-m', 'bergamotshunt', 'daemon', '--platform'], folder
        )
        self.lifetime = 0
        self.is_listening = False
        self._settings = settings
        self._ready = ready
        self._history = history
        self._is_last = False
        self._killed = False
        self._stopped_s: float = 0
        self._frozen_s: float = 0

    async def start(self) -> None:
        """Start a process with the settings file in its environment."""
        self.lifetime += 1
        self.is_listening = False
        self._killed = False
        self._stopped_s = self._frozen_s = 0
        environment = {
            **environ,
            'PYTHONPATH': getcwd(),
            FILE_VARIABLE: str(self._settings),
        }
        with self.log_path.open('ab') as log:
            self.process = await create_subprocess_exec(
                executable,
                *self.arguments,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                preexec_fn=die_with_parent,
            )

    async def supervise(self) -> None:
        """Run processes until ``finish`` is called."""
        while not self._is_last:
            await self.start()
            assert self.process is not None
            await self._wait_until_listening()
            if self._is_last:
                self.terminate()
            code = await self.process.wait()
            self._history.exits.append(
                ProcessExit(
                    host=self.name,
                    lifetime=self.lifetime,
                    at_s=monotonic(),
                    code=code,
                    stopped_s=self._stopped_s,
                    killed=self._killed,
                    frozen_s=self._frozen_s,
                )
            )
            await sleep(RESTART_DELAY_S)

    def terminate(self) -> None:
        """Send SIGTERM.

        A process that has not opened its ports may not have installed its
        signal handlers, so that its exit code is not checked.
        """
        if not self.is_running:
            return
        if not self._stopped_s:
            self._stopped_s = monotonic()
            stop = Stop(self.name, self.lifetime, self._stopped_s)
            self._history.stops.append(stop)
        self._killed = self._killed or not self.is_listening
        super().terminate()

    def kill_now(self, lifetime: int) -> None:
        """Send SIGKILL to the process with this number, if it runs."""
        if self.lifetime == lifetime and self.is_running:
            self._killed = True
            self.signal(SIGKILL)

    def kill_late(self, lifetime: int) -> None:
        """Send SIGKILL to a process that did not end; its end is checked."""
        if self.lifetime == lifetime:
            self.signal(SIGKILL)

    def reload(self) -> None:
        """Send SIGHUP, unless its handler may not be installed yet."""
        if self.is_listening:
            self.signal(SIGHUP)

    async def freeze(self, duration_s: float) -> None:
        """Suspend the process for a time in seconds."""
        lifetime = self.lifetime
        self.suspend()
        await sleep(duration_s)
        self.resume()
        if self.lifetime == lifetime:
            self._frozen_s += duration_s

    def finish(self) -> None:
        """Send SIGTERM and start no further process."""
        self._is_last = True
        self.terminate()

    async def _wait_until_listening(self) -> None:
        while self.is_running:
            with suppress(OSError):
                _, writer = await open_connection(*self._ready)
                writer.close()
                self.is_listening = True
                return
            await sleep(POLL_INTERVAL_S)
