"""An event loop with virtual time, which passes only while it is idle.

A test with many tasks in one process then gives the same result on a busy
machine as on an idle one.
"""

from asyncio import Runner, SelectorEventLoop
from collections.abc import Coroutine
from selectors import DefaultSelector, SelectorKey
from typing import Any


class TimeSkippingSelector(DefaultSelector):
    """Selector that adds up timeouts instead of waiting for them."""

    skipped_s = 0.0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[SelectorKey, int]]:
        """Return ready events; a wait with a timeout returns at once."""
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        ready = super().select(0)
        if not ready:
            self.skipped_s += timeout
        return ready


class VirtualTimeLoop(SelectorEventLoop):
    """Event loop whose clock advances only by skipped timeouts."""

    def __init__(self) -> None:
        """Create a loop whose clock reads zero."""
        self._selector = TimeSkippingSelector()
        super().__init__(self._selector)

    def time(self) -> float:
        """Return the virtual time: the skipped timeouts, in seconds."""
        return self._selector.skipped_s


def run_in_virtual_time(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in virtual time; it may not wait for other processes."""
    with Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main)
