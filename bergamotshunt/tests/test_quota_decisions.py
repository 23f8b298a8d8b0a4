"""Decisions and messages of quotas, one at a time."""

from collections import Counter

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from msgspec.msgpack import encode

from bergamotshunt.decisions.quota_grants import (
    Grant,
    GrantOutcome,
    ShardKey,
    ShardRequest,
)
from bergamotshunt.decisions.quota_ledger import QuotaLedger
from bergamotshunt.decisions.quota_ownership import (
    CONTACT_LIMIT_S,
    START_DELAY_S,
    Ownership,
)
from bergamotshunt.decisions.quota_shards import (
    MAX_SHARDS,
    choose_owner,
    list_shards,
    order_shards,
)
from bergamotshunt.mesh_settings import Bounds
from bergamotshunt.peers.quota_messages import (
    QuotaDatagram,
    QuotaDatagramError,
    QuotaGrant,
    QuotaRequest,
    QuotaReturn,
    decode_quota_datagram,
    encode_quota_datagram,
)
from bergamotshunt.routing import ClientAccount

ZONE = 'zone-1'
IPS = tuple(f'10.0.0.{number}' for number in range(20))
ACCOUNT = ClientAccount('acme', rate_per_s=100)


@pytest.mark.parametrize(
    ('zones', 'shards'), [(1, 3), (2, 4), (3, 3), (4, 4), (5, 5), (14, 5)]
)
def test_shards_are_spread_over_the_zones(zones: int, shards: int) -> None:
    """Guards against shards of a small account that hold no whole token."""
    names = tuple(f'zone-{number}' for number in range(zones))
    listed = list_shards('acme', names)
    assert len(set(listed)) == shards <= MAX_SHARDS
    assert len({shard.zone for shard in listed}) == min(zones, shards)
    assert listed == list_shards('acme', tuple(reversed(names)))


def test_shards_of_the_own_zone_are_asked_first() -> None:
    """Guards against requests between zones that are not needed."""
    shards = list_shards('acme', ('zone-1', 'zone-2'))
    order = order_shards('acme', shards, IPS[0], 'zone-2')
    zones = [shards[index].zone for index in order]
    assert zones == ['zone-2', 'zone-2', 'zone-1', 'zone-1']


def test_owner_changes_only_with_its_own_membership() -> None:
    """Guards against buckets that start empty after unrelated changes."""
    (shard, *_) = list_shards('acme', (ZONE,))
    names = [f'account-{number}' for number in range(400)]
    before = {name: choose_owner(name, shard, {ZONE: IPS}) for name in names}
    after = {name: choose_owner(name, shard, {ZONE: IPS[1:]}) for name in names}
    moved = [name for name in names if before[name] != after[name]]
    assert {before[name] for name in moved} == {IPS[0]}
    assert max(Counter(before.values()).values()) <= 3 * len(names) / len(IPS)


def create_ledger(
    *, stored: bool = True, account: ClientAccount = ACCOUNT
) -> QuotaLedger:
    ownership = Ownership(IPS[0], 0)
    since_s = -START_DELAY_S if stored else None
    ownership.update({ZONE: IPS[:1]}, 0, own_since_s=since_s)
    ledger = QuotaLedger(ownership, (ZONE,), Bounds())
    ledger.update_accounts({account.name: account}, 0)
    ledger.confirm(0)
    return ledger


def ask(
    ledger: QuotaLedger, now_s: float, count: int = 1, number: int = 0
) -> Grant:
    key = ShardKey('acme', 0)
    request = ShardRequest(number or int(now_s * 1e6), key, count, IPS[0])
    return ledger.grant(request, IPS[1], now_s)


def test_owner_grants_after_the_start_delay_with_an_empty_bucket() -> None:
    """Guards against a new owner that grants what the old one granted."""
    ledger = create_ledger(stored=False)
    at_s = START_DELAY_S - 0.01
    ledger.confirm(at_s)
    assert ask(ledger, at_s).outcome is GrantOutcome.STARTING
    assert ask(ledger, START_DELAY_S).outcome is GrantOutcome.EMPTY
    # 33 tokens flow in per second.
    assert ask(ledger, START_DELAY_S + 0.1, 100).tokens == 3


@pytest.mark.parametrize(
    ('since_s', 'grants_from_s'),
    [(-START_DELAY_S, 0), (-1.5, START_DELAY_S - 1.5), (7.0, START_DELAY_S)],
)
def test_next_process_waits_for_the_rest_of_the_start_delay(
    since_s: float, grants_from_s: float
) -> None:
    """Guards against two owners after a restart of one that is new.

    The owner before may still grant. A record of a time that has not come
    is of before the last start of the host.
    """
    ownership = Ownership(IPS[0], 0)
    ownership.update({ZONE: IPS[:1]}, 0, own_since_s=since_s)
    (shard, *_) = list_shards('acme', (ZONE,))
    assert ownership.grants_from_s('acme', shard) == grants_from_s


def test_owner_without_contact_grants_nothing() -> None:
    """Guards against an owner that does not know that it was replaced."""
    ledger = create_ledger()
    assert ask(ledger, CONTACT_LIMIT_S - 0.01).outcome is GrantOutcome.GRANTED
    assert ask(ledger, CONTACT_LIMIT_S).outcome is GrantOutcome.UNCONFIRMED
    ledger.confirm(CONTACT_LIMIT_S)
    assert ask(ledger, CONTACT_LIMIT_S).outcome is GrantOutcome.GRANTED


def test_repeated_request_gets_the_same_tokens() -> None:
    """Guards against tokens that are lost with each repeated datagram."""
    ledger = create_ledger()
    for _ in range(3):
        assert ask(ledger, 0.1, 3, number=7).tokens == 3
    assert ask(ledger, 0.1, 3, number=8).outcome is GrantOutcome.EMPTY


def test_retry_time_tells_when_a_token_is_there() -> None:
    """Guards against refused clients that return too early, or all at once.

    Three shards of 33 tokens per second promise the tokens in turn.
    """
    ledger = create_ledger()
    first, second, third = (ask(ledger, 0.0, number=n) for n in (1, 2, 3))
    assert first.retry_after_ms == pytest.approx(30)
    assert second.retry_after_ms == pytest.approx(40)
    assert third.retry_after_ms == pytest.approx(50)
    assert ask(ledger, 0.0299).outcome is GrantOutcome.EMPTY
    assert ask(ledger, 0.0301).outcome is GrantOutcome.GRANTED


def test_account_without_a_limit_in_force_gets_nothing() -> None:
    """Guards against grants by a daemon with an older configuration."""
    ledger = create_ledger(account=ClientAccount('other', rate_per_s=1))
    assert ask(ledger, 1).outcome is GrantOutcome.UNKNOWN_ACCOUNT


@pytest.mark.parametrize(
    'datagram',
    [
        QuotaDatagram(request=QuotaRequest(1, 'acme', 4, 10, 3)),
        QuotaDatagram(
            grant=QuotaGrant(1, 'acme', 0, 0, 20.5, GrantOutcome.EMPTY)
        ),
        QuotaDatagram(returned=QuotaReturn(2**50, 'acme', 0, 9)),
    ],
)
def test_datagram_round_trip(datagram: QuotaDatagram) -> None:
    """Guards against fields that are lost on the way."""
    assert decode_quota_datagram(encode_quota_datagram(datagram)) == datagram


SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-3, 2**60)
    | st.floats()
    | st.text(max_size=3)
)


@given(st.lists(st.none() | st.lists(SCALARS, max_size=6), max_size=4))
@example([[1, 'acme', 5, 1, 1]])
@example([[1, 'acme', 0, 0, 1]])
@example([[1, '', 0, 1, 1]])
@example([[1, 'acme', 0, 1, 1], [1, 'acme', 0, 1, 1.0, 'empty']])
@example([None, [1, 'acme', 0, 1, float('nan'), 'empty']])
@example([])
@settings(derandomize=True, deadline=None, max_examples=300)
def test_malformed_datagram_is_rejected(content: list[object]) -> None:
    """Guards against datagrams that end the task or index no shard."""
    try:
        datagram = decode_quota_datagram(encode(content))
    except QuotaDatagramError:
        return
    (message,) = (one for one in datagram if one is not None)
    assert 0 <= message.shard < MAX_SHARDS
    assert message.account
