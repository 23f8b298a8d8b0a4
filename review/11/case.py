"""Requests are sent ahead on a connection; the answer to a later one breaks.

Each client sends an unsafe request and, before it is answered, safe ones.
"""

# Scripts of the review, like stand-ins: no part of the product.
# flake8: noqa: WPS

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

from fleet import (  # noqa: E402
    read_response,
    request_bytes,
    run_case,
    success,
)

# More than a daemon buffers of an answer before it passes it on.
LONG_ANSWER = bytes(150_000)
# Work of the tables: a payout takes 290 ms, a lookup 67 ms.
PAY_S = 0.29
LOOK_S = 0.067
# One server of three is faulty and breaks off this share of its answers.
BROKEN_SHARE = 0.02
CLIENTS = 12
GROUPS = 60
SAFE_BEHIND = 3
MAX_LOST = 3


def is_long(target):
    return not target.startswith('/pay/')


async def respond_well(server, request_id, target, _headers, _body, writer):
    await asyncio.sleep(LOOK_S if is_long(target) else PAY_S)
    writer.write(
        success(server, request_id, LONG_ANSWER if is_long(target) else b'paid')
    )


class FaultyServer:
    """Breaks off each fiftieth answer half-way and closes."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._count = 0

    async def respond(self, server, request_id, target, headers, body, writer):
        self._count += 1
        is_broken = not self._count % round(1 / BROKEN_SHARE)
        if not self._fleet.trouble or not is_broken or not is_long(target):
            await respond_well(
                server, request_id, target, headers, body, writer
            )
            return
        await asyncio.sleep(LOOK_S)
        self._fleet.record(
            'server', server.host.name, 'breaks off the answer to', request_id
        )
        answer = success(server, request_id, LONG_ANSWER)
        writer.write(answer[: len(answer) // 2])
        await writer.drain()
        writer.close()


async def send_group(fleet, host, name, safe_path, unanswered):
    """Send an unsafe request and safe ones behind it.

    Those without one byte of an answer when the connection is closed are
    added to ``unanswered``.
    """
    due = [f'{name}-pay']
    due += [f'{name}-safe{number}' for number in range(SAFE_BEHIND)]
    reader, writer = await asyncio.open_connection(
        host.ip, fleet.ports['outbound'], limit=1 << 20
    )
    writer.write(request_bytes('POST', '/pay/1', due[0], body=b'amount=5'))
    for request_id in due[1:]:
        writer.write(request_bytes('GET', safe_path, request_id))
    try:
        async with asyncio.timeout(4):
            while due:
                status, headers, _ = await read_response(reader)
                request_id = due.pop(0)
                if status != 200:
                    fleet.record('client', request_id, status)
                if headers.get('connection') == 'close':
                    break
    except asyncio.IncompleteReadError as error:
        # The answer to the first one due may have begun.
        has_begun = bool(error.partial) or error.expected is not None
        lost = due[1:] if has_begun else due
        fleet.record('client: closed, without any answer to', *lost)
        unanswered += lost
    except (OSError, TimeoutError) as error:
        fleet.record('client: failed', *due, repr(error))
    finally:
        writer.close()


async def scenario(fleet):
    fleet.configure(
        [
            {'prefix': '/pay/', 'kind': 'unsafe', 'service': 'shop'},
            {'prefix': '/look/', 'kind': 'safe', 'service': 'shop'},
            {'prefix': '/pack/', 'kind': 'download', 'service': 'shop'},
        ]
    )
    for host in fleet.hosts:
        # Three machines of one zone, as returns-desk has them in regina.
        host.zone = 'z0'
        host.server.respond = respond_well
    faulty = fleet.hosts[0]
    faulty.server.respond = FaultyServer(fleet).respond
    await fleet.start()
    unanswered = []

    async def client(number):
        host = fleet.hosts[number % len(fleet.hosts)]
        for group in range(GROUPS):
            safe_path = '/look/1' if group % 2 else '/pack/1'
            await send_group(
                fleet, host, f'c{number}-{group}', safe_path, unanswered
            )

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    ran_by = {
        request_id: (host.name, target)
        for _, host, request_id, target, _ in fleet.runs
        if host is not faulty
    }
    lost = [request_id for request_id in unanswered if request_id in ran_by]
    for request_id in lost:
        name, target = ran_by[request_id]
        fleet.record(
            'LOST:',
            request_id,
            target,
            'was passed on to the sound server of',
            name,
            'and its connection was closed without an answer',
        )
    pays = sum(request_id.endswith('pay') for request_id in lost)
    fleet.record(
        f'{len(lost)} requests lost, {pays} of them unsafe; {MAX_LOST} allowed'
    )
    return len(lost) > MAX_LOST


run_case(Path(__file__).parent, ['shop'] * 3, scenario)
