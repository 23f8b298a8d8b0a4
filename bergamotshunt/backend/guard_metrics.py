"""Metrics of the guard and the prober.

The number of label values is bounded: reasons are constants of the code,
targets are those that the operators configured.
"""

from typing import Final

from prometheus_client import Counter, Gauge

from bergamotshunt.choice.calls import LoadReport

PREFIX: Final = 'bergamotshunt_guard_'

IN_FLIGHT: Final = Gauge(
    f'{PREFIX}in_flight',
    'Requests running on the backend server.',
)
LIMIT: Final = Gauge(f'{PREFIX}limit', 'Concurrency limit in force.')
QUEUED: Final = Gauge(f'{PREFIX}queued', 'Requests that wait for a slot.')
REQUESTS: Final = Counter(
    f'{PREFIX}requests',
    'Requests by target and outcome; the outcome is a reason or answered.',
    ('target', 'outcome'),
)
BOOKINGS: Final = Counter(
    f'{PREFIX}bookings',
    'Requests with a booking key by what the booking table decided.',
    ('step',),
)
KEYS_HELD: Final = Gauge(f'{PREFIX}booking_keys', 'Booking keys in memory.')
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
    KEYS_HELD.set(booking_keys)
