"""Tests of the administration API and the operator commands.

A fleet of one daemon serves them over loopback.
"""

from asyncio import run, to_thread
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from msgspec.json import decode, encode

from bergamotshunt.cli import app
from bergamotshunt.decisions.validation import check_service
from bergamotshunt.http.transport import HttpClient, HttpRequest, HttpResponse
from bergamotshunt.message_listener import MessageListener
from bergamotshunt.messages import DrainRequested
from bergamotshunt.operators.admin_access import find_operator
from bergamotshunt.tests.targets_fleet import TOKENS_BY_NAME, Fleet, Node

TARGETS_DOCUMENT = {
    'targets': [{'name': 'balance', 'path_prefix': '/balances'}]
}
TARGETS_PATH = '/v1/targets/jar-ledger'


class Client:
    """HTTP client for the admin port of one daemon."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.http_client = HttpClient(4)

    async def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        token: str = TOKENS_BY_NAME['ana'],
        body: bytes | None = None,
        **headers: str,
    ) -> HttpResponse:
        named_headers = {
            name.replace('_', '-'): header_value
            for name, header_value in headers.items()
        }
        if body is None:
            body = b'' if document is None else encode(document)
        if token:
            named_headers['authorization'] = f'Bearer {token}'
        url = self.node.admin + path
        request = HttpRequest(method, url, named_headers, body, 10_000)
        return (await self.http_client.send(request)).unwrap()


def run_scenario(scenario: Callable[[Client], Awaitable[None]]) -> None:
    async def run_with_fleet() -> None:
        async with Fleet(1) as fleet:
            client = Client(fleet.nodes[0])
            await fleet.nodes[0].wait_for_revision(0)
            try:
                await scenario(client)
            finally:
                await client.http_client.close()

    run(run_with_fleet())


async def wait_until_in_force(client: Client, revision: int) -> None:
    await client.node.wait_for_revision(revision)


def test_change_requires_current_revision() -> None:
    """Guards against lost updates.

    Without a check of If-Match, a change that is based on an old revision
    overwrites a newer one that its operator has not seen.
    """

    async def scenario(client: Client) -> None:
        created = await client.request('PUT', TARGETS_PATH, TARGETS_DOCUMENT)
        assert (created.status, created.headers['etag']) == (201, '"1"')
        await wait_until_in_force(client, 1)
        shown = await client.request('GET', TARGETS_PATH)
        assert shown.headers['etag'] == '"1"'
        missing = await client.request('PUT', TARGETS_PATH, TARGETS_DOCUMENT)
        assert missing.status == 428
        changed = await client.request(
            'PUT',
            TARGETS_PATH,
            TARGETS_DOCUMENT,
            if_match='"1"',
            token=TOKENS_BY_NAME['ben'],
            bergamotshunt_why='más rápido',
        )
        assert (changed.status, changed.headers['etag']) == (200, '"2"')
        rejected = await client.request(
            'PUT', TARGETS_PATH, TARGETS_DOCUMENT, if_match='"1"'
        )
        assert rejected.status == 412
        problem = decode(rejected.body)
        assert problem['winner']['operator'] == 'ben'
        assert problem['winner']['reason'] == 'más rápido'
        assert problem['current']['revision'] == 2
        weak = await client.request(
            'PUT', TARGETS_PATH, TARGETS_DOCUMENT, if_match='W/"2"'
        )
        assert weak.status == 400

    run_scenario(scenario)


def test_removal_requires_revision_and_is_recorded() -> None:
    """Guards against removals that escape the revision check or the audit.

    A removal takes the same path as a change: it needs the current
    revision and appears in the list of changes.
    """

    async def scenario(client: Client) -> None:
        assert (await client.request('DELETE', TARGETS_PATH)).status == 404
        await client.request('PUT', TARGETS_PATH, TARGETS_DOCUMENT)
        assert (await client.request('DELETE', TARGETS_PATH)).status == 428
        removed = await client.request('DELETE', TARGETS_PATH, if_match='"1"')
        assert removed.status == 200
        await wait_until_in_force(client, 2)
        assert (await client.request('GET', TARGETS_PATH)).status == 404
        listed = decode((await client.request('GET', '/v1/changes')).body)
        assert [change['revision'] for change in listed['changes']] == [1, 2]
        page = await client.request('GET', '/v1/changes?after=1&limit=5')
        assert [change['after'] for change in decode(page.body)['changes']] == [
            None
        ]
        assert (
            await client.request('GET', '/v1/changes?limit=0')
        ).status == 400

    run_scenario(scenario)


def test_repeated_submission_returns_first_result() -> None:
    """Guards against a retry that is reported as a conflict.

    The first attempt has raised the revision already, so a retry with the
    same idempotency key has to be recognised before the revision check.
    """

    async def scenario(client: Client) -> None:
        responses = [
            await client.request(
                'PUT', TARGETS_PATH, TARGETS_DOCUMENT, idempotency_key='k1'
            )
            for _ in range(2)
        ]
        assert [response.status for response in responses] == [201, 201]
        assert responses[0].body == responses[1].body
        other_document = {'targets': [{'name': 'other'}]}
        reused = await client.request(
            'PUT', TARGETS_PATH, other_document, idempotency_key='k1'
        )
        assert reused.status == 422

    run_scenario(scenario)


def test_all_errors_of_a_document_are_reported_at_once() -> None:
    """Guards against a validation that stops at the first error.

    The operator would have to submit the document once for each error.
    """

    async def scenario(client: Client) -> None:
        response = await client.request('PUT', TARGETS_PATH, INVALID_DOCUMENT)
        assert response.status == 422
        assert response.headers['content-type'] == 'application/problem+json'
        errors = decode(response.body)['errors']
        assert [error['field'] for error in errors] == INVALID_FIELDS
        assert (await client.request('GET', TARGETS_PATH)).status == 404

    run_scenario(scenario)


def test_every_request_requires_a_token() -> None:
    """Guards against endpoints that skip authentication.

    A request without a token, or with an unknown one, must not read or
    change anything; only the metrics are open.
    """

    async def scenario(client: Client) -> None:
        for method, path in (
            ('GET', '/v1/status'),
            ('GET', '/v1/targets'),
            ('GET', TARGETS_PATH),
            ('PUT', TARGETS_PATH),
            ('DELETE', TARGETS_PATH),
            ('GET', '/v1/changes'),
            ('POST', '/v1/drain'),
        ):
            for token in ('', 'token-of-ana-0000002'):
                response = await client.request(method, path, token=token)
                assert response.status == 401, path
        assert (await client.request('GET', '/metrics', token='')).status == 200

    run_scenario(scenario)


def test_request_sizes_are_bounded() -> None:
    """Guards against unbounded requests that exhaust a daemon's memory.

    Body, headers and reason each have a limit of their own.
    """

    async def scenario(client: Client) -> None:
        large_body = await client.request(
            'PUT', TARGETS_PATH, body=b' ' * 300_000
        )
        assert large_body.status == 413
        large_head = await client.request(
            'GET', TARGETS_PATH, x_filler='x' * 20_000
        )
        assert large_head.status == 431
        long_reason = await client.request(
            'PUT', TARGETS_PATH, TARGETS_DOCUMENT, bergamotshunt_why='x' * 501
        )
        assert long_reason.status == 400
        assert (
            await client.request('PUT', TARGETS_PATH, body=b'{')
        ).status == 400

    run_scenario(scenario)


def test_drain_status_and_metrics() -> None:
    """Guards against a drain, status or metric that the API fails to serve.

    Operators have no other way to see the state of a daemon or to drain
    it.
    """

    async def scenario(client: Client) -> None:
        drains = MessageListener(client.node.bus, DrainRequested)
        assert (await client.request('POST', '/v1/drain')).status == 202
        await drains.wait_for(lambda _message: True, 10)
        status = decode((await client.request('GET', '/v1/status')).body)
        assert status['targets']['confirmed']
        assert status['targets']['members_known'] == 1
        assert status['platform']['reachable']
        metrics = (await client.request('GET', '/metrics')).body.decode()
        for name in (
            'targets_revision',
            'targets_confirmation_age_seconds',
            'members_behind',
            'platform_calls_total',
            'targets_changes_applied_total',
            'targets_submissions_total',
        ):
            assert f'# TYPE bergamotshunt_{name}' in metrics

    run_scenario(scenario)


INVALID_DOCUMENT: dict[str, Any] = {
    'service': 'catalog',
    'measuring_share': 0.5,
    'colour': 'red',
    'targets': [
        {'name': 'a b', 'methods': ['GET', 'BREW'], 'path_prefix': 'x'},
        {'idempotent': 1, 'share': 2, 'answered_within_ms': 0.5, 'x': 1},
        'third',
    ],
}
INVALID_FIELDS = [
    'measuring_share',
    'colour',
    'service',
    'targets[0].name',
    'targets[0].methods',
    'targets[0].path_prefix',
    'targets[1].name',
    'targets[1].idempotent',
    'targets[1].share',
    'targets[1].answered_within_ms',
    'targets[1].x',
    'targets[2]',
]


def test_validation_of_documents() -> None:
    """Guards against targets that match no request or overlap.

    A request has to belong to exactly one class, so names and path prefixes
    must be unique and normalised.
    """
    for document, field in (
        ([], ''),
        ({}, 'targets'),
        ({'targets': []}, 'targets'),
        ({'targets': [{'name': 'a'}] * 65}, 'targets'),
        ({'targets': [{'name': 'a'}, {'name': 'a'}]}, 'targets[1].name'),
        (
            {'targets': [{'name': 'a'}, {'name': 'b', 'methods': ['GET']}]},
            'targets[1].path_prefix',
        ),
        (
            {'targets': [{'name': 'a', 'path_prefix': '/x/../y'}]},
            'targets[0].path_prefix',
        ),
        ({'targets': [{'name': 'a', 'weight': True}]}, 'targets[0].weight'),
    ):
        checked = check_service(document, 'jar-ledger')
        assert checked.service is None
        assert field in {error.field for error in checked.errors}, document
    valid = check_service(TARGETS_DOCUMENT, 'jar-ledger')
    assert not valid.errors
    assert valid.service is not None
    assert valid.service.targets[0].path_prefix == '/balances'


def test_bearer_tokens() -> None:
    """Guards against accepting partial tokens or other auth schemes.

    Also covers a token with non-ASCII characters, since headers are decoded
    as latin-1 and settings as UTF-8.
    """
    tokens = {'ana': 'token-of-ana-0000001', 'ben': 'tóken-of-ben-0000002'}
    assert find_operator('Bearer token-of-ana-0000001', tokens) == 'ana'
    as_latin_1 = 'bearer tóken-of-ben-0000002'.encode().decode('latin-1')
    assert find_operator(as_latin_1, tokens) == 'ben'
    for header_value in (
        '',
        'Bearer',
        'Bearer token',
        'Basic token-of-ana-0000001',
    ):
        assert not find_operator(header_value, tokens)


def run_command(args: tuple[str, ...]) -> int:
    code = app(args, exit_on_error=False, result_action='return_value')
    return code or 0


def test_commands_report_errors_and_exit_codes(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against commands that fail silently or with a stack trace.

    Each failure has to give an exit code other than 0 and a line on stderr
    for every error; a success writes nothing there.
    """
    file = tmp_path / 'jar-ledger.json'
    token_file = tmp_path / 'token'
    token_file.write_text(TOKENS_BY_NAME['ben'])
    monkeypatch.setenv('BERGAMOTSHUNT_TOKEN', TOKENS_BY_NAME['ana'])

    async def scenario(client: Client) -> None:
        async def run_args(*args: str) -> tuple[int, str, str]:
            args = (*args, '--admin', client.node.admin)
            code = await to_thread(run_command, args)
            out, err = capsys.readouterr()
            return code, out, err

        set_args = ('targets', 'set', 'jar-ledger', str(file), '--why', 'first')
        assert (await run_args(*set_args))[0] == 2
        file.write_bytes(encode(TARGETS_DOCUMENT))
        code, out, _ = await run_args(*set_args)
        assert (code, 'revision 1' in out) == (0, True)
        await wait_until_in_force(client, 1)
        repeated = await run_args(*set_args)
        assert repeated == (0, out, '')
        code, _, err = await run_args(*set_args[:-1], 'again')
        assert code == 2
        assert 'state the revision' in err
        _, shown, _ = await run_args('targets', 'show', 'jar-ledger', '--json')
        edited = decode(shown)
        edited['targets'][0]['weight'] = 3.0
        file.write_bytes(encode(edited))
        code, out, err = await run_args(
            *set_args[:-1], 'heavier', '--token-file', str(token_file)
        )
        assert (code, err) == (0, '')
        code, _, err = await run_args(*set_args[:-1], 'lost')
        assert code == 1
        assert 'ben changed it in revision 2 (heavier)' in err
        assert err.count('\n') == 1
        file.write_bytes(encode(INVALID_DOCUMENT))
        code, _, err = await run_args(*set_args)
        assert (code, err.count('\n')) == (2, len(INVALID_FIELDS) + 1)
        await wait_until_in_force(client, 2)
        for args in (
            ('targets', 'list'),
            ('targets', 'show', 'jar-ledger'),
            ('targets', 'history'),
            ('status',),
        ):
            code, out, err = await run_args(*args)
            assert (code, err) == (0, '')
            assert 'revision' in out
        code, _, err = await run_args('targets', 'show', 'catalog')
        assert (code, 'no targets are set' in err) == (1, True)
        monkeypatch.setenv('BERGAMOTSHUNT_TOKEN', '')
        code, _, err = await run_args('status')
        assert (code, '--token-file' in err) == (2, True)

    run_scenario(scenario)


def test_command_without_a_daemon_reports_what_to_check(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stack trace when the connection is refused."""
    monkeypatch.setenv('BERGAMOTSHUNT_TOKEN', 'x')
    args = ('status', '--admin', 'http://127.0.0.1:1')
    assert run_command(args) == 1
    assert 'check --admin' in capsys.readouterr().err


def test_odd_requests_are_refused() -> None:
    """Guards against status 500 for input that an operator can correct."""

    async def scenario(client: Client) -> None:
        nested = b'{"targets": ' + b'[' * 100_000
        document = await client.request('PUT', TARGETS_PATH, body=nested)
        listed = await client.request('GET', f'/v1/changes?after={"9" * 5000}')
        digits = '"' + '9' * 5000 + '"'
        matched = await client.request(
            'PUT', TARGETS_PATH, TARGETS_DOCUMENT, if_match=digits
        )
        responses = (document, listed, matched)
        assert [response.status for response in responses] == [400, 400, 400]

    run_scenario(scenario)
