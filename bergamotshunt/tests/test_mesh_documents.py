"""Tests which documents the platform adapter accepts and rejects."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import decode, encode
from returns.result import Failure, Success

from bergamotshunt.backend.loads import (
    LoadDatagramError,
    decode_load_datagram,
)
from bergamotshunt.mesh_settings import Address, MeshSettings
from bergamotshunt.peers.peer_calls import decode_call, decode_result
from bergamotshunt.platform.announcements import (
    AnnouncementError,
    decode_announcement,
    decode_entry,
    encode_entry,
)
from bergamotshunt.platform.boot import decode_settings
from bergamotshunt.platform.configuration import (
    ConfigurationError,
    decode_configuration,
)
from bergamotshunt.routing import AnnouncedState, RequestKind
from bergamotshunt.tests.mesh import BOOKING_ROUTE, READ_ROUTE, configuration

SETTINGS_TEXT = """
node_name=host-1
ip=10.1.0.35
zone=zone-a
service=shop
listen.inbound=10.1.0.35:8145
listen.outbound=10.1.0.35:8141
listen.ready=10.1.0.35:8140
listen.control=10.1.0.35:8146
port_range=7660,7675
app_addr=10.1.0.35:8147
platform.address=10.200.1.7:8142
bounds=drain_ms=2500,grace_s=6,retry_budget_ratio=0.2,budget_slack=56
unknown.setting=1
"""
ANNOUNCEMENT = {
    'service': 'shop',
    'address': '10.1.0.35:8147',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 9,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
    'born': 1700,
    'unknown field': {},
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)


def valid_settings() -> MeshSettings:
    match decode_settings(SETTINGS_TEXT):
        case Success(decoded):
            return decoded
    raise AssertionError('the settings file was rejected')


def test_settings_are_decoded() -> None:
    """Guards against settings that are read from the wrong key."""
    decoded = valid_settings()
    assert decoded.server == Address('10.1.0.35', 8147)
    assert decoded.datagram_port == 7660
    assert (decoded.bounds.drain_ms, decoded.bounds.retry_slack) == (2500, 56)


def test_all_invalid_settings_are_reported_at_once() -> None:
    """Guards against reporting only the first of several errors."""
    text = SETTINGS_TEXT.replace('zone=zone-a', '').replace(
        '10.1.0.35:8147', 'x'
    )
    match decode_settings(text):
        case Failure(errors):
            assert len(errors) == 2
            assert any('app_addr' in error for error in errors)
            return
    raise AssertionError('the invalid settings file was accepted')


def test_configuration_is_decoded() -> None:
    """Guards against wrong kinds, traffic splits and prefix order.

    Routes are matched in order, so longer prefixes have to come first.
    """
    from base64 import b64decode

    split = [
        {'service': 'shop', 'weight': 90},
        {'service': 'depot', 'weight': 10},
    ]
    longer = {'prefix': '/read/more/', 'kind': 'safe', 'traffic_split': split}
    document = b64decode(configuration(5, READ_ROUTE, longer, BOOKING_ROUTE))
    routing = decode_configuration(document)
    routes = routing.routes_by_host['shop.example']
    assert routing.version == 5
    assert routes[0].prefix == '/read/more/'
    assert [part.weight for part in routes[0].weighted_services] == [90, 10]
    assert {route.kind for route in routes} == {
        RequestKind.SAFE,
        RequestKind.UNSAFE,
    }


def test_announcement_is_decoded() -> None:
    """Guards against an incarnation or a state that is decoded wrongly."""
    entry = decode_announcement('i-1', encode(ANNOUNCEMENT), valid_settings())
    assert (entry.born_ms, entry.sequence) == (1700, 4)
    assert entry.state is AnnouncedState.READY
    assert decode_entry(encode_entry(entry)) == entry


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'sleeping'},
        {'slots': '9'},
        {'seq': True},
        {'seq': None},
        {'service': ''},
        {'service': 5},
        {'born': 1.5},
    ],
)
def test_malformed_announcement_is_rejected(change: dict[str, object]) -> None:
    """Guards against accepting malformed entries as servers.

    Another writer may use the same keys or paths.
    """
    with pytest.raises(AnnouncementError):
        decode_announcement(
            'i-1', encode(ANNOUNCEMENT | change), valid_settings()
        )


@given(JSON)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_document_is_decoded_or_rejected(document: object) -> None:
    """Guards against decoders that raise undocumented exceptions."""
    try:
        content = encode(document)
        decode(content)
    except (ValueError, UnicodeEncodeError):
        return
    decoders = (
        lambda: decode_announcement('i-1', content, valid_settings()),
        lambda: decode_entry(content),
        lambda: decode_configuration(content),
    )
    for decoder in decoders:
        with pytest.raises((AnnouncementError, ConfigurationError)):
            decoder()


@given(st.binary(max_size=200))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_bytes_of_a_peer_are_decoded_or_ignored(content: bytes) -> None:
    """Guards against exceptions on malformed datagrams and headers."""
    with suppress(LoadDatagramError):
        decode_load_datagram(content)
    for decoder in (decode_call, decode_result):
        decoder(content)
