"""Tests the backend server stand-in, whose counts other tests rely on."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import ClientError, ClientSession

from standins.backend import BackendStandIn
from standins.backend_process import BackendProcess
from standins.backend_responses import OWN_REQUEST_ID

Check = Callable[['StandInClient'], Awaitable[None]]


class StandInClient:
    """Client of both ports of a running stand-in."""

    def __init__(self, process: BackendProcess, session: ClientSession) -> None:
        self.app = process.app
        self.session = session
        self.url = f'http://127.0.0.1:{process.server.port}'
        self.control = f'http://127.0.0.1:{process.control.port}'

    async def call(
        self, path: str, request_id: str = 'r1', **headers: str
    ) -> tuple[int, Any, bytes]:
        sent_headers = {'bergamotshunt-request-id': request_id, **headers}
        async with self.session.post(
            self.url + path, headers=sent_headers
        ) as response:
            return response.status, response.headers, await response.read()

    async def post_control(self, path: str, document: Any) -> None:
        async with self.session.post(
            self.control + path, json=document
        ) as response:
            assert response.status == 200

    async def fetch_counts(self) -> Any:
        async with self.session.get(f'{self.control}/judge') as response:
            return await response.json()


def run_check(check: Check, **options: Any) -> None:
    async def run_scenario() -> None:
        app = BackendStandIn('s1', **options)
        process = BackendProcess(app, '127.0.0.1', 0, 0)
        await process.open()
        try:
            async with asyncio.timeout(20), ClientSession() as session:
                await check(StandInClient(process, session))
        finally:
            await process.close()

    asyncio.run(run_scenario())


def test_each_run_is_counted() -> None:
    """Guards against counts that miss the second run of a booking.

    The checks for duplicate executions would then find none.
    """

    async def check(server: StandInClient) -> None:
        booking_header = {'idempotency-key': 'k1'}
        await server.call('/refunds', 'r1', **booking_header)
        await server.call('/refunds', 'r2', **booking_header)
        await server.post_control('/faults', {'run_twice': True})
        await server.call('/refunds', 'r3')
        counts = await server.fetch_counts()
        assert counts['executions_by_key'] == {'k1': 2}
        assert counts['runs_by_request_id'] == {'r1': 1, 'r2': 1, 'r3': 2}

    run_check(check)


def test_refused_request_does_not_run() -> None:
    """Guards against a stand-in that runs a request and then refuses it.

    It refuses requests under the fault ``shed`` and during a drain.
    """

    async def check(server: StandInClient) -> None:
        await server.post_control('/faults', {'shed': 1})
        status, headers, _body = await server.call('/refunds')
        assert (status, headers['bergamotshunt-verdict']) == (503, 'not-run')
        await server.post_control('/faults', {'shed': 0})
        await server.post_control('/drain', {})
        assert (await server.call('/refunds'))[0] == 503
        assert (await server.fetch_counts())['runs_by_request_id'] == {}

    run_check(check)


def test_slots_limit_concurrency_and_deadline_ends_the_wait() -> None:
    """Guards against a stand-in that runs more than its slots allow.

    A request that is still waiting for a slot at its deadline must not run.
    """

    async def check(server: StandInClient) -> None:
        holding_call = asyncio.create_task(server.call('/refunds?hold=h', 'r1'))
        async with server.session.get(
            f'{server.control}/reached?name=h'
        ) as response:
            assert response.status == 200
        deadline_header = {'bergamotshunt-deadline-ms': '20'}
        status, headers, _body = await server.call(
            '/refunds', 'r2', **deadline_header
        )
        assert (status, headers['bergamotshunt-verdict']) == (504, 'not-run')
        await server.post_control('/release?name=h', {})
        assert (await holding_call)[0] == 200
        assert (await server.fetch_counts())['runs_by_request_id'] == {'r1': 1}

    run_check(check, slots=1)


def test_disconnect_of_the_sender_ends_the_run() -> None:
    """Guards against a cancelled request that keeps its slot.

    A request is cancelled when its client closes the connection.
    """

    async def check(server: StandInClient) -> None:
        call = asyncio.create_task(server.call('/refunds?hold=h'))
        await server.app.hold_points.reached_by_name['h'].wait()
        call.cancel()
        await server.app.slots.acquire()
        assert server.app.outcomes['cancelled'] == 1

    run_check(check, slots=1)


def test_truncated_and_foreign_responses_are_injected() -> None:
    """Guards against injected response faults that have no effect.

    Tests of the product would then pass without the fault.
    """

    async def check(server: StandInClient) -> None:
        await server.call('/packs?answer_bytes=100000', 'r1')
        await server.post_control('/faults', {'foreign': 1})
        _status, headers, _body = await server.call('/packs', 'r2')
        assert headers[OWN_REQUEST_ID] == 'r1'
        await server.post_control('/faults', {'foreign': 0, 'cut_short': 1})
        try:
            await server.call('/packs?answer_bytes=100000', 'r3')
        except ClientError:
            return
        raise AssertionError('a truncated response was read without an error')

    run_check(check)


def test_excess_connections_are_refused() -> None:
    """Guards against a stand-in that exceeds its connection limit.

    Under the fault ``refuse`` it must accept no connection at all.
    """

    async def check(server: StandInClient) -> None:
        await server.call('/refunds')
        async with ClientSession() as second_session:
            try:
                await second_session.get(server.url)
            except ClientError:
                pass
            else:
                raise AssertionError(
                    'a second connection was accepted: expected a limit of 1'
                )
        await server.post_control('/faults', {'refuse': True})
        try:
            await server.call('/refunds')
        except ClientError:
            pass
        else:
            raise AssertionError('a connection was accepted while refusing')
        await server.post_control('/faults', {'refuse': False})
        assert (await server.call('/refunds'))[0] == 200

    run_check(check, connections=1)


def test_probe_is_charged_to_the_budget() -> None:
    """Guards against probes that are not charged to the measuring budget.

    The checks of the budget read ``probe_ms`` of the servers.
    """

    async def check(server: StandInClient) -> None:
        async with server.session.get(f'{server.url}/health') as response:
            assert response.status == 200
        assert (await server.fetch_counts())['probe_ms'] == 5

    run_check(check)
