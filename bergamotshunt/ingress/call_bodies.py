"""Request bodies of callers, and detection of callers that disconnect."""

from asyncio import Task as AsyncioTask
from asyncio import create_task, current_task, get_running_loop
from collections.abc import AsyncGenerator, Callable
from http import HTTPStatus
from typing import Any, Final

from returns.result import Failure, Result, Success

from bergamotshunt.http.web import CallerDisconnectedError
from bergamotshunt.ingress.call_types import CallBody
from bergamotshunt.settings import CallsSettings
from bergamotshunt.verdicts import CallFailure, create_refusal

# Watching costs a task, and most calls end sooner than this.
WATCH_AFTER_S: Final = 0.005
DISCONNECT: Final = 'http.disconnect'


class DisconnectWatch:
    """Cancels the task that serves a request when its caller disconnects.

    The watch begins once the body is read, because both consume messages
    of the same ASGI ``receive`` callable.

    Args:
        receive: ASGI callable that returns the messages of the request.
    """

    def __init__(self, receive: Any) -> None:
        """Create a watch that cancels the current task."""
        self.receive = receive
        self.is_disconnected = False
        self._request_task = current_task()
        self._timer: Any = None
        self._task: AsyncioTask[None] | None = None

    def schedule(self) -> None:
        """Start watching after ``WATCH_AFTER_S``."""
        loop = get_running_loop()
        self._timer = loop.call_later(WATCH_AFTER_S, self._start)

    def absorb_cancellation(self) -> bool:
        """Undo the cancellation if this watch caused it.

        Returns:
            Whether the caller disconnected.
        """
        if self.is_disconnected and self._request_task is not None:
            self._request_task.uncancel()
        return self.is_disconnected

    def stop(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = create_task(self._watch())

    async def _watch(self) -> None:
        message = await self.receive()
        while message['type'] != DISCONNECT:
            message = await self.receive()
        self.is_disconnected = True
        if self._request_task is not None:
            self._request_task.cancel()


class StreamedBody:
    """Body that is too large to buffer and is passed on in chunks.

    Args:
        start: Bytes that were read so far.
        receive: ASGI callable that returns the remaining messages.
        max_bytes: Limit for the size of the whole body.
        on_end: Called when the whole body was received.
    """

    def __init__(
        self,
        start: bytes,
        receive: Any,
        max_bytes: int,
        on_end: Callable[[], None],
    ) -> None:
        """Create a body that can be sent only once."""
        self.start = start
        self.receive = receive
        self.max_bytes = max_bytes
        self.on_end = on_end
        self.is_too_large = False
        self.is_interrupted = False

    def translate_failure(self, failure: CallFailure) -> CallFailure:
        """Replace a failure that this body caused.

        Returns:
            The refusal of a body that is too large, with the verdict of
            ``failure``; ``failure`` itself when the body is not its cause.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        if self.is_interrupted:
            raise CallerDisconnectedError('the caller closed the connection')
        if self.is_too_large:
            too_large = create_body_too_large(self.max_bytes)
            return too_large._replace(verdict=failure.verdict)
        return failure

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
            ValueError: The body is larger than ``max_bytes``.
        """
        yield self.start
        size = len(self.start)
        has_more = True
        while has_more:
            message = await self.receive()
            if message['type'] == DISCONNECT:
                self.is_interrupted = True
                raise CallerDisconnectedError(
                    'the caller closed the connection'
                )
            chunk = message.get('body', b'')
            has_more = message.get('more_body', False)
            size += len(chunk)
            if size > self.max_bytes:
                self.is_too_large = True
                raise ValueError(
                    f'the request body has {size} bytes or more; '
                    f'the limit is {self.max_bytes}'
                )
            if chunk:
                yield chunk
        self.on_end()


async def read_call_body(
    receive: Any,
    content_length: bytes | None,
    settings: CallsSettings,
    watch: DisconnectWatch,
) -> Result[tuple[CallBody, StreamedBody | None], CallFailure]:
    """Read a body that fits the buffer, or the start of a larger one.

    Args:
        receive: ASGI callable that returns the messages of the request.
        content_length: Value of its Content-Length header, or None.
        settings: Limits of calls.
        watch: Started when the whole body was received.

    Returns:
        The body, and its source if it has to be streamed; or the refusal
        of a body whose stated length is over the limit.

    Raises:
        CallerDisconnectedError: The caller closed its connection.
    """
    if content_length is not None and int(content_length) > (
        settings.max_body_bytes
    ):
        return Failure(create_body_too_large(settings.max_body_bytes))
    chunks: list[bytes] = []
    size = 0
    has_more = True
    while has_more and size <= settings.body_buffer_bytes:
        message = await receive()
        if message['type'] == DISCONNECT:
            raise CallerDisconnectedError('the caller closed the connection')
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        has_more = message.get('more_body', False)
    start = chunks[0] if len(chunks) == 1 else b''.join(chunks)
    if not has_more:
        watch.schedule()
        return Success((CallBody(start), None))
    streamed = StreamedBody(
        start, receive, settings.max_body_bytes, watch.schedule
    )
    return Success((CallBody(stream=streamed.chunks()), streamed))


def create_body_too_large(max_bytes: int) -> CallFailure:
    """Build the refusal of a request body over the limit."""
    return create_refusal(
        'body-too-large',
        f'the request body is larger than {max_bytes} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
