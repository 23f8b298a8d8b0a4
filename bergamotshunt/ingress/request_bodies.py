"""Request bodies at the guard: buffered up to a limit, or streamed."""

from asyncio import (
    CancelledError,
    TimerHandle,
    create_task,
    current_task,
    get_running_loop,
)
from asyncio import Task as AsyncioTask
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Final

from bergamotshunt.http.web import check_body_message

# Watching costs a task, which is more than a short request costs. The task is
# created only for requests that take longer than this.
WATCH_AFTER_S: Final = 0.01


class RequestBody:
    """Body of a request whose start was read.

    Args:
        start: The whole body, or its first part.
        is_complete: Whether ``start`` is the whole body.
        receive: ASGI callable that returns the remaining messages.
        max_bytes: Limit for the size of the whole body.
    """

    def __init__(
        self,
        start: bytes,
        *,
        is_complete: bool,
        receive: Any,
        max_bytes: int,
    ) -> None:
        """Create a body; ``on_end`` is called when all of it was read."""
        self.start = start
        self.is_complete = is_complete
        self.on_end: Callable[[], None] | None = None
        self.receive = receive
        self._max_bytes = max_bytes

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the whole body, or an iterator over its chunks."""
        return self.start if self.is_complete else self._chunks()

    async def _chunks(self) -> AsyncIterator[bytes]:
        yield self.start
        size = len(self.start)
        has_more = True
        while has_more:
            message = await self.receive()
            check_body_message(message, size, self._max_bytes)
            chunk = message.get('body', b'')
            size += len(chunk)
            has_more = message.get('more_body', False)
            if chunk:
                yield chunk
        if self.on_end is not None:
            self.on_end()


async def read_body_start(
    receive: Any,
    buffer_bytes: int,
    max_bytes: int,
) -> RequestBody:
    """Read a body until it ends or ``buffer_bytes`` are exceeded.

    Raises:
        BodyTooLargeError: The body is longer than ``max_bytes``.
        CallerDisconnectedError: The sender closed its connection.
    """
    chunks: list[bytes] = []
    size = 0
    has_more = True
    while has_more and size <= buffer_bytes:
        message = await receive()
        check_body_message(message, size, max_bytes)
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        has_more = message.get('more_body', False)
    return RequestBody(
        b''.join(chunks),
        is_complete=not has_more,
        receive=receive,
        max_bytes=max_bytes,
    )


async def serve_until_disconnect(
    body: RequestBody,
    work: Coroutine[Any, Any, None],
) -> None:
    """Run the work for a request; cancel it when its sender disconnects."""
    watch = SenderDisconnectWatch(body)
    try:
        await work
    except CancelledError:
        if not watch.has_disconnected():
            raise
        watch.request_task.uncancel()
    finally:
        watch.stop()


class SenderDisconnectWatch:
    """Cancels the current task when the sender of a request disconnects.

    Args:
        body: Body of the request; while it is streamed, its reader detects
            the end of the connection itself.
    """

    def __init__(self, body: RequestBody) -> None:
        """Schedule the watch now, or when the body has been streamed."""
        request_task = current_task()
        if request_task is None:
            raise RuntimeError('a request must be served in an asyncio task')
        self.request_task = request_task
        self.receive = body.receive
        self._timer: TimerHandle | None = None
        self._watcher: AsyncioTask[None] | None = None
        self._is_stopped = False
        if body.is_complete:
            self.start()
        else:
            body.on_end = self.start

    def start(self) -> None:
        """Start watching after ``WATCH_AFTER_S``."""
        if not self._is_stopped:
            loop = get_running_loop()
            self._timer = loop.call_later(WATCH_AFTER_S, self._begin)

    def stop(self) -> None:
        """Stop watching."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._watcher is not None:
            self._watcher.cancel()

    def has_disconnected(self) -> bool:
        """Return whether the sender has disconnected."""
        watcher = self._watcher
        if watcher is None or not watcher.done():
            return False
        return not watcher.cancelled()

    def _begin(self) -> None:
        self._watcher = create_task(wait_for_disconnect(self.receive))
        self._watcher.add_done_callback(self._cancel_abandoned)

    def _cancel_abandoned(self, _watcher: AsyncioTask[None]) -> None:
        if self.has_disconnected() and not self._is_stopped:
            self.request_task.cancel()


async def wait_for_disconnect(receive: Any) -> None:
    """Wait until the sender closes its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
