"""Forms of booking keys and the time for which a UUIDv7 is accepted."""

from http import HTTPStatus
from typing import Final
from uuid import UUID

from returns.result import Failure, Result, Success

from bergamotshunt.verdicts import (
    CallFailure,
    create_refusal,
    create_unknown_outcome,
)

UUID_VERSION: Final = 7
TIMESTAMP_SHIFT: Final = 80
# A claim is kept for 25 h, so a key that is accepted for 24 h, from a
# clock that is 5 min ahead at most, never outlives its claim.
MAX_AGE_MS: Final = 24 * 3_600_000
MAX_AHEAD_MS: Final = 5 * 60_000
ALLOWED: Final = (
    'Idempotency-Key must be a ticket (bk1.<daemon id>.<process id>.<era>.'
    '<random>) or a UUIDv7 in lower case with hyphens'
)


def parse_uuid7_ms(key: str) -> int | None:
    """Return the timestamp (ms since the epoch) of a UUIDv7.

    Only the canonical text is accepted: two spellings of one UUID would
    be two keys to the guard.
    """
    try:
        parsed = UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != key:
        return None
    return parsed.int >> TIMESTAMP_SHIFT


def check_uuid7(key: str, now_ms: float) -> Result[str, CallFailure]:
    """Check the form and the time of a key that is not a ticket.

    Args:
        key: Booking key.
        now_ms: Wall clock, ms since the epoch.
    """
    made_at_ms = parse_uuid7_ms(key)
    if made_at_ms is None:
        return Failure(
            create_refusal(
                'malformed-booking-key',
                ALLOWED,
                HTTPStatus.BAD_REQUEST,
            ),
        )
    if now_ms - MAX_AGE_MS <= made_at_ms <= now_ms + MAX_AHEAD_MS:
        return Success(key)
    return Failure(
        create_unknown_outcome(
            'booking-key-time',
            'the time in the UUIDv7 is more than 24 h ago or more than 5 min '
            'ahead; whether this key ran is not known any more',
            HTTPStatus.CONFLICT,
        ),
    )
