"""The daemon on the users' platform: a kernel with the mesh plug-ins.

The platform names its settings file in an environment variable.
"""

from asyncio import get_running_loop
from os import environ
from pathlib import Path
from random import Random
from signal import SIGHUP
from sys import stderr
from time import time
from typing import Final

from eliot import add_destinations
from returns.result import Failure, Success

from bergamotshunt.daemon import (
    EXIT_FAILED,
    EXIT_OK,
    MS_PER_S,
    create_runner,
    ignore_signals,
    run_until_stop_requested,
)
from bergamotshunt.http.connection_ends import total_of
from bergamotshunt.kernel import (
    MESH_PLUGINS,
    Context,
    Kernel,
    MessageBus,
    TaskStoppedError,
)
from bergamotshunt.log import log_error, log_event
from bergamotshunt.mesh_messages import DescribeConnections, StopRequested
from bergamotshunt.mesh_settings import MeshSettings
from bergamotshunt.nonblocking_log import NonBlockingDestination
from bergamotshunt.platform.boot import FILE_VARIABLE, decode_settings
from bergamotshunt.plugins import mesh as mesh_package
from bergamotshunt.settings import DaemonSettings, Settings

EXIT_BAD_INPUT: Final = 2
STDOUT_DESCRIPTOR: Final = 1
# The drain ends this long before SIGKILL, so that the kernel can still stop.
SIGKILL_MARGIN_S: Final = 0.6
DESCRIBE_TIMEOUT_S: Final = 0.1
# Longest wait for the reader of the log when the process ends.
LOG_FLUSH_TIMEOUT_S: Final = 0.1


def run_mesh_daemon() -> int:
    """Run the daemon with the platform's settings file until SIGTERM.

    Returns:
        The exit code: ``EXIT_BAD_INPUT`` for missing or invalid settings,
        ``EXIT_FAILED`` if a task failed.

    Raises:
        OSError: The settings file cannot be read.
    """
    path = environ.get(FILE_VARIABLE, '')
    if not path:
        stderr.write(
            f'environment variable {FILE_VARIABLE} is not set; '
            'expected the path of the settings file\n'
        )
        return EXIT_BAD_INPUT
    match decode_settings(Path(path).read_text(encoding='utf-8')):
        case Success(settings):
            log_lines = NonBlockingDestination(STDOUT_DESCRIPTOR)
            add_destinations(log_lines)
            try:
                with create_runner() as runner:
                    return runner.run(_run_until_signal(settings))
            finally:
                log_lines.flush_by(LOG_FLUSH_TIMEOUT_S)
        case Failure(errors):
            for error in errors:
                stderr.write(f'{path}: {error}\n')
    return EXIT_BAD_INPUT


def create_mesh_kernel(
    mesh: MeshSettings,
    seed: int | None = None,
) -> Kernel:
    """Create the kernel of a mesh daemon; an event loop must be running.

    Args:
        mesh: Settings of the daemon.
        seed: Seed of its random source; None takes one from the system.
    """
    identity = DaemonSettings(
        id=mesh.daemon_id,
        ip=mesh.ip,
        availability_zone=mesh.zone,
    )
    return Kernel(
        Context(
            settings=Settings(daemon=identity),
            bus=MessageBus(),
            rng=Random(seed),
            process_id=int(time() * MS_PER_S),
            mesh=mesh,
        ),
        package=mesh_package,
        registry=MESH_PLUGINS,
    )


async def _run_until_signal(mesh: MeshSettings) -> int:
    # SIGHUP is only logged: settings are read once, at the start.
    loop = get_running_loop()
    loop.add_signal_handler(SIGHUP, log_event, 'daemon:reload-asked')
    kernel = create_mesh_kernel(mesh)
    if not await run_until_stop_requested(kernel):
        return EXIT_FAILED
    log_event('daemon:stop-asked', daemon=mesh.daemon_id)
    kernel.context.bus.publish(StopRequested())
    is_drained = await kernel.drain(mesh.bounds.grace_s - SIGKILL_MARGIN_S)
    await _log_drained(kernel, is_drained=is_drained)
    await kernel.stop()
    ignore_signals()
    return EXIT_OK


async def _log_drained(kernel: Kernel, *, is_drained: bool) -> None:
    """Log the end of the drain, with what is still open."""
    try:
        states = await kernel.context.bus.ask_all(
            DescribeConnections(), DESCRIBE_TIMEOUT_S
        )
    except (TimeoutError, TaskStoppedError) as error:
        log_error('daemon:drained', error, complete=is_drained)
        return
    log_event(
        'daemon:drained',
        complete=is_drained,
        **total_of(states)._asdict(),
    )
