"""Whether a daemon's targets are confirmed, so that it may serve."""

from math import ceil, inf, log2
from typing import NamedTuple

from bergamotshunt.messages import ConfirmationChanged

MS_PER_S = 1000
STALE_TARGETS_DETAIL = 'the targets in force were not confirmed for too long'
NOT_LOADED_DETAIL = 'no targets loaded yet from the platform or a peer'


class Contacts(NamedTuple):
    """When this daemon last had contact; times are monotonic, in ms.

    Attributes:
        loaded: Whether targets were loaded since the start.
        platform_ms: Last valid response of the platform, or None.
        peer_ms: Last contact with any other member, or None.
        confirmed_ms: When the revision in force was last known to be the
            newest, here or at the peer that reported it; None for never.
        other_member_count: Number of known other members that have not left.
    """

    loaded: bool = False
    platform_ms: float | None = None
    peer_ms: float | None = None
    confirmed_ms: float | None = None
    other_member_count: int = 0


class ConfirmationRules(NamedTuple):
    """Settings of the decision.

    Attributes:
        confirm_within_ms: How long a daemon serves without any contact.
        refuse_unconfirmed: Whether it also refuses new work when the
            platform is unreachable for all members that it reaches.
        probe_interval_ms: Time between two probes of a daemon.
    """

    confirm_within_ms: float
    refuse_unconfirmed: bool
    probe_interval_ms: float


def decide_confirmation(
    contacts: Contacts,
    rules: ConfirmationRules,
    now_ms: float,
) -> ConfirmationChanged:
    """Decide whether new work is accepted."""
    if not contacts.loaded:
        return ConfirmationChanged(
            confirmed=False,
            detail=NOT_LOADED_DETAIL,
        )
    silence_ms = now_ms - last_contact_ms(contacts)
    if contacts.other_member_count and silence_ms > rules.confirm_within_ms:
        return ConfirmationChanged(
            confirmed=False,
            detail='neither the platform nor any other member was reached '
            f'for {silence_ms / MS_PER_S:.1f} s; at most '
            f'{rules.confirm_within_ms / MS_PER_S:g} s are allowed',
        )
    age_ms = confirmation_age_ms(contacts, now_ms)
    allowed_ms = rules.confirm_within_ms + propagation_allowance_ms(
        contacts, rules
    )
    if rules.refuse_unconfirmed and age_ms > allowed_ms:
        return ConfirmationChanged(
            confirmed=False,
            detail='the platform has not confirmed the targets '
            f'for {age_ms / MS_PER_S:.1f} s; at most '
            f'{allowed_ms / MS_PER_S:g} s are allowed',
        )
    return ConfirmationChanged(confirmed=True, detail='')


def serve_until_ms(contacts: Contacts, rules: ConfirmationRules) -> float:
    """Return when new work is refused if there is no further contact.

    Returns:
        Monotonic time in ms; infinite when nothing limits the service.
    """
    if not contacts.loaded:
        return 0
    limits_ms = [inf]
    if contacts.other_member_count:
        limits_ms.append(last_contact_ms(contacts) + rules.confirm_within_ms)
    if rules.refuse_unconfirmed:
        allowed_ms = rules.confirm_within_ms + propagation_allowance_ms(
            contacts, rules
        )
        limits_ms.append((contacts.confirmed_ms or 0) + allowed_ms)
    return min(limits_ms)


def last_contact_ms(contacts: Contacts) -> float:
    """Return the time of the last contact of any kind."""
    return max(contacts.platform_ms or 0, contacts.peer_ms or 0)


def confirmation_age_ms(contacts: Contacts, now_ms: float) -> float:
    """Return the time in ms since the revision in force was confirmed."""
    return now_ms - (contacts.confirmed_ms or 0)


def propagation_allowance_ms(
    contacts: Contacts, rules: ConfirmationRules
) -> float:
    """Return the time in ms that a confirmation takes to reach all members.

    Every datagram carries the confirmation of its sender, so with one probe
    per interval it reaches n members in about log2(n) intervals.
    """
    return rules.probe_interval_ms * ceil(log2(contacts.other_member_count + 1))


def needs_platform_read(
    contacts: Contacts,
    rules: ConfirmationRules,
    is_reader: bool,
    now_ms: float,
) -> bool:
    """Return whether to read the newest revision from the platform now.

    Readers read it three times within ``confirm_within_ms``. Other daemons
    read it only when they reached no member for half of that time, so that
    the platform's load does not grow with the fleet.
    """
    if is_reader or not contacts.other_member_count:
        return (
            now_ms - (contacts.platform_ms or 0) >= rules.confirm_within_ms / 3
        )
    return now_ms - last_contact_ms(contacts) >= rules.confirm_within_ms / 2
