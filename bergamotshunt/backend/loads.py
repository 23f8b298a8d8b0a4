"""Load reports of backend servers, and how daemons encode them."""

from typing import Final, NamedTuple

from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from bergamotshunt.decisions.pace_forecasts import PaceForecast
from bergamotshunt.routing import ServerEntry

USUAL_PACE: Final = 1.0
# A change of the pace by this share is told at once.
PACE_NEWS_SHARE: Final = 0.2


class Load(NamedTuple):
    """Load of a backend server, as the daemon beside it sees it.

    Attributes:
        running: Requests on the server.
        waiting: Requests that wait at its daemon.
        limit: Requests that the daemon sends to it at a time.
        pace: How long work takes now; 1 is as usual, 2 twice as long.
        work_ms: Usual time of a request on the server.
        cold_ms: How much longer the server is slow after its start.
        serving: Whether new requests are taken.
        outlook: How the pace may go on.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    pace: float = USUAL_PACE
    work_ms: float = 0
    cold_ms: float = 0
    serving: bool = True
    outlook: PaceForecast = PaceForecast()


class LoadReport(NamedTuple):
    """A datagram with the load of a server.

    Attributes:
        instance: Lifetime of the server.
        load: Its load.
        version: Version of the configuration in force at the daemon.
        entry: What the server announced, in some of the reports.
    """

    instance: str
    load: Load
    version: int
    entry: ServerEntry | None = None


class Subscription(NamedTuple):
    """A datagram that asks for the load reports of a server for a while.

    Attributes:
        ip: Where the reports go.
        version: Version of the configuration in force at the sender.
    """

    ip: str
    version: int


class Datagram(NamedTuple):
    """What daemons send to each other; one of the fields is filled."""

    report: LoadReport | None = None
    subscription: Subscription | None = None


def encode_datagram(datagram: Datagram) -> bytes:
    """Encode a datagram."""
    return encode(datagram)


def decode_datagram(content: bytes) -> Datagram | None:
    """Decode a datagram; None when it is damaged."""
    try:
        return decode(content, type=Datagram)
    except MsgspecError:
        return None


def is_news(load: Load, told: Load) -> bool:
    """Return whether peers should hear of a load at once."""
    if load.serving != told.serving:
        return True
    return abs(load.pace - told.pace) > told.pace * PACE_NEWS_SHARE


def is_same(load: Load, told: Load) -> bool:
    """Return whether peers learn nothing from a report but that time passed."""
    return load == told._replace(
        cold_ms=load.cold_ms,
        work_ms=load.work_ms,
        outlook=load.outlook,
    )
