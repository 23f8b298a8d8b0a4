"""A small fleet on loopback addresses for the cases of the third review.

Daemons run as separate processes with the command of the deploy file. The
store, the operator, the backend servers and the clients are stand-ins in the
process of the script. They use the standard library only.
"""

# Scripts of the review, like stand-ins: no part of the product.
# flake8: noqa: WPS

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
HEARTBEAT_S = 1.5
PREFIX = 'X-Bergamotshunt-'
# Bounds of apr-mesh, which the page on the system lists.
BOUNDS = (
    'seed_lag_s=3,reuse_after_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,'
    'drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,'
    'rollback_slack_ms=250,max_skew_ms=5000,retry_budget_ratio=0.2,'
    'budget_window_s=10,budget_slack=58,recovery_s=15,probes_per_s=60'
)


class Record:
    """Writes what happens, with the time since the start, to record.txt."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._start_s = time.monotonic()

    def __call__(self, *parts):
        line = ' '.join(map(str, parts))
        at_s = time.monotonic() - self._start_s
        self._file.write(f'{at_s:8.3f} {line}\n')
        self._file.flush()
        print(f'{at_s:8.3f} {line}')


async def read_head(reader):
    """Return the first line and the headers by lower-case name."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, separator, content = line.partition(':')
        if separator:
            headers[name.strip().lower()] = content.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Read a whole body, sent with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's key-value store; its calls can be made to fail."""

    def __init__(self):
        self.address = None
        self.is_down = False
        # Whether leases run out while the store is down; else they pause.
        self.lapses = False
        self.revision = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._servers = []

    async def open(self, ip):
        self.address = await self.listen(ip)
        self._expiry = asyncio.create_task(self._expire())

    async def listen(self, ip, on_call=None):
        """Listen at one more address; ``on_call`` runs before each call."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, on_call), ip, 0
        )
        self._servers.append(server)
        return server.sockets[0].getsockname()[:2]

    def put(self, key, content, lease=0):
        self.revision += 1
        before = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': before['created'] if before else self.revision,
            'lease': lease,
        }
        self._items[key] = item
        self._record(item)

    def _remove(self, key):
        if key in self._items:
            self.revision += 1
            del self._items[key]
            self._record(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def _record(self, event):
        self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.is_down and not self.lapses:
                for lease in self._leases.values():
                    lease[1] += 0.05
                continue
            for number, (_, end_s) in tuple(self._leases.items()):
                if end_s < time.monotonic():
                    self._end_lease(number)

    def _end_lease(self, number):
        self._leases.pop(number, None)
        for key, item in tuple(self._items.items()):
            if item['lease'] == number:
                self._remove(key)

    async def _serve(self, reader, writer, on_call):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if on_call is not None:
                    on_call()
                method, target, _ = line.split(' ')
                path, _, query = target.partition('?')
                fields = dict(parse_qsl(query))
                status, answer = 503, {}
                if not self.is_down:
                    document = json.loads(body) if body else {}
                    status, answer = await self._handle(
                        method, path, fields, document
                    )
                content = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n%b'
                    % (status, len(content), content)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, path, fields, document):
        if path == '/-/kv-key':
            item = self._items.get(fields['key'])
            if item is None:
                return 404, {'as_of': self.revision}
            return 200, {**item, 'as_of': self.revision}
        if path == '/-/kv-range':
            after = fields.get('after', '')
            items = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(fields['prefix']) and key > after
            ]
            return 200, {
                'items': items,
                'more_pages': False,
                'as_of': self.revision,
            }
        if path == '/-/kv-watch':
            return await self._watch(fields)
        if path == '/-/kv-txn':
            return self._transact(document)
        if path == '/-/kv-lease':
            self._last_lease += 1
            ttl_ms = max(int(document['ttl_ms']), 1000)
            self._leases[self._last_lease] = [
                ttl_ms,
                time.monotonic() + ttl_ms / 1000,
            ]
            return 200, {'lease': self._last_lease, 'ttl_ms': ttl_ms}
        number = int(path.rpartition('/')[2])
        if number not in self._leases:
            return 404, {}
        if method == 'DELETE':
            self._end_lease(number)
        else:
            lease = self._leases[number]
            lease[1] = time.monotonic() + lease[0] / 1000
        return 200, {}

    async def _watch(self, fields):
        end_s = time.monotonic() + int(fields['wait_ms']) / 1000
        after = int(fields['after'])
        while True:
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(fields['prefix'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'as_of': self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    def _transact(self, document):
        rows = document.get('expect', [])
        found = [self._items.get(row['key']) for row in rows]
        for row, item in zip(rows, found):
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [item for item in found if item]}
        for write in document.get('writes', []):
            lease = write.get('lease', 0)
            if lease and lease not in self._leases:
                return 404, {}
        for write in document.get('writes', []):
            content = base64.b64decode(write['value'])
            self.put(write['key'], content, write.get('lease', 0))
        for key in document.get('remove', []):
            self._remove(key)
        return 200, {'revision': self.revision}


class Server:
    """A backend server. It answers by ``respond``, one request at a time on
    a connection, and drops a run when its connection closes."""

    def __init__(self, host, record):
        self.host = host
        self.instance = f'i-{host.name}-1'
        self.born_ms = int(time.time() * 1000)
        self.state = 'ready'
        self.respond = respond_shortly
        self.announces = True
        self.running = 0
        self._sequence = 0
        self._record = record

    async def open(self):
        self._server = await asyncio.start_server(
            self._serve, self.host.ip, self.host.ports['app'], backlog=1024
        )
        self._beats = asyncio.create_task(self._announce_always())

    async def announce(self, *, method='PUT'):
        self._sequence += 1
        body = json.dumps(
            {
                'service': self.host.service,
                'address': f'{self.host.ip}:{self.host.ports["app"]}',
                'zone': self.host.zone,
                'version': 'v1',
                'slots': self.host.fleet.slots,
                'state': self.state,
                'cold_left_ms': 0,
                'seq': self._sequence,
                'born': self.born_ms,
            }
        ).encode()
        if method == 'DELETE':
            body = b''
        return await self.tell(method, body)

    async def tell(self, method, body):
        """Send a heartbeat to the daemon; return whether it is acknowledged."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host.ip, self.host.ports['control']
                )
                writer.write(
                    f'{method} /-/instances/{self.instance} HTTP/1.1\r\n'
                    f'Host: {self.host.ip}\r\nConnection: close\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode()
                    + body
                )
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                writer.close()
                return line.split(' ')[1].startswith('2')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def _announce_always(self):
        while True:
            if self.announces:
                acknowledged = await self.announce()
                await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.3)
            else:
                await asyncio.sleep(0.1)

    def load(self):
        slots = self.host.fleet.slots
        return f'{PREFIX}Server-Load: {self.running},0,{slots},100\r\n'

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ')
                if target == '/healthz':
                    status = 200 if self.state == 'ready' else 503
                    writer.write(
                        f'HTTP/1.1 {status} x\r\n'
                        f'{PREFIX}Instance-Id: {self.instance}\r\n'
                        f'{self.load()}Content-Length: 0\r\n\r\n'.encode()
                    )
                    continue
                body = await read_body(reader, headers)
                request_id = headers.get(f'{PREFIX}Request-Id'.lower(), '')
                target_instance = headers.get(
                    f'{PREFIX}Target-Instance'.lower()
                )
                if target_instance not in (None, self.instance):
                    self._record('server', self.host.name, '421', request_id)
                    writer.write(
                        'HTTP/1.1 421 x\r\n'
                        f'{PREFIX}Request-Id: {request_id}\r\n'
                        f'{PREFIX}Instance-Id: {self.instance}\r\n'
                        'Content-Length: 0\r\n\r\n'.encode()
                    )
                    continue
                self._record(
                    'server',
                    self.host.name,
                    'runs',
                    request_id,
                    method,
                    target,
                    f'body={len(body)}',
                )
                self.host.fleet.runs.append(
                    (time.monotonic(), self.host, request_id, target, headers)
                )
                self.running += 1
                run = asyncio.ensure_future(
                    self.respond(
                        self, request_id, target, headers, body, writer
                    )
                )
                try:
                    await self._finish(run, reader)
                finally:
                    self.running -= 1
                    run.cancel()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _finish(self, run, reader):
        """Wait for a run; drop it when the connection closes meanwhile."""
        while not run.done():
            await asyncio.wait((run,), timeout=0.02)
            if reader.at_eof() and not run.done():
                raise ConnectionResetError
        run.result()


def success(server, request_id, body):
    """Return a whole response of a server."""
    return (
        'HTTP/1.1 200 OK\r\n'
        f'{PREFIX}Request-Id: {request_id}\r\n'
        f'{PREFIX}Response-Signature: sig.{request_id}\r\n'
        f'{server.load()}Content-Length: {len(body)}\r\n\r\n'.encode()
        + body
    )


async def respond_shortly(server, request_id, _target, _headers, _body, writer):
    await asyncio.sleep(0.05)
    writer.write(success(server, request_id, b'ok ' + request_id.encode()))


class Host:
    """A machine with a daemon and its backend server."""

    def __init__(self, fleet, number, service, zone):
        self.fleet = fleet
        self.name = f'h{number}'
        self.ip = f'{fleet.network}.{number}'
        self.ports = fleet.ports
        self.service = service
        self.zone = zone
        self.process = None
        self.starts = 0
        self.settings = fleet.folder / f'{self.name}.conf'
        self.server = Server(self, fleet.record)
        # Addresses that other hosts use may lead through a proxy.
        self.bound_inbound = (self.ip, self.ports['inbound'])

    def write_settings(self):
        fleet = self.fleet
        store_ip, store_port = fleet.store_address_of(self)
        zones = sorted({host.zone for host in fleet.hosts})
        lines = [
            f'node_name={self.name}',
            'role=daemon',
            'machine_class=sidecar',
            'serves=sidecar',
            f'ip={self.ip}',
            f'zone={self.zone}',
            'region=r',
            *(f'zones.{zone}=r' for zone in zones),
            'listen.inbound=%s:%d' % self.bound_inbound,
            f'listen.outbound={self.ip}:{self.ports["outbound"]}',
            f'listen.ready={self.ip}:{self.ports["ready"]}',
            f'listen.control={self.ip}:{self.ports["control"]}',
            f'port_range={self.ports["range"]},{self.ports["range"] + 15}',
            'seeds=',
            f'bootstrap={"true" if self.starts == 0 else "false"}',
            f'limits.memory_mb={fleet.memory_mb}',
            f'limits.max_fds={fleet.max_fds}',
            'heartbeat_ms=1500',
            f'bounds={fleet.bounds}',
            f'app_addr={self.ip}:{self.ports["app"]}',
            f'service={self.service}',
            f'platform.address={store_ip}:{store_port}',
            'platform.form=kv',
            'platform.min_ttl_ms=1000',
        ]
        self.settings.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    async def start(self):
        self.write_settings()
        self.starts += 1
        command = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )['roles']['daemon']['run'].split(' ')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'BERGAMOTSHUNT_BOOT': str(self.settings),
        }
        log = (self.fleet.folder / f'{self.name}.log').open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports['ready']
                )
                writer.write(
                    b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line, _ = await read_head(reader)
                writer.close()
                return ' 200 ' in line
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    """Hosts, store and operator of a small deployment.

    Args:
        folder: Folder of the case, which gets the record.
        services: Service of each host, in their order.
    """

    memory_mb = 300
    max_fds = 4100
    slots = 13
    bounds = BOUNDS

    def __init__(self, folder, services):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        self.runs = []
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.store = Store()
        self.network = '127.%d.%d' % (
            random.randrange(20, 250),
            random.randrange(1, 250),
        )
        self.ports = self._find_ports(len(services))
        self.hosts = []
        for index, service in enumerate(services):
            self.hosts.append(Host(self, index + 1, service, f'z{index % 3}'))
        self.version = 0
        self.store_addresses = {}

    def _find_ports(self, count):
        """Return ports that are free on the addresses of all hosts."""
        names = ('inbound', 'outbound', 'ready', 'control', 'app', 'range')
        while True:
            base = random.randrange(20_000, 30_000)
            ports = {name: base + at for at, name in enumerate(names)}
            try:
                for number in range(1, count + 1):
                    for port in range(base, base + len(names) + 16):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((f'{self.network}.{number}', port))
            except OSError:
                continue
            return ports

    def store_address_of(self, host):
        return self.store_addresses.get(host, self.store.address)

    def configure(self, routes, *, tenants=(), limits=None):
        """Put the next version of the configuration."""
        self.version += 3
        resources = [
            {
                'entry_kind': 'routes',
                'metadata': {'name': f'r-{at}'},
                'spec': {
                    'host': HOST,
                    'timeout_ms': 2000,
                    'latency_goal_ms': 500,
                    'priority': 1,
                    'attempts': 2,
                    **route,
                },
            }
            for at, route in enumerate(routes)
        ]
        for service in sorted({host.service for host in self.hosts}):
            resources.append(
                {
                    'entry_kind': 'services',
                    'metadata': {'name': service},
                    'spec': {'health_path': '/healthz', 'max_conns': 220},
                }
            )
        for tenant in tenants:
            resources.append(
                {
                    'entry_kind': 'tenants',
                    'metadata': {'name': tenant['name']},
                    'spec': {k: v for k, v in tenant.items() if k != 'name'},
                }
            )
        resources.append(
            {
                'entry_kind': 'limits',
                'metadata': {},
                'spec': {
                    'max_header_bytes': 16_384,
                    'max_body_bytes': 67_108_864,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15_000,
                    **(limits or {}),
                },
            }
        )
        document = {'version': self.version, 'resources': resources}
        self.store.put('op/config', json.dumps(document).encode())
        self.record('operator puts version', self.version)

    async def open(self):
        await self.store.open(f'{self.network}.200')

    async def start(self):
        for host in self.hosts:
            await host.server.open()
        for host in self.hosts:
            await host.start()
        await self.wait_until_ready()

    async def wait_until_ready(self, hosts=None, timeout_s=20):
        end_s = time.monotonic() + timeout_s
        for host in hosts or self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end_s:
                    raise CannotRunError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)
        self.record('ready:', *(host.name for host in hosts or self.hosts))

    async def close(self):
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, host, method, path, request_id, **options):
        """Send a request on a new connection; return status and body."""
        return await call(
            self.record,
            host.ip,
            self.ports['outbound'],
            method,
            path,
            request_id,
            **options,
        )


class CannotRunError(Exception):
    """The case could not run."""


def request_bytes(
    method, path, request_id, *, body=None, timeout_ms=2000, headers=()
):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'{PREFIX}Request-Id: {request_id}',
        f'{PREFIX}Timeout-Ms: {timeout_ms}',
        *headers,
    ]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + (body or b'')


async def read_response(reader):
    """Return status, headers and body; fail if it is not whole."""
    line, headers = await read_head(reader)
    status = int(line.split(' ')[1])
    return status, headers, await read_body(reader, headers)


async def call(
    record, ip, port, method, path, request_id, *, patience_s=None, **options
):
    """Return status and body; status 0 if there was no whole response."""
    patience_s = patience_s or options.get('timeout_ms', 2000) / 1000 + 0.5
    try:
        async with asyncio.timeout(patience_s):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(request_bytes(method, path, request_id, **options))
                status, _, body = await read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record('client', request_id, path, 'no answer:', repr(error))
        return 0, b''
    record('client', request_id, path, status, f'{len(body)} bytes')
    return status, body


def run_case(folder, services, scenario, prepare=None):
    """Run a scenario; exit with 1 if it returns that a rule was broken."""

    async def main():
        # Handlers of open connections are cancelled at the end.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        fleet = Fleet(folder, services)
        if prepare is not None:
            prepare(fleet)
        try:
            async with asyncio.timeout(110):
                await fleet.open()
                broken = await scenario(fleet)
        except (CannotRunError, TimeoutError) as error:
            fleet.record('could not run:', repr(error))
            return 2
        finally:
            await fleet.close()
        fleet.record('RULE BROKEN' if broken else 'the rule held')
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
