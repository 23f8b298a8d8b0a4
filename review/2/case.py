# flake8: noqa
"""A late heartbeat after a restart revives a backend that has left."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from fleet import CONTACT_MS, DRAIN_MS, CannotRun, main, route

# How long the backend serves after the acknowledgement of its leaving.
STAY_S = 14.0


async def run(fleet, trouble):
    for number in range(4):
        fleet.add_host(f'zone-{number % 2}', 'ledger')
    leaver, *others = fleet.hosts
    await fleet.start(route('check', 'ledger'), ['ledger'])
    for host in others:
        fleet.spawn(fleet.send_steadily(host, '/check/40/500', 0.1))
    await asyncio.sleep(3)
    backend = leaver.backend
    # The last heartbeat before the backend leaves is late.
    backend.beating = False
    late_beat = backend.create_beat('ready')
    instance = backend.instance
    backend.leaving = True
    if not await leaver.deregister():
        raise CannotRun('the leaving was not acknowledged')
    acked_s = time.monotonic()
    await asyncio.sleep(0.5)
    if trouble:
        leaver.daemon.signal(signal.SIGTERM)
        while not leaver.daemon.exits:
            await asyncio.sleep(0.05)
        while leaver.daemon.started_s < leaver.daemon.exits[0][0]:
            await asyncio.sleep(0.05)
        while not await leaver.is_ready():
            await asyncio.sleep(0.1)
    await asyncio.sleep(max(acked_s + 4.5 - time.monotonic(), 0))
    await backend.beat(late_beat, instance)
    await asyncio.sleep(max(acked_s + STAY_S - time.monotonic(), 0))
    leaver.backend.stop()
    in_touch_s = acked_s + DRAIN_MS / 1000
    if trouble:
        in_touch_s = max(
            in_touch_s, leaver.daemon.started_s + CONTACT_MS / 1000
        )
    return [
        f'{found.request_id} reached {found.instance} '
        f'{found.at_s - acked_s:.2f} s after its leaving was acknowledged'
        for found in fleet.runs
        if found.instance == instance and found.at_s > in_touch_s
    ]


main(run)
