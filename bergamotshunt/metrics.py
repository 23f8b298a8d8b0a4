"""All metrics of the daemon, in one place.

Labels take their values from fixed sets, so that the number of time series
does not grow with callers, services or members.
"""

from typing import Final

from prometheus_client import Counter, Gauge

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
