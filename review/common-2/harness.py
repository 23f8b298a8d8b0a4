# flake8: noqa
"""Small stand-ins of the platform for the cases of the second review.

Standard library only. A fleet has a store, and on each machine (an address of
its own in 127.0.0.0/8) one daemon process, started with the command of the
deploy file, and one backend. The backends and the store follow the users'
pages; what a case disturbs, it disturbs from outside.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
PREFIX = 'X-Bergamotshunt-'
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'recovery_s': 15,
    'probes_per_s': 60,
}


class NotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        self._file.write(f'{self.now_s():8.3f} s  {text}\n')
        self._file.flush()


class Head:
    """Head of a message: first line, and header values by lower-case name."""

    def __init__(self, lines: list[str]) -> None:
        self.first = lines[0].split(' ', 2)
        self.fields: dict[str, str] = {}
        for line in lines[1:]:
            name, _, content = line.partition(':')
            self.fields[name.strip().lower()] = content.strip()

    def get(self, name: str) -> str:
        return self.fields.get(name.lower(), '')


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Head(raw.decode('latin-1').rstrip('\r\n').split('\r\n'))


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a whole body with a length or in chunks."""
    if head.get('transfer-encoding').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    length = int(head.get('content-length') or 0)
    return await reader.readexactly(length)


def encode_head(first: str, fields: dict[str, Any]) -> bytes:
    lines = [first, *(f'{name}: {text}' for name, text in fields.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


# The platform's store


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.calls: list[str] = []
        # While it is down, its connections are reset.
        self.is_down = False
        self._last_lease = 100
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._tasks: set[Any] = set()

    async def open(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)
        self._tasks.add(asyncio.create_task(self._expire()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def put_config(self, document: dict[str, Any]) -> None:
        """Write a configuration as the operator does; returns at the ack."""
        text = base64.b64encode(json.dumps(document).encode()).decode()
        await self._put('op/config', text, 0)

    async def _put(self, key: str, text: str | None, lease: int) -> None:
        self.revision += 1
        if text is None:
            self.items.pop(key, None)
            event = {'key': key, 'revision': self.revision, 'tombstone': True}
        else:
            before = self.items.get(key)
            event = {
                'key': key,
                'value': text,
                'revision': self.revision,
                'created': before['created'] if before else self.revision,
                'lease': lease,
            }
            self.items[key] = event
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (end_s, _) in tuple(self.leases.items()):
                if end_s < now_s:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for item in tuple(self.items.values()):
            if item['lease'] == lease:
                await self._put(item['key'], None, 0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await asyncio.sleep(0.004)
                if self.is_down:
                    break
                status, answer = await self._answer(head, body)
                if self.is_down:
                    break
                content = json.dumps(answer).encode()
                fields = {
                    'Content-Type': 'application/json',
                    'Content-Length': len(content),
                }
                writer.write(encode_head(f'HTTP/1.1 {status} x', fields))
                writer.write(content)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> tuple[int, Any]:
        from urllib.parse import parse_qsl

        path, _, query = head.first[1].partition('?')
        self.calls.append(path)
        fields = dict(parse_qsl(query))
        name, _, number = path.removeprefix('/-/').partition('/')
        if name == 'kv-key':
            found = self.items.get(fields['key'])
            if found is None:
                return 404, {'as_of': self.revision}
            return 200, found | {'as_of': self.revision}
        if name == 'kv-range':
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(fields['prefix'])
                and key > fields.get('after', '')
            ]
            return 200, {
                'items': items,
                'more_pages': False,
                'as_of': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(fields)
        if name == 'kv-lease':
            self._last_lease += 1
            ttl_ms = json.loads(body)['ttl_ms']
            ttl_s = ttl_ms / 1000
            self.leases[self._last_lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'lease': self._last_lease, 'ttl_ms': ttl_ms}
        if name == 'kv-keep':
            known = self.leases.get(int(number))
            if known is None:
                return 404, {}
            self.leases[int(number)] = (time.monotonic() + known[1], known[1])
            return 200, {'ttl_ms': int(known[1] * 1000)}
        if name == 'kv-lease-end':
            await self._end_lease(int(number))
            return 200, {}
        if name == 'kv-txn':
            return await self._commit(json.loads(body))
        return 404, {}

    async def _watch(self, fields: dict[str, str]) -> tuple[int, Any]:
        after = int(fields['after'])
        end_s = time.monotonic() + int(fields['wait_ms']) / 1000

        def found() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(fields['prefix'])
            ]

        async with self._changed:
            while not found() and time.monotonic() < end_s:
                left_s = end_s - time.monotonic()
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    break
        return 200, {'events': found(), 'as_of': self.revision}

    async def _commit(self, change: dict[str, Any]) -> tuple[int, Any]:
        rows = change['expect']
        for row in rows:
            known = self.items.get(row['key'])
            if row['revision'] != (known['revision'] if known else 0):
                return 412, {
                    'items': [
                        self.items[other['key']]
                        for other in rows
                        if other['key'] in self.items
                    ]
                }
        for write in change.get('writes') or ():
            lease = write.get('lease') or 0
            if lease and lease not in self.leases:
                return 404, {}
        for write in change.get('writes') or ():
            await self._put(write['key'], write['value'], write['lease'] or 0)
        for key in change.get('remove') or ():
            await self._put(key, None, 0)
        return 200, {'revision': self.revision}


# Machines


def free_ports(count: int, ips: list[str]) -> list[int]:
    """Return consecutive ports that are free on all addresses."""
    for first in range(20500 + os.getpid() % 5000, 32000, count + 1):
        ports = list(range(first, first + count))
        try:
            for ip in ips:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
        except OSError:
            continue
        return ports
    raise NotRunError('no free ports')


class Link:
    """The way to an address, which can be cut silently.

    While it is cut, bytes are held up in both directions, and new connections
    are not established: their opening packets find a full queue.
    """

    def __init__(
        self, fleet: 'Fleet', own: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self.is_cut = False
        self.calls: list[tuple[float, str]] = []
        self._fleet = fleet
        self._own = own
        self._target = target
        self._whole = asyncio.Event()
        self._whole.set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[Any] = set()
        self._socket: socket.socket | None = None

    async def open(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(self._own)
        self._socket.listen(1)
        self._socket.setblocking(False)
        self._spawn(self._accept())

    async def cut(self) -> None:
        self.is_cut = True
        self._whole.clear()
        # Fills the queue of new connections, which nobody accepts meanwhile.
        for _ in range(4):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self._own)
            self._fillers.append(filler)
        await asyncio.sleep(0)

    def heal(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.is_cut = False
        self._whole.set()

    def close(self) -> None:
        self.heal()
        for task in tuple(self._tasks):
            task.cancel()
        if self._socket is not None:
            self._socket.close()

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._whole.wait()
            taken, _ = await loop.sock_accept(self._socket)
            if self.is_cut:
                # It was on its way when the link was cut.
                await self._whole.wait()
            reader, writer = await asyncio.open_connection(sock=taken)
            self._spawn(self._serve(reader, writer))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            writer.close()
            return
        self._spawn(self._copy(far_reader, writer, is_call=False))
        await self._copy(reader, far_writer, is_call=True)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_call: bool,
    ) -> None:
        try:
            while content := await reader.read(65536):
                if is_call:
                    line = content.split(b'\r\n', 1)[0].decode('latin-1')
                    self.calls.append((self._fleet.record.now_s(), line))
                await self._whole.wait()
                writer.write(content)
                await writer.drain()
        except OSError:
            pass
        finally:
            await self._whole.wait()
            writer.close()


class Backend:
    """A backend: counts arrivals and runs, works, answers with a MAC.

    Attributes:
        behave: Coroutine function that answers a request whose head has
            arrived; ``run_whole`` by default.
        arrivals: Time, id and target of each request that reached it.
        runs: Time and id of each request that it began to work on.
        running: Requests at work.
    """

    def __init__(self, machine: 'Machine') -> None:
        self.machine = machine
        self.instance = f'i-{machine.name}-1'
        self.born_ms = int(time.time() * 1000)
        self.state = 'ready'
        self.slots = 13
        self.sequence = 0
        self.behave: Any = run_whole
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.running = 0
        self.work_s = 0.05
        # Cleared while the backend is silent.
        self.may_speak = asyncio.Event()
        self.may_speak.set()
        self._tasks: set[Any] = set()
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        machine = self.machine
        self._server = await asyncio.start_server(
            self._serve, machine.ip, machine.port('app'), limit=1 << 22
        )
        self._tasks.add(asyncio.create_task(self._beat()))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def load(self) -> str:
        return f'{self.running},0,{self.slots},100'

    def fields(self, request_id: str) -> dict[str, Any]:
        return {
            PREFIX + 'Request-Id': request_id,
            PREFIX + 'Response-Signature': 'mac.' + request_id,
            PREFIX + 'Server-Load': self.load(),
        }

    def next_beat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.machine.service,
            'address': f'{self.machine.ip}:{self.machine.port("app")}',
            'zone': self.machine.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'seq': self.sequence,
            'born': self.born_ms,
        }

    def stop_beats(self) -> None:
        """Send no heartbeat from now on."""
        for task in self._tasks:
            task.cancel()

    async def announce(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged in a second."""
        fields = self.next_beat()
        try:
            async with asyncio.timeout(1):
                answer = await fetch(
                    (self.machine.ip, self.machine.port('control')),
                    'PUT',
                    f'/-/instances/{self.instance}',
                    {'Content-Type': 'application/json'},
                    json.dumps(fields).encode(),
                )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def _beat(self) -> None:
        while True:
            await self.may_speak.wait()
            await self.announce()
            await asyncio.sleep(1.5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                if not await self._serve_one(head, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def _serve_one(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self.may_speak.wait()
        if head.first[1] == '/healthz':
            is_well = self.state == 'ready'
            fields = {
                PREFIX + 'Instance-Id': self.instance,
                PREFIX + 'Server-Load': self.load(),
                'Content-Length': 0,
            }
            status = '200 OK' if is_well else '503 x'
            writer.write(encode_head(f'HTTP/1.1 {status}', fields))
            return True
        request_id = head.get(PREFIX + 'Request-Id')
        record = self.machine.fleet.record
        if head.get(PREFIX + 'Target-Instance') not in {'', self.instance}:
            await read_body(reader, head)
            fields = {
                PREFIX + 'Request-Id': request_id,
                PREFIX + 'Instance-Id': self.instance,
                'Content-Length': 0,
            }
            writer.write(encode_head('HTTP/1.1 421 Misdirected', fields))
            return True
        self.arrivals.append((record.now_s(), request_id, head.first[1]))
        record.write(f'{self.instance} is reached by {request_id}')
        self.running += 1
        try:
            return bool(await self.behave(self, head, reader, writer))
        finally:
            self.running -= 1


async def run_whole(
    backend: Backend,
    head: Head,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Read the request, work, and answer with a short body."""
    request_id = head.get(PREFIX + 'Request-Id')
    await read_body(reader, head)
    backend.runs.append((backend.machine.fleet.record.now_s(), request_id))
    backend.machine.fleet.record.write(f'{backend.instance} runs {request_id}')
    await asyncio.sleep(backend.work_s)
    content = b'done ' + request_id.encode()
    fields = backend.fields(request_id) | {'Content-Length': len(content)}
    writer.write(encode_head('HTTP/1.1 200 OK', fields) + content)
    await writer.drain()
    return True


class Machine:
    """A machine: its daemon process and its backend."""

    def __init__(self, fleet: 'Fleet', number: int, service: str) -> None:
        self.fleet = fleet
        self.name = f'm{number}'
        self.ip = fleet.ips[number]
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.service = service
        self.backend = Backend(self)
        self.store_link = None
        if fleet.has_links:
            self.store_link = Link(
                fleet,
                (self.ip, self.port('store')),
                (fleet.store_ip, self.port('store')),
            )
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[tuple[float, int]] = []
        self.expected_end = False

    def port(self, name: str) -> int:
        return self.fleet.ports[name]

    def settings(self) -> str:
        fleet = self.fleet
        bounds = ','.join(f'{name}={x}' for name, x in fleet.bounds.items())
        lines = [
            f'node_name=sidecar-{self.name}',
            'role=daemon',
            'machine_class=sidecar',
            'serves=sidecar',
            f'ip={self.ip}',
            f'zone={self.zone}',
            'region=here',
            *(f'zones.{zone}=here' for zone in fleet.zones),
            f'listen.inbound={self.ip}:{self.port("inbound")}',
            f'listen.outbound={self.ip}:{self.port("outbound")}',
            f'listen.ready={self.ip}:{self.port("ready")}',
            f'listen.control={self.ip}:{self.port("control")}',
            f'port_range={self.port("range")},{self.port("range") + 15}',
            'seeds=',
            f'bootstrap={"true" if fleet.is_first_start else "false"}',
            'loss_counts=false',
            'limits.cpu_share=0.86',
            'limits.cores=1',
            'limits.memory_mb=300',
            'limits.max_fds=4100',
            'limits.link_mbps=1000.0',
            'limits.disk_mb=0',
            'discovery=local',
            'entry=local',
            'heartbeat_ms=1500',
            'contracts=base,drain,config,cost,retry,recover,health,platform',
            'fault_tolerance.machines=2',
            'fault_tolerance.zones=0',
            'fault_tolerance.regions=0',
            f'bounds={bounds}',
            f'app_addr={self.ip}:{self.port("app")}',
            f'service={self.service}',
            f'platform.address={self.ip if fleet.has_links else fleet.store_ip}'
            f':{self.port("store")}',
            'platform.form=kv',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.history_s=20',
            'platform.value_bytes=1048576',
            'platform.min_ttl_ms=1000',
        ]
        return '\n'.join(lines) + '\n'

    async def start(self) -> None:
        """Start the links, the daemon and the backend."""
        await self.backend.open()
        await self.start_without_backend()

    async def start_without_backend(self) -> None:
        """Start the links and the daemon."""
        if self.store_link is not None:
            await self.store_link.open()
        await self.start_daemon()

    async def start_daemon(self) -> None:
        """Start the daemon with the command of the deploy file."""
        path = self.fleet.folder / f'{self.name}.conf'
        path.write_text(self.settings(), encoding='utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BERGAMOTSHUNT_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with (self.fleet.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.fleet.command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record.write(
            f'{self.name}: daemon {self.process.pid} starts'
        )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            name = signal.Signals(number).name
            self.fleet.record.write(f'{self.name}: {name}')
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                answer = await fetch(
                    (self.ip, self.port('ready')), 'GET', '/-/readyz'
                )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


class Fleet:
    """Store, machines and their settings.

    Args:
        services: Service of each machine's backend.
        has_links: Whether each machine has a link of its own to the store.
        zones: Zones; the machines lie in them in turn.
    """

    def __init__(
        self,
        folder: Path,
        services: list[str],
        has_links: bool = False,
        zones: tuple[str, ...] = ('zone-a', 'zone-b', 'zone-c'),
        **bounds: Any,
    ) -> None:
        self.has_links = has_links
        self.zones = zones
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-2-'))
        self.bounds = BOUNDS | bounds
        self.is_first_start = True
        net = f'127.{40 + os.getpid() % 80}.{os.getpid() // 80 % 200 + 1}'
        self.store_ip = f'{net}.200'
        self.ips = [f'{net}.{10 + number}' for number in range(len(services))]
        ports = free_ports(24, [*self.ips, self.store_ip])
        names = ('inbound', 'outbound', 'ready', 'control', 'app', 'store')
        self.ports = dict(zip(names, ports)) | {'range': ports[8]}
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        )
        self.command = deploy['roles']['daemon']['run'].split()
        self.store = Store()
        self.machines = [
            Machine(self, number, service)
            for number, service in enumerate(services)
        ]

    async def start(self, config: dict[str, Any], count: int = 0) -> None:
        """Start the first machines, or all; wait until they are ready."""
        await self.store.open(self.store_ip, self.ports['store'])
        await self.store.put_config(config)
        first = self.machines[: count or len(self.machines)]
        for machine in first:
            await machine.start()
        await self.wait_ready(first)
        self.is_first_start = False
        # All daemons have to know all backends.
        await asyncio.sleep(4)

    async def wait_ready(
        self, machines: list[Machine], limit_s: float = 30
    ) -> None:
        end_s = time.monotonic() + limit_s
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > end_s:
                    raise NotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
            await machine.backend.close()
            if machine.store_link is not None:
                machine.store_link.close()
        await self.store.close()
        if os.environ.get('KEEP_LOGS'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def create_config(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a configuration in the form that PROTOCOL.md shows."""
    resources = []
    for number, route in enumerate(routes):
        spec = {
            'host': 'shop.example',
            'kind': 'safe',
            'timeout_ms': 2000,
            'latency_goal_ms': 500,
            'priority': 1,
            'attempts': 2,
        } | route
        resources.append(
            {
                'entry_kind': 'routes',
                'metadata': {'name': f'r-{number}'},
                'spec': spec,
            }
        )
    for service in services:
        resources.append(
            {
                'entry_kind': 'services',
                'metadata': {'name': service},
                'spec': {
                    'health_path': '/healthz',
                    'max_conns': 220,
                    'protocol': 'h1',
                    'tls': False,
                },
            }
        )
    for tenant in tenants or ():
        spec = {name: x for name, x in tenant.items() if name != 'name'}
        resources.append(
            {
                'entry_kind': 'tenants',
                'metadata': {'name': tenant['name']},
                'spec': spec,
            }
        )
    resources.append(
        {
            'entry_kind': 'limits',
            'metadata': {},
            'spec': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
    )
    return {'version': version, 'resources': resources}


# Clients


class Answer:
    """What a client got: ``status`` 0 if there was no head."""

    def __init__(self) -> None:
        self.status = 0
        self.head: Head | None = None
        self.content = b''
        self.is_whole = False
        self.end = ''


async def fetch(
    address: tuple[str, int],
    method: str,
    path: str,
    fields: dict[str, Any] | None = None,
    body: bytes = b'',
) -> Answer:
    """Send a request on a new connection and read the whole answer.

    Raises:
        OSError: No connection.
    """
    answer = Answer()
    reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
    try:
        whole = {'Host': 'shop.example'} | (fields or {})
        if body or method in {'PUT', 'POST'}:
            whole['Content-Length'] = len(body)
        writer.write(encode_head(f'{method} {path} HTTP/1.1', whole) + body)
        await writer.drain()
        answer.head = await read_head(reader)
        if answer.head is None:
            answer.end = 'closed without an answer'
            return answer
        answer.status = int(answer.head.first[1])
        answer.content = await read_body(reader, answer.head)
        answer.is_whole = True
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.end = repr(error)
    finally:
        writer.close()
    return answer


def client_fields(request_id: str, limit_ms: int) -> dict[str, Any]:
    return {
        PREFIX + 'Request-Id': request_id,
        PREFIX + 'Timeout-Ms': limit_ms,
    }


def is_troubled() -> bool:
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(case: Callable[[Path], Any]) -> None:
    """Run a case; end with 1 if the rule was broken, 2 if it did not run."""
    folder = Path(sys.argv[0]).resolve().parent

    async def run() -> bool:
        async with asyncio.timeout(115):
            return bool(await case(folder))

    try:
        is_held = asyncio.run(run())
    except (NotRunError, TimeoutError, OSError) as error:
        print(f'the case did not run: {error!r}')
        sys.exit(EXIT_NOT_RUN)
    print('the rule held' if is_held else 'the rule was BROKEN')
    sys.exit(EXIT_HELD if is_held else EXIT_BROKEN)
