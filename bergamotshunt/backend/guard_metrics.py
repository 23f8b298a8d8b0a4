"""Metrics of the guard and the prober.

The number of label values is bounded: reasons are constants of the code,
targets are those that the operators configured.
"""

from typing import Final

from prometheus_client import Counter, Gauge

from bergamotshunt.choice.calls import LoadReport

METRIC_PREFIX: Final = 'bergamotshunt_guard_'

IN_FLIGHT: Final = Gauge(
    f'{METRIC_PREFIX}in_flight',
    'Requests running on the backend server.',
)
LIMIT: Final = Gauge(f'{METRIC_PREFIX}limit', 'Concurrency limit in force.')
QUEUED: Final = Gauge(
    f'{METRIC_PREFIX}queued', 'Requests that wait for a slot.'
)
REQUESTS: Final = Counter(
    f'{METRIC_PREFIX}requests',
    'Requests by target and outcome; the outcome is a reason or answered.',
    ('target', 'outcome'),
)
BOOKING_ACTIONS: Final = Counter(
    f'{METRIC_PREFIX}bookings',
    'Requests with a booking key by what the booking table decided.',
    ('step',),
)
BOOKING_KEYS: Final = Gauge(
    f'{METRIC_PREFIX}booking_keys', 'Booking keys in memory.'
)
MEASURING_SPENT: Final = Counter(
    'bergamotshunt_measuring_spent_slot_ms',
    'Slot-milliseconds of the backend server spent on probes.',
)
MEASURING_ALLOWED: Final = Counter(
    'bergamotshunt_measuring_allowed_slot_ms',
    'Slot-milliseconds that the measuring budget has allowed.',
)
REPORTED_LOAD: Final = Gauge(
    'bergamotshunt_server_reported_load',
    'Requests in flight as the backend server reports them; may be stale.',
)


def set_gauges(load: LoadReport, booking_keys: int) -> None:
    """Set the gauges.

    Called once a second; setting them on each request costs more.
    """
    IN_FLIGHT.set(load.in_flight)
    LIMIT.set(load.limit)
    QUEUED.set(load.queued)
    BOOKING_KEYS.set(booking_keys)
