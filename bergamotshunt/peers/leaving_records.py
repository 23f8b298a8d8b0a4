"""Requests between daemons about leaving servers that they remember."""

from asyncio import timeout
from http import HTTPStatus
from typing import Final
from urllib.parse import parse_qsl, urlencode

from msgspec.json import encode

from bergamotshunt.decisions.leaving_records import WITNESS_COUNT
from bergamotshunt.decisions.past_knowledge import WitnessAnswer
from bergamotshunt.decisions.watch_sources import FeedPeer
from bergamotshunt.decoding import (
    MalformedInputError,
    convert_malformed,
    decode_json,
)
from bergamotshunt.http.bodies import IncompleteBodyError
from bergamotshunt.http.client_pool import ClientPool, WholeResponse
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.heads import (
    Header,
    encode_request_head,
)
from bergamotshunt.kernel import MessageBus, TaskStoppedError
from bergamotshunt.mesh_messages import (
    LeavingRecord,
    LeavingRecordAsked,
    LeavingReported,
)
from bergamotshunt.platform.announcements import (
    AnnouncementError,
    decode_entry,
    encode_entry,
)
from bergamotshunt.routing import ServerEntry
from bergamotshunt.value_checks import check_ipv4

LEAVING_PATH: Final = b'/bergamotshunt/leaving-servers'
# A daemon that was not there for as long as records are kept leaves it out.
REMEMBERS_ALL_HEADER: Final = b'Bergamotshunt-Remembers-All'
WITNESSES_HEADER: Final = b'Bergamotshunt-Witnesses'
WITNESSES_KEY: Final = WITNESSES_HEADER.lower()
MAX_ENTRY_BYTES: Final = 16_384
# A daemon waits for its witnesses before it acknowledges or starts to serve.
REQUEST_TIMEOUT_S: Final = 0.3


class WitnessError(Exception):
    """A daemon did not answer a request about a leaving server."""


async def send_record(peer: FeedPeer, entry: ServerEntry) -> None:
    """Let a peer remember that a server leaves.

    Raises:
        WitnessError: The peer did not confirm it in time.
    """
    await _fetch(peer, b'PUT', LEAVING_PATH, encode_entry(entry))


async def fetch_record(peer: FeedPeer, ip: str) -> WitnessAnswer:
    """Return what a peer remembers of a host's leaving server.

    Raises:
        WitnessError: The peer did not answer in time.
    """
    target = b'%b?%b' % (LEAVING_PATH, urlencode({'ip': ip}).encode())
    response = await _fetch(peer, b'GET', target)
    by_name = response.head.by_name
    try:
        answer = WitnessAnswer(
            peer,
            remembers_all=REMEMBERS_ALL_HEADER.lower() in by_name,
            witnesses=_decode_witnesses(by_name.get(WITNESSES_KEY, b'[]')),
        )
        if response.head.status == HTTPStatus.NO_CONTENT:
            return answer
        entry = decode_entry(response.content)
    except (AnnouncementError, MalformedInputError) as error:
        raise WitnessError(f'unusable record of {peer.ip}: {error}') from error
    if entry.ip != ip or not entry.is_leaving:
        raise WitnessError(f'record of {peer.ip} for another host: {entry}')
    return answer._replace(entry=entry)


async def serve_leaving_record(exchange: Exchange, bus: MessageBus) -> None:
    """Respond to a request of a peer: record an entry, or return one."""
    try:
        if exchange.head.method == b'PUT':
            await _serve_report(exchange, bus)
        else:
            await _serve_query(exchange, bus)
    except (MalformedInputError, AnnouncementError):
        exchange.respond(HTTPStatus.BAD_REQUEST, [])
    except (TimeoutError, TaskStoppedError):
        exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, [])
    except IncompleteBodyError:
        exchange.abort()


async def _serve_report(exchange: Exchange, bus: MessageBus) -> None:
    content = await exchange.body.read_up_to(MAX_ENTRY_BYTES)
    entry = decode_entry(content)
    if not entry.is_leaving:
        raise AnnouncementError(f'expected a leaving server, got {entry.state}')
    await bus.ask(LeavingReported(entry), REQUEST_TIMEOUT_S)
    exchange.respond(HTTPStatus.NO_CONTENT, [])


async def _serve_query(exchange: Exchange, bus: MessageBus) -> None:
    query = exchange.head.target.partition(b'?')[2]
    with convert_malformed('malformed query of a leaving server'):
        fields = dict(parse_qsl(query.decode()))
        ip = check_ipv4('address of the host', fields['ip'])
    record = await bus.ask(LeavingRecordAsked(ip), REQUEST_TIMEOUT_S)
    headers = _record_headers(record)
    if record.entry is None:
        exchange.respond(HTTPStatus.NO_CONTENT, headers)
    else:
        exchange.respond(HTTPStatus.OK, headers, encode_entry(record.entry))


def _record_headers(record: LeavingRecord) -> list[Header]:
    headers = [(WITNESSES_HEADER, encode(record.witnesses))]
    if record.remembers_all:
        headers.append((REMEMBERS_ALL_HEADER, b'1'))
    return headers


def _decode_witnesses(content: bytes) -> tuple[FeedPeer, ...]:
    """Decode the witnesses that a peer would choose.

    Raises:
        MalformedInputError: They cannot be used.
    """
    witnesses = decode_json(content, 'witnesses', tuple[FeedPeer, ...])
    with convert_malformed('malformed witnesses'):
        for witness in witnesses:
            check_ipv4('address of a witness', witness.ip)
    return tuple(witnesses[:WITNESS_COUNT])


async def _fetch(
    peer: FeedPeer, method: bytes, target: bytes, content: bytes = b''
) -> WholeResponse:
    head = encode_request_head(
        method, target, [(b'Host', peer.ip.encode())], len(content)
    )
    pool = ClientPool(peer.ip, peer.port)
    try:
        async with timeout(REQUEST_TIMEOUT_S):
            response = await pool.fetch(head + content, MAX_ENTRY_BYTES)
    except (ConnectionError, TimeoutError) as error:
        raise WitnessError(f'no answer of {peer.ip}: {error!r}') from error
    finally:
        pool.close()
    status = response.head.status
    if status not in {HTTPStatus.OK, HTTPStatus.NO_CONTENT}:
        raise WitnessError(
            f'expected status 200 or 204 of {peer.ip}, got {status}'
        )
    return response
