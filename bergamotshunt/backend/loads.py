"""Load reports of backend servers and their encoding in datagrams."""

from typing import Any, Final, NamedTuple

from msgspec.msgpack import encode

from bergamotshunt.decisions.pace_forecasts import PaceForecast
from bergamotshunt.decoding import convert_malformed, decode_msgpack
from bergamotshunt.routing import ServerEntry, check_server_entry
from bergamotshunt.value_checks import (
    MAX_PACE,
    check_header_text,
    check_integer,
    check_ipv4,
    check_number,
)

BASELINE_PACE: Final = 1.0
# A relative change of the pace above this is reported at once.
URGENT_PACE_CHANGE_SHARE: Final = 0.2
# Numbers of the fields that daemons of all versions know.
LOAD_BASE_FIELDS: Final = 8
SUBSCRIPTION_BASE_FIELDS: Final = 3


class LoadDatagramError(ValueError):
    """A load datagram is malformed."""


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
        start_rate: Requests per second that its daemon sends to it; 0 for
            no limit.
        start_delay_ms: Time until its daemon may send the next request.
    """

    running: int = 0
    waiting: int = 0
    limit: int = 1
    pace: float = BASELINE_PACE
    work_ms: float = 0
    cold_ms: float = 0
    serving: bool = True
    outlook: PaceForecast = PaceForecast()
    start_rate: float = 0
    start_delay_ms: float = 0


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
        interval_ms: Shortest time between two reports of an ordinary change,
            in milliseconds.
        in_use: Whether clients of the sender use the service at present.
    """

    ip: str
    version: int
    interval_ms: int = 0
    in_use: bool = True


class LoadDatagram(NamedTuple):
    """A load report or a subscription to them; exactly one field is set."""

    report: InstanceLoadReport | None = None
    subscription: Subscription | None = None


def encode_load_datagram(datagram: LoadDatagram) -> bytes:
    """Encode a load datagram as MessagePack."""
    report, subscription = datagram
    return encode(
        (
            report and _encodable_report(report),
            subscription and _encodable_subscription(subscription),
        )
    )


def decode_load_datagram(content: bytes) -> LoadDatagram:
    """Decode a load datagram.

    Raises:
        LoadDatagramError: It is malformed.
    """
    with convert_malformed('malformed load datagram', LoadDatagramError):
        datagram = decode_msgpack(content, 'datagram', LoadDatagram)
        report, subscription = datagram
        return LoadDatagram(
            report and _check_report(report),
            subscription and _check_subscription(subscription),
        )


def check_load(load: Load) -> Load:
    """Check a load that another daemon sent.

    Raises:
        ValueError: A value is not allowed.
    """
    check_integer('running', load.running)
    check_integer('waiting', load.waiting)
    check_integer('limit', load.limit)
    check_number('pace', load.pace, maximum=MAX_PACE)
    check_number('work', load.work_ms)
    check_number('warm-up time', load.cold_ms)
    _check_forecast(load.outlook)
    _check_start_limit(load)
    return load


def _check_forecast(forecast: PaceForecast) -> None:
    check_number('time left in the phase', forecast.phase_left_ms)
    check_number('length of a phase', forecast.phase_ms)
    check_number('share of slow phases', forecast.slow_share, maximum=1)
    check_number('normal pace', forecast.normal_pace, maximum=MAX_PACE)
    check_number('slow pace', forecast.slow_pace, maximum=MAX_PACE)


def _check_start_limit(load: Load) -> None:
    check_number('rate of starts', load.start_rate)
    check_number('delay of the next start', load.start_delay_ms)


def _check_report(report: InstanceLoadReport) -> InstanceLoadReport:
    check_header_text('instance', report.instance)
    check_load(report.load)
    check_integer('version', report.version)
    if report.entry is not None:
        check_server_entry(report.entry)
    return report


def _check_subscription(subscription: Subscription) -> Subscription:
    check_ipv4('address of the subscriber', subscription.ip)
    check_integer('version', subscription.version)
    check_integer('interval', subscription.interval_ms)
    return subscription


def encodable_load(load: Load) -> tuple[Any, ...]:
    """Return a load in the form that is sent to other daemons.

    Fields that earlier versions do not know are left out at their defaults:
    a daemon of such a version rejects a longer array.
    """
    short = shorten(load)
    if short.start_rate or short.start_delay_ms:
        return short
    return short[:LOAD_BASE_FIELDS]


def _encodable_report(report: InstanceLoadReport) -> tuple[Any, ...]:
    instance, load, version, entry = report
    return (instance, encodable_load(load), version, entry)


def _encodable_subscription(subscription: Subscription) -> tuple[Any, ...]:
    if subscription.in_use:
        return subscription[:SUBSCRIPTION_BASE_FIELDS]
    return subscription


def shorten(load: Load) -> Load:
    """Round times to milliseconds: integers take fewer bytes to send."""
    outlook = load.outlook
    return load._replace(
        start_rate=_shorten_factor(round(load.start_rate, 1)),
        start_delay_ms=round(load.start_delay_ms),
        pace=_shorten_factor(load.pace),
        work_ms=round(load.work_ms),
        cold_ms=round(load.cold_ms),
        outlook=PaceForecast(
            phase_left_ms=round(outlook.phase_left_ms),
            phase_ms=round(outlook.phase_ms),
            slow_share=_shorten_factor(outlook.slow_share),
            normal_pace=_shorten_factor(outlook.normal_pace),
            slow_pace=_shorten_factor(outlook.slow_pace),
        ),
    )


def _shorten_factor(factor: float) -> float:
    return int(factor) if factor == int(factor) else factor


def is_urgent_change(load: Load, reported: Load) -> bool:
    """Return whether peers need to know of a changed load at once."""
    if load.serving != reported.serving:
        return True
    if load.start_rate and not reported.start_rate:
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
        start_delay_ms=load.start_delay_ms,
    )
