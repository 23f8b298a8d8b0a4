"""Child processes with reserved ports that always end with their parent."""

from asyncio import create_subprocess_exec, sleep, timeout
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Awaitable, Callable
from ctypes import CDLL
from os import environ, getcwd
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from sys import executable
from typing import Any, Final

IP: Final = '127.0.0.1'
PR_SET_PDEATHSIG: Final = 1
END_TIMEOUT_S: Final = 10
POLL_INTERVAL_S: Final = 0.02


class NotReadyError(TimeoutError):
    """A process was not ready in time; the text has the end of its log."""


class Ports:
    """Port numbers from the operating system, kept for this process.

    Each port stays bound without listening, so that no other process gets
    its number, while a child that sets SO_REUSEADDR can listen on it.
    """

    def __init__(self) -> None:
        """Reserve nothing yet."""
        self._sockets: list[socket] = []

    def reserve(self) -> int:
        """Return a port that is free for TCP."""
        bound = socket(AF_INET, SOCK_STREAM)
        bound.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        bound.bind((IP, 0))
        self._sockets.append(bound)
        return int(bound.getsockname()[1])

    def close(self) -> None:
        """Give all ports back."""
        for bound in self._sockets:
            bound.close()


class Child:
    """One child process.

    Args:
        name: Name of its log file.
        arguments: Arguments of the Python interpreter.
        folder: Folder of the log file.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Start nothing yet."""
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f'{name}.log'
        self.process: Process | None = None
        self.is_ending = False

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        self.is_ending = False
        with self.log_path.open('ab') as log:
            self.process = await create_subprocess_exec(
                executable,
                *self.arguments,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env={**environ, 'PYTHONPATH': getcwd()},
                preexec_fn=die_with_parent,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def suspend(self) -> None:
        """Stop the process until ``resume``."""
        self.signal(SIGSTOP)

    def resume(self) -> None:
        """Let a stopped process run."""
        self.signal(SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end, without waiting."""
        self.is_ending = True
        self.signal(SIGTERM)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def end(self) -> int:
        """Ask the process to end; kill it if it does not in time.

        Returns:
            Its exit code.
        """
        if self.process is None:
            return 0
        self.resume()
        self.signal(SIGTERM)
        try:
            async with timeout(END_TIMEOUT_S):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
        return await self.process.wait()

    def log_end(self, lines: int = 12) -> str:
        """Return the last lines of the log."""
        if not self.log_path.exists():
            return ''
        text = self.log_path.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-lines:])


def die_with_parent() -> None:
    """Have the kernel end this child when its parent ends."""
    CDLL(None).prctl(PR_SET_PDEATHSIG, SIGKILL)


async def poll_until(
    check: Callable[[], Awaitable[Any]], timeout_s: float, what: str
) -> Any:
    """Repeat a check until its result is true.

    Raises:
        NotReadyError: It was not true in time.
    """
    try:
        async with timeout(timeout_s):
            while True:
                check_result = await check()
                if check_result:
                    return check_result
                await sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise NotReadyError(f'{what} within {timeout_s} s') from None
