"""Log destination that never blocks on a slow or absent reader."""

from os import set_blocking
from os import write as write_bytes
from select import POLLOUT, poll
from time import monotonic
from typing import Any, Final

from msgspec.json import encode

MAX_BUFFER_BYTES: Final = 65_536
MS_PER_S: Final = 1000


class NonBlockingDestination:
    """Writes eliot's messages as JSON lines without blocking.

    Lines that the descriptor does not accept yet are buffered. While the
    buffer holds more than ``MAX_BUFFER_BYTES``, further lines are dropped;
    the next line that is written states their number as ``lines_dropped``.

    Args:
        descriptor: File descriptor to write to, such as standard output.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._buffer = b''

    def __call__(self, message: dict[str, Any]) -> None:
        """Write, buffer or drop a message."""
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self._flush()
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            message = message | {'lines_dropped': self.dropped_lines}
            self.dropped_lines = 0
        self._buffer += b'%b\n' % encode(message, enc_hook=str)
        self._flush()

    def flush_by(self, timeout_s: float) -> None:
        """Write the buffered lines at the end of the process.

        Args:
            timeout_s: Longest wait for the reader, in seconds; lines that it
                has not accepted then are lost.
        """
        end_s = monotonic() + timeout_s
        writable = poll()
        writable.register(self._descriptor, POLLOUT)
        while self._buffer:
            left_s = end_s - monotonic()
            if left_s <= 0 or not writable.poll(left_s * MS_PER_S):
                return
            self._flush()

    def _flush(self) -> None:
        try:
            written = write_bytes(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed its end, and there is no other log to report
            # it to: discard the buffer.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]
