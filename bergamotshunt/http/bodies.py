"""Bodies that arrive piece by piece, in bounded memory."""

from asyncio import Event
from collections import deque
from collections.abc import Callable
from typing import Final

HIGH_WATER_BYTES: Final = 65_536
LOW_WATER_BYTES: Final = 16_384


class BodyCutError(ConnectionError):
    """The body ended before it was whole."""


class Body:
    """A body that one task feeds and another reads.

    Args:
        set_reading: Called with False to pause the sender, True to go on.
    """

    def __init__(self, set_reading: Callable[[bool], None]) -> None:
        """Create a body without bytes."""
        self.complete = False
        self.received = 0
        self.cut: BodyCutError | None = None
        self._pieces: deque[bytes] = deque()
        self._held = 0
        self._discarding = False
        self._paused = False
        self._changed = Event()
        self._set_reading = set_reading

    def feed(self, piece: bytes) -> None:
        """Add bytes that arrived."""
        self.received += len(piece)
        if self._discarding:
            return
        self._pieces.append(piece)
        self._held += len(piece)
        self._changed.set()
        if self._held > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._set_reading(False)

    def finish(self) -> None:
        """Note that all bytes arrived."""
        self.complete = True
        self._changed.set()

    def cut_off(self, reason: str) -> None:
        """Note that the rest never arrives."""
        if not self.complete:
            self.cut = BodyCutError(reason)
            self._changed.set()

    def discard(self) -> None:
        """Drop what is held and all that still arrives."""
        self._discarding = True
        self._pieces.clear()
        self._took(self._held)

    async def read(self) -> bytes:
        """Return the next bytes, or none at the end.

        Raises:
            BodyCutError: The body ended before it was whole.
        """
        while not self._pieces:
            if self.complete:
                return b''
            if self.cut is not None:
                raise self.cut
            self._changed.clear()
            await self._changed.wait()
        piece = self._pieces.popleft()
        self._took(len(piece))
        return piece

    async def gather(self, most_bytes: int) -> bytes:
        """Return the bytes up to the end, or more than ``most_bytes``.

        Raises:
            BodyCutError: The body ended before it was whole.
        """
        pieces = []
        size = 0
        while size <= most_bytes:
            piece = await self.read()
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
        return b''.join(pieces)

    @property
    def ended(self) -> bool:
        """Whether all bytes arrived and were read."""
        return self.complete and not self._pieces

    def _took(self, size: int) -> None:
        self._held -= size
        if self._paused and self._held <= LOW_WATER_BYTES:
            self._paused = False
            self._set_reading(True)
