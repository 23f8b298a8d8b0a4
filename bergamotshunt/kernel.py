"""Kernel: loads plug-ins, runs their tasks and delivers their messages."""

# The kernel needs many primitives of asyncio.
from asyncio import (  # noqa: WPS235
    CancelledError,
    Event,
    Future,
    Queue,
    create_task,
    gather,
    get_running_loop,
    sleep,
    timeout,
    timeout_at,
)
from asyncio import Task as AsyncioTask
from collections import defaultdict
from collections.abc import Callable, Coroutine
from importlib import import_module
from inspect import isawaitable
from pkgutil import iter_modules
from random import Random
from time import monotonic
from types import ModuleType
from typing import Any, Final, NamedTuple, TypeVar

from bergamotshunt import plugins as plugin_package
from bergamotshunt.boot_clock import boot_time_s
from bergamotshunt.log import log_error, log_event
from bergamotshunt.mesh_settings import MeshSettings
from bergamotshunt.messages import LoopFailed, PortBound
from bergamotshunt.registries import Registry
from bergamotshunt.settings import Settings

MAX_MAILBOX_MESSAGES: Final = 10_000
ASK_TIMEOUT_S: Final = 10
# Part of the drain that is reserved for the last responses.
FINISH_TIME_S: Final = 0.2
# Bounds the log and the calls of a loop that fails at once each time.
LOOP_RESTART_DELAY_S: Final = 1.0

Handler = Callable[[Any, Any], Any]
Loop = Callable[[], Coroutine[Any, Any, None]]
HandlerType = TypeVar('HandlerType', bound=Handler)


class Envelope(NamedTuple):
    """A message and, if it needs a reply, the future for the reply."""

    message: Any
    reply: Future[Any] | None


Mailbox = Queue[Envelope]


class NoHandlerError(LookupError):
    """No task handles this type of message."""


class TaskStoppedError(NoHandlerError):
    """The task stopped before it replied; it may have acted on the message."""


class MessageBus:
    """Delivers messages to the mailboxes of the tasks that handle them."""

    def __init__(self) -> None:
        """Create a bus without subscribers."""
        self.mailboxes_by_type: dict[type, list[Mailbox]] = defaultdict(list)

    def subscribe(self, message_type: type, mailbox: Mailbox) -> None:
        """Deliver messages of this type to the mailbox."""
        self.mailboxes_by_type[message_type].append(mailbox)

    def publish(self, message: Any) -> None:
        """Deliver a message to all tasks that handle its type.

        Raises:
            asyncio.QueueFull: The mailbox of a task is full, because the
                task does not read it.
        """
        for mailbox in self.mailboxes_by_type.get(type(message), ()):
            mailbox.put_nowait(Envelope(message, None))

    async def ask(
        self,
        message: Any,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> Any:
        """Send a message to the one task that handles it and await a reply.

        Args:
            message: Message to send.
            timeout_s: Longest wait for the reply.

        Returns:
            The reply of that task.

        Raises:
            NoHandlerError: No task handles this type.
            TaskStoppedError: The task stopped before it replied.
            TimeoutError: No reply within ``timeout_s``.
            asyncio.QueueFull: The mailbox of the task is full.
            Exception: The handler raised it.
        """
        replies = await self.ask_all(message, timeout_s)
        if not replies:
            name = type(message).__name__
            raise NoHandlerError(f'no task handles the message {name}')
        return replies[0]

    async def ask_all(
        self,
        message: Any,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> list[Any]:
        """Send a message to all tasks that handle it and await replies.

        Args:
            message: Message to send.
            timeout_s: Longest wait for all replies together.

        Returns:
            Their replies, in the order in which the tasks subscribed.

        Raises:
            TaskStoppedError: A task stopped before it replied.
            TimeoutError: A reply is missing after ``timeout_s``.
            asyncio.QueueFull: The mailbox of a task is full.
            Exception: A handler raised it.
        """
        loop = get_running_loop()
        futures = []
        for mailbox in self.mailboxes_by_type.get(type(message), ()):
            reply: Future[Any] = loop.create_future()
            mailbox.put_nowait(Envelope(message, reply))
            futures.append(reply)
        # asyncio.wait_for of Python 3.11 can swallow a cancellation that
        # arrives with the reply, which would leave a stopped task running.
        async with timeout(timeout_s):
            return await gather(*futures)


class HandlerTable:
    """Handlers of one class of tasks, by message type.

    A plain handler runs in the order of the mailbox. A coroutine handler
    runs as a child of the task, so that it may wait without blocking the
    mailbox.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_type: dict[type, Handler] = {}

    def on(self, message_type: type) -> Callable[[HandlerType], HandlerType]:
        """Return a decorator that registers a handler for the type."""

        def decorator(handler: HandlerType) -> HandlerType:
            self.by_type[message_type] = handler
            return handler

        return decorator


class Context(NamedTuple):
    """Context that the kernel passes to the factory of a plug-in.

    Attributes:
        settings: Validated settings of the daemon.
        bus: Delivers messages to other tasks.
        rng: Random number generator of the daemon.
        process_id: Start of this process, ms since the epoch.
        clock: Returns the monotonic time in seconds.
        mesh: Settings of a mesh daemon; None for other daemons.
        boot_clock: Returns the time in seconds that also passes while the
            process is suspended.
    """

    settings: Settings
    bus: MessageBus
    rng: Random
    process_id: int
    clock: Callable[[], float] = monotonic
    mesh: MeshSettings | None = None
    boot_clock: Callable[[], float] = boot_time_s


class Task:
    """Base of all tasks: owns state and sockets, reads a mailbox.

    Attributes:
        name: Name for logs and status.
        handlers: Handlers by message type; one table for each subclass.
    """

    name = 'task'
    handlers = HandlerTable()

    def __init__(self, context: Context) -> None:
        """Create the task and subscribe its mailbox."""
        self.context = context
        self.settings = context.settings
        self.bus = context.bus
        self.mailbox: Mailbox = Queue(MAX_MAILBOX_MESSAGES)
        self._children: set[AsyncioTask[Any]] = set()
        for message_type in self.handlers.by_type:
            context.bus.subscribe(message_type, self.mailbox)

    async def open(self) -> None:
        """Bind sockets and create sessions; other tasks do not reply yet."""

    async def start(self) -> None:
        """Start timers and send requests to other tasks; all are open."""

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight."""

    async def finish(self) -> None:
        """Send the last responses, then stop to accept connections.

        Called after ``drain`` of all tasks: a request at one port may need
        the other ports of this daemon.
        """

    async def close(self) -> None:
        """Close sockets; the base class cancels all children."""
        for child in tuple(self._children):
            child.cancel()
        await gather(*self._children, return_exceptions=True)

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""
        return self.context.clock() * 1000

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> AsyncioTask[Any]:
        """Run a coroutine as a child that is cancelled with the task."""
        child = create_task(coroutine)
        self._children.add(child)
        child.add_done_callback(self._on_child_done)
        return child

    def spawn_loop(self, loop: Loop) -> AsyncioTask[None]:
        """Run an endless loop as a child.

        When it ends with an error, ``LoopFailed`` is published and the loop
        is started again, as nothing else would do its work.

        Args:
            loop: Coroutine function without arguments.
        """
        return self.spawn(self._keep_running(loop))

    async def run(self) -> None:
        """Handle messages until the task is cancelled."""
        while True:
            self._handle(await self.mailbox.get())

    async def _keep_running(self, loop: Loop) -> None:
        while True:
            try:
                await loop()
            except TaskStoppedError:
                # The daemon stops.
                return
            except Exception as error:
                name = loop.__name__
                log_error('task:loop-failed', error, task=self.name, loop=name)
                self.bus.publish(LoopFailed(self.name, name))
            await sleep(LOOP_RESTART_DELAY_S)

    def _handle(self, envelope: Envelope) -> None:
        handler = self.handlers.by_type[type(envelope.message)]
        try:
            outcome = handler(self, envelope.message)
        except Exception as error:
            self._report_failure(envelope, error)
            return
        if isawaitable(outcome):
            self.spawn(self._await_outcome(envelope, outcome))
        elif envelope.reply is not None and not envelope.reply.done():
            envelope.reply.set_result(outcome)

    async def _await_outcome(self, envelope: Envelope, pending: Any) -> None:
        try:
            outcome = await pending
        except CancelledError:
            if envelope.reply is not None and not envelope.reply.done():
                envelope.reply.set_exception(
                    TaskStoppedError(
                        f'the task {self.name!r} stopped before it replied'
                    )
                )
            raise
        except Exception as error:
            self._report_failure(envelope, error)
            return
        if envelope.reply is not None and not envelope.reply.done():
            envelope.reply.set_result(outcome)

    def _report_failure(self, envelope: Envelope, error: Exception) -> None:
        log_error('task:handler-failed', error, task=self.name)
        if envelope.reply is not None and not envelope.reply.done():
            envelope.reply.set_exception(error)

    def _on_child_done(self, child: AsyncioTask[Any]) -> None:
        self._children.discard(child)
        if child.cancelled():
            return
        error = child.exception()
        # Tasks stop one after the other, so a child of one task may still
        # wait for a reply of another that has stopped: that is no error.
        if error is not None and not isinstance(error, TaskStoppedError):
            log_error('task:child-failed', error, task=self.name)


PluginFactory = Callable[[Context], Task]
PLUGINS: Final[Registry[PluginFactory]] = Registry('plug-in')
MESH_PLUGINS: Final[Registry[PluginFactory]] = Registry('mesh plug-in')


def load_plugins(package: ModuleType = plugin_package) -> None:
    """Import all modules of a plug-in package; each registers itself."""
    for module in iter_modules(package.__path__):
        import_module(f'{package.__name__}.{module.name}')


class Kernel:
    """Runs the tasks of one daemon.

    Args:
        context: Context of all tasks.
        names: Plug-ins to run; all registered ones by default.
        package: Package whose modules register the plug-ins.
        registry: Registry that holds the plug-ins.

    Attributes:
        failed: Set when the mailbox loop of a task ended with an error.
        tasks_by_name: Tasks by the registered names of their plug-ins.
        ports_by_kind: Numbers of the bound ports, by ``PortBound.kind``.
    """

    def __init__(
        self,
        context: Context,
        names: tuple[str, ...] | None = None,
        package: ModuleType = plugin_package,
        registry: Registry[PluginFactory] = PLUGINS,
    ) -> None:
        """Create the tasks without starting them."""
        load_plugins(package)
        self.context = context
        self.failed = Event()
        self.tasks_by_name = {
            name: registry.get(name)(context)
            for name in names or registry.names()
        }
        self.ports_by_kind: dict[str, int] = {}
        self._mailbox: Mailbox = Queue()
        context.bus.subscribe(PortBound, self._mailbox)
        self._runners: list[AsyncioTask[None]] = []

    async def start(self) -> None:
        """Open all tasks, then start them and their mailbox loops."""
        for task_to_open in self.tasks_by_name.values():
            await task_to_open.open()
        self._collect_ports()
        for task in self.tasks_by_name.values():
            runner = create_task(task.run())
            runner.add_done_callback(self._on_runner_end)
            self._runners.append(runner)
        for task_to_start in self.tasks_by_name.values():
            await task_to_start.start()
        log_event('daemon:started', daemon=self.context.settings.daemon.id)

    async def drain(self, timeout_s: float) -> bool:
        """Drain all tasks, then let them send their last responses.

        Args:
            timeout_s: Longest wait for requests in flight and for the last
                bytes of their responses, together.

        Returns:
            Whether all requests in flight ended and all responses were sent
            in time.
        """
        end_s = get_running_loop().time() + timeout_s
        tasks = self.tasks_by_name.values()
        is_drained = await _end_all_by(
            end_s - min(FINISH_TIME_S, timeout_s / 2),
            [task.drain() for task in tasks],
        )
        is_finished = await _end_all_by(
            end_s, [task.finish() for task in tasks]
        )
        return is_drained and is_finished

    async def stop(self) -> None:
        """Close all tasks in reverse order and end their loops."""
        for task in reversed(tuple(self.tasks_by_name.values())):
            await task.close()
        for runner in self._runners:
            runner.cancel()
        await gather(*self._runners, return_exceptions=True)
        log_event('daemon:stopped', daemon=self.context.settings.daemon.id)

    def _collect_ports(self) -> None:
        while not self._mailbox.empty():
            bound = self._mailbox.get_nowait().message
            self.ports_by_kind[bound.kind] = bound.port

    def _on_runner_end(self, runner: AsyncioTask[None]) -> None:
        if not runner.cancelled():
            self.failed.set()


async def _end_all_by(
    end_s: float,
    coroutines: list[Coroutine[Any, Any, None]],
) -> bool:
    """Run coroutines until they end, or cancel them at a loop time.

    An error of one is logged, so that the others still end in order.

    Returns:
        Whether all of them ended in time and without an error.
    """
    try:
        async with timeout_at(end_s):
            outcomes = await gather(*coroutines, return_exceptions=True)
    except TimeoutError:
        return False
    errors = [found for found in outcomes if isinstance(found, Exception)]
    for error in errors:
        log_error('daemon:drain-failed', error)
    return not errors
