"""Load reports of backend servers and their encoding in datagrams."""

from typing import Final, NamedTuple

from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from bergamotshunt.decisions.pace_forecasts import PaceForecast
from bergamotshunt.routing import ServerEntry

BASELINE_PACE: Final = 1.0
# A relative change of the pace above this is reported at once.
URGENT_PACE_CHANGE_SHARE: Final = 0.2


class Load(NamedTuple):
    """Load of a backend server, as observed by its daemon.

    Attributes:
        running: Requests in flight on the server.
        waiting: Requests queued at its daemon.
        limit: Slot limit: requests that its daemon lets run at a time.
        pace: Slowdown factor of work on the server now; 1 is the
            baseline, at 2 work takes twice as long.
        work_ms: Typical time of a request at the baseline pace, in
            milliseconds.
        cold_ms: Time until the server has warmed up after its start, in
            milliseconds.
        serving: Whether new requests are accepted.
        outlook: Forecast of the pace.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    pace: float = BASELINE_PACE
    work_ms: float = 0
    cold_ms: float = 0
    serving: bool = True
    outlook: PaceForecast = PaceForecast()


class InstanceLoadReport(NamedTuple):
    """The load of one server instance, as its daemon reports it.

    Attributes:
        instance: Instance id of the server.
        load: Its load.
        version: Version of the configuration in force at the daemon.
        entry: Last announcement of the server; only in some reports.
    """

    instance: str
    load: Load
    version: int
    entry: ServerEntry | None = None


class Subscription(NamedTuple):
    """A subscription to load reports, which expires unless it is renewed.

    Attributes:
        ip: Address to send the reports to.
        version: Version of the configuration in force at the sender.
    """

    ip: str
    version: int


class LoadDatagram(NamedTuple):
    """A load report or a subscription to them; exactly one field is set."""

    report: InstanceLoadReport | None = None
    subscription: Subscription | None = None


def encode_load_datagram(datagram: LoadDatagram) -> bytes:
    """Encode a load datagram as MessagePack."""
    return encode(datagram)


def decode_load_datagram(content: bytes) -> LoadDatagram | None:
    """Decode a load datagram; None when malformed."""
    try:
        return decode(content, type=LoadDatagram)
    except MsgspecError:
        return None


def is_urgent_change(load: Load, reported: Load) -> bool:
    """Return whether peers need to know of a changed load at once."""
    if load.serving != reported.serving:
        return True
    return (
        abs(load.pace - reported.pace)
        > reported.pace * URGENT_PACE_CHANGE_SHARE
    )


def is_unchanged(load: Load, reported: Load) -> bool:
    """Return whether a load need not be reported again.

    Estimates that change with every moment or request are not compared.
    """
    return load == reported._replace(
        cold_ms=load.cold_ms,
        work_ms=load.work_ms,
        outlook=load.outlook,
    )
