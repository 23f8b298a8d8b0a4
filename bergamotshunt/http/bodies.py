"""Message bodies that arrive in chunks, with backpressure to the sender."""

from asyncio import Event
from collections import deque
from collections.abc import Callable
from typing import Final

HIGH_WATER_BYTES: Final = 65_536
LOW_WATER_BYTES: Final = 16_384
# Smaller chunks are joined: each chunk takes some memory of its own, and some
# time of its reader.
MIN_CHUNK_BYTES: Final = 4096


class IncompleteBodyError(ConnectionError):
    """The connection ended before the whole body had arrived."""


class Body:
    """Body of a message: the connection feeds it and one task reads it.

    Args:
        set_reading: Called with False to stop reading from the connection
            while too many bytes are buffered, with True to resume.
    """

    def __init__(self, set_reading: Callable[[bool], None]) -> None:
        """Create an empty body."""
        self.complete = False
        self.received_bytes = 0
        self.error: IncompleteBodyError | None = None
        self._chunks: deque[bytes] = deque()
        # Small chunks that follow those in the queue.
        self._small_chunks = bytearray()
        self._buffered_bytes = 0
        self._discarding = False
        self._paused = False
        self._changed = Event()
        self._set_reading = set_reading

    def feed(self, chunk: bytes) -> None:
        """Add received bytes."""
        self.received_bytes += len(chunk)
        if self._discarding:
            return
        self._append(chunk)
        self._buffered_bytes += len(chunk)
        self._changed.set()
        if self._buffered_bytes > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._set_reading(False)

    def finish(self) -> None:
        """Mark the body as completely received."""
        self.complete = True
        self._changed.set()

    def mark_incomplete(self, reason: str) -> None:
        """Make readers fail, because the rest will not arrive."""
        if not self.complete:
            self.error = IncompleteBodyError(reason)
            self._changed.set()

    def discard(self) -> None:
        """Drop the buffered bytes and all that still arrive."""
        self._discarding = True
        self._chunks.clear()
        self._small_chunks.clear()
        self._release_bytes(self._buffered_bytes)

    async def read(self) -> bytes:
        """Return the next chunk, or empty bytes at the end.

        Raises:
            IncompleteBodyError: The rest of the body will not arrive.
        """
        while not self._has_chunks:
            if self.complete:
                return b''
            if self.error is not None:
                raise self.error
            self._changed.clear()
            await self._changed.wait()
        if not self._chunks:
            self._queue_small_chunks()
        chunk = self._chunks.popleft()
        self._release_bytes(len(chunk))
        return chunk

    async def read_up_to(self, max_bytes: int) -> bytes:
        """Read up to the end, or until ``max_bytes`` are exceeded.

        The result is longer than ``max_bytes`` if and only if the body is.

        Raises:
            IncompleteBodyError: The rest of the body will not arrive.
        """
        chunks = []
        size = 0
        while size <= max_bytes:
            chunk = await self.read()
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
        return b''.join(chunks)

    @property
    def at_end(self) -> bool:
        """Whether the whole body was received and read."""
        return self.complete and not self._has_chunks

    @property
    def _has_chunks(self) -> bool:
        return bool(self._chunks or self._small_chunks)

    def _append(self, chunk: bytes) -> None:
        if len(chunk) >= MIN_CHUNK_BYTES:
            self._queue_small_chunks()
            self._chunks.append(chunk)
            return
        self._small_chunks += chunk
        if len(self._small_chunks) >= MIN_CHUNK_BYTES:
            self._queue_small_chunks()

    def _queue_small_chunks(self) -> None:
        if self._small_chunks:
            self._chunks.append(bytes(self._small_chunks))
            self._small_chunks.clear()

    def _release_bytes(self, size: int) -> None:
        self._buffered_bytes -= size
        if self._paused and self._buffered_bytes <= LOW_WATER_BYTES:
            self._paused = False
            self._set_reading(True)
