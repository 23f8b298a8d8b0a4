"""Administration API and the operators' commands over loopback."""

from asyncio import run, to_thread
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from msgspec.json import decode, encode

from bergamotshunt.cli import app
from bergamotshunt.decisions.validation import check_service
from bergamotshunt.http.transport import HttpResponse, HttpRequest, HttpClient
from bergamotshunt.message_listener import MessageListener
from bergamotshunt.messages import DrainRequested
from bergamotshunt.operators.admin_guard import find_operator
from bergamotshunt.tests.targets_fleet import TOKENS_BY_NAME, Fleet, Node

DOCUMENT = {'targets': [{'name': 'balance', 'path_prefix': '/balances'}]}
PATH = '/v1/targets/jar-ledger'


class Client:
    """Sends requests to the admin port of one daemon."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.sender = HttpClient(4)

    async def ask(
        self,
        method: str,
        path: str,
        document: Any = None,
        token: str = TOKENS_BY_NAME['ana'],
        body: bytes | None = None,
        **headers: str,
    ) -> HttpResponse:
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        if body is None:
            body = b'' if document is None else encode(document)
        if token:
            named['authorization'] = f'Bearer {token}'
        url = self.node.admin + path
        request = HttpRequest(method, url, named, body, 10_000)
        return (await self.sender.send(request)).unwrap()


def check(scenario: Callable[[Client], Awaitable[None]]) -> None:
    async def body() -> None:
        async with Fleet(1) as fleet:
            client = Client(fleet.nodes[0])
            await fleet.nodes[0].wait_for_revision(0)
            try:
                await scenario(client)
            finally:
                await client.sender.close()

    run(body())


async def wait_in_force(client: Client, revision: int) -> None:
    await client.node.wait_for_revision(revision)


def test_a_change_needs_the_revision_that_it_changes() -> None:
    """Guards against a change that overwrites one that was not seen."""

    async def scenario(client: Client) -> None:
        created = await client.ask('PUT', PATH, DOCUMENT)
        assert (created.status, created.headers['etag']) == (201, '"1"')
        await wait_in_force(client, 1)
        shown = await client.ask('GET', PATH)
        assert shown.headers['etag'] == '"1"'
        missing = await client.ask('PUT', PATH, DOCUMENT)
        assert missing.status == 428
        changed = await client.ask(
            'PUT',
            PATH,
            DOCUMENT,
            if_match='"1"',
            token=TOKENS_BY_NAME['ben'],
            bergamotshunt_why='más rápido',
        )
        assert (changed.status, changed.headers['etag']) == (200, '"2"')
        lost = await client.ask('PUT', PATH, DOCUMENT, if_match='"1"')
        assert lost.status == 412
        problem = decode(lost.body)
        assert problem['winner']['operator'] == 'ben'
        assert problem['winner']['reason'] == 'más rápido'
        assert problem['current']['revision'] == 2
        weak = await client.ask('PUT', PATH, DOCUMENT, if_match='W/"2"')
        assert weak.status == 400

    check(scenario)


def test_removal() -> None:
    """Guards against a removal without a revision or without a record."""

    async def scenario(client: Client) -> None:
        assert (await client.ask('DELETE', PATH)).status == 404
        await client.ask('PUT', PATH, DOCUMENT)
        assert (await client.ask('DELETE', PATH)).status == 428
        removed = await client.ask('DELETE', PATH, if_match='"1"')
        assert removed.status == 200
        await wait_in_force(client, 2)
        assert (await client.ask('GET', PATH)).status == 404
        listed = decode((await client.ask('GET', '/v1/changes')).body)
        assert [one['revision'] for one in listed['changes']] == [1, 2]
        page = await client.ask('GET', '/v1/changes?after=1&limit=5')
        assert [one['after'] for one in decode(page.body)['changes']] == [None]
        assert (await client.ask('GET', '/v1/changes?limit=0')).status == 400

    check(scenario)


def test_a_repeated_submission_is_recognised() -> None:
    """Guards against a repeat that is told as a conflict."""

    async def scenario(client: Client) -> None:
        responses = [
            await client.ask('PUT', PATH, DOCUMENT, idempotency_key='k1')
            for _ in range(2)
        ]
        assert [response.status for response in responses] == [201, 201]
        assert responses[0].body == responses[1].body
        other = {'targets': [{'name': 'other'}]}
        reused = await client.ask('PUT', PATH, other, idempotency_key='k1')
        assert reused.status == 422

    check(scenario)


def test_all_errors_of_a_document_are_told_at_once() -> None:
    """Guards against an operator who corrects one error after the other."""

    async def scenario(client: Client) -> None:
        response = await client.ask('PUT', PATH, BAD_DOCUMENT)
        assert response.status == 422
        assert response.headers['content-type'] == 'application/problem+json'
        errors = decode(response.body)['errors']
        assert [error['field'] for error in errors] == BAD_FIELDS
        assert (await client.ask('GET', PATH)).status == 404

    check(scenario)


def test_every_request_needs_a_token() -> None:
    """Guards against reads or changes by someone who is no operator."""

    async def scenario(client: Client) -> None:
        for method, path in (
            ('GET', '/v1/status'),
            ('GET', '/v1/targets'),
            ('GET', PATH),
            ('PUT', PATH),
            ('DELETE', PATH),
            ('GET', '/v1/changes'),
            ('POST', '/v1/drain'),
        ):
            for token in ('', 'token-of-ana-0000002'):
                response = await client.ask(method, path, token=token)
                assert response.status == 401, path
        assert (await client.ask('GET', '/metrics', token='')).status == 200

    check(scenario)


def test_sizes_are_bounded() -> None:
    """Guards against a request that fills the memory of a daemon."""

    async def scenario(client: Client) -> None:
        large = await client.ask('PUT', PATH, body=b' ' * 300_000)
        assert large.status == 413
        head = await client.ask('GET', PATH, x_filler='x' * 20_000)
        assert head.status == 431
        reason = await client.ask(
            'PUT', PATH, DOCUMENT, bergamotshunt_why='x' * 501
        )
        assert reason.status == 400
        assert (await client.ask('PUT', PATH, body=b'{')).status == 400

    check(scenario)


def test_drain_status_and_metrics() -> None:
    """Guards against an operator who cannot see or stop a daemon."""

    async def scenario(client: Client) -> None:
        drains = MessageListener(client.node.bus, DrainRequested)
        assert (await client.ask('POST', '/v1/drain')).status == 202
        await drains.wait_for(lambda _message: True, 10)
        status = decode((await client.ask('GET', '/v1/status')).body)
        assert status['targets']['confirmed']
        assert status['targets']['members_known'] == 1
        assert status['platform']['reachable']
        metrics = (await client.ask('GET', '/metrics')).body.decode()
        for name in (
            'targets_revision',
            'targets_confirmation_age_seconds',
            'members_behind',
            'platform_calls_total',
            'targets_changes_applied_total',
            'targets_submissions_total',
        ):
            assert f'# TYPE bergamotshunt_{name}' in metrics

    check(scenario)


BAD_DOCUMENT: dict[str, Any] = {
    'service': 'catalog',
    'measuring_share': 0.5,
    'colour': 'red',
    'targets': [
        {'name': 'a b', 'methods': ['GET', 'BREW'], 'path_prefix': 'x'},
        {'idempotent': 1, 'share': 2, 'answered_within_ms': 0.5, 'x': 1},
        'third',
    ],
}
BAD_FIELDS = [
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


def test_validation_of_whole_documents() -> None:
    """Guards against targets to which no request or two could belong."""
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
    whole = check_service(DOCUMENT, 'jar-ledger')
    assert not whole.errors
    assert whole.service is not None
    assert whole.service.targets[0].path_prefix == '/balances'


def test_tokens() -> None:
    """Guards against a part of a token, or another scheme, that is taken."""
    tokens = {'ana': 'token-of-ana-0000001', 'ben': 'tóken-of-ben-0000002'}
    assert find_operator('Bearer token-of-ana-0000001', tokens) == 'ana'
    sent = 'bearer tóken-of-ben-0000002'.encode().decode('latin-1')
    assert find_operator(sent, tokens) == 'ben'
    for text in ('', 'Bearer', 'Bearer token', 'Basic token-of-ana-0000001'):
        assert not find_operator(text, tokens)


def run_command(words: tuple[str, ...]) -> int:
    code = app(words, exit_on_error=False, result_action='return_value')
    return code or 0


def test_commands(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against commands that fail silently or with a stack trace."""
    file = tmp_path / 'jar-ledger.json'
    token_file = tmp_path / 'token'
    token_file.write_text(TOKENS_BY_NAME['ben'])
    monkeypatch.setenv('BERGAMOTSHUNT_TOKEN', TOKENS_BY_NAME['ana'])

    async def scenario(client: Client) -> None:
        async def command(*words: str) -> tuple[int, str, str]:
            line = (*words, '--admin', client.node.admin)
            code = await to_thread(run_command, line)
            out, err = capsys.readouterr()
            return code, out, err

        put = ('targets', 'set', 'jar-ledger', str(file), '--why', 'first')
        assert (await command(*put))[0] == 2
        file.write_bytes(encode(DOCUMENT))
        code, out, _ = await command(*put)
        assert (code, 'revision 1' in out) == (0, True)
        await wait_in_force(client, 1)
        repeated = await command(*put)
        assert repeated == (0, out, '')
        code, _, err = await command(*put[:-1], 'again')
        assert code == 2
        assert 'state the revision' in err
        _, shown, _ = await command('targets', 'show', 'jar-ledger', '--json')
        edited = decode(shown)
        edited['targets'][0]['weight'] = 3.0
        file.write_bytes(encode(edited))
        code, out, err = await command(
            *put[:-1], 'heavier', '--token-file', str(token_file)
        )
        assert (code, err) == (0, '')
        code, _, err = await command(*put[:-1], 'lost')
        assert code == 1
        assert 'ben changed it in revision 2 (heavier)' in err
        assert err.count('\n') == 1
        file.write_bytes(encode(BAD_DOCUMENT))
        code, _, err = await command(*put)
        assert (code, err.count('\n')) == (2, len(BAD_FIELDS) + 1)
        await wait_in_force(client, 2)
        for words in (
            ('targets', 'list'),
            ('targets', 'show', 'jar-ledger'),
            ('targets', 'history'),
            ('status',),
        ):
            code, out, err = await command(*words)
            assert (code, err) == (0, '')
            assert 'revision' in out
        code, _, err = await command('targets', 'show', 'catalog')
        assert (code, 'no targets are stated' in err) == (1, True)
        monkeypatch.setenv('BERGAMOTSHUNT_TOKEN', '')
        code, _, err = await command('status')
        assert (code, '--token-file' in err) == (2, True)

    check(scenario)


def test_a_command_without_a_daemon_says_what_to_do(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stack trace when no daemon listens."""
    monkeypatch.setenv('BERGAMOTSHUNT_TOKEN', 'x')
    line = ('status', '--admin', 'http://127.0.0.1:1')
    assert run_command(line) == 1
    assert 'check --admin' in capsys.readouterr().err
