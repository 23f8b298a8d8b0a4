# flake8: noqa
"""An acknowledged leaving is forgotten if the store is down at the time."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from harness import (
    Fleet,
    NotRunError,
    client_fields,
    create_config,
    fetch,
    is_troubled,
    run_case,
)

DRAIN_S, CONTACT_S = 2.0, 3.0
DOWN_S, RESTART_DELAY_S = 1.5, 0.3
# The backend serves on for the drain time and "many seconds" more.
SERVES_ON_S = 9.0
LATE_S = 2.5
PER_S = 10


async def main(folder: Path) -> bool:
    fleet = Fleet(folder, ['desk', 'ledger', 'ledger', 'ledger'])
    route = {
        'prefix': '/get/',
        'kind': 'safe',
        'timeout_ms': 500,
        'latency_goal_ms': 200,
        'service': 'ledger',
    }
    record = fleet.record
    leaver = fleet.machines[3]
    backend = leaver.backend
    served: list[int] = []
    stop = asyncio.Event()
    try:
        await fleet.start(create_config(7, [route], ['desk', 'ledger']))
        traffic = asyncio.create_task(send(fleet, stop, served))
        await asyncio.sleep(1)
        # A heartbeat is on its way for some seconds: the next ones, and the
        # deregistration, overtake it.
        backend.stop_beats()
        late = backend.next_beat()
        record.write(f'heartbeat {late["seq"]} ({late["state"]}) is sent, late')
        sent_s = record.now_s()
        if is_troubled():
            fleet.store.is_down = True
            record.write('the store is down')
        backend.state = 'gone'
        ack = await leave(leaver)
        ack_s = record.now_s()
        record.write(f'DELETE of {backend.instance}: {ack}')
        if ack != 200:
            raise NotRunError(f'the DELETE got {ack}')
        if is_troubled():
            leaver.signal(signal.SIGKILL)
            await leaver.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await leaver.start_daemon()
            await wait_listening(leaver)
        while record.now_s() < sent_s + DOWN_S:
            await asyncio.sleep(0.05)
        fleet.store.is_down = False
        record.write('the store is up')
        up_s = record.now_s()
        while record.now_s() < sent_s + LATE_S:
            await asyncio.sleep(0.05)
        status = await put(leaver, late)
        record.write(f'heartbeat {late["seq"]} arrives, {status}')
        while record.now_s() < ack_s + SERVES_ON_S:
            await asyncio.sleep(0.05)
        stop.set()
        await traffic
    finally:
        await fleet.stop()
    # In touch: the process has run, and the store has been up, for long.
    from_s = max(ack_s + DRAIN_S, up_s + CONTACT_S)
    late_arrivals = [at for at, _, _ in backend.arrivals if at > from_s]
    all_late = [at for at, _, _ in backend.arrivals if at > ack_s + DRAIN_S]
    summary = (
        f'leaving acknowledged at {ack_s:.2f} s; {len(all_late)} requests '
        f'reached the backend over {DRAIN_S} s later, {len(late_arrivals)} of '
        f'them while all machines were in touch (from {from_s:.2f} s); '
        f'{served.count(200)} of {len(served)} requests served'
    )
    record.write(summary)
    print(summary)
    return not late_arrivals


async def send(fleet: Fleet, stop: asyncio.Event, served: list[int]) -> None:
    """Send requests at a fixed rate, on each machine."""
    number = 0
    running = set()
    while not stop.is_set():
        number += 1
        for machine in fleet.machines:
            name = f'{machine.name}-q{number}'
            running.add(asyncio.create_task(one(machine, name, served)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*running)


async def one(machine, request_id: str, served: list[int]) -> None:
    fleet = machine.fleet
    fleet.record.write(f'{request_id} is sent')
    try:
        async with asyncio.timeout(0.6):
            answer = await fetch(
                (machine.ip, machine.port('outbound')),
                'GET',
                '/get/one',
                client_fields(request_id, 500),
            )
            status = answer.status
    except (OSError, TimeoutError):
        status = 0
    served.append(status)
    fleet.record.write(f'{request_id} ends: {status}')


async def leave(machine) -> int:
    try:
        async with asyncio.timeout(1):
            answer = await fetch(
                (machine.ip, machine.port('control')),
                'DELETE',
                f'/-/instances/{machine.backend.instance}',
            )
        return answer.status
    except (OSError, TimeoutError):
        return 0


async def put(machine, fields) -> int:
    try:
        async with asyncio.timeout(1):
            answer = await fetch(
                (machine.ip, machine.port('control')),
                'PUT',
                f'/-/instances/{machine.backend.instance}',
                {'Content-Type': 'application/json'},
                json.dumps(fields).encode(),
            )
        return answer.status
    except (OSError, TimeoutError):
        return 0


async def wait_listening(machine) -> None:
    for _ in range(100):
        try:
            _, writer = await asyncio.open_connection(
                machine.ip, machine.port('control')
            )
        except OSError:
            await asyncio.sleep(0.05)
        else:
            writer.close()
            return


run_case(main)
