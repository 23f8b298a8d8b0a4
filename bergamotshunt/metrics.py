"""Prometheus metrics that the daemon's tasks share.

Label values come from fixed sets, so that the number of time series does not
grow with callers, services or members.
"""

from typing import Final

from prometheus_client import Counter, Gauge, Histogram

TARGETS_REVISION: Final = Gauge(
    'bergamotshunt_targets_revision',
    'Revision of the targets in force.',
)
TARGETS_CONFIRMATION_AGE: Final = Gauge(
    'bergamotshunt_targets_confirmation_age_seconds',
    'Time since the revision in force was known to be the newest.',
)
TARGETS_CONFIRMED: Final = Gauge(
    'bergamotshunt_targets_confirmed',
    '1 while the daemon serves with the targets it holds, otherwise 0.',
)
MEMBERS_BEHIND: Final = Gauge(
    'bergamotshunt_members_behind',
    'Members last heard with an older revision of the targets.',
)
PLATFORM_CALLS: Final = Counter(
    'bergamotshunt_platform_calls_total',
    'Calls to the platform by kind and result.',
    ('kind', 'result'),
)
CHANGES_APPLIED: Final = Counter(
    'bergamotshunt_targets_changes_applied_total',
    'Changes of targets put in force, by where they came from.',
    ('source',),
)
SUBMISSIONS: Final = Counter(
    'bergamotshunt_targets_submissions_total',
    'Changes that operators submitted here, by result.',
    ('result',),
)
CALLS: Final = Counter(
    'bergamotshunt_calls_total',
    "Callers' requests by service, target, verdict and outcome; internal "
    'checks are left out.',
    ('service', 'target', 'verdict', 'outcome'),
)
CALL_SECONDS: Final = Histogram(
    'bergamotshunt_call_seconds',
    'Time from the head of a request to the end of its answer.',
    ('service', 'target'),
    buckets=(
        0.001,
        0.0025,
        0.005,
        0.01,
        0.025,
        0.05,
        0.1,
        0.25,
        0.5,
        1,
        2.5,
        5,
        10,
    ),
)
EXTRA_ATTEMPTS: Final = Counter(
    'bergamotshunt_extra_attempts_total',
    'Retries, hedged requests, and retries that the budget refused.',
    ('service', 'kind'),
)
EJECTED_SERVERS: Final = Gauge(
    'bergamotshunt_ejected_servers',
    'Servers of a service that this daemon has ejected.',
    ('service',),
)


def set_target_gauges(revision: int, age_s: float, confirmed: bool) -> None:
    """Set the gauges that describe the targets in force.

    Args:
        revision: Revision of the targets.
        age_s: Time since that revision was known to be the newest.
        confirmed: Whether the daemon may serve with these targets.
    """
    TARGETS_REVISION.set(revision)
    TARGETS_CONFIRMATION_AGE.set(age_s)
    TARGETS_CONFIRMED.set(confirmed)
