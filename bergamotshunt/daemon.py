"""The daemon process: one kernel that runs until a signal stops it."""

from asyncio import (
    FIRST_COMPLETED,
    Event,
    Runner,
    create_task,
    get_running_loop,
    wait,
)
from os import environ
from random import Random
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, signal
from time import time
from typing import Final

from uvloop import new_event_loop

from bergamotshunt.kernel import Context, Kernel, MessageBus
from bergamotshunt.log import configure_log, log_event
from bergamotshunt.settings import Settings

# The hosts forbid io_uring. libuv 1.48 respects this variable, but libuv 1.52
# in uvloop 0.23 sets up a ring regardless, so uvloop stays below 0.23.
environ['UV_USE_IO_URING'] = '0'

MS_PER_S: Final = 1000
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1


def create_kernel(settings: Settings, seed: int | None = None) -> Kernel:
    """Create the kernel of a daemon; an event loop must be running.

    Args:
        settings: Settings of the daemon.
        seed: Seed of its random source; None takes one from the system.
    """
    return Kernel(
        Context(
            settings=settings,
            bus=MessageBus(),
            rng=Random(seed),
            process_id=int(time() * MS_PER_S),
        ),
    )


async def run_until_stop_requested(kernel: Kernel) -> bool:
    """Run a kernel until SIGTERM or SIGINT, or until one of its tasks fails.

    Returns:
        True after a signal; the kernel is still running. False after the
        failure of a task; the kernel has stopped.
    """
    stop_requested = Event()
    loop = get_running_loop()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await kernel.start()
    await wait(
        (create_task(stop_requested.wait()), create_task(kernel.failed.wait())),
        return_when=FIRST_COMPLETED,
    )
    if kernel.failed.is_set():
        await kernel.stop()
        return False
    return True


def ignore_signals() -> None:
    """Ignore the signals of the daemon until the process exits.

    Closing the event loop would restore their default action, so that a
    repeated SIGTERM ends a daemon that has stopped in an orderly way.
    """
    loop = get_running_loop()
    for signal_number in (SIGTERM, SIGINT, SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal(signal_number, SIG_IGN)


async def run_until_signal(settings: Settings) -> int:
    """Run a daemon until SIGTERM or SIGINT, then drain it.

    Returns:
        The exit code: ``EXIT_FAILED`` if a task failed or requests were
        still running at the end of the drain timeout.
    """
    kernel = create_kernel(settings)
    if not await run_until_stop_requested(kernel):
        return EXIT_FAILED
    is_drained = await kernel.drain(settings.daemon.drain_timeout_s)
    log_event('daemon:drained', complete=is_drained)
    await kernel.stop()
    ignore_signals()
    return EXIT_OK if is_drained else EXIT_FAILED


def create_runner() -> Runner:
    """Create a runner that uses the event loop of uvloop."""
    return Runner(loop_factory=new_event_loop)


def run_daemon(settings: Settings) -> int:
    """Configure the log and run a daemon; see ``run_until_signal``."""
    configure_log(settings.daemon.log_level)
    with create_runner() as runner:
        return runner.run(run_until_signal(settings))
