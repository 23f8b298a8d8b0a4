"""Requests that offer to switch to another protocol."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener

IP = '127.0.0.1'
OFFER = (
    b'Host: x\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'
)
BODY = b'amount=12' * 1000
CHUNKED_BODY = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)
BODIES = {
    'length': b'Content-Length: %d\r\n\r\n%b' % (len(BODY), BODY),
    'chunks': b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKED_BODY,
}


async def serve(exchange: Exchange) -> None:
    body = await exchange.body.read_up_to(1 << 20)
    exchange.respond(200, [], exchange.head.method + b' ' + body)


async def send(pieces: list[bytes]) -> bytes:
    """Send pieces in segments of their own; return all responses."""
    listener = Listener(serve)
    port = await listener.open(IP, 0)
    reader, writer = await asyncio.open_connection(IP, port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.02)
    async with asyncio.timeout(10):
        received = await reader.read()
    writer.close()
    await listener.close()
    return received


@pytest.mark.parametrize('framed_body', BODIES.values(), ids=BODIES.keys())
@pytest.mark.parametrize('split_at', [0, 40, 200, 5000])
def test_request_with_an_offer_keeps_its_body(
    framed_body: bytes, split_at: int
) -> None:
    """Guards against a request that runs with an empty body.

    Clients offer HTTP/2 with their first request. The offer is ignored, and
    the connection goes on with the requests behind it.
    """
    request = b'POST /a HTTP/1.1\r\n' + OFFER + framed_body
    last = b'GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    pieces = [request[:split_at], request[split_at:] + request + last]
    received = asyncio.run(send(pieces))
    assert received.count(b'HTTP/1.1 200 OK') == 3
    assert received.count(b'POST ' + BODY) == 2
    assert received.endswith(b'GET ')


@given(
    version=st.sampled_from([b'1.0', b'1.1']),
    headers=st.lists(
        st.sampled_from(
            [
                b'Connection: Upgrade',
                b'Connection: keep-alive, Upgrade',
                b'Connection: close',
                b'Upgrade: h2c',
                b'Upgrade: websocket',
                b'Expect: 100-continue',
            ]
        ),
        max_size=4,
    ),
    framed_body=st.sampled_from(list(BODIES.values())),
    split_at=st.integers(0, 600),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_body_is_whole_or_the_request_is_rejected(
    version: bytes, headers: list[bytes], framed_body: bytes, split_at: int
) -> None:
    """Guards against a body that is cut by a combination of headers."""
    lines = [b'POST /a HTTP/' + version, b'Host: x', *headers]
    request = b'\r\n'.join([*lines, framed_body])
    last = b'GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    pieces = [request[:split_at], request[split_at:] + last]
    received = asyncio.run(send(pieces))
    received = received.removeprefix(b'HTTP/1.1 100 Continue\r\n\r\n')
    if received.startswith(b'HTTP/1.1 200 '):
        assert b'POST ' + BODY in received
    else:
        assert received.startswith(b'HTTP/1.1 4')


def test_connect_ends_its_connection() -> None:
    """Guards against bytes of a tunnel that are taken for requests."""
    request = b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
    received = asyncio.run(send([request]))
    assert received.count(b'HTTP/1.1 ') == 1
