"""Orderly close of a connection: flush, half-close, wait for the peer."""

from asyncio import TimerHandle, Transport, get_running_loop
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from bergamotshunt.decisions.connection_closing import closing_deadline_s
from bergamotshunt.http.send_queue import count_undelivered_bytes

CHECK_INTERVAL_S: Final = 0.25


class LingeringClose:
    """Closes a connection once its peer has received all bytes.

    The transport sends what is buffered and the end of the stream, while
    its protocol discards what the peer still sends. The connection closes
    when the peer closes its side, or when ``closing_deadline_s`` has passed.
    Until the peer has acknowledged all bytes, closing would destroy them as
    soon as it sends anything.

    Args:
        transport: Transport of the connection, which is not closing yet.
        sent_s: Loop time of the last response in seconds; negative infinity
            if there was none.
        stall_deadline_s: Returns until when the peer may take no bytes, from
            the loop time at which it last took some; both in seconds.
        on_stall: Called when the peer takes no more bytes.
        on_check: Called after each check of the progress.
    """

    def __init__(
        self,
        transport: Transport,
        sent_s: float,
        stall_deadline_s: Callable[[float], float],
        on_stall: Callable[[], None],
        on_check: Callable[[], None],
    ) -> None:
        """Send the end of the stream after all buffered bytes."""
        self._transport = transport
        self._stall_deadline_s = stall_deadline_s
        self._on_stall = on_stall
        self._on_check = on_check
        self._timer: TimerHandle | None = None
        self._undelivered_bytes = count_undelivered_bytes(transport)
        self._progress_s = sent_s
        if self._undelivered_bytes:
            self._progress_s = get_running_loop().time()
        self._sent_s = self._progress_s
        # With a limit of 0, resume_writing reports that nothing is unsent.
        transport.set_write_buffer_limits(0)
        with suppress(OSError):
            # The peer may have reset the connection already.
            transport.write_eof()
        transport.resume_reading()
        self._check()

    @property
    def holds_drain(self) -> bool:
        """Whether a daemon that stops has to wait for this connection.

        What the system has accepted, it sends also after the process has
        ended, unless the peer sends something; a peer that has just got its
        last response may still do so.
        """
        if self._transport.get_write_buffer_size():
            return True
        deadline_s = closing_deadline_s(0, self._sent_s, 0)
        return get_running_loop().time() < deadline_s

    def cancel(self) -> None:
        """Stop the timer: the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        loop = get_running_loop()
        undelivered_bytes = count_undelivered_bytes(self._transport)
        if undelivered_bytes < self._undelivered_bytes:
            self._progress_s = loop.time()
        self._undelivered_bytes = undelivered_bytes
        if self._transport.get_write_buffer_size():
            self._sent_s = loop.time()
        self._on_check()
        deadline_s = closing_deadline_s(
            undelivered_bytes,
            self._progress_s,
            self._stall_deadline_s(self._progress_s),
        )
        wait_s = deadline_s - loop.time()
        if wait_s > 0:
            self._timer = loop.call_later(
                min(wait_s, CHECK_INTERVAL_S), self._check
            )
        elif self._transport.get_write_buffer_size():
            self._on_stall()
        else:
            # The system goes on to send what it has accepted.
            self._transport.close()
