# flake8: noqa
"""Answers whose backend falls silent midway are not ended at the timeout."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from harness import (
    PREFIX,
    Fleet,
    client_fields,
    create_config,
    encode_head,
    is_troubled,
    read_head,
    run_case,
)

DOWNLOAD_BYTES = 540_000
PIECE_BYTES = 30_000
WORK_S, SLOTS = 0.18, 9
TIMEOUT_MS, LIMIT_MS, GOAL_MS = 800, 1500, 600
USUAL_PER_S, BURST, CALM_S = 4, 14, 2
DARK_AFTER_S, DARK_S = 0.09, 4.5
GRACE_S, MIN_COUNT, MAX_SHARE = 0.5, 8, 0.25


async def main(folder: Path) -> bool:
    fleet = Fleet(folder, ['desk', 'archive', 'archive', 'archive'])
    route = {
        'prefix': '/pull/',
        'kind': 'download',
        'timeout_ms': TIMEOUT_MS,
        'latency_goal_ms': GOAL_MS,
        'attempts': 2,
        'service': 'archive',
    }
    dark = Dark()
    for machine in fleet.machines[1:]:
        machine.backend.slots = SLOTS
        machine.backend.behave = stream
    # The backend in the zone of the clients gets most of their requests.
    fleet.machines[3].backend.behave = dark.stream
    took_s: dict[str, float] = {}
    ends: dict[str, str] = {}
    pulls = []

    def start_pull(name: str) -> None:
        pulls.append(asyncio.create_task(pull(fleet, name, took_s, ends)))

    try:
        await fleet.start(create_config(7, [route], ['desk', 'archive']))
        for number in range(USUAL_PER_S * CALM_S):
            start_pull(f'before{number}')
            await asyncio.sleep(1 / USUAL_PER_S)
        for number in range(BURST):
            start_pull(f'burst{number}')
        await asyncio.sleep(DARK_AFTER_S)
        asyncio.create_task(dark.run(fleet))
        for number in range(USUAL_PER_S * CALM_S):
            start_pull(f'after{number}')
            await asyncio.sleep(1 / USUAL_PER_S)
        await asyncio.gather(*pulls)
        await asyncio.sleep(max(DARK_S - CALM_S - LIMIT_MS / 1000, 0))
    finally:
        dark.is_over.set()
        await fleet.stop()
    longer = [name for name, s in took_s.items() if s * 1000 > TIMEOUT_MS]
    unanswered = [
        name for name in longer if took_s[name] > TIMEOUT_MS / 1000 + GRACE_S
    ]
    summary = (
        f'{len(took_s)} downloads, {len(longer)} lasted longer than the '
        f"route's timeout of {TIMEOUT_MS} ms, {len(unanswered)} of these had "
        f'no final answer {GRACE_S} s after it; longest '
        f'{max(took_s.values()):.2f} s, when the client gave up'
    )
    fleet.record.write(summary)
    print(summary)
    is_many = len(unanswered) >= MIN_COUNT
    return not (is_many and len(unanswered) > MAX_SHARE * len(longer))


class Dark:
    """A backend that falls silent for a while (`srv_crash`, `dark`)."""

    def __init__(self) -> None:
        self.is_dark = False
        self.is_over = asyncio.Event()

    async def run(self, fleet: Fleet) -> None:
        if not is_troubled():
            return
        self.is_dark = True
        fleet.machines[3].backend.may_speak.clear()
        fleet.record.write('the near archive falls silent')
        await asyncio.sleep(DARK_S)
        self.is_over.set()
        fleet.machines[3].backend.may_speak.set()
        fleet.record.write('the near archive is back; its connections end')

    async def stream(self, backend, head, reader, writer) -> bool:
        return await stream(backend, head, reader, writer, self)


async def stream(backend, head, reader, writer, dark=None) -> bool:
    """Send a large answer in pieces over the time that the work takes."""
    request_id = head.get(PREFIX + 'Request-Id')
    fields = backend.fields(request_id) | {'Content-Length': DOWNLOAD_BYTES}
    pieces = DOWNLOAD_BYTES // PIECE_BYTES
    if dark is None or not dark.is_dark:
        writer.write(encode_head('HTTP/1.1 200 OK', fields))
    for _ in range(pieces):
        if dark is not None and dark.is_dark:
            await dark.is_over.wait()
            return False
        writer.write(b'd' * PIECE_BYTES)
        await writer.drain()
        await asyncio.sleep(WORK_S / pieces)
    return True


async def pull(fleet, name, took_s, ends) -> None:
    """Download; measure the time until the answer or the connection ends."""
    machine = fleet.machines[0]
    start_s = fleet.record.now_s()
    reader, writer = await asyncio.open_connection(
        machine.ip, machine.port('outbound'), limit=1 << 22
    )
    fields = {'Host': 'shop.example'} | client_fields(name, LIMIT_MS)
    writer.write(encode_head('GET /pull/file HTTP/1.1', fields))
    ends[name] = 'no final answer; the client left at its limit'
    try:
        async with asyncio.timeout(LIMIT_MS / 1000):
            answer = await read_head(reader)
            if answer is None:
                ends[name] = 'closed without an answer'
            else:
                length = int(answer.get('content-length') or 0)
                await reader.readexactly(length)
                ends[name] = f'status {answer.first[1]}, whole'
    except TimeoutError:
        pass
    except (OSError, asyncio.IncompleteReadError):
        ends[name] = 'cut'
    took_s[name] = fleet.record.now_s() - start_s
    writer.close()
    fleet.record.write(f'{name} took {took_s[name]:.3f} s: {ends[name]}')


run_case(main)
