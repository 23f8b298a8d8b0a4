"""Child processes that always end with their parent."""

from asyncio import create_subprocess_exec, sleep, timeout
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Awaitable, Callable
from ctypes import CDLL
from os import environ, getcwd
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from sys import executable
from typing import Any, Final

IP: Final = '127.0.0.1'
# Option of prctl(2) that sets the signal sent when the parent exits.
PR_SET_PDEATHSIG: Final = 1
# Time between SIGTERM and SIGKILL.
END_TIMEOUT_S: Final = 10
POLL_INTERVAL_S: Final = 0.02


class NotReadyError(TimeoutError):
    """A condition on a process did not hold before the timeout."""


class Child:
    """A Python child process whose output goes to a log file.

    Args:
        name: Name of the process and of its log file, without suffix.
        arguments: Arguments of the Python interpreter.
        folder: Directory of the log file.

    Attributes:
        is_ending: Whether ``terminate`` was called since the last start.
    """

    def __init__(self, name: str, arguments: list[str], folder: Path) -> None:
        """Create the child without starting it."""
        self.name = name
        self.arguments = arguments
        self.log_path = folder / f'{name}.log'
        self.process: Process | None = None
        self.is_ending = False

    async def start(self) -> None:
        """Start the process and append its output to the log file."""
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
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP until ``resume``."""
        self.signal(SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.signal(SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the process to exit."""
        self.is_ending = True
        self.signal(SIGTERM)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def end(self) -> int:
        """Terminate the process; kill it after ``END_TIMEOUT_S``.

        Returns:
            The exit code; 0 if it was never started.
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

    def log_tail(self, lines: int = 12) -> str:
        """Return the last lines of the log file."""
        if not self.log_path.exists():
            return ''
        text = self.log_path.read_text(errors='replace')
        return '\n'.join(text.splitlines()[-lines:])


def die_with_parent() -> None:
    """Have the kernel kill this child when its parent exits."""
    CDLL(None).prctl(PR_SET_PDEATHSIG, SIGKILL)


async def poll_until(
    check: Callable[[], Awaitable[Any]], timeout_s: float, what: str
) -> Any:
    """Repeat a check until its result is true, and return the result.

    Args:
        check: Returns a true value when the condition holds.
        timeout_s: Time limit in seconds.
        what: Start of the error text.

    Raises:
        NotReadyError: The check was never true within the time limit.
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
