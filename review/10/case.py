# flake8: noqa
"""Uploads that wait for a slot reach the backend long after their clients."""

import asyncio
import struct
import sys
from fcntl import ioctl
from pathlib import Path
from random import Random
from termios import TIOCOUTQ

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from harness import (
    Fleet,
    client_fields,
    create_config,
    encode_head,
    is_troubled,
    read_body,
    read_head,
    run_case,
)

UPLOAD_BYTES = 300_000
LIMIT_MS, GOAL_MS = 2295, 1721
WORK_S, SLOTS = 0.14, 3
USUAL_PER_S, BURST_X, BURST_S = 35, 2.4, 6.2
GIVE_UP_SHARE, GIVE_UP_S = 0.3, (0.3, GOAL_MS / 2 / 1000)
LATE_S, A_FEW = 0.5, 5


async def main(folder: Path) -> bool:
    fleet = Fleet(folder, ['desk', 'intake', 'intake'], config_apply_ms=2500)
    route = {
        'prefix': '/up/',
        'kind': 'upload',
        'timeout_ms': LIMIT_MS,
        'latency_goal_ms': GOAL_MS,
        'attempts': 2,
        'service': 'intake',
    }
    for machine in fleet.machines[1:]:
        machine.backend.slots = SLOTS
        machine.backend.work_s = WORK_S
    left_s: dict[str, float] = {}
    ends: dict[str, int] = {}
    try:
        await fleet.start(create_config(7, [route], ['desk', 'intake']))
        clients = []
        number = 0
        for phase_x, phase_s in ((1, 3), (BURST_X, BURST_S), (1, 3)):
            is_burst = phase_x > 1 and is_troubled()
            rate = USUAL_PER_S * (phase_x if is_troubled() else 1)
            for _ in range(int(rate * phase_s)):
                number += 1
                gives_up = is_burst and number % 10 < 10 * GIVE_UP_SHARE
                clients.append(
                    asyncio.create_task(
                        upload(fleet, f'up{number}', gives_up, left_s, ends)
                    )
                )
                await asyncio.sleep(1 / rate)
        await asyncio.gather(*clients)
        await asyncio.sleep(1)
    finally:
        await fleet.stop()
    late = [
        (request_id, at_s - left_s[request_id])
        for machine in fleet.machines
        for at_s, request_id, _ in machine.backend.arrivals
        if at_s - left_s.get(request_id, at_s) > LATE_S
    ]
    for request_id, late_s in late:
        fleet.record.write(
            f'{request_id} reached a backend {late_s:.3f} s after its client '
            'had closed its connection'
        )
    after = sorted(
        a - left_s[r]
        for m in fleet.machines
        for a, r, _ in m.backend.arrivals
        if a > left_s.get(r, a)
    )
    print('after', [round(x, 2) for x in after])
    runs = sum(
        request_id in dict(late)
        for machine in fleet.machines
        for _, request_id in machine.backend.runs
    )
    counts: dict[int, int] = {}
    for status in ends.values():
        counts[status] = counts.get(status, 0) + 1
    summary = (
        f'{number} uploads, {len(left_s)} clients left early '
        f'after all bytes had arrived, '
        f'{len(late)} of their uploads reached a backend over {LATE_S} s later, '
        f'{runs} of these were whole and were run;'
        f' answers by status (0: left or none): {sorted(counts.items())}'
    )
    fleet.record.write(summary)
    print(summary)
    return len(late) <= A_FEW


async def upload(fleet, request_id, gives_up, left_s, ends) -> None:
    """Send an upload; leave after a while if there is no answer."""
    machine = fleet.machines[0]
    reader, writer = await asyncio.open_connection(
        machine.ip, machine.port('outbound')
    )
    fields = client_fields(request_id, LIMIT_MS) | {
        'Host': 'shop.example',
        'Content-Length': UPLOAD_BYTES,
    }
    head = encode_head('POST /up/file HTTP/1.1', fields)
    fleet.record.write(f'{request_id} is sent')
    ends[request_id] = 0
    limit_s = LIMIT_MS / 1000
    if gives_up:
        limit_s = Random(request_id).uniform(*GIVE_UP_S)
    try:
        async with asyncio.timeout(limit_s):
            writer.write(head + b'u' * UPLOAD_BYTES)
            await writer.drain()
            answer = await read_head(reader)
            if answer is not None:
                await read_body(reader, answer)
                ends[request_id] = int(answer.first[1])
    except TimeoutError:
        if gives_up and has_arrived(writer):
            left_s[request_id] = fleet.record.now_s()
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()
    fleet.record.write(f'{request_id} ends: {ends[request_id]}')


def has_arrived(writer: asyncio.StreamWriter) -> bool:
    """Return whether the daemon's host has got all bytes of the request.

    The end of the connection follows at once then.
    """
    if writer.transport.get_write_buffer_size():
        return False
    tcp = writer.get_extra_info('socket')
    queue = ioctl(tcp.fileno(), TIOCOUTQ, bytes(4))
    return struct.unpack('i', queue)[0] == 0


run_case(main)
