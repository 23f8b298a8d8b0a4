# flake8: noqa
"""Two daemons give out the quota of a tenant at the same time."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from harness import (
    ROOT,
    Fleet,
    NotRunError,
    client_fields,
    create_config,
    fetch,
    is_troubled,
    run_case,
)

sys.path.insert(0, str(ROOT / 'target' / 'deps'))

WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20
RATE, BURST = 121, 60
KEY = 'j3nr26tta828m82thhkm'
BACKEND_AFTER_S, KILL_AFTER_S, RESTART_S = 1.0, 1.0, 0.3
SEND_S, PER_S = 5.5, 220
LIMIT = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK


async def main(folder: Path) -> bool:
    fleet = Fleet(
        folder,
        ['bank', 'bank'],
        has_links=True,
        zones=('zone-a',),
        config_apply_ms=2500,
        strict_revoke='true',
        revoke_ms=5000,
        quota_window_s=WINDOW_S,
        quota_overage=OVERAGE,
        quota_slack=SLACK,
    )
    record = fleet.record
    old, new = fleet.machines
    for machine in fleet.machines:
        machine.backend.work_s = 0.01
    name = choose_tenant(old.ip, new.ip)
    tenant = {
        'name': name,
        'api_keys': [KEY],
        'priority': 1,
        'rate_per_s': RATE,
        'burst': BURST,
    }
    route = {'prefix': '/get/', 'service': 'bank', 'attempts': 1}
    sent: dict[str, float] = {}
    ends: dict[int, int] = {}
    try:
        await fleet.start(create_config(7, [route], ['bank'], [tenant]), 1)
        await asyncio.sleep(11)
        stop = asyncio.Event()
        senders = []
        record.write(f'{new.name} is added')
        await new.start_without_backend()
        await asyncio.sleep(BACKEND_AFTER_S)
        if is_troubled():
            record.write(f'{old.name} is cut off from the store')
            await old.store_link.cut()
        start_s = record.now_s()
        senders.append(asyncio.create_task(send(old, stop, sent, ends)))
        await new.backend.open()
        while not is_stored(fleet, new):
            if record.now_s() > start_s + 10:
                raise NotRunError('the new machine is not in the store')
            await asyncio.sleep(0.02)
        record.write(f'{new.name} is in the store')
        await asyncio.sleep(KILL_AFTER_S)
        if is_troubled():
            new.signal(signal.SIGKILL)
            await new.process.wait()
            await asyncio.sleep(RESTART_S)
            await new.start_daemon()
        while not await new.is_ready():
            await asyncio.sleep(0.02)
        record.write(f'{new.name} is ready')
        senders.append(asyncio.create_task(send(new, stop, sent, ends)))
        while record.now_s() < start_s + SEND_S:
            await asyncio.sleep(0.05)
        stop.set()
        old.store_link.heal()
        await asyncio.gather(*senders)
    finally:
        await fleet.stop()
    runs = sorted(
        (at_s, request_id, machine.name)
        for machine in fleet.machines
        for at_s, request_id in machine.backend.runs
    )
    most = count_most(runs, sent)
    by_machine = {
        machine.name: len(machine.backend.runs) for machine in fleet.machines
    }
    summary = (
        f'at most {most} requests of one tenant were sent and run within '
        f'{WINDOW_S} s; the limit is {LIMIT:.1f}; runs {by_machine}; answers '
        f'by status {sorted(ends.items())}'
    )
    record.write(summary)
    print(summary)
    return most <= LIMIT


def choose_tenant(old_ip: str, new_ip: str) -> str:
    """Return a tenant whose quota moves to the new machine as a whole.

    One in eight of all names is such; the product's rendezvous hashing tells.
    """
    from xxhash import xxh64_intdigest

    for number in range(1000):
        name = f'hule{number}'
        if all(
            xxh64_intdigest(f'{name} zone-a {shard} {new_ip}'.encode())
            < xxh64_intdigest(f'{name} zone-a {shard} {old_ip}'.encode())
            for shard in range(3)
        ):
            return name
    raise NotRunError('no such tenant')


def is_stored(fleet: Fleet, machine) -> bool:
    return any(key.endswith('/' + machine.ip) for key in fleet.store.items)


def count_most(runs, sent) -> int:
    """Return the most requests that were sent and run in one window."""
    most = 0
    for end_s, _, _ in runs:
        begin_s = end_s - WINDOW_S
        most = max(
            most,
            sum(
                begin_s < at_s <= end_s and sent[request_id] > begin_s
                for at_s, request_id, _ in runs
            ),
        )
    return most


async def send(machine, stop, sent, ends) -> None:
    """Send requests of the tenant to the daemon of a machine."""
    running = set()
    number = 0
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while not stop.is_set():
        number += 1
        name = f'{machine.name}-q{number}'
        task = asyncio.create_task(one(machine, name, sent, ends))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(max(start_s + number / PER_S - loop.time(), 0))
    await asyncio.gather(*running)


async def one(machine, name, sent, ends) -> None:
    sent[name] = machine.fleet.record.now_s()
    try:
        async with asyncio.timeout(1):
            answer = await fetch(
                (machine.ip, machine.port('outbound')),
                'GET',
                '/get/x',
                client_fields(name, 800) | {'Authorization': f'Bearer {KEY}'},
            )
            status = answer.status
    except (OSError, TimeoutError):
        status = 0
    ends[status] = ends.get(status, 0) + 1
    machine.fleet.record.write(f'{name} ends: {status}')


run_case(main)
