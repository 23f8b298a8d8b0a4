"""Process of the platform stand-in, until it has one of its own."""

from asyncio import Event, get_running_loop, run
from signal import SIGINT, SIGTERM
from sys import argv

from bergamotshunt.web import HttpServer
from standins.platform import PlatformStandIn


async def serve(port: int) -> None:
    """Serve until SIGTERM."""
    server = HttpServer(PlatformStandIn().app, '127.0.0.1', port)
    stopping = Event()
    for number in (SIGTERM, SIGINT):
        get_running_loop().add_signal_handler(number, stopping.set)
    await server.open()
    await stopping.wait()
    await server.close()


if __name__ == '__main__':
    run(serve(int(argv[-1])))
