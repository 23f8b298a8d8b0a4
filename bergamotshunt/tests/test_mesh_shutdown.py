"""Tests of responses that are still unsent when a daemon stops."""

import asyncio
from collections.abc import Callable
from math import inf
from typing import Any

import pytest

from bergamotshunt import mesh_daemon
from bergamotshunt.daemon import create_runner
from bergamotshunt.decisions import connection_closing
from bergamotshunt.http.connection_ends import CloseReason, ConnectionEnd
from bergamotshunt.http.exchanges import Exchange
from bergamotshunt.http.listeners import Listener
from bergamotshunt.mesh_task import ListeningTask
from bergamotshunt.peers.peer_calls import (
    CALL_HEADER,
    RESULT_HEADER,
    PeerCall,
    decode_result,
    encode_call,
)
from bergamotshunt.platform.names import REQUEST_ID
from bergamotshunt.plugins.mesh import inbound, outbound
from bergamotshunt.plugins.mesh.fleet import FleetTask
from bergamotshunt.tests.mesh import Mesh
from bergamotshunt.tests.slow_client import (
    LARGE_CONTENT,
    SlowClient,
    shrink_send_buffers,
)
from bergamotshunt.tests.test_mesh_explain import captured_lines
from bergamotshunt.verdicts import Verdict
from standins.mesh_server import MeshServer

DRAIN_TIMEOUT_S = 20.0
SHORT_DRAIN_S = 0.6
RUNNERS = (asyncio.Runner, create_runner)
REQUEST = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'


def header_of(response: bytes, name: bytes) -> bytes:
    return response.partition(name + b': ')[2].partition(b'\r\n')[0]


def content_of(response: bytes) -> bytes:
    return response.partition(b'\r\n\r\n')[2]


class LargeResponder:
    """Handler of a listener that responds with a large body.

    Attributes:
        ended: Set when a handler has ended.
        ends: Ends of the listener's connections.
    """

    def __init__(self) -> None:
        self.ended = asyncio.Event()
        self.ends: list[ConnectionEnd] = []
        self.listener = Listener(self.serve, on_connection_end=self.ends.append)

    async def serve(self, exchange: Exchange) -> None:
        shrink_send_buffers(self.listener)
        exchange.request_id = 'r1'
        exchange.respond(200, [], LARGE_CONTENT)
        self.ended.set()


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_aborted_connection_reports_unsent_bytes(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a cut response whose cause no log line states."""

    async def run_scenario() -> list[ConnectionEnd]:
        responder = LargeResponder()
        port = await responder.listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await responder.ended.wait()
            await responder.listener.close()
            await client.read_until_closed()
        return responder.ends

    with runner_factory() as runner:
        (end,) = runner.run(run_scenario())
    assert end.reason is CloseReason.SHUTDOWN
    assert end.unsent_bytes > 0
    assert end.request_id == 'r1'


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_listener_sends_responses_whose_handlers_have_ended(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a drain that ends before the responses are sent."""

    async def run_scenario() -> bytes:
        responder = LargeResponder()
        port = await responder.listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await responder.ended.wait()
            reading = asyncio.create_task(client.read_until_closed())
            responder.listener.close_idle()
            await responder.listener.wait_until_idle()
            await responder.listener.close()
            return await reading

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert content_of(response) == LARGE_CONTENT


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_listener_gives_up_on_clients_that_do_not_read(
    runner_factory: Callable[[], asyncio.Runner],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a drain that lasts as long as a client's silence."""
    monkeypatch.setattr(connection_closing, 'DRAIN_STALL_TIMEOUT_S', 0.2)

    async def run_scenario() -> list[ConnectionEnd]:
        responder = LargeResponder()
        port = await responder.listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await responder.ended.wait()
            responder.listener.close_idle()
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await responder.listener.wait_until_idle()
            await responder.listener.close()
        return responder.ends

    with runner_factory() as runner:
        (end,) = runner.run(run_scenario())
    assert end.reason is CloseReason.STALLED
    assert end.unsent_bytes > 0


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_listener_gives_up_on_clients_that_do_not_close(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a drain that waits for clients that keep connections."""

    async def run_scenario() -> list[ConnectionEnd]:
        responder = LargeResponder()
        port = await responder.listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            await responder.ended.wait()
            responder.listener.close_idle()
            while await client.read():
                continue
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await responder.listener.wait_until_idle()
            await responder.listener.close()
        return responder.ends

    with runner_factory() as runner:
        (end,) = runner.run(run_scenario())
    assert end.complete


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_listener_closes_unused_connections_at_once(
    runner_factory: Callable[[], asyncio.Runner],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a drain that waits although nothing was sent."""
    monkeypatch.setattr(connection_closing, 'LINGER_TIMEOUT_S', inf)

    async def run_scenario() -> list[ConnectionEnd]:
        responder = LargeResponder()
        listener = responder.listener
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST[:10])
            while not listener.connections:
                await asyncio.sleep(0)
            listener.close_idle()
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await listener.wait_until_idle()
            await listener.close()
        async with SlowClient('127.0.0.1', await listener.open('127.0.0.1', 0)):
            while not listener.connections:
                await asyncio.sleep(0)
            listener.close_idle()
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await listener.wait_until_idle()
            await listener.close()
        return responder.ends

    with runner_factory() as runner:
        ends = runner.run(run_scenario())
    assert len(ends) == 2
    assert all(end.complete for end in ends)


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_handler_without_a_response_does_not_hold_the_drain(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a drain that waits for a response nobody makes."""

    async def serve(_exchange: Exchange) -> None:
        """End without a response."""

    async def run_scenario() -> list[ConnectionEnd]:
        ends: list[ConnectionEnd] = []
        listener = Listener(serve, on_connection_end=ends.append)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                assert await client.read() == b''
                await listener.wait_until_idle()
        await listener.close()
        return ends

    with runner_factory() as runner:
        (end,) = runner.run(run_scenario())
    assert end.reason is CloseReason.HANDLER_FAILED
    assert end.responses_due == 1


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_request_behind_the_last_response_does_not_run(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against runs whose response the connection cannot send."""

    async def run_scenario() -> tuple[bytes, list[bytes]]:
        targets: list[bytes] = []

        async def serve(exchange: Exchange) -> None:
            targets.append(exchange.head.target)
            exchange.start(200, [], 2)
            (connection,) = listener.connections
            connection.data_received(REQUEST.replace(b'/a', b'/b'))
            exchange.write(b'ok')
            exchange.finish()

        listener = Listener(serve)
        port = await listener.open('127.0.0.1', 0)
        listener.close_after_responses()
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            response = await client.read_until_closed()
        await listener.close()
        return response, targets

    with runner_factory() as runner:
        response, targets = runner.run(run_scenario())
    assert targets == [b'/a']
    assert content_of(response) == b'ok'


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_body_after_an_early_response_does_not_cut_it(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a close with unread bytes, which resets the connection.

    The reset destroys the end of a response that is on its way.
    """
    body = bytes(100_000)
    head = (
        b'POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n' % len(body)
    )

    async def run_scenario() -> bytes:
        responder = LargeResponder()
        port = await responder.listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(head)
            await responder.ended.wait()
            sending = asyncio.create_task(client.send(body))
            response = await client.read_until_closed()
            await asyncio.gather(sending, return_exceptions=True)
        await responder.listener.close()
        return response

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert content_of(response) == LARGE_CONTENT


async def respond_large(server: MeshServer, exchange: Exchange) -> None:
    exchange.respond(200, server.headers(exchange), LARGE_CONTENT)


def listening_task(mesh: Mesh, name: str) -> ListeningTask:
    task = mesh.hosts[0].kernel.tasks_by_name[name]
    assert isinstance(task, ListeningTask)
    return task


def client_request() -> bytes:
    return b'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n%b: r1\r\n\r\n' % (
        REQUEST_ID
    )


def peer_request(left_ms: float = 3000) -> bytes:
    call = encode_call(PeerCall('r1', 'i-0', 'shop', left_ms, left_ms, 1))
    return (
        b'GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n'
        b'%b: r1\r\n%b: %b\r\n\r\n' % (REQUEST_ID, CALL_HEADER, call)
    )


@pytest.fixture
def short_notice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the times in which a stopping daemon accepts requests."""
    monkeypatch.setattr(outbound, 'ACCEPT_AFTER_STOP_S', 0.06)
    monkeypatch.setattr(inbound, 'ACCEPT_AFTER_STOP_S', 0.03)
    monkeypatch.setattr(inbound, 'NOT_SERVING_NOTICE_S', 0.02)


async def read_slowly_from_stopping_daemon(
    task_name: str, request: bytes
) -> bytes:
    async with Mesh([respond_large]) as mesh:
        task = listening_task(mesh, task_name)
        address = task._address
        async with SlowClient(address.ip, address.port) as client:
            await mesh.wait_until(lambda: bool(task._listener.connections))
            shrink_send_buffers(task._listener)
            await client.send(request)
            await mesh.wait_until(lambda: bool(mesh.runs()))
            kernel = mesh.hosts[0].kernel
            reading = asyncio.create_task(client.read_until_closed())
            assert await kernel.drain(DRAIN_TIMEOUT_S)
            await kernel.stop()
            return await reading


def check_close_notice(notice: bytes, task_name: str) -> None:
    """Check that only a refusal to peers follows the last response."""
    if task_name == 'outbound':
        assert notice == b''
        return
    result = decode_result(header_of(notice, RESULT_HEADER))
    assert result is not None
    assert (result.verdict, result.reason) == (
        Verdict.NOT_RUN,
        'connection-closed',
    )
    assert content_of(notice) == b''


SIDES: tuple[Any, ...] = (
    pytest.param('outbound', client_request(), id='outbound'),
    pytest.param('inbound', peer_request(), id='inbound'),
)


@pytest.mark.usefixtures('short_notice')
@pytest.mark.parametrize(('task_name', 'request_bytes'), SIDES)
@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_stopping_daemon_sends_whole_responses(
    task_name: str,
    request_bytes: bytes,
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a daemon that cuts the responses to slow readers."""
    with runner_factory() as runner:
        response = runner.run(
            read_slowly_from_stopping_daemon(task_name, request_bytes)
        )
    content = content_of(response)
    assert content.startswith(LARGE_CONTENT)
    check_close_notice(content.removeprefix(LARGE_CONTENT), task_name)


@pytest.mark.usefixtures('short_notice')
def test_drained_inbound_refuses_requests_as_not_run() -> None:
    """Guards against runs that the end of the daemon would cut.

    The inbound side has drained, while the outbound side still does.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_large]) as mesh:
            inbound_task = listening_task(mesh, 'inbound')
            await inbound_task.drain()
            address = inbound_task._address
            async with SlowClient(address.ip, address.port) as client:
                await client.send(peer_request())
                response = await client.read_until_closed()
            assert mesh.runs() == []
            assert response.startswith(b'HTTP/1.1 503')
            result = decode_result(header_of(response, RESULT_HEADER))
            assert result is not None
            assert result.verdict is Verdict.NOT_RUN
            assert result.reason == 'stopping'

    with create_runner() as runner:
        runner.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_drain_waits_for_requests_whose_handlers_have_not_started(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a drain that overlooks a request that was just read.

    Its handler task is created, but has not run yet.
    """

    async def run_scenario() -> bytes:
        responder = LargeResponder()
        listener = responder.listener
        port = await listener.open('127.0.0.1', 0)
        stopping: list[asyncio.Task[None]] = []

        async def stop() -> None:
            listener.close_idle()
            await listener.wait_until_idle()
            await listener.close()

        def start_handler(exchange: Exchange) -> asyncio.Task[None]:
            stopping.append(asyncio.create_task(stop()))
            return Listener.start_handler(listener, exchange)

        listener.start_handler = start_handler  # type: ignore[method-assign]
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            response = await client.read_until_closed()
        await asyncio.gather(*stopping)
        return response

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert content_of(response) == LARGE_CONTENT


@pytest.mark.usefixtures('short_notice')
@pytest.mark.parametrize('task_name', ['control', 'readiness', 'metrics'])
@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_stopping_daemon_sends_its_own_responses(
    task_name: str,
    runner_factory: Callable[[], asyncio.Runner],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lost acknowledgements and readiness responses.

    The response is unsent when the listener of the task closes.
    """
    responded: list[str] = []

    async def serve(task: ListeningTask, exchange: Exchange) -> None:
        exchange.respond(200, [], LARGE_CONTENT)
        responded.append(task.name)

    async def run_scenario() -> bytes:
        async with Mesh([respond_large]) as mesh:
            task = listening_task(mesh, task_name)
            monkeypatch.setattr(
                task._listener,
                '_handler',
                lambda exchange: serve(task, exchange),
            )
            address = task._address
            async with SlowClient(address.ip, address.port) as client:
                await mesh.wait_until(lambda: bool(task._listener.connections))
                shrink_send_buffers(task._listener)
                await client.send(REQUEST)
                await mesh.wait_until(lambda: bool(responded))
                reading = asyncio.create_task(client.read_until_closed())
                kernel = mesh.hosts[0].kernel
                assert await kernel.drain(DRAIN_TIMEOUT_S)
                await kernel.stop()
                return await reading

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert content_of(response) == LARGE_CONTENT


def is_unsent_at(mesh: Mesh, task_name: str) -> bool:
    """Return whether a task has responses that are not sent yet."""
    open_connections = listening_task(
        mesh, task_name
    )._listener.describe_connections()
    return bool(open_connections.unsent_bytes or open_connections.responses_due)


@pytest.mark.usefixtures('short_notice')
def test_log_states_what_a_stopping_daemon_has_not_sent() -> None:
    """Guards against a cut response that the log does not explain."""

    async def run_scenario() -> None:
        async with Mesh([respond_large]) as mesh:
            kernel = mesh.hosts[0].kernel
            task = listening_task(mesh, 'outbound')
            address = task._address
            async with SlowClient(address.ip, address.port) as client:
                await mesh.wait_until(lambda: bool(task._listener.connections))
                shrink_send_buffers(task._listener)
                await client.send(client_request())
                await mesh.wait_until(
                    lambda: (
                        is_unsent_at(mesh, 'outbound')
                        and not is_unsent_at(mesh, 'inbound')
                    )
                )
                assert not await kernel.drain(SHORT_DRAIN_S)
                await mesh_daemon._log_drained(kernel, is_drained=False)
                await kernel.stop()
                await client.read_until_closed()

    with captured_lines() as lines, create_runner() as runner:
        runner.run(run_scenario())
    (drained,) = [line for line in lines if line.event == 'daemon:drained']
    assert drained.fields['unsent_bytes'] > 0
    ends = [
        line for line in lines if line.event == 'connection:ended-incomplete'
    ]
    assert len(ends) == 1, ends
    (end,) = ends
    assert end.fields['task'] == 'outbound'
    assert end.fields['reason'] == 'shutdown'
    assert end.fields['request_id'] == 'r1'
    assert end.fields['unsent_bytes'] > 0


@pytest.mark.usefixtures('short_notice')
@pytest.mark.parametrize('task_name', ['inbound', 'outbound'])
def test_requests_that_wait_at_the_end_of_the_drain_are_refused(
    task_name: str,
) -> None:
    """Guards against a closed connection for a request that never ran.

    The server's only slot is taken until the drain is over, and the request
    still waits for it.
    """

    async def run_scenario() -> tuple[list[bytes], bytes]:
        async with Mesh([respond_large]) as mesh:
            host = mesh.hosts[0]
            host.server.may_respond.clear()
            mesh._inbound(0)._server.slot_queue.limit = 1
            requests_by_task = {
                'inbound': peer_request(8000),
                'outbound': client_request().replace(b'/read/', b'/book/'),
            }
            request = requests_by_task[task_name]
            address = listening_task(mesh, task_name)._address
            async with (
                SlowClient(address.ip, address.port) as running,
                SlowClient(address.ip, address.port) as waiting,
            ):
                await running.send(request)
                await mesh.wait_until(lambda: bool(mesh.runs()))
                await waiting.send(request.replace(b'r1', b'r2'))
                await mesh.wait_until(lambda: mesh.waiting(0) == 1)
                assert not await host.kernel.drain(0.8)
                await host.kernel.stop()
                return mesh.runs(), await waiting.read_until_closed()

    with create_runner() as runner:
        runs, response = runner.run(run_scenario())
    assert runs == [b'r1']
    assert response.startswith(b'HTTP/1.1 503')


@pytest.mark.usefixtures('short_notice')
def test_failing_drain_of_a_task_does_not_end_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a shutdown that stops at the first error."""

    async def fail() -> None:
        raise RuntimeError('drain failed')

    async def run_scenario() -> tuple[bool, bytes]:
        async with Mesh([respond_large]) as mesh:
            host = mesh.hosts[0]
            loads = host.kernel.tasks_by_name['loads']
            monkeypatch.setattr(loads, 'drain', fail)
            address = host.settings.outbound
            async with SlowClient(address.ip, address.port) as client:
                await client.send(client_request())
                await mesh.wait_until(lambda: bool(mesh.runs()))
                reading = asyncio.create_task(client.read_until_closed())
                is_drained = await host.kernel.drain(DRAIN_TIMEOUT_S)
                await host.kernel.stop()
                return is_drained, await reading

    with create_runner() as runner:
        is_drained, response = runner.run(run_scenario())
    assert not is_drained
    assert content_of(response) == LARGE_CONTENT


@pytest.mark.parametrize('steps', range(4))
def test_fleet_task_closes_beside_a_change_of_its_entry(steps: int) -> None:
    """Guards against a stop that waits for a loop that was not cancelled.

    The cancellation arrives within a few steps of the loop of the change.
    """

    async def run_scenario() -> None:
        async with Mesh([respond_large]) as mesh:
            fleet = mesh.hosts[0].kernel.tasks_by_name['fleet']
            assert isinstance(fleet, FleetTask)
            await mesh.wait_until(
                lambda: (
                    fleet._own_entry.written is not None
                    and not fleet._keeper._changed.is_set()
                )
            )
            fleet._keeper._changed.set()
            for _ in range(steps):
                await asyncio.sleep(0)
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await fleet.close()

    with create_runner() as runner:
        runner.run(run_scenario())


@pytest.mark.parametrize('runner_factory', RUNNERS)
def test_error_after_a_whole_response_does_not_cut_it(
    runner_factory: Callable[[], asyncio.Runner],
) -> None:
    """Guards against a handler's late error that destroys a response."""

    async def run_scenario() -> bytes:
        async def serve(exchange: Exchange) -> None:
            shrink_send_buffers(listener)
            exchange.respond(200, [], LARGE_CONTENT)
            raise RuntimeError('after the response')

        listener = Listener(serve)
        port = await listener.open('127.0.0.1', 0)
        async with SlowClient('127.0.0.1', port) as client:
            await client.send(REQUEST)
            response = b''
            while len(content_of(response)) < len(LARGE_CONTENT):
                chunk = await client.read()
                if not chunk:
                    break
                response += chunk
        await listener.close()
        return response

    with runner_factory() as runner:
        response = runner.run(run_scenario())
    assert content_of(response) == LARGE_CONTENT
