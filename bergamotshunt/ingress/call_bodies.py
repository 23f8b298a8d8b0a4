"""Bodies of callers' requests, and callers that leave."""

from asyncio import Task as AsyncioTask
from asyncio import create_task, current_task, get_running_loop
from collections.abc import AsyncGenerator, Callable
from http import HTTPStatus
from typing import Any, Final

from returns.result import Failure, Result, Success

from bergamotshunt.ingress.call_types import CallBody
from bergamotshunt.http.web import CallerDisconnectedError
from bergamotshunt.settings import CallsSettings
from bergamotshunt.verdicts import CallFailure, create_refusal

# Most calls end sooner, and a watch costs a task.
WATCH_AFTER_S: Final = 0.005
DISCONNECT: Final = 'http.disconnect'


class DisconnectWatch:
    """Cancels the task that serves a request when its caller leaves.

    The watch begins once the body is read, because both read the same
    messages.
    """

    def __init__(self, receive: Any) -> None:
        """Watch for the task that runs now."""
        self.receive = receive
        self.is_disconnected = False
        self._serving = current_task()
        self._timer: Any = None
        self._task: AsyncioTask[None] | None = None

    def schedule(self) -> None:
        """Begin to watch a moment later."""
        loop = get_running_loop()
        self._timer = loop.call_later(WATCH_AFTER_S, self._start)

    def absorb_cancellation(self) -> bool:
        """Take the cancellation back if the watch was its cause."""
        if self.is_disconnected and self._serving is not None:
            self._serving.uncancel()
        return self.is_disconnected

    def stop(self) -> None:
        """End the watch."""
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
        if self._serving is not None:
            self._serving.cancel()


class StreamedBody:
    """Body that is too large to hold.

    Args:
        start: What was read so far.
        receive: Source of the other messages (ASGI).
        max_bytes: Largest body.
        on_end: Called when the body was received whole.
    """

    def __init__(
        self,
        start: bytes,
        receive: Any,
        max_bytes: int,
        on_end: Callable[[], None],
    ) -> None:
        """Create a body that can be sent once."""
        self.start = start
        self.receive = receive
        self.max_bytes = max_bytes
        self.on_end = on_end
        self.is_too_large = False
        self.is_interrupted = False

    def translate_failure(self, failure: CallFailure) -> CallFailure:
        """Return why the body was not sent whole, if that is the cause.

        Raises:
            CallerGoneError: The caller left.
        """
        if self.is_interrupted:
            raise CallerDisconnectedError('the caller closed the connection')
        if self.is_too_large:
            too_large = create_body_too_large(self.max_bytes)
            return too_large._replace(verdict=failure.verdict)
        return failure

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body.

        Raises:
            CallerGoneError: The caller left.
            ValueError: The body is larger than the bound.
        """
        yield self.start
        size = len(self.start)
        more = True
        while more:
            message = await self.receive()
            if message['type'] == DISCONNECT:
                self.is_interrupted = True
                raise CallerDisconnectedError(
                    'the caller closed the connection'
                )
            chunk = message.get('body', b'')
            more = message.get('more_body', False)
            size += len(chunk)
            if size > self.max_bytes:
                self.is_too_large = True
                raise ValueError(f'more than {self.max_bytes} bytes')
            if chunk:
                yield chunk
        self.on_end()


async def read_call_body(
    receive: Any,
    stated_length: bytes | None,
    settings: CallsSettings,
    watch: DisconnectWatch,
) -> Result[tuple[CallBody, StreamedBody | None], CallFailure]:
    """Read a body that fits the buffer, or the start of a larger one.

    Raises:
        CallerGoneError: The caller left.
    """
    if stated_length is not None and int(stated_length) > (
        settings.max_body_bytes
    ):
        return Failure(create_body_too_large(settings.max_body_bytes))
    chunks: list[bytes] = []
    size = 0
    more = True
    while more and size <= settings.body_buffer_bytes:
        message = await receive()
        if message['type'] == DISCONNECT:
            raise CallerDisconnectedError('the caller closed the connection')
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        more = message.get('more_body', False)
    start = chunks[0] if len(chunks) == 1 else b''.join(chunks)
    if not more:
        watch.schedule()
        return Success((CallBody(start), None))
    streamed = StreamedBody(
        start, receive, settings.max_body_bytes, watch.schedule
    )
    return Success((CallBody(stream=streamed.chunks()), streamed))


def create_body_too_large(max_bytes: int) -> CallFailure:
    """Build the refusal of a body that is too large."""
    return create_refusal(
        'body-too-large',
        f'the body is larger than {max_bytes} bytes',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
