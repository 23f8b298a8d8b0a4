"""Request bodies: read whole up to a bound, or passed on in pieces."""

from asyncio import CancelledError, create_task, current_task
from asyncio import Task as AsyncioTask
from collections.abc import AsyncIterator, Callable, Coroutine
from functools import partial
from typing import Any

from bergamotshunt.web import check_message


class RequestBody:
    """Body of a request of which the start was read.

    Args:
        first: The whole body, or its first part.
        is_whole: Whether ``first`` is the whole body.
        receive: ASGI callable for the rest.
        max_bytes: Most bytes of the whole body.
    """

    def __init__(
        self,
        first: bytes,
        *,
        is_whole: bool,
        receive: Any,
        max_bytes: int,
    ) -> None:
        """Create a body; ``on_end`` is called when it was passed on."""
        self.first = first
        self.is_whole = is_whole
        self.on_end: Callable[[], None] | None = None
        self.receive = receive
        self._max_bytes = max_bytes

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the body for the HTTP client."""
        return self.first if self.is_whole else self._pieces()

    async def _pieces(self) -> AsyncIterator[bytes]:
        yield self.first
        size = len(self.first)
        has_more = True
        while has_more:
            message = await self.receive()
            check_message(message, size, self._max_bytes)
            piece = message.get('body', b'')
            size += len(piece)
            has_more = message.get('more_body', False)
            if piece:
                yield piece
        if self.on_end is not None:
            self.on_end()


async def read_start(
    receive: Any,
    buffer_bytes: int,
    max_bytes: int,
) -> RequestBody:
    """Read a body until it ends or the buffer is full.

    Raises:
        BodyTooLargeError: It is longer than ``max_bytes``.
        CallerGoneError: The sender left.
    """
    pieces: list[bytes] = []
    size = 0
    has_more = True
    while has_more and size <= buffer_bytes:
        message = await receive()
        check_message(message, size, max_bytes)
        pieces.append(message.get('body', b''))
        size += len(pieces[-1])
        has_more = message.get('more_body', False)
    return RequestBody(
        b''.join(pieces),
        is_whole=not has_more,
        receive=receive,
        max_bytes=max_bytes,
    )


async def serve_until_gone(
    body: RequestBody,
    work: Coroutine[Any, Any, None],
) -> None:
    """Do the work for a request; cancel it when its sender leaves."""
    serving = current_task()
    watchers: list[AsyncioTask[None]] = []

    def watch() -> None:  # noqa: WPS430
        watcher = create_task(wait_until_gone(body.receive))
        watcher.add_done_callback(partial(cancel_abandoned, serving))
        watchers.append(watcher)

    if body.is_whole:
        watch()
    else:
        body.on_end = watch
    try:
        await work
    except CancelledError:
        if serving is None or not any(map(has_seen_end, watchers)):
            raise
        serving.uncancel()
    finally:
        for watcher in watchers:
            watcher.cancel()


def cancel_abandoned(
    serving: AsyncioTask[Any] | None,
    watcher: AsyncioTask[None],
) -> None:
    """Cancel the work for a sender that has left."""
    if serving is not None and has_seen_end(watcher):
        serving.cancel()


def has_seen_end(watcher: AsyncioTask[None]) -> bool:
    """Tell whether a watcher has seen its sender leave."""
    return watcher.done() and not watcher.cancelled()


async def wait_until_gone(receive: Any) -> None:
    """Return when the sender closed its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
