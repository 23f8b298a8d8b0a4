"""A store outage in which leases run out, and a planned restart in it.

The server beside the daemon has deregistered, which is acknowledged; a
heartbeat that it sent before arrives late.
"""

# Scripts of the review, like stand-ins: no part of the product.
# flake8: noqa: WPS

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

from fleet import run_case  # noqa: E402

ROUNDS = 4
# Times after the begin of the outage.
STOP_ASKED_S = 2.6
LATE_HEARTBEAT_SENT_S = 4.3
DEREGISTERED_S = 4.5
# The outage ends with the first call of the new process, or now at the latest.
MAX_OUTAGE_S = 8.0
RESTART_DELAY_S = 0.3
# The late heartbeat arrives this long after the return of the store.
HEARTBEAT_AFTER_RETURN_S = 0.5
# The server goes on serving for this time after the acknowledgement.
SERVES_ON_S = 9.0
DRAIN_S = 2.0
CONTACT_S = 3.0


def heartbeat(fleet, host):
    """Return a heartbeat of a ready server, as it is sent now."""
    server = host.server
    server._sequence += 1
    return json.dumps(
        {
            'service': host.service,
            'address': f'{host.ip}:{host.ports["app"]}',
            'zone': host.zone,
            'version': 'v1',
            'slots': fleet.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': server._sequence,
            'born': server.born_ms,
        }
    ).encode()


async def wait_until(at_s):
    await asyncio.sleep(max(at_s - time.monotonic(), 0))


class Outage:
    """The store is down, and leases run out."""

    def __init__(self, fleet):
        self._fleet = fleet
        # Set when the new process has been started.
        self.may_end = False
        self.ended_s = 0.0

    def begin(self):
        self.may_end = False
        self.ended_s = 0.0
        self._fleet.store.is_down = self._fleet.store.lapses = True
        self._fleet.record('the store is down, and leases run out')

    def end(self):
        if self._fleet.store.is_down:
            self._fleet.store.is_down = self._fleet.store.lapses = False
            self.ended_s = time.monotonic()
            self._fleet.record('the store is back')

    def handle_call(self):
        """Handle a call of the daemon that is stopped and started again."""
        if self.may_end:
            self.end()


async def call_always(fleet, senders, name, end_s):
    number = 0
    while time.monotonic() < end_s:
        for sender in senders:
            number += 1
            await fleet.call(
                sender, 'POST', '/pay/1', f'{name}-{number}', body=b'x'
            )
        await asyncio.sleep(0.02)


async def play_round(fleet, outage, host):
    """Return requests that reached the server after it had left."""
    begin_s = time.monotonic()
    if fleet.trouble:
        outage.begin()
    server = host.server
    await wait_until(begin_s + STOP_ASKED_S)
    if fleet.trouble:
        host.signal(signal.SIGTERM)
        fleet.record('the daemon of', host.name, 'gets SIGTERM')
    await wait_until(begin_s + LATE_HEARTBEAT_SENT_S)
    server.announces = False
    late = heartbeat(fleet, host)
    await wait_until(begin_s + DEREGISTERED_S)
    server.state = 'gone'
    while not await server.announce(method='DELETE'):
        await asyncio.sleep(0.1)
    left_s = time.monotonic()
    fleet.record('DELETE of', server.instance, 'is acknowledged')
    if fleet.trouble:
        code = await host.process.wait()
        fleet.record('the daemon of', host.name, 'has ended with code', code)
        await asyncio.sleep(RESTART_DELAY_S)
        outage.may_end = True
        await host.start()
        fleet.record('the daemon of', host.name, 'is started again')
        while fleet.store.is_down:
            if time.monotonic() > begin_s + MAX_OUTAGE_S:
                outage.end()
            await asyncio.sleep(0.01)
    await wait_until(max(outage.ended_s, left_s) + HEARTBEAT_AFTER_RETURN_S)
    fleet.record(
        'the late heartbeat of',
        server.instance,
        'arrives, acknowledged:',
        await server.tell('PUT', late),
    )
    await call_always(fleet, fleet.hosts, server.instance, left_s + SERVES_ON_S)
    # All machines are in touch again after this time: the process has started
    # before its first call, with which the store returns.
    in_touch_s = max(outage.ended_s, left_s) + CONTACT_S
    return [
        request_id
        for at_s, ran_at, request_id, *_ in fleet.runs
        if ran_at is host
        and request_id.startswith(server.instance)
        and at_s > max(left_s + DRAIN_S, in_touch_s)
    ]


async def scenario(fleet):
    outage = Outage(fleet)
    host = fleet.hosts[0]
    fleet.store_addresses[host] = await fleet.store.listen(
        f'{fleet.network}.200', outage.handle_call
    )
    fleet.configure([{'prefix': '/pay/', 'kind': 'unsafe', 'service': 'shop'}])
    await fleet.start()
    await asyncio.sleep(3)
    broken = 0
    for number in range(2, ROUNDS + 2):
        late = await play_round(fleet, outage, host)
        broken += len(late)
        fleet.record(
            f'round {number - 1}: {len(late)} requests reached the server that',
            f'left: {late[:3]} ...',
        )
        # The next server on this machine.
        server = host.server
        server.instance = f'i-{host.name}-{number}'
        server.born_ms = int(time.time() * 1000)
        server._sequence = 0
        server.state = 'ready'
        server.announces = True
        await asyncio.sleep(3)
        await fleet.wait_until_ready()
    fleet.record(
        f'DRAIN: {broken} requests reached a server over {DRAIN_S:.0f} s after '
        'its leaving was acknowledged, from machines in touch'
    )
    return bool(broken)


run_case(Path(__file__).parent, ['shop'] * 3, scenario)
