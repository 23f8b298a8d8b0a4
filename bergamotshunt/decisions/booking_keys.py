"""Forms of booking keys, and the time window of UUIDv7 keys."""

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
# A UUIDv7 has the ms since the epoch in the upper 48 of its 128 bits.
TIMESTAMP_SHIFT_BITS: Final = 80
HOUR_MS: Final = 3_600_000
# Window for the time in a UUIDv7, around the clock of the daemon; the clock
# that made the key may be ahead.
MAX_AGE_MS: Final = 24 * HOUR_MS
MAX_AHEAD_MS: Final = 5 * 60_000
# A claim must outlive the time for which its key is accepted: the clock of
# the daemon that removes old claims may be 12 h ahead of another daemon's.
CLAIM_RETENTION_MS: Final = 36 * HOUR_MS
CLAIMS_PREFIX: Final = 'claims/'
ALLOWED_FORMS: Final = (
    'Idempotency-Key must be a ticket (bk1.<daemon id>.<process id>.<era>.'
    '<random>) or a UUIDv7 in lower case with hyphens'
)


def claim_key(service: str, key: str) -> str:
    """Return the key of a claim in the platform's store.

    The booking key goes first: UUIDv7 sort by time, so that all claims
    before a time form one range.
    """
    return f'{CLAIMS_PREFIX}{key}/{service}'


def expired_claims_range(now_ms: float) -> tuple[str, str]:
    """Return the range of store keys of claims that have expired.

    Args:
        now_ms: Wall clock, ms since the epoch.

    Returns:
        First key and end (exclusive).
    """
    oldest_ms = int(now_ms - CLAIM_RETENTION_MS)
    oldest = UUID(int=oldest_ms << TIMESTAMP_SHIFT_BITS)
    return CLAIMS_PREFIX, f'{CLAIMS_PREFIX}{oldest}'


def parse_uuid7_ms(key: str) -> int | None:
    """Return the timestamp (ms since the epoch) of a UUIDv7.

    Only the canonical text is accepted: the guard would take two spellings
    of one UUID for two keys.

    Returns:
        The timestamp, or None when the key is no canonical UUIDv7.
    """
    try:
        parsed = UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != key:
        return None
    return parsed.int >> TIMESTAMP_SHIFT_BITS


def check_uuid7(key: str, now_ms: float) -> Result[str, CallFailure]:
    """Check the form and the time of a key that is not a ticket.

    Args:
        key: Booking key.
        now_ms: Wall clock, ms since the epoch.

    Returns:
        The key, or the failure to respond with.
    """
    created_ms = parse_uuid7_ms(key)
    if created_ms is None:
        return Failure(
            create_refusal(
                'malformed-booking-key',
                ALLOWED_FORMS,
                HTTPStatus.BAD_REQUEST,
            ),
        )
    if now_ms - MAX_AGE_MS <= created_ms <= now_ms + MAX_AHEAD_MS:
        return Success(key)
    return Failure(
        create_unknown_outcome(
            'booking-key-time',
            f'the time in the UUIDv7, {created_ms} ms since the epoch, is more '
            'than 24 h before or more than 5 min after the clock of this '
            f'host, {int(now_ms)} ms; whether this key ran is no longer known',
            HTTPStatus.CONFLICT,
        ),
    )
