"""Run a daemon whose peers reach it through a fault-injecting link.

Run it with ``python -m bench.linked_daemon SETTINGS PEERS_PORT``. The daemon
announces the port of the link as its peers port.
"""

from asyncio import Event, create_task, get_running_loop, run, wait
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import argv

from bergamotshunt.daemon import create_kernel
from bergamotshunt.log import configure_log
from bergamotshunt.messages import PortBound
from bergamotshunt.settings import Settings, read_settings


async def run_linked(settings: Settings, peers_port: int) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain and stop it.

    Args:
        settings: Settings of the daemon.
        peers_port: Port of the link that forwards to the peers port.
    """
    configure_log(settings.daemon.log_level)
    stopping = Event()
    for signal_number in (SIGTERM, SIGINT):
        get_running_loop().add_signal_handler(signal_number, stopping.set)
    kernel = create_kernel(settings)
    await kernel.start()
    # Replaces the port of the daemon's own listener in its announcement.
    kernel.context.bus.publish(PortBound('peers', peers_port))
    await wait(
        (create_task(stopping.wait()), create_task(kernel.failed.wait())),
        return_when='FIRST_COMPLETED',
    )
    await kernel.drain(settings.daemon.drain_timeout_s)
    await kernel.stop()


if __name__ == '__main__':
    run(run_linked(read_settings(Path(argv[1])).unwrap(), int(argv[2])))
