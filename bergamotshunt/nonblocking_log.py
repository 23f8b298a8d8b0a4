"""Log lines to a descriptor that nobody may be reading."""

from os import set_blocking
from os import write as write_bytes
from typing import Any, Final

from msgspec.json import encode

MAX_BUFFER_BYTES: Final = 65_536


class NonBlockingDestination:
    """Writes eliot's messages as JSON lines without ever waiting.

    What the reader does not take is held up to a bound; lines beyond it are
    dropped and counted in the next line that is written.

    Args:
        descriptor: Where the lines go, such as standard output.
    """

    def __init__(self, descriptor: int) -> None:
        """Make writes to the descriptor return at once."""
        set_blocking(descriptor, False)
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._buffer = b''

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or hold or drop it."""
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

    def _flush(self) -> None:
        try:
            written = write_bytes(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone for good, and there is nowhere to say so.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]
