# flake8: noqa
"""Small stand-ins of the platform, its backends and its clients.

They follow PROTOCOL.md and DEPLOY.md, use the standard library only and run
in one process. The daemons are separate processes, started with the command
of ``deploy/system.toml``. Host N has the address 127.B.0.N; the ports are the
same on all hosts.
"""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HOST_HEADER = 'shop.example'
KINDS_OF_PORT = (
    'inbound',
    'outbound',
    'ready',
    'control',
    'server',
    'datagrams',
    'metrics',
)
SIGNATURE = 'X-Bergamotshunt-Response-Signature'
REQUEST_ID = 'X-Bergamotshunt-Request-Id'
INSTANCE_ID = 'X-Bergamotshunt-Instance-Id'
NOT_EXECUTED = 'X-Bergamotshunt-Not-Executed'
SERVER_LOAD = 'X-Bergamotshunt-Server-Load'
HEARTBEAT_S = 1.5
DRAIN_MS = 2000
CONTACT_MS = 3000
CONFIG_APPLY_MS = 2000
GRACE_S = 6
RESTART_DELAY_S = 0.5
SETTINGS = """node_name=sidecar-{number}
role=daemon
machine_class=sidecar
serves=sidecar
ip={ip}
zone={zone}
region=lima
listen.inbound={ip}:{inbound}
listen.outbound={ip}:{outbound}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port_range={datagrams},{metrics}
seeds=
bootstrap={bootstrap}
discovery=local
entry=local
heartbeat_ms=1500
bounds=contact_ms=3000,ack_ms=4000,drain_ms={drain_ms},grace_s={grace_s},config_apply_ms=2000,retry_budget_ratio=0.2,budget_window_s=10,budget_slack=56
app_addr={ip}:{server}
service={service}
platform.address={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
"""


class CannotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what is sent, answered and run, with times from the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_s

    def __call__(self, text):
        self.file.write(f'{self.now():8.3f} {text}\n')
        self.file.flush()


async def read_message(reader):
    """Read a head and a body with a length; return None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, content = line.partition(':')
        fields[name.strip().lower()] = content.strip()
    body = b''
    if 'chunked' in fields.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif int(fields.get('content-length', 0)):
        body = await reader.readexactly(int(fields['content-length']))
    return first, fields, body


def encode_message(first, fields, body=b'', chunked=False):
    lines = [first, *(f'{name}: {text}' for name, text in fields.items())]
    if chunked:
        lines.append('Transfer-Encoding: chunked')
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    else:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(message, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message, writer):
        """Answer a message; return whether the connection stays open."""
        raise NotImplementedError

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's key-value store, with leases that expire."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.revision = 100
        self.by_key = {}
        self.events = []
        self.lease_ends = {}
        self.lease_ttls = {}
        self.last_lease = 7000
        self.changed = asyncio.Condition()
        # Decides whether the answer to a call is lost; the connection then
        # returns nothing further.
        self.loses = lambda path, query, answer: False

    async def put(self, key, value, lease=0):
        self.revision += 1
        known = self.by_key.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': lease,
        }
        self.by_key[key] = item
        self.events.append(item)
        await self._notify()

    async def put_config(self, version, routes, services):
        """Write a configuration as the operator; the return is its ack."""
        resources = [
            {'entry_kind': 'routes', 'metadata': {'name': name}, 'spec': spec}
            for name, spec in routes.items()
        ]
        resources += [
            {
                'entry_kind': 'services',
                'metadata': {'name': name},
                'spec': {
                    'health_path': '/healthz',
                    'max_conns': 220,
                    'protocol': 'h1',
                    'tls': False,
                },
            }
            for name in services
        ]
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
        document = json.dumps({'version': version, 'resources': resources})
        await self.put('op/config', b64encode(document.encode()).decode())
        self.record(f'operator: version {version} is acknowledged')

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now_s = time.monotonic()
            for lease, end_s in tuple(self.lease_ends.items()):
                if end_s < now_s:
                    await self._end_lease(lease)

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def _end_lease(self, lease):
        self.lease_ends.pop(lease, None)
        for key, item in tuple(self.by_key.items()):
            if item['lease'] == lease:
                await self._remove(key)

    async def _remove(self, key):
        if self.by_key.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )
        await self._notify()

    async def answer(self, message, writer):
        first, _, body = message
        method, target, _ = first.split(' ')
        path, _, query_text = target.partition('?')
        query = dict(parse_qsl(query_text))
        await asyncio.sleep(0.004)
        document = json.loads(body) if body else {}
        status, answer = await self._run(method, path, query, document)
        if self.loses(path, query, answer):
            self.record(f'store: the answer to {method} {target} is lost')
            await asyncio.sleep(3600)
        content = json.dumps(answer).encode()
        writer.write(
            encode_message(
                f'HTTP/1.1 {status} Status',
                {'Content-Type': 'application/json'},
                content,
            )
        )
        await writer.drain()
        return True

    async def _run(self, method, path, query, document):
        name, _, suffix = path.removeprefix('/-/').partition('/')
        match name:
            case 'kv-key':
                item = self.by_key.get(query['key'])
                if item is None:
                    return 404, {'as_of': self.revision}
                return 200, item | {'as_of': self.revision}
            case 'kv-range':
                items = [
                    item
                    for key, item in sorted(self.by_key.items())
                    if key.startswith(query['prefix'])
                    and key > query.get('after', '')
                ]
                return 200, {
                    'items': items,
                    'more_pages': False,
                    'as_of': self.revision,
                }
            case 'kv-watch':
                return 200, await self._watch(query)
            case 'kv-lease':
                self.last_lease += 1
                ttl_ms = document['ttl_ms']
                self.lease_ttls[self.last_lease] = ttl_ms / 1000
                self.lease_ends[self.last_lease] = (
                    time.monotonic() + ttl_ms / 1000
                )
                return 200, {'lease': self.last_lease, 'ttl_ms': ttl_ms}
            case 'kv-keep':
                lease = int(suffix)
                if lease not in self.lease_ends:
                    return 404, {}
                self.lease_ends[lease] = (
                    time.monotonic() + self.lease_ttls[lease]
                )
                return 200, {}
            case 'kv-lease-end':
                await self._end_lease(int(suffix))
                return 200, {}
            case 'kv-txn':
                return await self._commit(document)
        return 404, {}

    async def _watch(self, query):
        after = int(query['after'])

        def find():
            return [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]

        try:
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                async with self.changed:
                    await self.changed.wait_for(find)
        except TimeoutError:
            pass
        return {'events': find(), 'as_of': self.revision}

    async def _commit(self, document):
        for row in document.get('expect', ()):
            item = self.by_key.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                return 412, {'items': [item] if item else []}
        writes = document.get('writes', ())
        if any(
            write.get('lease') and write['lease'] not in self.lease_ends
            for write in writes
        ):
            return 404, {}
        for write in writes:
            await self.put(write['key'], write['value'], write.get('lease', 0))
        for key in document.get('remove', ()):
            await self._remove(key)
        return 200, {'revision': self.revision}


class Run:
    """A request that a backend began to run."""

    def __init__(self, request_id, host, instance, service, at_s, body):
        self.request_id = request_id
        self.body = body
        self.host = host
        self.instance = instance
        self.service = service
        self.at_s = at_s


class Backend(HttpServer):
    """The backend on one host; its path states the work and the size.

    ``/PREFIX/WORK_MS/BYTES``: it works for WORK_MS and answers BYTES bytes.
    """

    slots = 9
    queue = 36

    def __init__(self, host, service, record, runs):
        super().__init__()
        self.host = host
        self.service = service
        self.record = record
        self.runs = runs
        self.instance = ''
        self.born = 0
        self.seq = 0
        self.leaving = False
        self.beating = False
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        # Decides whether a response breaks off after some bytes, and whether
        # its connection closes then.
        self.truncates = lambda request_id: False
        self.closes_after_break = False

    async def start(self, instance, born):
        self.instance, self.born, self.seq = instance, born, 0
        self.leaving = False
        self.beating = True
        await self.listen(self.host.ip, self.host.ports['server'])
        self.record(f'{self.host.name}: backend {instance} starts, born {born}')

    def stop(self):
        self.beating = False
        self.close()
        self.writers.clear()
        self.record(f'{self.host.name}: backend {self.instance} ends')

    def create_beat(self, state):
        self.seq += 1
        return {
            'service': self.service,
            'address': f'{self.host.ip}:{self.host.ports["server"]}',
            'zone': self.host.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'seq': self.seq,
            'born': self.born,
        }

    async def beat(self, beat=None, instance=None):
        """Send a heartbeat; return whether it was acknowledged."""
        if beat is None:
            beat = self.create_beat('draining' if self.leaving else 'ready')
        instance = instance or self.instance
        status = await self.host.call_control(
            'PUT', instance, json.dumps(beat).encode()
        )
        self.record(
            f'{self.host.name}: beat of {instance} seq {beat["seq"]} '
            f'born {beat["born"]} {beat["state"]}: {status}'
        )
        return status == 200

    async def run_beats(self):
        while True:
            if self.beating:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, message, writer):
        first, fields, sent_body = message
        target = first.split(' ')[1]
        headers = {
            INSTANCE_ID: self.instance,
            SERVER_LOAD: f'{self.running},{self.waiting},{self.slots},100',
            'Keep-Alive': 'timeout=10',
        }
        request_id = fields.get(REQUEST_ID.lower())
        if request_id is not None:
            headers[REQUEST_ID] = request_id
        if target == '/healthz':
            status = 503 if self.leaving else 200
            return await self._send(writer, status, headers)
        wanted = fields.get('x-bergamotshunt-target-instance', self.instance)
        if wanted != self.instance:
            self.record(
                f'{self.host.name}: {request_id} is for {wanted}, not for '
                f'{self.instance}: 421'
            )
            return await self._send(writer, 421, headers)
        if self.waiting >= self.queue:
            headers[NOT_EXECUTED] = '1'
            return await self._send(writer, 503, headers)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                return await self._work(
                    writer, target, request_id, headers, sent_body
                )
            finally:
                self.running -= 1

    async def _work(self, writer, target, request_id, headers, sent_body):
        name = self.host.name
        self.runs.append(
            Run(
                request_id,
                name,
                self.instance,
                self.service,
                time.monotonic(),
                sent_body,
            )
        )
        self.record(
            f'{name}: {self.instance} of {self.service} runs {request_id} '
            f'{target} with {len(sent_body)} bytes of body'
        )
        work_ms, size = target.split('/')[-2:]
        await asyncio.sleep(int(work_ms) / 1000)
        body = random.Random(request_id).randbytes(int(size))
        headers[SIGNATURE] = f'{request_id}.{len(body)}'
        if self.truncates(request_id):
            self.record(f'{name}: the response to {request_id} breaks off')
            message = encode_message('HTTP/1.1 200 OK', headers, body)
            writer.write(message[: -len(body) // 4])
            await writer.drain()
            return not self.closes_after_break
        return await self._send(writer, 200, headers, body)

    async def _send(self, writer, status, headers, body=b''):
        writer.write(encode_message(f'HTTP/1.1 {status} X', headers, body))
        await writer.drain()
        return True


class Daemon:
    """A daemon process, which the platform restarts after it has ended."""

    def __init__(self, host, settings, folder, record):
        self.host = host
        self.settings = settings
        self.record = record
        self.log_path = folder / f'{host.name}.log'
        self.process = None
        self.started_s = 0.0
        self.exits = []
        self.wanted = True

    async def run(self):
        """Keep the daemon running until ``wanted`` is false."""
        while self.wanted:
            await self._start()
            code = await self.process.wait()
            self.exits.append((time.monotonic(), code))
            self.record(f'{self.host.name}: the daemon ended with {code}')
            await asyncio.sleep(RESTART_DELAY_S)

    async def _start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['daemon']['run'].split()
        log = self.log_path.open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', ''),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BERGAMOTSHUNT_BOOT': str(self.settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.started_s = time.monotonic()
        self.record(f'{self.host.name}: the daemon starts')

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record(f'{self.host.name}: the daemon gets {number.name}')
            self.process.send_signal(number)

    def end(self):
        self.wanted = False
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()


class Host:
    """A machine: a daemon, a backend, and clients that send to it."""

    def __init__(self, number, zone, service, fleet):
        self.number = number
        self.name = f'host-{number}'
        self.zone = zone
        self.ip = f'127.{fleet.net}.0.{number}'
        self.ports = fleet.ports
        path = fleet.folder / f'{self.name}.conf'
        path.write_text(
            SETTINGS.format(
                number=number,
                ip=self.ip,
                zone=zone,
                service=service,
                bootstrap='true',
                drain_ms=DRAIN_MS,
                grace_s=GRACE_S,
                store=f'127.{fleet.net}.0.250:{fleet.ports["server"]}',
                **fleet.ports,
            )
        )
        self.settings = path
        self.backend = Backend(self, service, fleet.record, fleet.runs)
        self.daemon = Daemon(self, path, fleet.folder, fleet.record)

    async def call_control(self, method, instance, body=b''):
        """Call the daemon's control address; return the status or None."""
        status, _, _ = await http_call(
            (self.ip, self.ports['control']),
            encode_message(
                f'{method} /-/instances/{instance} HTTP/1.1',
                {
                    'Host': self.ip,
                    'Content-Type': 'application/json',
                    'Connection': 'close',
                },
                body,
            ),
            1.0,
        )
        return status

    async def deregister(self, instance=None):
        instance = instance or self.backend.instance
        status = await self.call_control('DELETE', instance)
        self.backend.record(f'{self.name}: DELETE of {instance}: {status}')
        return status == 200

    async def is_ready(self):
        status, _, _ = await http_call(
            (self.ip, self.ports['ready']),
            encode_message(
                'GET /-/readyz HTTP/1.1',
                {'Host': self.ip, 'Connection': 'close'},
            ),
            1.0,
        )
        return status == 200


async def http_call(address, message, timeout_s):
    """Send a message on a new connection.

    Returns:
        Status, headers and body; the status is None without an answer, and
        the body is None if the answer is not complete.
    """
    status, fields, body = None, {}, None
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(message)
            head = await reader.readuntil(b'\r\n\r\n')
            first, *lines = head.decode('latin-1').split('\r\n')[:-2]
            status = int(first.split(' ')[1])
            for line in lines:
                name, _, content = line.partition(':')
                fields[name.strip().lower()] = content.strip()
            if 'chunked' in fields.get('transfer-encoding', ''):
                chunks = b''
                while True:
                    size = int((await reader.readline()).split(b';')[0], 16)
                    chunks += (await reader.readexactly(size + 2))[:size]
                    if not size:
                        break
                body = chunks
            else:
                body = await reader.readexactly(
                    int(fields.get('content-length', 0))
                )
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        ValueError,
    ):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return status, fields, body


class Answer:
    """What a client got for one request."""

    def __init__(self, request_id, host, path, sent_s, ended_s, status, body):
        self.request_id = request_id
        self.host = host
        self.path = path
        self.sent_s = sent_s
        self.ended_s = ended_s
        self.status = status
        self.body = body


class Fleet:
    """Hosts, the store and what was seen."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.runs = []
        self.answers = []
        self.hosts = []
        self.net, self.ports = find_ports()
        self.store = Store(record)
        self.tasks = set()
        self.count = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    def add_host(self, zone, service):
        host = Host(11 + len(self.hosts), zone, service, self)
        self.hosts.append(host)
        return host

    async def start(self, routes, services):
        """Start all; return when all daemons are ready and settled."""
        await self.store.listen(f'127.{self.net}.0.250', self.ports['server'])
        self.spawn(self.store.expire())
        await self.store.put_config(3, routes, services)
        now_ms = int(time.time() * 1000)
        for host in self.hosts:
            await host.backend.start(f'i-{host.number}-1', now_ms)
            self.spawn(host.daemon.run())
        await asyncio.sleep(1.0)
        for host in self.hosts:
            self.spawn(host.backend.run_beats())
        for _ in range(100):
            states = [await host.is_ready() for host in self.hosts]
            if all(states):
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRun('the daemons do not get ready')
        await asyncio.sleep(CONTACT_MS / 1000 + 2)

    async def send(self, host, path, timeout_ms=1500, method='GET', **options):
        """Send a request of a client of a host; return its answer."""
        self.count += 1
        request_id = f'r{self.count:05}'
        fields = {
            'Host': HOST_HEADER,
            REQUEST_ID: request_id,
            'X-Bergamotshunt-Timeout-Ms': str(timeout_ms),
        }
        sent_s = time.monotonic()
        self.record(f'{host.name}: a client sends {request_id} {method} {path}')
        status, _, body = await http_call(
            (host.ip, host.ports['outbound']),
            encode_message(
                f'{method} {path} HTTP/1.1',
                fields | options.get('fields', {}),
                options.get('body', b''),
                options.get('chunked', False),
            ),
            options.get('patience_s', timeout_ms / 1000),
        )
        ended_s = time.monotonic()
        whole = 'whole' if body is not None else 'not whole'
        self.record(
            f'{host.name}: {request_id} gets '
            f'{status if status else "no answer"}, {whole}, after '
            f'{(ended_s - sent_s) * 1000:.0f} ms'
        )
        answer = Answer(request_id, host, path, sent_s, ended_s, status, body)
        self.answers.append(answer)
        return answer

    async def send_steadily(self, host, path, gap_s, **options):
        """Send requests, each on a new connection, until cancelled."""
        while True:
            self.spawn(self.send(host, path, **options))
            await asyncio.sleep(gap_s)

    def end(self):
        for host in self.hosts:
            host.daemon.end()
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            host.backend.close()
        self.store.close()


def find_ports():
    """Return a net of loopback addresses and ports that are free in it."""
    rng = random.Random()
    for _ in range(50):
        net = rng.randint(60, 250)
        first = rng.randint(20_000, 29_000)
        ports = {
            kind: first + number for number, kind in enumerate(KINDS_OF_PORT)
        }
        if all(is_free(f'127.{net}.0.11', port) for port in ports.values()):
            return net, ports
    raise CannotRun('no free ports')


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def route(prefix, service, kind='safe', **fields):
    """Return the name and the description of a route."""
    spec = {
        'host': HOST_HEADER,
        'prefix': f'/{prefix}/',
        'kind': kind,
        'timeout_ms': 1500,
        'latency_goal_ms': 600,
        'priority': 1,
        'service': service,
        'attempts': 2,
    }
    return {f'r-{prefix}': spec | fields}


def main(case, limit_s=112):
    """Run a case: an async function of the fleet and of ``trouble``.

    It returns the text of each break of the rule. Exits with 1 if there are
    any, with 0 if there are none, and with 2 if the case could not run.
    """
    folder = Path(sys.argv[1]).resolve()
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder / 'record.txt')
    try:
        with tempfile.TemporaryDirectory() as scratch:
            breaks = asyncio.run(
                _run_case(case, record, Path(scratch), trouble, limit_s)
            )
    except (
        CannotRun,
        OSError,
        TimeoutError,
        asyncio.CancelledError,
    ) as error:
        record(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    for text in breaks:
        record(f'BROKEN: {text}')
    verdict = 'the rule was broken' if breaks else 'the rule held'
    record(verdict)
    print(verdict, f'({len(breaks)} times)' if breaks else '')
    sys.exit(1 if breaks else 0)


async def _run_case(case, record, scratch, trouble, limit_s):
    fleet = Fleet(record, scratch)
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    try:
        async with asyncio.timeout(limit_s):
            return await case(fleet, trouble)
    finally:
        fleet.end()
        await asyncio.sleep(0.3)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in scratch.glob('*.log'):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
