"""Whether a request may run, by the API key that it states."""

from enum import StrEnum
from http import HTTPStatus
from typing import Final, NamedTuple

from bergamotshunt.api_keys import ApiKey
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.routing import ClientAccount, Route, Routing

MS_PER_S: Final = 1000
# Shares of the time after which a withdrawn key must be refused. The rest is
# for the attempts of an admitted request, and for their way to the server.
ADMISSION_SHARE: Final = 0.8
SENDING_SHARE: Final = 0.9
# Daemons in contact get a confirmation every 0.5 s.
CONFIRMATION_RETRY_MS: Final = 500.0


class Nesting(StrEnum):
    """Whether a request may be a call of a request that runs on this host."""

    NONE = 'none'
    # Its id has the form of a nested call's. The process of this daemon may
    # have started after the parent.
    UNKNOWN_PARENT = 'unknown-parent'
    RUNNING_PARENT = 'running-parent'


class RefusalReason(StrEnum):
    """Why a request was refused; stable codes for logs and metrics."""

    KEY_MISSING = 'key-missing'
    KEY_UNKNOWN = 'key-unknown'
    PARENT_UNKNOWN = 'parent-unknown'
    # The key is in the configuration in force, which may be outdated.
    UNCONFIRMED = 'unconfirmed'


class KeyRefusal(NamedTuple):
    """Refusal of a request, which does not run.

    Attributes:
        status: 401 if the key is wrong for certain, otherwise 503.
        reason: Reason code.
        retry_after_ms: Time after which to send it again, in milliseconds;
            0 if that does not help.
    """

    status: HTTPStatus
    reason: RefusalReason
    retry_after_ms: float = 0


class Admission(NamedTuple):
    """Result of the authentication of a request.

    Attributes:
        account: Client account of its key; None for none.
        refusal: Why it is refused; None if it may run.
        valid_ms: Time within which it has to be sent to a backend server, in
            milliseconds; None for no limit.
    """

    account: ClientAccount | None = None
    refusal: KeyRefusal | None = None
    valid_ms: float | None = None


WITHOUT_ACCOUNT: Final = Admission()


def authenticate(
    routing: Routing,
    route: Route,
    key: ApiKey | None,
    nesting: Nesting,
    confirmation_age_s: float | None,
    bounds: Bounds,
) -> Admission:
    """Authenticate a request.

    A key takes precedence over the form of the request's id, so that no
    client avoids the check of its key by the choice of an id.

    Args:
        routing: The configuration in force.
        route: Route of the request.
        key: The key that it states.
        nesting: Whether it may be a nested call, which has no key.
        confirmation_age_s: Time since the configuration in force was known to
            be the newest, in seconds; None for never.
        bounds: Limits that the platform sets.
    """
    if not routing.needs_keys:
        return WITHOUT_ACCOUNT
    if key is None:
        admission = _check_missing_key(nesting, confirmation_age_s, bounds)
    else:
        account = routing.accounts_by_key.get(key.reveal())
        admission = _check_key(account, confirmation_age_s, bounds)
    if route.requires_key:
        return admission
    # Without a refusal there is no time limit either.
    return Admission(admission.account)


def _check_missing_key(
    nesting: Nesting, age_s: float | None, bounds: Bounds
) -> Admission:
    if nesting is Nesting.RUNNING_PARENT:
        return WITHOUT_ACCOUNT
    if nesting is Nesting.UNKNOWN_PARENT:
        return _refuse_for_now(RefusalReason.PARENT_UNKNOWN)
    return _refuse_wrong_key(RefusalReason.KEY_MISSING, age_s, bounds)


def _check_key(
    account: ClientAccount | None, age_s: float | None, bounds: Bounds
) -> Admission:
    if account is None:
        return _refuse_wrong_key(RefusalReason.KEY_UNKNOWN, age_s, bounds)
    if not bounds.strict_revoke:
        return Admission(account)
    if age_s is None or age_s * MS_PER_S >= ADMISSION_SHARE * bounds.revoke_ms:
        return _refuse_for_now(RefusalReason.UNCONFIRMED)
    valid_ms = SENDING_SHARE * bounds.revoke_ms - age_s * MS_PER_S
    return Admission(account, valid_ms=valid_ms)


def _refuse_wrong_key(
    reason: RefusalReason, age_s: float | None, bounds: Bounds
) -> Admission:
    """Refuse with 401 only if no newer configuration can have the key."""
    if age_s is None or age_s * MS_PER_S >= bounds.config_apply_ms:
        return _refuse_for_now(reason)
    return Admission(refusal=KeyRefusal(HTTPStatus.UNAUTHORIZED, reason))


def _refuse_for_now(reason: RefusalReason) -> Admission:
    return Admission(
        refusal=KeyRefusal(
            HTTPStatus.SERVICE_UNAVAILABLE, reason, CONFIRMATION_RETRY_MS
        )
    )
